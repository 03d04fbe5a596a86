//! The settings of a process.

use crate::error::SettingsError;
use crate::parse;
use crate::{Bounds, FaultTolerance, MachineLimits, SETTINGS_VARIABLE};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Offset of the store's links from the first port of the range.
const STORE_LINK_OFFSET: u16 = 1;
/// Offset of the agent's links.
const AGENT_LINK_OFFSET: u16 = 2;
/// Offset of the membership protocol.
const MEMBERSHIP_OFFSET: u16 = 3;

/// Region of each zone, by their names.
pub type RegionByZone = BTreeMap<String, String>;

/// Settings of a process, validated.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine; by default that of its zone.
    pub region: String,
    /// First and last port for links between the programs.
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines, for discovery of the control plane.
    pub seeds: Vec<SocketAddr>,
    /// This is the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Directory of the data disk, if there is one.
    pub data_dir: Option<PathBuf>,
    /// Interval of a transcriber's heartbeats.
    pub heartbeat_interval: Duration,
    /// Region of each zone.
    pub zones: RegionByZone,
    /// Address for clients, if the process serves them.
    pub client_address: Option<SocketAddr>,
    /// Address for readiness checks.
    pub readiness_address: Option<SocketAddr>,
    /// Address of the control plane's HTTP interface for operators, trainers and transcribers.
    pub control_address: Option<SocketAddr>,
    /// Resource limits of the machine.
    pub limits: MachineLimits,
    /// Failures that the system tolerates at the same time.
    pub tolerance: FaultTolerance,
    /// Time bounds set by the operators.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads the file whose path is in the environment variable [`SETTINGS_VARIABLE`].
    ///
    /// # Errors
    ///
    /// The variable is not set, or the file is invalid.
    pub fn from_environment() -> Result<Settings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::MissingVariable)?;
        Settings::read(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is invalid.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        Settings::parse(&text, &path.display().to_string())
    }

    /// Parses and validates a TOML text; errors name it `source`.
    ///
    /// # Errors
    ///
    /// The text is not valid TOML, a required key is missing, or a value is invalid.
    pub fn parse(text: &str, source: &str) -> Result<Settings, SettingsError> {
        parse::parse(text, source)
    }

    /// Port of the links to a control process.
    pub fn control_link_port(&self) -> u16 {
        self.port_range.0
    }

    /// Port of the links to a store.
    pub fn store_link_port(&self) -> u16 {
        self.port_range.0 + STORE_LINK_OFFSET
    }

    /// Port of the link from a proxy to its agent, on loopback.
    pub fn agent_link_port(&self) -> u16 {
        self.port_range.0 + AGENT_LINK_OFFSET
    }

    /// Port of the membership protocol.
    pub fn membership_port(&self) -> u16 {
        self.port_range.0 + MEMBERSHIP_OFFSET
    }

    /// Addresses for links to the seeds: their hosts, at the port of control links.
    pub fn control_link_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.control_link_port())).collect()
    }
}
