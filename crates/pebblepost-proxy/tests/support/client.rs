//! A client that writes bytes and notes the answers as they come.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// No answer of a test takes longer.
const PATIENCE: Duration = Duration::from_secs(10);

/// One connection.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        Client { stream: TcpStream::connect(address).await.unwrap(), buffer: Vec::new() }
    }

    /// Writes text whose lines end with a line feed, as on the wire.
    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.replace('\n', "\r\n").as_bytes()).await.unwrap();
    }

    /// Reads until this text has come; what came, without it.
    pub async fn read_until(&mut self, text: &str) -> String {
        let end = tokio::time::timeout(PATIENCE, self.fill_until(text.as_bytes())).await.unwrap();
        let end = end.unwrap_or(self.buffer.len());
        let taken: Vec<u8> = self.buffer.drain(..end).collect();
        String::from_utf8_lossy(&taken).replace("\r\n", "\n")
    }

    /// The next answer, head and body; a note where the connection ended.
    pub async fn answer(&mut self) -> String {
        tokio::time::timeout(PATIENCE, self.read_answer()).await.expect("an answer in time")
    }

    async fn read_answer(&mut self) -> String {
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
        let length: usize = length.map_or(0, |value| value.parse().unwrap());
        while self.buffer.len() < length {
            if self.read().await == 0 {
                return format!("{head}{}[closed]", self.take(self.buffer.len()));
            }
        }
        head + &self.take(length)
    }

    /// Whether the other end closes the connection.
    pub async fn is_closed(&mut self) -> bool {
        tokio::time::timeout(PATIENCE, self.read()).await.expect("an end in time") == 0
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
