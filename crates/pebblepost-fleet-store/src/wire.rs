//! What goes over a connection to a keeper: frames of JSON behind a length, one answer to each request; a watch is
//! answered by a stream of [`Say::Snapshot`], [`Say::Changes`] and [`Say::Current`].

use crate::group::{Group, Peer};
use futures_util::{SinkExt, StreamExt};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use pebblepost_fleet::heartbeat::HeartbeatReport;
use pebblepost_fleet::leader::{DrainStatus, IncarnationRequests};
use pebblepost_fleet::value::Entry;
use pebblepost_fleet::{Change, Command, CommandResult, Key, Name, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest frame, in bytes.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;

/// A request to a keeper.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// From another keeper.
    Raft(Envelope),
    /// A command for the agreed state.
    Command(Command),
    /// A member is there.
    Beat {
        /// Which.
        member: Name,
        /// Its session.
        session: u64,
        /// What it does.
        #[serde(default)]
        doing: Option<HeartbeatReport>,
    },
    /// Whether this worker may be switched off, as of now.
    Off(Name),
    /// How the requests of all dispatchers go.
    Tallies,
    /// What stands at these keys, as of now; all keys, if none is named.
    Get(Vec<Key>),
    /// The last changes, the newest last, at most so many.
    History(usize),
    /// All changes after this revision, for as long as the connection lasts.
    Watch(u64),
    /// What this keeper is and knows of the group.
    Status,
    /// Begins a group of these keepers. Once in a group's life.
    Begin(BTreeMap<u64, Peer>),
    /// Takes a keeper in as a learner, and waits until it has caught up.
    Learn(u64, Peer),
    /// A learner votes from now on.
    Promote(u64),
    /// A keeper is left out.
    Remove(u64),
}

/// A message of Raft, with whom it is for: a keeper with another disk must not take it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the group.
    pub group: String,
    /// Number of the keeper that it is for.
    pub to: u64,
    /// Its disk, as the group knows it.
    pub disk: u64,
    /// The message.
    pub message: Message,
}

/// A message of Raft.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Message {
    Append(AppendEntriesRequest<Group>),
    Vote(VoteRequest<u64>),
    Snapshot(InstallSnapshotRequest<Group>),
}

/// What a keeper says.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Say {
    /// To a message of Raft.
    Raft(Reply),
    /// To a command.
    Answer(CommandResult),
    /// To a beat: whether the session goes on.
    Beat(bool),
    /// To `Get`.
    Found {
        /// The revision of the state.
        revision: u64,
        /// What was asked for, as far as it is there.
        entries: BTreeMap<Key, Entry>,
    },
    /// To `History`.
    History(Vec<Change>),
    /// To `Watch`: the whole state.
    Snapshot(Snapshot),
    /// To `Watch`: what follows on what was said before.
    Changes(Vec<Change>),
    /// To `Watch`: nothing has changed since this revision.
    Current(u64),
    /// To `Off`.
    Off(DrainStatus),
    /// To `Tallies`.
    Tallies(BTreeMap<Name, IncarnationRequests>),
    /// To `Status`.
    Status(Box<Status>),
    /// To a change of the group.
    Done,
    /// Only the leader answers this: the keeper of that number, as far as this one knows.
    Elsewhere(Option<u64>),
    /// It cannot be done now; nothing is known of whether it was or will be, if it was a command.
    Failed(String),
}

/// The answer to a [`Message`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Reply {
    Append(AppendEntriesResponse<u64>),
    Vote(VoteResponse<u64>),
    Snapshot(InstallSnapshotResponse<u64>),
}

/// What a keeper is and knows of the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its number.
    pub id: u64,
    /// Name of the group.
    pub group: String,
    /// Its disk.
    pub disk: u64,
    /// Whether it has ever been part of the group.
    pub begun: bool,
    /// The leader, as far as it knows.
    pub leader: Option<u64>,
    /// The term.
    pub term: u64,
    /// Index of the last entry of its log, and of the last one applied.
    pub last_log: u64,
    /// See `last_log`.
    pub applied: u64,
    /// The revision of its state.
    pub revision: u64,
    /// Where it leads: the last index that each keeper has acknowledged to it.
    #[serde(default)]
    pub acknowledged: BTreeMap<u64, u64>,
    /// Keepers with a vote.
    pub voters: Vec<u64>,
    /// All keepers of the group.
    pub keepers: BTreeMap<u64, Peer>,
}

/// A connection that carries frames.
#[derive(Debug)]
pub struct Wire(Framed<TcpStream, LengthDelimitedCodec>);

impl Wire {
    /// Frames on a stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec();
        Self(Framed::new(stream, codec))
    }

    /// Sends one frame.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        let bytes = serde_json::to_vec(message).map_err(io::Error::other)?;
        self.0.send(tokio_util::bytes::Bytes::from(bytes)).await
    }

    /// The next frame; `None`: the peer has closed.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        let Some(frame) = self.0.next().await.transpose()? else { return Ok(None) };
        let message = serde_json::from_slice(&frame);
        message.map(Some).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}
