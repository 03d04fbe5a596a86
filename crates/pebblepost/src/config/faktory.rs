//! Section `faktory` of the operator file.

use super::error::{ConfigProblem, Result, fail};
use super::json::{check_keys, read_address, read_names, read_object, read_seconds};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

const KNOWN_KEYS: [&str; 6] = ["listen", "password", "queues", "heartbeat_s", "reserve_for_s", "key"];
const KNOWN_QUEUE_KEYS: [&str; 3] = ["deadline_s", "wanted_s", "workers_drop_repeats"];
const DEFAULT_HEARTBEAT_S: f64 = 60.0;
const DEFAULT_RESERVE_FOR_S: f64 = 1800.0;
const DEFAULT_DEADLINE_S: f64 = 6.0;
/// Time during which duplicates of a job are recognised, in nanoseconds. It equals the front end's
/// [`DEDUPLICATION_WINDOW`](crate::front::faktory::DEDUPLICATION_WINDOW).
const DEDUPLICATION_WINDOW_NS: u64 = 10_000_000_000;

/// A queue of the Faktory front end.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Index of the queue's request class in the settings.
    pub class: u16,
    /// Index of the kind of workers that fetch from the queue.
    pub kind: u16,
    /// How long a producer waits for the response.
    pub deadline: Duration,
}

/// Configuration of the Faktory front end.
#[derive(Clone, Debug)]
pub struct FaktoryConfig {
    /// Address on which the front end listens.
    pub listen: SocketAddr,
    /// Password that producers and workers must prove to know; `None` if none is required.
    pub password: Option<String>,
    /// The queues. A push to any other queue is rejected; a fetch ignores other queues.
    pub queues: Vec<Queue>,
    /// A worker that sends nothing for this long counts as lost.
    pub heartbeat: Duration,
    /// How long a worker may keep a job before its attempt times out, unless the job gives its own time.
    pub reserve_for: Duration,
    /// Name of the entry in a job's `custom` object that identifies duplicates; `None` to use the `jid`.
    pub key: Option<String>,
}

impl FaktoryConfig {
    /// Reads the section, and adds a request class and a worker kind for each queue to `settings`.
    pub(super) fn read(file: &str, json: &Value, settings: &mut Value) -> Result<Self> {
        let map = read_object(file, "faktory", json)?;
        check_keys(file, "faktory.", map, &KNOWN_KEYS)?;
        let optional_text = |name: &str| match map.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(_) => fail(file, &format!("faktory.{name}"), ConfigProblem::NotText),
        };
        let seconds =
            |name: &str, default_s| read_seconds(file, &format!("faktory.{name}"), map.get(name), default_s);
        let Some(listen) = read_address(file, "faktory.listen", map.get("listen"))? else {
            return fail(file, "faktory.listen", ConfigProblem::Missing);
        };
        Ok(Self {
            listen,
            password: optional_text("password")?,
            heartbeat: seconds("heartbeat_s", DEFAULT_HEARTBEAT_S)?,
            reserve_for: seconds("reserve_for_s", DEFAULT_RESERVE_FOR_S)?,
            key: optional_text("key")?,
            queues: add_queues(file, json, settings)?,
        })
    }
}

/// Returns the default settings of a deployment with only the Faktory front end. The operator file may override them.
pub(super) fn default_settings() -> Value {
    json!({
        "instances": 1, "discovery": "push", "tick": 2_000_000, "classes": [], "kinds": [],
        "caps": {"probing": true, "cancelling": true, "retryAfter": true, "mayDuplicate": false, "sendCap": 3,
                 "maxRetryAfter": 30_000_000_000_u64, "keepalive": 30_000_000_000_u64, "connectTimeout": 250_000_000},
        "report": {"names": ["x0", "waiting"], "source": "pull"}, "domain": {"reportX0": "free_slots"},
        "invariants": {"stopSendingWithin": 500_000_000, "answerSlack": 8_000_000, "coldFrom": 1.0}
    })
}

/// Adds a request class and a worker kind for each queue to the settings, and returns the queues.
///
/// The class of a queue is restricted to the queue's own worker kind, and all other classes to the platform's kinds. Jobs
/// therefore go only to workers that fetch from their queue, and other requests never go to those workers.
fn add_queues(file: &str, faktory: &Value, settings: &mut Value) -> Result<Vec<Queue>> {
    let mut kinds = read_names(settings, "/kinds");
    let platform_kinds: Vec<usize> = (0..kinds.len()).collect();
    let mut classes = settings.get("classes").and_then(Value::as_array).cloned().unwrap_or_default();
    if !classes.is_empty() && platform_kinds.is_empty() {
        return fail(file, "faktory", ConfigProblem::KindsMissing);
    }
    for class in classes.iter_mut().filter_map(Value::as_object_mut) {
        class.entry("kindsOnly").or_insert(json!(platform_kinds));
    }
    let default = json!({"default": {}});
    let configured = read_object(file, "faktory.queues", faktory.get("queues").unwrap_or(&default))?;
    let mut queues = Vec::new();
    for (name, json) in configured {
        let queue = read_queue(file, name, json)?;
        let (Ok(class), Ok(kind)) = (u16::try_from(classes.len()), u16::try_from(kinds.len())) else {
            return fail(file, &format!("faktory.queues.{name}"), ConfigProblem::TooManyQueues);
        };
        kinds.push(format!("faktory:{name}"));
        classes.push(queue.class_settings(name, kind));
        queues.push(Queue { name: name.clone(), class, kind, deadline: queue.deadline });
    }
    if let Some(map) = settings.as_object_mut() {
        map.insert("kinds".to_owned(), json!(kinds));
        map.insert("classes".to_owned(), Value::Array(classes));
    }
    Ok(queues)
}

/// Settings of a queue in the operator file.
struct QueueSettings {
    deadline: Duration,
    latency_target: Duration,
    /// Idempotency of the queue's class, as written in the settings.
    effect: &'static str,
}

impl QueueSettings {
    /// Builds the settings of the queue's request class.
    fn class_settings(&self, name: &str, kind: u16) -> Value {
        json!({
            "name": format!("faktory:{name}"), "onTime": to_nanoseconds(self.latency_target),
            "deadline": to_nanoseconds(self.deadline), "worth": 1.0, "lateValue": 1.0, "effect": self.effect,
            "group": "all", "window": DEDUPLICATION_WINDOW_NS, "kindsOnly": [kind],
        })
    }
}

fn read_queue(file: &str, name: &str, json: &Value) -> Result<QueueSettings> {
    let path = format!("faktory.queues.{name}");
    let map = read_object(file, &path, json)?;
    check_keys(file, &format!("{path}."), map, &KNOWN_QUEUE_KEYS)?;
    let seconds =
        |key: &str, default_s| read_seconds(file, &format!("{path}.{key}"), map.get(key), default_s);
    let deadline = seconds("deadline_s", DEFAULT_DEADLINE_S)?;
    let latency_target = seconds("wanted_s", deadline.as_secs_f64() / 2.0)?;
    let effect = match map.get("workers_drop_repeats") {
        // Standard Faktory workers run a job again if it is delivered again.
        None | Some(Value::Bool(false)) => "non_idempotent",
        Some(Value::Bool(true)) => "idempotency_key",
        Some(_) => return fail(file, &format!("{path}.workers_drop_repeats"), ConfigProblem::NotBoolean),
    };
    Ok(QueueSettings { deadline, latency_target, effect })
}

fn to_nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
