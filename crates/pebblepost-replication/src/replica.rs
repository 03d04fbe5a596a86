//! A replica of a group with its log, role and lease.
//!
//! This is primary-backup replication. An entry is committed once every in-sync replica of the current
//! epoch has it on disk. The primary acts, that is, accepts proposals and answers reads, while all
//! in-sync replicas acknowledge its heartbeats. A replica that has received nothing from the primary for the
//! election timeout campaigns: it asks the configuration manager for the next epoch with itself as
//! primary. The replica never decides on epochs itself. It reads no clock and does no I/O: times are
//! those of the caller's monotonic clock, and the caller takes the required actions from
//! [`Replica::take_outputs`].
//!
//! A *term* is an unbroken run of epochs with the same primary. The *targets* are the members that
//! should hold the group. A *joiner* is a replica that the primary brings up to date before it proposes
//! it as in sync.
//!
//! State, each type with the rules that depend on nothing else: `log`, `write_queue`, `progress`,
//! `progress_tracker`, `heartbeat_log`, `snapshot`, `term_history`, `pending_change`,
//! `election_state`, `bootstrap_replies`, `removal_state`, `role`. `core` combines them.
//!
//! Decisions, one concern each, as methods of [`Replica`]: `receive` (which messages are accepted),
//! `epoch`, `primary_term`, `lease`, `heartbeat`, `commit`, `log_sender`, `log_receiver`, `catch_up`,
//! `reconfiguration`, `handover`, `removal`, `election`, `resumption`, `bootstrap`.
//!
//! Interface: `api`, `settings`, `output`, `disk_record`, `message`, `state_machine`, `recovery`.

mod api;
mod bootstrap;
mod bootstrap_replies;
mod catch_up;
mod commit;
mod core;
mod disk_record;
mod election;
mod election_state;
mod epoch;
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
pub use crate::codec::Blob;
pub use disk_record::DiskRecord;
pub use output::{ProposeError, ReplicaOutput};
pub use settings::ReplicaSettings;
pub use state_machine::StateMachine;
