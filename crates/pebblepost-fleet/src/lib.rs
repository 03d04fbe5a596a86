//! The replicated state machine of a fleet of dispatchers: members with sessions and leases, drains and
//! settings, permits under disruption budgets, and releases.
//!
//! Nothing here does I/O, reads a clock or draws a random number: time comes as a field of a command or as an
//! argument, so the same commands give the same state at every replica. A command may be late, duplicated or
//! from a dead process; the rules are checked in [`State::apply`] and nowhere else.
//!
//! Modules, each using only those before it:
//!
//! * [`name`], [`setting`], [`value`]: names and keys, and the values that the state holds.
//! * [`heartbeat`], [`session`], [`fencing`]: what members send, how long sessions and leases are valid.
//! * [`command`]: what may change the state, and what is answered.
//! * [`availability`]: which permits a disruption budget and a release allow now.
//! * [`state`]: the state, its revisions and its bounded log of changes.
//! * [`leader`]: what the Raft leader concludes from heartbeats.
//! * [`follower`]: a dispatcher's copy, its age, and the drains requested at it while it was partitioned.
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
