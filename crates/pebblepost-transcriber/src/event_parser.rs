//! Incremental parser of `text/event-stream` (WHATWG HTML, section 9.2).

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes that are buffered for an incomplete event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event of a stream of a transcriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id of the event; increases within a stream.
    pub id: u64,
    /// Values of the `data` lines, joined by line feeds.
    pub data: Vec<u8>,
    /// Weight version from this event on, if the event names one (`weight-versions`).
    pub weight_version: Option<u64>,
    /// Bytes of the event as received, including the empty line at its end.
    pub raw: Bytes,
}

/// The bytes are not a valid event of a transcriber.
///
/// The id is missing, the id or weight version is not a number, or the event is larger than 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event has no id, has an id or weight version that is not a number, or is larger than 1 MiB")]
pub struct InvalidEvent;

/// Splits the received bytes of a stream into events.
///
/// Lines end with LF or CRLF. Lines without an id or data, such as comments, are not an event by themselves, even if an
/// empty line follows; they belong to the raw bytes of the next event.
#[derive(Debug, Default)]
pub struct EventParser {
    /// The last chunk of received bytes. Complete events are split off without a copy.
    chunk: Bytes,
    /// Bytes of an event whose end has not been received, copied from several chunks.
    partial: BytesMut,
    /// Length of the part of `partial` in which the end was searched for already. It ends at the start of a line.
    searched_len: usize,
    /// Whether the searched part contains an id or data.
    has_field: bool,
}

impl EventParser {
    /// Adds received bytes. Does not parse them; see [`EventParser::next_event`].
    pub fn feed(&mut self, bytes: Bytes) {
        if self.chunk.is_empty() && self.partial.is_empty() {
            self.chunk = bytes;
            return;
        }
        self.partial.extend_from_slice(&std::mem::take(&mut self.chunk));
        self.partial.extend_from_slice(&bytes);
    }

    /// Returns the next event, or `None` until it has been received completely.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid event. The parser must not be used after an error.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, InvalidEvent> {
        if !self.partial.is_empty() {
            return self.next_in_partial();
        }
        let mut has_field = false;
        match find_event_end(&self.chunk, 0, &mut has_field) {
            Search::End(end) => parse_event(self.chunk.split_to(end)).map(Some),
            Search::Incomplete(searched) => {
                self.partial.extend_from_slice(&std::mem::take(&mut self.chunk));
                self.searched_len = searched;
                self.has_field = has_field;
                self.check_partial_size()
            }
        }
    }

    /// Returns whether the bytes received after the last event are the start of another one.
    ///
    /// That is an id, data, or an incomplete line that is not a comment. A stream that ends there is truncated.
    pub fn has_incomplete_event(&self) -> bool {
        let unsearched = self.partial[self.searched_len..].iter().chain(&self.chunk);
        self.has_field || unsearched.clone().next().is_some_and(|first| *first != b':')
    }

    fn next_in_partial(&mut self) -> Result<Option<StreamEvent>, InvalidEvent> {
        match find_event_end(&self.partial, self.searched_len, &mut self.has_field) {
            Search::End(end) => {
                let mut bytes = std::mem::take(&mut self.partial).freeze();
                let event = bytes.split_to(end);
                self.chunk = bytes;
                self.searched_len = 0;
                self.has_field = false;
                parse_event(event).map(Some)
            }
            Search::Incomplete(searched) => {
                self.searched_len = searched;
                self.check_partial_size()
            }
        }
    }

    /// Returns `None`, or an error if the incomplete event is too large.
    fn check_partial_size(&self) -> Result<Option<StreamEvent>, InvalidEvent> {
        if self.partial.len() > MAX_EVENT_BYTES { Err(InvalidEvent) } else { Ok(None) }
    }
}

/// Result of the search for the end of an event.
enum Search {
    /// The event ends before this offset.
    End(usize),
    /// The end is not among the complete lines, which reach up to this offset.
    Incomplete(usize),
}

/// Searches for the empty line that ends an event. The search starts at `from`, which must be the start of a line.
///
/// Sets `has_field` once a line has an id or data; an empty line before that ends no event.
fn find_event_end(bytes: &[u8], from: usize, has_field: &mut bool) -> Search {
    let mut start = from;
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line = strip_carriage_return(&bytes[start..start + length]);
        start += length + 1;
        if line.is_empty() && *has_field {
            return Search::End(start);
        }
        *has_field |= matches!(split_field(line).0, b"id" | b"data");
    }
    Search::Incomplete(start)
}

fn strip_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Parses the lines of a complete event.
fn parse_event(raw: Bytes) -> Result<StreamEvent, InvalidEvent> {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    let mut weight_version = None;
    for line in raw.split(|byte| *byte == b'\n').map(strip_carriage_return) {
        let (name, value) = split_field(line);
        match name {
            b"id" => id = Some(parse_number(value)?),
            b"data" => match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            },
            b"weight-versions" => weight_version = Some(parse_number(value)?),
            _ => {}
        }
    }
    let id = id.ok_or(InvalidEvent)?;
    Ok(StreamEvent { id, data: data.unwrap_or_default(), weight_version, raw })
}

/// Splits a line into name and value. One space after the colon is not part of the value. The name of a comment is
/// empty.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, &[]),
    }
}

fn parse_number(value: &[u8]) -> Result<u64, InvalidEvent> {
    let text = std::str::from_utf8(value).map_err(|_| InvalidEvent)?;
    text.trim().parse().map_err(|_| InvalidEvent)
}
