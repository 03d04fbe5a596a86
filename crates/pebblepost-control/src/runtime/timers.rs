//! Timers of the event loop: ticks, reloads of the settings, and the end of a shutdown.

use super::driver::Driver;
use std::time::Duration;
use tokio::time::Instant;

/// Tick interval of a primary, and of any node while no primary is known.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Tick interval of a standby, whose time-outs need less precision.
const STANDBY_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the handover of a primary after SIGTERM.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay between the handover and the end of the process, in which the last messages are written.
const SHUTDOWN_FLUSH_DELAY: Duration = Duration::from_millis(30);
/// Interval at which the settings are reloaded while no primary is known, because the file may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Timers of the event loop.
pub(super) struct Timers {
    next_tick: Instant,
    settings_reload_at: Instant,
    /// Time at which the process ends, if it is shutting down.
    shutdown_at: Option<Instant>,
}

impl Timers {
    pub(super) fn new() -> Timers {
        Timers {
            next_tick: Instant::now() + TICK_INTERVAL,
            settings_reload_at: Instant::now() + RELOAD_INTERVAL,
            shutdown_at: None,
        }
    }

    pub(super) fn start_shutdown(&mut self) {
        self.shutdown_at = Some(Instant::now() + HANDOVER_TIMEOUT);
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// Shortens the shutdown after the handover, when only the last messages have to be written.
    pub(super) fn shorten_shutdown(&mut self, driver: &Driver) {
        if self.is_shutting_down() && !driver.is_primary() {
            self.shutdown_at = self.shutdown_at.map(|at| at.min(Instant::now() + SHUTDOWN_FLUSH_DELAY));
        }
    }

    pub(super) fn shutdown_or_next_tick(&self) -> Instant {
        self.shutdown_at.unwrap_or(self.next_tick)
    }

    pub(super) fn wake_at(&self, driver: &Driver) -> Instant {
        driver.due_at().map_or(self.next_tick, |due| due.min(self.next_tick))
    }

    /// Schedules the next tick if the current one was periodic, and returns whether the settings have to be reloaded.
    pub(super) fn schedule_next_tick(&mut self, driver: &Driver) -> bool {
        if Instant::now() >= self.next_tick {
            let is_standby = !driver.is_primary() && driver.is_primary_known();
            let interval = if is_standby { STANDBY_TICK_INTERVAL } else { TICK_INTERVAL };
            self.next_tick = Instant::now() + interval;
        }
        let is_primary_known = driver.is_primary_known();
        let is_reload_due = !is_primary_known && Instant::now() >= self.settings_reload_at;
        if is_primary_known || is_reload_due {
            self.settings_reload_at = Instant::now() + RELOAD_INTERVAL;
        }
        is_reload_due
    }
}
