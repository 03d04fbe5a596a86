//! The operators' bench protocol: frames, records, and their translation into [`crate::api`].
//!
//! Little-endian and unpadded; a record is a code (u8), the size of its fields (u32) and the
//! fields. Unknown codes of sound length and unknown settings keys are skipped.

use crate::api::*;
use crate::reservation::ReservationSettings;
use std::collections::HashMap;
use std::time::Duration;
use thiserror::Error;

/// Why a message could not be understood.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// Fewer bytes than the fields need.
    #[error("truncated {0}")]
    Truncated(&'static str),
    /// More bytes than the fields need, or a count that does not add up.
    #[error("wrong length of {0}")]
    WrongLength(&'static str),
    /// A value outside its range.
    #[error("bad value {1} in {0}")]
    BadValue(&'static str, u64),
    /// A settings line without its value, or with one that does not parse.
    #[error("unparsable setting {0}")]
    Setting(String),
    /// A setting outside its range.
    #[error("{0}")]
    Range(String),
    /// An event for an instance that was never launched.
    #[error("unknown instance {0}")]
    UnknownInstance(u32),
}

type Result<T> = std::result::Result<T, WireError>;

/// Bytes before the records of a batch: clock, size, count.
pub const BATCH_HEADER: usize = 16;

/// Header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// The clock.
    pub now: Time,
    /// Bytes that follow.
    pub size: usize,
    /// Records that follow.
    pub count: usize,
}

impl BatchHeader {
    /// Reads the header.
    pub fn parse(bytes: &[u8; BATCH_HEADER]) -> Self {
        let mut r = Reader { bytes, what: "header" };
        let now = Time(r.u64().unwrap_or_default());
        let size = r.u32().unwrap_or_default() as usize;
        let count = r.u32().unwrap_or_default() as usize;
        Self { now, size, count }
    }
}

/// What a record says to an instance.
#[derive(Clone, Debug)]
pub enum Message {
    /// The instance starts, with its seed and settings.
    Launch(u64, Box<Settings>),
    /// The instance is killed.
    Shutdown,
    /// Something happened.
    Event(Event),
}

struct Reader<'a> {
    bytes: &'a [u8],
    what: &'static str,
}

macro_rules! read_number {
    ($($name:ident: $kind:ty),*) => {$(
        fn $name(&mut self) -> Result<$kind> {
            let (head, rest) = self.bytes.split_first_chunk().ok_or(WireError::Truncated(self.what))?;
            self.bytes = rest;
            Ok(<$kind>::from_le_bytes(*head))
        }
    )*};
}

impl<'a> Reader<'a> {
    read_number!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32);

    fn take(&mut self, n: usize) -> Result<&'a [u8]> {
        let (head, rest) = self.bytes.split_at_checked(n).ok_or(WireError::Truncated(self.what))?;
        self.bytes = rest;
        Ok(head)
    }

    fn request(&mut self) -> Result<RequestId> {
        self.u32().map(RequestId)
    }

    fn worker(&mut self) -> Result<WorkerId> {
        self.u32().map(WorkerId)
    }

    fn duration(&mut self) -> Result<Duration> {
        self.u64().map(Duration::from_nanos)
    }

    fn attempt(&mut self) -> Result<AttemptNo> {
        self.u8().map(AttemptNo)
    }

    fn report(&mut self) -> Result<Report> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn status(&mut self) -> Result<Status> {
        Ok(match self.u8()? {
            0 => Status::Error,
            1 => Status::Ok,
            2 => Status::Full,
            3 => Status::Timeout,
            4 => Status::ConnectFailed,
            5 => Status::Reset,
            6 => Status::Cancelled,
            7 => Status::Moot,
            other => return Err(WireError::BadValue(self.what, other.into())),
        })
    }

    fn end(&self) -> Result<()> {
        if self.bytes.is_empty() { Ok(()) } else { Err(WireError::WrongLength(self.what)) }
    }
}

/// Reads the records of a batch: the instance each is for and what it says.
pub fn parse_batch(header: &BatchHeader, body: &[u8]) -> Result<Vec<(u32, Message)>> {
    let mut batch = Reader { bytes: body, what: "batch" };
    let mut messages = Vec::new();
    for _ in 0..header.count {
        let code = batch.u8()?;
        let size = batch.u32()? as usize;
        let fields = batch.take(size)?;
        if let Some(message) = parse_record(code, fields)? {
            messages.push(message);
        }
    }
    batch.end()?;
    Ok(messages)
}

