//! Transcriber incarnations that drain or have terminated.
//!
//! Registrations are soft state, because transcribers register again and again. An incarnation whose shutdown was
//! acknowledged does not, so the shutdown itself is replicated and every later primary knows of it.

use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// Capacity: more than the number of transcribers that shut down while others may still take them for alive.
const MAX_SHUTDOWNS: usize = 4096;

/// Phase of a graceful shutdown. Phases only advance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum ShutdownPhase {
    /// The incarnation accepts no new requests.
    #[default]
    Draining,
    /// The incarnation has deregistered.
    Terminated,
}

/// The newest shutdowns. Part of the snapshot: fields are stored in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Shutdowns {
    phases: BTreeMap<String, ShutdownPhase>,
    /// Incarnations by the sequence number under which they were first recorded.
    order: BTreeMap<u64, String>,
    last_number: u64,
}

impl Shutdowns {
    /// Phase of an incarnation's shutdown; `None` if no shutdown is recorded.
    pub fn phase(&self, instance: &str) -> Option<ShutdownPhase> {
        self.phases.get(instance).copied()
    }

    /// All recorded shutdowns, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&str, ShutdownPhase)> {
        self.order.values().filter_map(|instance| Some((instance.as_str(), self.phase(instance)?)))
    }

    /// Records a phase. An incarnation that has terminated stays terminated.
    pub(crate) fn record(&mut self, instance: String, phase: ShutdownPhase) {
        if let Some(known) = self.phases.get_mut(&instance) {
            *known = phase.max(*known);
            return;
        }
        self.last_number += 1;
        self.order.insert(self.last_number, instance.clone());
        self.phases.insert(instance, phase);
        if self.order.len() > MAX_SHUTDOWNS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.phases.remove(&oldest);
        }
    }
}
