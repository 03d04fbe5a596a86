//! The pause after a change of primary in which proxies announce the leases that they hold.

use super::leases::ProxyId;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a new primary waits for announcements before it leases items that it took over.
const TAKEOVER_WAIT: Duration = Duration::from_millis(400);

/// Announcements count from then on: earlier ones may come from proxies that do not know yet that
/// this machine is primary of the group, and announce what they hold of others.
const ANNOUNCEMENTS_COUNT_AFTER: Duration = Duration::from_millis(250);

/// What a new primary waits for.
#[derive(Debug)]
pub(super) struct Takeover {
    began_at: Duration,
    ends_at: Duration,
    missing: BTreeSet<ProxyId>,
    any_announced: bool,
}

impl Takeover {
    /// A wait that begins now, where there is anything to take over.
    pub(super) fn new(now: Duration, has_open_jobs: bool, connected: BTreeSet<ProxyId>) -> Takeover {
        let ends_at = if has_open_jobs { now + TAKEOVER_WAIT } else { now };
        Takeover { began_at: now, ends_at, missing: connected, any_announced: false }
    }

    /// A proxy has announced all leases that it holds.
    pub(super) fn announced(&mut self, now: Duration, proxy: ProxyId) {
        if now < self.began_at + ANNOUNCEMENTS_COUNT_AFTER {
            return;
        }
        self.any_announced = true;
        self.missing.remove(&proxy);
    }

    /// A proxy is gone.
    pub(super) fn forget(&mut self, proxy: ProxyId) {
        self.missing.remove(&proxy);
    }

    /// Whether nothing that was taken over may be leased yet.
    pub(super) fn holds_back(&self, now: Duration) -> bool {
        let all_announced = self.any_announced && self.missing.is_empty();
        now < self.ends_at && !all_announced
    }
}
