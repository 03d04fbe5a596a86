//! Messages between keepers: one connection to each, opened anew after any fault.

use crate::group::{Group, Peer};
use crate::wire::{Ask, Envelope, Message, Reply, Say, Wire};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Makes the connections.
#[derive(Clone, Debug)]
pub struct Network {
    pub(crate) group: String,
    /// Where others are reached from here, if not at the address that the group knows.
    pub(crate) dial: BTreeMap<u64, String>,
}

/// The connection to one keeper.
pub struct Link {
    group: String,
    to: u64,
    disk: u64,
    address: String,
    wire: Option<Wire>,
}

impl RaftNetworkFactory<Group> for Network {
    type Network = Link;

    async fn new_client(&mut self, target: u64, node: &Peer) -> Link {
        let address = self.dial.get(&target).unwrap_or(&node.address).clone();
        Link { group: self.group.clone(), to: target, disk: node.disk, address, wire: None }
    }
}

type Failed<E> = RPCError<u64, Peer, RaftError<u64, E>>;

impl Link {
    async fn talk(&mut self, message: Message, limit: Duration) -> io::Result<Reply> {
        let work = async {
            let mut wire = match self.wire.take() {
                Some(wire) => wire,
                None => Wire::new(TcpStream::connect(&self.address).await?),
            };
            let envelope = Envelope { group: self.group.clone(), to: self.to, disk: self.disk, message };
            wire.send(&Ask::Raft(envelope)).await?;
            match wire.next().await?.ok_or(io::ErrorKind::UnexpectedEof)? {
                Say::Raft(reply) => {
                    // Kept only after a whole answer: one that was cut short must not be taken for the next.
                    self.wire = Some(wire);
                    Ok(reply)
                }
                Say::Failed(why) => Err(io::Error::other(why)),
                other => Err(io::Error::other(format!("an answer out of place: {other:?}"))),
            }
        };
        timeout(limit, work).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn ask<E: std::error::Error>(
        &mut self, message: Message, option: RPCOption,
    ) -> Result<Reply, Failed<E>> {
        self.talk(message, option.hard_ttl()).await.map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::TimedOut => {
                RPCError::Unreachable(Unreachable::new(&e))
            }
            _ => RPCError::Network(NetworkError::new(&e)),
        })
    }
}

fn misplaced<E: std::error::Error>() -> Failed<E> {
    RPCError::Network(NetworkError::new(&io::Error::other("an answer of another kind")))
}

impl RaftNetwork<Group> for Link {
    async fn append_entries(
        &mut self, rpc: AppendEntriesRequest<Group>, option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, Peer, RaftError<u64>>> {
        match self.ask(Message::Append(rpc), option).await? {
            Reply::Append(reply) => Ok(reply),
            _ => Err(misplaced()),
        }
    }

    async fn install_snapshot(
        &mut self, rpc: InstallSnapshotRequest<Group>, option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failed<InstallSnapshotError>> {
        match self.ask(Message::Snapshot(rpc), option).await? {
            Reply::Snapshot(reply) => Ok(reply),
            _ => Err(misplaced()),
        }
    }

    async fn vote(
        &mut self, rpc: VoteRequest<u64>, option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, Peer, RaftError<u64>>> {
        match self.ask(Message::Vote(rpc), option).await? {
            Reply::Vote(reply) => Ok(reply),
            _ => Err(misplaced()),
        }
    }
}
