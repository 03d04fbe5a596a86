//! The founders that have answered, before there is a first primary.

use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
struct Founder {
    member: Member,
    answered_at: Duration,
}

/// Founders that answered a probe, and when the next probes are due.
#[derive(Debug)]
pub(super) struct Founders {
    answered: BTreeMap<DiskId, Founder>,
    probe_at: Duration,
}

impl Founders {
    /// None has answered; the first probes are due at once.
    pub(super) fn new(now: Duration) -> Self {
        Self { answered: BTreeMap::new(), probe_at: now }
    }

    /// Starts the next probes if they are due; whether they were.
    pub(super) fn start_probe_if_due(&mut self, now: Duration, interval: Duration) -> bool {
        if now < self.probe_at {
            return false;
        }
        self.probe_at = now + interval;
        true
    }

    /// An empty founder has answered.
    pub(super) fn on_answer(&mut self, member: &Member, now: Duration) {
        self.answered.insert(member.disk, Founder { member: member.clone(), answered_at: now });
    }

    /// Founders that have answered within this time, in the order of their disks.
    pub(super) fn answered_within(&self, now: Duration, time: Duration) -> impl Iterator<Item = &Member> {
        let recent = move |founder: &&Founder| now.saturating_sub(founder.answered_at) <= time;
        self.answered.values().filter(recent).map(|founder| &founder.member)
    }
}
