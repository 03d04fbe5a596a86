//! Worker table of a dispatcher: membership, last load reports, own jobs and the pools to draw from.
//!
//! Owns this state and keeps it consistent. Makes no decisions.

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

/// Locality of a worker relative to the dispatcher. All workers are local where crossing zones has no price.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Locality {
    /// In the dispatcher's zone.
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

/// Ready workers that may be drawn for a class, in this dispatcher's order. If all of them are remote, they
/// are listed as local.
pub(crate) type Pool = PerLocality<Vec<usize>>;

impl Pool {
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> {
        self.local.iter().chain(&self.remote).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }
}

/// A job in flight that this dispatcher sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnJob {
    pub(crate) sent: Time,
    pub(crate) slots: f64,
    /// Whether the job is known to have started.
    pub(crate) started: bool,
    pub(crate) expected_end: Time,
}

/// Load that a report cannot have counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnreportedLoad {
    pub(crate) slots: f64,
    pub(crate) jobs: f64,
}

/// Connections to a worker that broke or were refused since its last report.
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

    /// Returns whether the failures have lasted for `duration`. A single failure is not an outage, because
    /// any connection may break.
    pub(crate) fn is_outage(&self, now: Time, duration: Duration) -> bool {
        self.count > 1 && now >= self.since + duration
    }
}

/// Purpose of a probe.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ProbePurpose {
    /// Places a request, in the given step of it.
    Placement {
        /// The request.
        request: RequestId,
        /// Its step.
        step: u32,
    },
    /// Measures the age of reports: whether a report shows a job that was sent when the worker reported
    /// `jobs_found` jobs.
    ReportAge {
        /// Number of jobs reported before the job was sent.
        jobs_found: f64,
    },
    /// Checks whether the worker has capacity although this attempt has not started.
    MissedStart {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
}

/// A worker as known to the dispatcher.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: CellId,
    pub(crate) state: WorkerState,
    /// A number that is the same at every dispatcher.
    pub(crate) name: u64,
    /// Time of the latest start, if known to be recent.
    pub(crate) started: Option<Time>,
    pub(crate) connection_failures: ConnectionFailures,
    /// Random rank in this dispatcher's seeded order of workers.
    rank: u64,
    /// Total slots: the highest number reported free.
    pub(crate) slots: f64,
    /// Total memory units: the highest number reported free.
    pub(crate) memory: f64,
    /// Values of the last report.
    pub(crate) free_slots: f64,
    pub(crate) free_memory: f64,
    pub(crate) queued_jobs: f64,
    pub(crate) jobs: f64,
    /// Number of reports received, and the time of the last one.
    pub(crate) reports: u32,
    pub(crate) reported_at: Time,
    pub(crate) own_jobs: Vec<OwnJob>,
    pub(crate) queue_wait: QueueWait,
    pub(crate) recent_keys: RecentKeys,
    pub(crate) idle_connections: IdleConnections,
    /// Purpose of each unanswered probe, the oldest first.
    pub(crate) probes: VecDeque<ProbePurpose>,
    pub(crate) outliers: OutlierDetector,
}

impl Worker {
    /// Number of reports after which the slots are taken as known.
    const MIN_REPORTS_FOR_SLOTS: u32 = 2;

    /// Returns whether enough reports came in to know the worker's slots.
    pub(crate) fn has_known_slots(&self) -> bool {
        self.reports >= Self::MIN_REPORTS_FOR_SLOTS
    }

    /// Returns the own load that a report as old as `lag` cannot have counted.
    pub(crate) fn unreported_load(&self, lag: Duration) -> UnreportedLoad {
        let from = self.reported_at - lag;
        let unreported = self.own_jobs.iter().rev().take_while(|job| job.sent > from);
        unreported.fold(UnreportedLoad::default(), |load, job| UnreportedLoad {
            slots: load.slots + job.slots,
            jobs: load.jobs + 1.0,
        })
    }

    /// Returns the slots held by own jobs. Queued jobs hold slots as well, unless other jobs may overtake
    /// them.
    pub(crate) fn slot_holders(&self, queue_in_order: bool) -> impl Iterator<Item = SlotRelease> {
        let holds = move |job: &&OwnJob| queue_in_order || job.started || job.slots <= 1.0;
        self.own_jobs.iter().filter(holds).map(|job| SlotRelease { at: job.expected_end, slots: job.slots })
    }

    /// Returns the own jobs that have not started.
    pub(crate) fn unstarted_jobs(&self) -> impl Iterator<Item = &OwnJob> {
        self.own_jobs.iter().filter(|job| !job.started)
    }

    /// Records how an attempt or a probe ended.
    pub(crate) fn record_status(&mut self, now: Time, status: Status) {
        if matches!(status, Status::ConnectFailed | Status::Reset) {
            self.connection_failures.record(now);
        }
    }

    /// Returns whether a class may be sent to the worker by the placement rules, whatever its state.
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

/// All workers known to a dispatcher.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    workers: Vec<Worker>,
    by_id: HashMap<WorkerId, usize>,
    /// Pools by class.
    pools: Vec<Pool>,
    any_class: Pool,
    /// Number of ready workers.
    pub(crate) ready: PerLocality<f64>,
    /// Number of own attempts in flight that found no free slot.
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
    /// Returns the index of a worker.
    pub(crate) fn index_of(&self, id: WorkerId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Returns the workers that a class may be drawn from, or `None` before the first membership update.
    pub(crate) fn pool(&self, class: usize) -> Option<&Pool> {
        self.pools.get(class)
    }

    /// Returns the ready workers, whatever the class.
    pub(crate) fn any_class_pool(&self) -> &Pool {
        &self.any_class
    }

    /// Returns the number of ready workers.
    pub(crate) fn ready_workers(&self) -> f64 {
        self.ready.local + self.ready.remote
    }

    pub(crate) fn locality(&self, worker: usize, settings: &Settings) -> Locality {
        self.workers[worker].locality(settings)
    }

    /// Applies an entry of the membership and returns the worker's index. `seed` determines this dispatcher's
    /// order of workers.
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
            // The worker was restarted, so the observations of its former process are discarded.
            worker.started = entry.started;
            (worker.outliers, worker.recent_keys, worker.queue_wait) = Default::default();
        }
        index
    }

    /// Marks workers that a complete membership does not list as gone.
    pub(crate) fn remove_unlisted(&mut self, entries: &[Entry]) {
        let listed: HashSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        for worker in self.workers.iter_mut().filter(|worker| !listed.contains(&worker.id)) {
            worker.state = WorkerState::Gone;
        }
    }

    /// Rebuilds the pools after changes of the membership or the classes.
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
