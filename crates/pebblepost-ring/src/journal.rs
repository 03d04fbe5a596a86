//! The journal over a storage: formatting, recovery, appends and checkpoints. All calls block.
//!
//! A write that fails leaves the journal as it was: nothing of it counts, the segment it had
//! reached is not written any further, and the same records can be written again, to a segment
//! with a higher number.

use crate::{
    error::{RingError, Step},
    format::{
        Checksum, FRAME_HEADER_BYTES, FrameKind, IDENTITY_BYTES, Identity, SEGMENT_HEADER_BYTES, crc32,
        stored_bytes,
    },
    recovery::{Recovery, recover},
    segments::{Segment, Slots, prepare, slot_name, slot_of},
    storage::Storage,
    writer::{LEAST_FRAGMENT, Stamp, Tail, Writer},
};
use std::io;

const IDENTITY_FILE: &str = "identity";
const NEW_IDENTITY_FILE: &str = "identity.new";
/// Segments of a ring, as long as they are neither longest nor shortest.
const SEGMENTS: u64 = 64;
const MOST_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
const LEAST_SEGMENT_BYTES: u64 = 64 * 1024;
/// A ring has at least so many segments.
const LEAST_SEGMENTS: u64 = 8;
/// Segments that are never counted on: one to go on with after a failed write, and one for the
/// parts of segments that stay unused.
const SPARE_SEGMENTS: u64 = 2;
/// Buffers larger than this are not kept between writes.
const MOST_IDLE_BUFFER: usize = 512 * 1024;

/// How a journal is opened.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most bytes that all segments together may take.
    pub most_bytes: u64,
    /// Length of a segment file, used when formatting; `None`: chosen by `most_bytes`.
    pub segment_bytes: Option<u32>,
    /// Identity, used when formatting.
    pub identity: u64,
    /// Checksum of everything written.
    pub checksum: Checksum,
}

impl Options {
    /// Options with the checksum in use and a chosen segment length.
    pub fn new(most_bytes: u64, identity: u64) -> Options {
        Options { most_bytes, segment_bytes: None, identity, checksum: crc32 }
    }
}

/// What a journal held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the ring.
    pub identity: u64,
    /// The ring has just been formatted.
    pub fresh: bool,
    /// All live records, in order.
    pub records: Vec<Vec<u8>>,
}

/// An open journal.
pub struct Journal<S: Storage> {
    storage: S,
    stamp: Stamp,
    slots: Slots,
    /// Segments that hold the newest checkpoint and all after it.
    chain: Vec<Segment>,
    /// The last of them, if this opening has written it and no write has failed since.
    tail: Option<Tail<S::File>>,
    next_number: u64,
    next_sequence: u64,
    /// Number of the segment where the newest checkpoint begins.
    base: u64,
    checkpoint_bytes: u64,
    journal_bytes: u64,
    buffer: Vec<u8>,
}

impl<S: Storage> Journal<S> {
    /// Opens the ring in the storage, formatting it if it isn't whole. A new segment is begun
    /// durably: from then on, nothing that an earlier opening wrote and this one didn't find can
    /// come back, whatever the disk still holds of it.
    pub fn open(mut storage: S, options: Options) -> Result<(Journal<S>, Recovered), RingError> {
        let found =
            read_identity(&mut storage, options.checksum).map_err(RingError::storage(Step::Recovery))?;
        let fresh = found.is_none();
        let identity = match found {
            Some(identity) => identity,
            None => format(&mut storage, options)?,
        };
        let segment_count = options.most_bytes / u64::from(identity.segment_bytes);
        if segment_count < LEAST_SEGMENTS {
            return Err(RingError::TooSmall { most_bytes: options.most_bytes });
        }
        let recovery = recover(&mut storage, identity.identity, options.checksum)?;
        if !fresh {
            make_durable(&mut storage, &recovery).map_err(RingError::storage(Step::Recovery))?;
        }
        let in_chain =
            |slot: &u32| recovery.chain.iter().chain(&recovery.void).any(|segment| segment.slot == *slot);
        let free = recovery.slots.iter().copied().filter(|slot| !in_chain(slot)).collect();
        let unmade = (0..segment_count as u32).filter(|slot| !recovery.slots.contains(slot)).collect();
        let recovered = Recovered { identity: identity.identity, fresh, records: recovery.replayed.records };
        let mut journal = Journal {
            storage,
            stamp: Stamp {
                identity: identity.identity,
                checksum: options.checksum,
                segment_bytes: identity.segment_bytes,
            },
            slots: Slots::new(identity.segment_bytes, free, unmade),
            chain: recovery.chain,
            tail: None,
            next_number: first_number_after(recovery.highest_number),
            next_sequence: recovery.replayed.next_sequence,
            base: recovery.replayed.checkpoint.map_or(0, |place| place.segment),
            checkpoint_bytes: recovery.replayed.checkpoint_bytes,
            journal_bytes: recovery.replayed.journal_bytes,
            buffer: Vec::new(),
        };
        journal.write(|writer| writer.advance())?;
        recovery.void.iter().for_each(|segment| journal.slots.release(segment.slot));
        Ok((journal, recovered))
    }

