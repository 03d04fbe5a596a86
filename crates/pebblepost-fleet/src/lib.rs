//! The replicated state machine of a fleet of dispatchers: members with sessions and leases, drains and
//! settings, permits under disruption budgets, and releases.
//!
//! The crate does no I/O, reads no clock and draws no random numbers. Time is a field of a command or an
//! argument, so the same commands produce the same state at every replica. A command may be delayed,
//! duplicated or issued by a process that has stopped since. Its rules are checked in [`State::apply`] and
//! nowhere else.
//!
//! Each module uses only those listed before it:
//!
//! * [`name`], [`setting`], [`value`]: names, keys and the values in the state.
//! * [`heartbeat`], [`session`], [`fencing`]: reports of members, and the validity of sessions and leases.
//! * [`command`]: the commands that change the state, and their results.
//! * [`availability`]: the permits that a disruption budget and a release allow.
//! * [`state`]: the state, its revisions and its bounded log of changes.
//! * [`leader`]: the decisions that the Raft leader derives from heartbeats.
//! * [`follower`]: a dispatcher's copy of the state, its age, and drains requested during a partition.
//! * [`release_driver`], [`simulation`]: when a release advances or halts, and its dry run.

pub mod availability;
pub mod command;
pub mod fencing;
pub mod follower;
pub mod heartbeat;
pub mod leader;
pub mod name;
pub mod release_driver;
pub mod session;
pub mod setting;
pub mod simulation;
pub mod state;
pub mod value;

pub use command::{Action, Command, CommandResult, Operation, Outcome, Precondition, Rejection};
pub use name::{IncarnationId, Key, Name, RequestId, Subject, SubjectKind, Text};
pub use state::State;
pub use value::{Budget, Change, Limit, Permit, Snapshot};
