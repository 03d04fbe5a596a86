//! The state of a simulated worker, without I/O or a clock: slots, queue, speed, slow start, cache and overload. The caller
//! passes the current time and receives the events since the last call.

use crate::workload::spec::QueueOrder;
use crate::workload::workers::WorkerSpec;
use std::collections::VecDeque;

/// The id of a job at a worker, chosen by the caller.
pub type JobId = u64;

/// A cold worker crashes if the work that it is sent within [`OVERLOAD_WINDOW_S`] exceeds this multiple of its capacity by more
/// than a small tolerance.
pub const OVERLOAD_FACTOR: f64 = 3.0;
/// The window in which the work sent to a cold worker is summed, in seconds.
pub const OVERLOAD_WINDOW_S: f64 = 3.0;

/// Work that a cold worker accepts beyond [`OVERLOAD_FACTOR`], in seconds at speed 1: about one usual job.
const OVERLOAD_TOLERANCE_S: f64 = 0.5;
/// Share of the cores that overhead uses until it is completed.
const OVERHEAD_SHARE: f64 = 0.5;
/// Remaining work up to which a job counts as completed, in seconds: it allows for rounding errors.
const WORK_EPSILON_S: f64 = 1e-9;

/// A change in the state of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobEvent {
    /// The job started to run.
    Started(JobId),
    /// The job is completed.
    Done(JobId),
}

/// Whether a job was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is queued and starts as soon as the queue order and the free slots allow it.
    Accepted,
    /// The queue is full, or the job needs more slots than the worker has.
    Rejected,
}

#[derive(Clone, Debug)]
struct Job {
    job_id: JobId,
    slots: u32,
    /// Remaining time of its fetch from the shared store, in seconds at full speed.
    fetch: f64,
    /// Remaining work, in seconds at speed 1.
    work: f64,
    /// Affinity key; 0 if it has none.
    key: u64,
}

/// The state of one worker.
#[derive(Debug)]
pub struct WorkerModel {
    spec: WorkerSpec,
    /// Time of the last restart; `None` if the worker has been warm from the beginning.
    started: Option<f64>,
    now: f64,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// Cached affinity keys, the most recently used at the end.
    cached_keys: VecDeque<u64>,
    fetch_s: f64,
    /// Remaining work of connections and load reports, in seconds at speed 1.
    overhead: f64,
    /// Work sent within the overload window while the worker was cold.
    sent: VecDeque<SentWork>,
    /// Highest load since the last restart, as a multiple of the capacity in the overload window.
    peak_multiple: f64,
    cold_load_peak: Option<ColdLoad>,
    overloaded: bool,
}

/// The load of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number of free slots.
    pub free_slots: u32,
    /// Share of the cores in use, at most 1.
    pub utilization: f64,
    /// Number of jobs in the queue.
    pub queued: usize,
}

/// Work that a worker was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentWork {
    /// Time at which it was sent, in seconds since the start of the log.
    pub at: f64,
    /// Amount of work, in seconds at speed 1.
    pub work: f64,
    /// Index of the dispatcher that sent it.
    pub dispatcher: usize,
}

/// The load on a cold worker when it reached a new maximum since the worker's start.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdLoad {
    /// Time of the worker's start, in seconds since the start of the log.
    pub since: f64,
    /// Work that it can do in [`OVERLOAD_WINDOW_S`] at its current speed, in seconds at speed 1.
    pub capacity_in_window: f64,
    /// Work that was sent within [`OVERLOAD_WINDOW_S`].
    pub sent: Vec<SentWork>,
}

impl WorkerModel {
    /// Creates a warm, idle worker. `fetch_s` is the time, in seconds, of a fetch from the shared store at full speed; a job with
    /// an affinity key that is not cached needs one.
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

    /// Restarts the worker, cold and without jobs. Returns the jobs that were lost.
    pub fn restart(&mut self, now: f64) -> Vec<JobId> {
        let lost = self.running.drain(..).chain(self.queue.drain(..)).map(|job| job.job_id).collect();
        (self.started, self.now, self.overhead, self.overloaded) = (Some(now), now, 0.0, false);
        self.cached_keys.clear();
        self.sent.clear();
        self.peak_multiple = 0.0;
        lost
    }

    /// Removes the jobs that have not started from the queue and returns them.
    pub fn return_queued(&mut self) -> Vec<JobId> {
        self.queue.drain(..).map(|job| job.job_id).collect()
    }

