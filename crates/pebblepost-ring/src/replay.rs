//! Folds the frames of a chain of segments, in order, into the live records.

use crate::format::{FRAME_HEADER_BYTES, Frame, FrameKind};

/// The newest whole checkpoint seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckpointPlace {
    /// Number of the segment that holds its begin mark.
    pub segment: u64,
    /// Sequence of its begin mark.
    pub sequence: u64,
}

/// A record of which not all frames have been seen yet.
#[derive(Debug)]
struct PartialRecord {
    sequence: u64,
    bytes: Vec<u8>,
}

/// A checkpoint of which the end mark has not been seen yet.
#[derive(Debug)]
struct OpenCheckpoint {
    place: CheckpointPlace,
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
    checkpoint: Option<CheckpointPlace>,
    checkpoint_bytes: u64,
    journal_bytes: u64,
}

/// Outcome of a replay.
#[derive(Debug)]
pub struct Replayed {
    /// The live records, in order.
    pub records: Vec<Vec<u8>>,
    /// The newest whole checkpoint.
    pub checkpoint: Option<CheckpointPlace>,
    /// Bytes on disk of the newest whole checkpoint.
    pub checkpoint_bytes: u64,
    /// Bytes on disk of the records after it.
    pub journal_bytes: u64,
    /// Sequence after the last whole record or checkpoint.
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

    /// Ends the replay. What is not whole is dropped.
    pub fn finish(self) -> Replayed {
        let partial_start = self.partial.as_ref().map(|partial| partial.sequence);
        let checkpoint_start = self.open_checkpoint.as_ref().map(|open| open.place.sequence);
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
        if frame.first {
            self.partial = Some(PartialRecord { sequence: frame.sequence, bytes: Vec::new() });
        }
        // Without its first frame the record began before the chain: a checkpoint replaces it.
        let Some(partial) = &mut self.partial else { return };
        let keep = partial.sequence >= self.keep_from;
        if keep && frame.first && frame.last {
            partial.bytes = payload.to_vec();
        } else if keep {
            partial.bytes.extend_from_slice(payload);
        }
        if !frame.last {
            return;
        }
        if let Some(whole) = self.partial.take()
            && keep
        {
            self.records.push(whole.bytes);
        }
    }

    fn begin_checkpoint(&mut self, segment: u64, sequence: u64) {
        self.partial = None;
        self.open_checkpoint = Some(OpenCheckpoint {
            place: CheckpointPlace { segment, sequence },
            records_before: self.records.len(),
            bytes: FRAME_HEADER_BYTES as u64,
        });
    }

    fn end_checkpoint(&mut self) {
        let Some(open) = self.open_checkpoint.take() else { return };
        self.records.drain(..open.records_before);
        self.checkpoint = Some(open.place);
        self.checkpoint_bytes = open.bytes;
        self.journal_bytes = 0;
    }
}
