//! Encoding of frames, and reassembly of frames from the bytes received.

use crate::FrameError;
use crate::decode::decode;
use nanoserde::{DeBin, SerBin};

/// First bytes on each side of a link: protocol and version of its messages.
pub(crate) const PREAMBLE: [u8; 8] = *b"pbplink1";

/// Size of the length in front of each frame.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Smallest spare capacity offered to a read.
const MIN_READ_BYTES: usize = 4 * 1024;
/// Largest spare capacity reserved ahead of the data, however long a frame announces to be.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// An empty buffer with more capacity is released.
const MAX_RETAINED_BYTES: usize = 64 * 1024;

/// Appends a frame to the buffer. Returns false, with the buffer unchanged, if the message has more than
/// `max_bytes`.
pub(crate) fn append<M: SerBin>(message: &M, buffer: &mut Vec<u8>, max_bytes: usize) -> bool {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    message.ser_bin(buffer);
    let length = buffer.len() - start - LENGTH_BYTES;
    match u32::try_from(length) {
        Ok(encoded) if length <= max_bytes => {
            buffer[start..start + LENGTH_BYTES].copy_from_slice(&encoded.to_le_bytes());
            true
        }
        _ => {
            buffer.truncate(start);
            false
        }
    }
}

/// Bytes received and not yet decoded.
#[derive(Debug)]
pub(crate) struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that are decoded already.
    consumed: usize,
    preamble_seen: bool,
    max_frame_bytes: usize,
}

impl FrameDecoder {
    /// A decoder at the start of a link.
    pub(crate) fn new(max_frame_bytes: usize) -> FrameDecoder {
        FrameDecoder { buffer: Vec::new(), consumed: 0, preamble_seen: false, max_frame_bytes }
    }

    /// Next message, if its frame is complete.
    pub(crate) fn next<M: DeBin>(&mut self) -> Result<Option<M>, FrameError> {
        if !self.skip_preamble()? {
            return Ok(None);
        }
        let Some(length) = self.frame_length()? else { return Ok(None) };
        let start = self.consumed + LENGTH_BYTES;
        let Some(frame) = self.buffer.get(start..start + length) else { return Ok(None) };
        let message = decode(frame)?;
        self.consumed = start + length;
        Ok(Some(message))
    }

    /// Whether bytes of an incomplete frame are left.
    pub(crate) fn is_inside_frame(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// The buffer with spare capacity, for a read to append to.
    pub(crate) fn read_buffer(&mut self) -> &mut Vec<u8> {
        self.discard_consumed();
        let missing = self.missing_bytes();
        self.buffer.reserve(missing.clamp(MIN_READ_BYTES, MAX_READ_AHEAD_BYTES));
        &mut self.buffer
    }

    /// Consumes the preamble. Returns false while it is incomplete.
    fn skip_preamble(&mut self) -> Result<bool, FrameError> {
        if self.preamble_seen {
            return Ok(true);
        }
        let received = self.buffer.len().min(PREAMBLE.len());
        if self.buffer[..received] != PREAMBLE[..received] {
            return Err(FrameError::WrongPreamble);
        }
        if received < PREAMBLE.len() {
            return Ok(false);
        }
        self.consumed = PREAMBLE.len();
        self.preamble_seen = true;
        Ok(true)
    }

    fn frame_length(&self) -> Result<Option<usize>, FrameError> {
        let Some(prefix) = self.buffer[self.consumed..].first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length_bytes = usize::try_from(u32::from_le_bytes(*prefix)).unwrap_or(usize::MAX);
        if length_bytes > self.max_frame_bytes {
            return Err(FrameError::TooLarge { length_bytes, max_frame_bytes: self.max_frame_bytes });
        }
        Ok(Some(length_bytes))
    }

    fn discard_consumed(&mut self) {
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            if self.buffer.capacity() > MAX_RETAINED_BYTES {
                self.buffer = Vec::new();
            }
        } else if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
        }
        self.consumed = 0;
    }

    /// Bytes missing from the frame whose length is known.
    fn missing_bytes(&self) -> usize {
        match self.frame_length() {
            Ok(Some(length)) if self.preamble_seen => {
                (LENGTH_BYTES + length).saturating_sub(self.buffer.len() - self.consumed)
            }
            _ => 0,
        }
    }
}
