//! Settings file of a process: typed fields, checked with one clear error that names file and key.
//!
//! Interface agreed with the programs. Unknown keys are ignored.

use eyre::Result;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "PEBBLEPOST_SETTINGS";

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// First and last port for traffic between our programs.
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines.
    pub seeds: Vec<SocketAddr>,
    /// First start of the whole system.
    pub bootstrap: bool,
    /// Folder of the data disk, where there is one.
    pub data_dir: Option<PathBuf>,
    /// Pause between a transcriber's announcements.
    pub heartbeat: Duration,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where clients connect.
    pub listen_front: Option<SocketAddr>,
    /// Where readiness is asked for.
    pub listen_ready: Option<SocketAddr>,
    /// Where operators, trainers and transcribers call the control plane.
    pub listen_control: Option<SocketAddr>,
    /// Limits of the machine.
    pub limits: MachineLimits,
    /// What may be lost at once.
    pub tolerate: Tolerate,
    /// Time bounds of the operators.
    pub bounds: Bounds,
}

/// Limits of a machine.
#[derive(Clone, Debug)]
pub struct MachineLimits {
    /// Share of one core.
    pub cpu_share: f64,
    /// Memory of a process.
    pub memory_bytes: u64,
    /// Descriptors of a process.
    pub max_fds: usize,
    /// Size of the disk; 0 for none.
    pub disk_bytes: u64,
}

/// What may be lost at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tolerate {
    /// Machines.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

/// Time bounds of the operators, those that programs use.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An acknowledgement is due within this time.
    pub ack_timeout: Duration,
    /// A transcriber that leaves serves on for this time.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// A configuration is in force everywhere within this time.
    pub config_apply: Duration,
    /// A machine that is back counts as lost for this time more.
    pub catch_up: Duration,
    /// An address may be used again after this time.
    pub addr_reuse: Duration,
    /// Batch jobs are kept for this time after they were sent.
    pub status: Duration,
    /// Nothing of a job runs this long after its end was acknowledged.
    pub cancel: Duration,
    /// Orders of two holders are this far apart.
    pub lease: Duration,
    /// Transcribers check fence tokens.
    pub fencing: bool,
    /// Longest time between an event's making and its passing on.
    pub pass: Duration,
}

#[allow(unused_variables)]
impl Settings {
    /// Reads the file that [`SETTINGS_VARIABLE`] names.
    pub fn from_environment() -> Result<Settings> {
        todo!()
    }
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Settings> {
        todo!()
    }
    /// Reads and checks a text; `source` is named in errors.
    pub fn parse(text: &str, source: &str) -> Result<Settings> {
        todo!()
    }
    /// Where a control process listens for other programs.
    pub fn control_link_port(&self) -> u16 {
        self.port_range.0
    }
    /// Where a store listens for other programs.
    pub fn store_link_port(&self) -> u16 {
        self.port_range.0 + 1
    }
    /// Where an agent listens on loopback for its proxy.
    pub fn agent_link_port(&self) -> u16 {
        self.port_range.0 + 2
    }
    /// Where SWIM listens.
    pub fn membership_port(&self) -> u16 {
        self.port_range.0 + 3
    }
    /// Internal addresses of the seeds: their hosts, at the port of control links.
    pub fn control_links(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.control_link_port())).collect()
    }
}
