//! What the program is told: environment, `config.json`, and the operator's file.
//!
//! The settings stay what they are in `config.json`: they are flattened into the pairs that
//! [`parse_settings`] reads, so there is no second type for them.

use pebblepost_dispatch::Settings;
use pebblepost_dispatch::wire::parse_settings;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Why the program cannot start: one line that names the key and the file.
#[derive(Debug, Error)]
#[error("{file}: {key}: {what}")]
pub struct ConfigError {
    file: String,
    key: String,
    what: String,
}

type Result<T> = std::result::Result<T, ConfigError>;

fn wrong<T>(file: &str, key: &str, what: impl ToString) -> Result<T> {
    Err(ConfigError { file: file.to_owned(), key: key.to_owned(), what: what.to_string() })
}

/// Files that serde reads whole, with the same errors.
pub mod check {
    use super::ConfigError;
    use serde::de::DeserializeOwned;
    use std::path::Path;

    /// An error at a key of a file.
    pub fn wrong(path: &Path, key: &str, what: impl ToString) -> ConfigError {
        ConfigError { file: path.display().to_string(), key: key.to_owned(), what: what.to_string() }
    }

    /// Reads a file of JSON; what serde says names the key.
    pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| wrong(path, "file", e))?;
        serde_json::from_str(&text).map_err(|e| wrong(path, "JSON", e))
    }
}

/// A queue of the Faktory front.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Index of its class, and of the kind of the workers that fetch from it.
    pub class: u16,
    /// See `class`.
    pub kind: u16,
    /// How long a producer waits.
    pub deadline: Duration,
}

/// The Faktory front.
#[derive(Clone, Debug)]
pub struct Faktory {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What clients and workers prove that they know.
    pub password: Option<String>,
    /// The queues served; others are unknown.
    pub queues: Vec<Queue>,
    /// A worker without a beat for so long is lost.
    pub heartbeat: Duration,
    /// A job without an end for so long is lost, unless it says otherwise itself.
    pub reserve_for: Duration,
    /// Name of the entry in a job's `custom` that tells repeats; `None`: the `jid`.
    pub key: Option<String>,
}

/// This dispatcher's part in the fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The keepers of the agreed store, by number; none: only drains asked for here are known.
    #[serde(default)]
    pub keepers: BTreeMap<u64, String>,
    /// Where operators of this machine ask for a drain here.
    pub control: Option<SocketAddr>,
    /// Where the copy of the agreed state is kept over a restart; `None`: nowhere.
    pub copy: Option<PathBuf>,
    /// The zone, for the list of members and the budgets.
    #[serde(default)]
    pub zone: String,
    /// What this installation calls its version; the program's own by default.
    #[serde(default = "own_version")]
    pub version: String,
}

fn own_version() -> String {
    env!("CARGO_PKG_VERSION").to_owned()
}

/// All that the program is told.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// Discovery.
    pub discovery: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Most file descriptors.
    pub sockets: usize,
    /// The list of workers as this node last had it.
    pub known: Option<Value>,
    /// The settings, as JSON and as the decisions read them.
    pub settings_json: Value,
    /// See `settings_json`.
    pub settings: Settings,
    /// Names of classes that the platform's clients use, with their deadlines.
    pub classes: Vec<(String, Duration)>,
    /// Names of tenants, in the settings' order.
    pub tenants: Vec<String>,
    /// Names of zones, kinds and values of a load report.
    pub zones: Vec<String>,
    /// See `zones`.
    pub kinds: Vec<String>,
    /// See `zones`.
    pub report_names: Vec<String>,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// The Faktory front, where the operator's file sets it up.
    pub faktory: Option<Faktory>,
    /// Agent-checks and health questions, where the operator's file sets them up.
    pub agent_check: Option<SocketAddr>,
    /// See `agent_check`.
    pub health: Option<SocketAddr>,
    /// Its part in the fleet, where the operator's file sets it up.
    pub fleet: Option<Fleet>,
}

