//! On-disk layout of the ring: identity file, segment headers and frames. No I/O happens here.
//!
//! All integers are little-endian. The checksum of a frame is seeded with the identity of the ring and
//! the number of the segment. Frames left over from an earlier use of the same file are therefore
//! never accepted as frames of the current segment.

use std::ops::Range;

/// Size of a segment header, in bytes.
pub const SEGMENT_HEADER_BYTES: usize = 64;
/// Size of a frame header, in bytes.
pub const FRAME_HEADER_BYTES: usize = 20;
/// Size of the identity file, in bytes.
pub const IDENTITY_BYTES: usize = 24;
/// Largest payload of a frame, in bytes. Longer records are split into several frames.
pub const MAX_FRAME_PAYLOAD_BYTES: usize = 128 * 1024;

const IDENTITY_MAGIC: u64 = 0x7062_5269_6e67_4944;
const SEGMENT_MAGIC: u64 = 0x7062_5269_6e67_5347;
const FRAME_MAGIC: u16 = 0xb35d;
const FLAG_FIRST: u8 = 1;
const FLAG_LAST: u8 = 2;

/// A checksum function over several parts, with a seed. Tests replace it to show that recovery relies
/// on it.
pub type Checksum = fn(seed: u32, parts: &[&[u8]]) -> u32;

/// Computes the CRC-32 of all parts; the checksum function of production rings.
pub fn crc32(seed: u32, parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(seed);
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

/// Content of the identity file, which exists only once a ring is fully formatted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Identity of the ring, which distinguishes its segments from those of other rings.
    pub identity: u64,
    /// Length of each segment file, in bytes.
    pub segment_bytes: u32,
}

impl Identity {
    /// Encodes the content of the identity file.
    pub fn encode(&self, checksum: Checksum) -> [u8; IDENTITY_BYTES] {
        let mut bytes = [0; IDENTITY_BYTES];
        bytes[0..8].copy_from_slice(&IDENTITY_MAGIC.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.identity.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.segment_bytes.to_le_bytes());
        let sum = checksum(0, &[&bytes[..20]]);
        bytes[20..24].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Decodes the content of the identity file. Returns `None` if its length, magic number or checksum
    /// is wrong.
    pub fn decode(bytes: &[u8], checksum: Checksum) -> Option<Identity> {
        if bytes.len() != IDENTITY_BYTES || read_u64(bytes, 0) != IDENTITY_MAGIC {
            return None;
        }
        if read_u32(bytes, 20) != checksum(0, &[&bytes[..20]]) {
            return None;
        }
        Some(Identity { identity: read_u64(bytes, 8), segment_bytes: read_u32(bytes, 16) })
    }
}

/// Header at the start of a segment file, written anew whenever the file is reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Identity of the ring.
    pub identity: u64,
    /// Number of the segment, unique within a ring: the upper 32 bits count the openings of the ring,
    /// the lower 32 bits the segments started by that opening.
    pub number: u64,
    /// Number of the preceding segment of the journal; 0 for the first one.
    pub previous: u64,
    /// Number of the segment in which the newest complete checkpoint begins; 0 if there was none when
    /// this segment was started.
    pub checkpoint_segment: u64,
    /// Sequence of the first frame. Frames with this or a higher sequence in earlier segments were
    /// never committed and are ignored.
    pub first_sequence: u64,
}

impl SegmentHeader {
    /// Encodes the segment header.
    pub fn encode(&self, checksum: Checksum) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        let fields = [
            SEGMENT_MAGIC,
            self.identity,
            self.number,
            self.previous,
            self.checkpoint_segment,
            self.first_sequence,
        ];
        for (index, field) in fields.iter().enumerate() {
            bytes[index * 8..index * 8 + 8].copy_from_slice(&field.to_le_bytes());
        }
        let sum = checksum(0, &[&bytes[..48]]);
        bytes[48..52].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Decodes a segment header. Returns `None` if it is damaged or belongs to a ring other than
    /// `identity`.
    pub fn decode(bytes: &[u8], identity: u64, checksum: Checksum) -> Option<SegmentHeader> {
        if bytes.len() < SEGMENT_HEADER_BYTES || read_u64(bytes, 0) != SEGMENT_MAGIC {
            return None;
        }
        if read_u32(bytes, 48) != checksum(0, &[&bytes[..48]]) || read_u64(bytes, 8) != identity {
            return None;
        }
        Some(SegmentHeader {
            identity,
            number: read_u64(bytes, 16),
            previous: read_u64(bytes, 24),
            checkpoint_segment: read_u64(bytes, 32),
            first_sequence: read_u64(bytes, 40),
        })
    }

