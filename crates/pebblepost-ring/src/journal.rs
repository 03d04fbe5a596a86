//! The write-ahead journal over a [`Storage`]: formatting, recovery, appends and checkpoints. All
//! calls block.
//!
//! A failed write has no effect on the journal's state: none of its records are committed, no further
//! frames are written to the segment in which it failed, and the caller may retry the same records.
//! The retry goes to a new segment with a higher number. The journal never retries by itself and
//! starts no thread.

use crate::{
    error::{RingError, Step},
    format::{Checksum, FRAME_HEADER_BYTES, FrameKind, Identity, SEGMENT_HEADER_BYTES, crc32, stored_bytes},
    identity_file::{format_ring, read_identity},
    recovery::{Recovery, recover},
    segments::{Segment, SlotPool, slot_name},
    storage::Storage,
    writer::{MIN_FRAGMENT_BYTES, SegmentParameters, Tail, Writer},
};
use std::io;

/// Number of segments that a new ring is divided into. The segment length that follows from it is
/// clamped to `MIN_SEGMENT_BYTES..=MAX_SEGMENT_BYTES`.
const TARGET_SEGMENT_COUNT: u64 = 64;
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
const MIN_SEGMENT_BYTES: u64 = 64 * 1024;
/// Smallest number of segments with which a ring can be opened.
const MIN_SEGMENT_COUNT: u64 = 8;
/// Segments excluded from the capacity: one to continue in after a failed write, and one to make up
/// for the unused space at the ends of the other segments.
const SPARE_SEGMENT_COUNT: u64 = 2;
/// Capacity to which a larger write buffer is shrunk between writes.
const MAX_IDLE_BUFFER_BYTES: usize = 512 * 1024;

/// Parameters for opening a journal.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Upper limit of the total length of all segment files, in bytes.
    pub max_bytes: u64,
    /// Length of a segment file in bytes, used only when formatting. With `None` it is derived from
    /// `max_bytes`.
    pub segment_bytes: Option<u32>,
    /// Identity of the ring, used only when formatting. An existing ring keeps its own.
    pub identity: u64,
    /// Checksum function for the identity file, segment headers and frames. It must be the one with
    /// which the ring was formatted.
    pub checksum: Checksum,
}

impl Options {
    /// Creates options with the CRC-32 checksum and a segment length derived from `max_bytes`.
    pub fn new(max_bytes: u64, identity: u64) -> Options {
        Options { max_bytes, segment_bytes: None, identity, checksum: crc32 }
    }

    /// Returns the content of the identity file for a ring that is about to be formatted.
    fn new_identity(&self) -> Identity {
        let segment_bytes = self.segment_bytes.unwrap_or_else(|| segment_bytes_for(self.max_bytes));
        Identity { identity: self.identity, segment_bytes }
    }
}

/// State of a ring at the time it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the ring, set when it was formatted (by the caller or at random).
    pub identity: u64,
    /// Whether this call formatted the ring.
    pub is_new: bool,
    /// All live records in the order in which they were written: first those of the newest complete
    /// checkpoint, then those appended after it.
    pub records: Vec<Vec<u8>>,
}

/// An open journal.
pub struct Journal<S: Storage> {
    storage: S,
    parameters: SegmentParameters,
    slots: SlotPool,
    /// Live segments in order: those that hold the newest checkpoint and everything after it.
    chain: Vec<Segment>,
    /// The last live segment, if it was started by this opening and no write has failed since.
    tail: Option<Tail<S::File>>,
    next_number: u64,
    next_sequence: u64,
    /// Number of the segment in which the newest checkpoint begins; 0 if there is none.
    checkpoint_segment: u64,
    checkpoint_bytes: u64,
    journal_bytes: u64,
    buffer: Vec<u8>,
}

impl<S: Storage> Journal<S> {
    /// Opens the ring in the storage, formatting it if there is none.
    ///
    /// A new segment is started and synced before this call returns. Frames of an earlier opening
    /// that recovery did not find can therefore never be recovered later, even if they are still on
    /// the disk.
    ///
    /// # Errors
    ///
    /// Fails if the ring is damaged or `max_bytes` is below the minimum number of segments, or if the
    /// storage fails.
    pub fn open(mut storage: S, options: Options) -> Result<(Journal<S>, Recovered), RingError> {
        let found = read_identity(&mut storage, options.checksum)?;
        let is_new = found.is_none();
        let identity = found.unwrap_or_else(|| options.new_identity());
        let segment_count = options.max_bytes / u64::from(identity.segment_bytes);
        if segment_count < MIN_SEGMENT_COUNT {
            return Err(RingError::TooSmall { max_bytes: options.max_bytes });
        }
        if is_new {
            format_ring(&mut storage, identity, options.checksum)?;
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
        journal.write(|writer| writer.start_segment())?;
        recovery.incomplete.iter().for_each(|segment| journal.slots.release(segment.slot));
        Ok((journal, recovered))
    }

    /// Appends records and makes them durable.
    ///
    /// # Errors
    ///
    /// Fails if the ring is full or the storage fails. None of the records are committed then.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), RingError> {
        let needed = total_stored_bytes(records);
        let available = self.capacity().saturating_sub(self.journal_bytes);
        if needed > available {
            return Err(RingError::Full { needed, available });
        }
        self.write(|writer| write_records(writer, records))?;
        self.journal_bytes += needed;
        Ok(())
    }

