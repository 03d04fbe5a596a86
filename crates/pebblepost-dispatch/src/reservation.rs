//! Room for large jobs: what counts as large, when a worker is expected to have slots for one, and which
//! part of a worker is held for it meanwhile. Beside the policy, which still chooses the server, decides on
//! retries and refuses; no I/O, no clock.
//!
//! A reservation is EASY backfill (Lifka, "The ANL/IBM SP scheduling system", 1995) with one for each large
//! job, kept at the dispatcher: small jobs go on using a worker as long as they leave what is held free at
//! the time it starts. Dispatchers share nothing, so it binds the own small jobs only; what others do shows
//! in reports.
//!
//! Units: slots as workers report them, work in seconds at speed 1, times on the caller's clock.

use crate::api::{RequestId, Time};
use std::time::Duration;
use thiserror::Error;

/// Weight of a new job in the law of sizes: about the last 100 count, as large ones are rare.
const GAIN: f64 = 0.01;
/// Jobs after which the law is believed.
const ENOUGH: u32 = 50;
/// Reservations kept at once, whatever a flood of large jobs asks for.
const MOST: usize = 64;

/// The operator's part in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReservationSettings {
    /// Off: large jobs are placed as all others are.
    pub enabled: bool,
    /// A job is large from so many deviations above the recent mean of its logarithm on.
    pub size_deviations: f64,
    /// Part of all slots that may be held for large jobs at once; the rest is the small ones' floor.
    pub max_reserved_fraction: f64,
}

impl Default for ReservationSettings {
    fn default() -> Self {
        Self { enabled: true, size_deviations: 2.0, max_reserved_fraction: 0.25 }
    }
}

/// A setting of the room that cannot be used.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{key} is {value}: {allowed} is allowed")]
pub struct InvalidSetting {
    /// Its key.
    pub key: &'static str,
    /// What it was set to.
    pub value: f64,
    /// What can be used.
    pub allowed: &'static str,
}

impl ReservationSettings {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let bad = |key, value, allowed| Err(InvalidSetting { key, value, allowed });
        if !(0.5..=6.0).contains(&self.size_deviations) {
            return bad("room.deviations", self.size_deviations, "0.5 to 6");
        }
        if !(0.0..=0.5).contains(&self.max_reserved_fraction) {
            return bad("room.mostHeld", self.max_reserved_fraction, "0 to 0.5");
        }
        Ok(())
    }
}

/// What a dispatcher expects of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlook {
    /// The worker, by the policy's index.
    pub worker: usize,
    /// All its slots, and those free now.
    pub slots: f64,
    /// See `slots`.
    pub free: f64,
    /// Own jobs there: when each is expected to end, and the slots it holds.
    pub own: Vec<(Time, f64)>,
    /// How long a job of others is expected to go on holding a slot.
    pub others: Duration,
    /// Slots that jobs want which wait there already, and how long the first of the own ones has waited.
    pub waiting: f64,
    /// See `waiting`.
    pub waited: Duration,
    /// Its queue keeps its order; otherwise whatever fits may start.
    pub in_order: bool,
    /// How long the job in question would run there.
    pub run: Duration,
}

impl Outlook {
    /// When `slots` are expected to be free, if nobody else takes them; `None`: the worker is too small.
    pub fn opening(&self, now: Time, slots: f64) -> Option<Time> {
        if self.free >= slots {
            return Some(now);
        }
        // Where whatever fits may start, one that needs all slots at once hardly ever finds them.
        let never = self.slots < slots || !self.in_order && slots > 1.0 && self.slots <= slots;
        if self.slots > 0.0 && never {
            return None;
        }
        let mut ends: Vec<(Time, f64)> = self.own.iter().map(|(end, s)| (now.max(*end), *s)).collect();
        let own: f64 = ends.iter().map(|(_, s)| s).sum();
        // Others' slots come free one by one, the next the sooner the more there are: memoryless, as nothing
        // is known of when those jobs began.
        let others = (self.slots - self.free.max(0.0) - own).max(0.0).round() as u32;
        let mut at = now;
        for left in (1..=others).rev() {
            at = at + self.others / left;
            ends.push((at, 1.0));
        }
        ends.sort_by_key(|(end, _)| *end);
        let (mut missing, mut at) = (slots - self.free + self.waiting, now);
        for (end, freed) in ends {
            if missing <= 0.0 {
                break;
            }
            (at, missing) = (end, missing - freed);
        }
        // Those that wait already come first, and each keeps its slot for as long as any.
        let ahead = missing.max(0.0) / self.slots.max(1.0);
        Some((at + self.others.mul_f64(ahead)).max(now + self.waited))
    }

    /// When a job of `slots` is expected to end there; the end of time if it never can.
    pub fn end(&self, now: Time, slots: f64) -> Time {
        self.opening(now, slots).map_or(Time(u64::MAX), |at| at + self.run)
    }
}

/// A part of a worker that is held for a large job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The job.
    pub request: RequestId,
    /// The worker.
    pub worker: usize,
    /// Slots held.
    pub slots: f64,
    /// When it is expected to start, and from when on it would be late.
    pub from: Time,
    /// See `from`.
    pub latest: Time,
    /// When it is expected to end.
    pub until: Time,
}

