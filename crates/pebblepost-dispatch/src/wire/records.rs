//! Incoming records: events for the instances of a batch.

use super::reader::Reader;
use super::settings::parse_settings;
use super::{Result, WireError};
use crate::api::{
    CellId, ClassId, Entry, Event, KindId, ListKind, Settings, TenantId, Time, TimerToken, WorkerState,
    ZoneId,
};

// Codes of the records, with the names of the simulator's protocol.
const RECORD_TICK_DUE: u8 = 10;
const RECORD_DEMAND: u8 = 20;
const RECORD_SHUTDOWN: u8 = 30;
const RECORD_LEFT: u8 = 40;
const RECORD_DIRECTORY_UPDATE: u8 = 50;
const RECORD_SAMPLED: u8 = 60;
const RECORD_FROM_PEER: u8 = 70;
const RECORD_RESPONSE: u8 = 80;
const RECORD_LAUNCH: u8 = 90;
const RECORD_INTERIM: u8 = 100;
const RECORD_OPENED: u8 = 110;

// Kinds of notes in an INTERIM record.
const NOTE_STARTED: u8 = 1;
const NOTE_PROGRESS: u8 = 2;

// Flags of a DEMAND record.
const FLAG_HINT_VALID: u8 = 1;
const FLAG_CLIENT_RETRY: u8 = 2;

/// Size of one entry in a DIRECTORY_UPDATE record.
const ENTRY_BYTES: usize = 23;

/// Size of the batch header: the clock (8 bytes), the size and the count (4 bytes each).
pub const BATCH_HEADER_BYTES: usize = 16;

/// Header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Time on the caller's clock.
    pub now: Time,
    /// Number of bytes that follow.
    pub size: usize,
    /// Number of records that follow.
    pub count: usize,
}

impl BatchHeader {
    /// Parses the header.
    pub fn parse(bytes: &[u8; BATCH_HEADER_BYTES]) -> Self {
        let mut reader = Reader { bytes, record_name: "header" };
        let now = Time(reader.u64().unwrap_or_default());
        let size = reader.u32().unwrap_or_default() as usize;
        let count = reader.u32().unwrap_or_default() as usize;
        Self { now, size, count }
    }
}

/// Content of a record.
#[derive(Clone, Debug)]
pub enum Message {
    /// Starts the instance with a seed and settings.
    Launch(u64, Box<Settings>),
    /// Stops the instance.
    Shutdown,
    /// Passes an event to the instance.
    Event(Event),
}

/// Parses the records of a batch. Returns the instance of each record and its message.
///
/// # Errors
///
/// Fails if a record is truncated, has the wrong length or holds a value out of its range.
pub fn parse_batch(header: &BatchHeader, body: &[u8]) -> Result<Vec<(u32, Message)>> {
    let mut batch = Reader { bytes: body, record_name: "batch" };
    let mut messages = Vec::new();
    for _ in 0..header.count {
        let code = batch.u8()?;
        let size = batch.u32()? as usize;
        let fields = batch.take(size)?;
        if let Some(message) = parse_record(code, fields)? {
            messages.push(message);
        }
    }
    batch.finish()?;
    Ok(messages)
}

