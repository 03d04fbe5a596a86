//! Messages on the internal port of a control process.

use crate::feed::{CompressedUpdates, FeedBatch, FeedReply, Instance};
use crate::{DiskId, Member};
use nanoserde::{DeBin, SerBin};

/// Kind of a subscriber of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SubscriberRole {
    /// An agent beside a proxy.
    Agent,
    /// A storage machine.
    Store,
    /// Another control process, which keeps a replica of the registrations.
    Standby,
}

/// Assignment of a group of batch jobs in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct GroupEpoch {
    /// Number of the epoch.
    pub epoch: u64,
    /// Disk of the primary.
    pub primary: DiskId,
    /// Disks of the in-sync replicas, the primary's among them.
    pub in_sync: Vec<DiskId>,
}

/// To a control process.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ToControl {
    /// First message of a subscriber of the feed. Only the primary serves the feed; others respond with
    /// [`FromControl::Redirect`] and close.
    Subscribe {
        /// Name of the machine.
        node: String,
        /// Its zone.
        zone: String,
        /// Kind of the subscriber.
        role: SubscriberRole,
        /// Generation of its configuration; 0 for none.
        generation: u64,
    },
    /// A subscriber's acknowledgement.
    Reply(FeedReply),
    /// A storage machine registers, on each connection first.
    StoreHello {
        /// The machine and its disk.
        member: Member,
        /// First start of the system with an empty disk.
        bootstrap: bool,
    },
    /// A storage machine proposes a new epoch of a group (compare and swap).
    ChangeGroup {
        /// Request number, unique on this connection.
        request: u64,
        /// The group.
        group: u32,
        /// Epoch on which the proposal is based.
        expected_epoch: u64,
        /// The proposed epoch; its number is `expected_epoch + 1`.
        proposed: GroupEpoch,
    },
    /// Between control processes: identity of the sender, first on a connection.
    PeerHello {
        /// The machine and its disk.
        member: Member,
    },
    /// Between control processes: a message of the replication library.
    Replication(Vec<u8>),
    /// Between control processes: a standby forwards registrations that it acknowledged. Not used by
    /// external clients.
    Announce(Vec<Instance>),
    /// Heartbeat: keeps the connection alive.
    KeepAlive,
    /// Asks for the state of the control plane, for an operator's command.
    Status,
    /// From a storage machine: by how many versions the last batch job of a model may lag behind the newest named one.
    VersionLag {
        /// The model.
        model: String,
        /// Versions.
        lag: u64,
    },
}

/// From a control process.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FromControl {
    /// This process is not the primary.
    Redirect {
        /// Internal address of the primary, if known.
        primary: Option<String>,
        /// Internal addresses of all known control processes.
        members: Vec<String>,
    },
    /// Updates.
    Feed(FeedBatch),
    /// Internal addresses of all known control processes, for reconnecting.
    Members(Vec<String>),
    /// Response to [`ToControl::ChangeGroup`].
    GroupChanged {
        /// Request number.
        request: u64,
        /// The group.
        group: u32,
        /// Whether the proposed epoch is the current one.
        accepted: bool,
        /// The current epoch.
        current: GroupEpoch,
    },
    /// Heartbeat: keeps the connection alive.
    KeepAlive,
    /// Response to [`ToControl::Status`], JSON.
    Status(Vec<u8>),
    /// Updates that belong to the next [`FromControl::Feed`] of the connection, before its own: the same bytes for many
    /// subscribers.
    SharedUpdates(CompressedUpdates),
}
