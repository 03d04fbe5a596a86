//! Connections, and the dispatch of requests.

use super::{REQUEST_TIMEOUT, Replica, SLOW_READER_TIMEOUT};
use crate::connection::Connection;
use crate::protocol::{Request, Response};
use openraft::ChangeMembers;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Most connections at a time.
pub const MAX_CONNECTIONS: usize = 2_048;
/// A connection without a request for this long is closed.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

impl Replica {
    /// Accepts connections. They end with this future: an answer after the replica has stopped would be
    /// wrong.
    pub(super) async fn accept(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => match accepted {
                    Ok((stream, _)) => {
                        let replica = self.clone();
                        connections.spawn(async move {
                            if let Err(error) = replica.serve(Connection::new(stream)).await {
                                tracing::debug!(%error, "connection ended");
                            }
                        });
                    }
                    Err(error) => {
                        tracing::warn!(%error, "accept failed");
                        sleep(ACCEPT_BACKOFF).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn serve(&self, mut connection: Connection) -> io::Result<()> {
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        while let Some(request) =
            timeout(CONNECTION_IDLE_TIMEOUT, connection.receive::<Request>()).await.map_err(timed_out)??
        {
            if let Request::Watch(from_revision) = request {
                return self.watch(connection, from_revision).await;
            }
            let response = self.respond(request).await;
            timeout(SLOW_READER_TIMEOUT, connection.send(&response)).await.map_err(timed_out)??;
        }
        Ok(())
    }

    async fn respond(&self, request: Request) -> Response {
        timeout(REQUEST_TIMEOUT, self.dispatch(request)).await.unwrap_or_else(|_| {
            Response::Failed(format!("not done within {REQUEST_TIMEOUT:?}; it may be done yet"))
        })
    }

    async fn dispatch(&self, request: Request) -> Response {
        match request {
            Request::Raft(envelope) => self.raft_message(envelope).await,
            Request::Command(command) => self.command(command).await,
            Request::Heartbeat { member, session, report } => self.heartbeat(&member, session, report),
            Request::DrainStatus(worker) => self.drain_status(&worker).await,
            Request::RequestTotals => self.request_totals(),
            Request::Get(keys) => self.get(&keys).await,
            Request::History(max) => self.history(max),
            Request::Status => Response::Status(Box::new(self.status().await)),
            Request::Initialize(replicas) => self.initialize(replicas).await,
            Request::AddLearner(id, peer) => self.add_learner(id, peer).await,
            // Changes, not whole lists: of two operators none undoes what the other did.
            Request::Promote(id) => {
                self.change_membership(ChangeMembers::AddVoterIds(BTreeSet::from([id]))).await
            }
            Request::Remove(id) => {
                self.change_membership(ChangeMembers::RemoveVoters(BTreeSet::from([id]))).await
            }
            Request::Watch(_) => Response::Failed("a watch has a connection of its own".to_owned()),
        }
    }
}
