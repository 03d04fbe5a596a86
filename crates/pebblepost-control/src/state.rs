//! The replicated control state.
//!
//! Owns everything that outlives a primary: the configuration, named versions, storage assignments, the holder of the
//! order lease and graceful shutdowns. It is changed only by [`Command`](command::Command)s of the replicated log,
//! deterministically, so concurrent requests are serialized by the log. It never does I/O, reads no clock and draws no
//! random numbers.

mod change_history;
pub mod command;
mod configuration;
mod control_state;
pub mod disk_record;
pub mod shutdowns;
mod snapshot;
mod state_machine;
mod storage;

pub use change_history::{
    AcceptedChange, BYTES_PER_CHANGE, ChangeHistory, ChangeLookup, MAX_RECORDED_CHANGES,
};
pub use configuration::LastPatch;
pub use control_state::ControlState;
pub use storage::{GroupAssignment, RetirementState};
