//! Settings file of a process: typed fields, checked with one clear error that names file and key.
//!
//! Unknown keys are ignored. Absent keys, and empty ones where an empty text says the same, have defaults;
//! only the identity of the machine (`node_name`, `ip`, `zone`) and `port_range` have to be there.

mod reader;

use eyre::{Result, WrapErr, ensure, eyre};
use reader::Section;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "PEBBLEPOST_SETTINGS";

/// Ports that our programs need of the range: control, store and agent links, and SWIM.
const PORTS_NEEDED: u16 = 4;
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1200);
const DEFAULT_MEMORY_MB: f64 = 256.0;
const DEFAULT_MAX_FDS: u64 = 1024;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

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
    pub tolerance: FaultTolerance,
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
pub struct FaultTolerance {
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
    pub drain_period: Duration,
    /// From SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// A configuration is in force everywhere within this time.
    pub config_apply: Duration,
    /// A machine that is back counts as lost for this time more.
    pub catch_up: Duration,
    /// An address may be used again after this time.
    pub addr_reuse: Duration,
    /// Batch jobs are kept for this time after they were sent.
    pub job_retention: Duration,
    /// Nothing of a job runs this long after its end was acknowledged.
    pub cancel_timeout: Duration,
    /// Orders of two holders are this far apart.
    pub lease: Duration,
    /// Transcribers check fence tokens.
    pub fencing: bool,
    /// Longest time between an event's making and its passing on.
    pub forward_delay: Duration,
}

impl Default for Bounds {
    /// The figures of the deployment guide's example.
    fn default() -> Bounds {
        Bounds {
            ack_timeout: Duration::from_millis(4000),
            drain_period: Duration::from_millis(2000),
            shutdown_grace: Duration::from_secs(8),
            config_apply: Duration::from_millis(2000),
            catch_up: Duration::from_millis(4500),
            addr_reuse: Duration::from_secs(2),
            job_retention: Duration::from_secs(120),
            cancel_timeout: Duration::from_millis(3000),
            lease: Duration::from_millis(3000),
            fencing: false,
            forward_delay: Duration::from_millis(120),
        }
    }
}

impl Settings {
    /// Reads the file that [`SETTINGS_VARIABLE`] names.
    pub fn from_environment() -> Result<Settings> {
        let path = std::env::var_os(SETTINGS_VARIABLE)
            .ok_or_else(|| eyre!("the variable {SETTINGS_VARIABLE} names no settings file"))?;
        Settings::read(Path::new(&path))
    }
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading the settings file {}", path.display()))?;
        Settings::parse(&text, &path.display().to_string())
    }
    /// Reads and checks a text; `source` is named in errors.
    pub fn parse(text: &str, source: &str) -> Result<Settings> {
        let table: toml::Table = text.parse().map_err(|error| eyre!("{source}: not valid TOML: {error}"))?;
        let root = Section::root(&table, source);
        let listen = root.section("listen")?;
        let zones = read_zones(&root.section("zones")?)?;
        let zone = root.required_text("zone")?;
        let region = match root.text("region")? {
            Some(region) => region,
            None => zones.get(&zone).cloned().unwrap_or_default(),
        };
        Ok(Settings {
            node_name: root.required_text("node_name")?,
            ip: root.required_ip("ip")?,
            zone,
            region,
            port_range: read_port_range(&root)?,
            seeds: root.addresses("seeds")?,
            bootstrap: root.flag("bootstrap", false)?,
            data_dir: root.text("data_dir")?.map(PathBuf::from),
            heartbeat: read_heartbeat(&root)?,
            zones,
            listen_front: listen.address("front")?,
            listen_ready: listen.address("ready")?,
            listen_control: listen.address("control")?,
            limits: read_limits(&root.section("limits")?)?,
            tolerance: read_tolerate(&root.section("tolerate")?)?,
            bounds: read_bounds(&root.section("bounds")?)?,
        })
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

fn read_zones(section: &Section<'_>) -> Result<BTreeMap<String, String>> {
    let mut zones = BTreeMap::new();
    for zone in section.keys() {
        zones.insert(zone.to_owned(), section.text(zone)?.unwrap_or_default());
    }
    Ok(zones)
}

fn read_port_range(root: &Section<'_>) -> Result<(u16, u16)> {
    let key = "port_range";
    let (first, last) = root.port_pair(key)?;
    ensure!(first <= last, "{}: the range {first} to {last} is reversed", root.name(key));
    ensure!(
        last - first >= PORTS_NEEDED - 1,
        "{}: the range {first} to {last} has fewer than the {PORTS_NEEDED} ports needed",
        root.name(key)
    );
    Ok((first, last))
}

fn read_heartbeat(root: &Section<'_>) -> Result<Duration> {
    let heartbeat = root.milliseconds("heartbeat_ms", DEFAULT_HEARTBEAT)?;
    ensure!(!heartbeat.is_zero(), "{}: must be above 0", root.name("heartbeat_ms"));
    Ok(heartbeat)
}

fn read_limits(section: &Section<'_>) -> Result<MachineLimits> {
    Ok(MachineLimits {
        cpu_share: section.number("cpu_share", 1.0)?,
        memory_bytes: megabytes(section.number("memory_mb", DEFAULT_MEMORY_MB)?),
        max_fds: section.count("max_fds", DEFAULT_MAX_FDS)?,
        disk_bytes: megabytes(section.number("disk_mb", 0.0)?),
    })
}

fn megabytes(number: f64) -> u64 {
    (number * BYTES_PER_MB) as u64
}

fn read_tolerate(section: &Section<'_>) -> Result<FaultTolerance> {
    Ok(FaultTolerance {
        machines: section.count("machines", 0)?,
        zones: section.count("zones", 0)?,
        regions: section.count("regions", 0)?,
    })
}

fn read_bounds(section: &Section<'_>) -> Result<Bounds> {
    let default = Bounds::default();
    Ok(Bounds {
        ack_timeout: section.milliseconds("ack_timeout_ms", default.ack_timeout)?,
        drain_period: section.milliseconds("drain_ms", default.drain_period)?,
        shutdown_grace: section.seconds("grace_s", default.shutdown_grace)?,
        config_apply: section.milliseconds("config_apply_ms", default.config_apply)?,
        catch_up: section.seconds("catch_up_s", default.catch_up)?,
        addr_reuse: section.seconds("addr_reuse_s", default.addr_reuse)?,
        job_retention: section.seconds("status_s", default.job_retention)?,
        cancel_timeout: section.milliseconds("cancel_ms", default.cancel_timeout)?,
        lease: section.milliseconds("lease_ms", default.lease)?,
        fencing: section.flag("fencing", default.fencing)?,
        forward_delay: section.milliseconds("pass_ms", default.forward_delay)?,
    })
}
