//! State shared by the parts of a release trial.

use super::grant_audit::GrantAudit;
use super::maintenance::WorkerMaintenance;
use super::operators::Operators;
use super::outages::Halt;
use super::plan::Plan;
use crate::supervisor::Supervisor;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// A release trial in progress.
pub(super) struct Trial {
    pub(super) plan: Plan,
    pub(super) operators: Operators,
    pub(super) supervisor: Arc<Supervisor>,
    /// Set once no further release or maintenance may start.
    pub(super) stopping: AtomicBool,
    /// Halts by operators so far.
    pub(super) halts: Mutex<Vec<Halt>>,
    pub(super) maintenance: WorkerMaintenance,
    pub(super) audit: Mutex<GrantAudit>,
}
