//! Reads the addresses of control processes from the settings again.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the settings are read while there is no link to the control plane.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings and returns their control addresses; empty if the settings can't be read.
pub(crate) type ReadControlAddresses = Box<dyn Fn() -> Vec<SocketAddr>>;

/// Reads the settings again, and schedules the next reading.
pub(crate) struct SettingsReload {
    read_control_addresses: ReadControlAddresses,
    next_at: Instant,
}

impl SettingsReload {
    /// Creates the schedule. The settings were last read at `now`.
    pub(crate) fn new(read_control_addresses: ReadControlAddresses, now: Instant) -> SettingsReload {
        SettingsReload { read_control_addresses, next_at: now + RELOAD_INTERVAL }
    }

    /// Returns when the settings are read next if there is no link to the control plane.
    pub(crate) fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Schedules the next reading one interval after `now`.
    pub(crate) fn postpone(&mut self, now: Instant) {
        self.next_at = now + RELOAD_INTERVAL;
    }

    /// Reads the addresses and schedules the next reading.
    pub(crate) fn read(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.postpone(now);
        (self.read_control_addresses)()
    }
}
