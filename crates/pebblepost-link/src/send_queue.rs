//! Send queue of a link. It consists of whole frames, owned by the link or shared with other links.

use crate::frame;
use crate::tail::TailFrame;
use nanoserde::SerBin;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// No further frame is merged into a segment of this length or more, so that a paced writer can stop between frames.
const SEGMENT_MERGE_LIMIT_BYTES: usize = 64 * 1024;
/// Maximum number of segments that are written together.
const MAX_BATCH_SEGMENTS: usize = 16;
/// Maximum number of slices of one write.
const MAX_WRITE_SLICES: usize = 64;
/// No further segment is added to a batch of this length or more.
const BATCH_LIMIT_BYTES: usize = 64 * 1024;
/// Maximum capacity of a written buffer that is kept for reuse.
const MAX_RETAINED_BYTES: usize = 64 * 1024;

/// The bytes of a segment.
#[derive(Debug)]
enum Content {
    Owned(Vec<u8>),
    Shared(Rc<[u8]>),
    WithTail(TailFrame),
}

/// One or more whole frames.
#[derive(Debug)]
struct Segment {
    content: Content,
    largest_frame_bytes: usize,
}

impl Segment {
    fn owned(bytes: Vec<u8>) -> Segment {
        Segment { content: Content::Owned(bytes), largest_frame_bytes: 0 }
    }

    fn shared(frame: Rc<[u8]>) -> Segment {
        Segment { largest_frame_bytes: frame.len(), content: Content::Shared(frame) }
    }

    fn with_tail(frame: TailFrame) -> Segment {
        Segment { largest_frame_bytes: frame.len(), content: Content::WithTail(frame) }
    }

    fn len(&self) -> usize {
        match &self.content {
            Content::Owned(bytes) => bytes.len(),
            Content::Shared(bytes) => bytes.len(),
            Content::WithTail(frame) => frame.len(),
        }
    }

    /// Calls a function with each part that is contiguous in memory, in order, until it returns false.
    fn for_each_part<'a>(&'a self, mut visit: impl FnMut(&'a [u8]) -> bool) -> bool {
        match &self.content {
            Content::Owned(bytes) => visit(bytes),
            Content::Shared(bytes) => visit(bytes),
            Content::WithTail(frame) => frame.parts().all(visit),
        }
    }

    /// Returns whether further frames may be merged into this segment.
    fn can_merge(&self) -> bool {
        matches!(&self.content, Content::Owned(bytes) if bytes.len() < SEGMENT_MERGE_LIMIT_BYTES)
    }

    /// Appends a frame. Returns its length, or `None` if the message is longer than `max_bytes` or the segment is
    /// shared.
    fn append<M: SerBin>(&mut self, message: &M, max_bytes: usize) -> Option<usize> {
        let Content::Owned(bytes) = &mut self.content else { return None };
        let before = bytes.len();
        if !frame::append_frame(message, bytes, max_bytes) {
            return None;
        }
        let frame_bytes = bytes.len() - before;
        self.largest_frame_bytes = self.largest_frame_bytes.max(frame_bytes);
        Some(frame_bytes)
    }

    /// Appends an encoded frame. Returns false if the segment is shared.
    fn append_frame(&mut self, frame: &[u8]) -> bool {
        let Content::Owned(bytes) = &mut self.content else { return false };
        bytes.extend_from_slice(frame);
        self.largest_frame_bytes = self.largest_frame_bytes.max(frame.len());
        true
    }
}

/// Frames to be written, in order.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    segments: VecDeque<Segment>,
    bytes: usize,
    /// Empty buffer of an earlier batch, reused for the next segment.
    spare_buffer: Vec<u8>,
}

impl SendQueue {
    /// Creates a queue that starts with bytes that are not a frame.
    pub(crate) fn with_preamble(bytes: Vec<u8>) -> SendQueue {
        let length = bytes.len();
        SendQueue {
            segments: VecDeque::from([Segment::owned(bytes)]),
            bytes: length,
            spare_buffer: Vec::new(),
        }
    }

