//! Settings of a process, and the addresses and ports derived from them.

use crate::error::SettingsError;
use crate::parse;
use crate::{Bounds, FaultTolerance, MachineLimits, SETTINGS_VARIABLE};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Offset of the port for links to a store from the first port of the range.
const STORE_LINK_OFFSET: u16 = 1;
/// Offset of the port for links to an agent.
const AGENT_LINK_OFFSET: u16 = 2;
/// Offset of the port for the membership protocol.
const MEMBERSHIP_OFFSET: u16 = 3;

/// Name of the region of each zone, by the name of the zone.
pub type RegionByZone = BTreeMap<String, String>;

/// Validated settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// IP address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine. By default the region of its zone in `zones`, or empty if that is not listed.
    pub region: String,
    /// First and last port for links between the programs. The range has at least four ports.
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines, from which the control plane is discovered.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Directory of the data disk, if there is one.
    pub data_dir: Option<PathBuf>,
    /// Interval between the heartbeats of a transcriber; greater than 0.
    pub heartbeat_interval: Duration,
    /// Region of each zone.
    pub zones: RegionByZone,
    /// Address at which the process serves clients, if it does.
    pub client_address: Option<SocketAddr>,
    /// Address at which the process serves readiness checks, if it does.
    pub readiness_address: Option<SocketAddr>,
    /// Address at which the process serves the HTTP interface of the control plane for operators, trainers and
    /// transcribers, if it does.
    pub control_address: Option<SocketAddr>,
    /// Resource limits of the machine.
    pub limits: MachineLimits,
    /// Number of simultaneous failures that the system must tolerate.
    pub tolerance: FaultTolerance,
    /// Time bounds set by the operators.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads the file whose path is in the environment variable [`SETTINGS_VARIABLE`].
    ///
    /// # Errors
    ///
    /// The variable is not set, or the file cannot be read or is invalid.
    pub fn from_environment() -> Result<Settings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::MissingVariable)?;
        Settings::read(Path::new(&path))
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        Settings::parse(&text, &path.display().to_string())
    }

    /// Parses and validates a TOML document. `source` is the name of the document in errors.
    ///
    /// # Errors
    ///
    /// The document is not valid TOML, a required key is missing, or a value is invalid.
    pub fn parse(text: &str, source: &str) -> Result<Settings, SettingsError> {
        parse::parse(text, source)
    }

    /// Returns the port for links to a control node.
    pub fn control_link_port(&self) -> u16 {
        self.port_range.0
    }

    /// Returns the port for links to a store.
    pub fn store_link_port(&self) -> u16 {
        self.port_range.0 + STORE_LINK_OFFSET
    }

    /// Returns the port for the link from a proxy to its agent, on loopback.
    pub fn agent_link_port(&self) -> u16 {
        self.port_range.0 + AGENT_LINK_OFFSET
    }

    /// Returns the port of the membership protocol.
    pub fn membership_port(&self) -> u16 {
        self.port_range.0 + MEMBERSHIP_OFFSET
    }

    /// Returns the link addresses of the seeds: their IP addresses with
    /// [`Settings::control_link_port`] of this process.
    pub fn control_link_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.control_link_port())).collect()
    }
}
