//! The feed: versioned updates that the control plane streams to agents, storage machines and standby control nodes.
//! An agent forwards them to its proxy.

use crate::Member;
use nanoserde::{DeBin, SerBin};

/// State of a transcriber's instance: whether it accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum InstanceState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Completes its requests in flight and accepts no new ones.
    Draining,
    /// Shut down, or declared dead after missed heartbeats.
    Terminated,
}

/// A model and a weight version of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: String,
    /// Weight version.
    pub generation: u64,
}

/// An instance of a transcriber (one run of it), as last announced.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Instance {
    /// Id of the instance; never reused.
    pub id: String,
    /// Name of the service that the instance belongs to.
    pub backend: String,
    /// `ip:port` at which the instance accepts requests.
    pub address: String,
    /// Zone of the instance.
    pub zone: String,
    /// Maximum number of requests that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance accepts new requests.
    pub state: InstanceState,
    /// Remaining time of slow start as of the announcement, in milliseconds.
    pub slow_start_remaining_ms: u32,
    /// Loaded models with their weight versions.
    pub models: Vec<ModelVersion>,
    /// Sequence number of the announcement. An announcement with a higher number replaces one with a lower number.
    pub sequence: u64,
}

/// The operator's configuration, as a full document or as a patch on an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ConfigurationUpdate {
    /// The full document, uncompressed.
    Full {
        /// Version of the document.
        generation: u64,
        /// The document as JSON.
        document: Vec<u8>,
    },
    /// The full document, compressed.
    Compressed {
        /// Version of the document.
        generation: u64,
        /// Length of the decompressed document, in bytes.
        uncompressed_bytes: u64,
        /// The document as JSON, compressed to a raw deflate stream.
        compressed: Vec<u8>,
    },
    /// A patch on the configuration of version `base_generation`.
    Patch {
        /// Version to which the patch applies.
        base_generation: u64,
        /// Version that results from the patch.
        generation: u64,
        /// The patch as JSON.
        patch: Vec<u8>,
    },
}

impl ConfigurationUpdate {
    /// Returns the version of the configuration that results from the update.
    pub fn generation(&self) -> u64 {
        match self {
            ConfigurationUpdate::Full { generation, .. }
            | ConfigurationUpdate::Compressed { generation, .. }
            | ConfigurationUpdate::Patch { generation, .. } => *generation,
        }
    }
}

/// Assignment of a store group to machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct StoreGroup {
    /// Number of the store group.
    pub group: u32,
    /// Epoch of the assignment. An assignment with a higher epoch replaces one with a lower epoch.
    pub epoch: u64,
    /// Primary of the store group.
    pub primary: Member,
    /// In-sync replicas, including the primary.
    pub in_sync: Vec<Member>,
    /// Machines that the control plane has chosen to hold the replicas of the store group.
    pub targets: Vec<Member>,
}

/// A change of the state that the control plane distributes to the data plane.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FeedUpdate {
    /// The configuration. A receiver ignores a version that is not newer than its own.
    Configuration(ConfigurationUpdate),
    /// Instances of transcribers that changed, or all of them. Instances that are missing from a complete list no
    /// longer exist.
    Instances {
        /// Whether `instances` lists all instances.
        complete: bool,
        /// The instances.
        instances: Vec<Instance>,
    },
    /// Store groups whose assignment changed.
    StoreGroups(Vec<StoreGroup>),
    /// The newest named weight version of each model.
    NamedVersions(Vec<ModelVersion>),
    /// Number of connected proxies, from which each proxy derives its share of the limits.
    ProxyCount(u32),
}

/// Updates of the feed that are sent in one message.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct FeedBatch {
    /// Sequence number of the batch on its connection, starting at 1. The receiver acknowledges it.
    pub sequence: u64,
    /// The updates, in the order in which they apply.
    pub updates: Vec<FeedUpdate>,
}

/// A list of [`FeedUpdate`] that is encoded and compressed once and sent to several subscribers.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct CompressedUpdates {
    /// Length of the decompressed encoding, in bytes.
    pub uncompressed_bytes: u64,
    /// The encoding, compressed to a raw deflate stream.
    pub compressed: Vec<u8>,
}

/// Message from a subscriber to the publisher of its feed.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FeedReply {
    /// The subscriber has applied all batches up to this one.
    Acknowledge {
        /// Sequence number of the newest applied batch.
        sequence: u64,
        /// Version of the current configuration of the subscriber.
        generation: u64,
    },
}
