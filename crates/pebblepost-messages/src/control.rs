//! Messages on the internal port of a control process.

use crate::feed::{FeedBatch, FeedReply, Instance};
use crate::{DiskId, Member};
use nanoserde::{DeBin, SerBin};

/// What a subscriber of the feed is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SubscriberRole {
    /// An agent beside a proxy.
    Agent,
    /// A storage machine.
    Store,
    /// Another control process, which keeps a copy of the registrations.
    Standby,
}

/// Who holds a group of batch jobs, in one epoch.
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
    /// First message of a subscriber of the feed. Only the primary feeds; others answer with
    /// [`FromControl::Redirect`] and close.
    Subscribe {
        /// Name of the machine.
        node: String,
        /// Its zone.
        zone: String,
        /// What it is.
        role: SubscriberRole,
        /// Version of the configuration that it has; 0 for none.
        generation: u64,
    },
    /// A subscriber's acknowledgement.
    Reply(FeedReply),
    /// A storage machine announces itself, first and whenever it connects again.
    StoreHello {
        /// The machine and its disk.
        member: Member,
        /// First start of the system with an empty disk.
        bootstrap: bool,
    },
    /// A storage machine asks for a new epoch of a group.
    ChangeGroup {
        /// Number of the request on this connection.
        request: u64,
        /// The group.
        group: u32,
        /// The epoch that the change builds on.
        expected_epoch: u64,
        /// The wanted epoch; its number is `expected_epoch + 1`.
        proposed: GroupEpoch,
    },
    /// Between control processes: who is speaking, first on a connection.
    PeerHello {
        /// The machine and its disk.
        member: Member,
    },
    /// Between control processes: a message of the replication library.
    Replication(Vec<u8>),
    /// Between control processes: a standby passes on a call that it acknowledged. Not used by
    /// callers from outside.
    Announce(Vec<Instance>),
    /// Nothing to say; keeps the connection alive.
    KeepAlive,
    /// An operator's command asks for the state of the control plane.
    Status,
    /// From a storage machine: how many versions behind the newest named one the last batch job of a model allows.
    VersionSlack {
        /// The model.
        model: String,
        /// Versions.
        slack: u64,
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
    /// Internal addresses of all known control processes, to find them again.
    Members(Vec<String>),
    /// Answer to [`ToControl::ChangeGroup`].
    GroupChanged {
        /// Number of the request.
        request: u64,
        /// The group.
        group: u32,
        /// Whether the proposed epoch holds now.
        accepted: bool,
        /// The epoch that holds now.
        current: GroupEpoch,
    },
    /// Nothing to say; keeps the connection alive.
    KeepAlive,
    /// Answer to [`ToControl::Status`], JSON.
    Status(Vec<u8>),
}