    /// Returns the seed for the checksums of all frames in this segment.
    pub fn frame_seed(&self, checksum: Checksum) -> u32 {
        checksum(0, &[&self.identity.to_le_bytes(), &self.number.to_le_bytes()])
    }
}

/// Type of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A record or a part of one.
    Record,
    /// Start of a checkpoint. The records between this marker and the end marker replace all earlier
    /// ones.
    CheckpointBegin,
    /// End of a checkpoint, which becomes effective with this marker.
    CheckpointEnd,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Record => 1,
            FrameKind::CheckpointBegin => 2,
            FrameKind::CheckpointEnd => 3,
        }
    }

    fn from_code(code: u8) -> Option<FrameKind> {
        match code {
            1 => Some(FrameKind::Record),
            2 => Some(FrameKind::CheckpointBegin),
            3 => Some(FrameKind::CheckpointEnd),
            _ => None,
        }
    }
}

/// Header fields of a frame, except for payload length and checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type of the frame.
    pub kind: FrameKind,
    /// Whether this is the first frame of its record.
    pub is_first: bool,
    /// Whether this is the last frame of its record.
    pub is_last: bool,
    /// Position in the journal, one higher than that of the previous frame.
    pub sequence: u64,
}

/// Appends an encoded frame to `buffer`.
pub fn encode_frame(buffer: &mut Vec<u8>, frame: Frame, payload: &[u8], seed: u32, checksum: Checksum) {
    let flags = if frame.is_first { FLAG_FIRST } else { 0 } | if frame.is_last { FLAG_LAST } else { 0 };
    let mut header = [0; FRAME_HEADER_BYTES];
    header[0..2].copy_from_slice(&FRAME_MAGIC.to_le_bytes());
    header[2] = frame.kind.code();
    header[3] = flags;
    header[4..8].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[8..16].copy_from_slice(&frame.sequence.to_le_bytes());
    let sum = checksum(seed, &[&header[..16], payload]);
    header[16..20].copy_from_slice(&sum.to_le_bytes());
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(payload);
}

/// Result of [`decode_frame`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A valid frame, with the range of its payload in the input.
    Frame(Frame, Range<usize>),
    /// The input ends inside the frame; at least this many bytes are needed.
    Incomplete(usize),
    /// There is no valid frame: the journal ends here in this segment.
    End,
}

/// Decodes the frame at the start of `bytes`.
pub fn decode_frame(bytes: &[u8], seed: u32, checksum: Checksum) -> Decoded {
    if bytes.len() < FRAME_HEADER_BYTES {
        return Decoded::Incomplete(FRAME_HEADER_BYTES);
    }
    let length = read_u32(bytes, 4) as usize;
    let Some(kind) = FrameKind::from_code(bytes[2]) else { return Decoded::End };
    if u16::from_le_bytes([bytes[0], bytes[1]]) != FRAME_MAGIC || length > MAX_FRAME_PAYLOAD_BYTES {
        return Decoded::End;
    }
    let end = FRAME_HEADER_BYTES + length;
    if bytes.len() < end {
        return Decoded::Incomplete(end);
    }
    let payload = FRAME_HEADER_BYTES..end;
    if read_u32(bytes, 16) != checksum(seed, &[&bytes[..16], &bytes[payload.clone()]]) {
        return Decoded::End;
    }
    let flags = bytes[3];
    let frame = Frame {
        kind,
        is_first: flags & FLAG_FIRST != 0,
        is_last: flags & FLAG_LAST != 0,
        sequence: read_u64(bytes, 8),
    };
    Decoded::Frame(frame, payload)
}

/// Returns an upper bound of the bytes that a record of `length` bytes takes on disk, as long as it is
/// not split at the end of a segment. Capacity calculations reserve the headers for such splits.
pub fn stored_bytes(length: usize) -> u64 {
    (length + FRAME_HEADER_BYTES * (length / MAX_FRAME_PAYLOAD_BYTES + 1)) as u64
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    bytes[offset..offset + 8].iter().rev().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    bytes[offset..offset + 4].iter().rev().fold(0, |value, byte| value << 8 | u32::from(*byte))
}
