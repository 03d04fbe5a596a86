//! The settings of a launch: lines of `path=value`.

use super::{Result, WireError};
use crate::api::{
    Class, DeduplicationScope, Discovery, Idempotency, KindId, Prices, ReportField, ReportSource,
    ReservationSettings, Settings, Tenant, ZoneId,
};
use std::collections::HashMap;
use std::time::Duration;

/// Values by their paths.
struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn parse<T: std::str::FromStr>(&self, key: &str, default: T) -> Result<T> {
        match self.0.get(key) {
            None | Some(&"") => Ok(default),
            Some(text) => text.parse().map_err(|_| WireError::Setting(format!("{key}={text}"))),
        }
    }

    /// A number that must be finite and not negative.
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

    /// An optional set of indices. Present but empty permits nothing, so that it never widens a rule.
    fn set<T>(&self, key: &str, of: fn(u16) -> T) -> Result<Option<Vec<T>>> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        let wrong = |_| WireError::Setting(format!("{key}={text}"));
        self.list(key).map(|i| i.parse().map(of).map_err(wrong)).collect::<Result<_>>().map(Some)
    }

    fn list(&self, key: &str) -> impl Iterator<Item = &'a str> {
        self.text(key).split(',').filter(|part| !part.is_empty())
    }
}

/// Reads the settings of a launch.
///
/// # Errors
/// If a line has no value, or a value does not parse or is out of its range.
pub fn parse_settings(text: &str) -> Result<Settings> {
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let parsed = lines.map(|line| line.split_once('=').ok_or_else(|| WireError::Setting(line.to_owned())));
    let pairs = Pairs(parsed.collect::<Result<_>>()?);
    let zero = Duration::ZERO;
    let classes: u16 = pairs.parse("classes.count", 0)?;
    let tenants: u16 = pairs.parse("tenants.count", 0)?;
    let progress = pairs.duration("domain.progress", zero)?;
    Ok(Settings {
        nodes: pairs.parse("instances", 1)?,
        zone: ZoneId(pairs.parse("locality", 0)?),
        classes: (0..classes).map(|i| class(&pairs, i)).collect::<Result<_>>()?,
        tenants: (0..tenants).map(|i| tenant(&pairs, i)).collect::<Result<_>>()?,
        over_quota_value: pairs.number("overShareWorth", 1.0)?,
        discovery: match pairs.text("discovery") {
            "ask" => Discovery::Poll,
            "push" | "" => Discovery::Push,
            other => return Err(WireError::Setting(format!("discovery={other}"))),
        },
        probing_enabled: pairs.parse("caps.probing", false)?,
        cancelling_enabled: pairs.parse("caps.cancelling", false)?,
        hedging_enabled: pairs.parse("caps.mayDuplicate", false)?,
        retry_after_enabled: pairs.parse("caps.retryAfter", false)?,
        max_retry_after: pairs.duration("caps.maxRetryAfter", zero)?,
        max_attempts: pairs.parse("caps.sendCap", 1)?,
        keepalive: pairs.duration("caps.keepalive", zero)?,
        report_fields: report_fields(&pairs),
        report_source: match pairs.text("report.source") {
            "piggyback" => ReportSource::Piggyback,
            "pull" => ReportSource::Probe,
            _ => ReportSource::None,
        },
        progress: (!progress.is_zero()).then_some(progress),
        start_reported: pairs.parse("domain.tellsStart", false)?,
        drain_grace: pairs.duration("invariants.stopSendingWithin", zero)?,
        close_idle_within: match pairs.duration("invariants.letGoIn", zero)? {
            Duration::ZERO => None,
            within => Some(within),
        },
        full_may_have_run: pairs.parse("invariants.mayShedBegun", false)?,
        answer_slack: pairs.duration("invariants.answerSlack", zero)?,
        max_discovery_interval: pairs.duration("invariants.askWithin", Duration::from_secs(3600))?,
        cold_capacity: pairs.number("invariants.coldFrom", 1.0)?.min(1.0),
        warm_up_time: pairs.duration("invariants.warmUp", zero)?,
        overload_multiple: pairs.number("invariants.tipMultiple", 1.0)?,
        overload_time: pairs.duration("invariants.fall", zero)?,
        prices: Prices {
            handshake: pairs.number("charges.handshake", 0.0)?,
            connection: pairs.number("charges.connection", 0.0)?,
            cross_zone: pairs.number("charges.crossZone", 0.0)?,
            late_fail: pairs.number("charges.lateFail", 0.0)?,
            waste: pairs.number("charges.waste", 0.0)?,
            probe: pairs.number("charges.probe", 0.0)?,
        },
        tick: pairs.duration("tick", zero)?,
        queues_in_order: pairs.text("domain.queueOrder") != "backfill",
        reservations: reservations(&pairs)?,
    })
}