    /// Appends records and makes them durable. On an error nothing counts as written.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), RingError> {
        let needed = total_bytes(records);
        let available = self.capacity().saturating_sub(self.journal_bytes);
        if needed > available {
            return Err(RingError::Full { needed, available });
        }
        self.write(|writer| write_records(writer, records))?;
        self.journal_bytes += needed;
        Ok(())
    }

    /// Replaces all that the journal holds by `records`, durably. On an error nothing changes.
    pub fn checkpoint(&mut self, records: &[Vec<u8>]) -> Result<(), RingError> {
        let needed = total_bytes(records);
        let available = self.slots.available() * self.payload_bytes();
        if needed > available {
            return Err(RingError::Full { needed, available });
        }
        self.base = self.write(|writer| {
            let base = writer.mark(FrameKind::CheckpointBegin)?;
            write_records(writer, records)?;
            writer.mark(FrameKind::CheckpointEnd)?;
            Ok(base)
        })?;
        self.checkpoint_bytes = needed;
        self.journal_bytes = 0;
        self.free_replaced_segments();
        Ok(())
    }

    /// Bytes on disk of the records after the newest checkpoint.
    pub fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    /// Bytes that may be appended after a checkpoint, so that room remains for the next one, as
    /// large as the newest checkpoint and all records after it together.
    pub fn capacity(&self) -> u64 {
        let usable = self.slots.available().saturating_sub(SPARE_SEGMENTS) * self.payload_bytes();
        let reserved = self.checkpoint_bytes + self.journal_bytes;
        self.journal_bytes + usable.saturating_sub(reserved) / 2
    }

    /// Makes the next segment's file ready if the current segment is half full.
    pub fn make_ahead(&mut self) -> Result<(), RingError> {
        let half = u64::from(self.stamp.segment_bytes) / 2;
        if self.tail.as_ref().is_some_and(|tail| tail.end().1 > half) {
            self.slots.make_ahead(&mut self.storage)?;
        }
        Ok(())
    }

    /// Bytes of frames that surely fit into a segment.
    fn payload_bytes(&self) -> u64 {
        let unused = SEGMENT_HEADER_BYTES + 2 * FRAME_HEADER_BYTES + LEAST_FRAGMENT;
        u64::from(self.stamp.segment_bytes) - unused as u64
    }

    fn write<T>(
        &mut self, write_frames: impl FnOnce(&mut Writer<'_, S>) -> Result<T, RingError>,
    ) -> Result<T, RingError> {
        let committed_end = self.tail.as_ref().map(Tail::end);
        let mut writer = Writer {
            storage: &mut self.storage,
            slots: &mut self.slots,
            next_number: &mut self.next_number,
            stamp: self.stamp,
            base: self.base,
            previous: self.chain.last().map_or(0, |segment| segment.number),
            tail: self.tail.take(),
            buffer: std::mem::take(&mut self.buffer),
            opened: Vec::new(),
            sequence: self.next_sequence,
        };
        let written = write_frames(&mut writer).and_then(|value| writer.finish().map(|()| value));
        if matches!(written, Err(RingError::Storage { step: Step::Syncing, .. })) {
            writer.void(committed_end);
        }
        let Writer { tail, mut buffer, opened, sequence, .. } = writer;
        buffer.clear();
        buffer.shrink_to(MOST_IDLE_BUFFER);
        self.buffer = buffer;
        if written.is_ok() {
            self.tail = tail;
            self.next_sequence = sequence;
            self.chain.extend(opened);
        } else {
            opened.iter().for_each(|segment| self.slots.release(segment.slot));
        }
        written
    }

    fn free_replaced_segments(&mut self) {
        let live = self.chain.iter().position(|segment| segment.number >= self.base).unwrap_or(0);
        for segment in self.chain.drain(..live) {
            self.slots.release(segment.slot);
        }
    }
}

