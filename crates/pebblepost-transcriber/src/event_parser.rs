//! Incremental parser of `text/event-stream` (WHATWG HTML, section 9.2).

use bytes::{Bytes, BytesMut};

/// Largest event accepted.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, a number that rises within a stream.
    pub id: u64,
    /// Its data lines, joined by line feeds.
    pub data: Vec<u8>,
    /// Version of the weights from this event on, if it names one (`weight-versions`).
    pub weight_version: Option<u64>,
    /// Its bytes as received, with the empty line at its end.
    pub raw: Bytes,
}

/// The bytes are not a valid event of a transcriber: the id is missing, the id or version is not a number, or the event
/// is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid event")]
pub struct InvalidEvent;

/// Splits bytes into events. Lines end with LF or CRLF. Lines without an id or data, such as comments, are not an event
/// by themselves; they belong to the raw bytes of the next one.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Bytes received in one chunk, parsed without a copy while they contain complete events.
    chunk: Bytes,
    /// An event of which the end is not received yet.
    partial: BytesMut,
    /// Length of the part of `partial` that is searched for the end; it ends at the start of a line.
    searched: usize,
    /// The searched part contains an id or data.
    has_field: bool,
}

impl EventParser {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: Bytes) {
        if self.chunk.is_empty() && self.partial.is_empty() {
            self.chunk = bytes;
            return;
        }
        self.partial.extend_from_slice(&std::mem::take(&mut self.chunk));
        self.partial.extend_from_slice(&bytes);
    }

    /// Next event, if it is complete.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid event. The parser cannot be used any more.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, InvalidEvent> {
        if !self.partial.is_empty() {
            return self.next_in_partial();
        }
        let mut has_field = false;
        match find_end(&self.chunk, 0, &mut has_field) {
            Search::End(end) => parse(self.chunk.split_to(end)).map(Some),
            Search::Incomplete(searched) => {
                self.partial.extend_from_slice(&std::mem::take(&mut self.chunk));
                self.searched = searched;
                self.has_field = has_field;
                self.check_size()
            }
        }
    }

    /// Whether an incomplete event is left: an id, data, or an incomplete line.
    pub fn has_incomplete_event(&self) -> bool {
        let unsearched = self.partial[self.searched..].iter().chain(&self.chunk);
        self.has_field || unsearched.clone().next().is_some_and(|first| *first != b':')
    }

    fn next_in_partial(&mut self) -> Result<Option<StreamEvent>, InvalidEvent> {
        match find_end(&self.partial, self.searched, &mut self.has_field) {
            Search::End(end) => {
                let mut bytes = std::mem::take(&mut self.partial).freeze();
                let event = bytes.split_to(end);
                self.chunk = bytes;
                self.searched = 0;
                self.has_field = false;
                parse(event).map(Some)
            }
            Search::Incomplete(searched) => {
                self.searched = searched;
                self.check_size()
            }
        }
    }

    fn check_size(&self) -> Result<Option<StreamEvent>, InvalidEvent> {
        if self.partial.len() > MAX_EVENT_BYTES { Err(InvalidEvent) } else { Ok(None) }
    }
}

enum Search {
    /// The event ends before this offset.
    End(usize),
    /// The event does not end here; complete lines up to this offset are searched.
    Incomplete(usize),
}

/// Searches for the empty line that ends an event, from the start of a line on.
fn find_end(bytes: &[u8], from: usize, has_field: &mut bool) -> Search {
    let mut start = from;
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line = without_carriage_return(&bytes[start..start + length]);
        start += length + 1;
        if line.is_empty() && *has_field {
            return Search::End(start);
        }
        *has_field |= matches!(split_field(line).0, b"id" | b"data");
    }
    Search::Incomplete(start)
}

fn without_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Parses the fields of a complete event.
fn parse(raw: Bytes) -> Result<StreamEvent, InvalidEvent> {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    let mut weight_version = None;
    for line in raw.split(|byte| *byte == b'\n').map(without_carriage_return) {
        let (name, value) = split_field(line);
        match name {
            b"id" => id = Some(number(value)?),
            b"data" => match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            },
            b"weight-versions" => weight_version = Some(number(value)?),
            _ => {}
        }
    }
    let id = id.ok_or(InvalidEvent)?;
    Ok(StreamEvent { id, data: data.unwrap_or_default(), weight_version, raw })
}

/// Name and value of a line; one space after the colon is not part of the value. A comment has an
/// empty name.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, &[]),
    }
}

fn number(value: &[u8]) -> Result<u64, InvalidEvent> {
    let text = std::str::from_utf8(value).map_err(|_| InvalidEvent)?;
    text.trim().parse().map_err(|_| InvalidEvent)
}
