//! The messages between clients and replicas and among replicas.
//!
//! Each [`Request`] gets one [`Response`]. The exception is [`Request::Watch`], which gets a stream of
//! [`Response::Snapshot`], [`Response::Changes`] and [`Response::UpToDate`].

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
    /// A Raft message from another replica.
    Raft(RaftEnvelope),
    /// Applies a command to the replicated state.
    Command(Command),
    /// Renews the session of a member.
    #[serde(rename = "beat")]
    Heartbeat {
        /// The member's name.
        member: Name,
        /// The session's number.
        session: u64,
        /// What the member reports with the heartbeat.
        #[serde(rename = "doing", default)]
        report: Option<HeartbeatReport>,
    },
    /// Reads the progress of a worker's drain. The read is linearizable.
    #[serde(rename = "off")]
    DrainStatus(Name),
    /// Reads the request totals of all dispatchers.
    #[serde(rename = "tallies")]
    RequestTotals,
    /// Reads the values of these keys, or of all keys if the list is empty. The read is linearizable.
    Get(Vec<Key>),
    /// Reads the last changes in order of their revisions, at most this many.
    History(usize),
    /// Streams all changes after this revision until the connection closes.
    Watch(u64),
    /// Reads the replica's own status.
    Status,
    /// Initializes a group with these replicas. This happens once in the group's lifetime.
    #[serde(rename = "begin")]
    Initialize(BTreeMap<u64, Peer>),
    /// Adds a replica as a learner and waits until its log has caught up.
    #[serde(rename = "learn")]
    AddLearner(u64, Peer),
    /// Makes a learner a voter.
    Promote(u64),
    /// Removes a voter.
    Remove(u64),
}

/// A Raft message with its target. A replica with another number or disk must not accept it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RaftEnvelope {
    /// The name of the group.
    pub group: String,
    /// The number of the target replica.
    #[serde(rename = "to")]
    pub target: u64,
    /// The id of the target replica's disk in the group's membership.
    pub disk: u64,
    /// The message.
    pub message: RaftMessage,
}

/// A Raft message.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftMessage {
    /// Replicates log entries.
    #[serde(rename = "append")]
    AppendEntries(AppendEntriesRequest<TypeConfig>),
    /// Requests a vote.
    Vote(VoteRequest<u64>),
    /// Transfers a chunk of a snapshot.
    #[serde(rename = "snapshot")]
    InstallSnapshot(InstallSnapshotRequest<TypeConfig>),
}

/// The response to a [`Request`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// To [`Request::Raft`].
    Raft(RaftReply),
    /// To [`Request::Command`].
    #[serde(rename = "answer")]
    Command(CommandResult),
    /// To [`Request::Heartbeat`]. `true` if the session was renewed.
    #[serde(rename = "beat")]
    Heartbeat(bool),
    /// To [`Request::Get`].
    #[serde(rename = "found")]
    Entries {
        /// The revision of the state.
        revision: u64,
        /// The entries of those keys that have values.
        entries: BTreeMap<Key, Entry>,
    },
    /// To [`Request::History`].
    History(Vec<Change>),
    /// To [`Request::Watch`]. The whole state, which replaces what was sent before.
    Snapshot(Snapshot),
    /// To [`Request::Watch`]. The changes after what was sent before, in order and without a gap.
    Changes(Vec<Change>),
    /// To [`Request::Watch`]. There is no change after this revision.
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
    /// To [`Request::Initialize`] and to changes of the group's membership.
    Done,
    /// This replica is not the leader, and only the leader responds to the request. Holds the number of the
    /// leader if it is known.
    #[serde(rename = "elsewhere")]
    NotLeader(Option<u64>),
    /// The request failed for this reason. It is unknown whether a command was or will be applied.
    Failed(String),
}

/// The response to a [`RaftMessage`].
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

/// The status of a replica, with its view of the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's number.
    pub id: u64,
    /// The name of the group.
    pub group: String,
    /// The id of the replica's disk.
    pub disk: u64,
    /// Whether the replica has ever been part of the group.
    #[serde(rename = "begun")]
    pub initialized: bool,
    /// The leader, if the replica knows one.
    pub leader: Option<u64>,
    /// The replica's current Raft term.
    pub term: u64,
    /// The index of the last entry in its log.
    #[serde(rename = "last_log")]
    pub last_log_index: u64,
    /// The index of the last entry that it has applied.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// The revision of its state.
    pub revision: u64,
    /// The last index that each replica has acknowledged to it. Empty unless it is the leader.
    #[serde(rename = "acknowledged", default)]
    pub acknowledged_indexes: BTreeMap<u64, u64>,
    /// The numbers of the voters.
    pub voters: Vec<u64>,
    /// All replicas of the group, voters and learners, by number.
    #[serde(rename = "keepers")]
    pub replicas: BTreeMap<u64, Peer>,
}
