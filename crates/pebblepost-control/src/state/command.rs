//! Commands of the replicated log, and their outcomes when they are applied.

use super::shutdowns::ShutdownPhase;
use crate::hash::fnv1a;
use nanoserde::{DeBin, SerBin};
use pebblepost_configuration::ConfigurationError;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::{DiskId, Member};
use std::fmt;
use thiserror::Error;

/// How a configuration change is expressed.
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
    /// How the change is expressed.
    pub method: ChangeMethod,
    /// The document or the patch, JSON.
    pub body: Vec<u8>,
}

impl ConfigurationChange {
    /// Digest by which a retry of exactly this change is recognized.
    pub fn digest(&self) -> u64 {
        fnv1a(&[&[self.method as u8], &self.base.to_le_bytes(), &self.body])
    }
}

/// First assignment of a group of batch jobs to storage nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct InitialAssignment {
    /// The group.
    pub group: u32,
    /// Disk of its primary.
    pub primary: DiskId,
    /// Disks of its replicas, the primary's among them.
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
    /// Assigns all groups of batch jobs for the first time.
    BootstrapGroups(Vec<InitialAssignment>),
    /// Starts a new epoch of a group, on request of a storage node.
    ChangeGroup {
        /// Disk of the requesting storage node; it has to be in sync.
        proposer: DiskId,
        /// The group.
        group: u32,
        /// Epoch that the change is based on.
        expected_epoch: u64,
        /// The new epoch.
        proposed: GroupEpoch,
    },
    /// Adds a disk of a storage node, or updates its address.
    AddStore(Member),
    /// Removes a disk that is lost or unused.
    RemoveStore(DiskId),
    /// Starts to move all groups off a storage node.
    Retire {
        /// Name of the storage node.
        node: String,
        /// Storage nodes that have to remain without it.
        min_remaining: u32,
    },
    /// Marks a retiring storage node as empty.
    CompleteRetirement {
        /// Name of the storage node.
        node: String,
    },
    /// Sets the disks that a group should be moved to.
    SetTargets {
        /// The group.
        group: u32,
        /// Their disks.
        targets: Vec<DiskId>,
    },
    /// Makes a primary the holder of the singleton role that sends load orders to transcribers.
    AcquireOrderLease {
        /// Disk of that primary.
        holder: DiskId,
    },
    /// Records the graceful shutdown of a transcriber. It is acknowledged once this is committed.
    RecordShutdown {
        /// Identity of the incarnation.
        instance: String,
        /// Phase that it has reached.
        phase: ShutdownPhase,
    },
}

impl Command {
    /// A command without effect, for the barrier of a term. Its stored form is one that builds before it can read: the
    /// first assignment of no group at all.
    pub fn barrier() -> Command {
        Command::BootstrapGroups(Vec::new())
    }

    /// The stored form.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }
}

/// Short form for logs.
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

/// Why a configuration change is rejected. The texts are sent to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change is based on another version than the current one (412).
    #[error("version {current} is current")]
    VersionMismatch {
        /// The current version, 0 for none.
        current: u64,
    },
    /// The change is based on a version so old that it is not known any more whether it was accepted (503).
    #[error("not known any more whether the change on version {base} was accepted")]
    HistoryEvicted {
        /// The version that it is based on.
        base: u64,
    },
    /// The document or the patch can't be parsed or breaks a rule of the format.
    #[error(transparent)]
    InvalidDocument(#[from] ConfigurationError),
    /// A patch was sent before any document.
    #[error("there is no configuration to patch")]
    NothingToPatch,
    /// The new document's version does not follow the current one.
    #[error("generation {generation} is not above the current {current}")]
    StaleGeneration {
        /// Version that the new document names.
        generation: u64,
        /// The current version.
        current: u64,
    },
}

/// Why a storage node can't be retired. The texts are sent to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RetirementError {
    /// No storage node has that name.
    #[error("no such storage machine")]
    UnknownNode,
    /// Too few storage nodes would remain for the replicas of each group.
    #[error("too few storage machines would remain")]
    TooFewRemaining,
}

/// What a command did when it was applied, for the request that proposed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration was changed, now or earlier by the same change.
    ConfigurationAccepted {
        /// Version that the change produced.
        generation: u64,
    },
    /// The configuration was not changed.
    ConfigurationRejected(ChangeError),
    /// The version is named.
    VersionNamed,
    /// State of a group after a requested change.
    GroupChanged {
        /// Whether the proposed epoch is in force.
        accepted: bool,
        /// The epoch in force.
        current: GroupEpoch,
    },
    /// The storage node retires, or did already.
    Retiring,
    /// The storage node does not retire.
    RetirementRejected(RetirementError),
    /// Applied; no request waits for the result.
    Applied,
    /// The entry can't be decoded; the state is damaged.
    Undecodable,
}
