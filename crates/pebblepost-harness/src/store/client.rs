//! A desk: a client of the keepers that speaks the wire by its description, not by the store's own code.

use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// One keeper is waited for so long before the next is asked.
const EACH: Duration = Duration::from_millis(700);
const MAX_FRAME: usize = 8 * 1024 * 1024;

/// A connection that carries frames: JSON behind its length in four bytes.
pub struct Connection(TcpStream);

impl Connection {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    /// Sends one.
    pub async fn send(&mut self, message: &Value) -> Result<()> {
        let text = message.to_string();
        let mut bytes = u32::try_from(text.len())?.to_be_bytes().to_vec();
        bytes.extend_from_slice(text.as_bytes());
        Ok(self.0.write_all(&bytes).await?)
    }

    /// Receives one.
    pub async fn next(&mut self) -> Result<Value> {
        let length = self.0.read_u32().await? as usize;
        if length > MAX_FRAME {
            bail!("a frame of {length} bytes");
        }
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }
}

/// Who is thought to lead, by index; all desks share it.
pub type Leader = Arc<AtomicUsize>;

/// The desk.
pub struct StoreClient {
    addresses: Vec<SocketAddr>,
    leader: Leader,
    frames: Option<(usize, Connection)>,
    first: Option<usize>,
}

impl StoreClient {
    /// A desk that reaches the keepers at these addresses, the first being number 1.
    pub fn new(addresses: Vec<SocketAddr>, leader: Leader) -> Self {
        Self { addresses, leader, frames: None, first: None }
    }

    /// Whom the next request goes to first, whoever is thought to lead.
    pub fn turn_to(&mut self, at: usize) {
        self.first = Some(at);
    }

    async fn one(&mut self, at: usize, ask: &Value) -> Result<Value> {
        let mut frames = match self.frames.take() {
            Some((to, frames)) if to == at => frames,
            _ => Connection::open(self.addresses[at]).await?,
        };
        frames.send(ask).await?;
        let reply = frames.next().await?;
        self.frames = Some((at, frames));
        Ok(reply)
    }

    /// Asks until one answers who may. The error says what the last one said.
    pub async fn ask(&mut self, ask: &Value, within: Duration) -> Result<Value> {
        let (end, count) = (Instant::now() + within, self.addresses.len());
        let mut last = None;
        let mut at = self.first.take().unwrap_or_else(|| self.leader.load(Ordering::Relaxed)) % count;
        while Instant::now() < end {
            let next = (at + 1) % count;
            match timeout_at(end.min(Instant::now() + EACH), self.one(at, ask)).await {
                Ok(Ok(reply)) => {
                    let leader = reply.get("elsewhere").map(|l| l.as_u64().unwrap_or(0) as usize);
                    match leader {
                        // The numbers go round the places, as disks are replaced.
                        Some(leader @ 1..) if (leader - 1) % count != at => at = (leader - 1) % count,
                        Some(_) => at = next,
                        None if reply.get("failed").is_some() => at = next,
                        None => {
                            self.leader.store(at, Ordering::Relaxed);
                            return Ok(reply);
                        }
                    }
                    last = Some(reply.to_string());
                }
                Ok(Err(error)) => (last, at) = (Some(error.to_string()), next),
                Err(_) => {
                    self.frames = None;
                    (last, at) = (Some("no answer in time".to_owned()), next);
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
        bail!("{}", last.unwrap_or_default())
    }

    /// What an operation asks for, as a command.
    pub fn command(id: (u64, u64), worker: &str, drain: bool, tag: &str) -> Value {
        let op = if drain { json!({"drain": worker}) } else { json!({"undrain": worker}) };
        let act = json!({"change": {"ops": [op], "expect": [], "why": tag}});
        json!({"command": {"id": [id.0, id.1], "by": "desk", "at_ms": 0, "act": act}})
    }

    /// The tag of a worker's drain mark as of now; `None`: it has none.
    pub async fn read(&mut self, worker: &str, within: Duration) -> Result<Option<String>> {
        let key = format!("drain/{worker}");
        let reply = self.ask(&json!({"get": [key]}), within).await?;
        let entries = reply.pointer("/found/entries").with_context(|| format!("not found: {reply}"))?;
        Ok(tag(entries.get(&key)))
    }
}

/// The tag of a drain mark, as an entry of the state carries it.
pub fn tag(entry: Option<&Value>) -> Option<String> {
    Some(entry?.pointer("/value/drain/why")?.as_str().unwrap_or_default().to_owned())
}
