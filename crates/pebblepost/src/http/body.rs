//! Incremental decoder of message bodies.

use super::head::Framing;
use super::malformed::Malformed;
use crate::buffer::Buffer;

/// Maximum length of a chunk's size line, without its CRLF.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum total size of the trailer section.
const MAX_TRAILER_BYTES: usize = 4 * 1024;
/// Maximum number of hexadecimal digits in a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

#[derive(Debug)]
enum DecoderState {
    /// Reading data; holds the number of bytes still missing from the body or chunk.
    Data(usize),
    ChunkSize,
    ChunkEnd,
    /// Reading trailers; holds the number of bytes read so far.
    Trailers(usize),
    UntilClose,
    Complete,
}

/// Decoder of a message body whose bytes arrive in parts.
#[derive(Debug)]
pub struct Body {
    state: DecoderState,
    chunked: bool,
}

impl Body {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => DecoderState::Complete,
            Framing::Length(bytes) => DecoderState::Data(bytes),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Self { state, chunked: framing == Framing::Chunked }
    }

    /// Returns whether the whole body has been decoded.
    ///
    /// Stays `false` for [`Framing::UntilClose`], where only the end of the connection completes the body.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, DecoderState::Complete)
    }

    /// Decodes as much of `input` as possible and appends it to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is malformed or its trailers are too large.
    pub fn decode(&mut self, input: &mut Buffer, output: &mut Buffer) -> Result<(), Malformed> {
        while self.step(input, output)? {}
        Ok(())
    }

    /// Decodes one element; returns `false` if the body is complete or more bytes are needed.
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
                self.state = match parse_chunk_size(&line)? {
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

/// Parses the size line of a chunk. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<usize, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let valid =
        (1..=MAX_CHUNK_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid).ok_or(Malformed(400))?;
    usize::from_str_radix(text, 16).map_err(|_| Malformed(400))
}

/// Removes a line of at most `max_bytes` from the buffer and returns it without its CRLF; `None` if more bytes are needed.
///
/// # Errors
///
/// Fails if the line is longer, or ends in LF without CR.
fn take_line(input: &mut Buffer, max_bytes: usize) -> Result<Option<Vec<u8>>, Malformed> {
    let data = input.data();
    let Some(end) = data.iter().take(max_bytes + 2).position(|byte| *byte == b'\n') else {
        return if data.len() >= max_bytes + 2 { Err(Malformed(400)) } else { Ok(None) };
    };
    let line = data[..end].strip_suffix(b"\r").ok_or(Malformed(400))?.to_vec();
    input.consume(end + 1);
    Ok(Some(line))
}
