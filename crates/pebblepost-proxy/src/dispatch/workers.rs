//! The transcribers of one service, numbered for the decisions.

use log::warn;
use pebblepost_dispatch::api::{CellId, Entry, KindId, Time, WorkerId, WorkerState, ZoneId};
use pebblepost_messages::feed::{Instance, InstanceState};
use pebblepost_transcriber::Target;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The zone of this machine; others are numbered as they appear.
pub(super) const HOME: ZoneId = ZoneId(0);

/// A transcriber.
#[derive(Clone, Debug)]
struct Worker {
    target: Target,
    slots: u32,
    state: WorkerState,
    zone: ZoneId,
    in_flight: u32,
}

/// The transcribers of one service; those that are gone keep their numbers.
#[derive(Debug)]
pub(super) struct Workers {
    zones: Vec<String>,
    numbers: HashMap<String, WorkerId>,
    workers: Vec<Worker>,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerChange {
    /// The entry for the decisions.
    pub(super) entry: Entry,
    /// Its slots, if it was not known before.
    pub(super) new_with_slots: Option<u32>,
}

impl Workers {
    /// No transcribers, seen from `zone`.
    pub(super) fn new(zone: &str) -> Workers {
        Workers { zones: vec![zone.to_owned()], numbers: HashMap::new(), workers: Vec::new() }
    }

    /// Takes an announcement in; `None` if it changes nothing that matters here. `warm_up`: how
    /// long the decisions take a transcriber to be cold after its start.
    pub(super) fn update(
        &mut self, instance: &Instance, now: Time, warm_up: Duration,
    ) -> Option<WorkerChange> {
        let state = match instance.state {
            InstanceState::Ready => WorkerState::Ready,
            InstanceState::Draining => WorkerState::Draining,
            InstanceState::Gone => WorkerState::Gone,
        };
        if let Some(&number) = self.numbers.get(&instance.id) {
            let worker = &mut self.workers[number.0 as usize];
            worker.slots = instance.slots.max(1);
            if worker.state == state {
                return None;
            }
            worker.state = state;
            let entry = self.entry(number, &instance.id, None);
            return Some(WorkerChange { entry, new_with_slots: None });
        }
        if state == WorkerState::Gone {
            return None;
        }
        let Ok(address) = instance.address.parse() else {
            warn!("transcriber {}: its address {:?} can't be read", instance.id, instance.address);
            return None;
        };
        let number = WorkerId(u32::try_from(self.workers.len()).ok()?);
        let slots = instance.slots.max(1);
        let zone = self.zone(&instance.zone);
        let target = Target { instance: instance.id.clone(), address };
        self.workers.push(Worker { target, slots, state, zone, in_flight: 0 });
        self.numbers.insert(instance.id.clone(), number);
        let cold = Duration::from_millis(instance.warm_up_remaining_ms.into());
        let started = (!cold.is_zero()).then(|| now + cold - warm_up);
        let entry = self.entry(number, &instance.id, started);
        Some(WorkerChange { entry, new_with_slots: Some(slots) })
    }

    /// Attempts of this proxy that are out at a transcriber.
    pub(super) fn in_flight(&self, worker: WorkerId) -> u32 {
        self.workers.get(worker.0 as usize).map_or(0, |worker| worker.in_flight)
    }

    /// An attempt at a transcriber begins or ends.
    pub(super) fn count_in_flight(&mut self, worker: WorkerId, begins: bool) {
        let Some(worker) = self.workers.get_mut(worker.0 as usize) else { return };
        worker.in_flight = match begins {
            true => worker.in_flight.saturating_add(1),
            false => worker.in_flight.saturating_sub(1),
        };
    }

    fn zone(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        });
        ZoneId(u16::try_from(index).unwrap_or(u16::MAX))
    }

    fn entry(&self, number: WorkerId, id: &str, started: Option<Time>) -> Entry {
        let worker = &self.workers[number.0 as usize];
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Entry {
            worker: number,
            zone: worker.zone,
            kind: KindId(0),
            cell: CellId(0),
            state: worker.state,
            name: hasher.finish(),
            started,
        }
    }

    /// A transcriber, if it takes requests at this moment.
    pub(super) fn ready(&self, number: WorkerId) -> Option<&Target> {
        let worker = self.workers.get(number.0 as usize)?;
        (worker.state == WorkerState::Ready).then_some(&worker.target)
    }

    /// Slots of a transcriber.
    pub(super) fn slots(&self, number: WorkerId) -> u32 {
        self.workers.get(number.0 as usize).map_or(1, |worker| worker.slots)
    }

    /// The transcribers that take requests at this moment.
    pub(super) fn all_ready(&self) -> impl Iterator<Item = WorkerId> {
        let ready = self.workers.iter().enumerate().filter(|(_, worker)| worker.state == WorkerState::Ready);
        ready.map(|(index, _)| WorkerId(index as u32))
    }
}