    /// Replaces the whole content of the journal with `records` and makes them durable. Segments that
    /// hold only older records become free.
    ///
    /// # Errors
    ///
    /// Fails if the ring is full or the storage fails. The content is unchanged then.
    pub fn checkpoint(&mut self, records: &[Vec<u8>]) -> Result<(), RingError> {
        let needed = total_stored_bytes(records);
        let available = self.slots.available_count() * self.usable_segment_bytes();
        if needed > available {
            return Err(RingError::Full { needed, available });
        }
        self.checkpoint_segment = self.write(|writer| {
            let segment = writer.write_marker(FrameKind::CheckpointBegin)?;
            write_records(writer, records)?;
            writer.write_marker(FrameKind::CheckpointEnd)?;
            Ok(segment)
        })?;
        self.checkpoint_bytes = needed;
        self.journal_bytes = 0;
        self.free_replaced_segments();
        Ok(())
    }

    /// Returns the size on disk, in bytes, of the records after the newest checkpoint.
    pub fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    /// Returns how many bytes may be appended between two checkpoints, including those already
    /// appended since the newest one.
    ///
    /// The limit leaves enough space for the next checkpoint, which may be as large as the newest
    /// checkpoint and all records after it together.
    pub fn capacity(&self) -> u64 {
        let usable_bytes =
            self.slots.available_count().saturating_sub(SPARE_SEGMENT_COUNT) * self.usable_segment_bytes();
        let reserved_bytes = self.checkpoint_bytes + self.journal_bytes;
        self.journal_bytes + usable_bytes.saturating_sub(reserved_bytes) / 2
    }

    /// Creates the next segment's file ahead of time if the current segment is more than half full.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails. The next write that needs the file creates it then.
    pub fn preallocate(&mut self) -> Result<(), RingError> {
        let half_segment_bytes = u64::from(self.parameters.segment_bytes) / 2;
        if self.tail.as_ref().is_some_and(|tail| tail.position().offset > half_segment_bytes) {
            self.slots.preallocate(&mut self.storage)?;
        }
        Ok(())
    }

    /// Returns how many bytes of frames always fit into a segment, however records are split.
    fn usable_segment_bytes(&self) -> u64 {
        let max_unused_bytes = SEGMENT_HEADER_BYTES + 2 * FRAME_HEADER_BYTES + MIN_FRAGMENT_BYTES;
        u64::from(self.parameters.segment_bytes) - max_unused_bytes as u64
    }

    /// Runs one write attempt and commits its result, or discards it and frees the segments that the
    /// attempt started.
    fn write<T>(
        &mut self, write_frames: impl FnOnce(&mut Writer<'_, S>) -> Result<T, RingError>,
    ) -> Result<T, RingError> {
        let committed_position = self.tail.as_ref().map(Tail::position);
        let mut writer = Writer {
            storage: &mut self.storage,
            slots: &mut self.slots,
            next_number: &mut self.next_number,
            parameters: self.parameters,
            checkpoint_segment: self.checkpoint_segment,
            previous: self.chain.last().map_or(0, |segment| segment.number),
            tail: self.tail.take(),
            buffer: std::mem::take(&mut self.buffer),
            started_segments: Vec::new(),
            sequence: self.next_sequence,
        };
        let written = write_frames(&mut writer).and_then(|value| writer.finish().map(|()| value));
        if matches!(written, Err(RingError::Storage { step: Step::Syncing, .. })) {
            writer.invalidate_unsynced(committed_position);
        }
        let Writer { tail, mut buffer, started_segments, sequence, .. } = writer;
        buffer.clear();
        buffer.shrink_to(MAX_IDLE_BUFFER_BYTES);
        self.buffer = buffer;
        if written.is_ok() {
            self.tail = tail;
            self.next_sequence = sequence;
            self.chain.extend(started_segments);
        } else {
            started_segments.iter().for_each(|segment| self.slots.release(segment.slot));
        }
        written
    }

    fn free_replaced_segments(&mut self) {
        let first_live =
            self.chain.iter().position(|segment| segment.number >= self.checkpoint_segment).unwrap_or(0);
        for segment in self.chain.drain(..first_live) {
            self.slots.release(segment.slot);
        }
    }
}

fn write_records<S: Storage>(writer: &mut Writer<'_, S>, records: &[Vec<u8>]) -> Result<(), RingError> {
    records.iter().try_for_each(|record| writer.write_record(record))
}

fn total_stored_bytes(records: &[Vec<u8>]) -> u64 {
    records.iter().map(|record| stored_bytes(record.len())).sum()
}

/// Returns the first segment number of an opening whose highest segment found is `highest`.
///
/// The upper 32 bits count the openings. Every segment of an earlier opening therefore has a lower
/// number, even one that recovery did not find.
fn first_number_after(highest: u64) -> u64 {
    ((highest >> 32) + 1) << 32
}

/// Returns the segment length for a new ring of at most `max_bytes`.
fn segment_bytes_for(max_bytes: u64) -> u32 {
    (max_bytes / TARGET_SEGMENT_COUNT).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES) as u32
}

/// Syncs what recovery read: if the process that wrote it was killed between write and sync, it may
/// exist only in the page cache.
fn make_durable<S: Storage>(storage: &mut S, recovery: &Recovery) -> io::Result<()> {
    if let Some(segment) = recovery.chain.last() {
        let mut file = storage.open(&slot_name(segment.slot))?;
        storage.sync_data(&mut file)?;
    }
    storage.sync_folder()
}
