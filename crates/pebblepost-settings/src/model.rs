//! Groups of related settings.

use std::time::Duration;

/// Resource limits of a machine.
#[derive(Clone, Debug)]
pub struct MachineLimits {
    /// Share of one processor core.
    pub cpu_share: f64,
    /// Memory limit of one process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open file descriptors of one process.
    pub max_file_descriptors: usize,
    /// Bandwidth of the machine's network link, in bytes per second.
    pub link_bytes_per_second: u64,
    /// Size of the data disk, in bytes; 0 if there is none.
    pub disk_bytes: u64,
}

/// Number of simultaneous failures that the system must tolerate.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultTolerance {
    /// Number of failed machines.
    pub machines: usize,
    /// Number of failed zones.
    pub zones: usize,
    /// Number of failed regions.
    pub regions: usize,
}

/// Time bounds that the operators set, limited to those that the programs read.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time within which a request must be acknowledged.
    pub ack_timeout: Duration,
    /// Time for which a draining transcriber keeps serving.
    pub drain_period: Duration,
    /// Time from SIGTERM to SIGKILL, within which a graceful shutdown must be complete.
    pub shutdown_grace: Duration,
    /// Time within which every program must have applied a new configuration.
    pub config_apply_timeout: Duration,
    /// Time for which a restarted machine still counts as failed, because its replicas are catching up.
    pub catch_up_period: Duration,
    /// Time after which an address may be reused.
    pub address_reuse_delay: Duration,
    /// Time for which a batch job is retained after its submission.
    pub job_retention: Duration,
    /// Time after the acknowledged end of a job by which none of its requests may still run.
    pub cancel_timeout: Duration,
    /// Duration of a lease. Load orders of two successive lease holders are at least this far apart.
    pub lease_duration: Duration,
    /// Whether transcribers check fencing tokens.
    pub fencing_enabled: bool,
    /// Time within which an event of a stream must be forwarded after its creation.
    pub max_forward_delay: Duration,
}

impl Default for Bounds {
    /// Returns the values of the example in the deployment guide.
    fn default() -> Bounds {
        Bounds {
            ack_timeout: Duration::from_millis(4000),
            drain_period: Duration::from_millis(2000),
            shutdown_grace: Duration::from_secs(8),
            config_apply_timeout: Duration::from_millis(2000),
            catch_up_period: Duration::from_millis(4500),
            address_reuse_delay: Duration::from_secs(2),
            job_retention: Duration::from_secs(120),
            cancel_timeout: Duration::from_millis(3000),
            lease_duration: Duration::from_millis(3000),
            fencing_enabled: false,
            max_forward_delay: Duration::from_millis(120),
        }
    }
}
