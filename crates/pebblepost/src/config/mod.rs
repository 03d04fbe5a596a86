//! Configuration: environment, `config.json` and the operator's file.
//!
//! The settings of the decision module stay what they are in `config.json`: they are flattened into the pairs that
//! [`parse_settings`] reads, so there is no second type for them. Reads files and environment, and starts nothing.

mod error;
mod faktory;
mod fleet;
pub(crate) mod json;

pub use error::{ConfigError, ConfigProblem};
pub use faktory::{FaktoryConfig, Queue};
pub use fleet::FleetConfig;
pub use json::{flatten, overlay};

use error::{Result, fail};
use json::{address, check_keys, listener, names, object, read_file};
use pebblepost_dispatch::Settings;
use pebblepost_dispatch::wire::parse_settings;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What errors call the environment.
const ENVIRONMENT: &str = "environment";
const KNOWN_OPERATOR_KEYS: [&str; 6] = ["name", "faktory", "agent_check", "health", "fleet", "settings"];
const KNOWN_ROOM_KEYS: [&str; 3] = ["enabled", "deviations", "mostHeld"];
const DEFAULT_NAME: &str = "pebblepost";
const DEFAULT_DESCRIPTORS: usize = 1024;
/// More descriptors than this are needed.
const TOO_FEW_DESCRIPTORS: u64 = 40;
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest time that a rejected client is asked to wait, if the settings say nothing.
const DEFAULT_MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A class of requests that the platform's clients name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Its name on the wire.
    pub name: String,
    /// How long its clients wait unless they say otherwise.
    pub deadline: Duration,
}

/// The configuration of the daemon.
#[derive(Debug)]
pub struct Config {
    /// Name of this node.
    pub name: String,
    /// Where the platform's clients connect.
    pub listen: Option<SocketAddr>,
    /// Where discovery is called.
    pub discovery: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Most file descriptors.
    pub max_descriptors: usize,
    /// The list of workers as this node had it last.
    pub known_endpoints: Option<Value>,
    /// The settings as JSON.
    pub settings_json: Value,
    /// The settings as the decision module reads them.
    pub settings: Settings,
    /// Classes that the platform's clients name, in the order of the settings.
    pub classes: Vec<RequestClass>,
    /// Names of tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of machine types, in the order of the settings.
    pub kinds: Vec<String>,
    /// Names of the values of a load report, in the order of the settings.
    pub report_names: Vec<String>,
    /// How long establishing a connection may take.
    pub connect_timeout: Duration,
    /// The Faktory front, if the operator's file has one.
    pub faktory: Option<FaktoryConfig>,
    /// Where agent checks are answered, if the operator's file says so.
    pub agent_check: Option<SocketAddr>,
    /// Where health checks by HTTP are answered, if the operator's file says so.
    pub health: Option<SocketAddr>,
    /// The membership in the fleet, if the operator's file has one.
    pub fleet: Option<FleetConfig>,
}

/// A file of the configuration.
struct File {
    /// What errors call it.
    name: String,
    json: Value,
}

impl File {
    fn get(&self, key: &str) -> Option<&Value> {
        self.json.get(key)
    }

    fn text(&self, key: &str) -> Option<String> {
        self.get(key).and_then(Value::as_str).map(str::to_owned)
    }
}

/// Reads the configuration. `variable` reads the environment; `operator` is the path of the operator's file, if one is named.
///
/// # Errors
///
/// If a file cannot be read, or a value is missing, unknown or malformed.
pub fn read(variable: impl Fn(&str) -> Option<String>, operator: Option<&Path>) -> Result<Config> {
    let path = variable("PROXY_CONFIG").map(std::path::PathBuf::from);
    let file = read_config_file(path.as_deref())?;
    let (operator_file, operator_map) = read_operator_file(operator)?;
    if path.is_none() && operator.is_none() {
        return fail(ENVIRONMENT, "PROXY_CONFIG", ConfigProblem::NoFileNamed);
    }
    let address_of = |name: &str, key: &str| match variable(name) {
        Some(text) => address(ENVIRONMENT, name, Some(&Value::String(text))),
        None => address(&file.name, key, file.get(key)),
    };
    let listen = address_of("PROXY_LISTEN", "listen")?;
    let discovery = address_of("PROXY_DISCOVERY", "discovery")?;
    let name = variable("PROXY_NAME").or_else(|| file.text("name")).or_else(|| operator_file.text("name"));
    let seed = read_seed(&file)?;
    let max_descriptors = read_max_descriptors(&file)?;

    let mut settings_json = combine_settings(&file, &operator_file)?;
    if discovery.is_none() {
        overlay(&mut settings_json, &serde_json::json!({"discovery": "push"}));
    }
    let class_names = names(&settings_json, "/classes");
    let faktory = operator_file.get("faktory");
    let faktory = faktory.map(|json| FaktoryConfig::read(&operator_file.name, json, &mut settings_json));
    let faktory = faktory.transpose()?;
    let settings = read_settings(&settings_source(&file, &operator_file), &settings_json)?;
    if listen.is_none() && faktory.is_none() {
        return fail(&file.name, "listen", ConfigProblem::Missing);
    }
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let classes = class_names.into_iter().zip(deadlines);
    let fleet = operator_file.get("fleet").map(|json| FleetConfig::read(&operator_file.name, json));
    Ok(Config {
        name: name.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        listen,
        discovery,
        seed,
        max_descriptors,
        known_endpoints: file.get("known").filter(|known| known.is_object()).cloned(),
        classes: classes.map(|(name, deadline)| RequestClass { name, deadline }).collect(),
        tenants: names(&settings_json, "/tenants"),
        zones: names(&settings_json, "/failureDomains"),
        kinds: names(&settings_json, "/kinds"),
        report_names: names(&settings_json, "/report/names"),
        connect_timeout: connect_timeout(&settings_json),
        settings,
        settings_json,
        faktory,
        agent_check: listener(&operator_file.name, &operator_map, "agent_check")?,
        health: listener(&operator_file.name, &operator_map, "health")?,
        fleet: fleet.transpose()?,
    })
}

