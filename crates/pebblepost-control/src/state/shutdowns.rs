//! Graceful shutdowns: instances of transcribers that drain or have terminated.
//!
//! Registrations are soft state, because instances repeat them with every heartbeat. A shutdown is not repeated once
//! it is acknowledged, so it is replicated and known to every later primary.

use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// Limit on the recorded shutdowns. It is more than the number of instances that shut down while other nodes may still
/// take them for live.
const MAX_RECORDED_SHUTDOWNS: usize = 4096;

/// Phase of a graceful shutdown. A shutdown never returns to an earlier phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum ShutdownPhase {
    /// The instance accepts no new requests.
    #[default]
    Draining,
    /// The instance has deregistered.
    Terminated,
}

/// The most recent shutdowns. Part of the snapshot: fields are stored in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Shutdowns {
    phases: BTreeMap<String, ShutdownPhase>,
    /// Instances by the sequence number under which they were first recorded.
    order: BTreeMap<u64, String>,
    last_number: u64,
}

impl Shutdowns {
    /// Returns the phase of an instance's shutdown, or `None` if no shutdown is recorded.
    pub fn phase(&self, instance: &str) -> Option<ShutdownPhase> {
        self.phases.get(instance).copied()
    }

    /// Returns all recorded shutdowns, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&str, ShutdownPhase)> {
        self.order.values().filter_map(|instance| Some((instance.as_str(), self.phase(instance)?)))
    }

    /// Records the phase of a shutdown. A phase before the recorded one has no effect. Evicts the oldest shutdown
    /// when the limit is exceeded.
    pub(crate) fn record(&mut self, instance: String, phase: ShutdownPhase) {
        if let Some(known) = self.phases.get_mut(&instance) {
            *known = phase.max(*known);
            return;
        }
        self.last_number += 1;
        self.order.insert(self.last_number, instance.clone());
        self.phases.insert(instance, phase);
        if self.order.len() > MAX_RECORDED_SHUTDOWNS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.phases.remove(&oldest);
        }
    }
}
