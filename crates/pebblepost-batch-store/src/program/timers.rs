//! When the event loop does what it does by time.

use tokio::time::{Duration, Instant};

/// Time between ticks while the store has replicas.
const BUSY_TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time between ticks of a store without replicas.
const IDLE_TICK_PERIOD: Duration = Duration::from_millis(500);
/// Time after which a keep-alive is sent over links that were not used.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// How often the settings are read again without a link to the control plane: they may change without a
/// signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);
/// Time for other machines to take over, after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Points in time of the event loop.
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
            next_reload: now + RELOAD_PERIOD,
            shutdown_deadline: None,
        }
    }

    /// When the loop has to wake up, if nothing happens before.
    pub(super) fn next_tick(&self) -> Instant {
        self.next_tick
    }

    /// Whether a tick is due. A store that has got replicas does not wait for the end of an idle period.
    pub(super) fn is_tick_due(&mut self, now: Instant, has_replicas: bool) -> bool {
        if has_replicas {
            self.next_tick = self.next_tick.min(now + BUSY_TICK_PERIOD);
        }
        now >= self.next_tick
    }

    /// A tick is over.
    pub(super) fn ticked(&mut self, now: Instant, has_replicas: bool) {
        self.next_tick = now + if has_replicas { BUSY_TICK_PERIOD } else { IDLE_TICK_PERIOD };
    }

    /// Whether keep-alives are due; the next period starts now if they are.
    pub(super) fn take_keep_alive(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_keep_alive;
        if is_due {
            self.next_keep_alive = now + KEEP_ALIVE_INTERVAL;
        }
        is_due
    }

    /// Whether the settings are to be read again; the next period starts now if they are, or if there is
    /// a link to the control plane.
    pub(super) fn take_reload(&mut self, now: Instant, is_connected: bool) -> bool {
        let is_due = !is_connected && now >= self.next_reload;
        if is_connected || is_due {
            self.next_reload = now + RELOAD_PERIOD;
        }
        is_due
    }

    /// A graceful shutdown has started; a repeated start changes nothing.
    pub(super) fn start_shutdown(&mut self, now: Instant) {
        self.shutdown_deadline.get_or_insert(now + SHUTDOWN_TIMEOUT);
    }

    /// Whether a shutdown is over: its time has passed, or no machine relies on this one any more.
    pub(super) fn is_shut_down(&self, is_needed: impl FnOnce() -> bool) -> bool {
        self.shutdown_deadline.is_some_and(|deadline| Instant::now() >= deadline || !is_needed())
    }
}
