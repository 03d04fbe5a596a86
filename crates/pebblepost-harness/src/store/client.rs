//! A client of the agreed store that speaks its protocol from the description, not by the store's own code.

use super::connection::{Connection, ConnectionError};
use anyhow::{Context, Result};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// One replica has this long to answer before the next is asked.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// No replica gave a final answer in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{last}")]
pub struct NoAnswer {
    /// The last reply or error, in words.
    last: String,
}

/// The replica that is thought to lead, by its place; clients share it.
pub type Leader = Arc<AtomicUsize>;

/// A connection that is kept for the next request.
struct Idle {
    place: usize,
    connection: Connection,
}

/// The client.
pub struct StoreClient {
    addresses: Vec<SocketAddr>,
    leader: Leader,
    idle: Option<Idle>,
    first: Option<usize>,
}

impl StoreClient {
    /// A client of the replicas at these addresses, in the order of their places.
    pub fn new(addresses: Vec<SocketAddr>, leader: Leader) -> Self {
        Self { addresses, leader, idle: None, first: None }
    }

    /// The replica that the next request goes to first, whichever is thought to lead.
    pub fn start_with(&mut self, place: usize) {
        self.first = Some(place);
    }

    async fn exchange(&mut self, place: usize, request: &Value) -> Result<Value, ConnectionError> {
        let mut connection = match self.idle.take() {
            Some(idle) if idle.place == place => idle.connection,
            _ => Connection::open(self.addresses[place]).await?,
        };
        connection.send(request).await?;
        let reply = connection.receive().await?;
        self.idle = Some(Idle { place, connection });
        Ok(reply)
    }

    /// Sends a request to one replica after another until one answers that may.
    ///
    /// # Errors
    ///
    /// If none has within `limit`: the last reply or error.
    pub async fn request(&mut self, request: &Value, limit: Duration) -> Result<Value, NoAnswer> {
        let (end, count) = (Instant::now() + limit, self.addresses.len());
        let mut last = String::new();
        let mut place = self.first.take().unwrap_or_else(|| self.leader.load(Ordering::Relaxed)) % count;
        while Instant::now() < end {
            let next = (place + 1) % count;
            let answer_by = end.min(Instant::now() + REPLICA_TIMEOUT);
            match timeout_at(answer_by, self.exchange(place, request)).await {
                Ok(Ok(reply)) => {
                    let leader_id = reply.get("elsewhere").map(|id| id.as_u64().unwrap_or(0) as usize);
                    let is_final = leader_id.is_none() && reply.get("failed").is_none();
                    if is_final {
                        self.leader.store(place, Ordering::Relaxed);
                        return Ok(reply);
                    }
                    // Ids go round the places, as disks are replaced.
                    let leader = leader_id.filter(|id| *id >= 1).map(|id| (id - 1) % count);
                    place = leader.filter(|leader| *leader != place).unwrap_or(next);
                    last = reply.to_string();
                }
                Ok(Err(error)) => (last, place) = (error.to_string(), next),
                Err(_) => {
                    self.idle = None;
                    (last, place) = ("no answer in time".to_owned(), next);
                }
            }
            sleep(RETRY_PAUSE).await;
        }
        Err(NoAnswer { last })
    }

    /// The command that drains a worker, or ends its drain.
    pub fn command(id: (u64, u64), worker: &str, drain: bool, tag: &str) -> Value {
        let op = if drain { json!({"drain": worker}) } else { json!({"undrain": worker}) };
        let act = json!({"change": {"ops": [op], "expect": [], "why": tag}});
        json!({"command": {"id": [id.0, id.1], "by": "desk", "at_ms": 0, "act": act}})
    }

    /// Reads the tag of a worker's drain mark; `None`: it has none.
    ///
    /// # Errors
    ///
    /// If no replica answers in time, or the reply has another form.
    pub async fn read(&mut self, worker: &str, limit: Duration) -> Result<Option<String>> {
        let key = format!("drain/{worker}");
        let reply = self.request(&json!({"get": [key]}), limit).await?;
        let entries = reply.pointer("/found/entries").with_context(|| format!("not found: {reply}"))?;
        Ok(tag(entries.get(&key)))
    }
}

/// The tag of a drain mark, as an entry of the state contains it.
pub fn tag(entry: Option<&Value>) -> Option<String> {
    Some(entry?.pointer("/value/drain/why")?.as_str().unwrap_or_default().to_owned())
}
