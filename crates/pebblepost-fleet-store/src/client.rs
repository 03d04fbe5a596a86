//! How members and operators reach the keepers: any of them is asked, the one that leads answers.

use crate::clock::unix_ms;
use crate::wire::{Ask, Say, Wire};
use pebblepost_fleet::{Action, Command, CommandResult, IncarnationId, Name, RequestId};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// One keeper is waited for so long before the next is asked.
const EACH: Duration = Duration::from_secs(2);
/// Between two rounds over all keepers: the first pause, doubled with each round, and the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// A request id that nobody else draws.
pub fn request_id() -> RequestId {
    RequestId(rand::random(), rand::random())
}

/// The id of a process that begins.
pub fn incarnation_id() -> IncarnationId {
    IncarnationId(rand::random(), rand::random())
}

/// A command that is asked for now, for the first time.
pub fn command(by: Name, act: Action) -> Command {
    Command { id: request_id(), issued_by: by, issued_at_ms: unix_ms(), action: act }
}

/// Why nothing was answered.
#[derive(Debug, Error)]
#[error("no keeper answered within {within:?}: {last}")]
pub struct Unreachable {
    /// How long was tried.
    pub within: Duration,
    /// What the last one tried said.
    pub last: String,
}

/// A client of the group.
#[derive(Debug)]
pub struct Client {
    keepers: BTreeMap<u64, String>,
    /// Who is asked first: whoever answered last, or is said to lead.
    at: u64,
    wire: Option<(u64, Wire)>,
}

impl Client {
    /// A client of these keepers, by number.
    pub fn new(keepers: BTreeMap<u64, String>) -> Self {
        let at = keepers.keys().next().copied().unwrap_or(0);
        Self { keepers, at, wire: None }
    }

    /// The keepers.
    pub fn keepers(&self) -> &BTreeMap<u64, String> {
        &self.keepers
    }

    async fn try_one(&mut self, id: u64, ask: &Ask) -> io::Result<Say> {
        let mut wire = match self.wire.take() {
            Some((to, wire)) if to == id => wire,
            _ => {
                let address = self.keepers.get(&id).ok_or(io::ErrorKind::NotFound)?;
                Wire::new(TcpStream::connect(address).await?)
            }
        };
        wire.send(ask).await?;
        let say = wire.next().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        self.wire = Some((id, wire));
        Ok(say)
    }

    fn next(&self, after: u64) -> u64 {
        let after = self.keepers.range(after + 1..).next().or_else(|| self.keepers.iter().next());
        after.map_or(0, |(id, _)| *id)
    }

    /// Asks until somebody answers who may, at most for so long. A command that is asked again goes by its id, so it is
    /// applied once.
    pub async fn ask(&mut self, ask: &Ask, within: Duration) -> Result<Say, Unreachable> {
        let end = Instant::now() + within;
        let mut last = "none was tried".to_owned();
        let mut tried = 0;
        while Instant::now() < end {
            let id = self.at;
            let limit = end.min(Instant::now() + EACH);
            match timeout_at(limit, self.try_one(id, ask)).await {
                Ok(Ok(Say::Elsewhere(Some(leader))))
                    if self.keepers.contains_key(&leader) && leader != id =>
                {
                    last = format!("keeper {id}: keeper {leader} leads");
                    self.at = leader;
                }
                Ok(Ok(Say::Elsewhere(_))) => {
                    last = format!("keeper {id}: nobody leads");
                    self.at = self.next(id);
                }
                Ok(Ok(Say::Failed(why))) => {
                    last = format!("keeper {id}: {why}");
                    self.at = self.next(id);
                }
                Ok(Ok(say)) => return Ok(say),
                Ok(Err(error)) => {
                    last = format!("keeper {id}: {error}");
                    self.at = self.next(id);
                }
                Err(_) => {
                    last = format!("keeper {id}: no answer");
                    self.wire = None;
                    self.at = self.next(id);
                }
            }
            tried += 1;
            let (rounds, rest) = (tried / self.keepers.len().max(1), tried % self.keepers.len().max(1));
            if rest == 0 {
                let (first, longest) = PAUSES;
                sleep((first * (1 << (rounds - 1).min(4))).min(longest)).await;
            }
        }
        Err(Unreachable { within, last })
    }

    /// Has a command applied.
    pub async fn command(
        &mut self, command: &Command, within: Duration,
    ) -> Result<CommandResult, Unreachable> {
        match self.ask(&Ask::Command(command.clone()), within).await? {
            Say::Answer(answer) => Ok(answer),
            other => Err(Unreachable { within, last: format!("an answer out of place: {other:?}") }),
        }
    }

    /// Opens a watch at one keeper, from a revision on: the last that answered, or the next if `other`.
    pub async fn watch(&mut self, from: u64, other: bool) -> io::Result<Wire> {
        if other {
            self.at = self.next(self.at);
        }
        let address = self.keepers.get(&self.at).ok_or(io::ErrorKind::NotFound)?;
        let open = async {
            let mut wire = Wire::new(TcpStream::connect(address).await?);
            wire.send(&Ask::Watch(from)).await?;
            Ok(wire)
        };
        timeout(EACH, open).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}
