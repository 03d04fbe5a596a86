//! The agreed state of a fleet: what the keepers hold in common and the dispatchers follow.
//!
//! Nothing here does I/O, reads a clock or draws a number: time comes as a field of a command or as an argument, so the
//! same commands give the same state at every keeper. Whoever asks for a change may be late, doubled or dead; the rules
//! are checked in [`State::apply`] and nowhere else.
//!
//! * [`command`]: what may be asked for, and what is answered.
//! * [`state`]: the state, its revisions and its bounded log of changes.
//! * [`permit`]: who may be out at once: budgets, permits and their queue.
//! * [`doing`], [`sight`]: what a dispatcher tells with its beats; [`reckon`]: what the leader makes of it.
//! * [`driver`]: when a release goes on to its next wave, and what halts it.
//! * [`rehearsal`]: a release played through before it begins.
//! * [`lease`]: who does a task for the whole fleet, and for how long it may rely on that.
//! * [`session`]: which members are there, as the leader of the keepers reckons it from their beats.
//! * [`follow`]: a dispatcher's copy, its age, and the drains asked for while it was cut off.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod doing;
pub mod driver;
pub mod follow;
pub mod lease;
pub mod name;
pub mod permit;
pub mod reckon;
pub mod rehearsal;
pub mod session;
pub mod setting;
pub mod sight;
pub mod state;

pub use command::{Act, Answer, Command, Done, Expect, Op, Refusal};
pub use name::{Key, Kind, Name, RequestId, Subject, Text};
pub use permit::{Budget, Limit, Permit};
pub use state::{Change, Snapshot, State};
