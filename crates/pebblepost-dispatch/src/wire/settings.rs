//! Settings of a launch: lines of `path=value`.

use super::{Result, WireError};
use crate::api::{
    Class, DeduplicationScope, Discovery, Idempotency, KindId, Prices, ReportField, ReportSource,
    ReservationSettings, Settings, Tenant, ZoneId,
};
use std::collections::HashMap;
use std::time::Duration;

/// Values by their paths.
struct SettingsMap<'a>(HashMap<&'a str, &'a str>);

impl<'a> SettingsMap<'a> {
    fn parse<T: std::str::FromStr>(&self, key: &str, default: T) -> Result<T> {
        match self.0.get(key) {
            None | Some(&"") => Ok(default),
            Some(text) => text.parse().map_err(|_| WireError::Setting(format!("{key}={text}"))),
        }
    }

    /// Parses a number that must be finite and not negative.
    fn number(&self, key: &str, default: f64) -> Result<f64> {
        let value: f64 = self.parse(key, default)?;
        let is_valid = value.is_finite() && value >= 0.0;
        if is_valid { Ok(value) } else { Err(WireError::Setting(format!("{key}={value}"))) }
    }

    fn duration(&self, key: &str, default: Duration) -> Result<Duration> {
        let nanos = self.parse(key, u64::try_from(default.as_nanos()).unwrap_or(u64::MAX))?;
        Ok(Duration::from_nanos(nanos))
    }

    fn text(&self, key: &str) -> &'a str {
        self.0.get(key).copied().unwrap_or("")
    }

    /// Parses an optional set of indices. A set that is present but empty permits nothing, so that an empty
    /// value never widens a rule.
    fn set<T>(&self, key: &str, of: fn(u16) -> T) -> Result<Option<Vec<T>>> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        let wrong = |_| WireError::Setting(format!("{key}={text}"));
        self.list(key).map(|i| i.parse().map(of).map_err(wrong)).collect::<Result<_>>().map(Some)
    }

    fn list(&self, key: &str) -> impl Iterator<Item = &'a str> {
        self.text(key).split(',').filter(|part| !part.is_empty())
    }
}

/// Parses the settings of a launch.
///
/// # Errors
///
/// Fails if a line has no value, or if a value does not parse or is out of its range.
pub fn parse_settings(text: &str) -> Result<Settings> {
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let parsed = lines.map(|line| line.split_once('=').ok_or_else(|| WireError::Setting(line.to_owned())));
    let values = SettingsMap(parsed.collect::<Result<_>>()?);
    let zero = Duration::ZERO;
    let classes: u16 = values.parse("classes.count", 0)?;
    let tenants: u16 = values.parse("tenants.count", 0)?;
    let progress = values.duration("domain.progress", zero)?;
    Ok(Settings {
        nodes: values.parse("instances", 1)?,
        zone: ZoneId(values.parse("locality", 0)?),
        classes: (0..classes).map(|i| parse_class(&values, i)).collect::<Result<_>>()?,
        tenants: (0..tenants).map(|i| parse_tenant(&values, i)).collect::<Result<_>>()?,
        over_quota_value: values.number("overShareWorth", 1.0)?,
        discovery: match values.text("discovery") {
            "ask" => Discovery::Poll,
            "push" | "" => Discovery::Push,
            other => return Err(WireError::Setting(format!("discovery={other}"))),
        },
        probing_enabled: values.parse("caps.probing", false)?,
        cancelling_enabled: values.parse("caps.cancelling", false)?,
        hedging_enabled: values.parse("caps.mayDuplicate", false)?,
        retry_after_enabled: values.parse("caps.retryAfter", false)?,
        max_retry_after: values.duration("caps.maxRetryAfter", zero)?,
        max_attempts: values.parse("caps.sendCap", 1)?,
        keepalive: values.duration("caps.keepalive", zero)?,
        report_fields: parse_report_fields(&values),
        report_source: match values.text("report.source") {
            "piggyback" => ReportSource::Piggyback,
            "pull" => ReportSource::Probe,
            _ => ReportSource::None,
        },
        progress: (!progress.is_zero()).then_some(progress),
        start_reported: values.parse("domain.tellsStart", false)?,
        drain_grace: values.duration("invariants.stopSendingWithin", zero)?,
        close_idle_within: match values.duration("invariants.letGoIn", zero)? {
            Duration::ZERO => None,
            within => Some(within),
        },
        full_may_have_run: values.parse("invariants.mayShedBegun", false)?,
        answer_slack: values.duration("invariants.answerSlack", zero)?,
        max_discovery_interval: values.duration("invariants.askWithin", Duration::from_secs(3600))?,
        cold_capacity: values.number("invariants.coldFrom", 1.0)?.min(1.0),
        warm_up_time: values.duration("invariants.warmUp", zero)?,
        overload_multiple: values.number("invariants.tipMultiple", 1.0)?,
        overload_time: values.duration("invariants.fall", zero)?,
        prices: Prices {
            handshake: values.number("charges.handshake", 0.0)?,
            connection: values.number("charges.connection", 0.0)?,
            cross_zone: values.number("charges.crossZone", 0.0)?,
            late_fail: values.number("charges.lateFail", 0.0)?,
            waste: values.number("charges.waste", 0.0)?,
            probe: values.number("charges.probe", 0.0)?,
        },
        tick: values.duration("tick", zero)?,
        queues_in_order: values.text("domain.queueOrder") != "backfill",
        reservations: parse_reservations(&values)?,
    })
}

