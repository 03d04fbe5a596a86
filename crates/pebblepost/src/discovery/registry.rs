//! The workers known to this dispatcher, and how each of them is reached.
//!
//! The registry owns the endpoints, the drain marks set by operators, and the ids and indices that identify workers, zones and
//! machine types in the decision module. It does no I/O.

use super::endpoint_list::{EndpointList, ListedEndpoint};
use crate::clock::Clock;
use crate::engine::Input;
use crate::name_hash::hash_name;
use crate::unanswered_probes::UnansweredProbes;
use pebblepost_dispatch::api::{CellId, Entry, KindId, ListKind, Time, WorkerId, WorkerState, ZoneId};
use pebblepost_fleet::value::{WorkerObservation, WorkerStatus};
use pebblepost_fleet::{Name, Text};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A worker as known to this dispatcher.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker's name, which is the same at every dispatcher.
    pub host: String,
    /// Where the worker is reached by HTTP; `None` if it is connected to another front instead.
    pub address: Option<SocketAddr>,
    /// Unix time of the worker's start, in milliseconds; 0 if unknown.
    born_ms: u64,
    entry: Entry,
    /// Whether a list has contained the worker.
    listed: bool,
}

/// The changes made by a list of discovery.
#[derive(Debug)]
pub struct AppliedList {
    /// The input for the engine.
    pub input: Input,
    /// Workers that are gone or have a new address. Their idle connections have to be closed.
    pub stale_workers: Vec<WorkerId>,
}

/// Maps names to the indices that the decision module uses for them.
#[derive(Debug, Default)]
struct NameIndex(Vec<String>);

