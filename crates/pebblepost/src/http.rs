//! Incremental HTTP/1.1: heads by `httparse`, bodies by length or in chunks, answers.

use crate::buffer::Buffer;
use serde_json::Value;
use std::time::Duration;

/// Largest head.
pub const MAX_HEAD: usize = 16 * 1024;
/// Largest body of a request.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;
/// Longest line with the size of a chunk, and all trailers together.
const MAX_CHUNK_LINE: usize = 256;
const MAX_TRAILERS: usize = 4 * 1024;

/// Why a message cannot be read; the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub u16);

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// Until the connection ends (responses only).
    UntilClose,
}

/// A parsed head, of a request or a response.
#[derive(Debug)]
pub struct Head {
    /// Method of a request.
    pub method: String,
    /// Target of a request.
    pub target: String,
    /// Status of a response.
    pub status: u16,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub framing: Framing,
    /// The connection goes on after this message.
    pub keep_alive: bool,
}

impl Head {
    /// The first header of that (lower-case) name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn new(headers: &[httparse::Header], version: u8) -> Self {
        let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_owned();
        let headers: Vec<_> = headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
        let mut head = Self {
            method: String::new(),
            target: String::new(),
            status: 0,
            headers,
            framing: Framing::Length(0),
            keep_alive: version == 1,
        };
        let options: Vec<String> = head
            .all("connection")
            .flat_map(|v| v.split(','))
            .map(|o| o.trim().to_ascii_lowercase())
            .collect();
        if options.iter().any(|o| o == "close") {
            head.keep_alive = false;
        } else if options.iter().any(|o| o == "keep-alive") {
            head.keep_alive = true;
        }
        head
    }

    /// Reads the framing; `None` if no header tells it. Two that differ, or a length beside chunks, could be
    /// read as different messages by different parties (request smuggling) and are malformed.
    fn framing(&self) -> Result<Option<Framing>, Malformed> {
        let mut length = None;
        for value in self.all("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let n = value.parse::<usize>().ok().filter(|_| digits).ok_or(Malformed(400))?;
            if length.replace(n).is_some_and(|other| other != n) {
                return Err(Malformed(400));
            }
        }
        let codings: Vec<&str> =
            self.all("transfer-encoding").flat_map(|v| v.split(',')).map(str::trim).collect();
        match (codings.as_slice(), length) {
            ([], length) => Ok(length.map(Framing::Length)),
            ([one], None) if one.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
            (_, Some(_)) => Err(Malformed(400)),
            _ => Err(Malformed(501)),
        }
    }
}

/// Takes the head of a request off the buffer; `None`: more bytes are needed.
pub fn request_head(input: &mut Buffer) -> Result<Option<Head>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let (head, used) = match request.parse(input.data()) {
        Ok(httparse::Status::Complete(used)) if used <= MAX_HEAD => {
            let mut head = Head::new(request.headers, request.version.unwrap_or(1));
            head.method = request.method.unwrap_or_default().to_owned();
            head.target = request.path.unwrap_or_default().to_owned();
            (head, used)
        }
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Malformed(431));
        }
        Ok(httparse::Status::Partial) if input.len() >= MAX_HEAD => return Err(Malformed(431)),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed(400)),
    };
    let head = Head { framing: head.framing()?.unwrap_or(Framing::Length(0)), ..head };
    if matches!(head.framing, Framing::Length(n) if n > MAX_BODY) {
        return Err(Malformed(413));
    }
    input.consume(used);
    Ok(Some(head))
}

/// Takes the head of a response off the buffer; `None`: more bytes are needed.
pub fn response_head(input: &mut Buffer) -> Result<Option<Head>, Malformed> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let (mut head, used) = match response.parse(input.data()) {
            Ok(httparse::Status::Complete(used)) => {
                (Head::new(response.headers, response.version.unwrap_or(1)), used)
            }
            Ok(httparse::Status::Partial) if input.len() < MAX_HEAD => return Ok(None),
            _ => return Err(Malformed(502)),
        };
        head.status = response.code.unwrap_or_default();
        let framing = head.framing()?;
        input.consume(used);
        if (100..200).contains(&head.status) {
            continue; // Interim answers precede the real one.
        }
        let none = matches!(head.status, 204 | 304);
        head.framing = if none { Framing::Length(0) } else { framing.unwrap_or(Framing::UntilClose) };
        head.keep_alive &= head.framing != Framing::UntilClose;
        return Ok(Some(head));
    }
}

#[derive(Debug)]
enum Step {
    Data(usize),
    Size,
    AfterData,
    Trailers(usize),
    Forever,
    Done,
}

/// Decodes a body piece by piece.
#[derive(Debug)]
pub struct Body {
    step: Step,
    chunked: bool,
}

