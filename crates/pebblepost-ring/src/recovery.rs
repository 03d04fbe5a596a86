//! Recovers the newest complete journal from the segments on disk.
//!
//! A chain is a list of segments in which each one names its predecessor.

use crate::{
    error::{RingError, Step},
    format::{Checksum, Decoded, SEGMENT_HEADER_BYTES, SegmentHeader, decode_frame},
    replay::{Replay, Replayed},
    segments::{Segment, slot_name, slot_of},
    storage::Storage,
};
use std::{collections::BTreeMap, io};

/// Size of the read buffer, which has to hold the longest frame.
const READ_BUFFER_BYTES: usize = 256 * 1024;
/// Maximum length of a chain that is read in one pass, in segments. Longer chains are read twice: the
/// first pass finds the newest checkpoint, so that the second needn't hold in memory the records that
/// it replaces.
const MAX_SINGLE_PASS_SEGMENTS: usize = 16;

/// Result of a recovery.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// Slots of all segment files on disk.
    pub(crate) slots: Vec<u32>,
    /// Live segments, in order.
    pub(crate) chain: Vec<Segment>,
    /// Segments after the live ones that hold no complete record or checkpoint. They must not be
    /// reused until a newer segment is durable: until then, they are what distinguishes the newest
    /// journal from stale segments.
    pub(crate) incomplete: Vec<Segment>,
    /// Highest segment number found, in live or stale segments; 0 without segments.
    pub(crate) highest_number: u64,
    /// Replayed content of the live segments.
    pub(crate) replayed: Replayed,
}

/// A segment whose header is valid.
#[derive(Clone, Copy, Debug)]
struct FoundSegment {
    slot: u32,
    header: SegmentHeader,
}

/// Reads all segments of the ring with this `identity`.
///
/// # Errors
///
/// Fails with [`RingError::Damaged`] if segments exist but none ends a complete journal, or if the
/// storage fails.
pub(crate) fn recover<S: Storage>(
    storage: &mut S, identity: u64, checksum: Checksum,
) -> Result<Recovery, RingError> {
    let mut slots = list_slots(storage).map_err(RingError::storage(Step::Recovery))?;
    slots.sort_unstable();
    let found =
        read_headers(storage, &slots, identity, checksum).map_err(RingError::storage(Step::Recovery))?;
    let highest_number = found.keys().next_back().copied().unwrap_or(0);
    let mut reader = ChainReader { storage, checksum, buffer: vec![0; READ_BUFFER_BYTES] };
    // A header names a checkpoint only once it is durable. Segments before the newest such checkpoint
    // can't end the newest journal.
    let newest_checkpoint = found.values().map(|found| found.header.checkpoint_segment).max().unwrap_or(0);
    for newest in found.range(newest_checkpoint..).rev().map(|(_, found)| found) {
        let chain = chain_ending_with(newest, &found);
        let read = reader.read_newest_journal(&chain).map_err(RingError::storage(Step::Recovery))?;
        if let Some((chain, replayed)) = read {
            let (chain, incomplete) = split_incomplete(chain, &replayed);
            return Ok(Recovery { slots, chain, incomplete, highest_number, replayed });
        }
    }
    if !found.is_empty() {
        return Err(RingError::Damaged);
    }
    Ok(Recovery {
        slots,
        chain: Vec::new(),
        incomplete: Vec::new(),
        highest_number,
        replayed: Replay::new(1, 0).finish(),
    })
}

/// Splits a chain into the live segments and those after them, which hold only parts of a record or
/// checkpoint that was never completed. The journal continues before the latter.
fn split_incomplete(chain: &[FoundSegment], replayed: &Replayed) -> (Vec<Segment>, Vec<Segment>) {
    let segments = |found: &[FoundSegment]| {
        found.iter().map(|found| Segment { slot: found.slot, number: found.header.number }).collect()
    };
    let live_count = chain.partition_point(|found| found.header.first_sequence < replayed.next_sequence);
    (segments(&chain[..live_count]), segments(&chain[live_count..]))
}

fn list_slots<S: Storage>(storage: &mut S) -> io::Result<Vec<u32>> {
    Ok(storage.list()?.iter().filter_map(|name| slot_of(name)).collect())
}

fn read_headers<S: Storage>(
    storage: &mut S, slots: &[u32], identity: u64, checksum: Checksum,
) -> io::Result<BTreeMap<u64, FoundSegment>> {
    let mut found = BTreeMap::new();
    for &slot in slots {
        let mut file = storage.open(&slot_name(slot))?;
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        let count = storage.read_at(&mut file, 0, &mut bytes)?;
        if let Some(header) = SegmentHeader::decode(&bytes[..count], identity, checksum) {
            found.insert(header.number, FoundSegment { slot, header });
        }
    }
    Ok(found)
}

