//! What a run is asked to consist of, before its seed.

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
    /// Its name in the settings of dispatchers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Backfill => "backfill",
        }
    }
}

/// Accuracy of the clients' hints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HintSpec {
    /// Clients send hints at all.
    pub sent: bool,
    /// Factor by which wrong hints are off; 1: none is (usual hints are a tenth off).
    pub factor: f64,
    /// Share of the hints that are wrong.
    pub share: f64,
}

impl Default for HintSpec {
    fn default() -> Self {
        Self { sent: true, factor: 1.0, share: 0.0 }
    }
}

/// A fault, with its time and place.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ScheduledWorkerFault {
    /// When it begins, in seconds from the start.
    pub at: f64,
    /// At which worker.
    pub worker: usize,
    /// Which fault.
    pub fault: WorkerFault,
}

/// A fault of a worker; the numbers are seconds that it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum WorkerFault {
    /// It drains, and returns the jobs that have not started.
    Drain(f64),
    /// It answers nothing, then restarts cold.
    Silent(f64),
    /// It crashes with its connections reset, and restarts cold after that time.
    Restart(f64),
    /// It fails a share of its jobs.
    Errors {
        /// How long it lasts.
        seconds: f64,
        /// Share of the jobs that fail.
        share: f64,
    },
}

impl WorkerFault {
    /// How long it lasts, in seconds.
    pub fn duration_s(self) -> f64 {
        match self {
            Self::Drain(seconds)
            | Self::Silent(seconds)
            | Self::Restart(seconds)
            | Self::Errors { seconds, .. } => seconds,
        }
    }
}

/// Dispatchers that are killed at once and started again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct MassRestart {
    /// When, in seconds from the start.
    pub at: f64,
    /// Share of the dispatchers.
    pub share: f64,
}

/// A run, before its seed.
#[derive(Clone, Debug, Serialize)]
pub struct RunSpec {
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Offered work as a part of what the fleet can do.
    pub load: f64,
    /// Dispatchers, which share the traffic unevenly.
    pub dispatchers: usize,
    /// Workers.
    pub workers: usize,
    /// The order of their queues; `None`: drawn.
    pub order: Option<QueueOrder>,
    /// Mean work of a usual job, in seconds at speed 1.
    pub work_s: f64,
    /// Coefficient of variation of the work of usual jobs.
    pub work_variation: f64,
    /// Share of large jobs.
    pub large_share: f64,
    /// Least and greatest work of a large job, as multiples of the mean of a usual one.
    pub large_multiples: (f64, f64),
    /// Longest work of a job, in seconds: one that no worker can end before the deadline says nothing of the dispatcher.
    pub longest_work_s: f64,
    /// Shares of large jobs that take one slot, two, and four.
    pub large_slots: [f64; 3],
    /// Accuracy of the hints.
    pub hints: HintSpec,
    /// Share of the clients that disconnect before their deadline.
    pub cancel_share: f64,
    /// Random faults: each kind about this often in ten minutes on ten workers.
    pub fault_rate: f64,
    /// Faults beside the random ones.
    pub worker_faults: Vec<ScheduledWorkerFault>,
    /// Calls that discovery answers in a second; `None`: as many as come.
    pub discovery_rate: Option<f64>,
    /// Dispatchers that are killed at once; `None`: none.
    pub mass_restart: Option<MassRestart>,
}

impl RunSpec {
    /// The mixed run: a fleet of the site's kinds, and large jobs of 5.2 to 29 times the usual work.
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
