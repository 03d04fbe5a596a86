//! Outlier detection for one worker: for how long it is ejected from the draws, by what this node saw of it.
//!
//! Owns the offences of one worker. It reads no clock and does not decide what counts as an offence or how
//! long a first ejection lasts: the caller does.
//!
//! Three offences are told apart: failed jobs (errors and time-outs), failed probes, and jobs of one class
//! that never start while all others do, as in a process that hangs on one of its own dependencies.

use crate::api::Time;
use std::time::Duration;

/// Ejection after one failed probe; doubled for the second and the third in a row.
const FAILED_PROBE_EJECTION: Duration = Duration::from_secs(1);
/// Failed probes in a row after which the ejection grows no more.
const MAX_FAILED_PROBES: u32 = 2;
/// Offences in a row after which the ejection grows no more.
const MAX_OFFENCES: u32 = 4;

/// Starts of one class of jobs at the worker.
#[derive(Clone, Copy, Debug, Default)]
struct ClassStarts {
    class: usize,
    /// When the latest job that started had been sent.
    latest_started: Time,
    missed_in_a_row: u32,
    ejected_until: Time,
}

/// What one node holds against a worker.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    failed_jobs: u32,
    failed_probes: u32,
    ejected_until: Time,
    classes: Vec<ClassStarts>,
}

impl OutlierDetector {
    /// A job failed there: ejected for `base`, doubled with each offence in a row.
    pub fn record_failed_job(&mut self, now: Time, base: Duration) {
        self.failed_jobs = (self.failed_jobs + 1).min(MAX_OFFENCES);
        self.ejected_until = now + base * (1 << (self.failed_jobs - 1));
    }

    /// A job was served: one failed job is forgiven.
    pub fn record_served_job(&mut self) {
        self.failed_jobs = self.failed_jobs.saturating_sub(1);
    }

    /// A probe failed: the worker drains or is gone, and the membership does not say so yet.
    pub fn record_failed_probe(&mut self, now: Time) {
        let ejection = FAILED_PROBE_EJECTION * (1 << self.failed_probes);
        self.ejected_until = self.ejected_until.max(now + ejection);
        self.failed_probes = (self.failed_probes + 1).min(MAX_FAILED_PROBES);
    }

    /// A probe was answered.
    pub fn record_answered_probe(&mut self) {
        self.failed_probes = 0;
    }

    /// A job of this class, sent at `sent`, has not started though there is capacity: the class is ejected
    /// for `base`, doubled each time, then one job is tried.
    pub fn record_missed_start(&mut self, now: Time, class: usize, sent: Time, base: Duration) {
        let starts = self.class_mut(class);
        // A later job of the class has started: a connection was lost and not the class. Jobs sent before the
        // first miss are missed after it: they are the same offence.
        if now >= starts.ejected_until && starts.latest_started <= sent {
            starts.missed_in_a_row = (starts.missed_in_a_row + 1).min(MAX_OFFENCES);
            starts.ejected_until = now + base * (1 << (starts.missed_in_a_row - 1));
        }
    }

    /// A job of this class, sent at `sent`, has started.
    pub fn record_start(&mut self, sent: Time, class: usize) {
        let starts = self.class_mut(class);
        let latest_started = starts.latest_started.max(sent);
        *starts = ClassStarts { class, latest_started, ..ClassStarts::default() };
    }

    /// Whether the worker may be drawn for a job of this class.
    pub fn is_healthy(&self, now: Time, class: usize) -> bool {
        now >= self.ejected_until
            && !self.classes.iter().any(|starts| starts.class == class && now < starts.ejected_until)
    }

    fn class_mut(&mut self, class: usize) -> &mut ClassStarts {
        let at = self.classes.iter().position(|starts| starts.class == class).unwrap_or_else(|| {
            self.classes.push(ClassStarts { class, ..ClassStarts::default() });
            self.classes.len() - 1
        });
        &mut self.classes[at]
    }
}
