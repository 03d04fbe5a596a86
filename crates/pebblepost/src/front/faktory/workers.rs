//! Table of worker processes that fetch jobs.

use crate::engine::AttemptId;
use crate::net::ConnectionKey;
use pebblepost_dispatch::api::{Time, WorkerId, WorkerState};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A job that a worker process has fetched and not finished.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) attempt: AttemptId,
    pub(super) connection: ConnectionKey,
    pub(super) expires: Time,
}

/// A worker process, identified by its `wid`.
#[derive(Debug)]
pub(super) struct WorkerProcess {
    /// Number of open connections of the process.
    pub(super) connections: usize,
    /// The engine's worker id for each queue index from which the process fetches.
    pub(super) ids: BTreeMap<usize, WorkerId>,
    pub(super) state: WorkerState,
    pub(super) last_seen: Time,
    /// Connections with a pending fetch, in order of arrival.
    pub(super) fetching: Vec<ConnectionKey>,
    /// Fetched jobs by `jid`.
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

/// A worker as the engine sees it: a process and one of the queues from which it fetches.
#[derive(Clone, Debug)]
pub(super) struct QueueWorker {
    pub(super) wid: String,
    /// Index of the queue.
    pub(super) queue: usize,
}

/// All worker processes by `wid`, with an index by the engine's worker id.
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

    /// Records a connection of the process whose `HELLO` was accepted, and adds the process if it is new.
    pub(super) fn connect(&mut self, wid: String, now: Time) {
        let process = self.processes.entry(wid).or_insert_with(|| WorkerProcess::new(now));
        process.connections += 1;
        process.last_seen = now;
    }

    /// Records the engine's worker id for a process and one of its queues.
    pub(super) fn register(&mut self, id: WorkerId, wid: &str, queue: usize) {
        if let Some(process) = self.processes.get_mut(wid) {
            process.ids.insert(queue, id);
        }
        self.by_id.insert(id, QueueWorker { wid: wid.to_owned(), queue });
    }

    pub(super) fn unregister(&mut self, id: WorkerId) {
        self.by_id.remove(&id);
    }

    /// Returns the process and queue behind an engine's worker id.
    pub(super) fn by_id(&self, id: WorkerId) -> Option<&QueueWorker> {
        self.by_id.get(&id)
    }

    pub(super) fn remove(&mut self, wid: &str) -> Option<WorkerProcess> {
        self.processes.remove(wid)
    }

    /// Returns the number of connections with a pending fetch.
    pub(super) fn fetching(&self) -> usize {
        self.processes.values().map(|process| process.fetching.len()).sum()
    }

    /// Returns the number of jobs that workers have fetched and not finished.
    pub(super) fn reserved(&self) -> usize {
        self.processes.values().map(|process| process.reservations.len()).sum()
    }

    /// Returns the `wid` of each process that has sent nothing for `heartbeat_timeout`.
    pub(super) fn expired(&self, now: Time, heartbeat_timeout: Duration) -> Vec<String> {
        let expired =
            self.processes.iter().filter(|(_, process)| now >= process.last_seen + heartbeat_timeout);
        expired.map(|(wid, _)| wid.clone()).collect()
    }
}
