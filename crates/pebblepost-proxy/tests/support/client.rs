//! An HTTP client that writes raw text and returns responses as raw text.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum time for a response in a test.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// One connection to the proxy.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        Client { stream: TcpStream::connect(address).await.expect("connected"), buffer: Vec::new() }
    }

    /// Writes text, with each line feed replaced by CR LF.
    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.replace('\n', "\r\n").as_bytes()).await.expect("written");
    }

    /// Reads until `text` has arrived or the connection is closed. Returns everything read, including
    /// `text`.
    pub async fn read_until(&mut self, text: &str) -> String {
        let filled = tokio::time::timeout(RESPONSE_TIMEOUT, self.fill_until(text.as_bytes())).await;
        let end = filled.expect("the text in time");
        let end = end.unwrap_or(self.buffer.len());
        let taken: Vec<u8> = self.buffer.drain(..end).collect();
        String::from_utf8_lossy(&taken).replace("\r\n", "\n")
    }

    /// Reads the next response, head and body. `[closed]` marks the point where the connection ended.
    pub async fn response(&mut self) -> String {
        tokio::time::timeout(RESPONSE_TIMEOUT, self.read_response()).await.expect("a response in time")
    }

    async fn read_response(&mut self) -> String {
        let Some(end) = self.fill_until(b"\r\n\r\n").await else {
            return format!("{}[closed]", self.take(self.buffer.len()));
        };
        let head = self.take(end);
        let lower = head.to_lowercase();
        if lower.contains("transfer-encoding: chunked") {
            let body = match self.fill_until(b"0\r\n\r\n").await {
                Some(end) => self.take(end),
                None => format!("{}[closed]", self.take(self.buffer.len())),
            };
            return head + &body;
        }
        let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |value| value.parse().expect("a length"));
        while self.buffer.len() < length {
            if self.read().await == 0 {
                return format!("{head}{}[closed]", self.take(self.buffer.len()));
            }
        }
        head + &self.take(length)
    }

    /// Waits for the next read and returns whether the other end closed the connection.
    pub async fn is_closed(&mut self) -> bool {
        tokio::time::timeout(RESPONSE_TIMEOUT, self.read()).await.expect("an end in time") == 0
    }

    fn take(&mut self, length: usize) -> String {
        let taken: Vec<u8> = self.buffer.drain(..length).collect();
        String::from_utf8_lossy(&taken).replace("\r\n", "\n")
    }

    async fn fill_until(&mut self, text: &[u8]) -> Option<usize> {
        loop {
            if let Some(at) = self.buffer.windows(text.len()).position(|window| window == text) {
                return Some(at + text.len());
            }
            if self.read().await == 0 {
                return None;
            }
        }
    }

    async fn read(&mut self) -> usize {
        self.stream.read_buf(&mut self.buffer).await.unwrap_or(0)
    }
}