fn reservations(pairs: &Pairs) -> Result<ReservationSettings> {
    let default = ReservationSettings::default();
    let settings = ReservationSettings {
        enabled: pairs.parse("room.enabled", default.enabled)?,
        size_deviations: pairs.number("room.deviations", default.size_deviations)?,
        max_reserved_fraction: pairs.number("room.mostHeld", default.max_reserved_fraction)?,
    };
    settings.check().map_err(|invalid| WireError::Range(invalid.to_string()))?;
    Ok(settings)
}

fn class(pairs: &Pairs, i: u16) -> Result<Class> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let window = pairs.duration(&key("window"), Duration::ZERO)?;
    let scope = match pairs.text(&key("group")) {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell, // The narrowest, so that an unknown word breaks no rule.
    };
    let idempotency = match pairs.text(&key("effect")) {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::Deduplicated { scope, window },
        "non_idempotent" | "" => Idempotency::NonIdempotent,
        other => return Err(WireError::Setting(format!("{}={other}", key("effect")))),
    };
    // A value for each class, or one for all.
    let per_class = |name: &str| {
        let mut values = pairs.list(name);
        let first = values.next();
        if i == 0 { first } else { values.nth(usize::from(i) - 1).or(first) }.unwrap_or("")
    };
    let parsed = |name: &str, default: f64| match per_class(name) {
        "" => Ok(default),
        text => text.parse().map_err(|_| WireError::Setting(format!("{name}={text}"))),
    };
    let kind = parsed("domain.classKind", -1.0)?;
    Ok(Class {
        latency_target: pairs.duration(&key("onTime"), Duration::ZERO)?,
        deadline: pairs.duration(&key("deadline"), Duration::ZERO)?,
        idempotency,
        value: pairs.number(&key("worth"), 1.0)?,
        late_value: pairs.number(&key("lateValue"), 0.0)?,
        latency_stretch: pairs.number(&key("aimStretch"), parsed("domain.classStretch", 0.0)?)?,
        kind: (kind >= 0.0).then_some(KindId(kind as u16)),
        only_kinds: pairs.set(&key("kindsOnly"), KindId)?,
        only_zones: pairs.set(&key("failureDomainsAllowed"), ZoneId)?,
        priority: parsed("domain.classPriority", 0.0)? as i32,
        streamed: pairs.parse(&key("streamed"), false)?,
    })
}

fn tenant(pairs: &Pairs, i: u16) -> Result<Tenant> {
    Ok(Tenant {
        quota_share: pairs.number(&format!("tenants.{i}.fraction"), 0.0)?,
        quota_per_s: pairs.number(&format!("tenants.{i}.quotaRps"), 0.0)?,
    })
}

fn report_fields(pairs: &Pairs) -> Vec<ReportField> {
    let meaning = |text: &str| match text {
        "free_slots" => ReportField::FreeSlots,
        "free_memory" => ReportField::FreeMemory,
        _ => ReportField::Other,
    };
    let field = |name: &str| match name {
        "x0" => meaning(pairs.text("domain.reportX0")),
        "x1" => meaning(pairs.text("domain.reportX1")),
        "waiting" => ReportField::Queue,
        "active" => ReportField::InFlight,
        "cpu" => ReportField::Utilization,
        _ => ReportField::Other,
    };
    pairs.list("report.names").map(field).collect()
}
