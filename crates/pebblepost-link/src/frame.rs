//! Encoding of frames, and decoding of frames from received bytes.

use crate::FrameError;
use crate::decode::decode;
use nanoserde::{DeBin, SerBin};

/// First bytes that each side of a link sends; names the protocol and the version of its messages.
pub(crate) const PREAMBLE: [u8; 8] = *b"pbplink1";

/// Size of the length field in front of each message, in bytes.
pub(crate) const LENGTH_FIELD_BYTES: usize = 4;
/// Minimum spare capacity of the buffer for a read.
const MIN_READ_BYTES: usize = 4 * 1024;
/// Maximum spare capacity of the buffer for a read, whatever length a frame announces. A peer can therefore not cause
/// large allocations without sending the data.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Maximum capacity of an empty buffer that is kept for further reads.
const MAX_RETAINED_BYTES: usize = 64 * 1024;

/// Appends a frame to the buffer. Returns false and leaves the buffer unchanged if the message is longer than
/// `max_bytes`.
pub(crate) fn append_frame<M: SerBin>(message: &M, buffer: &mut Vec<u8>, max_bytes: usize) -> bool {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_FIELD_BYTES]);
    message.ser_bin(buffer);
    let length = buffer.len() - start - LENGTH_FIELD_BYTES;
    match u32::try_from(length) {
        Ok(encoded) if length <= max_bytes => {
            buffer[start..start + LENGTH_FIELD_BYTES].copy_from_slice(&encoded.to_le_bytes());
            true
        }
        _ => {
            buffer.truncate(start);
            false
        }
    }
}

/// Decodes messages from the bytes received on a link.
#[derive(Debug)]
pub(crate) struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that are already decoded.
    consumed: usize,
    has_preamble: bool,
    max_frame_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder that expects the preamble first.
    pub(crate) fn new(max_frame_bytes: usize) -> FrameDecoder {
        FrameDecoder { buffer: Vec::new(), consumed: 0, has_preamble: false, max_frame_bytes }
    }

    /// Decodes the next message. Returns `None` if its frame is incomplete.
    pub(crate) fn next_message<M: DeBin>(&mut self) -> Result<Option<M>, FrameError> {
        if !self.skip_preamble()? {
            return Ok(None);
        }
        let Some(length) = self.frame_length()? else { return Ok(None) };
        let start = self.consumed + LENGTH_FIELD_BYTES;
        let Some(frame) = self.buffer.get(start..start + length) else { return Ok(None) };
        let message = decode(frame)?;
        self.consumed = start + length;
        Ok(Some(message))
    }

    /// Returns whether the buffer holds the start of an incomplete frame.
    pub(crate) fn has_partial_frame(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// Returns the buffer, with spare capacity, for a read to append to.
    pub(crate) fn read_buffer(&mut self) -> &mut Vec<u8> {
        self.discard_consumed();
        let missing = self.missing_bytes();
        self.buffer.reserve(missing.clamp(MIN_READ_BYTES, MAX_READ_BYTES));
        &mut self.buffer
    }

    /// Checks and consumes the preamble. Returns false while it is incomplete.
    fn skip_preamble(&mut self) -> Result<bool, FrameError> {
        if self.has_preamble {
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
        self.has_preamble = true;
        Ok(true)
    }

    fn frame_length(&self) -> Result<Option<usize>, FrameError> {
        let Some(prefix) = self.buffer[self.consumed..].first_chunk::<LENGTH_FIELD_BYTES>() else {
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

    /// Returns how many bytes of the current frame are missing; 0 while its length is not known.
    fn missing_bytes(&self) -> usize {
        match self.frame_length() {
            Ok(Some(length)) if self.has_preamble => {
                (LENGTH_FIELD_BYTES + length).saturating_sub(self.buffer.len() - self.consumed)
            }
            _ => 0,
        }
    }
}
