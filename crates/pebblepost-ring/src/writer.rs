//! Writing frames into segments. Nothing counts as written until [`Writer::finish`] has succeeded.

use crate::{
    error::{RingError, Step},
    format::{
        Checksum, FRAME_HEADER_BYTES, Frame, FrameKind, MAX_FRAME_PAYLOAD, SEGMENT_HEADER_BYTES,
        SegmentHeader, encode_frame,
    },
    segments::{Segment, SlotPool},
    storage::Storage,
};

/// Buffered bytes are written from this size on.
const FLUSH_BYTES: usize = 256 * 1024;
/// A record is not begun or continued in fewer bytes than this, unless it fits.
pub(crate) const MIN_FRAGMENT_BYTES: usize = 64;

/// Number of attempts to overwrite what a failed sync left behind.
const INVALIDATION_ATTEMPTS: usize = 4;

/// The segment being written.
pub(crate) struct Tail<F> {
    file: F,
    number: u64,
    seed: u32,
    /// Offset at which the next frame starts.
    offset: u64,
}

/// Where a journal ends.
#[derive(Clone, Copy)]
pub(crate) struct TailEnd {
    /// Number of the last segment.
    pub(crate) number: u64,
    /// Offset in it at which the next frame starts.
    pub(crate) offset: u64,
}

impl<F> Tail<F> {
    pub(crate) fn end(&self) -> TailEnd {
        TailEnd { number: self.number, offset: self.offset }
    }
}

/// What all segment headers written by one opening have in common.
#[derive(Clone, Copy)]
pub(crate) struct SegmentParameters {
    pub(crate) identity: u64,
    pub(crate) checksum: Checksum,
    pub(crate) segment_bytes: u32,
}

/// One attempt to write some frames and to sync them.
pub(crate) struct Writer<'a, S: Storage> {
    pub(crate) storage: &'a mut S,
    pub(crate) slots: &'a mut SlotPool,
    pub(crate) next_number: &'a mut u64,
    pub(crate) parameters: SegmentParameters,
    pub(crate) checkpoint_segment: u64,
    /// Number of the last segment whose content a reader of this attempt needs.
    pub(crate) previous: u64,
    pub(crate) tail: Option<Tail<S::File>>,
    pub(crate) buffer: Vec<u8>,
    pub(crate) opened: Vec<Segment>,
    pub(crate) sequence: u64,
}

impl<S: Storage> Writer<'_, S> {
    /// Writes a record, split over as many frames as needed.
    pub(crate) fn record(&mut self, record: &[u8]) -> Result<(), RingError> {
        let mut rest = record;
        let mut is_first = true;
        loop {
            let available = self.reserve(rest.len().min(MIN_FRAGMENT_BYTES))?;
            let (payload, after) = rest.split_at(rest.len().min(available).min(MAX_FRAME_PAYLOAD));
            rest = after;
            let is_last = rest.is_empty();
            self.frame(FrameKind::Record, is_first, is_last, payload)?;
            is_first = false;
            if is_last {
                return Ok(());
            }
        }
    }

    /// Writes a marker; returns the number of its segment.
    pub(crate) fn marker(&mut self, kind: FrameKind) -> Result<u64, RingError> {
        self.reserve(0)?;
        self.frame(kind, true, true, &[])?;
        Ok(self.tail.as_ref().map_or(0, |tail| tail.number))
    }

    /// Writes what is buffered and syncs it.
    pub(crate) fn finish(&mut self) -> Result<(), RingError> {
        self.flush()?;
        if let Some(tail) = &mut self.tail {
            self.storage.sync_data(&mut tail.file).map_err(RingError::storage(Step::Syncing))?;
        }
        Ok(())
    }

    /// Overwrites the start of what a failed sync may have left in the page cache only: should this
    /// process end now, the next one must not read it as if it were durable. `committed` is where
    /// the journal ended before this attempt.
    pub(crate) fn invalidate_unsynced(&mut self, committed: Option<TailEnd>) {
        let Some(tail) = &mut self.tail else { return };
        let offset = committed.filter(|end| end.number == tail.number).map_or(0, |end| end.offset);
        let end = u64::from(self.parameters.segment_bytes);
        let zeros = [0; FRAME_HEADER_BYTES];
        let length = zeros.len().min((end - offset) as usize);
        let mut write = || self.storage.write_at(&mut tail.file, offset, &zeros[..length]);
        if !(0..INVALIDATION_ATTEMPTS).any(|_| write().is_ok()) {
            log::warn!("unsynced frames could not be invalidated segment={}", tail.number);
        }
    }

    /// Makes sure that a frame with this many bytes of payload fits; returns how many fit.
    fn reserve(&mut self, payload_bytes: usize) -> Result<usize, RingError> {
        if self.remaining_bytes() < FRAME_HEADER_BYTES + payload_bytes {
            self.advance()?;
        }
        Ok(self.remaining_bytes().saturating_sub(FRAME_HEADER_BYTES))
    }

    /// Bytes left in the segment.
    fn remaining_bytes(&self) -> usize {
        let end = u64::from(self.parameters.segment_bytes);
        self.tail.as_ref().map_or(0, |tail| (end - tail.offset) as usize)
    }

    fn frame(
        &mut self, kind: FrameKind, is_first: bool, is_last: bool, payload: &[u8],
    ) -> Result<(), RingError> {
        let Some(tail) = &mut self.tail else { return Ok(()) };
        let frame = Frame { kind, is_first, is_last, sequence: self.sequence };
        encode_frame(&mut self.buffer, frame, payload, tail.seed, self.parameters.checksum);
        tail.offset += (FRAME_HEADER_BYTES + payload.len()) as u64;
        self.sequence += 1;
        if self.buffer.len() >= FLUSH_BYTES {
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

    /// Continues in a new segment. The one left is synced first, so that after a restart only the
    /// last segment can hold frames that are not durable.
    pub(crate) fn advance(&mut self) -> Result<(), RingError> {
        self.finish()?;
        self.tail = None;
        let (slot, file) = self.slots.take(self.storage)?;
        let number = *self.next_number;
        *self.next_number += 1;
        self.opened.push(Segment { slot, number });
        let header = SegmentHeader {
            identity: self.parameters.identity,
            number,
            previous: self.previous,
            checkpoint_segment: self.checkpoint_segment,
            first_sequence: self.sequence,
        };
        self.previous = number;
        self.buffer.extend_from_slice(&header.encode(self.parameters.checksum));
        let seed = header.seed(self.parameters.checksum);
        self.tail = Some(Tail { file, number, seed, offset: SEGMENT_HEADER_BYTES as u64 });
        Ok(())
    }
}