fn parse_reservations(values: &SettingsMap) -> Result<ReservationSettings> {
    let default = ReservationSettings::default();
    let settings = ReservationSettings {
        enabled: values.parse("room.enabled", default.enabled)?,
        size_deviations: values.number("room.deviations", default.size_deviations)?,
        max_reserved_fraction: values.number("room.mostHeld", default.max_reserved_fraction)?,
    };
    settings.check().map_err(|invalid| WireError::Range(invalid.to_string()))?;
    Ok(settings)
}

fn parse_class(values: &SettingsMap, i: u16) -> Result<Class> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let window = values.duration(&key("window"), Duration::ZERO)?;
    let scope = match values.text(&key("group")) {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell, // The narrowest scope, so that an unknown value breaks no rule.
    };
    let idempotency = match values.text(&key("effect")) {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::Deduplicated { scope, window },
        "non_idempotent" | "" => Idempotency::NonIdempotent,
        other => return Err(WireError::Setting(format!("{}={other}", key("effect")))),
    };
    // One value per class, or one value for all classes.
    let per_class = |name: &str| {
        let mut list = values.list(name);
        let first = list.next();
        if i == 0 { first } else { list.nth(usize::from(i) - 1).or(first) }.unwrap_or("")
    };
    let parsed = |name: &str, default: f64| match per_class(name) {
        "" => Ok(default),
        text => text.parse().map_err(|_| WireError::Setting(format!("{name}={text}"))),
    };
    let kind = parsed("domain.classKind", -1.0)?;
    Ok(Class {
        latency_target: values.duration(&key("onTime"), Duration::ZERO)?,
        deadline: values.duration(&key("deadline"), Duration::ZERO)?,
        idempotency,
        value: values.number(&key("worth"), 1.0)?,
        late_value: values.number(&key("lateValue"), 0.0)?,
        latency_stretch: values.number(&key("aimStretch"), parsed("domain.classStretch", 0.0)?)?,
        kind: (kind >= 0.0).then_some(KindId(kind as u16)),
        only_kinds: values.set(&key("kindsOnly"), KindId)?,
        only_zones: values.set(&key("failureDomainsAllowed"), ZoneId)?,
        priority: parsed("domain.classPriority", 0.0)? as i32,
        streamed: values.parse(&key("streamed"), false)?,
    })
}

fn parse_tenant(values: &SettingsMap, i: u16) -> Result<Tenant> {
    Ok(Tenant {
        quota_share: values.number(&format!("tenants.{i}.fraction"), 0.0)?,
        quota_per_s: values.number(&format!("tenants.{i}.quotaRps"), 0.0)?,
    })
}

fn parse_report_fields(values: &SettingsMap) -> Vec<ReportField> {
    let meaning = |text: &str| match text {
        "free_slots" => ReportField::FreeSlots,
        "free_memory" => ReportField::FreeMemory,
        _ => ReportField::Other,
    };
    let field = |name: &str| match name {
        "x0" => meaning(values.text("domain.reportX0")),
        "x1" => meaning(values.text("domain.reportX1")),
        "waiting" => ReportField::Queue,
        "active" => ReportField::InFlight,
        "cpu" => ReportField::Utilization,
        _ => ReportField::Other,
    };
    values.list("report.names").map(field).collect()
}
