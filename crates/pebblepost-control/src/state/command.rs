//! Commands of the replicated log, and the outcomes of applying them.

use super::shutdowns::ShutdownPhase;
use crate::hash::fnv1a;
use nanoserde::{DeBin, SerBin};
use pebblepost_configuration::ConfigurationError;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::{DiskId, Member};
use std::fmt;
use thiserror::Error;

/// Form of a configuration change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub enum ChangeMethod {
    /// The complete new document (`PUT`).
    #[default]
    Replace,
    /// A patch of the base version (`PATCH`).
    Patch,
}

/// A configuration change as the operator submitted it.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigurationChange {
    /// Version that the change is based on (`If-Match`).
    pub base: u64,
    /// Form of the change.
    pub method: ChangeMethod,
    /// The document or the patch, JSON.
    pub body: Vec<u8>,
}

impl ConfigurationChange {
    /// Returns the digest by which a retry of exactly this change is recognized.
    pub fn digest(&self) -> u64 {
        fnv1a(&[&[self.method as u8], &self.base.to_le_bytes(), &self.body])
    }
}

/// Initial assignment of a store group to storage nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct InitialAssignment {
    /// Number of the store group.
    pub group: u32,
    /// Disk of the primary.
    pub primary: DiskId,
    /// Disks of all replicas, including the primary's.
    pub replicas: Vec<DiskId>,
}

/// A command of the replicated log. The order of variants and fields is part of the stored form.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// Changes the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// Names the version of a model's weights that transcribers should load.
    NameVersion {
        /// The model.
        model: String,
        /// The version.
        generation: u64,
    },
    /// Makes the initial assignment of all store groups.
    BootstrapGroups(Vec<InitialAssignment>),
    /// Starts a new epoch of a store group at the request of a storage node.
    ChangeGroup {
        /// Disk of the requesting storage node, which has to be in sync.
        proposer: DiskId,
        /// Number of the store group.
        group: u32,
        /// Epoch that the change is based on.
        expected_epoch: u64,
        /// The new epoch.
        proposed: GroupEpoch,
    },
    /// Adds a disk of a storage node, or updates what is known of it.
    AddStore(Member),
    /// Removes a disk that is lost or unused.
    RemoveStore(DiskId),
    /// Starts the retirement of a storage node: all store groups are moved to other nodes.
    Retire {
        /// Name of the storage node.
        node: String,
        /// Number of storage nodes that have to remain without it.
        min_remaining: u32,
    },
    /// Completes the retirement of a storage node that holds no replicas any more.
    CompleteRetirement {
        /// Name of the storage node.
        node: String,
    },
    /// Sets the disks to which a store group is moved.
    SetTargets {
        /// Number of the store group.
        group: u32,
        /// The disks.
        targets: Vec<DiskId>,
    },
    /// Makes a primary the holder of the exclusive right to send load orders to transcribers.
    AcquireOrderLease {
        /// Disk of the primary.
        holder: DiskId,
    },
    /// Records the graceful shutdown of a transcriber. The shutdown is acknowledged only after the commit of this
    /// command.
    RecordShutdown {
        /// Identity of the instance.
        instance: String,
        /// Phase that the shutdown has reached.
        phase: ShutdownPhase,
    },
}

impl Command {
    /// Returns a command without effect, which is the barrier of a term. It is encoded as an initial assignment of no
    /// groups, because builds that predate the barrier have to decode it.
    pub fn barrier() -> Command {
        Command::BootstrapGroups(Vec::new())
    }

    /// Encodes the command in its stored form.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }
}

/// Formats the command for log lines, without the bodies of changes.
impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::ChangeConfiguration(change) => write!(f, "change configuration base={}", change.base),
            Command::NameVersion { model, generation } => {
                write!(f, "name version model={model} generation={generation}")
            }
            Command::BootstrapGroups(groups) => write!(f, "bootstrap groups count={}", groups.len()),
            Command::ChangeGroup { group, expected_epoch, .. } => {
                write!(f, "change group={group} expected_epoch={expected_epoch}")
            }
            Command::AddStore(member) => {
                write!(f, "add store node={} disk={:016x}", member.node, member.disk.0)
            }
            Command::RemoveStore(disk) => write!(f, "remove store disk={:016x}", disk.0),
            Command::Retire { node, .. } => write!(f, "retire node={node}"),
            Command::CompleteRetirement { node } => write!(f, "retirement completed node={node}"),
            Command::SetTargets { group, targets } => {
                write!(f, "set targets group={group} disks=")?;
                let separators = std::iter::once("").chain(std::iter::repeat(","));
                targets
                    .iter()
                    .zip(separators)
                    .try_for_each(|(disk, comma)| write!(f, "{comma}{:016x}", disk.0))
            }
            Command::AcquireOrderLease { holder } => {
                write!(f, "acquire order lease holder={:016x}", holder.0)
            }
            Command::RecordShutdown { instance, phase } => {
                write!(f, "record shutdown instance={instance} phase={phase:?}")
            }
        }
    }
}

/// Reason why a configuration change is rejected. The message is sent to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change is not based on the current version (412).
    #[error("version {current} is current")]
    VersionMismatch {
        /// The current version, 0 for none.
        current: u64,
    },
    /// The change is based on a version that is no longer in the change history, so whether it was accepted before is
    /// unknown (503).
    #[error("not known any more whether the change on version {base} was accepted")]
    HistoryEvicted {
        /// Version that the change is based on.
        base: u64,
    },
    /// The document or the patch can't be parsed or is invalid.
    #[error(transparent)]
    InvalidDocument(#[from] ConfigurationError),
    /// A patch was sent before any document.
    #[error("there is no configuration to patch")]
    NothingToPatch,
    /// The version of the new document is not above the current one.
    #[error("generation {generation} is not above the current {current}")]
    StaleGeneration {
        /// Version of the new document.
        generation: u64,
        /// The current version.
        current: u64,
    },
}

/// Reason why a storage node can't be retired. The message is sent to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RetirementError {
    /// No storage node has that name.
    #[error("no such storage machine")]
    UnknownNode,
    /// Too few storage nodes would remain for the replicas of each group.
    #[error("too few storage machines would remain")]
    TooFewRemaining,
}

/// Outcome of an applied command, from which the request that proposed it is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration was changed by this change, now or when it was first submitted.
    ConfigurationAccepted {
        /// Version that the change produced.
        generation: u64,
    },
    /// The configuration was not changed.
    ConfigurationRejected(ChangeError),
    /// The version was named.
    VersionNamed,
    /// State of a store group after a requested change of its epoch.
    GroupChanged {
        /// Whether the proposed epoch is in force.
        accepted: bool,
        /// The epoch in force.
        current: GroupEpoch,
    },
    /// The storage node is retiring or retired.
    Retiring,
    /// The retirement was rejected.
    RetirementRejected(RetirementError),
    /// The command was applied, and no request waits for its result.
    Applied,
    /// The entry can't be decoded, so the state counts as damaged.
    Undecodable,
}
