//! The journal over a storage: formatting, recovery, appends and checkpoints. All calls block.
//!
//! A write that fails leaves the journal as it was: nothing of it counts, the segment that it had
//! reached is not written any further, and the same records can be written again, to a segment
//! with a higher number. The journal never retries by itself and starts no thread.

use crate::{
    error::{RingError, Step},
    format::{Checksum, FRAME_HEADER_BYTES, FrameKind, Identity, SEGMENT_HEADER_BYTES, crc32, stored_bytes},
    identity_file::{format, read_identity},
    recovery::{Recovery, recover},
    segments::{Segment, SlotPool, slot_name},
    storage::Storage,
    writer::{MIN_FRAGMENT_BYTES, SegmentParameters, Tail, Writer},
};
use std::io;

/// Number of segments of a ring, between the limits of a segment's length.
const SEGMENT_COUNT: u64 = 64;
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
const MIN_SEGMENT_BYTES: u64 = 64 * 1024;
/// A ring has at least this many segments.
const MIN_SEGMENT_COUNT: u64 = 8;
/// Segments that the capacity leaves out: one to continue in after a failed write, and one for the
/// parts of segments that stay unused.
const SPARE_SEGMENTS: u64 = 2;
/// Larger buffers are shrunk to this size between writes.
const MAX_IDLE_BUFFER_BYTES: usize = 512 * 1024;

/// How a journal is opened.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Upper limit of the bytes of all segments together.
    pub max_bytes: u64,
    /// Length of a segment file in bytes, used when formatting; `None`: derived from `max_bytes`.
    pub segment_bytes: Option<u32>,
    /// Identity, used when formatting.
    pub identity: u64,
    /// Checksum of everything written.
    pub checksum: Checksum,
}

impl Options {
    /// Options with the checksum in use and the derived segment length.
    pub fn new(max_bytes: u64, identity: u64) -> Options {
        Options { max_bytes, segment_bytes: None, identity, checksum: crc32 }
    }

    /// The identity of a ring that is formatted.
    fn new_identity(&self) -> Identity {
        let segment_bytes = self.segment_bytes.unwrap_or_else(|| segment_bytes_for(self.max_bytes));
        Identity { identity: self.identity, segment_bytes }
    }
}

/// What a ring held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the ring: drawn at random, or given, when it was formatted.
    pub identity: u64,
    /// The ring has just been formatted.
    pub is_new: bool,
    /// All live records in the order written: those of the newest complete checkpoint first.
    pub records: Vec<Vec<u8>>,
}

/// An open journal.
pub struct Journal<S: Storage> {
    storage: S,
    parameters: SegmentParameters,
    slots: SlotPool,
    /// Segments that hold the newest checkpoint and all after it.
    chain: Vec<Segment>,
    /// The last of them, if this opening has written it and no write has failed since.
    tail: Option<Tail<S::File>>,
    next_number: u64,
    next_sequence: u64,
    /// Number of the segment where the newest checkpoint begins; 0 if there is none.
    checkpoint_segment: u64,
    checkpoint_bytes: u64,
    journal_bytes: u64,
    buffer: Vec<u8>,
}

impl<S: Storage> Journal<S> {
    /// Opens the ring in the storage, formatting it if there is none. A new segment is begun
    /// durably: from then on, nothing that an earlier opening wrote and this one didn't find can
    /// come back, whatever the disk still holds of it.
    ///
    /// # Errors
    ///
    /// Fails if the ring is damaged or too small, or the storage fails.
    pub fn open(mut storage: S, options: Options) -> Result<(Journal<S>, Recovered), RingError> {
        let found = read_identity(&mut storage, options.checksum)?;
        let is_new = found.is_none();
        let identity = found.unwrap_or_else(|| options.new_identity());
        let segment_count = options.max_bytes / u64::from(identity.segment_bytes);
        if segment_count < MIN_SEGMENT_COUNT {
            return Err(RingError::TooSmall { max_bytes: options.max_bytes });
        }
        if is_new {
            format(&mut storage, identity, options.checksum)?;
        }
        let recovery = recover(&mut storage, identity.identity, options.checksum)?;
        if !is_new {
            make_durable(&mut storage, &recovery).map_err(RingError::storage(Step::Recovery))?;
        }
        let in_chain = |slot: &u32| {
            recovery.chain.iter().chain(&recovery.incomplete).any(|segment| segment.slot == *slot)
        };
        let free = recovery.slots.iter().copied().filter(|slot| !in_chain(slot)).collect();
        let unallocated = (0..segment_count as u32).filter(|slot| !recovery.slots.contains(slot)).collect();
        let recovered = Recovered { identity: identity.identity, is_new, records: recovery.replayed.records };
        let mut journal = Journal {
            storage,
            parameters: SegmentParameters {
                identity: identity.identity,
                checksum: options.checksum,
                segment_bytes: identity.segment_bytes,
            },
            slots: SlotPool::new(identity.segment_bytes, free, unallocated),
            chain: recovery.chain,
            tail: None,
            next_number: first_number_after(recovery.highest_number),
            next_sequence: recovery.replayed.next_sequence,
            checkpoint_segment: recovery.replayed.checkpoint.map_or(0, |position| position.segment),
            checkpoint_bytes: recovery.replayed.checkpoint_bytes,
            journal_bytes: recovery.replayed.journal_bytes,
            buffer: Vec::new(),
        };
        journal.write(|writer| writer.advance())?;
        recovery.incomplete.iter().for_each(|segment| journal.slots.release(segment.slot));
        Ok((journal, recovered))
    }

