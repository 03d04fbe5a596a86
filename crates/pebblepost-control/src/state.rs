//! The replicated control state.
//!
//! Owns everything that has to survive a change of the primary: the configuration, named versions, storage
//! assignments, the holder of the order lease and graceful shutdowns. Only [`Command`](command::Command)s of the
//! replicated log change it, so the log serializes concurrent requests. Commands are applied deterministically:
//! without I/O, clocks or random numbers.

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
