//! Request and response heads, parsed with `httparse`.

use super::malformed::Malformed;
use crate::buffer::Buffer;

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a message head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;

/// How a body is delimited (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length in bytes.
    Length(usize),
    /// With the chunked transfer coding.
    Chunked,
    /// By the end of the connection (responses only).
    UntilClose,
}

/// The parsed head of a request or a response.
#[derive(Debug)]
pub struct Head {
    /// Request method; empty for a response.
    pub method: String,
    /// Request target; empty for a response.
    pub target: String,
    /// Response status code; 0 for a request.
    pub status: u16,
    /// Headers in the order received: names in lower case, values trimmed.
    pub headers: Vec<(String, String)>,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection persists after this message.
    pub keep_alive: bool,
}

impl Head {
    /// Returns the value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    fn header_values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    fn new(headers: &[httparse::Header], version: u8) -> Self {
        let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
        let headers: Vec<_> =
            headers.iter().map(|header| (header.name.to_ascii_lowercase(), text(header.value))).collect();
        let mut head = Self {
            method: String::new(),
            target: String::new(),
            status: 0,
            headers,
            framing: Framing::Length(0),
            keep_alive: version == 1,
        };
        let options: Vec<String> = head
            .header_values("connection")
            .flat_map(|value| value.split(','))
            .map(|option| option.trim().to_ascii_lowercase())
            .collect();
        if options.iter().any(|option| option == "close") {
            head.keep_alive = false;
        } else if options.iter().any(|option| option == "keep-alive") {
            head.keep_alive = true;
        }
        head
    }

    /// Determines the framing from the headers; `None` if no header gives it.
    ///
    /// Different `Content-Length` values, or a length together with a transfer coding, are malformed: recipients could
    /// disagree on where the message ends (request smuggling, RFC 9112, section 11.2).
    ///
    /// # Errors
    ///
    /// Fails with 400 if the framing is malformed or ambiguous, with 501 for a transfer coding other than `chunked`.
    fn framing(&self) -> Result<Option<Framing>, Malformed> {
        let mut length = None;
        for value in self.header_values("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let bytes = value.parse::<usize>().ok().filter(|_| digits).ok_or(Malformed(400))?;
            if length.replace(bytes).is_some_and(|other| other != bytes) {
                return Err(Malformed(400));
            }
        }
        let codings: Vec<&str> = self
            .header_values("transfer-encoding")
            .flat_map(|value| value.split(','))
            .map(str::trim)
            .collect();
        match (codings.as_slice(), length) {
            ([], length) => Ok(length.map(Framing::Length)),
            ([coding], None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
            (_, Some(_)) => Err(Malformed(400)),
            _ => Err(Malformed(501)),
        }
    }
}

/// Removes a request head from the buffer and returns it; `None` if more bytes are needed.
///
/// # Errors
///
/// Fails if the head is malformed or too large, or declares a body larger than [`MAX_BODY_BYTES`].
pub fn take_request_head(input: &mut Buffer) -> Result<Option<Head>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let (head, used) = match request.parse(input.data()) {
        Ok(httparse::Status::Complete(used)) if used <= MAX_HEAD_BYTES => {
            let mut head = Head::new(request.headers, request.version.unwrap_or(1));
            head.method = request.method.unwrap_or_default().to_owned();
            head.target = request.path.unwrap_or_default().to_owned();
            (head, used)
        }
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Malformed(431));
        }
        Ok(httparse::Status::Partial) if input.len() >= MAX_HEAD_BYTES => return Err(Malformed(431)),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed(400)),
    };
    let head = Head { framing: head.framing()?.unwrap_or(Framing::Length(0)), ..head };
    if matches!(head.framing, Framing::Length(bytes) if bytes > MAX_BODY_BYTES) {
        return Err(Malformed(413));
    }
    input.consume(used);
    Ok(Some(head))
}

/// Removes a response head from the buffer and returns it; `None` if more bytes are needed. Interim (1xx) responses are
/// skipped.
///
/// # Errors
///
/// Fails if the head is malformed or too large.
pub fn take_response_head(input: &mut Buffer) -> Result<Option<Head>, Malformed> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let (mut head, used) = match response.parse(input.data()) {
            Ok(httparse::Status::Complete(used)) => {
                (Head::new(response.headers, response.version.unwrap_or(1)), used)
            }
            Ok(httparse::Status::Partial) if input.len() < MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(Malformed(502)),
        };
        head.status = response.code.unwrap_or_default();
        let framing = head.framing()?;
        input.consume(used);
        if (100..200).contains(&head.status) {
            continue;
        }
        let bodiless = matches!(head.status, 204 | 304);
        head.framing = if bodiless { Framing::Length(0) } else { framing.unwrap_or(Framing::UntilClose) };
        head.keep_alive &= head.framing != Framing::UntilClose;
        return Ok(Some(head));
    }
}
