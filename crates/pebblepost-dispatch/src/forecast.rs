//! Forecast of one worker: when slots are expected to come free there for a job.
//!
//! Owns the arithmetic of slots over time; what is known of the worker is handed in. Own jobs end at known
//! times, those of other dispatchers one by one at the usual rate, and jobs that wait already come first.
//!
//! Units: slots as workers report them, times on the caller's clock.

use crate::api::Time;
use std::time::Duration;

/// Slots that come free at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRelease {
    /// When.
    pub at: Time,
    /// How many.
    pub slots: f64,
}

/// What a dispatcher expects of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerForecast {
    /// The worker, by its index.
    pub worker: usize,
    /// All its slots.
    pub slots: f64,
    /// Slots that are free now.
    pub free_slots: f64,
    /// When each of this node's own jobs there is expected to end, and the slots it holds.
    pub own_jobs: Vec<SlotRelease>,
    /// How long a job of another dispatcher is expected to go on holding its slot.
    pub other_job_time: Duration,
    /// Slots wanted by jobs that wait there already.
    pub queued_slots: f64,
    /// How long the first of this node's own jobs has waited there.
    pub longest_wait: Duration,
    /// Whether its queue is served in order; otherwise whatever fits may start.
    pub queue_in_order: bool,
    /// How long the job in question would run there.
    pub run_time: Duration,
}

impl WorkerForecast {
    /// When `slots` are expected to be free, if nobody else takes them; `None`: the worker is too small.
    pub fn expected_start(&self, now: Time, slots: f64) -> Option<Time> {
        if self.free_slots >= slots {
            return Some(now);
        }
        if self.slots > 0.0 && self.never_fits(slots) {
            return None;
        }
        let (mut missing, mut at) = (slots - self.free_slots + self.queued_slots, now);
        for release in self.releases(now) {
            if missing <= 0.0 {
                break;
            }
            (at, missing) = (release.at, missing - release.slots);
        }
        // Jobs that wait already come first, and each keeps its slot for as long as any.
        let rounds_ahead = missing.max(0.0) / self.slots.max(1.0);
        Some((at + self.other_job_time.mul_f64(rounds_ahead)).max(now + self.longest_wait))
    }

    /// When a job of `slots` is expected to end there; the end of time if it never fits.
    pub fn expected_end(&self, now: Time, slots: f64) -> Time {
        self.expected_start(now, slots).map_or(Time(u64::MAX), |start| start + self.run_time)
    }

    /// A job of more slots than there are never fits. Where whatever fits may start, one that needs all slots
    /// at once hardly ever finds them.
    fn never_fits(&self, slots: f64) -> bool {
        self.slots < slots || !self.queue_in_order && slots > 1.0 && self.slots <= slots
    }

    /// Releases of the slots that are busy now, the first in front.
    fn releases(&self, now: Time) -> Vec<SlotRelease> {
        let own_jobs = self.own_jobs.iter();
        let mut releases: Vec<SlotRelease> =
            own_jobs.map(|job| SlotRelease { at: now.max(job.at), ..*job }).collect();
        let own: f64 = releases.iter().map(|release| release.slots).sum();
        // Slots of other dispatchers come free one by one, the next the sooner the more there are:
        // memoryless, as it is not known when those jobs began.
        let others = (self.slots - self.free_slots.max(0.0) - own).max(0.0).round() as u32;
        let mut at = now;
        for left in (1..=others).rev() {
            at = at + self.other_job_time / left;
            releases.push(SlotRelease { at, slots: 1.0 });
        }
        releases.sort_by_key(|release| release.at);
        releases
    }
}
