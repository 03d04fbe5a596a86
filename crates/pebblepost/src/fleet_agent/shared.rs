//! State that the event loop and the agent's thread share.

use pebblepost_fleet::follower::Follower;
use pebblepost_fleet::heartbeat::HeartbeatReport;
use pebblepost_fleet::setting::SETTINGS;
use pebblepost_fleet::value::WorkerObservation;
use pebblepost_fleet::{IncarnationId, Name};
use pebblepost_fleet_store::clock::elapsed_since;
#[cfg(feature = "faults")]
use std::collections::BTreeSet;
use std::collections::{BTreeMap, HashSet};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What the event loop goes by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// The agreed revision.
    pub revision: u64,
    /// Workers with a drain mark, agreed or local.
    pub drained: HashSet<String>,
    /// The revision of the newest agreed drain mark.
    pub newest_drain_revision: u64,
    /// How many of the drain marks are local.
    pub local_drains: usize,
    /// Agreed settings.
    pub settings: BTreeMap<&'static str, f64>,
    /// The revision at which this process was permitted to stop.
    pub permit_revision: Option<u64>,
}

impl FleetView {
    fn of(follower: &Follower, member: &Member) -> Self {
        let settings = SETTINGS.iter().filter_map(|setting| {
            let value = follower.setting(setting.name)?;
            Some((setting.name, value))
        });
        Self {
            revision: follower.revision(),
            drained: follower.drained_workers().into_iter().map(ToString::to_string).collect(),
            newest_drain_revision: follower.newest_drain_revision(),
            local_drains: follower.local_drains().count(),
            settings: settings.collect(),
            permit_revision: follower.permit_granted_revision(&member.name, member.incarnation),
        }
    }

    /// An agreed setting that is a duration.
    pub fn duration(&self, name: &str) -> Option<Duration> {
        self.settings.get(name).map(|seconds| Duration::from_secs_f64(*seconds))
    }
}

/// This process as a member of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) name: Name,
    /// Drawn once; it tells this process from those of the same name before and after it.
    pub(super) incarnation: IncarnationId,
}

/// State that the event loop and the agent's thread share.
pub(super) struct Shared {
    pub(super) member: Member,
    /// Whether the event loop takes new clients.
    pub(super) ready: AtomicBool,
    /// The newest view, whether or not the event loop has taken it.
    pub(super) view: Mutex<Arc<FleetView>>,
    /// When a replica last confirmed the view, in milliseconds from `started`; 0: never.
    confirmed_ms: AtomicU64,
    started: Instant,
    pub(super) follower: Mutex<Follower>,
    /// Notified when there is something to report or propose to the fleet store.
    pub(super) report_due: Notify,
    /// What the event loop last reported.
    pub(super) report: Mutex<HeartbeatReport>,
    /// How the event loop sees the workers; `None` if it knows too little.
    pub(super) observations: Mutex<Option<BTreeMap<Name, WorkerObservation>>>,
    /// The revision of the saved snapshot; the highest if none is saved.
    pub(super) persisted_revision: AtomicU64,
    /// Notified when the agreed state has changed here.
    pub(super) changed: Notify,
    wake: UnixStream,
    pub(super) log: fn(&str),
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(super) fn new(
        member: Member, follower: Follower, persists: bool, wake: UnixStream, log: fn(&str),
    ) -> Self {
        Self {
            ready: AtomicBool::new(false),
            view: Mutex::new(Arc::new(FleetView::of(&follower, &member))),
            member,
            confirmed_ms: AtomicU64::new(0),
            started: Instant::now(),
            persisted_revision: AtomicU64::new(if persists { follower.revision() } else { u64::MAX }),
            follower: Mutex::new(follower),
            report_due: Notify::new(),
            report: Mutex::default(),
            observations: Mutex::default(),
            changed: Notify::new(),
            wake,
            log,
        }
    }

    /// Time since the agent's start.
    pub(super) fn now(&self) -> Duration {
        elapsed_since(self.started)
    }

    /// Time since a replica last confirmed the view; `None` if none has since the start.
    pub(super) fn time_since_confirmed(&self) -> Option<Duration> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            0 => None,
            confirmed_ms => Some(self.now().saturating_sub(Duration::from_millis(confirmed_ms))),
        }
    }

    /// What the fleet store is told. A revision that a restart would forget is not confirmed.
    pub(super) fn heartbeat_report(&self) -> HeartbeatReport {
        let report = lock(&self.report).clone();
        #[cfg(feature = "faults")]
        if std::env::var_os("PEBBLEPOST_FAULT_CONFIRM").is_some() {
            return HeartbeatReport { applied_revision: u64::MAX, busy_workers: BTreeSet::new(), ..report };
        }
        let applied_revision = report.applied_revision.min(self.persisted_revision.load(Ordering::Relaxed));
        let observations = lock(&self.observations);
        let worker_diff = observations.as_ref().map(|seen| lock(&self.follower).diff_observations(seen));
        HeartbeatReport { applied_revision, worker_diff: worker_diff.unwrap_or_default(), ..report }
    }

    /// Changes the local replica of the agreed state, and wakes the event loop if that changes its view.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Follower) -> T) -> T {
        let mut follower = lock(&self.follower);
        let result = change(&mut follower);
        if let Some(age) = follower.age(self.now()) {
            let confirmed_ms = self.now().saturating_sub(age).as_millis().max(1);
            self.confirmed_ms.store(u64::try_from(confirmed_ms).unwrap_or(u64::MAX), Ordering::Relaxed);
        }
        let view = FleetView::of(&follower, &self.member);
        drop(follower);
        let mut current = lock(&self.view);
        if **current != view {
            *current = Arc::new(view);
            drop(current);
            // If the pipe is full, the event loop is to be woken already.
            let _ = (&self.wake).write(&[1]);
            self.changed.notify_one();
        }
        result
    }
}
