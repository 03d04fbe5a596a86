//! The control endpoint for operators of this machine, at the loopback address `fleet.control`.
//!
//! Requests and replies are lines of JSON. A request is `{"drain":WORKER}` or `{"undrain":WORKER}`, both with an optional
//! `"why"`, or `{"show":true}`. The reply to each is one line: `{"ok":true}`, the state, or `{"error":REASON}`.
//!
//! A drain requested here takes effect at this dispatcher immediately and is proposed to the store group.

use super::shared::{Shared, lock};
use pebblepost_fleet::follower::LocalDrainError;
use pebblepost_fleet::name::InvalidName;
use pebblepost_fleet::{Name, Text};
use pebblepost_fleet_store::client::new_request_id;
use pebblepost_fleet_store::clock::unix_ms;
use serde_json::{Value, json};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// Limit for the length of a request line, in bytes. The rest of a longer line is taken for another request.
const MAX_REQUEST_LINE_BYTES: u64 = 4_096;
/// Limit for concurrent connections.
const MAX_CONNECTIONS: usize = 8;
/// Time limit for a connection, after which it is closed.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(100);
/// The operator recorded in the history as the one who set a local drain.
const LOCAL_DRAIN_SET_BY: &str = "operator here";

/// The reason why a request of an operator failed.
#[derive(Debug, Error)]
enum ControlError {
    #[error("request is not a JSON object; expected drain, undrain or show")]
    NotJson,
    #[error("unknown request; expected one of drain, undrain or show")]
    UnknownRequest,
    #[error(transparent)]
    InvalidName(#[from] InvalidName),
    #[error(transparent)]
    Drain(#[from] LocalDrainError),
}

/// A request of an operator.
enum ControlRequest {
    Drain { worker: Name, reason: Text },
    Undrain { worker: Name },
    Show,
}

impl ControlRequest {
    fn parse(line: &str) -> Result<Self, ControlError> {
        let Ok(json @ Value::Object(_)) = serde_json::from_str(line) else {
            return Err(ControlError::NotJson);
        };
        let name = |key: &str| json.get(key).and_then(Value::as_str).map(str::parse::<Name>);
        let reason = json.get("why").and_then(Value::as_str).unwrap_or_default().parse::<Text>();
        match (name("drain"), name("undrain"), reason) {
            (Some(Ok(worker)), None, Ok(reason)) => Ok(Self::Drain { worker, reason }),
            (None, Some(Ok(worker)), _) => Ok(Self::Undrain { worker }),
            (None, None, _) if json.get("show").is_some() => Ok(Self::Show),
            (Some(Err(error)), ..) | (_, Some(Err(error)), _) | (.., Err(error)) => Err(error.into()),
            _ => Err(ControlError::UnknownRequest),
        }
    }
}

/// Serves operators on the listener; without one it waits forever.
pub(super) async fn run(shared: Arc<Shared>, control: Option<TcpListener>) {
    let listener = control.and_then(|listener| tokio::net::TcpListener::from_std(listener).ok());
    let Some(listener) = listener else { return std::future::pending().await };
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    let _ = timeout(CONNECTION_TIMEOUT, serve_connection(&shared, stream)).await;
                    drop(permit);
                });
            }
            Err(_) => sleep(ACCEPT_ERROR_BACKOFF).await,
        }
    }
}

async fn serve_connection(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    let (input, mut output) = stream.into_split();
    let mut input = BufReader::new(input.take(MAX_REQUEST_LINE_BYTES));
    let mut line = String::new();
    while input.read_line(&mut line).await? > 0 {
        let reply = match ControlRequest::parse(&line).and_then(|request| execute(shared, request)) {
            Ok(reply) => reply,
            Err(error) => json!({"error": error.to_string()}),
        };
        output.write_all(format!("{reply}\n").as_bytes()).await?;
        line.clear();
        input.get_mut().set_limit(MAX_REQUEST_LINE_BYTES);
    }
    Ok(())
}

fn execute(shared: &Shared, request: ControlRequest) -> Result<Value, ControlError> {
    match request {
        ControlRequest::Drain { worker, reason } => {
            let set_by: Name = LOCAL_DRAIN_SET_BY.parse().unwrap_or_else(|_| worker.clone());
            shared.update(|follower| follower.drain(worker, new_request_id(), set_by, unix_ms(), reason))?;
        }
        ControlRequest::Undrain { worker } => shared.update(|follower| follower.undrain(&worker))?,
        ControlRequest::Show => return Ok(state_json(shared)),
    }
    shared.report_due.notify_one();
    Ok(json!({"ok": true}))
}

/// Returns the agreed revision, the time since it was confirmed and the drained workers as JSON.
fn state_json(shared: &Shared) -> Value {
    let follower = lock(&shared.follower);
    let local: Vec<&str> = follower.local_drains().map(|(name, _)| name.as_str()).collect();
    let drained: Vec<&str> = follower.drained_workers().into_iter().map(Name::as_str).collect();
    let age_s = follower.age(shared.now()).map(|age| age.as_secs_f64());
    json!({"revision": follower.revision(), "confirmed_s_ago": age_s, "drained": drained, "local": local})
}
