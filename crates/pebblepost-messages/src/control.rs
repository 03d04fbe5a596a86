//! Messages on the internal port of a control node.

use crate::feed::{CompressedUpdates, FeedBatch, FeedReply, Instance};
use crate::{DiskId, Member};
use nanoserde::{DeBin, SerBin};

/// Role of a subscriber of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SubscriberRole {
    /// An agent, which forwards the feed to a proxy on the same machine.
    Agent,
    /// A storage machine.
    Store,
    /// A standby control node, which keeps a replica of the registrations.
    Standby,
}

/// Assignment of a store group to disks in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct GroupEpoch {
    /// Number of the epoch.
    pub epoch: u64,
    /// Disk of the primary.
    pub primary: DiskId,
    /// Disks of the in-sync replicas, including that of the primary.
    pub in_sync: Vec<DiskId>,
}

/// Message to a control node.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ToControl {
    /// First message of a subscriber of the feed. Only the primary serves the feed; other control nodes respond with
    /// [`FromControl::Redirect`] and close the connection.
    Subscribe {
        /// Name of the machine.
        node: String,
        /// Zone of the machine.
        zone: String,
        /// Role of the subscriber.
        role: SubscriberRole,
        /// Version of the configuration that the subscriber has; 0 for none.
        generation: u64,
    },
    /// Acknowledgement of feed batches by a subscriber.
    Reply(FeedReply),
    /// First message of a storage machine on each connection: registers it.
    StoreHello {
        /// The machine and its disk.
        member: Member,
        /// Whether this is the first start of the whole system, with empty disks.
        bootstrap: bool,
    },
    /// Proposal of a storage machine for a new epoch of a store group (compare and swap).
    ChangeGroup {
        /// Request number, unique on this connection.
        request: u64,
        /// Number of the store group.
        group: u32,
        /// Epoch on which the proposal is based.
        expected_epoch: u64,
        /// The proposed epoch; its number is `expected_epoch + 1`.
        proposed: GroupEpoch,
    },
    /// First message of another control node on a connection: its identity.
    PeerHello {
        /// The machine and its disk.
        member: Member,
    },
    /// From another control node: a message of the replication library.
    Replication(Vec<u8>),
    /// From a standby: registrations that it has acknowledged, forwarded to the primary. Not sent by external clients.
    Announce(Vec<Instance>),
    /// Heartbeat: keeps the connection alive.
    KeepAlive,
    /// Request for the state of the control plane, for an operator's command.
    Status,
    /// From a storage machine: number of weight versions by which the last batch job of a model may lag behind the
    /// newest named one.
    VersionLag {
        /// Name of the model.
        model: String,
        /// Number of weight versions.
        lag: u64,
    },
}

/// Message from a control node.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FromControl {
    /// The sender is not the primary.
    Redirect {
        /// Internal address of the primary, if known.
        primary: Option<String>,
        /// Internal addresses of all known control nodes.
        members: Vec<String>,
    },
    /// Updates of the feed.
    Feed(FeedBatch),
    /// Internal addresses of all known control nodes, for reconnecting.
    Members(Vec<String>),
    /// Response to [`ToControl::ChangeGroup`].
    GroupChanged {
        /// Request number of the proposal.
        request: u64,
        /// Number of the store group.
        group: u32,
        /// Whether the proposed epoch is now the current one.
        accepted: bool,
        /// The current epoch.
        current: GroupEpoch,
    },
    /// Heartbeat: keeps the connection alive.
    KeepAlive,
    /// Response to [`ToControl::Status`]: the state as JSON.
    Status(Vec<u8>),
    /// Updates to apply as part of the next [`FromControl::Feed`] of the connection, before the updates in it. Many
    /// subscribers are sent the same bytes.
    SharedUpdates(CompressedUpdates),
}
