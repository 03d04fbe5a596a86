//! Encoding of frames, and cutting frames out of the bytes received.

use eyre::{Result, ensure, eyre};
use nanoserde::{DeBin, SerBin};
use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// First bytes on each side of a link: protocol and version of its messages.
pub(crate) const PREAMBLE: [u8; 8] = *b"pbplink1";

const LENGTH_BYTES: usize = 4;
/// Smallest spare room offered to a read.
const LEAST_READ_BYTES: usize = 4 * 1024;
/// Largest spare room made ahead of the data, however long a frame says it is.
const MOST_READ_AHEAD_BYTES: usize = 64 * 1024;
/// An empty buffer larger than this is given back.
const MOST_KEPT_BYTES: usize = 64 * 1024;

/// Appends a frame to the buffer. False, and the buffer as it was, if the message has more than `most_bytes`.
pub(crate) fn append<M: SerBin>(message: &M, buffer: &mut Vec<u8>, most_bytes: usize) -> bool {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    message.ser_bin(buffer);
    let length = buffer.len() - start - LENGTH_BYTES;
    match u32::try_from(length) {
        Ok(encoded) if length <= most_bytes => {
            buffer[start..start + LENGTH_BYTES].copy_from_slice(&encoded.to_le_bytes());
            true
        }
        _ => {
            buffer.truncate(start);
            false
        }
    }
}

/// Bytes received and not yet taken as messages.
#[derive(Debug)]
pub(crate) struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
    preamble_seen: bool,
    max_frame_bytes: usize,
}

impl Decoder {
    /// A decoder at the start of a link.
    pub(crate) fn new(max_frame_bytes: usize) -> Decoder {
        Decoder { buffer: Vec::new(), consumed: 0, preamble_seen: false, max_frame_bytes }
    }

    /// Next message, if all of it has been received.
    pub(crate) fn next<M: DeBin>(&mut self) -> Result<Option<M>> {
        if !self.take_preamble()? {
            return Ok(None);
        }
        let Some(length) = self.frame_length()? else { return Ok(None) };
        let start = self.consumed + LENGTH_BYTES;
        let Some(frame) = self.buffer.get(start..start + length) else { return Ok(None) };
        let message = decode(frame)?;
        self.consumed = start + length;
        Ok(Some(message))
    }

    /// Whether bytes are left that make no whole frame.
    pub(crate) fn is_inside_frame(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// The buffer, with room for a read.
    pub(crate) fn buffer_to_fill(&mut self) -> &mut Vec<u8> {
        self.discard_consumed();
        let missing = self.missing_bytes();
        self.buffer.reserve(missing.clamp(LEAST_READ_BYTES, MOST_READ_AHEAD_BYTES));
        &mut self.buffer
    }

    fn take_preamble(&mut self) -> Result<bool> {
        if self.preamble_seen {
            return Ok(true);
        }
        let received = self.buffer.len().min(PREAMBLE.len());
        ensure!(self.buffer[..received] == PREAMBLE[..received], "the other end speaks another protocol");
        if received < PREAMBLE.len() {
            return Ok(false);
        }
        self.consumed = PREAMBLE.len();
        self.preamble_seen = true;
        Ok(true)
    }

    fn frame_length(&self) -> Result<Option<usize>> {
        let Some(prefix) = self.buffer[self.consumed..].first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_le_bytes(*prefix))?;
        ensure!(
            length <= self.max_frame_bytes,
            "a frame of {length} bytes is over the {} allowed",
            self.max_frame_bytes
        );
        Ok(Some(length))
    }

    fn discard_consumed(&mut self) {
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            if self.buffer.capacity() > MOST_KEPT_BYTES {
                self.buffer = Vec::new();
            }
        } else if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
        }
        self.consumed = 0;
    }

    fn missing_bytes(&self) -> usize {
        match self.frame_length() {
            Ok(Some(length)) if self.preamble_seen => {
                (LENGTH_BYTES + length).saturating_sub(self.buffer.len() - self.consumed)
            }
            _ => 0,
        }
    }
}

thread_local! {
    static DECODING: Cell<bool> = const { Cell::new(false) };
}

/// Whether this thread is reading a message, where a panic is caught and ends the link only. A program whose panic
/// hook ends the process asks for it.
pub fn is_decoding() -> bool {
    DECODING.get()
}

/// Reads one message that takes up the whole frame. `nanoserde` trusts the lengths in what it reads and may
/// panic on a damaged one, which must not end the process.
pub fn decode<M: DeBin>(frame: &[u8]) -> Result<M> {
    let mut offset = 0;
    DECODING.set(true);
    let outcome = catch_unwind(AssertUnwindSafe(|| M::de_bin(&mut offset, frame)));
    DECODING.set(false);
    let message = outcome
        .map_err(|_| eyre!("a frame of {} bytes names an impossible length", frame.len()))?
        .map_err(|error| eyre!("a frame of {} bytes can't be read: {error}", frame.len()))?;
    ensure!(offset == frame.len(), "a frame of {} bytes has {} too many", frame.len(), frame.len() - offset);
    Ok(message)
}
