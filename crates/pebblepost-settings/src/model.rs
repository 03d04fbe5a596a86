//! Groups of settings.

use std::time::Duration;

/// Resource limits of a machine.
#[derive(Clone, Debug)]
pub struct MachineLimits {
    /// Share of one processor core.
    pub cpu_share: f64,
    /// Memory of one process, in bytes.
    pub memory_bytes: u64,
    /// File descriptors of one process.
    pub max_file_descriptors: usize,
    /// Rate of the machine's network link, in bytes a second.
    pub link_bytes_per_second: u64,
    /// Size of the data disk, in bytes; 0 for none.
    pub disk_bytes: u64,
}

/// Failures that the system tolerates at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultTolerance {
    /// Number of machines.
    pub machines: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
}

/// Time bounds set by the operators, as far as the programs use them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An acknowledgement is due within this time.
    pub ack_timeout: Duration,
    /// A draining transcriber keeps serving for this time.
    pub drain_period: Duration,
    /// Time from SIGTERM to SIGKILL: a graceful shutdown takes no longer.
    pub shutdown_grace: Duration,
    /// A new configuration is applied by every program within this time.
    pub config_apply_timeout: Duration,
    /// A restarted machine counts as failed until this time has passed: its replicas catch up.
    pub catch_up_period: Duration,
    /// An address may be reused after this time.
    pub address_reuse_delay: Duration,
    /// Batch jobs are retained for this time after their submission.
    pub job_retention: Duration,
    /// No request of a job runs later than this after its end was acknowledged.
    pub cancel_timeout: Duration,
    /// Lease duration: orders of two lease holders are at least this far apart.
    pub lease_duration: Duration,
    /// Transcribers check fencing tokens.
    pub fencing_enabled: bool,
    /// An event of a stream is forwarded within this time after its creation.
    pub max_forward_delay: Duration,
}

impl Default for Bounds {
    /// The values of the example in the deployment guide.
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