fn parse_record(code: u8, fields: &[u8]) -> Result<Option<(u32, Message)>> {
    let record_name = match code {
        RECORD_TICK_DUE => "TICK_DUE",
        RECORD_DEMAND => "DEMAND",
        RECORD_SHUTDOWN => "SHUTDOWN",
        RECORD_LEFT => "LEFT",
        RECORD_DIRECTORY_UPDATE => "DIRECTORY_UPDATE",
        RECORD_SAMPLED => "SAMPLED",
        RECORD_FROM_PEER => "FROM_PEER",
        RECORD_RESPONSE => "RESPONSE",
        RECORD_LAUNCH => "LAUNCH",
        RECORD_INTERIM => "INTERIM",
        RECORD_OPENED => "OPENED",
        _ => return Ok(None),
    };
    let mut reader = Reader { bytes: fields, record_name };
    let instance = reader.u32()?;
    let message = match code {
        RECORD_TICK_DUE => Message::Event(Event::TimerDue { token: TimerToken(reader.u64()?) }),
        RECORD_DEMAND => Message::Event(parse_demand(&mut reader)?),
        RECORD_SHUTDOWN => Message::Shutdown,
        RECORD_LEFT => Message::Event(Event::ClientGone { id: reader.request()? }),
        RECORD_DIRECTORY_UPDATE => Message::Event(parse_directory(&mut reader)?),
        RECORD_SAMPLED => {
            let (worker, status, latency) = (reader.worker()?, reader.status()?, reader.duration()?);
            Message::Event(Event::Probed { worker, status, latency, report: reader.report()? })
        }
        RECORD_FROM_PEER => return Ok(None), // Instances share no state, so messages of peers are dropped.
        RECORD_RESPONSE => Message::Event(parse_response(&mut reader)?),
        RECORD_LAUNCH => {
            let seed = reader.u64()?;
            let size = reader.u32()? as usize;
            let text =
                std::str::from_utf8(reader.take(size)?).map_err(|_| WireError::WrongLength(record_name))?;
            Message::Launch(seed, Box::new(parse_settings(text)?))
        }
        RECORD_INTERIM => {
            let (id, attempt, _worker) = (reader.request()?, reader.attempt()?, reader.worker()?);
            let (note, done) = (reader.u8()?, reader.f32()?);
            match note {
                NOTE_STARTED => Message::Event(Event::Started { id, attempt }),
                NOTE_PROGRESS => Message::Event(Event::Progress { id, attempt, done }),
                _ => return Ok(None),
            }
        }
        _ => {
            let (id, attempt, _worker, _latency) =
                (reader.request()?, reader.attempt()?, reader.worker()?, reader.u64()?);
            Message::Event(Event::StreamOpened { id, attempt })
        }
    };
    reader.finish()?;
    Ok(Some((instance, message)))
}

fn parse_demand(reader: &mut Reader) -> Result<Event> {
    let id = reader.request()?;
    let class = ClassId(reader.u16()?);
    let (hint, key) = (reader.duration()?, reader.u64()?);
    let tenant = TenantId(reader.u16()?);
    let time_left = reader.duration()?;
    let flags = reader.u8()?;
    let (slots, memory) = (reader.f32()?, reader.f32()?);
    let work = (flags & FLAG_HINT_VALID != 0).then_some(hint);
    Ok(Event::Request {
        id,
        class,
        tenant,
        time_left,
        repeat: flags & FLAG_CLIENT_RETRY != 0,
        slots,
        memory,
        work,
        key,
    })
}

fn parse_response(reader: &mut Reader) -> Result<Event> {
    let (id, attempt, latency) = (reader.request()?, reader.attempt()?, reader.duration()?);
    let closed = reader.u8()? != 0;
    let (worker, status, _remark) = (reader.worker()?, reader.status()?, reader.u32()?);
    Ok(Event::Outcome { id, attempt, worker, status, latency, closed, report: reader.report()? })
}

fn parse_directory(reader: &mut Reader) -> Result<Event> {
    let kind = match reader.u8()? {
        0 => ListKind::Delta,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        other => return Err(WireError::BadValue(reader.record_name, other.into())),
    };
    let _version = reader.u32()?;
    let count = reader.u32()? as usize;
    if count.checked_mul(ENTRY_BYTES) != Some(reader.bytes.len()) {
        return Err(WireError::WrongLength(reader.record_name));
    }
    let mut entries = Vec::with_capacity(count);
    for _ in 0..count {
        let worker = reader.worker()?;
        let (zone, kind, cell) = (ZoneId(reader.u16()?), KindId(reader.u16()?), CellId(reader.u16()?));
        let state = match reader.u8()? {
            0 => WorkerState::Gone,
            1 => WorkerState::Ready,
            2 => WorkerState::Draining,
            other => return Err(WireError::BadValue(reader.record_name, other.into())),
        };
        let _size = reader.f32()?;
        let started = Some(Time(reader.u64()?)).filter(|started| started.0 != 0);
        entries.push(Entry { worker, zone, kind, cell, state, name: worker.0.into(), started });
    }
    Ok(Event::Members { kind, entries })
}
