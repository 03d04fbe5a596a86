//! Folds the frames of a chain of segments, in order, into the live records.

use crate::format::{FRAME_HEADER_BYTES, Frame, FrameKind};

/// Where the newest complete checkpoint begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckpointPosition {
    /// Number of the segment that holds its begin marker.
    pub segment: u64,
    /// Sequence of its begin marker.
    pub sequence: u64,
}

/// A record of which not all frames have been seen yet.
#[derive(Debug)]
struct PartialRecord {
    sequence: u64,
    bytes: Vec<u8>,
}

/// A checkpoint of which the end marker has not been seen yet.
#[derive(Debug)]
struct OpenCheckpoint {
    position: CheckpointPosition,
    records_before: usize,
    bytes: u64,
}

/// State of a replay.
#[derive(Debug)]
pub struct Replay {
    next_sequence: u64,
    keep_from: u64,
    records: Vec<Vec<u8>>,
    partial: Option<PartialRecord>,
    open_checkpoint: Option<OpenCheckpoint>,
    checkpoint: Option<CheckpointPosition>,
    checkpoint_bytes: u64,
    journal_bytes: u64,
}

/// Outcome of a replay.
#[derive(Debug)]
pub struct Replayed {
    /// The live records, in order.
    pub records: Vec<Vec<u8>>,
    /// The newest complete checkpoint.
    pub checkpoint: Option<CheckpointPosition>,
    /// Bytes on disk of the newest complete checkpoint.
    pub checkpoint_bytes: u64,
    /// Bytes on disk of the records after it.
    pub journal_bytes: u64,
    /// Sequence after the last complete record or checkpoint.
    pub next_sequence: u64,
}

impl Replay {
    /// Starts at the sequence of the chain's first frame. Records of frames before `keep_from` are
    /// not kept.
    pub fn new(first_sequence: u64, keep_from: u64) -> Replay {
        Replay {
            next_sequence: first_sequence,
            keep_from,
            records: Vec::new(),
            partial: None,
            open_checkpoint: None,
            checkpoint: None,
            checkpoint_bytes: 0,
            journal_bytes: 0,
        }
    }

    /// Sequence that the next frame must have.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Takes the frame at [`Replay::next_sequence`], found in the segment of this number.
    pub fn frame(&mut self, segment: u64, frame: Frame, payload: &[u8]) {
        self.next_sequence = frame.sequence + 1;
        self.count(FRAME_HEADER_BYTES + payload.len());
        match frame.kind {
            FrameKind::Record => self.record(frame, payload),
            FrameKind::CheckpointBegin => self.begin_checkpoint(segment, frame.sequence),
            FrameKind::CheckpointEnd => self.end_checkpoint(),
        }
    }

    /// Ends the replay. What is not complete is dropped.
    pub fn finish(self) -> Replayed {
        let partial_start = self.partial.as_ref().map(|partial| partial.sequence);
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

    fn count(&mut self, bytes: usize) {
        match &mut self.open_checkpoint {
            Some(open) => open.bytes += bytes as u64,
            None => self.journal_bytes += bytes as u64,
        }
    }

    fn record(&mut self, frame: Frame, payload: &[u8]) {
        if frame.is_first {
            self.partial = Some(PartialRecord { sequence: frame.sequence, bytes: Vec::new() });
        }
        // Without its first frame the record began before the chain: a checkpoint replaces it.
        let Some(partial) = &mut self.partial else { return };
        let is_kept = partial.sequence >= self.keep_from;
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
