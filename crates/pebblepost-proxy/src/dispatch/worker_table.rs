//! Workers of one backend, which are transcribers, under the ids that the dispatcher uses.

use log::warn;
use pebblepost_dispatch::api::{CellId, Entry, KindId, Time, WorkerId, WorkerState, ZoneId};
use pebblepost_messages::feed::{Instance, InstanceState};
use pebblepost_transcriber::Target;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Id of the zone of this machine. Other zones get ids in the order in which they appear.
pub(super) const HOME_ZONE: ZoneId = ZoneId(0);

/// State of one transcriber.
#[derive(Clone, Debug)]
struct Worker {
    target: Target,
    slots: u32,
    state: WorkerState,
    zone: ZoneId,
    in_flight: u32,
}

/// Workers of one backend. A worker that is gone keeps its id.
#[derive(Debug)]
pub(super) struct WorkerTable {
    zones: Vec<String>,
    ids: HashMap<String, WorkerId>,
    workers: Vec<Worker>,
}

/// Change of a worker by an update of its instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerChange {
    /// Membership entry of the worker for the dispatcher.
    pub(super) entry: Entry,
    /// Number of slots of the worker if it is new.
    pub(super) initial_slots: Option<u32>,
}

impl WorkerTable {
    /// Creates an empty table. `home_zone` is the zone of this machine.
    pub(super) fn new(home_zone: &str) -> WorkerTable {
        WorkerTable { zones: vec![home_zone.to_owned()], ids: HashMap::new(), workers: Vec::new() }
    }

    /// Applies the state of an instance. Returns `None` if nothing changes for the dispatcher.
    /// `warm_up_time` is the dispatcher's slow-start time after the start of a worker.
    pub(super) fn update(
        &mut self, instance: &Instance, now: Time, warm_up_time: Duration,
    ) -> Option<WorkerChange> {
        let state = match instance.state {
            InstanceState::Ready => WorkerState::Ready,
            InstanceState::Draining => WorkerState::Draining,
            InstanceState::Terminated => WorkerState::Gone,
        };
        match self.ids.get(&instance.id) {
            Some(&id) => self.update_known(id, instance, state),
            None if state == WorkerState::Gone => None,
            None => self.add(instance, state, now, warm_up_time),
        }
    }

    fn update_known(
        &mut self, id: WorkerId, instance: &Instance, state: WorkerState,
    ) -> Option<WorkerChange> {
        let worker = &mut self.workers[id.0 as usize];
        worker.slots = instance.slots.max(1);
        if worker.state == state {
            return None;
        }
        worker.state = state;
        let entry = self.entry(id, &instance.id, None);
        Some(WorkerChange { entry, initial_slots: None })
    }

    fn add(
        &mut self, instance: &Instance, state: WorkerState, now: Time, warm_up_time: Duration,
    ) -> Option<WorkerChange> {
        let Ok(address) = instance.address.parse() else {
            warn!(
                "transcriber address is invalid transcriber={} address={:?}",
                instance.id, instance.address
            );
            return None;
        };
        let id = WorkerId(u32::try_from(self.workers.len()).ok()?);
        let slots = instance.slots.max(1);
        let zone = self.zone_id(&instance.zone);
        let target = Target { instance: instance.id.clone(), address };
        self.workers.push(Worker { target, slots, state, zone, in_flight: 0 });
        self.ids.insert(instance.id.clone(), id);
        let warm_up_left = Duration::from_millis(instance.slow_start_remaining_ms.into());
        let started = (!warm_up_left.is_zero()).then(|| now + warm_up_left - warm_up_time);
        let entry = self.entry(id, &instance.id, started);
        Some(WorkerChange { entry, initial_slots: Some(slots) })
    }

    /// Returns the number of this proxy's attempts in flight at a worker.
    pub(super) fn in_flight(&self, id: WorkerId) -> u32 {
        self.workers.get(id.0 as usize).map_or(0, |worker| worker.in_flight)
    }

    /// Counts an attempt that starts at a worker.
    pub(super) fn record_attempt_start(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id.0 as usize) {
            worker.in_flight = worker.in_flight.saturating_add(1);
        }
    }

    /// Counts an attempt that ended at a worker.
    pub(super) fn record_attempt_end(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id.0 as usize) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    fn zone_id(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        });
        ZoneId(u16::try_from(index).unwrap_or(u16::MAX))
    }

    fn entry(&self, id: WorkerId, name: &str, started: Option<Time>) -> Entry {
        let worker = &self.workers[id.0 as usize];
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Entry {
            worker: id,
            zone: worker.zone,
            kind: KindId(0),
            cell: CellId(0),
            state: worker.state,
            name: hasher.finish(),
            started,
        }
    }

    /// Returns the target of a worker if the worker accepts requests.
    pub(super) fn ready_target(&self, id: WorkerId) -> Option<&Target> {
        let worker = self.workers.get(id.0 as usize)?;
        (worker.state == WorkerState::Ready).then_some(&worker.target)
    }

    /// Returns the number of slots of a worker; 1 if the id is unknown.
    pub(super) fn slots(&self, id: WorkerId) -> u32 {
        self.workers.get(id.0 as usize).map_or(1, |worker| worker.slots)
    }

    /// Returns the workers that accept requests.
    pub(super) fn ready_workers(&self) -> impl Iterator<Item = WorkerId> {
        let ready = self.workers.iter().enumerate().filter(|(_, worker)| worker.state == WorkerState::Ready);
        ready.map(|(index, _)| WorkerId(index as u32))
    }
}
