//! Writes frames into segments. Frames are committed only when [`Writer::finish`] has succeeded.

use crate::{
    error::{RingError, Step},
    format::{
        Checksum, FRAME_HEADER_BYTES, Frame, FrameKind, MAX_FRAME_PAYLOAD_BYTES, SEGMENT_HEADER_BYTES,
        SegmentHeader, encode_frame,
    },
    segments::{Segment, SlotPool},
    storage::Storage,
};

/// Size from which buffered frames are written to the file.
const FLUSH_THRESHOLD_BYTES: usize = 256 * 1024;
/// Smallest part of a record that is written at the end of a segment. With less space left, the rest
/// of the record goes to the next segment, unless it fits completely.
pub(crate) const MIN_FRAGMENT_BYTES: usize = 64;

/// Attempts to overwrite frames whose sync failed.
const MAX_INVALIDATION_ATTEMPTS: usize = 4;

/// The segment to which frames are written.
pub(crate) struct Tail<F> {
    file: F,
    number: u64,
    seed: u32,
    /// Offset in the file at which the next frame starts, in bytes.
    offset: u64,
}

/// Position at which the journal ends.
#[derive(Clone, Copy)]
pub(crate) struct TailPosition {
    /// Number of the last segment.
    pub(crate) number: u64,
    /// Offset in that segment at which the next frame starts, in bytes.
    pub(crate) offset: u64,
}

impl<F> Tail<F> {
    pub(crate) fn position(&self) -> TailPosition {
        TailPosition { number: self.number, offset: self.offset }
    }
}

/// Values shared by all segments that one opening writes.
#[derive(Clone, Copy)]
pub(crate) struct SegmentParameters {
    pub(crate) identity: u64,
    pub(crate) checksum: Checksum,
    pub(crate) segment_bytes: u32,
}

/// A single attempt to write frames and to sync them.
pub(crate) struct Writer<'a, S: Storage> {
    pub(crate) storage: &'a mut S,
    pub(crate) slots: &'a mut SlotPool,
    pub(crate) next_number: &'a mut u64,
    pub(crate) parameters: SegmentParameters,
    pub(crate) checkpoint_segment: u64,
    /// Number of the segment that precedes the next one to be started; recovery follows it backward.
    pub(crate) previous: u64,
    pub(crate) tail: Option<Tail<S::File>>,
    pub(crate) buffer: Vec<u8>,
    /// Segments started by this attempt.
    pub(crate) started_segments: Vec<Segment>,
    /// Sequence number of the next frame.
    pub(crate) sequence: u64,
}

impl<S: Storage> Writer<'_, S> {
    /// Buffers a record, split into as many frames as needed.
    pub(crate) fn write_record(&mut self, record: &[u8]) -> Result<(), RingError> {
        let mut rest = record;
        let mut is_first = true;
        loop {
            let available = self.ensure_space(rest.len().min(MIN_FRAGMENT_BYTES))?;
            let (payload, after) = rest.split_at(rest.len().min(available).min(MAX_FRAME_PAYLOAD_BYTES));
            rest = after;
            let is_last = rest.is_empty();
            self.write_frame(FrameKind::Record, is_first, is_last, payload)?;
            is_first = false;
            if is_last {
                return Ok(());
            }
        }
    }

    /// Buffers a frame without payload and returns the number of the segment that holds it.
    pub(crate) fn write_marker(&mut self, kind: FrameKind) -> Result<u64, RingError> {
        self.ensure_space(0)?;
        self.write_frame(kind, true, true, &[])?;
        Ok(self.tail.as_ref().map_or(0, |tail| tail.number))
    }

    /// Writes all buffered frames and syncs the current segment.
    pub(crate) fn finish(&mut self) -> Result<(), RingError> {
        self.flush()?;
        if let Some(tail) = &mut self.tail {
            self.storage.sync_data(&mut tail.file).map_err(RingError::storage(Step::Syncing))?;
        }
        Ok(())
    }

    /// Overwrites the start of what this attempt wrote to the current segment, after a failed sync: the
    /// header of its first frame, or the segment header if the attempt started the segment.
    ///
    /// The frames may exist only in the page cache. If this process ended now, the next one would
    /// read them as if they were durable. `committed` is the end of the journal before this attempt.
    pub(crate) fn invalidate_unsynced(&mut self, committed: Option<TailPosition>) {
        let Some(tail) = &mut self.tail else { return };
        let offset =
            committed.filter(|position| position.number == tail.number).map_or(0, |position| position.offset);
        let segment_bytes = u64::from(self.parameters.segment_bytes);
        let zeros = [0; FRAME_HEADER_BYTES];
        let length = zeros.len().min((segment_bytes - offset) as usize);
        let mut write = || self.storage.write_at(&mut tail.file, offset, &zeros[..length]);
        if !(0..MAX_INVALIDATION_ATTEMPTS).any(|_| write().is_ok()) {
            log::warn!(
                "could not overwrite unsynced frames, a restart may read them segment={}",
                tail.number
            );
        }
    }

    /// Starts a new segment unless a frame with `payload_bytes` fits into the current one. Returns the
    /// largest payload that fits, in bytes.
    fn ensure_space(&mut self, payload_bytes: usize) -> Result<usize, RingError> {
        if self.remaining_bytes() < FRAME_HEADER_BYTES + payload_bytes {
            self.start_segment()?;
        }
        Ok(self.remaining_bytes().saturating_sub(FRAME_HEADER_BYTES))
    }

    fn remaining_bytes(&self) -> usize {
        let segment_bytes = u64::from(self.parameters.segment_bytes);
        self.tail.as_ref().map_or(0, |tail| (segment_bytes - tail.offset) as usize)
    }

    fn write_frame(
        &mut self, kind: FrameKind, is_first: bool, is_last: bool, payload: &[u8],
    ) -> Result<(), RingError> {
        let Some(tail) = &mut self.tail else { return Ok(()) };
        let frame = Frame { kind, is_first, is_last, sequence: self.sequence };
        encode_frame(&mut self.buffer, frame, payload, tail.seed, self.parameters.checksum);
        tail.offset += (FRAME_HEADER_BYTES + payload.len()) as u64;
        self.sequence += 1;
        if self.buffer.len() >= FLUSH_THRESHOLD_BYTES {
            self.flush()?;
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), RingError> {
        let Some(tail) = &mut self.tail else { return Ok(()) };
        if self.buffer.is_empty() {
            return Ok(());
        }
        let start = tail.offset - self.buffer.len() as u64;
        let written = self.storage.write_at(&mut tail.file, start, &self.buffer);
        self.buffer.clear();
        written.map_err(RingError::storage(Step::Writing))
    }

    /// Starts a new segment. The current one is synced first, so that after a restart only the last
    /// segment can hold frames that are not durable.
    pub(crate) fn start_segment(&mut self) -> Result<(), RingError> {
        self.finish()?;
        self.tail = None;
        let (slot, file) = self.slots.acquire(self.storage)?;
        let number = *self.next_number;
        *self.next_number += 1;
        self.started_segments.push(Segment { slot, number });
        let header = SegmentHeader {
            identity: self.parameters.identity,
            number,
            previous: self.previous,
            checkpoint_segment: self.checkpoint_segment,
            first_sequence: self.sequence,
        };
        self.previous = number;
        self.buffer.extend_from_slice(&header.encode(self.parameters.checksum));
        let seed = header.frame_seed(self.parameters.checksum);
        self.tail = Some(Tail { file, number, seed, offset: SEGMENT_HEADER_BYTES as u64 });
        Ok(())
    }
}
