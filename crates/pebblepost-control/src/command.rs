//! Entries of the replicated log, and what became of them.

use crate::departures::Departure;
use crate::digest::fnv1a;
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::{DiskId, Member};

/// How a change of the configuration is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub enum ChangeMethod {
    /// The whole document (`PUT`).
    #[default]
    Whole,
    /// A patch on the version before (`PATCH`).
    Patch,
}

/// A change of the configuration as the operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigurationChange {
    /// Version that it builds on.
    pub base: u64,
    /// How it is written.
    pub method: ChangeMethod,
    /// The document or the patch, JSON.
    pub body: Vec<u8>,
}

impl ConfigurationChange {
    /// Digest by which a repeat of the very same change is recognized.
    pub fn digest(&self) -> u64 {
        fnv1a(&[&[self.method as u8], &self.base.to_le_bytes(), &self.body])
    }
}

/// First assignment of a group of batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct FoundedGroup {
    /// The group.
    pub group: u32,
    /// Its primary.
    pub primary: DiskId,
    /// Its replicas, the primary among them.
    pub replicas: Vec<DiskId>,
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// The operator changes the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// A trainer names a version of a model's weights.
    NameVersion {
        /// The model.
        model: String,
        /// The version.
        generation: u64,
    },
    /// The groups of batch jobs get their first replicas.
    FoundStoreGroups(Vec<FoundedGroup>),
    /// A storage machine asks for a new epoch of a group.
    ChangeGroup {
        /// Disk of the machine that asks; only an in-sync replica may.
        proposer: DiskId,
        /// The group.
        group: u32,
        /// Epoch that the change builds on.
        expected_epoch: u64,
        /// The wanted epoch.
        proposed: GroupEpoch,
    },
    /// A storage machine announced itself with a disk that is new or has moved.
    StoreJoined(Member),
    /// A disk of a storage machine is lost or was given up.
    StoreLeft(DiskId),
    /// The operator wants a storage machine to be emptied.
    Retire {
        /// Name of the machine.
        node: String,
        /// Machines that must remain beside it.
        least_remaining: u32,
    },
    /// A storage machine holds nothing any more.
    RetireCompleted {
        /// Name of the machine.
        node: String,
    },
    /// The machines that should hold a group.
    SetTargets {
        /// The group.
        group: u32,
        /// Their disks.
        targets: Vec<DiskId>,
    },
    /// A primary is about to order transcribers; orders of the holder before it are old.
    HoldOrders {
        /// Its disk.
        holder: DiskId,
    },
    /// A transcriber says that it leaves. It is told that this is known once the entry is committed.
    NoteDeparture {
        /// Its id.
        instance: String,
        /// How far it is.
        departure: Departure,
    },
}

impl Command {
    /// As bytes of the log.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }

    /// What it does, in a few words for logs.
    pub fn summary(&self) -> String {
        match self {
            Command::ChangeConfiguration(change) => format!("configuration on version {}", change.base),
            Command::NameVersion { model, generation } => format!("version {generation} of {model}"),
            Command::FoundStoreGroups(groups) => format!("{} groups are founded", groups.len()),
            Command::ChangeGroup { group, expected_epoch, .. } => {
                format!("group {group} leaves epoch {expected_epoch}")
            }
            Command::StoreJoined(member) => format!("{} joins with disk {:016x}", member.node, member.disk.0),
            Command::StoreLeft(disk) => format!("disk {:016x} is forgotten", disk.0),
            Command::Retire { node, .. } => format!("{node} is to be emptied"),
            Command::RetireCompleted { node } => format!("{node} is empty"),
            Command::SetTargets { group, targets } => {
                let disks: Vec<String> = targets.iter().map(|disk| format!("{:016x}", disk.0)).collect();
                format!("group {group} belongs on {}", disks.join(" "))
            }
            Command::HoldOrders { holder } => format!("{:016x} orders transcribers", holder.0),
            Command::NoteDeparture { instance, departure } => format!("{instance} is {departure:?}"),
        }
    }
}

/// Why a change of the configuration was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// Another version is current.
    OtherVersion {
        /// The current one, 0 for none.
        current: u64,
    },
    /// It can't be read or breaks a rule of the format.
    Invalid(String),
}

/// Why a machine can't be retired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireRefusal {
    /// There is no storage machine of that name.
    UnknownNode,
    /// Too few would remain.
    TooFewRemain,
}

/// What an entry did when it was applied, for the caller that proposed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration changed, or had been changed by the very same change before.
    ConfigurationTaken {
        /// Version that the change made.
        generation: u64,
    },
    /// The configuration was not changed.
    ConfigurationRefused(ChangeRefusal),
    /// The version is noted.
    VersionNamed,
    /// What holds of a group after its change.
    GroupChanged {
        /// Whether the proposed epoch holds.
        accepted: bool,
        /// The epoch that holds.
        current: GroupEpoch,
    },
    /// The machine is being emptied, or is already.
    Retiring,
    /// The machine is not emptied.
    RetireRefused(RetireRefusal),
    /// Nothing that a caller waits for.
    Applied,
    /// The entry can't be read.
    Unreadable,
}
