//! The messages between clients and replicas, and between replicas: one [`Response`] to each [`Request`]; a
//! watch is answered by a stream of [`Response::Snapshot`], [`Response::Changes`] and [`Response::UpToDate`].

use crate::raft_types::{Peer, TypeConfig};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use pebblepost_fleet::heartbeat::HeartbeatReport;
use pebblepost_fleet::leader::{DrainStatus, IncarnationRequests};
use pebblepost_fleet::value::Entry;
use pebblepost_fleet::{Change, Command, CommandResult, Key, Name, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A request to a replica.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// A Raft message of another replica.
    Raft(RaftEnvelope),
    /// A command for the replicated state.
    Command(Command),
    /// A heartbeat of a member.
    #[serde(rename = "beat")]
    Heartbeat {
        /// The member.
        member: Name,
        /// Its session.
        session: u64,
        /// Its report.
        #[serde(rename = "doing", default)]
        report: Option<HeartbeatReport>,
    },
    /// The progress of a worker's drain; a linearizable read.
    #[serde(rename = "off")]
    DrainStatus(Name),
    /// The requests of all dispatchers.
    #[serde(rename = "tallies")]
    RequestTotals,
    /// The values at these keys, or at all keys if none is named; a linearizable read.
    Get(Vec<Key>),
    /// The last changes, the newest last, at most this many.
    History(usize),
    /// All changes after this revision, for as long as the connection lasts.
    Watch(u64),
    /// The replica's own status.
    Status,
    /// Initializes a group of these replicas, once in the group's life.
    #[serde(rename = "begin")]
    Initialize(BTreeMap<u64, Peer>),
    /// Adds a replica as a learner, and waits until it has caught up.
    #[serde(rename = "learn")]
    AddLearner(u64, Peer),
    /// Makes a learner a voter.
    Promote(u64),
    /// Removes a voter.
    Remove(u64),
}

/// A Raft message with its addressee: a replica with another disk must not accept it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RaftEnvelope {
    /// Name of the group.
    pub group: String,
    /// Number of the replica that it is for.
    #[serde(rename = "to")]
    pub target: u64,
    /// The id of that replica's disk, as the group's membership lists it.
    pub disk: u64,
    /// The message.
    pub message: RaftMessage,
}

/// A Raft message.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftMessage {
    /// Replicates entries of the log.
    #[serde(rename = "append")]
    AppendEntries(AppendEntriesRequest<TypeConfig>),
    /// Requests a vote.
    Vote(VoteRequest<u64>),
    /// Transfers a chunk of a snapshot.
    #[serde(rename = "snapshot")]
    InstallSnapshot(InstallSnapshotRequest<TypeConfig>),
}

/// The answer to a [`Request`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// To [`Request::Raft`].
    Raft(RaftReply),
    /// To [`Request::Command`].
    #[serde(rename = "answer")]
    Command(CommandResult),
    /// To [`Request::Heartbeat`]: whether the session is renewed.
    #[serde(rename = "beat")]
    Heartbeat(bool),
    /// To [`Request::Get`].
    #[serde(rename = "found")]
    Entries {
        /// The revision of the state.
        revision: u64,
        /// The entries, as far as the keys have values.
        entries: BTreeMap<Key, Entry>,
    },
    /// To [`Request::History`].
    History(Vec<Change>),
    /// To [`Request::Watch`]: the whole state.
    Snapshot(Snapshot),
    /// To [`Request::Watch`]: the changes that follow on what was sent before.
    Changes(Vec<Change>),
    /// To [`Request::Watch`]: nothing has changed since this revision.
    #[serde(rename = "current")]
    UpToDate(u64),
    /// To [`Request::DrainStatus`].
    #[serde(rename = "off")]
    DrainStatus(DrainStatus),
    /// To [`Request::RequestTotals`].
    #[serde(rename = "tallies")]
    RequestTotals(BTreeMap<Name, IncarnationRequests>),
    /// To [`Request::Status`].
    Status(Box<ReplicaStatus>),
    /// To a change of the group's membership.
    Done,
    /// Only the leader answers this request: that replica, as far as this one knows.
    #[serde(rename = "elsewhere")]
    NotLeader(Option<u64>),
    /// The request failed. Whether a command was or will be applied is unknown.
    Failed(String),
}

/// The answer to a [`RaftMessage`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftReply {
    /// To [`RaftMessage::AppendEntries`].
    #[serde(rename = "append")]
    AppendEntries(AppendEntriesResponse<u64>),
    /// To [`RaftMessage::Vote`].
    Vote(VoteResponse<u64>),
    /// To [`RaftMessage::InstallSnapshot`].
    #[serde(rename = "snapshot")]
    InstallSnapshot(InstallSnapshotResponse<u64>),
}

/// What a replica is and knows of its group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its number.
    pub id: u64,
    /// Name of the group.
    pub group: String,
    /// The id of its disk.
    pub disk: u64,
    /// Whether it has ever been part of the group.
    #[serde(rename = "begun")]
    pub initialized: bool,
    /// The leader, as far as it knows.
    pub leader: Option<u64>,
    /// The Raft term.
    pub term: u64,
    /// Index of the last entry of its log.
    #[serde(rename = "last_log")]
    pub last_log_index: u64,
    /// Index of the last entry that it has applied.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// The revision of its state.
    pub revision: u64,
    /// If it leads: the last index that each replica has acknowledged to it.
    #[serde(rename = "acknowledged", default)]
    pub acknowledged_indexes: BTreeMap<u64, u64>,
    /// The voters.
    pub voters: Vec<u64>,
    /// All replicas of the group.
    #[serde(rename = "keepers")]
    pub replicas: BTreeMap<u64, Peer>,
}
