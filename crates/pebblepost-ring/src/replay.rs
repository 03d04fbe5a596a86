//! Replays the frames of a chain of segments, in order, into the live records.

use crate::format::{FRAME_HEADER_BYTES, Frame, FrameKind};

/// Position at which the newest complete checkpoint begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckpointPosition {
    /// Number of the segment that holds its begin marker.
    pub segment: u64,
    /// Sequence of its begin marker.
    pub sequence: u64,
}

/// A record whose last frame has not been replayed yet.
#[derive(Debug)]
struct PartialRecord {
    first_sequence: u64,
    bytes: Vec<u8>,
}

/// A checkpoint whose end marker has not been replayed yet.
#[derive(Debug)]
struct OpenCheckpoint {
    position: CheckpointPosition,
    /// Records before the begin marker; the checkpoint replaces them once it is complete.
    records_before: usize,
    bytes: u64,
}

/// A replay in progress.
#[derive(Debug)]
pub struct Replay {
    next_sequence: u64,
    keep_from_sequence: u64,
    records: Vec<Vec<u8>>,
    partial: Option<PartialRecord>,
    open_checkpoint: Option<OpenCheckpoint>,
    checkpoint: Option<CheckpointPosition>,
    checkpoint_bytes: u64,
    journal_bytes: u64,
}

/// Result of a replay.
#[derive(Debug)]
pub struct Replayed {
    /// Live records, in the order in which they were written.
    pub records: Vec<Vec<u8>>,
    /// The newest complete checkpoint.
    pub checkpoint: Option<CheckpointPosition>,
    /// Size on disk of the newest complete checkpoint, in bytes.
    pub checkpoint_bytes: u64,
    /// Size on disk of the records after it, in bytes.
    pub journal_bytes: u64,
    /// Sequence of the frame that follows the last complete record or checkpoint.
    pub next_sequence: u64,
}

impl Replay {
    /// Starts a replay at the sequence of the chain's first frame. Records that begin before the
    /// sequence `keep_from_sequence` are not kept in memory.
    pub fn new(first_sequence: u64, keep_from_sequence: u64) -> Replay {
        Replay {
            next_sequence: first_sequence,
            keep_from_sequence,
            records: Vec::new(),
            partial: None,
            open_checkpoint: None,
            checkpoint: None,
            checkpoint_bytes: 0,
            journal_bytes: 0,
        }
    }

    /// Returns the sequence that the next frame must have.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Applies the frame with the sequence [`Replay::next_sequence`], read from the segment with the
    /// number `segment`. The caller has checked the sequence.
    pub fn apply_frame(&mut self, segment: u64, frame: Frame, payload: &[u8]) {
        self.next_sequence = frame.sequence + 1;
        self.count_bytes(FRAME_HEADER_BYTES + payload.len());
        match frame.kind {
            FrameKind::Record => self.apply_record_frame(frame, payload),
            FrameKind::CheckpointBegin => self.begin_checkpoint(segment, frame.sequence),
            FrameKind::CheckpointEnd => self.end_checkpoint(),
        }
    }

    /// Ends the replay. An incomplete record or checkpoint at its end is dropped.
    pub fn finish(self) -> Replayed {
        let partial_start = self.partial.as_ref().map(|partial| partial.first_sequence);
        let checkpoint_start = self.open_checkpoint.as_ref().map(|open| open.position.sequence);
        let next_sequence = checkpoint_start.or(partial_start).unwrap_or(self.next_sequence);
        let mut records = self.records;
        if let Some(open) = &self.open_checkpoint {
            records.truncate(open.records_before);
        }
        Replayed {
            records,
            checkpoint: self.checkpoint,
            checkpoint_bytes: self.checkpoint_bytes,
            journal_bytes: self.journal_bytes,
            next_sequence,
        }
    }

    fn count_bytes(&mut self, bytes: usize) {
        match &mut self.open_checkpoint {
            Some(open) => open.bytes += bytes as u64,
            None => self.journal_bytes += bytes as u64,
        }
    }

    fn apply_record_frame(&mut self, frame: Frame, payload: &[u8]) {
        if frame.is_first {
            self.partial = Some(PartialRecord { first_sequence: frame.sequence, bytes: Vec::new() });
        }
        // A record without its first frame began before the chain, and a checkpoint replaces it.
        let Some(partial) = &mut self.partial else { return };
        let is_kept = partial.first_sequence >= self.keep_from_sequence;
        if is_kept && frame.is_first && frame.is_last {
            partial.bytes = payload.to_vec();
        } else if is_kept {
            partial.bytes.extend_from_slice(payload);
        }
        if !frame.is_last {
            return;
        }
        if let Some(complete) = self.partial.take()
            && is_kept
        {
            self.records.push(complete.bytes);
        }
    }

    fn begin_checkpoint(&mut self, segment: u64, sequence: u64) {
        self.partial = None;
        self.open_checkpoint = Some(OpenCheckpoint {
            position: CheckpointPosition { segment, sequence },
            records_before: self.records.len(),
            bytes: FRAME_HEADER_BYTES as u64,
        });
    }

    fn end_checkpoint(&mut self) {
        let Some(open) = self.open_checkpoint.take() else { return };
        self.records.drain(..open.records_before);
        self.checkpoint = Some(open.position);
        self.checkpoint_bytes = open.bytes;
        self.journal_bytes = 0;
    }
}
