//! The reasons why permits wait, and why some could never be granted.

use crate::value::Limit;
use std::fmt;
use thiserror::Error;

/// The reason why a permit waits. Its text is shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The kind has no disruption budget.
    NoBudget,
    /// An operator or the driver of a release has halted the kind.
    Halted,
    /// The limit of the fleet is reached: this many others are unavailable.
    FleetLimit(usize),
    /// The limit of the zone is reached: this many others in it are unavailable.
    ZoneLimit(usize),
    /// The limit of the machine type is reached: this many others of it are unavailable.
    MachineTypeLimit(usize),
    /// The limit of the wave is reached: this many have the release's version, or a granted permit to change
    /// to it.
    WaveLimit(usize),
    /// Dispatchers of an earlier zone in the release's order still wait.
    ZoneOrder,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBudget => f.write_str("there is no budget for its kind"),
            Self::Halted => f.write_str("halted"),
            Self::FleetLimit(others) => write!(f, "{others} others are out, no more may be"),
            Self::MachineTypeLimit(others) => {
                write!(f, "{others} others of its kind are out, no more may be")
            }
            Self::ZoneOrder => f.write_str("a zone before its own is not done"),
            Self::WaveLimit(reached) => {
                write!(f, "{reached} have its version, no more may in this wave")
            }
            Self::ZoneLimit(others) => write!(f, "{others} others are out in its zone, no more may be"),
        }
    }
}

/// The reason why a permit could never be granted under the present budget. Its text becomes part of stored
/// rejections.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ImpossibleReason {
    /// The limit of the fleet resolves to 0.
    #[error("the budget of {limit} lets none of {total} out")]
    Fleet {
        /// Limit of the budget.
        limit: Limit,
        /// Number of subjects in the fleet.
        total: usize,
    },
    /// The limit of the zone resolves to 0.
    #[error("the budget lets none of the {total} in zone {zone:?} out")]
    Zone {
        /// Name of the zone.
        zone: String,
        /// Number of subjects in the zone.
        total: usize,
    },
    /// The limit of the machine type resolves to 0.
    #[error("the budget lets none of the {total} of kind {machine_type:?} out")]
    MachineType {
        /// Machine type.
        machine_type: String,
        /// Number of subjects of the machine type.
        total: usize,
    },
}