fn parse_record(code: u8, fields: &[u8]) -> Result<Option<(u32, Message)>> {
    let what = match code {
        10 => "TICK_DUE",
        20 => "DEMAND",
        30 => "SHUTDOWN",
        40 => "LEFT",
        50 => "DIRECTORY_UPDATE",
        60 => "SAMPLED",
        70 => "FROM_PEER",
        80 => "RESPONSE",
        90 => "LAUNCH",
        100 => "INTERIM",
        110 => "OPENED",
        _ => return Ok(None),
    };
    let mut r = Reader { bytes: fields, what };
    let instance = r.u32()?;
    let message = match code {
        10 => Message::Event(Event::TimerDue { token: TimerToken(r.u64()?) }),
        20 => Message::Event(demand(&mut r)?),
        30 => Message::Shutdown,
        40 => Message::Event(Event::ClientGone { id: r.request()? }),
        50 => Message::Event(directory(&mut r)?),
        60 => {
            let (worker, status, latency) = (r.worker()?, r.status()?, r.duration()?);
            Message::Event(Event::Probed { worker, status, latency, report: r.report()? })
        }
        70 => return Ok(None), // Instances share nothing: what a peer says is not listened to.
        80 => Message::Event(response(&mut r)?),
        90 => {
            let seed = r.u64()?;
            let n = r.u32()? as usize;
            let text = std::str::from_utf8(r.take(n)?).map_err(|_| WireError::WrongLength(what))?;
            Message::Launch(seed, Box::new(parse_settings(text)?))
        }
        100 => {
            let (id, attempt, _worker) = (r.request()?, r.attempt()?, r.worker()?);
            let (note, done) = (r.u8()?, r.f32()?);
            match note {
                1 => Message::Event(Event::Started { id, attempt }),
                2 => Message::Event(Event::Progress { id, attempt, done }),
                _ => return Ok(None),
            }
        }
        _ => {
            let (id, attempt, _worker, _latency) = (r.request()?, r.attempt()?, r.worker()?, r.u64()?);
            Message::Event(Event::StreamOpened { id, attempt })
        }
    };
    r.end()?;
    Ok(Some((instance, message)))
}

fn demand(r: &mut Reader) -> Result<Event> {
    let id = r.request()?;
    let class = ClassId(r.u16()?);
    let (hint, key) = (r.duration()?, r.u64()?);
    let tenant = TenantId(r.u16()?);
    let time_left = r.duration()?;
    let marks = r.u8()?;
    let (slots, memory) = (r.f32()?, r.f32()?);
    let work = (marks & 1 != 0).then_some(hint);
    Ok(Event::Request { id, class, tenant, time_left, repeat: marks & 2 != 0, slots, memory, work, key })
}

fn response(r: &mut Reader) -> Result<Event> {
    let (id, attempt, latency) = (r.request()?, r.attempt()?, r.duration()?);
    let closed = r.u8()? != 0;
    let (worker, status, _remark) = (r.worker()?, r.status()?, r.u32()?);
    Ok(Event::Outcome { id, attempt, worker, status, latency, closed, report: r.report()? })
}

fn directory(r: &mut Reader) -> Result<Event> {
    const ENTRY: usize = 23;
    let kind = match r.u8()? {
        0 => ListKind::Delta,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        other => return Err(WireError::BadValue(r.what, other.into())),
    };
    let _version = r.u32()?;
    let count = r.u32()? as usize;
    if count.checked_mul(ENTRY) != Some(r.bytes.len()) {
        return Err(WireError::WrongLength(r.what));
    }
    let mut entries = Vec::with_capacity(count);
    for _ in 0..count {
        let worker = r.worker()?;
        let (zone, kind, cell) = (ZoneId(r.u16()?), KindId(r.u16()?), CellId(r.u16()?));
        let state = match r.u8()? {
            0 => WorkerState::Gone,
            1 => WorkerState::Ready,
            2 => WorkerState::Draining,
            other => return Err(WireError::BadValue(r.what, other.into())),
        };
        let _size = r.f32()?;
        let started = Some(Time(r.u64()?)).filter(|t| t.0 != 0);
        entries.push(Entry { worker, zone, kind, cell, state, name: worker.0.into(), started });
    }
    Ok(Event::Members { kind, entries })
}

