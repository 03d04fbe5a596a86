//! The parameters of a run, from which a plan is drawn by a seed.

use serde::Serialize;

/// The order in which a worker starts its queued jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum QueueOrder {
    /// The first waits until it fits.
    Fifo,
    /// Any that fits starts.
    Backfill,
}

impl QueueOrder {
    /// Returns the name in the settings of dispatchers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Backfill => "backfill",
        }
    }
}

/// The accuracy of the clients' hints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HintSpec {
    /// Whether clients send hints.
    pub sent: bool,
    /// Factor by which wrong hints differ from the work; with 1 they are exact. All other hints have an error of about a tenth.
    pub factor: f64,
    /// Share of the hints that are wrong.
    pub share: f64,
}

impl Default for HintSpec {
    fn default() -> Self {
        Self { sent: true, factor: 1.0, share: 0.0 }
    }
}

/// A fault of a worker at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ScheduledWorkerFault {
    /// Start of the fault, in seconds since the start of the run.
    pub at: f64,
    /// Index of the worker.
    pub worker: usize,
    /// The fault.
    pub fault: WorkerFault,
}

/// A fault of a worker. The values are durations in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum WorkerFault {
    /// The worker drains and returns the jobs that have not started.
    Drain(f64),
    /// The worker answers no request, and restarts cold at the end.
    Silent(f64),
    /// The worker crashes, which resets its connections, and restarts cold at the end.
    Restart(f64),
    /// A share of the worker's jobs fails.
    Errors {
        /// Duration of the fault, in seconds.
        seconds: f64,
        /// Share of the jobs that fail.
        share: f64,
    },
}

impl WorkerFault {
    /// Returns the duration of the fault, in seconds.
    pub fn duration_s(self) -> f64 {
        match self {
            Self::Drain(seconds)
            | Self::Silent(seconds)
            | Self::Restart(seconds)
            | Self::Errors { seconds, .. } => seconds,
        }
    }
}

/// A restart of several dispatchers at once: they are killed and started again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct MassRestart {
    /// Time of the kill, in seconds since the start of the run.
    pub at: f64,
    /// Share of the dispatchers that is killed.
    pub share: f64,
}

/// The parameters of a run. A seed determines everything else.
#[derive(Clone, Debug, Serialize)]
pub struct RunSpec {
    /// Time in which requests arrive, in seconds.
    pub seconds: f64,
    /// Offered work, as a share of the workers' capacity.
    pub load: f64,
    /// Number of dispatchers. They share the traffic unevenly.
    pub dispatchers: usize,
    /// Number of workers.
    pub workers: usize,
    /// The order of the workers' queues; `None` if the seed draws it.
    pub order: Option<QueueOrder>,
    /// Mean work of a usual job, in seconds at speed 1.
    pub work_s: f64,
    /// Coefficient of variation of the work of usual jobs.
    pub work_variation: f64,
    /// Share of large jobs.
    pub large_share: f64,
    /// Least and greatest work of a large job, as multiples of the mean of a usual one.
    pub large_multiples: (f64, f64),
    /// Maximum work of a job, in seconds at speed 1. A job that no worker can complete before the deadline would say nothing about
    /// the dispatcher.
    pub longest_work_s: f64,
    /// Shares of the large jobs that take one, two and four slots.
    pub large_slots: [f64; 3],
    /// Accuracy of the hints.
    pub hints: HintSpec,
    /// Share of the clients that disconnect before their deadline.
    pub cancel_share: f64,
    /// Expected number of random faults of each kind in ten minutes on ten workers.
    pub fault_rate: f64,
    /// Faults in addition to the random ones.
    pub worker_faults: Vec<ScheduledWorkerFault>,
    /// Maximum number of calls that discovery answers per second; `None` if unlimited.
    pub discovery_rate: Option<f64>,
    /// Restart of several dispatchers at once, if any.
    pub mass_restart: Option<MassRestart>,
}

impl RunSpec {
    /// Returns the mixed run: workers of the site's kinds of machine, and 3% large jobs with 5.2 to 29 times the mean work of a
    /// usual job.
    pub fn mixed(seconds: f64, load: f64) -> Self {
        Self {
            seconds,
            load,
            dispatchers: 3,
            workers: 10,
            order: None,
            work_s: 0.3,
            work_variation: 1.0,
            large_share: 0.03,
            large_multiples: (5.2, 29.0),
            longest_work_s: 3.0,
            large_slots: [0.7, 0.3, 0.0],
            hints: HintSpec::default(),
            cancel_share: 0.0,
            fault_rate: 1.0,
            worker_faults: Vec::new(),
            discovery_rate: None,
            mass_restart: None,
        }
    }
}