/// Flattens JSON into the `path=value` lines of a start message.
pub fn flatten(json: &Value) -> String {
    fn plain(value: &Value) -> String {
        let text = match value {
            Value::String(s) => s.clone(),
            Value::Null => String::new(),
            // `6e9` means a whole number of nanoseconds just as `6000000000` does.
            Value::Number(n) => match n.as_f64() {
                Some(f) if n.is_f64() && f.fract() == 0.0 && f.abs() < 9e15 => (f as i64).to_string(),
                _ => n.to_string(),
            },
            other => other.to_string(),
        };
        text.replace([' ', ',', '\n', '\r'], "_")
    }
    fn walk(path: &str, value: &Value, out: &mut String) {
        let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Object(map) => map.iter().for_each(|(name, value)| walk(&under(name), value, out)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                let _ = writeln!(out, "{}={}", under("count"), items.len());
                items.iter().enumerate().for_each(|(i, item)| walk(&under(&i.to_string()), item, out));
            }
            Value::Array(items) => {
                let _ = writeln!(out, "{path}={}", items.iter().map(plain).collect::<Vec<_>>().join(","));
            }
            value => {
                let _ = writeln!(out, "{path}={}", plain(value));
            }
        }
    }
    let mut out = String::new();
    walk("", json, &mut out);
    out
}

/// Lays `over` onto `base`, object by object.
pub fn overlay(base: &mut Value, over: &Value) {
    match (base, over) {
        (Value::Object(base), Value::Object(over)) => {
            for (name, value) in over {
                overlay(base.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over.clone(),
    }
}

fn names(settings: &Value, key: &str) -> Vec<String> {
    let list = settings.pointer(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let name = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).unwrap_or("").to_owned();
    match settings.pointer(key).and_then(Value::as_str) {
        Some(text) => text.split(',').map(str::to_owned).collect(),
        None => list.iter().map(name).collect(),
    }
}

/// Settings of a deployment that has only the Faktory front; the operator's file may change them.
fn own_settings() -> Value {
    json!({
        "instances": 1, "discovery": "push", "tick": 2_000_000, "classes": [], "kinds": [],
        "caps": {"probing": true, "cancelling": true, "retryAfter": true, "mayDuplicate": false, "sendCap": 3,
                 "maxRetryAfter": 30_000_000_000_u64, "keepalive": 30_000_000_000_u64, "connectTimeout": 250_000_000},
        "report": {"names": ["x0", "waiting"], "source": "pull"}, "domain": {"reportX0": "free_slots"},
        "invariants": {"stopSendingWithin": 500_000_000, "answerSlack": 8_000_000, "coldFrom": 1.0}
    })
}

fn read_json(path: &Path) -> Result<Value> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).or_else(|e| wrong(&file, "file", e))?;
    serde_json::from_str(&text).or_else(|e| wrong(&file, "JSON", e))
}

fn address(file: &str, key: &str, value: Option<&Value>) -> Result<Option<SocketAddr>> {
    let text = match value {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::String(text)) => text,
        Some(_) => return wrong(file, key, "not an address such as 127.0.0.1:8081"),
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(e) => wrong(file, key, format!("{text:?}: {e}")),
    }
}

fn seconds(file: &str, key: &str, value: Option<&Value>, default: f64) -> Result<Duration> {
    let secs = match value {
        None | Some(Value::Null) => default,
        Some(v) => v.as_f64().unwrap_or(f64::NAN),
    };
    let sound = (0.001..=86_400.0).contains(&secs);
    if sound {
        Ok(Duration::from_secs_f64(secs))
    } else {
        wrong(file, key, "not a number of seconds up to a day")
    }
}

fn only(file: &str, at: &str, map: &Map<String, Value>, known: &[&str]) -> Result<()> {
    match map.keys().find(|k| !known.contains(&k.as_str())) {
        Some(key) => wrong(file, &format!("{at}{key}"), "unknown key"),
        None => Ok(()),
    }
}

