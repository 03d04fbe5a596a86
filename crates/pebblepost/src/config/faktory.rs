//! The part `faktory` of the operator's file.

use super::error::{ConfigProblem, Result, fail};
use super::json::{address, check_keys, names, object, seconds};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

const KNOWN_KEYS: [&str; 6] = ["listen", "password", "queues", "heartbeat_s", "reserve_for_s", "key"];
const KNOWN_QUEUE_KEYS: [&str; 3] = ["deadline_s", "wanted_s", "workers_drop_repeats"];
const DEFAULT_HEARTBEAT_S: f64 = 60.0;
const DEFAULT_RESERVE_FOR_S: f64 = 1800.0;
const DEFAULT_DEADLINE_S: f64 = 6.0;
/// The time within which a queue's workers drop repeats, in nanoseconds.
const DEDUPLICATION_WINDOW_NS: u64 = 10_000_000_000;

/// A queue of the Faktory front.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Index of its class.
    pub class: u16,
    /// Index of the kind of the workers that fetch from it.
    pub kind: u16,
    /// How long a producer waits.
    pub deadline: Duration,
}

/// The Faktory front.
#[derive(Clone, Debug)]
pub struct FaktoryConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What producers and workers have to prove that they know.
    pub password: Option<String>,
    /// The queues; others are unknown.
    pub queues: Vec<Queue>,
    /// A worker that sends nothing for this long is lost.
    pub heartbeat: Duration,
    /// A job that a worker has kept for this long is lost, unless the job itself says otherwise.
    pub reserve_for: Duration,
    /// Name of the entry in a job's `custom` that tells repeats; `None`: the `jid` does.
    pub key: Option<String>,
}

impl FaktoryConfig {
    /// Reads the part, and adds a class and a kind of workers for each queue to `settings`.
    pub(super) fn read(file: &str, json: &Value, settings: &mut Value) -> Result<Self> {
        let map = object(file, "faktory", json)?;
        check_keys(file, "faktory.", map, &KNOWN_KEYS)?;
        let text = |name: &str| match map.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(_) => fail(file, &format!("faktory.{name}"), ConfigProblem::NotText),
        };
        let seconds =
            |name: &str, default_s| seconds(file, &format!("faktory.{name}"), map.get(name), default_s);
        let Some(listen) = address(file, "faktory.listen", map.get("listen"))? else {
            return fail(file, "faktory.listen", ConfigProblem::Missing);
        };
        Ok(Self {
            listen,
            password: text("password")?,
            heartbeat: seconds("heartbeat_s", DEFAULT_HEARTBEAT_S)?,
            reserve_for: seconds("reserve_for_s", DEFAULT_RESERVE_FOR_S)?,
            key: text("key")?,
            queues: add_queues(file, json, settings)?,
        })
    }
}

/// Settings of a deployment that has only the Faktory front; the operator's file may change them.
pub(super) fn default_settings() -> Value {
    json!({
        "instances": 1, "discovery": "push", "tick": 2_000_000, "classes": [], "kinds": [],
        "caps": {"probing": true, "cancelling": true, "retryAfter": true, "mayDuplicate": false, "sendCap": 3,
                 "maxRetryAfter": 30_000_000_000_u64, "keepalive": 30_000_000_000_u64, "connectTimeout": 250_000_000},
        "report": {"names": ["x0", "waiting"], "source": "pull"}, "domain": {"reportX0": "free_slots"},
        "invariants": {"stopSendingWithin": 500_000_000, "answerSlack": 8_000_000, "coldFrom": 1.0}
    })
}

/// Adds a class and a kind of workers for each queue. Jobs of a queue go to workers that fetch from it and to no others, and
/// requests of other classes never go there.
fn add_queues(file: &str, faktory: &Value, settings: &mut Value) -> Result<Vec<Queue>> {
    let mut kinds = names(settings, "/kinds");
    let platform_kinds: Vec<usize> = (0..kinds.len()).collect();
    let mut classes = settings.get("classes").and_then(Value::as_array).cloned().unwrap_or_default();
    if !classes.is_empty() && platform_kinds.is_empty() {
        return fail(file, "faktory", ConfigProblem::KindsMissing);
    }
    for class in classes.iter_mut().filter_map(Value::as_object_mut) {
        class.entry("kindsOnly").or_insert(json!(platform_kinds));
    }
    let default = json!({"default": {}});
    let listed = object(file, "faktory.queues", faktory.get("queues").unwrap_or(&default))?;
    let mut queues = Vec::new();
    for (name, json) in listed {
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

/// What the operator's file says of a queue.
struct QueueSettings {
    deadline: Duration,
    latency_target: Duration,
    /// The idempotency of its class, as the settings word it.
    effect: &'static str,
}

impl QueueSettings {
    fn class_settings(&self, name: &str, kind: u16) -> Value {
        json!({
            "name": format!("faktory:{name}"), "onTime": nanoseconds(self.latency_target),
            "deadline": nanoseconds(self.deadline), "worth": 1.0, "lateValue": 1.0, "effect": self.effect,
            "group": "all", "window": DEDUPLICATION_WINDOW_NS, "kindsOnly": [kind],
        })
    }
}

fn read_queue(file: &str, name: &str, json: &Value) -> Result<QueueSettings> {
    let path = format!("faktory.queues.{name}");
    let map = object(file, &path, json)?;
    check_keys(file, &format!("{path}."), map, &KNOWN_QUEUE_KEYS)?;
    let seconds = |key: &str, default_s| seconds(file, &format!("{path}.{key}"), map.get(key), default_s);
    let deadline = seconds("deadline_s", DEFAULT_DEADLINE_S)?;
    let latency_target = seconds("wanted_s", deadline.as_secs_f64() / 2.0)?;
    let effect = match map.get("workers_drop_repeats") {
        // Stock Faktory workers run a job again if they get it again.
        None | Some(Value::Bool(false)) => "non_idempotent",
        Some(Value::Bool(true)) => "idempotency_key",
        Some(_) => return fail(file, &format!("{path}.workers_drop_repeats"), ConfigProblem::NotBoolean),
    };
    Ok(QueueSettings { deadline, latency_target, effect })
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