/// Reads the settings as the decision module does. Over sockets a rejection can always say when to retry. `file` is what
/// errors name.
///
/// # Errors
///
/// If the decision module does not accept the settings, or they have no class.
pub fn read_settings(file: &str, json: &Value) -> Result<Settings> {
    let mut settings = parse_settings(&flatten(json)).or_else(|error| fail(file, "settings", error))?;
    settings.retry_after_enabled = true;
    if settings.max_retry_after.is_zero() {
        settings.max_retry_after = DEFAULT_MAX_RETRY_AFTER;
    }
    if settings.classes.is_empty() {
        return fail(file, "settings.classes", ConfigProblem::NoClasses);
    }
    Ok(settings)
}

fn empty() -> Value {
    Value::Object(Map::new())
}

fn read_config_file(path: Option<&Path>) -> Result<File> {
    let name = path.map_or_else(|| ENVIRONMENT.to_owned(), |path| path.display().to_string());
    let json = path.map(read_file).transpose()?.unwrap_or_else(empty);
    object(&name, "JSON", &json)?;
    Ok(File { name, json })
}

fn read_operator_file(path: Option<&Path>) -> Result<(File, Map<String, Value>)> {
    let json = path.map(read_file).transpose()?.unwrap_or_else(empty);
    let name = path.map(|path| path.display().to_string()).unwrap_or_default();
    let map = object(&name, "JSON", &json)?.clone();
    check_keys(&name, "", &map, &KNOWN_OPERATOR_KEYS)?;
    Ok((File { name, json }, map))
}

fn read_seed(file: &File) -> Result<u64> {
    match file.get("seed") {
        None => {
            let since_epoch = std::time::UNIX_EPOCH.elapsed().map_or(0, |elapsed| elapsed.as_nanos() as u64);
            Ok(u64::from(std::process::id()) ^ since_epoch)
        }
        Some(Value::Number(number)) if number.is_u64() => Ok(number.as_u64().unwrap_or_default()),
        Some(Value::String(hex)) => {
            u64::from_str_radix(hex, 16).or_else(|error| fail(&file.name, "seed", error))
        }
        Some(_) => fail(&file.name, "seed", ConfigProblem::SeedType),
    }
}

fn read_max_descriptors(file: &File) -> Result<usize> {
    let Some(json) = file.json.pointer("/limits/sockets") else { return Ok(DEFAULT_DESCRIPTORS) };
    match json.as_u64().filter(|number| *number > TOO_FEW_DESCRIPTORS) {
        Some(number) => Ok(number as usize),
        None => fail(&file.name, "limits.sockets", ConfigProblem::TooFewDescriptors),
    }
}

/// The settings of `config.json`, or those of a deployment with Faktory only, with the operator's changes.
fn combine_settings(file: &File, operator_file: &File) -> Result<Value> {
    let mut settings = match file.get("settings") {
        Some(settings) => settings.clone(),
        None if operator_file.get("faktory").is_some() => faktory::default_settings(),
        None => return fail(&file.name, "settings", ConfigProblem::Missing),
    };
    object(&file.name, "settings", &settings)?;
    if let Some(changes) = operator_file.get("settings") {
        object(&operator_file.name, "settings", changes)?;
        if let Some(room) = changes.get("room") {
            let room = object(&operator_file.name, "settings.room", room)?;
            check_keys(&operator_file.name, "settings.room.", room, &KNOWN_ROOM_KEYS)?;
        }
        overlay(&mut settings, changes);
    }
    Ok(settings)
}

/// What errors in the settings name.
fn settings_source(file: &File, operator_file: &File) -> String {
    if operator_file.get("settings").is_some() {
        format!("{} with {}", file.name, operator_file.name)
    } else {
        file.name.clone()
    }
}

fn connect_timeout(settings: &Value) -> Duration {
    let nanoseconds = settings.pointer("/caps/connectTimeout").and_then(Value::as_f64).unwrap_or(0.0);
    if nanoseconds >= 1.0 { Duration::from_nanos(nanoseconds as u64) } else { DEFAULT_CONNECT_TIMEOUT }
}