impl NameIndex {
    /// Returns the index of a name, which is added if it is unknown. A number is an index already and is returned unchanged.
    /// Indices beyond the range of `u16` become [`u16::MAX`].
    fn index(&mut self, value: &Value) -> u16 {
        if let Some(number) = value.as_u64() {
            return u16::try_from(number).unwrap_or(u16::MAX);
        }
        let name = value.as_str().unwrap_or("");
        let index = self.0.iter().position(|known| known == name).unwrap_or_else(|| {
            self.0.push(name.to_owned());
            self.0.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }

    /// Returns the name with this index, or the index as text if it has no name.
    fn name(&self, index: u16) -> Text {
        let name = self.0.get(usize::from(index)).cloned().unwrap_or_else(|| index.to_string());
        name.parse().unwrap_or_default()
    }
}

/// The workers known to this dispatcher.
#[derive(Debug, Default)]
pub struct Registry {
    by_host: HashMap<String, WorkerId>,
    endpoints: Vec<Endpoint>,
    zones: NameIndex,
    kinds: NameIndex,
    /// Names in the drain marks of operators.
    drained: HashSet<String>,
    /// Version of the last list.
    version: u64,
    /// Whether the workers listed by discovery are withheld from the engine, because their state may be out of date.
    withheld: bool,
}

impl Registry {
    /// Creates a registry without workers. The positions in `zones` and `kinds`, the names of zones and machine types, are
    /// their indices.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Self { zones: NameIndex(zones), kinds: NameIndex(kinds), ..Self::default() }
    }

    /// Returns a worker; `None` if its id is unknown.
    pub fn get(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.endpoints.get(worker.0 as usize)
    }

    /// Returns the version of the last list; 0 if there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds a worker that is connected to another front, or updates its machine type and state.
    pub fn register(&mut self, host: &str, kind: KindId, state: WorkerState) -> WorkerId {
        let worker = self.worker_id(host);
        let entry = &mut self.endpoints[worker.0 as usize].entry;
        (entry.kind, entry.state) = (kind, state);
        worker
    }

    /// Returns the name by which a drain mark covers the worker; `None` if the worker is not drained.
    ///
    /// A worker that is one queue of a process is named `PROCESS/QUEUE`. A drain mark covers it by this name or by that of the
    /// process.
    pub fn drained_name(&self, worker: WorkerId) -> Option<&str> {
        let host = self.get(worker)?.host.as_str();
        [host, host.split('/').next().unwrap_or_default()]
            .into_iter()
            .find(|name| self.drained.contains(*name))
    }

    /// Returns whether an operator's drain mark covers the worker.
    pub fn is_drained(&self, worker: WorkerId) -> bool {
        self.drained_name(worker).is_some()
    }

    /// Returns all workers that an operator's drain mark covers.
    pub fn drained_workers(&self) -> HashSet<WorkerId> {
        let all = (0..self.endpoints.len()).map(|index| WorkerId(index as u32));
        if self.drained.is_empty() { HashSet::new() } else { all.filter(|id| self.is_drained(*id)).collect() }
    }

    /// Returns the state of the workers listed by discovery as this dispatcher observes it; `None` before the first list that
    /// contains workers. A worker counts as warming up for `warm_up_time` after its start.
    pub fn observations(
        &self, now: Time, warm_up_time: Duration, probes: &UnansweredProbes,
    ) -> Option<BTreeMap<Name, WorkerObservation>> {
        let observe = |endpoint: &Endpoint| {
            let entry = &endpoint.entry;
            let warming_up = entry.started.is_some_and(|started| now < started + warm_up_time);
            let status = match entry.state {
                WorkerState::Ready if probes.is_unresponsive(now, entry.worker) => WorkerStatus::Unavailable,
                WorkerState::Ready if warming_up => WorkerStatus::WarmingUp,
                WorkerState::Ready => WorkerStatus::Ready,
                _ => WorkerStatus::Unavailable,
            };
            let (zone, machine_type) = (self.zones.name(entry.zone.0), self.kinds.name(entry.kind.0));
            Some((endpoint.host.parse().ok()?, WorkerObservation { zone, machine_type, status }))
        };
        let reached = self.endpoints.iter().filter(|endpoint| endpoint.address.is_some());
        let present = reached.filter(|endpoint| endpoint.entry.state != WorkerState::Gone);
        let has_list = self.endpoints.iter().any(|endpoint| endpoint.listed && endpoint.address.is_some());
        has_list.then(|| present.filter_map(observe).collect())
    }

    /// Withholds the workers listed by discovery from the engine until discovery has responded or has failed. The list that a
    /// new process is given at its start may be older than the state that requests have to observe.
    pub fn withhold(&mut self) {
        self.withheld = true;
    }

    /// Ends [`withhold`](Self::withhold). Returns the input for the engine, or `None` if nothing was withheld.
    pub fn end_withholding(&mut self) -> Option<Input> {
        std::mem::take(&mut self.withheld).then(|| self.membership())
    }

    /// Applies a list from discovery, or the one that this process was given at its start. Returns `None` if it is malformed.
    ///
    /// `kind` is the kind of list reported to the engine. By default it is [`ListKind::Full`] for a complete list and
    /// [`ListKind::Delta`] for changes.
    pub fn apply(&mut self, json: &Value, kind: Option<ListKind>, clock: &Clock) -> Option<AppliedList> {
        let list = EndpointList::from_json(json)?;
        let mut stale = Vec::new();
        let mut entries = Vec::new();
        if list.complete {
            self.remove_unlisted(&list, &mut stale);
            // The engine takes every worker that a complete list does not contain for gone, so the list has to include the
            // workers that other fronts have registered.
            let others = self.endpoints.iter().filter(|endpoint| endpoint.address.is_none());
            let others = others.map(|endpoint| self.effective_entry(endpoint.entry.worker));
            entries.extend(others.filter(|entry| entry.state != WorkerState::Gone));
        }
        let outdated = list.version < self.version;
        for listed in list.endpoints {
            let worker = self.apply_endpoint(listed, outdated, clock, &mut stale);
            entries.push(self.effective_entry(worker));
        }
        self.version = list.version;
        if let Some(input) = self.end_withholding() {
            return Some(AppliedList { input, stale_workers: stale });
        }
        let kind = kind.unwrap_or(if list.complete { ListKind::Full } else { ListKind::Delta });
        Some(AppliedList { input: Input::Membership(kind, entries), stale_workers: stale })
    }

    /// Marks workers that a complete list does not contain as gone.
    fn remove_unlisted(&mut self, list: &EndpointList, stale: &mut Vec<WorkerId>) {
        let listed: HashSet<&str> = list.endpoints.iter().map(|endpoint| endpoint.host.as_str()).collect();
        let reached = self.endpoints.iter_mut().filter(|endpoint| endpoint.address.is_some());
        for endpoint in reached.filter(|endpoint| !listed.contains(endpoint.host.as_str())) {
            endpoint.entry.state = WorkerState::Gone;
            stale.push(endpoint.entry.worker);
        }
    }

    fn apply_endpoint(
        &mut self, listed: ListedEndpoint, outdated: bool, clock: &Clock, stale: &mut Vec<WorkerId>,
    ) -> WorkerId {
        let worker = self.worker_id(&listed.host);
        let (zone, kind) = (self.zones.index(&listed.zone), self.kinds.index(&listed.kind));
        let endpoint = &mut self.endpoints[worker.0 as usize];
        if listed.address.is_some() && endpoint.address != listed.address || listed.state == WorkerState::Gone
        {
            stale.push(worker);
        }
        endpoint.address = listed.address.or(endpoint.address);
        (endpoint.entry.zone, endpoint.entry.kind) = (ZoneId(zone), KindId(kind));
        endpoint.entry.cell = CellId(listed.cell);
        // A list with an older version may lack a drain that was announced since, so it must not make a draining worker ready
        // again. Only a newer version or a restart of the worker may. If discovery itself has fallen back to an older version,
        // later lists are compared with that version.
        let would_undo_drain = outdated
            && endpoint.listed
            && listed.state == WorkerState::Ready
            && listed.born_ms <= endpoint.born_ms;
        if !would_undo_drain {
            endpoint.entry.state = listed.state;
        }
        endpoint.listed = true;
        // The start time is converted once per start of the worker. Converting it with each list would turn clock jitter into
        // apparent restarts.
        if listed.born_ms != endpoint.born_ms {
            endpoint.born_ms = listed.born_ms;
            endpoint.entry.started = (listed.born_ms != 0).then(|| clock.from_unix_ms(listed.born_ms));
        }
        worker
    }

    /// Replaces the drain marks of operators. Returns the input for the engine, or `None` if the marks are unchanged.
    pub fn set_drained(&mut self, drained: HashSet<String>) -> Option<Input> {
        if drained == self.drained {
            return None;
        }
        self.drained = drained;
        Some(self.membership())
    }

    /// Returns all workers except withheld ones as a list of the kind [`ListKind::Cached`], since it does not come directly from
    /// discovery.
    pub fn membership(&self) -> Input {
        let known = self.endpoints.iter().filter(|endpoint| !self.withheld || endpoint.address.is_none());
        let entries = known.map(|endpoint| self.effective_entry(endpoint.entry.worker));
        Input::Membership(
            ListKind::Cached,
            entries.filter(|entry| entry.state != WorkerState::Gone).collect(),
        )
    }

    /// Returns the entry to report to the engine, in which a ready worker with a drain mark is draining.
    fn effective_entry(&self, worker: WorkerId) -> Entry {
        let entry = self.endpoints[worker.0 as usize].entry;
        let drained = entry.state == WorkerState::Ready && self.is_drained(worker);
        Entry { state: if drained { WorkerState::Draining } else { entry.state }, ..entry }
    }

    /// Returns the id of the worker with this name. An unknown worker is added in the state [`WorkerState::Gone`].
    fn worker_id(&mut self, host: &str) -> WorkerId {
        if let Some(worker) = self.by_host.get(host) {
            return *worker;
        }
        let worker = WorkerId(self.endpoints.len() as u32);
        let entry = Entry {
            worker,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: WorkerState::Gone,
            name: hash_name(host),
            started: None,
        };
        self.by_host.insert(host.to_owned(), worker);
        let host = host.to_owned();
        self.endpoints.push(Endpoint { host, address: None, born_ms: 0, entry, listed: false });
        worker
    }
}
