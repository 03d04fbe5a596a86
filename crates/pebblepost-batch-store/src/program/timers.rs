//! The timers of the event loop.

use tokio::time::{Duration, Instant};

/// Interval between ticks of a store with replicas.
const ACTIVE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between ticks of a store without replicas.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which keep-alives are sent over links that were not used within it.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the settings are reloaded while there is no link to the control plane, as they may
/// change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Time after SIGTERM within which other machines must have taken over; the process exits after it.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Times of the next periodic work and the deadline of a graceful shutdown.
#[derive(Debug)]
pub(super) struct Timers {
    next_tick: Instant,
    next_keep_alive: Instant,
    next_reload: Instant,
    shutdown_deadline: Option<Instant>,
}

impl Timers {
    pub(super) fn new(now: Instant) -> Timers {
        Timers {
            next_tick: now,
            next_keep_alive: now + KEEP_ALIVE_INTERVAL,
            next_reload: now + SETTINGS_RELOAD_INTERVAL,
            shutdown_deadline: None,
        }
    }

    /// Returns when the next tick is due.
    pub(super) fn next_tick(&self) -> Instant {
        self.next_tick
    }

    /// Returns whether a tick is due.
    ///
    /// If the store has replicas now, the next tick is due after at most [`ACTIVE_TICK_INTERVAL`], even if
    /// it was scheduled with [`IDLE_TICK_INTERVAL`].
    pub(super) fn is_tick_due(&mut self, now: Instant, has_replicas: bool) -> bool {
        if has_replicas {
            self.next_tick = self.next_tick.min(now + ACTIVE_TICK_INTERVAL);
        }
        now >= self.next_tick
    }

    /// Schedules the next tick after one was run.
    pub(super) fn record_tick(&mut self, now: Instant, has_replicas: bool) {
        self.next_tick = now + if has_replicas { ACTIVE_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
    }

    /// Returns whether keep-alives are due, and starts the next interval if they are.
    pub(super) fn start_keep_alive_if_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_keep_alive;
        if is_due {
            self.next_keep_alive = now + KEEP_ALIVE_INTERVAL;
        }
        is_due
    }

    /// Returns whether the settings must be reloaded.
    ///
    /// The next interval starts if they must, or while there is a link to the control plane.
    pub(super) fn start_reload_if_due(&mut self, now: Instant, is_connected: bool) -> bool {
        let is_due = !is_connected && now >= self.next_reload;
        if is_connected || is_due {
            self.next_reload = now + SETTINGS_RELOAD_INTERVAL;
        }
        is_due
    }

    /// Sets the deadline of a graceful shutdown. Further calls have no effect.
    pub(super) fn start_shutdown(&mut self, now: Instant) {
        self.shutdown_deadline.get_or_insert(now + SHUTDOWN_TIMEOUT);
    }

    /// Returns whether a graceful shutdown is complete: its deadline has passed, or other machines no
    /// longer need this one.
    pub(super) fn is_shutdown_complete(&self, is_needed: impl FnOnce() -> bool) -> bool {
        self.shutdown_deadline.is_some_and(|deadline| Instant::now() >= deadline || !is_needed())
    }
}
