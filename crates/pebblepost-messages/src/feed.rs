//! The feed: versioned updates that the control plane streams to agents, stores and standby
//! control processes, and that an agent forwards to its proxy.

use crate::Member;
use nanoserde::{DeBin, SerBin};

/// Whether a transcriber accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum InstanceState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Draining: finishes its requests and accepts no new ones.
    Draining,
    /// Ended, or declared dead after missed heartbeats.
    Terminated,
}

/// A model that a transcriber has loaded, with the version of its weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub generation: u64,
}

/// An incarnation of a transcriber, as last announced.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Instance {
    /// Identity of the incarnation; never reused.
    pub id: String,
    /// Service that it belongs to.
    pub backend: String,
    /// `ip:port` at which it accepts requests.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: InstanceState,
    /// Remaining slow-start time as of the announcement, in milliseconds.
    pub slow_start_remaining_ms: u32,
    /// Loaded models and their versions.
    pub models: Vec<ModelVersion>,
    /// Sequence number of the announcement: a higher one replaces a lower one.
    pub sequence: u64,
}

/// The operator's configuration, as a full document or as a patch on the previous version.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ConfigurationUpdate {
    /// The full document.
    Full {
        /// Its version.
        generation: u64,
        /// The document, JSON.
        document: Vec<u8>,
    },
    /// The full document, compressed.
    Compressed {
        /// Its version.
        generation: u64,
        /// Length of the document once decompressed.
        uncompressed_bytes: u64,
        /// The document, JSON, as a raw deflate stream.
        compressed: Vec<u8>,
    },
    /// A patch on the version `base_generation`.
    Patch {
        /// Version that the patch builds on.
        base_generation: u64,
        /// Version that it makes.
        generation: u64,
        /// The patch, JSON.
        patch: Vec<u8>,
    },
}

impl ConfigurationUpdate {
    /// Version of the configuration that the update makes.
    pub fn generation(&self) -> u64 {
        match self {
            ConfigurationUpdate::Full { generation, .. }
            | ConfigurationUpdate::Compressed { generation, .. }
            | ConfigurationUpdate::Patch { generation, .. } => *generation,
        }
    }
}

/// Assignment of a group of batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct StoreGroup {
    /// Number of the group.
    pub group: u32,
    /// Epoch of the assignment: a higher one replaces a lower one.
    pub epoch: u64,
    /// The primary.
    pub primary: Member,
    /// The in-sync replicas, the primary among them.
    pub in_sync: Vec<Member>,
    /// Machines that the control plane has chosen to replicate the group.
    pub targets: Vec<Member>,
}

/// One change of the state of the data plane.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FeedUpdate {
    /// The configuration. A receiver ignores one that is not newer than what it has.
    Configuration(ConfigurationUpdate),
    /// Transcribers that changed; with `complete` the complete list: ids that are not in it are gone.
    Instances {
        /// The list is complete.
        complete: bool,
        /// The transcribers.
        instances: Vec<Instance>,
    },
    /// Groups of batch jobs that changed.
    StoreGroups(Vec<StoreGroup>),
    /// The newest named version of each model.
    NamedVersions(Vec<ModelVersion>),
    /// Number of connected proxies, for their shares of limits.
    ProxyCount(u32),
}

/// Updates that are sent in one message.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct FeedBatch {
    /// Sequence number of the batch on its connection, from 1; acknowledged by the receiver.
    pub sequence: u64,
    /// The updates, in their order.
    pub updates: Vec<FeedUpdate>,
}

/// Updates that several subscribers are sent in the same form: encoded (a list of [`FeedUpdate`]) and compressed once.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct CompressedUpdates {
    /// Length of the encoded updates once decompressed.
    pub uncompressed_bytes: u64,
    /// The encoded updates, as a raw deflate stream.
    pub compressed: Vec<u8>,
}

/// From a subscriber to the publisher of its feed.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FeedReply {
    /// All batches up to this one are applied.
    Acknowledge {
        /// Sequence number of the newest applied batch.
        sequence: u64,
        /// Generation of the current configuration.
        generation: u64,
    },
}
