//! Parsing and validation of the settings file.

use crate::error::{SettingsError, ValueError};
use crate::section::Section;
use crate::{Bounds, FaultTolerance, MachineLimits, RegionByZone, Settings};
use std::path::PathBuf;
use std::time::Duration;

/// Number of ports that the programs use: for control, store and agent links, and for the membership protocol.
const PORTS_NEEDED: u16 = 4;
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const DEFAULT_CPU_SHARE: f64 = 1.0;
const DEFAULT_MEMORY_MB: f64 = 256.0;
const DEFAULT_MAX_FILE_DESCRIPTORS: u64 = 1024;
const DEFAULT_LINK_MBPS: f64 = 1000.0;
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;
const BYTES_PER_MEGABIT: f64 = 1e6 / 8.0;

/// Parses a TOML document. `file` is its name in errors.
pub(crate) fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| SettingsError::InvalidToml {
        file: file.to_owned(),
        message: error.to_string(),
    })?;
    let root = Section::root(&table, file);
    let listen = root.section("listen")?;
    let zones = read_zones(&root.section("zones")?)?;
    let zone = root.required_string("zone")?;
    let region = match root.string("region")? {
        Some(region) => region,
        None => zones.get(&zone).cloned().unwrap_or_default(),
    };
    Ok(Settings {
        node_name: root.required_string("node_name")?,
        ip: root.required_ip("ip")?,
        zone,
        region,
        port_range: read_port_range(&root)?,
        seeds: root.addresses("seeds")?,
        bootstrap: root.flag("bootstrap", false)?,
        data_dir: root.string("data_dir")?.map(PathBuf::from),
        heartbeat_interval: read_heartbeat_interval(&root)?,
        zones,
        client_address: listen.address("front")?,
        readiness_address: listen.address("ready")?,
        control_address: listen.address("control")?,
        limits: read_limits(&root.section("limits")?)?,
        tolerance: read_tolerance(&root.section("tolerate")?)?,
        bounds: read_bounds(&root.section("bounds")?)?,
    })
}

fn read_zones(section: &Section<'_>) -> Result<RegionByZone, SettingsError> {
    let mut zones = RegionByZone::new();
    for zone in section.keys() {
        zones.insert(zone.to_owned(), section.string(zone)?.unwrap_or_default());
    }
    Ok(zones)
}

fn read_port_range(root: &Section<'_>) -> Result<(u16, u16), SettingsError> {
    let key = "port_range";
    let (first, last) = root.port_pair(key)?;
    if first > last {
        return Err(root.invalid(key, ValueError::ReversedRange { first, last }));
    }
    if last - first < PORTS_NEEDED - 1 {
        return Err(root.invalid(key, ValueError::RangeTooSmall { first, last, needed: PORTS_NEEDED }));
    }
    Ok((first, last))
}

fn read_heartbeat_interval(root: &Section<'_>) -> Result<Duration, SettingsError> {
    let key = "heartbeat_ms";
    let interval = root.milliseconds(key, DEFAULT_HEARTBEAT_INTERVAL)?;
    if interval.is_zero() {
        return Err(root.invalid(key, ValueError::Zero));
    }
    Ok(interval)
}

fn read_limits(section: &Section<'_>) -> Result<MachineLimits, SettingsError> {
    Ok(MachineLimits {
        cpu_share: section.number("cpu_share", DEFAULT_CPU_SHARE)?,
        memory_bytes: to_bytes(section.number("memory_mb", DEFAULT_MEMORY_MB)?),
        max_file_descriptors: section.count("max_fds", DEFAULT_MAX_FILE_DESCRIPTORS)?,
        link_bytes_per_second: (section.number("link_mbps", DEFAULT_LINK_MBPS)? * BYTES_PER_MEGABIT) as u64,
        disk_bytes: to_bytes(section.number("disk_mb", 0.0)?),
    })
}

fn to_bytes(mebibytes: f64) -> u64 {
    (mebibytes * BYTES_PER_MIB) as u64
}

fn read_tolerance(section: &Section<'_>) -> Result<FaultTolerance, SettingsError> {
    Ok(FaultTolerance {
        machines: section.count("machines", 0)?,
        zones: section.count("zones", 0)?,
        regions: section.count("regions", 0)?,
    })
}

fn read_bounds(section: &Section<'_>) -> Result<Bounds, SettingsError> {
    let default = Bounds::default();
    Ok(Bounds {
        ack_timeout: section.milliseconds("ack_timeout_ms", default.ack_timeout)?,
        drain_period: section.milliseconds("drain_ms", default.drain_period)?,
        shutdown_grace: section.seconds("grace_s", default.shutdown_grace)?,
        config_apply_timeout: section.milliseconds("config_apply_ms", default.config_apply_timeout)?,
        catch_up_period: section.seconds("catch_up_s", default.catch_up_period)?,
        address_reuse_delay: section.seconds("addr_reuse_s", default.address_reuse_delay)?,
        job_retention: section.seconds("status_s", default.job_retention)?,
        cancel_timeout: section.milliseconds("cancel_ms", default.cancel_timeout)?,
        lease_duration: section.milliseconds("lease_ms", default.lease_duration)?,
        fencing_enabled: section.flag("fencing", default.fencing_enabled)?,
        max_forward_delay: section.milliseconds("pass_ms", default.max_forward_delay)?,
    })
}
