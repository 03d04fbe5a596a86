//! Running means of what a node learns: no I/O, no clock. Times on the caller's clock, figures in seconds.

use crate::api::Time;
use std::time::Duration;

/// Weight of a new observation in most running means: about the last 20 count.
pub const GAIN: f64 = 0.05;

/// Seconds of a span.
pub fn secs(span: Duration) -> f64 {
    span.as_secs_f64()
}

/// The span of so many seconds; none if negative, the longest if out of range.
pub fn span(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs.max(0.0)).unwrap_or(Duration::MAX)
}

/// Takes an observation into a mean.
pub fn blend(mean: &mut f64, seen: f64, gain: f64) {
    *mean += gain * (seen - *mean);
}

/// Events a second, over about the last `memory`.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// The rate.
    pub per_s: f64,
    /// The last event.
    pub last: Time,
}

impl Rate {
    /// Takes in an event. `tick`: no two events are told apart by less.
    pub fn count(&mut self, now: Time, memory: f64, tick: Duration) {
        let gap = secs(now.since(self.last)).max(secs(tick));
        let keep = (-gap / memory).exp();
        self.per_s = self.per_s * keep + (1.0 - keep) / gap;
        self.last = now;
    }
}

/// A time with its spread; `usual` is what few exceed (as TCP reckons its time-out).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The mean, in seconds.
    pub mean: f64,
    /// Mean distance from it.
    pub spread: f64,
}

impl Timing {
    /// Takes in an observation, in seconds.
    pub fn learn(&mut self, seen: f64) {
        let off = (seen - self.mean).abs();
        blend(&mut self.mean, seen, GAIN);
        blend(&mut self.spread, off, GAIN);
    }

    /// What few exceed.
    pub fn usual(&self) -> Duration {
        span(self.mean + 4.0 * self.spread)
    }
}

/// What a node has learned of the machines of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Slots, by the most seen free at each worker of the kind.
    pub slots: f64,
    /// Its times for jobs without a hint, as a multiple of what is usual in the fleet.
    pub pace: f64,
    /// Mean time and mean hint of its jobs, in seconds, and not the mean of their ratios: what a job has to
    /// fetch does not grow with it.
    time: f64,
    hint: f64,
}

impl Kind {
    /// Weight of a hinted job: a node of a large fleet sees few of each kind.
    const GAIN: f64 = 0.2;

    /// A kind of which one worker has been seen with so many free slots.
    pub fn new(slots: f64) -> Self {
        Self { slots, pace: 1.0, time: 1.0, hint: 1.0 }
    }

    /// A job that was hinted to take so long took this long.
    pub fn ran(&mut self, took: Duration, hint: f64) {
        blend(&mut self.time, secs(took), Self::GAIN);
        blend(&mut self.hint, hint, Self::GAIN);
    }

    /// Seconds that a second of hinted work takes.
    pub fn per_hint(&self) -> f64 {
        self.time / self.hint
    }
}

/// How long jobs wait in a queue whose length is not told, by the last that was seen to start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    at: Time,
    seen: f64,
}

impl Waits {
    /// A job started that had been sent so long ago.
    pub fn started(&mut self, now: Time, waited: Duration) {
        (self.at, self.seen) = (now, secs(waited));
    }

    /// Seconds that the next job would wait, before what this node sent since: what the last one waited
    /// counts for less as it ages, and nobody waits for less than one that is waiting still has.
    pub fn expected(&self, now: Time, waiting: Duration) -> f64 {
        (self.seen * (-secs(now.since(self.at))).exp()).max(secs(waiting))
    }
}

/// Whose requests a node sees, against the shares that were agreed.
#[derive(Clone, Debug)]
pub struct Shares {
    /// Agreed part of the service, and part of the recent requests.
    of: Vec<(f64, f64)>,
}

impl Shares {
    /// Weight of a request: about the last hundred count.
    const GAIN: f64 = 0.01;

    /// Shares as they were agreed, each taken to use just that.
    pub fn new(agreed: impl Iterator<Item = f64>) -> Self {
        Self { of: agreed.map(|share| (share, share)).collect() }
    }

    /// Takes in whose a request is.
    pub fn count(&mut self, tenant: usize) {
        for (i, (_, used)) in self.of.iter_mut().enumerate() {
            blend(used, f64::from(u8::from(i == tenant)), Self::GAIN);
        }
    }

    /// How many times its share a tenant uses of what this node sees; 1 where none was agreed.
    pub fn over(&self, tenant: usize) -> f64 {
        self.of.get(tenant).filter(|(agreed, _)| *agreed > 0.0).map_or(1.0, |(agreed, used)| used / agreed)
    }
}
