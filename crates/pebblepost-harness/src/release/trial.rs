//! The state that the parts of a release trial share.

use super::grant_audit::GrantAudit;
use super::maintenance::WorkerMaintenance;
use super::operators::Operators;
use super::outages::Halt;
use super::plan::Plan;
use crate::supervisor::Supervisor;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// A release trial that is under way.
pub(super) struct Trial {
    pub(super) plan: Plan,
    pub(super) operators: Operators,
    pub(super) supervisor: Arc<Supervisor>,
    /// No further release or maintenance begins.
    pub(super) stopping: AtomicBool,
    /// Halts by operators.
    pub(super) halts: Mutex<Vec<Halt>>,
    pub(super) maintenance: WorkerMaintenance,
    pub(super) audit: Mutex<GrantAudit>,
}
