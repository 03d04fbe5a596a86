//! How members and operators reach the group: any replica is asked, the leader answers.

use crate::clock::unix_ms;
use crate::connection::Connection;
use crate::protocol::{Request, Response};
use pebblepost_fleet::{Action, Command, CommandResult, IncarnationId, Name, RequestId};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long one replica is waited for before the next is asked.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a request on a connection of its own may take.
const SINGLE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The first backoff after all replicas were asked in vain; it doubles with each round.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// After this many doublings the backoff stays as it is.
const MAX_BACKOFF_DOUBLINGS: usize = 4;

/// A new request id, drawn at random.
pub fn new_request_id() -> RequestId {
    RequestId(rand::random(), rand::random())
}

/// A new incarnation id, drawn at random.
pub fn new_incarnation_id() -> IncarnationId {
    IncarnationId(rand::random(), rand::random())
}

/// A new command, issued now.
pub fn new_command(issued_by: Name, action: Action) -> Command {
    Command { id: new_request_id(), issued_by, issued_at_ms: unix_ms(), action }
}

/// No replica gave an answer.
#[derive(Debug, Error)]
#[error("no keeper answered within {timeout:?}: {last_failure}")]
pub struct GroupUnreachable {
    /// How long was tried.
    pub timeout: Duration,
    /// Why the last attempt failed.
    pub last_failure: String,
}

/// Why an attempt at one replica gave no answer.
#[derive(Debug, Error)]
enum AttemptError {
    #[error("keeper {id}: keeper {leader} leads")]
    OtherLeader { id: u64, leader: u64 },
    #[error("keeper {id}: nobody leads")]
    NoLeader { id: u64 },
    #[error("keeper {id}: {why}")]
    Failed { id: u64, why: String },
    #[error("keeper {id}: {error}")]
    Connection { id: u64, error: io::Error },
    #[error("keeper {id}: no answer")]
    Timeout { id: u64 },
}

/// A client of the group. It holds one connection, to the replica that answered last.
#[derive(Debug)]
pub struct Client {
    replicas: BTreeMap<u64, String>,
    /// The replica that is asked first: the one that answered last, or is said to lead.
    preferred: u64,
    connection: Option<(u64, Connection)>,
}

impl Client {
    /// A client of these replicas, with their addresses by number.
    pub fn new(replicas: BTreeMap<u64, String>) -> Self {
        let preferred = replicas.keys().next().copied().unwrap_or(0);
        Self { replicas, preferred, connection: None }
    }

    /// The replicas with their addresses by number.
    pub fn replicas(&self) -> &BTreeMap<u64, String> {
        &self.replicas
    }

    /// Sends a request to one replica after the other until one answers it. A command that is sent again
    /// carries its id, so it is applied once.
    ///
    /// # Errors
    ///
    /// No replica has answered within that time.
    pub async fn request(
        &mut self, request: &Request, time_limit: Duration,
    ) -> Result<Response, GroupUnreachable> {
        let deadline = Instant::now() + time_limit;
        let mut last_failure = "none was tried".to_owned();
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

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// No replica has answered within that time. Whether the command was or will be applied is unknown.
    pub async fn submit(
        &mut self, command: &Command, time_limit: Duration,
    ) -> Result<CommandResult, GroupUnreachable> {
        match self.request(&Request::Command(command.clone()), time_limit).await? {
            Response::Command(result) => Ok(result),
            other => Err(GroupUnreachable {
                timeout: time_limit,
                last_failure: format!("an answer out of place: {other:?}"),
            }),
        }
    }

    /// Opens a watch from a revision on, at the preferred replica, or at the next one if `next_replica`.
    ///
    /// # Errors
    ///
    /// The replica cannot be reached.
    pub async fn open_watch(&mut self, from_revision: u64, next_replica: bool) -> io::Result<Connection> {
        if next_replica {
            self.preferred = self.next_after(self.preferred);
        }
        let address = self.replicas.get(&self.preferred).ok_or(io::ErrorKind::NotFound)?;
        let open = async {
            let mut connection = Connection::connect(address).await?;
            connection.send(&Request::Watch(from_revision)).await?;
            Ok(connection)
        };
        timeout(REPLICA_TIMEOUT, open).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Asks the preferred replica. If it does not answer the request, another one becomes preferred.
    async fn attempt(&mut self, request: &Request, deadline: Instant) -> Result<Response, AttemptError> {
        let id = self.preferred;
        let limit = deadline.min(Instant::now() + REPLICA_TIMEOUT);
        let error = match timeout_at(limit, self.exchange(id, request)).await {
            Ok(Ok(Response::NotLeader(Some(leader))))
                if self.replicas.contains_key(&leader) && leader != id =>
            {
                self.preferred = leader;
                return Err(AttemptError::OtherLeader { id, leader });
            }
            Ok(Ok(Response::NotLeader(_))) => AttemptError::NoLeader { id },
            Ok(Ok(Response::Failed(why))) => AttemptError::Failed { id, why },
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

    fn next_after(&self, id: u64) -> u64 {
        let next = self.replicas.range(id + 1..).next().or_else(|| self.replicas.iter().next());
        next.map_or(0, |(id, _)| *id)
    }

    /// Waits once all replicas were asked in vain.
    async fn back_off(&self, attempts: usize) {
        let replicas = self.replicas.len().max(1);
        let rounds = attempts / replicas;
        if attempts.is_multiple_of(replicas) {
            let doublings = (rounds - 1).min(MAX_BACKOFF_DOUBLINGS);
            sleep((FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)).await;
        }
    }
}

/// One request on a connection of its own.
///
/// # Errors
///
/// The replica cannot be reached, or does not answer in time.
pub async fn request_once(address: &str, request: &Request) -> io::Result<Response> {
    let exchange = async {
        let mut connection = Connection::connect(address).await?;
        connection.send(request).await?;
        connection.receive().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(SINGLE_REQUEST_TIMEOUT, exchange).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
