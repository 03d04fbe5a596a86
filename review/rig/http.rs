//! A small HTTP/1.1 client and server on blocking sockets. Only what the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a message, and its body where it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, split at spaces: method and path, or version and status.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
    pub fn path(&self) -> &str {
        &self.start[1]
    }
    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65536];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Reads a head. `None` if the peer closed before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(broken("head cut short")) };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().split(' ').map(str::to_owned).collect();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { start, headers, body: Vec::new() }))
    }

    /// Reads the body of a message whose head was read. `to_end`: without a length it ends with the connection.
    pub fn read_body(&mut self, message: &mut Message, to_end: bool) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
        if chunked {
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| broken("bad chunk"))?;
                let chunk = self.read_exact(size)?;
                message.body.extend_from_slice(&chunk);
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        } else if let Some(length) = length {
            message.body = self.read_exact(length)?;
        } else if to_end {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(broken("ended early"));
            }
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(broken("ended early"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0; 1];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        self.stream.set_nonblocking(false).is_err() || closed
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        self.write(&response(status, headers, body))
    }
}

/// The bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection and reads the whole response.
pub fn exchange(
    connection: &mut Connection, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8],
) -> io::Result<Message> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    connection.write(&bytes)?;
    let mut head = connection.read_head()?.ok_or_else(|| broken("closed without an answer"))?;
    connection.read_body(&mut head, true)?;
    Ok(head)
}

/// Sends a request on a new connection.
pub fn call(
    address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    exchange(&mut Connection::new(stream), method, path, headers, body)
}

/// Calls the control plane: the next address after a failure, and redirects followed twice.
pub fn call_control(
    addresses: &[SocketAddr], method: &str, path: &str, headers: &[(&str, &str)], body: &[u8],
) -> Option<Message> {
    for address in addresses {
        let mut next = *address;
        for _ in 0..3 {
            let host = next.to_string();
            let mut all = vec![("Host", host.as_str()), ("Content-Type", "application/json")];
            all.extend_from_slice(headers);
            let Ok(response) = call(next, method, path, &all, body, Duration::from_secs(1)) else { break };
            if response.status() != 307 {
                if response.status() >= 500 {
                    break;
                }
                return Some(response);
            }
            let location = response.header("location").unwrap_or_default().to_owned();
            let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
            let Ok(address) = authority.parse() else { break };
            next = address;
        }
    }
    None
}
