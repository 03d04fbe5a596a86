//! Workers as a node knows them: membership, last load reports, own jobs, and the pools that draws come from.
//!
//! Owns this state and keeps it consistent; decides nothing.

use crate::affinity::RecentKeys;
use crate::api::{
    AttemptNo, CellId, Class, Entry, KindId, RequestId, Settings, Status, Time, WorkerId, WorkerState, ZoneId,
};
use crate::connections::IdleConnections;
use crate::estimators::QueueWait;
use crate::forecast::SlotRelease;
use crate::outlier_detection::OutlierDetector;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet, VecDeque};
use std::ops::{Index, IndexMut};
use std::time::Duration;

/// Where a worker stands, as seen from the node. All are local where crossing zones has no price.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Locality {
    /// In the node's zone.
    Local,
    /// In another zone.
    Remote,
}

/// A value for each locality.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PerLocality<T> {
    pub(crate) local: T,
    pub(crate) remote: T,
}

impl<T> Index<Locality> for PerLocality<T> {
    type Output = T;

    fn index(&self, locality: Locality) -> &T {
        match locality {
            Locality::Local => &self.local,
            Locality::Remote => &self.remote,
        }
    }
}

impl<T> IndexMut<Locality> for PerLocality<T> {
    fn index_mut(&mut self, locality: Locality) -> &mut T {
        match locality {
            Locality::Local => &mut self.local,
            Locality::Remote => &mut self.remote,
        }
    }
}

/// Ready workers that may be drawn for a class, in this node's order. If all are remote, they are its local
/// ones.
pub(crate) type Pool = PerLocality<Vec<usize>>;

impl Pool {
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> {
        self.local.iter().chain(&self.remote).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }
}

/// A job that this node sent to a worker and that is in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnJob {
    pub(crate) sent: Time,
    pub(crate) slots: f64,
    /// Whether it is known to have started.
    pub(crate) started: bool,
    pub(crate) expected_end: Time,
}

/// Slots and jobs that a report cannot have counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnreportedLoad {
    pub(crate) slots: f64,
    pub(crate) jobs: f64,
}

/// Connections to a worker that broke or were refused since it was last heard.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionFailures {
    count: u32,
    since: Time,
}

impl ConnectionFailures {
    fn record(&mut self, now: Time) {
        if self.count == 0 {
            self.since = now;
        }
        self.count += 1;
    }

    /// Whether they last for so long. One broken connection is no outage: any may break.
    pub(crate) fn is_outage(&self, now: Time, duration: Duration) -> bool {
        self.count > 1 && now >= self.since + duration
    }
}

/// What a probe is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ProbePurpose {
    /// A request that is to be placed, in this step of its.
    Placement {
        /// The request.
        request: RequestId,
        /// Its step.
        step: u32,
    },
    /// To learn whether reports show by now a job that found so many at the worker.
    ReportAge {
        /// Jobs that it found.
        jobs_found: f64,
    },
    /// To learn whether there is capacity, though this attempt has not started.
    MissedStart {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptNo,
    },
}

/// A worker.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: CellId,
    pub(crate) state: WorkerState,
    /// The same at every node.
    pub(crate) name: u64,
    /// Its latest start, if known to be recent.
    pub(crate) started: Option<Time>,
    pub(crate) connection_failures: ConnectionFailures,
    /// Place in this node's own seeded order of workers.
    rank: u64,
    /// All its slots: the most seen free.
    pub(crate) slots: f64,
    /// All its memory units: the most seen free.
    pub(crate) memory: f64,
    /// Figures of the last report.
    pub(crate) free_slots: f64,
    pub(crate) free_memory: f64,
    pub(crate) queued_jobs: f64,
    pub(crate) jobs: f64,
    /// Reports so far, and when the last one came.
    pub(crate) reports: u32,
    pub(crate) reported_at: Time,
    pub(crate) own_jobs: Vec<OwnJob>,
    pub(crate) queue_wait: QueueWait,
    pub(crate) recent_keys: RecentKeys,
    pub(crate) idle_connections: IdleConnections,
    /// What each probe that is out is for, the oldest in front.
    pub(crate) probes: VecDeque<ProbePurpose>,
    pub(crate) outliers: OutlierDetector,
}

impl Worker {
    /// Reports after which its slots are known.
    const REPORTS_TO_KNOW: u32 = 2;

    /// Whether enough reports came to know its slots.
    pub(crate) fn is_known(&self) -> bool {
        self.reports >= Self::REPORTS_TO_KNOW
    }

    /// Own load that a report as old as `lag` cannot have counted.
    pub(crate) fn unreported_load(&self, lag: Duration) -> UnreportedLoad {
        let from = self.reported_at - lag;
        let unreported = self.own_jobs.iter().rev().take_while(|job| job.sent > from);
        unreported.fold(UnreportedLoad::default(), |load, job| UnreportedLoad {
            slots: load.slots + job.slots,
            jobs: load.jobs + 1.0,
        })
    }

