//! Forecast of one worker: when slots are expected to become free there for a job.
//!
//! Computes from what the caller knows of the worker. Own jobs end at their expected times, jobs of other
//! dispatchers one by one at the usual rate. Jobs that are queued already start first.
//!
//! Units: slots as workers report them, times on the caller's clock.

use crate::api::Time;
use std::time::Duration;

/// Slots that become free at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRelease {
    /// Time at which they become free.
    pub at: Time,
    /// Number of slots.
    pub slots: f64,
}

/// Inputs of the forecast of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerForecast {
    /// Index of the worker.
    pub worker: usize,
    /// Total slots of the worker.
    pub slots: f64,
    /// Slots that are free now.
    pub free_slots: f64,
    /// Expected end and slots of each of this dispatcher's own jobs there.
    pub own_jobs: Vec<SlotRelease>,
    /// Expected time for which a job of another dispatcher still holds its slot.
    pub other_job_time: Duration,
    /// Slots wanted by jobs that are queued there already.
    pub queued_slots: f64,
    /// Time for which the first of this dispatcher's own queued jobs has waited there.
    pub longest_wait: Duration,
    /// Whether the worker serves its queue in order. Otherwise any job that fits may start.
    pub queue_in_order: bool,
    /// Run time of the job in question on this worker.
    pub run_time: Duration,
}

impl WorkerForecast {
    /// Returns when `slots` are expected to be free if no other job takes them, or `None` if the worker is
    /// too small.
    pub fn expected_start(&self, now: Time, slots: f64) -> Option<Time> {
        if self.free_slots >= slots {
            return Some(now);
        }
        if self.slots > 0.0 && self.is_too_large(slots) {
            return None;
        }
        let (mut missing, mut at) = (slots - self.free_slots + self.queued_slots, now);
        for release in self.releases(now) {
            if missing <= 0.0 {
                break;
            }
            (at, missing) = (release.at, missing - release.slots);
        }
        // Queued jobs start first, and each is assumed to hold its slot for as long as any other job.
        let rounds_ahead = missing.max(0.0) / self.slots.max(1.0);
        Some((at + self.other_job_time.mul_f64(rounds_ahead)).max(now + self.longest_wait))
    }

    /// Returns when a job of `slots` is expected to end there, or the latest possible time if it never fits.
    pub fn expected_end(&self, now: Time, slots: f64) -> Time {
        self.expected_start(now, slots).map_or(Time(u64::MAX), |start| start + self.run_time)
    }

    /// Returns whether a job never fits: it needs more slots than the worker has. Where any job that fits may
    /// start, a job that needs all slots at once hardly ever finds them, so it counts as never fitting too.
    fn is_too_large(&self, slots: f64) -> bool {
        self.slots < slots || !self.queue_in_order && slots > 1.0 && self.slots <= slots
    }

    /// Returns the expected releases of the slots that are busy now, the earliest first.
    fn releases(&self, now: Time) -> Vec<SlotRelease> {
        let own_jobs = self.own_jobs.iter();
        let mut releases: Vec<SlotRelease> =
            own_jobs.map(|job| SlotRelease { at: now.max(job.at), ..*job }).collect();
        let own: f64 = releases.iter().map(|release| release.slots).sum();
        // Slots of other dispatchers become free one by one. The more they hold, the sooner the next one
        // becomes free. Their run times are taken as memoryless because it is not known when those jobs
        // started.
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