/// The path=value lines of a start message.
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
        let sound = value.is_finite() && value >= 0.0;
        if sound { Ok(value) } else { Err(WireError::Setting(format!("{key}={value}"))) }
    }

    fn duration(&self, key: &str, default: Duration) -> Result<Duration> {
        let nanos = self.parse(key, u64::try_from(default.as_nanos()).unwrap_or(u64::MAX))?;
        Ok(Duration::from_nanos(nanos))
    }

    fn word(&self, key: &str) -> &'a str {
        self.0.get(key).copied().unwrap_or("")
    }

    /// An optional set of indices. Present but empty permits nothing, so that it never widens a rule.
    fn set<T>(&self, key: &str, of: fn(u16) -> T) -> Result<Option<Vec<T>>> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        let wrong = |_| WireError::Setting(format!("{key}={text}"));
        self.list(key).map(|i| i.parse().map(of).map_err(wrong)).collect::<Result<_>>().map(Some)
    }

    fn list(&self, key: &str) -> impl Iterator<Item = &'a str> {
        self.word(key).split(',').filter(|s| !s.is_empty())
    }
}

/// Reads the settings of a start message.
pub fn parse_settings(text: &str) -> Result<Settings> {
    let lines = text.lines().map(str::trim).filter(|l| !l.is_empty());
    let pairs = lines.map(|l| l.split_once('=').ok_or_else(|| WireError::Setting(l.to_owned())));
    let p = Pairs(pairs.collect::<Result<_>>()?);
    let zero = Duration::ZERO;
    let classes: u16 = p.parse("classes.count", 0)?;
    let tenants: u16 = p.parse("tenants.count", 0)?;
    let progress = p.duration("domain.progress", zero)?;
    Ok(Settings {
        nodes: p.parse("instances", 1)?,
        zone: ZoneId(p.parse("locality", 0)?),
        classes: (0..classes).map(|i| class(&p, i)).collect::<Result<_>>()?,
        tenants: (0..tenants).map(|i| tenant(&p, i)).collect::<Result<_>>()?,
        over_quota_value: p.number("overShareWorth", 1.0)?,
        discovery: match p.word("discovery") {
            "ask" => Discovery::Poll,
            "push" | "" => Discovery::Push,
            other => return Err(WireError::Setting(format!("discovery={other}"))),
        },
        probing_enabled: p.parse("caps.probing", false)?,
        cancelling_enabled: p.parse("caps.cancelling", false)?,
        hedging_enabled: p.parse("caps.mayDuplicate", false)?,
        retry_after_enabled: p.parse("caps.retryAfter", false)?,
        max_retry_after: p.duration("caps.maxRetryAfter", zero)?,
        max_attempts: p.parse("caps.sendCap", 1)?,
        keepalive: p.duration("caps.keepalive", zero)?,
        report_fields: report_fields(&p),
        report_source: match p.word("report.source") {
            "piggyback" => ReportSource::Piggyback,
            "pull" => ReportSource::Probe,
            _ => ReportSource::None,
        },
        progress: (!progress.is_zero()).then_some(progress),
        start_reported: p.parse("domain.tellsStart", false)?,
        drain_grace: p.duration("invariants.stopSendingWithin", zero)?,
        close_idle_within: match p.duration("invariants.letGoIn", zero)? {
            Duration::ZERO => None,
            within => Some(within),
        },
        full_may_have_run: p.parse("invariants.mayShedBegun", false)?,
        answer_slack: p.duration("invariants.answerSlack", zero)?,
        max_discovery_interval: p.duration("invariants.askWithin", Duration::from_secs(3600))?,
        cold_capacity: p.number("invariants.coldFrom", 1.0)?.min(1.0),
        warm_up_time: p.duration("invariants.warmUp", zero)?,
        overload_multiple: p.number("invariants.tipMultiple", 1.0)?,
        overload_time: p.duration("invariants.fall", zero)?,
        prices: Prices {
            handshake: p.number("charges.handshake", 0.0)?,
            connection: p.number("charges.connection", 0.0)?,
            cross_zone: p.number("charges.crossZone", 0.0)?,
            late_fail: p.number("charges.lateFail", 0.0)?,
            waste: p.number("charges.waste", 0.0)?,
            probe: p.number("charges.probe", 0.0)?,
        },
        tick: p.duration("tick", zero)?,
        queues_in_order: p.word("domain.queueOrder") != "backfill",
        reservations: room(&p)?,
    })
}

fn room(p: &Pairs) -> Result<ReservationSettings> {
    let usual = ReservationSettings::default();
    let room = ReservationSettings {
        enabled: p.parse("room.enabled", usual.enabled)?,
        size_deviations: p.number("room.deviations", usual.size_deviations)?,
        max_reserved_fraction: p.number("room.mostHeld", usual.max_reserved_fraction)?,
    };
    room.check().map_err(|bad| WireError::Range(bad.to_string()))?;
    Ok(room)
}

