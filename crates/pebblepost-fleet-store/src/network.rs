//! Sends Raft messages to other replicas. There is one connection per replica, which is reopened after any
//! error.

use crate::connection::Connection;
use crate::protocol::{RaftEnvelope, RaftMessage, RaftReply, Request, Response};
use crate::raft_types::{Peer, TypeConfig};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// Creates the connections to other replicas for openraft.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    pub(crate) group: String,
    /// Addresses that replace those in the group's membership, by replica number.
    pub(crate) dial_addresses: BTreeMap<u64, String>,
}

/// The connection to one replica.
pub(crate) struct PeerConnection {
    group: String,
    target: u64,
    disk: u64,
    address: String,
    connection: Option<Connection>,
}

impl RaftNetworkFactory<TypeConfig> for Network {
    type Network = PeerConnection;

    async fn new_client(&mut self, target: u64, node: &Peer) -> PeerConnection {
        let address = self.dial_addresses.get(&target).unwrap_or(&node.address).clone();
        PeerConnection { group: self.group.clone(), target, disk: node.disk, address, connection: None }
    }
}

type RaftRpcError<E> = RPCError<u64, Peer, RaftError<u64, E>>;

impl PeerConnection {
    /// Sends a message and waits at most `limit` for the response.
    async fn exchange(&mut self, message: RaftMessage, limit: Duration) -> io::Result<RaftReply> {
        let exchange = async {
            let mut connection = match self.connection.take() {
                Some(connection) => connection,
                None => Connection::connect(&self.address).await?,
            };
            let (group, target, disk) = (self.group.clone(), self.target, self.disk);
            connection.send(&Request::Raft(RaftEnvelope { group, target, disk, message })).await?;
            match connection.receive().await?.ok_or(io::ErrorKind::UnexpectedEof)? {
                Response::Raft(reply) => {
                    // The connection is kept only after a complete response. Otherwise the rest of this
                    // response would be read as the response to the next request.
                    self.connection = Some(connection);
                    Ok(reply)
                }
                Response::Failed(why) => Err(io::Error::other(why)),
                other => Err(io::Error::other(format!("unexpected response to a Raft message: {other:?}"))),
            }
        };
        timeout(limit, exchange).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn call<E: std::error::Error>(
        &mut self, message: RaftMessage, option: RPCOption,
    ) -> Result<RaftReply, RaftRpcError<E>> {
        self.exchange(message, option.hard_ttl()).await.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::TimedOut => {
                RPCError::Unreachable(Unreachable::new(&error))
            }
            _ => RPCError::Network(NetworkError::new(&error)),
        })
    }
}

fn unexpected_reply_error<E: std::error::Error>() -> RaftRpcError<E> {
    RPCError::Network(NetworkError::new(&io::Error::other(
        "the response is for another kind of Raft message",
    )))
}

impl RaftNetwork<TypeConfig> for PeerConnection {
    async fn append_entries(
        &mut self, rpc: AppendEntriesRequest<TypeConfig>, option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, Peer, RaftError<u64>>> {
        match self.call(RaftMessage::AppendEntries(rpc), option).await? {
            RaftReply::AppendEntries(reply) => Ok(reply),
            _ => Err(unexpected_reply_error()),
        }
    }

    async fn install_snapshot(
        &mut self, rpc: InstallSnapshotRequest<TypeConfig>, option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RaftRpcError<InstallSnapshotError>> {
        match self.call(RaftMessage::InstallSnapshot(rpc), option).await? {
            RaftReply::InstallSnapshot(reply) => Ok(reply),
            _ => Err(unexpected_reply_error()),
        }
    }

    async fn vote(
        &mut self, rpc: VoteRequest<u64>, option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, Peer, RaftError<u64>>> {
        match self.call(RaftMessage::Vote(rpc), option).await? {
            RaftReply::Vote(reply) => Ok(reply),
            _ => Err(unexpected_reply_error()),
        }
    }
}
