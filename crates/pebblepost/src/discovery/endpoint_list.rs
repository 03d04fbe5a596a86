//! Parsing of the lists of workers that discovery sends.

use pebblepost_dispatch::api::WorkerState;
use serde_json::Value;
use std::net::SocketAddr;

/// The complete list of workers, or changes to it.
#[derive(Debug)]
pub(super) struct EndpointList {
    /// Version of the list; `seq` on the wire.
    pub(super) version: u64,
    /// Whether the list is complete, so that workers that it does not contain are gone; `whole` on the wire.
    pub(super) complete: bool,
    /// The workers on the list; `hosts` on the wire.
    pub(super) endpoints: Vec<ListedEndpoint>,
}

/// A worker on a list.
#[derive(Debug)]
pub(super) struct ListedEndpoint {
    /// Name of the worker.
    pub(super) host: String,
    /// Where the worker is reached, `dial` on the wire; may be `None` only if the worker is gone.
    pub(super) address: Option<SocketAddr>,
    /// Name or index of the worker's zone; `site` on the wire.
    pub(super) zone: Value,
    /// Name or index of the worker's machine type; `class` on the wire.
    pub(super) kind: Value,
    /// Index of the worker's cell, `block` on the wire; 0 if unknown.
    pub(super) cell: u16,
    /// `health` on the wire.
    pub(super) state: WorkerState,
    /// Unix time of the worker's start, in milliseconds; 0 if unknown.
    pub(super) born_ms: u64,
}

impl EndpointList {
    /// Parses a list; `None` if it is malformed.
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
            // A worker that is gone needs no address.
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