fn write_records<S: Storage>(writer: &mut Writer<'_, S>, records: &[Vec<u8>]) -> Result<(), RingError> {
    records.iter().try_for_each(|record| writer.record(record))
}

fn total_bytes(records: &[Vec<u8>]) -> u64 {
    records.iter().map(|record| stored_bytes(record.len())).sum()
}

/// First segment number of an opening that found `highest`. Openings count in the upper half of
/// the number: whatever an earlier opening wrote, seen or not, is of a lower number.
fn first_number_after(highest: u64) -> u64 {
    ((highest >> 32) + 1) << 32
}

/// Length of the segments of a ring of this size.
fn segment_bytes_for(most_bytes: u64) -> u32 {
    (most_bytes / SEGMENTS).clamp(LEAST_SEGMENT_BYTES, MOST_SEGMENT_BYTES) as u32
}

fn read_identity<S: Storage>(storage: &mut S, checksum: Checksum) -> io::Result<Option<Identity>> {
    if !storage.list()?.iter().any(|name| name == IDENTITY_FILE) {
        return Ok(None);
    }
    let mut file = storage.open(IDENTITY_FILE)?;
    let mut bytes = [0; IDENTITY_BYTES];
    let count = storage.read_at(&mut file, 0, &mut bytes)?;
    match Identity::decode(&bytes[..count], checksum) {
        Some(identity) => Ok(Some(identity)),
        // The file is renamed to its name only once it is durable: this disk is damaged, not new.
        None => Err(io::Error::new(io::ErrorKind::InvalidData, "the identity file is damaged")),
    }
}

/// Makes a ring in place of whatever stands there. The identity file comes last: without it, the
/// ring doesn't exist.
fn format<S: Storage>(storage: &mut S, options: Options) -> Result<Identity, RingError> {
    let segment_bytes = options.segment_bytes.unwrap_or_else(|| segment_bytes_for(options.most_bytes));
    if options.most_bytes / u64::from(segment_bytes) < LEAST_SEGMENTS {
        return Err(RingError::TooSmall { most_bytes: options.most_bytes });
    }
    let identity = Identity { identity: options.identity, segment_bytes };
    remove_leftovers(storage).map_err(RingError::storage(Step::Formatting))?;
    prepare(storage, 0, segment_bytes, false)?;
    let bytes = identity.encode(options.checksum);
    write_identity(storage, &bytes).map_err(RingError::storage(Step::Formatting))?;
    Ok(identity)
}

fn remove_leftovers<S: Storage>(storage: &mut S) -> io::Result<()> {
    let names = storage.list()?;
    let ours =
        |name: &&String| *name == IDENTITY_FILE || *name == NEW_IDENTITY_FILE || slot_of(name).is_some();
    let leftovers: Vec<&String> = names.iter().filter(ours).collect();
    if leftovers.is_empty() {
        return Ok(());
    }
    for name in leftovers {
        storage.remove(name)?;
    }
    storage.sync_folder()
}

fn write_identity<S: Storage>(storage: &mut S, bytes: &[u8]) -> io::Result<()> {
    let mut file = storage.create(NEW_IDENTITY_FILE)?;
    storage.write_at(&mut file, 0, bytes)?;
    storage.sync_all(&mut file)?;
    storage.rename(NEW_IDENTITY_FILE, IDENTITY_FILE)?;
    storage.sync_folder()
}

/// What was read may not have been durable, if the process that wrote it was killed in between.
fn make_durable<S: Storage>(storage: &mut S, recovery: &Recovery) -> io::Result<()> {
    if let Some(segment) = recovery.chain.last() {
        let mut file = storage.open(&slot_name(segment.slot))?;
        storage.sync_data(&mut file)?;
    }
    storage.sync_folder()
}
