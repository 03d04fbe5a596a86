//! Configuration from the environment, `config.json` and the operator file.
//!
//! The decision module's settings are not duplicated here in a type of their own: the JSON is flattened into the pairs that
//! [`parse_settings`] reads. This module only reads files and environment variables.

mod error;
mod faktory;
mod fleet;
pub(crate) mod json;

pub use error::{ConfigError, ConfigProblem};
pub use faktory::{FaktoryConfig, Queue};
pub use fleet::FleetConfig;
pub use json::{flatten, overlay};

use error::{Result, fail};
use json::{check_keys, read_address, read_file, read_listener, read_names, read_object};
use pebblepost_dispatch::Settings;
use pebblepost_dispatch::wire::parse_settings;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// File name that errors give for values from the environment.
const ENVIRONMENT_SOURCE: &str = "environment";
const KNOWN_OPERATOR_KEYS: [&str; 6] = ["name", "faktory", "agent_check", "health", "fleet", "settings"];
const KNOWN_ROOM_KEYS: [&str; 3] = ["enabled", "deviations", "mostHeld"];
const DEFAULT_NAME: &str = "pebblepost";
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// The limit of file descriptors must be above this number.
const MIN_DESCRIPTORS_EXCLUSIVE: u64 = 40;
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time that a rejected client is asked to wait, if the settings give none.
const DEFAULT_MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request class that the platform's clients name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Name on the wire.
    pub name: String,
    /// How long a client waits, unless its request gives the remaining time.
    pub deadline: Duration,
}

/// Configuration of the daemon.
#[derive(Debug)]
pub struct Config {
    /// Name of this node.
    pub name: String,
    /// Listener address for the platform's clients, if the platform's front end is configured.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service, if one is configured.
    pub discovery: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// The worker list that this node last received.
    pub known_endpoints: Option<Value>,
    /// The settings as JSON.
    pub settings_json: Value,
    /// The settings as parsed by the decision module.
    pub settings: Settings,
    /// Classes that the platform's clients name, in the order of the settings.
    pub classes: Vec<RequestClass>,
    /// Names of tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of machine types, in the order of the settings.
    pub kinds: Vec<String>,
    /// Names of the fields of a load report, in the order of the settings.
    pub report_names: Vec<String>,
    /// Time-out for establishing a connection to a worker.
    pub connect_timeout: Duration,
    /// Configuration of the Faktory front end, if the operator file has one.
    pub faktory: Option<FaktoryConfig>,
    /// Listener address for agent checks, if the operator file has one.
    pub agent_check: Option<SocketAddr>,
    /// Listener address for HTTP health checks, if the operator file has one.
    pub health: Option<SocketAddr>,
    /// Configuration of the fleet membership, if the operator file has one.
    pub fleet: Option<FleetConfig>,
}

/// A parsed configuration file.
struct File {
    /// File name that errors give.
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

/// Reads the configuration. `variable` looks up an environment variable; `operator` is the path of the operator file, if any.
///
/// The environment takes precedence over `config.json`.
///
/// # Errors
///
/// Fails if a file cannot be read, or a value is missing, unknown or malformed.
pub fn read(variable: impl Fn(&str) -> Option<String>, operator: Option<&Path>) -> Result<Config> {
    let path = variable("PROXY_CONFIG").map(std::path::PathBuf::from);
    let file = read_config_file(path.as_deref())?;
    let (operator_file, operator_map) = read_operator_file(operator)?;
    if path.is_none() && operator.is_none() {
        return fail(ENVIRONMENT_SOURCE, "PROXY_CONFIG", ConfigProblem::NoFileNamed);
    }
    let address_of = |name: &str, key: &str| match variable(name) {
        Some(text) => read_address(ENVIRONMENT_SOURCE, name, Some(&Value::String(text))),
        None => read_address(&file.name, key, file.get(key)),
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
    let class_names = read_names(&settings_json, "/classes");
    let faktory = operator_file.get("faktory");
    let faktory = faktory.map(|json| FaktoryConfig::read(&operator_file.name, json, &mut settings_json));
    let faktory = faktory.transpose()?;
    let settings = read_settings(&settings_source_name(&file, &operator_file), &settings_json)?;
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
        tenants: read_names(&settings_json, "/tenants"),
        zones: read_names(&settings_json, "/failureDomains"),
        kinds: read_names(&settings_json, "/kinds"),
        report_names: read_names(&settings_json, "/report/names"),
        connect_timeout: read_connect_timeout(&settings_json),
        settings,
        settings_json,
        faktory,
        agent_check: read_listener(&operator_file.name, &operator_map, "agent_check")?,
        health: read_listener(&operator_file.name, &operator_map, "health")?,
        fleet: fleet.transpose()?,
    })
}

/// Parses the settings for the decision module. `file` is the file name that errors give.
///
/// Retry-after times are always enabled, because the daemon's protocols can carry them in every rejection.
///
/// # Errors
///
/// Fails if the decision module rejects the settings or they have no request class.
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

fn empty_object() -> Value {
    Value::Object(Map::new())
}

fn read_config_file(path: Option<&Path>) -> Result<File> {
    let name = path.map_or_else(|| ENVIRONMENT_SOURCE.to_owned(), |path| path.display().to_string());
    let json = path.map(read_file).transpose()?.unwrap_or_else(empty_object);
    read_object(&name, "JSON", &json)?;
    Ok(File { name, json })
}

fn read_operator_file(path: Option<&Path>) -> Result<(File, Map<String, Value>)> {
    let json = path.map(read_file).transpose()?.unwrap_or_else(empty_object);
    let name = path.map(|path| path.display().to_string()).unwrap_or_default();
    let map = read_object(&name, "JSON", &json)?.clone();
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
    let Some(json) = file.json.pointer("/limits/sockets") else { return Ok(DEFAULT_MAX_DESCRIPTORS) };
    match json.as_u64().filter(|number| *number > MIN_DESCRIPTORS_EXCLUSIVE) {
        Some(number) => Ok(number as usize),
        None => fail(&file.name, "limits.sockets", ConfigProblem::TooFewDescriptors),
    }
}

/// Returns the settings of `config.json`, or the defaults of a deployment with only Faktory, with the operator file's changes
/// applied.
fn combine_settings(file: &File, operator_file: &File) -> Result<Value> {
    let mut settings = match file.get("settings") {
        Some(settings) => settings.clone(),
        None if operator_file.get("faktory").is_some() => faktory::default_settings(),
        None => return fail(&file.name, "settings", ConfigProblem::Missing),
    };
    read_object(&file.name, "settings", &settings)?;
    if let Some(changes) = operator_file.get("settings") {
        read_object(&operator_file.name, "settings", changes)?;
        if let Some(room) = changes.get("room") {
            let room = read_object(&operator_file.name, "settings.room", room)?;
            check_keys(&operator_file.name, "settings.room.", room, &KNOWN_ROOM_KEYS)?;
        }
        overlay(&mut settings, changes);
    }
    Ok(settings)
}

/// Returns the file names that errors in the settings give.
fn settings_source_name(file: &File, operator_file: &File) -> String {
    if operator_file.get("settings").is_some() {
        format!("{} with {}", file.name, operator_file.name)
    } else {
        file.name.clone()
    }
}

fn read_connect_timeout(settings: &Value) -> Duration {
    let nanoseconds = settings.pointer("/caps/connectTimeout").and_then(Value::as_f64).unwrap_or(0.0);
    if nanoseconds >= 1.0 { Duration::from_nanos(nanoseconds as u64) } else { DEFAULT_CONNECT_TIMEOUT }
}
