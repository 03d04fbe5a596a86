//! Addresses of control processes from settings that are read again.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often the settings are read while there is no link to the control plane.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the addresses of the present settings; none if the settings can't be read.
pub(crate) type ReadControlAddresses = Box<dyn Fn() -> Vec<SocketAddr>>;

/// Reads the settings again.
pub(crate) struct SettingsReload {
    read_control_addresses: ReadControlAddresses,
    next_at: Instant,
}

impl SettingsReload {
    /// Settings that were read at `now`.
    pub(crate) fn new(read_control_addresses: ReadControlAddresses, now: Instant) -> SettingsReload {
        SettingsReload { read_control_addresses, next_at: now + RELOAD_INTERVAL }
    }

    /// When the settings are to be read while there is no link to the control plane.
    pub(crate) fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Puts the next reading off by a period.
    pub(crate) fn postpone(&mut self, now: Instant) {
        self.next_at = now + RELOAD_INTERVAL;
    }

    /// Reads the addresses.
    pub(crate) fn read(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.postpone(now);
        (self.read_control_addresses)()
    }
}