/// What is held, and what is large.
#[derive(Clone, Debug)]
pub struct Room {
    settings: ReservationSettings,
    held: Vec<Reservation>,
    /// Mean and variance of the logarithm of recent jobs' slot-seconds, their mean slots, and their number.
    mean: f64,
    variance: f64,
    width: f64,
    seen: u32,
}

impl Room {
    /// Nothing held, nothing seen.
    pub fn new(settings: ReservationSettings) -> Self {
        Self { settings, held: Vec::new(), mean: 0.0, variance: 0.0, width: 1.0, seen: 0 }
    }

    /// Takes in a job's work by its hint, in seconds, and its slots, and says whether it is a large one among
    /// those before it: it takes more slots than they, or by far more slot-seconds. Without a hint none is.
    /// `usual`: seconds that a job takes in the mean, `pace`: how much longer than its hint; a long one is
    /// worth the trouble only where it holds a slot for several jobs' time.
    pub fn size_up(&mut self, work: Option<f64>, slots: f64, pace: f64, usual: f64) -> bool {
        let Some(area) = work.map(|w| w * slots).filter(|a| *a > 0.0 && a.is_finite()) else { return false };
        let log = area.ln();
        let long = log > self.mean + self.settings.size_deviations * self.variance.sqrt()
            && area * pace > 2.0 * usual;
        let wide = slots > 1.5 * self.width;
        let large = self.settings.enabled
            && self.settings.max_reserved_fraction > 0.0
            && self.seen >= ENOUGH
            && (long || wide);
        self.seen = self.seen.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.seen));
        let off = log - self.mean;
        self.mean += gain * off;
        self.variance = (1.0 - gain) * (self.variance + gain * off * off);
        self.width += gain * (slots - self.width);
        large
    }

    /// The reservation of a job.
    pub fn of(&self, request: RequestId) -> Option<&Reservation> {
        self.held.iter().find(|r| r.request == request)
    }

    /// Jobs that hold a part of a worker, the one that has to start first in front.
    pub fn holders(&self, worker: usize) -> Vec<RequestId> {
        let mut here: Vec<&Reservation> = self.held.iter().filter(|r| r.worker == worker).collect();
        here.sort_by_key(|r| (r.latest, r.request));
        here.iter().map(|r| r.request).collect()
    }

    /// Gives a job's reservation up.
    pub fn release(&mut self, request: RequestId) {
        self.held.retain(|r| r.request != request);
    }

    /// Gives up all that is held at workers that can no longer serve it; returns whose it was.
    pub fn release_where(&mut self, lost: impl Fn(usize) -> bool) -> Vec<RequestId> {
        let out = self.held.iter().filter(|r| lost(r.worker)).map(|r| r.request).collect();
        self.held.retain(|r| !lost(r.worker));
        out
    }

    /// Slots held at a worker, less those of `except`.
    fn held_at(&self, worker: usize, except: RequestId) -> f64 {
        self.held.iter().filter(|r| r.worker == worker && r.request != except).map(|r| r.slots).sum()
    }

    /// Holds slots for a large job where it is expected to end first, among workers where it starts by its
    /// latest start. `latest` says that for each; `all`: slots of all workers. `None`: nowhere, or too much
    /// is held.
    pub fn reserve(
        &mut self, now: Time, request: RequestId, slots: f64, all: f64, outlooks: &[Outlook],
        latest: impl Fn(&Outlook) -> Time,
    ) -> Option<Reservation> {
        self.release(request);
        self.held.retain(|r| r.latest >= now);
        let held: f64 = self.held.iter().map(|r| r.slots).sum();
        if self.held.len() >= MOST || held + slots > (self.settings.max_reserved_fraction * all).max(slots) {
            return None;
        }
        let offers = outlooks.iter().filter_map(|o| {
            // Behind those that hold a part of it already.
            let from = o.opening(now, slots + self.held_at(o.worker, request))?;
            let latest = latest(o);
            let until = from + o.run;
            (from <= latest).then_some(Reservation { request, worker: o.worker, slots, from, latest, until })
        });
        let best = offers.min_by_key(|r| (r.until, r.worker))?;
        self.held.push(best);
        Some(best)
    }

    /// Whether anything is held at a worker.
    pub fn holds(&self, worker: usize) -> bool {
        self.held.iter().any(|r| r.worker == worker)
    }

    /// Whether another job may take `slots` at a worker for as long as `outlook.run`: it ends, or leaves what
    /// is held free, early enough. Early enough is half of what a large job can wait beyond its expected
    /// start, as reports, hints and other dispatchers may be wrong. A reservation past its latest start
    /// counts no more.
    pub fn leaves_room(&self, now: Time, request: RequestId, slots: f64, outlook: &Outlook) -> bool {
        let mut due: Vec<&Reservation> = self.held.iter().filter(|r| r.worker == outlook.worker).collect();
        due.retain(|r| r.request != request && r.latest >= now);
        due.sort_by_key(|r| (r.from, r.request));
        let mut wanted = slots;
        due.iter().all(|r| {
            wanted += r.slots;
            let from = r.from.max(now);
            let limit = from + r.latest.since(from) / 2;
            now + outlook.run <= limit || outlook.opening(now, wanted).is_some_and(|at| at <= limit)
        })
    }
}
