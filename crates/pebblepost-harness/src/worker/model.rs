//! The state of a simulated worker, without I/O or clock: slots, queue, speed, slow start, cache and overload. The caller
//! passes the time and gets back what has happened since.

use crate::workload::spec::QueueOrder;
use crate::workload::workers::WorkerSpec;
use std::collections::VecDeque;

/// A job at a worker, by the caller's number.
pub type JobId = u64;

/// A cold worker crashes if it is sent more than this multiple of its capacity within [`OVERLOAD_WINDOW_S`].
pub const OVERLOAD_FACTOR: f64 = 3.0;
/// The window of that, in seconds.
pub const OVERLOAD_WINDOW_S: f64 = 3.0;

/// Work that a cold worker takes beyond that: about one usual job.
const OVERLOAD_TOLERANCE: f64 = 0.5;
/// Share of the cores that overhead takes until it is done.
const OVERHEAD_SHARE: f64 = 0.5;
/// Work that is left by rounding errors.
const NO_WORK: f64 = 1e-9;

/// What happened to a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobEvent {
    /// It runs.
    Started(JobId),
    /// It is done.
    Done(JobId),
}

/// Whether a job was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs or is queued.
    Accepted,
    /// Rejected: the queue is full, or the job needs more slots than the worker has.
    Rejected,
}

#[derive(Clone, Debug)]
struct Job {
    job_id: JobId,
    slots: u32,
    /// Seconds of fetching left, and of work at speed 1.
    fetch: f64,
    work: f64,
    key: u64,
}

/// The state of one worker.
#[derive(Debug)]
pub struct WorkerModel {
    spec: WorkerSpec,
    /// When it last started; `None`: long ago.
    started: Option<f64>,
    now: f64,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// Cached affinity keys, the most recently used at the end.
    cached_keys: VecDeque<u64>,
    fetch_s: f64,
    /// Work of connections and load reports that is still to be done.
    overhead: f64,
    /// Work sent while it was cold.
    sent: VecDeque<SentWork>,
    peak_multiple: f64,
    cold_load_peak: Option<ColdLoad>,
    overloaded: bool,
}

/// The load of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Slots that no job holds.
    pub free_slots: u32,
    /// Share of the cores in use.
    pub utilization: f64,
    /// Jobs in the queue.
    pub queued: usize,
}

/// Work that a worker was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentWork {
    /// When, in seconds.
    pub at: f64,
    /// How much, in seconds at speed 1.
    pub work: f64,
    /// By which dispatcher.
    pub dispatcher: usize,
}

/// The load on a cold worker at the moment that it was the highest since its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdLoad {
    /// When it had started, in seconds.
    pub since: f64,
    /// Work that it could do in [`OVERLOAD_WINDOW_S`] at its speed of that moment.
    pub capacity_in_window: f64,
    /// Work sent within [`OVERLOAD_WINDOW_S`].
    pub sent: Vec<SentWork>,
}

impl WorkerModel {
    /// A warm idle worker. `fetch_s`: seconds that it takes to fetch what a key that is not cached needs.
    pub fn new(spec: WorkerSpec, fetch_s: f64) -> Self {
        Self {
            spec,
            started: None,
            now: 0.0,
            running: Vec::new(),
            queue: VecDeque::new(),
            cached_keys: VecDeque::new(),
            fetch_s,
            overhead: 0.0,
            sent: VecDeque::new(),
            peak_multiple: 0.0,
            cold_load_peak: None,
            overloaded: false,
        }
    }

    /// Restarts, cold and empty. Returns the jobs that are lost.
    pub fn restart(&mut self, now: f64) -> Vec<JobId> {
        let lost = self.running.drain(..).chain(self.queue.drain(..)).map(|job| job.job_id).collect();
        (self.started, self.now, self.overhead, self.overloaded) = (Some(now), now, 0.0, false);
        self.cached_keys.clear();
        self.sent.clear();
        self.peak_multiple = 0.0;
        lost
    }

    /// Returns the jobs that do not run yet.
    pub fn return_queued(&mut self) -> Vec<JobId> {
        self.queue.drain(..).map(|job| job.job_id).collect()
    }

    /// What it was made from.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Share of its capacity that it has now.
    pub fn slow_start_factor(&self) -> f64 {
        let Some(start) = self.started else { return 1.0 };
        let part = (self.now - start) / self.spec.slow_start_s;
        (self.spec.cold_capacity + (1.0 - self.spec.cold_capacity) * part).min(1.0)
    }