fn object<'a>(file: &str, key: &str, value: &'a Value) -> Result<&'a Map<String, Value>> {
    value.as_object().map_or_else(|| wrong(file, key, "not an object"), Ok)
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// Adds a class and a kind of workers for each queue. Jobs of a queue go to workers that fetch from it and
/// to no others, and other classes never go there.
fn add_queues(file: &str, faktory: &Value, settings: &mut Value) -> Result<Vec<Queue>> {
    let mut kinds = names(settings, "/kinds");
    let own_kinds: Vec<usize> = (0..kinds.len()).collect();
    let mut classes = settings.get("classes").and_then(Value::as_array).cloned().unwrap_or_default();
    if !classes.is_empty() && own_kinds.is_empty() {
        return wrong(file, "faktory", "settings.kinds must name the kinds of the platform's own workers");
    }
    for class in classes.iter_mut().filter_map(Value::as_object_mut) {
        class.entry("kindsOnly").or_insert(json!(own_kinds));
    }
    let default = json!({"default": {}});
    let listed = object(file, "faktory.queues", faktory.get("queues").unwrap_or(&default))?;
    let mut queues = Vec::new();
    for (name, queue) in listed {
        let at = format!("faktory.queues.{name}");
        let map = object(file, &at, queue)?;
        only(file, &format!("{at}."), map, &["deadline_s", "wanted_s", "workers_drop_repeats"])?;
        let deadline = seconds(file, &format!("{at}.deadline_s"), map.get("deadline_s"), 6.0)?;
        let wanted =
            seconds(file, &format!("{at}.wanted_s"), map.get("wanted_s"), deadline.as_secs_f64() / 2.0)?;
        // Stock Faktory workers run a job again if they get it again.
        let effect = match map.get("workers_drop_repeats") {
            None | Some(Value::Bool(false)) => "non_idempotent",
            Some(Value::Bool(true)) => "idempotency_key",
            Some(_) => return wrong(file, &format!("{at}.workers_drop_repeats"), "not true or false"),
        };
        let kind = kinds.len();
        kinds.push(format!("faktory:{name}"));
        classes.push(json!({
            "name": format!("faktory:{name}"), "onTime": nanos(wanted), "deadline": nanos(deadline), "worth": 1.0,
            "lateValue": 1.0, "effect": effect, "group": "all", "window": 10_000_000_000_u64, "kindsOnly": [kind],
        }));
        let (class, kind) = (classes.len() - 1, kind);
        let (Ok(class), Ok(kind)) = (u16::try_from(class), u16::try_from(kind)) else {
            return wrong(file, &at, "too many queues");
        };
        queues.push(Queue { name: name.clone(), class, kind, deadline });
    }
    if let Some(map) = settings.as_object_mut() {
        map.insert("kinds".to_owned(), json!(kinds));
        map.insert("classes".to_owned(), Value::Array(classes));
    }
    Ok(queues)
}

fn faktory(file: &str, json: &Value, settings: &mut Value) -> Result<Faktory> {
    let map = object(file, "faktory", json)?;
    only(file, "faktory.", map, &["listen", "password", "queues", "heartbeat_s", "reserve_for_s", "key"])?;
    let text = |name: &str| match map.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(_) => wrong(file, &format!("faktory.{name}"), "not a text"),
    };
    let Some(listen) = address(file, "faktory.listen", map.get("listen"))? else {
        return wrong(file, "faktory.listen", "missing");
    };
    Ok(Faktory {
        listen,
        password: text("password")?,
        heartbeat: seconds(file, "faktory.heartbeat_s", map.get("heartbeat_s"), 60.0)?,
        reserve_for: seconds(file, "faktory.reserve_for_s", map.get("reserve_for_s"), 1800.0)?,
        key: text("key")?,
        queues: add_queues(file, json, settings)?,
    })
}

fn fleet(file: &str, json: &Value) -> Result<Fleet> {
    let fleet: Fleet = serde_json::from_value(json.clone()).or_else(|e| wrong(file, "fleet", e))?;
    let mut addresses: Vec<SocketAddr> = fleet.control.into_iter().collect();
    for (id, text) in &fleet.keepers {
        addresses.extend(address(file, &format!("fleet.keepers.{id}"), Some(&json!(text)))?);
    }
    // Whoever reaches it may change it, so it stays on this machine.
    if let Some(far) = addresses.iter().find(|a| !a.ip().is_loopback()) {
        return wrong(file, "fleet", format!("{far}: control and keepers must be loopback addresses"));
    }
    for (key, text) in [("fleet.zone", &fleet.zone), ("fleet.version", &fleet.version)] {
        if text.parse::<pebblepost_fleet::Text>().is_err() {
            return wrong(file, key, "too long, or with control characters");
        }
    }
    Ok(fleet)
}