/// Returns the chain that ends with `newest`. It begins with the segment of the checkpoint that
/// `newest` names, or later if a predecessor was not found.
fn chain_ending_with(newest: &FoundSegment, found: &BTreeMap<u64, FoundSegment>) -> Vec<FoundSegment> {
    let mut chain = vec![*newest];
    let mut oldest = newest;
    while oldest.header.number != newest.header.checkpoint_segment
        && oldest.header.previous < oldest.header.number
    {
        let Some(previous) = found.get(&oldest.header.previous) else { break };
        chain.push(*previous);
        oldest = previous;
    }
    chain.reverse();
    chain
}

struct ChainReader<'a, S: Storage> {
    storage: &'a mut S,
    checksum: Checksum,
    buffer: Vec<u8>,
}

impl<S: Storage> ChainReader<'_, S> {
    /// Replays the longest contiguous end of a chain. Returns `None` if it holds no complete journal:
    /// it has no complete checkpoint and does not begin with the ring's first segment.
    fn read_newest_journal<'b>(
        &mut self, chain: &'b [FoundSegment],
    ) -> io::Result<Option<(&'b [FoundSegment], Replayed)>> {
        let mut keep_from = 0;
        if chain.len() > MAX_SINGLE_PASS_SEGMENTS {
            let (_, replayed) = self.read_contiguous(chain, u64::MAX)?;
            keep_from = replayed.checkpoint.map_or(0, |position| position.sequence);
        }
        let (chain, replayed) = self.read_contiguous(chain, keep_from)?;
        let starts_at_first_segment = chain[0].header.previous == 0;
        if !starts_at_first_segment && replayed.checkpoint.is_none() {
            return Ok(None);
        }
        let first_live = replayed.checkpoint.map_or(0, |position| position.segment);
        let live = chain.iter().position(|found| found.header.number >= first_live).unwrap_or(0);
        Ok(Some((&chain[live..], replayed)))
    }

    /// Replays a chain and returns its longest contiguous end. Where the frames of a segment don't end
    /// at the first sequence of the next one, the replay starts over with that next segment.
    fn read_contiguous<'b>(
        &mut self, chain: &'b [FoundSegment], keep_from: u64,
    ) -> io::Result<(&'b [FoundSegment], Replayed)> {
        let mut start = 0;
        let mut replay = Replay::new(chain[0].header.first_sequence, keep_from);
        for (index, segment) in chain.iter().enumerate() {
            let first_sequence = segment.header.first_sequence;
            if replay.next_sequence() != first_sequence {
                start = index;
                replay = Replay::new(first_sequence, keep_from);
            }
            let limit = chain.get(index + 1).map_or(u64::MAX, |next| next.header.first_sequence);
            self.read_segment(segment, limit, &mut replay)?;
        }
        Ok((&chain[start..], replay.finish()))
    }

    /// Replays the frames of a segment whose sequences are below `limit`.
    fn read_segment(&mut self, segment: &FoundSegment, limit: u64, replay: &mut Replay) -> io::Result<()> {
        let seed = segment.header.frame_seed(self.checksum);
        let mut file = self.storage.open(&slot_name(segment.slot))?;
        let mut window = ReadWindow { offset: SEGMENT_HEADER_BYTES as u64, start: 0, end: 0 };
        loop {
            let bytes = &self.buffer[window.start..window.end];
            match decode_frame(bytes, seed, self.checksum) {
                Decoded::Frame(frame, payload) => {
                    if frame.sequence != replay.next_sequence() || frame.sequence >= limit {
                        return Ok(());
                    }
                    window.start += payload.end;
                    replay.apply_frame(segment.header.number, frame, &bytes[payload]);
                }
                Decoded::Incomplete(needed) => {
                    self.refill(&mut file, &mut window)?;
                    if window.end < needed {
                        return Ok(());
                    }
                }
                Decoded::End => return Ok(()),
            }
        }
    }

    /// Moves the unread rest of the window to the start of the buffer and reads more bytes after it.
    fn refill(&mut self, file: &mut S::File, window: &mut ReadWindow) -> io::Result<()> {
        self.buffer.copy_within(window.start..window.end, 0);
        window.offset += window.start as u64;
        window.end -= window.start;
        window.start = 0;
        let next = window.offset + window.end as u64;
        window.end += self.storage.read_at(file, next, &mut self.buffer[window.end..])?;
        Ok(())
    }
}

/// Range of the buffer that holds bytes of a segment not yet replayed.
struct ReadWindow {
    /// Offset in the file that corresponds to the start of the buffer, in bytes.
    offset: u64,
    start: usize,
    end: usize,
}