    /// Work that it can do in a second, at this moment.
    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.cores.min(self.spec.slots)) * self.spec.speed * self.slow_start_factor()
    }

    /// The highest load since its start, if it has risen since this was called last.
    pub fn take_cold_load_peak(&mut self) -> Option<ColdLoad> {
        self.cold_load_peak.take()
    }

    /// Set once it was overloaded while cold: when it had started, and the work sent by each dispatcher.
    pub fn overload(&self) -> Option<(f64, Vec<(usize, f64)>)> {
        let since = self.started.filter(|_| self.overloaded)?;
        Some((since, self.sent.iter().map(|sent| (sent.dispatcher, sent.work)).collect()))
    }

    fn slots_in_use(&self) -> u32 {
        self.running.iter().map(|job| job.slots).sum()
    }

    /// Its load now.
    pub fn load(&self) -> Load {
        let used = self.slots_in_use();
        Load {
            free_slots: self.spec.slots.saturating_sub(used),
            utilization: (f64::from(used) / f64::from(self.spec.cores)).min(1.0),
            queued: self.queue.len(),
        }
    }

    /// Jobs that fetch from the shared store now.
    pub fn fetching(&self) -> usize {
        self.running.iter().filter(|job| job.fetch > 0.0).count()
    }

    /// Adds work that is no job: a new connection, a load report.
    pub fn add_overhead(&mut self, from: usize, seconds: f64) {
        self.overhead += seconds;
        self.record_cold_load(from, seconds);
    }

    /// Counts work against the capacity of a cold worker, whether or not it is admitted.
    fn record_cold_load(&mut self, from: usize, work: f64) {
        if self.slow_start_factor() >= 1.0 {
            return self.sent.clear();
        }
        self.sent.push_back(SentWork { at: self.now, work, dispatcher: from });
        while self.sent.front().is_some_and(|sent| sent.at < self.now - OVERLOAD_WINDOW_S) {
            self.sent.pop_front();
        }
        let total: f64 = self.sent.iter().map(|sent| sent.work).sum();
        let capacity_in_window = (OVERLOAD_WINDOW_S * self.capacity()).max(f64::MIN_POSITIVE);
        if total / capacity_in_window > self.peak_multiple {
            self.peak_multiple = total / capacity_in_window;
            let since = self.started.unwrap_or(self.now);
            self.cold_load_peak =
                Some(ColdLoad { since, capacity_in_window, sent: self.sent.iter().copied().collect() });
        }
        let limit = OVERLOAD_FACTOR * OVERLOAD_WINDOW_S * self.capacity() + OVERLOAD_TOLERANCE;
        self.overloaded |= total > limit;
    }

    /// Admits a job of the dispatcher `from`, if there is capacity for it.
    pub fn submit(&mut self, from: usize, job_id: JobId, slots: u32, work: f64, key: u64) -> Admission {
        let slots = slots.max(1);
        self.record_cold_load(from, work * f64::from(slots));
        let fits = slots <= self.spec.slots;
        if !fits || self.slots_in_use() + slots > self.spec.slots && self.queue.len() >= self.spec.queue {
            return Admission::Rejected;
        }
        self.queue.push_back(Job { job_id, slots, fetch: 0.0, work, key });
        Admission::Accepted
    }

    /// Lets time pass until `now`. `store_share`: part of its full speed at which a fetch goes on. Appends what happened to
    /// `events`, in its order.
    pub fn advance(&mut self, now: f64, store_share: f64, events: &mut Vec<JobEvent>) {
        let mut left = (now - self.now).max(0.0);
        self.start_queued(events);
        while left > 0.0 && !self.running.is_empty() {
            let used = f64::from(self.slots_in_use()).max(1.0);
            let share = (f64::from(self.spec.cores) / used).min(1.0);
            let free = if self.overhead > 0.0 { OVERHEAD_SHARE } else { 1.0 };
            let speed = self.spec.speed * self.slow_start_factor() * share * free;
            let ends = |job: &Job| {
                if job.fetch > 0.0 { job.fetch / store_share.max(1e-6) } else { job.work / speed.max(1e-6) }
            };
            let step = self.running.iter().map(ends).fold(left, f64::min).max(1e-7).min(left);
            for job in &mut self.running {
                if job.fetch > 0.0 { job.fetch -= step * store_share } else { job.work -= step * speed }
            }
            self.overhead = (self.overhead - step * OVERHEAD_SHARE * self.capacity()).max(0.0);
            self.now += step;
            left -= step;
            let done = |job: &Job| job.fetch <= NO_WORK && job.work <= NO_WORK;
            events.extend(self.running.iter().filter(|job| done(job)).map(|job| JobEvent::Done(job.job_id)));
            self.running.retain(|job| !done(job));
            self.start_queued(events);
        }
        if self.running.is_empty() {
            self.overhead = 0.0;
        }
        self.now = now.max(self.now);
    }

    /// Starts what fits, by the order of the queue.
    fn start_queued(&mut self, events: &mut Vec<JobEvent>) {
        loop {
            let free = self.spec.slots.saturating_sub(self.slots_in_use());
            let next = match self.spec.order {
                QueueOrder::Fifo => self.queue.front().filter(|job| job.slots <= free).map(|_| 0),
                QueueOrder::Backfill => self.queue.iter().position(|job| job.slots <= free),
            };
            let Some(mut job) = next.and_then(|i| self.queue.remove(i)) else { return };
            if job.key != 0 {
                let hit = self
                    .cached_keys
                    .iter()
                    .position(|cached| *cached == job.key)
                    .and_then(|i| self.cached_keys.remove(i));
                job.fetch = if hit.is_some() { 0.0 } else { self.fetch_s };
                self.cached_keys.push_back(job.key);
                if self.cached_keys.len() > self.spec.keys {
                    self.cached_keys.pop_front();
                }
            }
            events.push(JobEvent::Started(job.job_id));
            self.running.push(job);
        }
    }
}
