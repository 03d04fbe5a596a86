//! Accepts connections and dispatches requests.

use super::{REQUEST_TIMEOUT, Replica, SEND_TIMEOUT};
use crate::connection::Connection;
use crate::protocol::{Request, Response};
use openraft::ChangeMembers;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Maximum number of connections at a time. Further connections wait to be accepted.
pub const MAX_CONNECTIONS: usize = 2_048;
/// Time after which a connection without a request is closed.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

impl Replica {
    /// Accepts and serves connections. Never returns. Dropping the future closes all connections, so that
    /// nothing is sent after the replica has stopped.
    pub(super) async fn accept_connections(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => match accepted {
                    Ok((stream, _)) => {
                        let replica = self.clone();
                        connections.spawn(async move {
                            if let Err(error) = replica.serve_connection(Connection::new(stream)).await {
                                tracing::debug!(%error, "connection closed by an error or timeout");
                            }
                        });
                    }
                    Err(error) => {
                        tracing::warn!(%error, "accepting a connection failed; retrying after a delay");
                        sleep(ACCEPT_BACKOFF).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn serve_connection(&self, mut connection: Connection) -> io::Result<()> {
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        while let Some(request) =
            timeout(CONNECTION_IDLE_TIMEOUT, connection.receive::<Request>()).await.map_err(timed_out)??
        {
            if let Request::Watch(from_revision) = request {
                return self.stream_changes(connection, from_revision).await;
            }
            let response = self.respond(request).await;
            timeout(SEND_TIMEOUT, connection.send(&response)).await.map_err(timed_out)??;
        }
        Ok(())
    }

    async fn respond(&self, request: Request) -> Response {
        timeout(REQUEST_TIMEOUT, self.dispatch(request)).await.unwrap_or_else(|_| {
            Response::Failed(format!("not completed within {REQUEST_TIMEOUT:?}; it may still complete"))
        })
    }

    async fn dispatch(&self, request: Request) -> Response {
        match request {
            Request::Raft(envelope) => self.handle_raft_message(envelope).await,
            Request::Command(command) => self.apply_command(command).await,
            Request::Heartbeat { member, session, report } => self.heartbeat(&member, session, report),
            Request::DrainStatus(worker) => self.drain_status(&worker).await,
            Request::RequestTotals => self.request_totals(),
            Request::Get(keys) => self.read_entries(&keys).await,
            Request::History(max) => self.read_history(max),
            Request::Status => Response::Status(Box::new(self.read_status().await)),
            Request::Initialize(replicas) => self.initialize(replicas).await,
            Request::AddLearner(id, peer) => self.add_learner(id, peer).await,
            // Membership is changed by single additions and removals, not by replacing the whole list, so
            // that concurrent changes by two operators do not undo each other.
            Request::Promote(id) => {
                self.change_membership(ChangeMembers::AddVoterIds(BTreeSet::from([id]))).await
            }
            Request::Remove(id) => {
                self.change_membership(ChangeMembers::RemoveVoters(BTreeSet::from([id]))).await
            }
            Request::Watch(_) => Response::Failed("a watch needs its own connection".to_owned()),
        }
    }
}
