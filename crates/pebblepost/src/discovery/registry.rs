//! The workers known to this dispatcher, and how each is reached.
//!
//! Owns the endpoints, the drain marks of the operators, and the ids and indices that the decision module knows workers,
//! zones and machine types by. No I/O.

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

/// What is known of a worker.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name, the same at every dispatcher.
    pub host: String,
    /// Where it is reached by HTTP; `None` if another front reaches it.
    pub address: Option<SocketAddr>,
    /// Unix time of its start in milliseconds; 0 if unknown.
    born_ms: u64,
    entry: Entry,
    /// Whether a list of discovery has named it.
    listed: bool,
}

/// What a list of discovery has changed.
#[derive(Debug)]
pub struct AppliedList {
    /// What the engine has to learn.
    pub input: Input,
    /// Workers that are gone or have moved, whose connections are of no use any more.
    pub stale_workers: Vec<WorkerId>,
}

/// Index of names that the decision module knows by number.
#[derive(Debug, Default)]
struct NameIndex(Vec<String>);

impl NameIndex {
    /// The index of a name, which gets a new one if it is unknown, or the number itself if `value` is one.
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

    /// The name at an index, or the index itself if it has none.
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
    /// Names that operators have marked as drained.
    drained: HashSet<String>,
    version: u64,
    /// Discovery's workers are withheld from the engine: what is known of them may be out of date.
    withheld: bool,
}

impl Registry {
    /// Knows the names of zones and machine types, and no worker.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Self { zones: NameIndex(zones), kinds: NameIndex(kinds), ..Self::default() }
    }

    /// What is known of a worker.
    pub fn get(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.endpoints.get(worker.0 as usize)
    }

    /// The version of the last list of discovery.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds a worker that another front reaches, or changes its state.
    pub fn register(&mut self, host: &str, kind: KindId, state: WorkerState) -> WorkerId {
        let worker = self.worker_id(host);
        let entry = &mut self.endpoints[worker.0 as usize].entry;
        (entry.kind, entry.state) = (kind, state);
        worker
    }

    /// The name in the operators' drain mark for the worker: its own, or that of the process of which it is a queue.
    pub fn drained_name(&self, worker: WorkerId) -> Option<&str> {
        let host = self.get(worker)?.host.as_str();
        [host, host.split('/').next().unwrap_or_default()]
            .into_iter()
            .find(|name| self.drained.contains(*name))
    }

    /// Whether an operator's drain mark names the worker.
    pub fn is_drained(&self, worker: WorkerId) -> bool {
        self.drained_name(worker).is_some()
    }

    /// All workers that an operator's drain mark names.
    pub fn drained_workers(&self) -> HashSet<WorkerId> {
        let all = (0..self.endpoints.len()).map(|index| WorkerId(index as u32));
        if self.drained.is_empty() { HashSet::new() } else { all.filter(|id| self.is_drained(*id)).collect() }
    }

    /// The state of discovery's workers as this dispatcher sees it; `None` as long as it has no list.
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

    /// Withholds discovery's workers from the engine until discovery has responded or has failed: the list that a new
    /// process was given at its start may be older than what requests have to go by.
    pub fn withhold(&mut self) {
        self.withheld = true;
    }

    /// Ends [`withhold`](Self::withhold); what the engine has to learn, if anything was withheld.
    pub fn end_withholding(&mut self) -> Option<Input> {
        std::mem::take(&mut self.withheld).then(|| self.membership())
    }

    /// Applies a list of discovery, or one that this process was given at its start; `None` if it is malformed.
    ///
    /// `kind` is what the engine is told of the list's origin, by default whether it is complete.
    pub fn apply(&mut self, json: &Value, kind: Option<ListKind>, clock: &Clock) -> Option<AppliedList> {
        let list = EndpointList::from_json(json)?;
        let mut stale = Vec::new();
        let mut entries = Vec::new();
        if list.complete {
            self.remove_unlisted(&list, &mut stale);
            // Workers that another front has registered belong to the complete list as well.
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
        // An older version does not know of a drain that came since, and must not take it back: only a newer one may, or a
        // restart of the worker. Discovery that has itself gone back counts on from its own version.
        let takes_back_drain = outdated
            && endpoint.listed
            && listed.state == WorkerState::Ready
            && listed.born_ms <= endpoint.born_ms;
        if !takes_back_drain {
            endpoint.entry.state = listed.state;
        }
        endpoint.listed = true;
        // Converted once for each start: converted with each list, jitter of the clocks would look like restarts.
        if listed.born_ms != endpoint.born_ms {
            endpoint.born_ms = listed.born_ms;
            endpoint.entry.started = (listed.born_ms != 0).then(|| clock.from_unix_ms(listed.born_ms));
        }
        worker
    }

    /// Replaces the operators' drain marks; what the engine has to learn if that changes anything.
    pub fn set_drained(&mut self, drained: HashSet<String>) -> Option<Input> {
        if drained == self.drained {
            return None;
        }
        self.drained = drained;
        Some(self.membership())
    }

    /// All workers but those that are withheld, as a list that does not claim to come from discovery.
    pub fn membership(&self) -> Input {
        let known = self.endpoints.iter().filter(|endpoint| !self.withheld || endpoint.address.is_none());
        let entries = known.map(|endpoint| self.effective_entry(endpoint.entry.worker));
        Input::Membership(
            ListKind::Cached,
            entries.filter(|entry| entry.state != WorkerState::Gone).collect(),
        )
    }

    /// The entry as the engine has to see it: a drain mark of an operator drains a ready worker.
    fn effective_entry(&self, worker: WorkerId) -> Entry {
        let entry = self.endpoints[worker.0 as usize].entry;
        let drained = entry.state == WorkerState::Ready && self.is_drained(worker);
        Entry { state: if drained { WorkerState::Draining } else { entry.state }, ..entry }
    }

    /// The id of the worker with this name, which is added if it is unknown.
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
