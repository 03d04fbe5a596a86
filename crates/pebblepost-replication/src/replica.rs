//! A replica of a group: its log, its role, its lease.
//!
//! Primary-backup replication: an entry is committed once every in-sync replica of the current epoch
//! has it on disk; the primary acts while all of them acknowledge its heartbeats. A replica that has
//! not heard from the primary for the election timeout asks the configuration manager for the next
//! epoch with itself as primary. The replica never decides about epochs itself, never reads a clock
//! and does no I/O: times are those of the caller's monotonic clock, and what it wants done is taken by
//! [`Replica::take_outputs`].
//!
//! State, each type with the rules that need nothing else: `log`, `write_queue`, `progress`,
//! `progress_tracker`, `heartbeat_log`, `snapshot`, `term_history`, `pending_change`,
//! `election_state`, `founders`, `removal_state`, `role`. `core` holds them together.
//!
//! Decisions, one concern each, as methods of [`Replica`]: `receive` (which messages are accepted),
//! `epoch`, `primary_term`, `lease`, `heartbeat`, `commit`, `log_sender`, `log_receiver`, `catch_up`,
//! `reconfiguration`, `handover`, `removal`, `election`, `resumption`, `founding`.
//!
//! Border: `api`, `settings`, `output`, `disk_record`, `message`, `state_machine`, `recovery`.

mod api;
mod catch_up;
mod commit;
mod core;
mod disk_record;
mod election;
mod election_state;
mod epoch;
mod founders;
mod founding;
mod handover;
mod heartbeat;
mod heartbeat_log;
mod lease;
mod log;
mod log_receiver;
mod log_sender;
mod message;
mod output;
mod pending_change;
mod primary_term;
mod progress;
mod progress_tracker;
mod receive;
mod reconfiguration;
mod recovery;
mod removal;
mod removal_state;
mod resumption;
mod role;
mod settings;
mod snapshot;
mod state_machine;
mod term_history;
mod write_queue;

pub use self::core::Replica;
pub use disk_record::DiskRecord;
pub use output::{ProposeError, ReplicaOutput};
pub use settings::ReplicaSettings;
pub use state_machine::StateMachine;
