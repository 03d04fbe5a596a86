//! What is held against one worker, and for how long. No I/O, no clock; the policy says what counts and how
//! long a first offence does.
//!
//! Three things are told apart: bad work (errors, resets, time-outs), probes that failed, and a class of jobs
//! that it takes and never starts while it goes on with all others, as a process does that hangs on one of
//! what it depends on.

use crate::api::Time;
use std::time::Duration;

/// Out of the draws after a failed probe; in a row 2 s, 4 s.
const MUTE: Duration = Duration::from_secs(1);
/// Suspicion at most doubles this often.
const MOST: u32 = 4;

/// A worker as this node has met it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    strikes: u32,
    failed_probes: u32,
    until: Time,
    /// By class: when the latest that it started had been sent, how often in a row it left one lying, and
    /// until when none goes there.
    classes: Vec<(usize, Time, u32, Time)>,
}

impl Health {
    /// It did bad work: out for `base`, twice that if it had before, and so on.
    pub fn struck(&mut self, now: Time, base: Duration) {
        self.strikes = (self.strikes + 1).min(MOST);
        self.until = now + base * (1 << (self.strikes - 1));
    }

    /// It served a job: one strike is forgotten.
    pub fn served(&mut self) {
        self.strikes = self.strikes.saturating_sub(1);
    }

    /// A probe failed: it drains or has gone and the list does not say so yet.
    pub fn probe_failed(&mut self, now: Time) {
        self.until = self.until.max(now + MUTE * (1 << self.failed_probes));
        self.failed_probes = (self.failed_probes + 1).min(2);
    }

    /// A probe was answered.
    pub fn probe_answered(&mut self) {
        self.failed_probes = 0;
    }

    fn class(&mut self, class: usize) -> &mut (usize, Time, u32, Time) {
        let at = self.classes.iter().position(|c| c.0 == class).unwrap_or_else(|| {
            self.classes.push((class, Time(0), 0, Time(0)));
            self.classes.len() - 1
        });
        &mut self.classes[at]
    }

    /// It has room and has not started a job of this class that was sent then: none goes there for `base`,
    /// then one is tried. If it has started one that was sent later, a connection was lost and not the class.
    pub fn left_lying(&mut self, now: Time, class: usize, sent: Time, base: Duration) {
        let (_, started, times, until) = self.class(class);
        // Jobs sent before the first was missed are missed after it: they are the same offence.
        if now >= *until && *started <= sent {
            *times = (*times + 1).min(MOST);
            *until = now + base * (1 << (*times - 1));
        }
    }

    /// It started a job of this class that was sent then.
    pub fn started(&mut self, sent: Time, class: usize) {
        let latest = self.class(class).1.max(sent);
        *self.class(class) = (class, latest, 0, Time(0));
    }

    /// Whether nothing speaks against a job of this class.
    pub fn sound(&self, now: Time, class: usize) -> bool {
        now >= self.until && !self.classes.iter().any(|(c, _, _, until)| *c == class && now < *until)
    }
}
