//! Outlier detection for one worker: determines from the failures that this dispatcher has observed how long
//! the worker is ejected, that is, not drawn for jobs.
//!
//! Owns the failures of one worker. Reads no clock. The caller decides what counts as a failure and how long
//! a first ejection lasts.
//!
//! Three kinds of failure are distinguished: failed jobs (errors and time-outs), failed probes, and jobs of
//! one class that never start while all others do, as in a process that hangs on one of its dependencies.

use crate::api::Time;
use std::time::Duration;

/// Ejection after one failed probe. It doubles with the second and the third consecutive failure.
const FAILED_PROBE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum number of times that the ejection for failed probes is doubled.
const MAX_FAILED_PROBE_DOUBLINGS: u32 = 2;
/// Maximum number of failures counted in a row. Further failures do not lengthen the ejection.
const MAX_COUNTED_FAILURES: u32 = 4;

/// Starts of one class of jobs at the worker.
#[derive(Clone, Copy, Debug, Default)]
struct ClassStarts {
    class: usize,
    /// Time at which the latest job that has started was sent.
    latest_started: Time,
    consecutive_misses: u32,
    ejected_until: Time,
}

/// Failures of a worker that one dispatcher has observed.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    failed_jobs: u32,
    failed_probes: u32,
    ejected_until: Time,
    classes: Vec<ClassStarts>,
}

impl OutlierDetector {
    /// Records a failed job. The worker is ejected for `base`, doubled with each consecutive failure.
    pub fn record_failed_job(&mut self, now: Time, base: Duration) {
        self.failed_jobs = (self.failed_jobs + 1).min(MAX_COUNTED_FAILURES);
        self.ejected_until = now + base * (1 << (self.failed_jobs - 1));
    }

    /// Records a served job, which cancels one failed job.
    pub fn record_served_job(&mut self) {
        self.failed_jobs = self.failed_jobs.saturating_sub(1);
    }

    /// Records a failed probe. The worker is draining or gone, and the membership does not say so yet.
    pub fn record_failed_probe(&mut self, now: Time) {
        let ejection = FAILED_PROBE_EJECTION * (1 << self.failed_probes);
        self.ejected_until = self.ejected_until.max(now + ejection);
        self.failed_probes = (self.failed_probes + 1).min(MAX_FAILED_PROBE_DOUBLINGS);
    }

    /// Records an answered probe.
    pub fn record_answered_probe(&mut self) {
        self.failed_probes = 0;
    }

    /// Records that a job of this class, sent at `sent`, has not started although there is capacity. The
    /// class is ejected for `base`, doubled with each miss; after the ejection one job is tried.
    pub fn record_missed_start(&mut self, now: Time, class: usize, sent: Time, base: Duration) {
        let starts = self.class_mut(class);
        // If a later job of the class has started, a connection was lost and the class is healthy. Jobs sent
        // before the first miss that are missed after it belong to the same failure.
        if now >= starts.ejected_until && starts.latest_started <= sent {
            starts.consecutive_misses = (starts.consecutive_misses + 1).min(MAX_COUNTED_FAILURES);
            starts.ejected_until = now + base * (1 << (starts.consecutive_misses - 1));
        }
    }

    /// Records that a job of this class, sent at `sent`, has started.
    pub fn record_start(&mut self, sent: Time, class: usize) {
        let starts = self.class_mut(class);
        let latest_started = starts.latest_started.max(sent);
        *starts = ClassStarts { class, latest_started, ..ClassStarts::default() };
    }

    /// Returns whether the worker may be drawn for a job of this class.
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
