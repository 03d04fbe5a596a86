//! Incremental parser of `text/event-stream`.

use bytes::{Bytes, BytesMut};

/// Largest event that is taken.
const MOST_EVENT_BYTES: usize = 1024 * 1024;

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id.
    pub id: u64,
    /// Its data lines, joined by line feeds.
    pub data: Vec<u8>,
    /// Version named in it, if it changes there.
    pub weight_version: Option<u64>,
    /// Its bytes as they came, the empty line at its end included.
    pub raw: Bytes,
}

/// Bytes that are no event of a transcriber's: no id, an id or a version that is no number, or
/// too many bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEvent;

/// Splits bytes into events. Lines end with LF or CRLF. What has neither an id nor data, such as
/// comments, is no event by itself; it belongs to the raw bytes of the event that follows.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Bytes that came in one piece and were not yet looked at whole.
    piece: Bytes,
    /// The beginning of an event whose rest has not come yet.
    beginning: BytesMut,
    /// How much of `beginning` was searched; it ends at the start of a line.
    searched: usize,
    /// An id or data were seen in the searched part.
    has_field: bool,
}

impl EventParser {
    /// Takes in more bytes.
    pub fn feed(&mut self, bytes: Bytes) {
        if self.piece.is_empty() && self.beginning.is_empty() {
            self.piece = bytes;
            return;
        }
        self.beginning.extend_from_slice(&std::mem::take(&mut self.piece));
        self.beginning.extend_from_slice(&bytes);
    }

    /// Next event, if all of it has come.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, InvalidEvent> {
        if !self.beginning.is_empty() {
            return self.next_in_beginning();
        }
        let mut has_field = false;
        match find_end(&self.piece, 0, &mut has_field) {
            Search::End(end) => parse(self.piece.split_to(end)).map(Some),
            Search::Incomplete(searched) => {
                self.beginning.extend_from_slice(&std::mem::take(&mut self.piece));
                self.searched = searched;
                self.has_field = has_field;
                self.check_size()
            }
        }
    }

    /// Whether a part of an event lies here: an id, data, or a line that was cut.
    pub fn is_inside_event(&self) -> bool {
        let unread = self.beginning[self.searched..].iter().chain(&self.piece);
        self.has_field || unread.clone().next().is_some_and(|first| *first != b':')
    }

    fn next_in_beginning(&mut self) -> Result<Option<StreamEvent>, InvalidEvent> {
        match find_end(&self.beginning, self.searched, &mut self.has_field) {
            Search::End(end) => {
                let mut whole = std::mem::take(&mut self.beginning).freeze();
                let event = whole.split_to(end);
                self.piece = whole;
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
        if self.beginning.len() > MOST_EVENT_BYTES { Err(InvalidEvent) } else { Ok(None) }
    }
}

enum Search {
    /// The event ends before this offset.
    End(usize),
    /// It does not end here; whole lines up to this offset were searched.
    Incomplete(usize),
}

/// Looks for the empty line that ends an event.
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

/// Reads the fields of a whole event.
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
