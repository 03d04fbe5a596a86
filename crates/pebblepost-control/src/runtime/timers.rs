//! Timers of the loop: ticks, reloads of the settings, the end of a shutdown.

use super::driver::Driver;
use std::time::Duration;
use tokio::time::Instant;

/// Tick interval of a primary, and while none is known.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Tick interval of a standby, whose timers are coarser.
const STANDBY_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a primary takes to hand over after SIGTERM.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time to write the last messages after a hand-over.
const FLUSH_TIME: Duration = Duration::from_millis(30);
/// How often the settings are reloaded while no primary is known: the file may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Timers of the loop.
pub(super) struct Timers {
    next_tick: Instant,
    reload_at: Instant,
    /// When the process ends, once it shuts down.
    shutdown_at: Option<Instant>,
}

impl Timers {
    pub(super) fn new() -> Timers {
        Timers {
            next_tick: Instant::now() + TICK_INTERVAL,
            reload_at: Instant::now() + RELOAD_INTERVAL,
            shutdown_at: None,
        }
    }

    pub(super) fn start_shutdown(&mut self) {
        self.shutdown_at = Some(Instant::now() + HAND_OVER_TIMEOUT);
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// After the hand-over only the last messages have to be written.
    pub(super) fn shorten_shutdown(&mut self, driver: &Driver) {
        if self.is_shutting_down() && !driver.is_primary() {
            self.shutdown_at = self.shutdown_at.map(|at| at.min(Instant::now() + FLUSH_TIME));
        }
    }

    pub(super) fn shutdown_or_tick(&self) -> Instant {
        self.shutdown_at.unwrap_or(self.next_tick)
    }

    pub(super) fn wake_at(&self, driver: &Driver) -> Instant {
        driver.due_at().map_or(self.next_tick, |due| due.min(self.next_tick))
    }

    /// Schedules the next tick; whether the settings should be reloaded.
    pub(super) fn ticked(&mut self, driver: &Driver) -> bool {
        if Instant::now() >= self.next_tick {
            let is_standby = !driver.is_primary() && driver.is_primary_known();
            let interval = if is_standby { STANDBY_TICK_INTERVAL } else { TICK_INTERVAL };
            self.next_tick = Instant::now() + interval;
        }
        let is_primary_known = driver.is_primary_known();
        let is_reload_due = !is_primary_known && Instant::now() >= self.reload_at;
        if is_primary_known || is_reload_due {
            self.reload_at = Instant::now() + RELOAD_INTERVAL;
        }
        is_reload_due
    }
}
