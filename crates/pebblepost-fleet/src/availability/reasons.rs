//! Why permits wait, and why some could never be granted.

use crate::value::Limit;
use std::fmt;
use thiserror::Error;

/// Why a permit waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// There is no budget.
    NoBudget,
    /// An operator, or a release's driver, has halted.
    Halted,
    /// The fleet's limit is reached with that many others unavailable.
    FleetLimit(usize),
    /// The zone's limit is reached with that many others unavailable.
    ZoneLimit(usize),
    /// The limit of its type of machine is reached with that many others unavailable.
    MachineTypeLimit(usize),
    /// The wave's limit is reached: that many have the release's version.
    WaveLimit(usize),
    /// Dispatchers of a zone that goes earlier still wait.
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

/// Why a permit could never be granted under the present budget.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ImpossibleReason {
    /// The fleet's limit is none of its total.
    #[error("the budget of {limit} lets none of {total} out")]
    Fleet {
        /// The limit.
        limit: Limit,
        /// How many there are.
        total: usize,
    },
    /// The zone's limit is none of its total.
    #[error("the budget lets none of the {total} in zone {zone:?} out")]
    Zone {
        /// The zone.
        zone: String,
        /// How many there are.
        total: usize,
    },
    /// The limit of the type of machine is none of its total.
    #[error("the budget lets none of the {total} of kind {machine_type:?} out")]
    MachineType {
        /// The type of machine.
        machine_type: String,
        /// How many there are.
        total: usize,
    },
}