fn class(p: &Pairs, i: u16) -> Result<Class> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let window = p.duration(&key("window"), Duration::ZERO)?;
    let group = match p.word(&key("group")) {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell, // The narrowest, so that an unknown word breaks no rule.
    };
    let effect = match p.word(&key("effect")) {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::Deduplicated { scope: group, window },
        "non_idempotent" | "" => Idempotency::NonIdempotent,
        other => return Err(WireError::Setting(format!("{}={other}", key("effect")))),
    };
    // A value for each class, or one for all.
    let per_class = |name: &str| {
        let mut values = p.list(name);
        let first = values.next();
        if i == 0 { first } else { values.nth(usize::from(i) - 1).or(first) }.unwrap_or("")
    };
    let parsed = |name: &str, default: f64| match per_class(name) {
        "" => Ok(default),
        text => text.parse().map_err(|_| WireError::Setting(format!("{name}={text}"))),
    };
    let kind = parsed("domain.classKind", -1.0)?;
    Ok(Class {
        latency_target: p.duration(&key("onTime"), Duration::ZERO)?,
        deadline: p.duration(&key("deadline"), Duration::ZERO)?,
        idempotency: effect,
        value: p.number(&key("worth"), 1.0)?,
        late_value: p.number(&key("lateValue"), 0.0)?,
        latency_stretch: p.number(&key("aimStretch"), parsed("domain.classStretch", 0.0)?)?,
        kind: (kind >= 0.0).then_some(KindId(kind as u16)),
        only_kinds: p.set(&key("kindsOnly"), KindId)?,
        only_zones: p.set(&key("failureDomainsAllowed"), ZoneId)?,
        priority: parsed("domain.classPriority", 0.0)? as i32,
        streamed: p.parse(&key("streamed"), false)?,
    })
}

fn tenant(p: &Pairs, i: u16) -> Result<Tenant> {
    Ok(Tenant {
        quota_share: p.number(&format!("tenants.{i}.fraction"), 0.0)?,
        quota_per_s: p.number(&format!("tenants.{i}.quotaRps"), 0.0)?,
    })
}

fn report_fields(p: &Pairs) -> Vec<ReportField> {
    let meaning = |word: &str| match word {
        "free_slots" => ReportField::FreeSlots,
        "free_memory" => ReportField::FreeMemory,
        _ => ReportField::Other,
    };
    let field = |name: &str| match name {
        "x0" => meaning(p.word("domain.reportX0")),
        "x1" => meaning(p.word("domain.reportX1")),
        "waiting" => ReportField::Queue,
        "active" => ReportField::InFlight,
        "cpu" => ReportField::Utilization,
        _ => ReportField::Other,
    };
    p.list("report.names").map(field).collect()
}

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let (code, fields) = encode(action);
        self.body.push(code);
        self.body.extend((4 + fields.len() as u32).to_le_bytes());
        self.body.extend(instance.to_le_bytes());
        self.body.extend(fields);
        self.count += 1;
    }

    /// The reply's bytes, header first; leaves an empty reply.
    pub fn take(&mut self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(8 + self.body.len());
        bytes.extend(self.count.to_le_bytes());
        bytes.extend((self.body.len() as u32).to_le_bytes());
        bytes.append(&mut self.body);
        self.count = 0;
        bytes
    }
}

fn nanos(span: Option<Duration>) -> [u8; 8] {
    // Zero means absent, so an immediate time-out is the shortest that can be said.
    let span = span.map_or(0, |s| u64::try_from(s.as_nanos()).unwrap_or(i64::MAX as u64).max(1));
    span.to_le_bytes()
}

fn encode(action: &Action) -> (u8, Vec<u8>) {
    match *action {
        Action::Send { id, worker, timeout } => {
            let parts: [&[u8]; 3] = [&id.0.to_le_bytes(), &nanos(timeout), &worker.0.to_le_bytes()];
            (10, parts.concat())
        }
        Action::Refuse { id, retry_after } => {
            let parts: [&[u8]; 2] = [&id.0.to_le_bytes(), &nanos(retry_after)];
            (20, parts.concat())
        }
        Action::Fail { id } => (30, id.0.to_le_bytes().to_vec()),
        Action::Cancel { id, attempt } => {
            let parts: [&[u8]; 2] = [&id.0.to_le_bytes(), &[attempt.0]];
            (40, parts.concat())
        }
        Action::SetTimer { at, token } => {
            let parts: [&[u8]; 2] = [&at.0.to_le_bytes(), &token.0.to_le_bytes()];
            (50, parts.concat())
        }
        Action::Probe { worker } => (60, worker.0.to_le_bytes().to_vec()),
        Action::CloseIdle { worker } => (70, worker.0.to_le_bytes().to_vec()),
        Action::Watch => (110, vec![1]),
        Action::Fetch => (120, Vec::new()),
    }
}