impl Body {
    /// A body so framed.
    pub fn new(framing: Framing) -> Self {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(n) => Step::Data(n),
            Framing::Chunked => Step::Size,
            Framing::UntilClose => Step::Forever,
        };
        Self { step, chunked: framing == Framing::Chunked }
    }

    /// Whether all of it has been decoded.
    pub fn done(&self) -> bool {
        matches!(self.step, Step::Done)
    }

    /// Moves what can be decoded from `input` to `out`.
    pub fn decode(&mut self, input: &mut Buffer, out: &mut Buffer) -> Result<(), Malformed> {
        loop {
            match self.step {
                Step::Done => return Ok(()),
                Step::Forever => {
                    out.extend(input.data());
                    input.consume(input.len());
                    return Ok(());
                }
                Step::Data(left) => {
                    let n = left.min(input.len());
                    out.extend(&input.data()[..n]);
                    input.consume(n);
                    if n < left {
                        self.step = Step::Data(left - n);
                        return Ok(());
                    }
                    self.step = if self.chunked { Step::AfterData } else { Step::Done };
                }
                Step::Size => {
                    let Some(line) = take_line(input, MAX_CHUNK_LINE)? else { return Ok(()) };
                    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                    let sound = (1..=8).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
                    let text = std::str::from_utf8(digits).ok().filter(|_| sound).ok_or(Malformed(400))?;
                    let size = usize::from_str_radix(text, 16).map_err(|_| Malformed(400))?;
                    self.step = if size == 0 { Step::Trailers(0) } else { Step::Data(size) };
                }
                Step::AfterData => {
                    let Some(line) = take_line(input, 0)? else { return Ok(()) };
                    if !line.is_empty() {
                        return Err(Malformed(400));
                    }
                    self.step = Step::Size;
                }
                Step::Trailers(seen) => {
                    let Some(line) = take_line(input, MAX_TRAILERS - seen)? else { return Ok(()) };
                    self.step = if line.is_empty() { Step::Done } else { Step::Trailers(seen + line.len()) };
                    if seen + line.len() >= MAX_TRAILERS {
                        return Err(Malformed(431));
                    }
                }
            }
        }
    }
}

/// Takes a line that ends in CRLF, without that; `None`: more bytes are needed.
fn take_line(input: &mut Buffer, most: usize) -> Result<Option<Vec<u8>>, Malformed> {
    let data = input.data();
    let Some(end) = data.iter().take(most + 2).position(|b| *b == b'\n') else {
        return if data.len() >= most + 2 { Err(Malformed(400)) } else { Ok(None) };
    };
    let line = data[..end].strip_suffix(b"\r").ok_or(Malformed(400))?.to_vec();
    input.consume(end + 1);
    Ok(Some(line))
}

/// Takes a JSON object, on one line or indented over several, off a decoded stream of them; the inner `None` is an empty
/// line between two. `None`: more bytes are needed.
pub fn take_json(input: &mut Buffer) -> Result<Option<Option<Value>>, Malformed> {
    let data = input.data();
    let blank = data.iter().take_while(|b| b.is_ascii_whitespace()).count();
    if let Some(end) = data[..blank].iter().position(|b| *b == b'\n') {
        input.consume(end + 1);
        return Ok(Some(None));
    }
    // Parsed only where an object may have come to its end, as it comes in many pieces.
    if !data.contains(&b'}') {
        return Ok(None);
    }
    let mut objects = serde_json::Deserializer::from_slice(data).into_iter::<Value>();
    match objects.next() {
        Some(Ok(object)) => {
            let end = objects.byte_offset();
            // The end of its line is part of it, where that has come.
            let rest = &data[end..];
            let line_end =
                [&b"\r\n"[..], b"\n"].into_iter().find(|e| rest.starts_with(e)).map_or(0, <[u8]>::len);
            let end = end + line_end;
            input.consume(end);
            Ok(Some(Some(object)))
        }
        Some(Err(e)) if !e.is_eof() => Err(Malformed(502)),
        _ => Ok(None),
    }
}

/// Takes a line that ends in LF off a decoded stream of lines.
pub fn take_json_line(input: &mut Buffer) -> Option<Vec<u8>> {
    let end = input.data().iter().position(|b| *b == b'\n')?;
    let line = input.data()[..end].trim_ascii().to_vec();
    input.consume(end + 1);
    Some(line)
}

/// The usual phrase of a status.
pub fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// A whole answer. `extra`: further header lines, each with its CRLF.
pub fn answer(status: u16, extra: &str, body: &[u8], keep_alive: bool) -> Vec<u8> {
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let (phrase, n) = (phrase(status), body.len());
    let head = format!("HTTP/1.1 {status} {phrase}\r\nContent-Length: {n}\r\n{extra}{close}\r\n");
    [head.as_bytes(), body].concat()
}

/// The header that tells a rejected client when to come back, in seconds.
pub fn retry_after(after: Duration) -> String {
    format!("Retry-After: {:.3}\r\n", after.as_secs_f64())
}
