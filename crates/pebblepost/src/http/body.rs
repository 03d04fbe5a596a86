//! Incremental decoding of message bodies.

use super::head::Framing;
use super::malformed::Malformed;
use crate::buffer::Buffer;

/// Longest line that gives the size of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Most bytes of all trailers together.
const MAX_TRAILER_BYTES: usize = 4 * 1024;
/// Most hexadecimal digits of a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

#[derive(Debug)]
enum DecoderState {
    /// This many bytes of data are missing.
    Data(usize),
    ChunkSize,
    ChunkEnd,
    /// This many bytes of trailers were read.
    Trailers(usize),
    UntilClose,
    Complete,
}

/// Decodes a body as its bytes arrive.
#[derive(Debug)]
pub struct Body {
    state: DecoderState,
    chunked: bool,
}

impl Body {
    /// A body with that framing, of which nothing was decoded yet.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => DecoderState::Complete,
            Framing::Length(bytes) => DecoderState::Data(bytes),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Self { state, chunked: framing == Framing::Chunked }
    }

    /// Whether all of it was decoded.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, DecoderState::Complete)
    }

    /// Moves what can be decoded from `input` to `output`.
    ///
    /// # Errors
    ///
    /// If the chunked coding is malformed.
    pub fn decode(&mut self, input: &mut Buffer, output: &mut Buffer) -> Result<(), Malformed> {
        while self.step(input, output)? {}
        Ok(())
    }

    /// Decodes one element; `false` if the body is complete or more bytes are needed.
    fn step(&mut self, input: &mut Buffer, output: &mut Buffer) -> Result<bool, Malformed> {
        match self.state {
            DecoderState::Complete => return Ok(false),
            DecoderState::UntilClose => {
                output.extend(input.data());
                input.consume(input.len());
                return Ok(false);
            }
            DecoderState::Data(missing) => {
                let count = missing.min(input.len());
                output.extend(&input.data()[..count]);
                input.consume(count);
                if count < missing {
                    self.state = DecoderState::Data(missing - count);
                    return Ok(false);
                }
                self.state = if self.chunked { DecoderState::ChunkEnd } else { DecoderState::Complete };
            }
            DecoderState::ChunkSize => {
                let Some(line) = take_line(input, MAX_CHUNK_LINE_BYTES)? else { return Ok(false) };
                self.state = match chunk_size(&line)? {
                    0 => DecoderState::Trailers(0),
                    bytes => DecoderState::Data(bytes),
                };
            }
            DecoderState::ChunkEnd => {
                let Some(line) = take_line(input, 0)? else { return Ok(false) };
                if !line.is_empty() {
                    return Err(Malformed(400));
                }
                self.state = DecoderState::ChunkSize;
            }
            DecoderState::Trailers(read) => {
                let Some(line) = take_line(input, MAX_TRAILER_BYTES - read)? else { return Ok(false) };
                self.state = if line.is_empty() {
                    DecoderState::Complete
                } else {
                    DecoderState::Trailers(read + line.len())
                };
                if read + line.len() >= MAX_TRAILER_BYTES {
                    return Err(Malformed(431));
                }
            }
        }
        Ok(true)
    }
}

/// The size in the first line of a chunk, whose extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<usize, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let valid =
        (1..=MAX_CHUNK_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid).ok_or(Malformed(400))?;
    usize::from_str_radix(text, 16).map_err(|_| Malformed(400))
}

/// Takes a line of at most `max_bytes` off the buffer, without its CRLF; `None` if more bytes are needed.
fn take_line(input: &mut Buffer, max_bytes: usize) -> Result<Option<Vec<u8>>, Malformed> {
    let data = input.data();
    let Some(end) = data.iter().take(max_bytes + 2).position(|byte| *byte == b'\n') else {
        return if data.len() >= max_bytes + 2 { Err(Malformed(400)) } else { Ok(None) };
    };
    let line = data[..end].strip_suffix(b"\r").ok_or(Malformed(400))?.to_vec();
    input.consume(end + 1);
    Ok(Some(line))
}