    /// Own jobs that hold slots: those that wait do as well, unless others may pass them.
    pub(crate) fn slot_holders(&self, queue_in_order: bool) -> impl Iterator<Item = SlotRelease> {
        let holds = move |job: &&OwnJob| queue_in_order || job.started || job.slots <= 1.0;
        self.own_jobs.iter().filter(holds).map(|job| SlotRelease { at: job.expected_end, slots: job.slots })
    }

    /// Own jobs that have not started.
    pub(crate) fn unstarted_jobs(&self) -> impl Iterator<Item = &OwnJob> {
        self.own_jobs.iter().filter(|job| !job.started)
    }

    /// An attempt or a probe ended so.
    pub(crate) fn record_status(&mut self, now: Time, status: Status) {
        if matches!(status, Status::ConnectFailed | Status::Reset) {
            self.connection_failures.record(now);
        }
    }

    /// Whether a class may be sent there, whatever its state: a rule of placement.
    pub(crate) fn is_permitted(&self, class: &Class) -> bool {
        class.kind.is_none_or(|kind| kind == self.kind)
            && class.only_kinds.as_ref().is_none_or(|kinds| kinds.contains(&self.kind))
            && class.only_zones.as_ref().is_none_or(|zones| zones.contains(&self.zone))
    }

    fn locality(&self, settings: &Settings) -> Locality {
        let priced = settings.prices.cross_zone > 0.0;
        if priced && self.zone != settings.zone { Locality::Remote } else { Locality::Local }
    }
}

/// All workers of a node.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    workers: Vec<Worker>,
    by_id: HashMap<WorkerId, usize>,
    /// By class.
    pools: Vec<Pool>,
    any_class: Pool,
    /// Ready workers.
    pub(crate) ready: PerLocality<f64>,
    /// Own attempts in flight that found no free slot.
    pub(crate) queued_attempts: usize,
}

impl Index<usize> for WorkerTable {
    type Output = Worker;

    fn index(&self, worker: usize) -> &Worker {
        &self.workers[worker]
    }
}

impl IndexMut<usize> for WorkerTable {
    fn index_mut(&mut self, worker: usize) -> &mut Worker {
        &mut self.workers[worker]
    }
}

impl WorkerTable {
    /// Index of a worker.
    pub(crate) fn index_of(&self, id: WorkerId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Workers that a class may be drawn from; `None` before the first membership.
    pub(crate) fn pool(&self, class: usize) -> Option<&Pool> {
        self.pools.get(class)
    }

    /// Ready workers, whatever the class.
    pub(crate) fn any_class_pool(&self) -> &Pool {
        &self.any_class
    }

    /// All ready workers.
    pub(crate) fn ready_workers(&self) -> f64 {
        self.ready.local + self.ready.remote
    }

    pub(crate) fn locality(&self, worker: usize, settings: &Settings) -> Locality {
        self.workers[worker].locality(settings)
    }

    /// Takes in an entry of the membership; returns the worker's index. `seed`: of this node's order.
    pub(crate) fn update(&mut self, entry: &Entry, seed: u64) -> usize {
        let index = *self.by_id.entry(entry.worker).or_insert_with(|| {
            let rank = Pcg64Mcg::seed_from_u64(seed ^ u64::from(entry.worker.0)).random();
            self.workers.push(Worker { id: entry.worker, rank, ..Worker::default() });
            self.workers.len() - 1
        });
        let worker = &mut self.workers[index];
        (worker.zone, worker.kind, worker.cell) = (entry.zone, entry.kind, entry.cell);
        (worker.state, worker.name) = (entry.state, entry.name);
        if entry.started > worker.started {
            // A new process: what was learned of the old one is void.
            worker.started = entry.started;
            (worker.outliers, worker.recent_keys, worker.queue_wait) = Default::default();
        }
        index
    }

    /// Workers that a complete membership does not list are gone.
    pub(crate) fn remove_unlisted(&mut self, entries: &[Entry]) {
        let listed: HashSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        for worker in self.workers.iter_mut().filter(|worker| !listed.contains(&worker.id)) {
            worker.state = WorkerState::Gone;
        }
    }

    /// Builds the pools anew, after changes of the membership or the classes.
    pub(crate) fn rebuild_pools(&mut self, settings: &Settings) {
        let mut ordered: Vec<usize> = (0..self.workers.len()).collect();
        ordered.retain(|worker| self.workers[*worker].state == WorkerState::Ready);
        ordered.sort_by_key(|worker| (self.workers[*worker].rank, self.workers[*worker].id));
        let is_local = |worker: &usize| self.workers[*worker].locality(settings) == Locality::Local;
        let pool = |class: Option<&Class>| {
            let permits =
                |worker: &&usize| class.is_none_or(|class| self.workers[**worker].is_permitted(class));
            let (local, remote): (Vec<_>, Vec<_>) =
                ordered.iter().filter(permits).copied().partition(is_local);
            if local.is_empty() { Pool { local: remote, remote: local } } else { Pool { local, remote } }
        };
        let pools = settings.classes.iter().map(|class| pool(Some(class))).collect();
        let any_class = pool(None);
        let local = ordered.iter().filter(|worker| is_local(worker)).count();
        self.ready = PerLocality { local: local as f64, remote: (ordered.len() - local) as f64 };
        (self.pools, self.any_class) = (pools, any_class);
    }
}
