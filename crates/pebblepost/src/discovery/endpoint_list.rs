//! Lists of workers as discovery sends them.

use pebblepost_dispatch::api::WorkerState;
use serde_json::Value;
use std::net::SocketAddr;

/// The complete list of workers, or its changes.
#[derive(Debug)]
pub(super) struct EndpointList {
    /// Version of the list, on the wire `seq`.
    pub(super) version: u64,
    /// Whether workers that are not on it are gone, on the wire `whole`.
    pub(super) complete: bool,
    /// On the wire `hosts`.
    pub(super) endpoints: Vec<ListedEndpoint>,
}

/// A worker on a list.
#[derive(Debug)]
pub(super) struct ListedEndpoint {
    pub(super) host: String,
    pub(super) address: Option<SocketAddr>,
    /// Name or index of its zone, on the wire `site`.
    pub(super) zone: Value,
    /// Name or index of its machine type, on the wire `class`.
    pub(super) kind: Value,
    pub(super) cell: u16,
    pub(super) state: WorkerState,
    /// Unix time of its start in milliseconds; 0 if unknown.
    pub(super) born_ms: u64,
}

impl EndpointList {
    /// Reads a list; `None` if it is malformed.
    pub(super) fn from_json(json: &Value) -> Option<Self> {
        let hosts = json.get("hosts")?.as_array()?;
        Some(Self {
            version: json.get("seq")?.as_u64()?,
            complete: json.get("whole")?.as_bool()?,
            endpoints: hosts.iter().map(ListedEndpoint::from_json).collect::<Option<_>>()?,
        })
    }
}

impl ListedEndpoint {
    fn from_json(json: &Value) -> Option<Self> {
        let state = match json.get("health")?.as_str()? {
            "ready" => WorkerState::Ready,
            "draining" => WorkerState::Draining,
            "gone" => WorkerState::Gone,
            _ => return None,
        };
        let address = match json.get("dial").and_then(Value::as_str).map(str::parse) {
            Some(Ok(address)) => Some(address),
            Some(Err(_)) => return None,
            // The address of a worker that is gone does not matter.
            None if state == WorkerState::Gone => None,
            None => return None,
        };
        let cell = json.get("block").and_then(Value::as_u64).and_then(|block| u16::try_from(block).ok());
        Some(Self {
            host: json.get("host")?.as_str()?.to_owned(),
            address,
            zone: json.get("site").cloned().unwrap_or_default(),
            kind: json.get("class").cloned().unwrap_or_default(),
            cell: cell.unwrap_or(0),
            state,
            born_ms: json.get("born_ms").and_then(Value::as_u64).unwrap_or(0),
        })
    }
}
