//! Transcribers that are on their way out, as the replicated state remembers them.
//!
//! Registrations are soft state: transcribers announce themselves again. A transcriber whose end was acknowledged
//! does not, so that every later primary has to know of it.

use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// Departures remembered: more transcribers than leave within the time in which others may still take them for alive.
const MOST_DEPARTURES: usize = 4096;

/// How far an incarnation is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum Departure {
    /// It takes no new requests.
    #[default]
    Draining,
    /// It has ended, by its own word.
    Gone,
}

/// The newest departures.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Departures {
    states: BTreeMap<String, Departure>,
    /// Identities in the order in which they were first noted.
    order: BTreeMap<u64, String>,
    last_number: u64,
}

impl Departures {
    /// How far an incarnation is on its way out, if it is known to leave.
    pub fn of(&self, instance: &str) -> Option<Departure> {
        self.states.get(instance).copied()
    }

    /// All that are remembered, the oldest first.
    pub fn all(&self) -> impl Iterator<Item = (&str, Departure)> {
        self.order.values().filter_map(|instance| Some((instance.as_str(), self.of(instance)?)))
    }

    /// Notes a departure; one that is gone stays gone.
    pub(crate) fn note(&mut self, instance: String, departure: Departure) {
        if let Some(known) = self.states.get_mut(&instance) {
            *known = departure.max(*known);
            return;
        }
        self.last_number += 1;
        self.order.insert(self.last_number, instance.clone());
        self.states.insert(instance, departure);
        if self.order.len() > MOST_DEPARTURES
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.states.remove(&oldest);
        }
    }
}
