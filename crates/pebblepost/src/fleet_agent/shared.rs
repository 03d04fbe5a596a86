//! State shared by the event loop and the agent's thread.

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

/// The part of the agreed state that the event loop applies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// The agreed revision.
    pub revision: u64,
    /// Workers with a drain mark, agreed or local.
    pub drained: HashSet<String>,
    /// The revision of the newest agreed drain mark.
    pub newest_drain_revision: u64,
    /// Number of drain marks that are local to this dispatcher.
    pub local_drains: usize,
    /// Agreed settings by name.
    pub settings: BTreeMap<&'static str, f64>,
    /// The revision at which this process was granted a permit to stop; `None` if it has no permit.
    pub permit_revision: Option<u64>,
}

impl FleetView {
    fn from_follower(follower: &Follower, member: &Member) -> Self {
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

    /// Returns an agreed setting that is a duration, in seconds; `None` if there is none of that name.
    pub fn duration(&self, name: &str) -> Option<Duration> {
        self.settings.get(name).map(|seconds| Duration::from_secs_f64(*seconds))
    }
}

/// This process as a member of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) name: Name,
    /// Drawn at random once per process. It distinguishes this process from earlier and later ones of the same name.
    pub(super) incarnation: IncarnationId,
}

/// State shared by the event loop and the agent's thread.
pub(super) struct Shared {
    pub(super) member: Member,
    /// Whether the event loop accepts new clients.
    pub(super) ready: AtomicBool,
    /// The newest view, which the event loop may not have applied yet.
    pub(super) view: Mutex<Arc<FleetView>>,
    /// When a replica last confirmed the view, in milliseconds since `started`; 0 if none has.
    confirmed_ms: AtomicU64,
    /// When the agent was started.
    started: Instant,
    /// The local replica of the agreed state.
    pub(super) follower: Mutex<Follower>,
    /// Notified when there is something to report or propose to the fleet store.
    pub(super) report_due: Notify,
    /// What the event loop last reported.
    pub(super) report: Mutex<HeartbeatReport>,
    /// The state of the workers as observed by the event loop; `None` before its first report.
    pub(super) observations: Mutex<Option<BTreeMap<Name, WorkerObservation>>>,
    /// The revision of the saved snapshot; [`u64::MAX`] if snapshots are not saved.
    pub(super) persisted_revision: AtomicU64,
    /// Notified when the view has changed.
    pub(super) changed: Notify,
    /// The agent's end of the pipe that wakes the event loop.
    wake: UnixStream,
    pub(super) log: fn(&str),
}

/// Locks a mutex, even if a thread panicked while it held the lock.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(super) fn new(
        member: Member, follower: Follower, persists: bool, wake: UnixStream, log: fn(&str),
    ) -> Self {
        Self {
            ready: AtomicBool::new(false),
            view: Mutex::new(Arc::new(FleetView::from_follower(&follower, &member))),
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

    /// Returns the time since the agent was started.
    pub(super) fn now(&self) -> Duration {
        elapsed_since(self.started)
    }

    /// Returns the time since a replica last confirmed the view; `None` if none has since the start.
    pub(super) fn time_since_confirmed(&self) -> Option<Duration> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            0 => None,
            confirmed_ms => Some(self.now().saturating_sub(Duration::from_millis(confirmed_ms))),
        }
    }

    /// Returns the report for the next heartbeat. The applied revision in it is at most that of the saved snapshot, because a
    /// restart would lose anything newer.
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

    /// Applies a change to the local replica of the agreed state, and wakes the event loop if the change affects its view.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Follower) -> T) -> T {
        let mut follower = lock(&self.follower);
        let result = change(&mut follower);
        if let Some(age) = follower.age(self.now()) {
            let confirmed_ms = self.now().saturating_sub(age).as_millis().max(1);
            self.confirmed_ms.store(u64::try_from(confirmed_ms).unwrap_or(u64::MAX), Ordering::Relaxed);
        }
        let view = FleetView::from_follower(&follower, &self.member);
        drop(follower);
        let mut current = lock(&self.view);
        if **current != view {
            *current = Arc::new(view);
            drop(current);
            // If the pipe is full, it already holds bytes that wake the event loop.
            let _ = (&self.wake).write(&[1]);
            self.changed.notify_one();
        }
        result
    }
}
