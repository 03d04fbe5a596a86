//! What waits to be written on a link: whole frames, owned by the link or shared with others.

use crate::frame;
use nanoserde::SerBin;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// A segment that is longer gets no further frames, so that a paced writer can stop between frames.
const MAX_MERGED_BYTES: usize = 64 * 1024;
/// Most segments written together.
const MAX_BATCH_SEGMENTS: usize = 16;
/// No further segment is added to a batch of this length.
const BATCH_BYTES: usize = 64 * 1024;
/// A written buffer with more capacity is released, not reused.
const MAX_RETAINED_BYTES: usize = 64 * 1024;

/// Whole frames that lie together in memory.
#[derive(Debug)]
enum Segment {
    Owned(Vec<u8>),
    Shared(Rc<[u8]>),
}

impl Segment {
    fn bytes(&self) -> &[u8] {
        match self {
            Segment::Owned(bytes) => bytes,
            Segment::Shared(bytes) => bytes,
        }
    }
}

/// Frames in the order in which they are written.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    segments: VecDeque<Segment>,
    bytes: usize,
    /// A written buffer for reuse.
    spare: Vec<u8>,
}

impl SendQueue {
    /// A queue that starts with bytes that are no frame.
    pub(crate) fn starting_with(bytes: Vec<u8>) -> SendQueue {
        let length = bytes.len();
        SendQueue { segments: VecDeque::from([Segment::Owned(bytes)]), bytes: length, spare: Vec::new() }
    }

    /// Bytes queued.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Queues a message. Returns false, with the queue unchanged, if the message has more than `max_bytes`.
    pub(crate) fn push<M: SerBin>(&mut self, message: &M, max_bytes: usize) -> bool {
        let spare = &mut self.spare;
        let has_room =
            matches!(self.segments.back(), Some(Segment::Owned(last)) if last.len() < MAX_MERGED_BYTES);
        if !has_room {
            self.segments.push_back(Segment::Owned(std::mem::take(spare)));
        }
        let Some(Segment::Owned(last)) = self.segments.back_mut() else { return false };
        let before = last.len();
        let is_queued = frame::append(message, last, max_bytes);
        self.bytes += last.len() - before;
        is_queued
    }

    /// Queues a frame that other links share.
    pub(crate) fn push_shared(&mut self, frame: Rc<[u8]>) {
        self.bytes += frame.len();
        self.segments.push_back(Segment::Shared(frame));
    }

    /// Drops everything that was not taken for writing.
    pub(crate) fn clear(&mut self) {
        self.segments.clear();
        self.bytes = 0;
    }

    /// Takes the frames to be written next.
    pub(crate) fn take_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        while batch.segments.len() < MAX_BATCH_SEGMENTS && batch.bytes < BATCH_BYTES {
            let Some(segment) = self.segments.pop_front() else { break };
            batch.bytes += segment.bytes().len();
            batch.segments.push(segment);
        }
        self.bytes -= batch.bytes;
        batch
    }

    /// Keeps a buffer of a written batch for reuse.
    pub(crate) fn recycle(&mut self, batch: Batch) {
        for segment in batch.segments {
            if let Segment::Owned(mut buffer) = segment
                && buffer.capacity() <= MAX_RETAINED_BYTES
                && buffer.capacity() > self.spare.capacity()
            {
                buffer.clear();
                self.spare = buffer;
            }
        }
    }
}

/// Frames taken from a queue, and how far they are written.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    segments: Vec<Segment>,
    bytes: usize,
    written: usize,
}

impl Batch {
    /// Bytes that are not written yet.
    pub(crate) fn remaining(&self) -> usize {
        self.bytes - self.written
    }

    /// More bytes are written.
    pub(crate) fn advance(&mut self, written: usize) {
        self.written += written;
    }

    /// The next bytes to be written, `limit` at most.
    pub(crate) fn slices(&self, limit: usize) -> Vec<IoSlice<'_>> {
        let (mut skip, mut left) = (self.written, limit);
        let mut slices = Vec::with_capacity(self.segments.len());
        for segment in &self.segments {
            let bytes = segment.bytes();
            let start = skip.min(bytes.len());
            skip -= start;
            let end = bytes.len().min(start.saturating_add(left));
            if start < end {
                left -= end - start;
                slices.push(IoSlice::new(&bytes[start..end]));
            }
        }
        slices
    }
}
