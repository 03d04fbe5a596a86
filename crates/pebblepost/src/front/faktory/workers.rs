//! Worker processes that fetch jobs.

use crate::engine::AttemptId;
use crate::net::ConnectionKey;
use pebblepost_dispatch::api::{Time, WorkerId, WorkerState};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A job that a worker has fetched.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) attempt: AttemptId,
    pub(super) connection: ConnectionKey,
    pub(super) expires: Time,
}

/// A worker process.
#[derive(Debug)]
pub(super) struct WorkerProcess {
    pub(super) connections: usize,
    /// The worker that it is to the engine, for each queue by index.
    pub(super) ids: BTreeMap<usize, WorkerId>,
    pub(super) state: WorkerState,
    pub(super) last_seen: Time,
    /// Connections with a pending fetch, in the order of their arrival.
    pub(super) fetching: Vec<ConnectionKey>,
    /// By `jid`.
    pub(super) reservations: HashMap<String, Reservation>,
}

impl WorkerProcess {
    fn new(now: Time) -> Self {
        Self {
            connections: 0,
            ids: BTreeMap::new(),
            state: WorkerState::Ready,
            last_seen: now,
            fetching: Vec::new(),
            reservations: HashMap::new(),
        }
    }

    /// Removes and returns the attempts of the reservations that `ended` selects.
    pub(super) fn end_reservations(&mut self, ended: impl Fn(&Reservation) -> bool) -> Vec<AttemptId> {
        let ended = self.reservations.extract_if(|_, reservation| ended(reservation));
        ended.map(|(_, reservation)| reservation.attempt).collect()
    }
}

/// The worker that the engine knows by an id: a process and one of its queues.
#[derive(Clone, Debug)]
pub(super) struct QueueWorker {
    pub(super) wid: String,
    /// Index of the queue.
    pub(super) queue: usize,
}

/// All worker processes, by `wid`.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    processes: HashMap<String, WorkerProcess>,
    by_id: HashMap<WorkerId, QueueWorker>,
}

impl WorkerTable {
    pub(super) fn len(&self) -> usize {
        self.processes.len()
    }

    pub(super) fn contains(&self, wid: &str) -> bool {
        self.processes.contains_key(wid)
    }

    pub(super) fn get(&self, wid: &str) -> Option<&WorkerProcess> {
        self.processes.get(wid)
    }

    pub(super) fn get_mut(&mut self, wid: &str) -> Option<&mut WorkerProcess> {
        self.processes.get_mut(wid)
    }

    pub(super) fn processes_mut(&mut self) -> impl Iterator<Item = &mut WorkerProcess> {
        self.processes.values_mut()
    }

    /// A connection of a process said `HELLO`.
    pub(super) fn connect(&mut self, wid: String, now: Time) {
        let process = self.processes.entry(wid).or_insert_with(|| WorkerProcess::new(now));
        process.connections += 1;
        process.last_seen = now;
    }

    /// Records that the engine knows a queue of a process by this id.
    pub(super) fn register(&mut self, id: WorkerId, wid: &str, queue: usize) {
        if let Some(process) = self.processes.get_mut(wid) {
            process.ids.insert(queue, id);
        }
        self.by_id.insert(id, QueueWorker { wid: wid.to_owned(), queue });
    }

    pub(super) fn unregister(&mut self, id: WorkerId) {
        self.by_id.remove(&id);
    }

    /// The worker that the engine knows by this id.
    pub(super) fn by_id(&self, id: WorkerId) -> Option<&QueueWorker> {
        self.by_id.get(&id)
    }

    pub(super) fn remove(&mut self, wid: &str) -> Option<WorkerProcess> {
        self.processes.remove(wid)
    }

    /// Connections with a pending fetch.
    pub(super) fn fetching(&self) -> usize {
        self.processes.values().map(|process| process.fetching.len()).sum()
    }

    /// Jobs that workers have fetched and not ended.
    pub(super) fn reserved(&self) -> usize {
        self.processes.values().map(|process| process.reservations.len()).sum()
    }

    /// Processes that have sent nothing for longer than `heartbeat_timeout`.
    pub(super) fn expired(&self, now: Time, heartbeat_timeout: Duration) -> Vec<String> {
        let expired =
            self.processes.iter().filter(|(_, process)| now >= process.last_seen + heartbeat_timeout);
        expired.map(|(wid, _)| wid.clone()).collect()
    }
}
