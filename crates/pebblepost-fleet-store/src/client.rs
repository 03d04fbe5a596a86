//! The client of the group for members and operators. It may send a request to any replica and follows the
//! hint to the leader.

use crate::clock::unix_ms;
use crate::connection::Connection;
use crate::protocol::{Request, Response};
use pebblepost_fleet::{Action, Command, CommandResult, IncarnationId, Name, RequestId};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time limit of an attempt at one replica, after which the next replica is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of [`request_once`].
const SINGLE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Backoff after the first round in which no replica gave a response. It doubles with each round.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: usize = 4;

/// Creates a random request id.
pub fn new_request_id() -> RequestId {
    RequestId(rand::random(), rand::random())
}

/// Creates a random incarnation id.
pub fn new_incarnation_id() -> IncarnationId {
    IncarnationId(rand::random(), rand::random())
}

/// Creates a command with a new request id and the current time.
pub fn new_command(issued_by: Name, action: Action) -> Command {
    Command { id: new_request_id(), issued_by, issued_at_ms: unix_ms(), action }
}

/// No replica gave a response within the time limit.
#[derive(Debug, Error)]
#[error("no keeper answered within {timeout:?}: {last_failure}")]
pub struct GroupUnreachable {
    /// The time limit of the request.
    pub timeout: Duration,
    /// The reason why the last attempt failed.
    pub last_failure: String,
}

/// The reason why an attempt at one replica gave no response.
#[derive(Debug, Error)]
enum AttemptError {
    #[error("keeper {id}: not the leader, which is keeper {leader}")]
    OtherLeader { id: u64, leader: u64 },
    #[error("keeper {id}: no known leader")]
    NoLeader { id: u64 },
    #[error("keeper {id}: {reason}")]
    Failed { id: u64, reason: String },
    #[error("keeper {id}: {error}")]
    Connection { id: u64, error: io::Error },
    #[error("keeper {id}: no response in time")]
    Timeout { id: u64 },
}

/// A client of the group. It holds one connection, to the replica that responded last.
#[derive(Debug)]
pub struct Client {
    replicas: BTreeMap<u64, String>,
    /// The replica to ask first. It is the one that responded last, or the leader according to another
    /// replica.
    preferred: u64,
    connection: Option<(u64, Connection)>,
}

impl Client {
    /// Creates a client of these replicas, with their addresses by number.
    pub fn new(replicas: BTreeMap<u64, String>) -> Self {
        let preferred = replicas.keys().next().copied().unwrap_or(0);
        Self { replicas, preferred, connection: None }
    }

    /// Returns the addresses of the replicas by number.
    pub fn replicas(&self) -> &BTreeMap<u64, String> {
        &self.replicas
    }

    /// Sends a request to one replica after the other until one responds to it. A retried command has the
    /// same id, so it is applied only once.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica has responded within `time_limit`.
    pub async fn request(
        &mut self, request: &Request, time_limit: Duration,
    ) -> Result<Response, GroupUnreachable> {
        let deadline = Instant::now() + time_limit;
        let mut last_failure = "no keeper was asked".to_owned();
        let mut attempts = 0;
        while Instant::now() < deadline {
            match self.attempt(request, deadline).await {
                Ok(response) => return Ok(response),
                Err(error) => last_failure = error.to_string(),
            }
            attempts += 1;
            self.back_off(attempts).await;
        }
        Err(GroupUnreachable { timeout: time_limit, last_failure })
    }

    /// Sends a command and waits for its result.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica has responded within `time_limit`. It is then unknown whether the
    /// command was or will be applied.
    pub async fn submit(
        &mut self, command: &Command, time_limit: Duration,
    ) -> Result<CommandResult, GroupUnreachable> {
        match self.request(&Request::Command(command.clone()), time_limit).await? {
            Response::Command(result) => Ok(result),
            other => Err(GroupUnreachable {
                timeout: time_limit,
                last_failure: format!("unexpected response to a command: {other:?}"),
            }),
        }
    }

    /// Opens a watch of the changes after `from_revision`. It is opened at the preferred replica, or at the
    /// next one if `use_next_replica`, which then becomes the preferred one.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established or the request cannot be sent in time.
    pub async fn open_watch(&mut self, from_revision: u64, use_next_replica: bool) -> io::Result<Connection> {
        if use_next_replica {
            self.preferred = self.next_after(self.preferred);
        }
        let address = self.replicas.get(&self.preferred).ok_or(io::ErrorKind::NotFound)?;
        let open = async {
            let mut connection = Connection::connect(address).await?;
            connection.send(&Request::Watch(from_revision)).await?;
            Ok(connection)
        };
        timeout(ATTEMPT_TIMEOUT, open).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Sends a request to the preferred replica. If that fails, another replica becomes the preferred one.
    async fn attempt(&mut self, request: &Request, deadline: Instant) -> Result<Response, AttemptError> {
        let id = self.preferred;
        let limit = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        let error = match timeout_at(limit, self.exchange(id, request)).await {
            Ok(Ok(Response::NotLeader(Some(leader))))
                if self.replicas.contains_key(&leader) && leader != id =>
            {
                self.preferred = leader;
                return Err(AttemptError::OtherLeader { id, leader });
            }
            Ok(Ok(Response::NotLeader(_))) => AttemptError::NoLeader { id },
            Ok(Ok(Response::Failed(reason))) => AttemptError::Failed { id, reason },
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) => AttemptError::Connection { id, error },
            Err(_) => {
                self.connection = None;
                AttemptError::Timeout { id }
            }
        };
        self.preferred = self.next_after(id);
        Err(error)
    }

    /// Sends a request to a replica and receives the response. The connection is kept only after a complete
    /// response, so that no other request can receive the rest of it.
    async fn exchange(&mut self, id: u64, request: &Request) -> io::Result<Response> {
        let mut connection = match self.connection.take() {
            Some((to, connection)) if to == id => connection,
            _ => {
                let address = self.replicas.get(&id).ok_or(io::ErrorKind::NotFound)?;
                Connection::connect(address).await?
            }
        };
        connection.send(request).await?;
        let response = connection.receive().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        self.connection = Some((id, connection));
        Ok(response)
    }

    /// Returns the number of the replica after `id`, in the order of their numbers and cyclically.
    fn next_after(&self, id: u64) -> u64 {
        let next = self.replicas.range(id + 1..).next().or_else(|| self.replicas.iter().next());
        next.map_or(0, |(id, _)| *id)
    }

    /// Waits after each round in which every replica was asked once.
    async fn back_off(&self, attempts: usize) {
        let replicas = self.replicas.len().max(1);
        let rounds = attempts / replicas;
        if attempts.is_multiple_of(replicas) {
            let doublings = (rounds - 1).min(MAX_BACKOFF_DOUBLINGS);
            sleep((INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)).await;
        }
    }
}

/// Sends one request to one replica on a new connection.
///
/// # Errors
///
/// Returns an error if the replica cannot be reached or does not respond in time.
pub async fn request_once(address: &str, request: &Request) -> io::Result<Response> {
    let exchange = async {
        let mut connection = Connection::connect(address).await?;
        connection.send(request).await?;
        connection.receive().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(SINGLE_REQUEST_TIMEOUT, exchange).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