    /// Returns the number of queued bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the length of the largest frame.
    pub(crate) fn largest_frame_bytes(&self) -> usize {
        self.segments.iter().map(|segment| segment.largest_frame_bytes).max().unwrap_or(0)
    }

    /// Queues a message. Returns false and queues nothing if the message is longer than `max_bytes`.
    pub(crate) fn push<M: SerBin>(&mut self, message: &M, max_bytes: usize) -> bool {
        if !self.segments.back().is_some_and(Segment::can_merge) {
            self.segments.push_back(Segment::owned(std::mem::take(&mut self.spare_buffer)));
        }
        let appended = self.segments.back_mut().and_then(|last| last.append(message, max_bytes));
        self.bytes += appended.unwrap_or(0);
        appended.is_some()
    }

    /// Queues an encoded frame.
    pub(crate) fn push_frame(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        let last = self.segments.back_mut().filter(|last| last.can_merge());
        if !last.is_some_and(|last| last.append_frame(&frame)) {
            let largest_frame_bytes = frame.len();
            self.segments.push_back(Segment { content: Content::Owned(frame), largest_frame_bytes });
        }
    }

    /// Queues a frame that is shared with other links.
    pub(crate) fn push_shared(&mut self, frame: Rc<[u8]>) {
        self.bytes += frame.len();
        self.segments.push_back(Segment::shared(frame));
    }

    /// Queues a frame with a tail.
    pub(crate) fn push_with_tail(&mut self, frame: TailFrame) {
        self.bytes += frame.len();
        self.segments.push_back(Segment::with_tail(frame));
    }

    /// Drops all queued frames.
    pub(crate) fn clear(&mut self) {
        self.segments.clear();
        self.bytes = 0;
    }

    /// Takes the frames to be written next.
    pub(crate) fn take_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        while batch.segments.len() < MAX_BATCH_SEGMENTS && batch.bytes < BATCH_LIMIT_BYTES {
            let Some(segment) = self.segments.pop_front() else { break };
            batch.bytes += segment.len();
            batch.largest_frame_bytes = batch.largest_frame_bytes.max(segment.largest_frame_bytes);
            batch.segments.push(segment);
        }
        self.bytes -= batch.bytes;
        batch
    }

    /// Keeps the largest buffer of a written batch for reuse, if it is within `MAX_RETAINED_BYTES`.
    pub(crate) fn recycle(&mut self, batch: Batch) {
        for segment in batch.segments {
            if let Content::Owned(mut buffer) = segment.content
                && buffer.capacity() <= MAX_RETAINED_BYTES
                && buffer.capacity() > self.spare_buffer.capacity()
            {
                buffer.clear();
                self.spare_buffer = buffer;
            }
        }
    }
}

/// Frames taken from a queue, with the number of bytes written so far.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    segments: Vec<Segment>,
    bytes: usize,
    written: usize,
    largest_frame_bytes: usize,
}

impl Batch {
    /// Returns the number of bytes that are not written yet.
    pub(crate) fn remaining(&self) -> usize {
        self.bytes - self.written
    }

    /// Returns the length of the largest frame.
    pub(crate) fn largest_frame_bytes(&self) -> usize {
        self.largest_frame_bytes
    }

    /// Records that this many more bytes were written.
    pub(crate) fn advance(&mut self, written: usize) {
        self.written += written;
    }

    /// Returns the next bytes to be written, at most `limit` in at most [`MAX_WRITE_SLICES`] slices.
    pub(crate) fn slices(&self, limit: usize) -> Vec<IoSlice<'_>> {
        let (mut skip, mut remaining) = (self.written, limit);
        let mut slices = Vec::with_capacity(self.segments.len());
        for segment in &self.segments {
            let has_room = segment.for_each_part(|bytes| {
                let start = skip.min(bytes.len());
                skip -= start;
                let end = bytes.len().min(start.saturating_add(remaining));
                if start < end {
                    remaining -= end - start;
                    slices.push(IoSlice::new(&bytes[start..end]));
                }
                remaining > 0 && slices.len() < MAX_WRITE_SLICES
            });
            if !has_room {
                break;
            }
        }
        slices
    }
}