    /// Returns the specification of the worker.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Returns the current share of the full capacity. It rises linearly to 1 during slow start.
    pub fn slow_start_factor(&self) -> f64 {
        let Some(start) = self.started else { return 1.0 };
        let part = (self.now - start) / self.spec.slow_start_s;
        (self.spec.cold_capacity + (1.0 - self.spec.cold_capacity) * part).min(1.0)
    }

    /// Returns the work that the worker can currently do per second, in seconds at speed 1.
    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.cores.min(self.spec.slots)) * self.spec.speed * self.slow_start_factor()
    }

    /// Takes the load of the latest maximum since the start, if there was a new one since the last call.
    pub fn take_cold_load_peak(&mut self) -> Option<ColdLoad> {
        self.cold_load_peak.take()
    }

    /// Returns the time of its start and the work sent within the overload window, with the dispatcher that sent it, if the
    /// worker was overloaded while cold; `None` otherwise.
    pub fn overload(&self) -> Option<(f64, Vec<(usize, f64)>)> {
        let since = self.started.filter(|_| self.overloaded)?;
        Some((since, self.sent.iter().map(|sent| (sent.dispatcher, sent.work)).collect()))
    }

    fn slots_in_use(&self) -> u32 {
        self.running.iter().map(|job| job.slots).sum()
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        let used = self.slots_in_use();
        Load {
            free_slots: self.spec.slots.saturating_sub(used),
            utilization: (f64::from(used) / f64::from(self.spec.cores)).min(1.0),
            queued: self.queue.len(),
        }
    }

    /// Returns the number of jobs that are currently fetching from the shared store.
    pub fn fetching(&self) -> usize {
        self.running.iter().filter(|job| job.fetch > 0.0).count()
    }

    /// Adds the work of a new connection or a load report of the dispatcher `from`, in seconds at speed 1.
    pub fn add_overhead(&mut self, from: usize, work_s: f64) {
        self.overhead += work_s;
        self.record_cold_load(from, work_s);
    }

    /// Counts work of the dispatcher `from` against the capacity of a cold worker, whether or not it is admitted.
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
        let limit = OVERLOAD_FACTOR * OVERLOAD_WINDOW_S * self.capacity() + OVERLOAD_TOLERANCE_S;
        self.overloaded |= total > limit;
    }

    /// Admits a job of the dispatcher `from` to the queue, if there is capacity for it. `work` is in seconds at speed 1 while the
    /// job holds its slots; `key` is its affinity key, 0 if it has none.
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

    /// Advances the worker to the time `now` and appends the changes of its jobs to `events`, in their order.
    ///
    /// `fetch_speed` is the share of the full speed at which the shared store serves a fetch.
    pub fn advance(&mut self, now: f64, fetch_speed: f64, events: &mut Vec<JobEvent>) {
        let mut remaining_s = (now - self.now).max(0.0);
        self.start_queued(events);
        while remaining_s > 0.0 && !self.running.is_empty() {
            let used = f64::from(self.slots_in_use()).max(1.0);
            let core_share = (f64::from(self.spec.cores) / used).min(1.0);
            let share_for_jobs = if self.overhead > 0.0 { OVERHEAD_SHARE } else { 1.0 };
            let speed = self.spec.speed * self.slow_start_factor() * core_share * share_for_jobs;
            let time_to_end = |job: &Job| {
                if job.fetch > 0.0 { job.fetch / fetch_speed.max(1e-6) } else { job.work / speed.max(1e-6) }
            };
            let step =
                self.running.iter().map(time_to_end).fold(remaining_s, f64::min).max(1e-7).min(remaining_s);
            for job in &mut self.running {
                if job.fetch > 0.0 { job.fetch -= step * fetch_speed } else { job.work -= step * speed }
            }
            self.overhead = (self.overhead - step * OVERHEAD_SHARE * self.capacity()).max(0.0);
            self.now += step;
            remaining_s -= step;
            let is_done = |job: &Job| job.fetch <= WORK_EPSILON_S && job.work <= WORK_EPSILON_S;
            events
                .extend(self.running.iter().filter(|job| is_done(job)).map(|job| JobEvent::Done(job.job_id)));
            self.running.retain(|job| !is_done(job));
            self.start_queued(events);
        }
        if self.running.is_empty() {
            self.overhead = 0.0;
        }
        self.now = now.max(self.now);
    }

    /// Starts the queued jobs that fit in the free slots, in the order that the queue's policy gives.
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
