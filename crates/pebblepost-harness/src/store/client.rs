//! A client of the replicated store. It implements the documented protocol independently of the store's own code.

use super::connection::{Connection, ConnectionError};
use anyhow::{Context, Result};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Time limit for one replica to respond before the next one is tried.
const REPLICA_REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a retry.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// No replica gave a final response within the time limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{last_failure}")]
pub struct RequestTimeout {
    /// Text of the last reply or error.
    last_failure: String,
}

/// Index of the replica that is assumed to be the leader. Clients share it.
pub type LeaderHint = Arc<AtomicUsize>;

/// An open connection that is reused for the next request to the same replica.
struct IdleConnection {
    replica: usize,
    connection: Connection,
}

/// A client of the replicated store that finds the leader and retries at other replicas.
pub struct StoreClient {
    addresses: Vec<SocketAddr>,
    leader: LeaderHint,
    idle: Option<IdleConnection>,
    first_replica: Option<usize>,
}

impl StoreClient {
    /// Creates a client of the replicas at `addresses`, ordered by their index.
    pub fn new(addresses: Vec<SocketAddr>, leader: LeaderHint) -> Self {
        Self { addresses, leader, idle: None, first_replica: None }
    }

    /// Sends the next request to `replica` first, whichever replica is assumed to be the leader.
    pub fn try_first(&mut self, replica: usize) {
        self.first_replica = Some(replica);
    }

    async fn exchange(&mut self, replica: usize, request: &Value) -> Result<Value, ConnectionError> {
        let mut connection = match self.idle.take() {
            Some(idle) if idle.replica == replica => idle.connection,
            _ => Connection::open(self.addresses[replica]).await?,
        };
        connection.send(request).await?;
        let reply = connection.receive().await?;
        self.idle = Some(IdleConnection { replica, connection });
        Ok(reply)
    }

    /// Sends a request to one replica after another until one gives a final response.
    ///
    /// # Errors
    ///
    /// Returns the last reply or error if there is no final response within `limit`.
    pub async fn request(&mut self, request: &Value, limit: Duration) -> Result<Value, RequestTimeout> {
        let (deadline, count) = (Instant::now() + limit, self.addresses.len());
        let mut last_failure = String::new();
        let mut replica =
            self.first_replica.take().unwrap_or_else(|| self.leader.load(Ordering::Relaxed)) % count;
        while Instant::now() < deadline {
            let next = (replica + 1) % count;
            let reply_deadline = deadline.min(Instant::now() + REPLICA_REPLY_TIMEOUT);
            match timeout_at(reply_deadline, self.exchange(replica, request)).await {
                Ok(Ok(reply)) => {
                    let leader_id = reply.get("elsewhere").map(|id| id.as_u64().unwrap_or(0) as usize);
                    let is_final = leader_id.is_none() && reply.get("failed").is_none();
                    if is_final {
                        self.leader.store(replica, Ordering::Relaxed);
                        return Ok(reply);
                    }
                    // Ids wrap around the replica indexes: each replaced disk adds the number of replicas to the id.
                    let leader = leader_id.filter(|id| *id >= 1).map(|id| (id - 1) % count);
                    replica = leader.filter(|leader| *leader != replica).unwrap_or(next);
                    last_failure = reply.to_string();
                }
                Ok(Err(error)) => (last_failure, replica) = (error.to_string(), next),
                Err(_) => {
                    self.idle = None;
                    (last_failure, replica) = ("replica did not reply in time".to_owned(), next);
                }
            }
            sleep(RETRY_BACKOFF).await;
        }
        Err(RequestTimeout { last_failure })
    }

    /// Builds the command that drains a worker, or ends its drain.
    pub fn drain_command(id: (u64, u64), worker: &str, drain: bool, tag: &str) -> Value {
        let op = if drain { json!({"drain": worker}) } else { json!({"undrain": worker}) };
        let act = json!({"change": {"ops": [op], "expect": [], "why": tag}});
        json!({"command": {"id": [id.0, id.1], "by": "desk", "at_ms": 0, "act": act}})
    }

    /// Reads the tag of a worker's drain mark; `None` if the worker is not drained.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica responds in time, or the reply has an unexpected form.
    pub async fn read_drain_tag(&mut self, worker: &str, limit: Duration) -> Result<Option<String>> {
        let key = format!("drain/{worker}");
        let reply = self.request(&json!({"get": [key]}), limit).await?;
        let entries =
            reply.pointer("/found/entries").with_context(|| format!("reply without entries: {reply}"))?;
        Ok(drain_tag(entries.get(&key)))
    }
}

/// Extracts the tag of a drain mark from an entry of the state.
pub fn drain_tag(entry: Option<&Value>) -> Option<String> {
    Some(entry?.pointer("/value/drain/why")?.as_str().unwrap_or_default().to_owned())
}