    /// Appends records and makes them durable.
    ///
    /// # Errors
    ///
    /// Fails if the ring is full or the storage fails; nothing counts as written then.
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

    /// Replaces all that the journal holds by `records`, durably.
    ///
    /// # Errors
    ///
    /// Fails if the ring is full or the storage fails; nothing has changed then.
    pub fn checkpoint(&mut self, records: &[Vec<u8>]) -> Result<(), RingError> {
        let needed = total_bytes(records);
        let available = self.slots.available() * self.payload_bytes();
        if needed > available {
            return Err(RingError::Full { needed, available });
        }
        self.checkpoint_segment = self.write(|writer| {
            let segment = writer.marker(FrameKind::CheckpointBegin)?;
            write_records(writer, records)?;
            writer.marker(FrameKind::CheckpointEnd)?;
            Ok(segment)
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

    /// Bytes that may be appended after a checkpoint, so that enough is left for the next one, which
    /// may be as large as the newest checkpoint and all records after it together.
    pub fn capacity(&self) -> u64 {
        let usable = self.slots.available().saturating_sub(SPARE_SEGMENTS) * self.payload_bytes();
        let reserved = self.checkpoint_bytes + self.journal_bytes;
        self.journal_bytes + usable.saturating_sub(reserved) / 2
    }

    /// Prepares the next segment's file if the current segment is half full.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails; the next write then prepares the file itself.
    pub fn preallocate(&mut self) -> Result<(), RingError> {
        let half = u64::from(self.parameters.segment_bytes) / 2;
        if self.tail.as_ref().is_some_and(|tail| tail.end().offset > half) {
            self.slots.preallocate(&mut self.storage)?;
        }
        Ok(())
    }

    /// Bytes of frames that fit into a segment in any case.
    fn payload_bytes(&self) -> u64 {
        let unused = SEGMENT_HEADER_BYTES + 2 * FRAME_HEADER_BYTES + MIN_FRAGMENT_BYTES;
        u64::from(self.parameters.segment_bytes) - unused as u64
    }

    fn write<T>(
        &mut self, write_frames: impl FnOnce(&mut Writer<'_, S>) -> Result<T, RingError>,
    ) -> Result<T, RingError> {
        let committed_end = self.tail.as_ref().map(Tail::end);
        let mut writer = Writer {
            storage: &mut self.storage,
            slots: &mut self.slots,
            next_number: &mut self.next_number,
            parameters: self.parameters,
            checkpoint_segment: self.checkpoint_segment,
            previous: self.chain.last().map_or(0, |segment| segment.number),
            tail: self.tail.take(),
            buffer: std::mem::take(&mut self.buffer),
            opened: Vec::new(),
            sequence: self.next_sequence,
        };
        let written = write_frames(&mut writer).and_then(|value| writer.finish().map(|()| value));
        if matches!(written, Err(RingError::Storage { step: Step::Syncing, .. })) {
            writer.invalidate_unsynced(committed_end);
        }
        let Writer { tail, mut buffer, opened, sequence, .. } = writer;
        buffer.clear();
        buffer.shrink_to(MAX_IDLE_BUFFER_BYTES);
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
        let live =
            self.chain.iter().position(|segment| segment.number >= self.checkpoint_segment).unwrap_or(0);
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
fn segment_bytes_for(max_bytes: u64) -> u32 {
    (max_bytes / SEGMENT_COUNT).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES) as u32
}

/// What was read may not have been durable, if the process that wrote it was killed in between.
fn make_durable<S: Storage>(storage: &mut S, recovery: &Recovery) -> io::Result<()> {
    if let Some(segment) = recovery.chain.last() {
        let mut file = storage.open(&slot_name(segment.slot))?;
        storage.sync_data(&mut file)?;
    }
    storage.sync_folder()
}
