//! Writing frames into segments. Nothing counts until [`Writer::finish`] has passed.

use crate::{
    error::{RingError, Step},
    format::{
        Checksum, FRAME_HEADER_BYTES, Frame, FrameKind, MOST_FRAME_PAYLOAD, SEGMENT_HEADER_BYTES,
        SegmentHeader, encode_frame,
    },
    segments::{Segment, Slots},
    storage::Storage,
};

/// Buffered bytes are handed to the storage from this size on.
const FLUSH_BYTES: usize = 256 * 1024;
/// A record is not begun or continued in less room than this, unless it fits.
pub(crate) const LEAST_FRAGMENT: usize = 64;

/// Tries to overwrite what a failed sync left behind.
const VOID_TRIES: usize = 4;

/// The segment being written.
pub(crate) struct Tail<F> {
    file: F,
    number: u64,
    seed: u32,
    /// Where the next frame goes.
    offset: u64,
}

impl<F> Tail<F> {
    /// Number of the segment, and where its next frame goes.
    pub(crate) fn end(&self) -> (u64, u64) {
        (self.number, self.offset)
    }
}

/// What all segment headers written by one opening have in common.
#[derive(Clone, Copy)]
pub(crate) struct Stamp {
    pub(crate) identity: u64,
    pub(crate) checksum: Checksum,
    pub(crate) segment_bytes: u32,
}

/// One attempt to write some frames and to sync them.
pub(crate) struct Writer<'a, S: Storage> {
    pub(crate) storage: &'a mut S,
    pub(crate) slots: &'a mut Slots,
    pub(crate) next_number: &'a mut u64,
    pub(crate) stamp: Stamp,
    pub(crate) base: u64,
    /// Number of the last segment whose content is wanted by a reader of this attempt.
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
        let mut first = true;
        loop {
            let room = self.make_room(rest.len().min(LEAST_FRAGMENT))?;
            let (payload, after) = rest.split_at(rest.len().min(room).min(MOST_FRAME_PAYLOAD));
            rest = after;
            let last = rest.is_empty();
            self.frame(FrameKind::Record, first, last, payload)?;
            first = false;
            if last {
                return Ok(());
            }
        }
    }

    /// Writes a mark; returns the number of its segment.
    pub(crate) fn mark(&mut self, kind: FrameKind) -> Result<u64, RingError> {
        self.make_room(0)?;
        self.frame(kind, true, true, &[])?;
        Ok(self.tail.as_ref().map_or(0, |tail| tail.number))
    }

    /// Hands over what is buffered and syncs it.
    pub(crate) fn finish(&mut self) -> Result<(), RingError> {
        self.flush()?;
        if let Some(tail) = &mut self.tail {
            self.storage.sync_data(&mut tail.file).map_err(RingError::storage(Step::Syncing))?;
        }
        Ok(())
    }

    /// Overwrites the front of what a failed sync may have left in the system's cache only: should
    /// this process end now, the next one must not read it as if it were durable. `committed` is
    /// where the journal ended before this attempt.
    pub(crate) fn void(&mut self, committed: Option<(u64, u64)>) {
        let Some(tail) = &mut self.tail else { return };
        let offset = committed.filter(|end| end.0 == tail.number).map_or(0, |end| end.1);
        let end = u64::from(self.stamp.segment_bytes);
        let zeros = [0; FRAME_HEADER_BYTES];
        let length = zeros.len().min((end - offset) as usize);
        let mut write = || self.storage.write_at(&mut tail.file, offset, &zeros[..length]);
        if !(0..VOID_TRIES).any(|_| write().is_ok()) {
            log::warn!("frames of a failed sync are left in the system's cache");
        }
    }

    /// Makes sure that a frame with `least` bytes of payload fits; returns the payload's room.
    fn make_room(&mut self, least: usize) -> Result<usize, RingError> {
        if self.room() < FRAME_HEADER_BYTES + least {
            self.advance()?;
        }
        Ok(self.room().saturating_sub(FRAME_HEADER_BYTES))
    }

    fn room(&self) -> usize {
        let end = u64::from(self.stamp.segment_bytes);
        self.tail.as_ref().map_or(0, |tail| (end - tail.offset) as usize)
    }

    fn frame(&mut self, kind: FrameKind, first: bool, last: bool, payload: &[u8]) -> Result<(), RingError> {
        let Some(tail) = &mut self.tail else { return Ok(()) };
        let frame = Frame { kind, first, last, sequence: self.sequence };
        encode_frame(&mut self.buffer, frame, payload, tail.seed, self.stamp.checksum);
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

    /// Goes on to a new segment. The one left is synced first, so that after a restart only the
    /// last segment can hold frames that are not durable.
    pub(crate) fn advance(&mut self) -> Result<(), RingError> {
        self.finish()?;
        self.tail = None;
        let (slot, file) = self.slots.take(self.storage)?;
        let number = *self.next_number;
        *self.next_number += 1;
        self.opened.push(Segment { slot, number });
        let header = SegmentHeader {
            identity: self.stamp.identity,
            number,
            previous: self.previous,
            base: self.base,
            first_sequence: self.sequence,
        };
        self.previous = number;
        self.buffer.extend_from_slice(&header.encode(self.stamp.checksum));
        let seed = header.seed(self.stamp.checksum);
        self.tail = Some(Tail { file, number, seed, offset: SEGMENT_HEADER_BYTES as u64 });
        Ok(())
    }
}