/// Reads everything. `var`: the environment; `operator`: the operator's file, if one is named.
pub fn read(var: impl Fn(&str) -> Option<String>, operator: Option<&Path>) -> Result<Config> {
    let path = var("PROXY_CONFIG").map(PathBuf::from);
    let file = path.as_ref().map_or("environment".to_owned(), |p| p.display().to_string());
    let json = path.as_deref().map(read_json).transpose()?.unwrap_or(json!({}));
    object(&file, "JSON", &json)?;
    let op = operator.map(read_json).transpose()?.unwrap_or(json!({}));
    let op_file = operator.map(|p| p.display().to_string()).unwrap_or_default();
    let op_map = object(&op_file, "JSON", &op)?;
    only(&op_file, "", op_map, &["name", "faktory", "agent_check", "health", "fleet", "settings"])?;
    if path.is_none() && operator.is_none() {
        return wrong("environment", "PROXY_CONFIG", "missing, and no operator's file is named");
    }

    let env_address = |name: &str, key: &str| match var(name) {
        Some(text) => address("environment", name, Some(&Value::String(text))),
        None => address(&file, key, json.get(key)),
    };
    let (listen, discovery) =
        (env_address("PROXY_LISTEN", "listen")?, env_address("PROXY_DISCOVERY", "discovery")?);
    let from_file = |json: &Value| json.get("name").and_then(Value::as_str).map(str::to_owned);
    let name = var("PROXY_NAME").or_else(|| from_file(&json)).or_else(|| from_file(&op));
    let seed = match json.get("seed") {
        None => {
            u64::from(std::process::id()) ^ std::time::UNIX_EPOCH.elapsed().map_or(0, |d| d.as_nanos() as u64)
        }
        Some(Value::Number(n)) if n.is_u64() => n.as_u64().unwrap_or_default(),
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).or_else(|e| wrong(&file, "seed", e))?,
        Some(_) => return wrong(&file, "seed", "not a number in hexadecimal"),
    };
    let sockets = match json.pointer("/limits/sockets") {
        None => 1024,
        Some(n) => match n.as_u64().filter(|n| *n > 40) {
            Some(n) => n as usize,
            None => return wrong(&file, "limits.sockets", "not a number above 40"),
        },
    };

    let mut settings_json = match json.get("settings") {
        Some(settings) => settings.clone(),
        None if op.get("faktory").is_some() => own_settings(),
        None => return wrong(&file, "settings", "missing"),
    };
    object(&file, "settings", &settings_json)?;
    if let Some(over) = op.get("settings") {
        object(&op_file, "settings", over)?;
        if let Some(room) = over.get("room") {
            let known = ["enabled", "deviations", "mostHeld"];
            only(&op_file, "settings.room.", object(&op_file, "settings.room", room)?, &known)?;
        }
        overlay(&mut settings_json, over);
    }
    if discovery.is_none() {
        overlay(&mut settings_json, &json!({"discovery": "push"}));
    }
    let classes = names(&settings_json, "/classes");
    let faktory = op.get("faktory").map(|f| faktory(&op_file, f, &mut settings_json)).transpose()?;
    let named = if op.get("settings").is_some() { format!("{file} with {op_file}") } else { file.clone() };
    let settings = read_settings(&named, &settings_json)?;
    if listen.is_none() && faktory.is_none() {
        return wrong(&file, "listen", "missing");
    }
    let deadlines = settings.classes.iter().map(|c| c.deadline);
    Ok(Config {
        name: name.unwrap_or_else(|| "pebblepost".to_owned()),
        listen,
        discovery,
        seed,
        sockets,
        known: json.get("known").filter(|k| k.is_object()).cloned(),
        classes: classes.into_iter().zip(deadlines).collect(),
        tenants: names(&settings_json, "/tenants"),
        zones: names(&settings_json, "/failureDomains"),
        kinds: names(&settings_json, "/kinds"),
        report_names: names(&settings_json, "/report/names"),
        connect_timeout: connect_timeout(&settings_json),
        settings,
        settings_json,
        faktory,
        agent_check: listener(&op_file, op_map, "agent_check")?,
        health: listener(&op_file, op_map, "health")?,
        fleet: op.get("fleet").map(|f| fleet(&op_file, f)).transpose()?,
    })
}

fn connect_timeout(settings: &Value) -> Duration {
    let nanos = settings.pointer("/caps/connectTimeout").and_then(Value::as_f64).unwrap_or(0.0);
    if nanos >= 1.0 { Duration::from_nanos(nanos as u64) } else { Duration::from_millis(250) }
}

fn listener(file: &str, map: &Map<String, Value>, key: &str) -> Result<Option<SocketAddr>> {
    let Some(json) = map.get(key) else { return Ok(None) };
    only(file, &format!("{key}."), object(file, key, json)?, &["listen"])?;
    address(file, &format!("{key}.listen"), json.get("listen"))
}

/// Reads the settings as the decisions do. On sockets a refusal always can say when to come back.
pub fn read_settings(file: &str, json: &Value) -> Result<Settings> {
    let mut settings = parse_settings(&flatten(json)).or_else(|e| wrong(file, "settings", e))?;
    settings.retry_after_enabled = true;
    if settings.max_retry_after.is_zero() {
        settings.max_retry_after = Duration::from_secs(2);
    }
    if settings.classes.is_empty() {
        return wrong(file, "settings.classes", "no class of requests");
    }
    Ok(settings)
}
