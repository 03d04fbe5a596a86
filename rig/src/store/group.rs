//! Keepers as processes, a relay on each directed pair, and the faults that happen to both.

use super::desk::Frames;
use crate::fault::process::Victim;
use crate::fault::relay::{Relay, Wire};
use crate::fault::schedule::{Fault, What};
use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// A group of keepers, and the wires between them and to them. Keeper `i` has the number `i + 1`; the place after the
/// last keeper is the outside: the desks.
pub struct Group {
    keepers: Vec<Victim>,
    addresses: Vec<SocketAddr>,
    relays: BTreeMap<(usize, usize), Relay>,
    active: Vec<Fault>,
    folder: PathBuf,
    /// Keepers that ended by themselves.
    pub crashed: Vec<String>,
}

fn at(place: usize) -> IpAddr {
    [127, 0, 1, u8::try_from(place + 1).unwrap_or(u8::MAX)].into()
}

impl Group {
    /// Starts so many keepers in a folder of their own, and has them begin a group.
    pub async fn start(program: &Path, count: usize, folder: PathBuf) -> Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let mut addresses = Vec::new();
        for place in 0..count {
            // The port is free a moment later, when the keeper binds it.
            addresses.push(TcpListener::bind((at(place), 0))?.local_addr()?);
        }
        let mut relays = BTreeMap::new();
        for from in 0..=count {
            for to in (0..count).filter(|to| *to != from) {
                relays.insert((from, to), Relay::open(at(from), addresses[to]).await?);
            }
        }
        let mut keepers = Vec::new();
        for place in 0..count {
            let others = (0..count).filter(|to| *to != place);
            let dial: BTreeMap<String, String> =
                others.map(|to| ((to + 1).to_string(), relays[&(place, to)].address.to_string())).collect();
            let config = json!({
                "group": "rig", "id": place + 1, "listen": addresses[place].to_string(),
                "folder": folder.join(format!("keeper-{}", place + 1)), "dial": dial, "session_s": 3.0,
            });
            let path = folder.join(format!("keeper-{}.json", place + 1));
            std::fs::write(&path, config.to_string())?;
            let log =
                File::options().create(true).append(true).open(folder.join(format!("{}.log", place + 1)))?;
            let mut command = Command::new(program);
            command.arg("keep").arg(path).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
            let mut keeper = Victim::new(command);
            keeper.start()?;
            keepers.push(keeper);
        }
        let group = Self { keepers, addresses, relays, active: Vec::new(), folder, crashed: Vec::new() };
        group.begin().await?;
        Ok(group)
    }

    async fn begin(&self) -> Result<()> {
        let mut peers = serde_json::Map::new();
        for (place, address) in self.addresses.iter().enumerate() {
            let status =
                until(Duration::from_secs(20), async || ask(*address, &json!("status")).await).await?;
            let disk = status.pointer("/status/disk").with_context(|| format!("no disk: {status}"))?.clone();
            peers.insert((place + 1).to_string(), json!({"address": address.to_string(), "disk": disk}));
        }
        let said = ask(self.addresses[0], &json!({"begin": peers})).await?;
        if said != json!("done") {
            bail!("the group does not begin: {said}");
        }
        Ok(())
    }

    /// Where the desks reach each keeper.
    pub fn outside(&self) -> Vec<SocketAddr> {
        let count = self.addresses.len();
        (0..count).map(|to| self.relays[&(count, to)].address).collect()
    }

    /// Bytes carried between keepers so far.
    pub fn carried(&self) -> u64 {
        let count = self.addresses.len();
        self.relays.iter().filter(|((from, _), _)| *from < count).map(|(_, r)| r.carried()).sum()
    }

    /// A fault begins.
    pub fn begin_fault(&mut self, fault: Fault) {
        match fault.what {
            What::Kill(k) => self.keepers[k].kill(),
            What::Stop(k) => {
                self.keepers[k].stop(Duration::from_secs(3));
            }
            What::Pause(k) => self.keepers[k].pause(),
            What::Reset(from, to) => self.relays[&(from, to)].reset(),
            What::Wire(..) | What::Alone(_) | What::Apart(_) | What::Deaf(_) => {}
        }
        self.active.push(fault);
        self.rewire();
    }

    /// A fault is over.
    pub fn end_fault(&mut self, number: usize) -> Result<()> {
        let Some(i) = self.active.iter().position(|f| f.number == number) else { return Ok(()) };
        let fault = self.active.remove(i);
        self.rewire();
        let held =
            |k: usize| self.active.iter().any(|f| matches!(f.what, What::Kill(o) | What::Stop(o) if o == k));
        let paused = |k: usize| self.active.iter().any(|f| matches!(f.what, What::Pause(o) if o == k));
        match fault.what {
            What::Kill(k) | What::Stop(k) if !held(k) => self.keepers[k].start()?,
            What::Pause(k) if !paused(k) => self.keepers[k].resume(),
            _ => {}
        }
        Ok(())
    }

    /// Each wire does what the last fault that concerns it wants.
    fn rewire(&self) {
        for ((from, to), relay) in &self.relays {
            let of = |fault: &Fault| match fault.what {
                What::Wire(f, t, wire) if (f, t) == (*from, *to) => Some(wire),
                What::Alone(k) if k == *from || k == *to => Some(Wire::Cut),
                What::Apart(k) if *from < self.keepers.len() && (k == *from || k == *to) => Some(Wire::Cut),
                What::Deaf(k) if k == *to => Some(Wire::HoldsThere),
                What::Deaf(k) if k == *from => Some(Wire::HoldsBack),
                _ => None,
            };
            relay.set(self.active.iter().filter_map(of).next_back().unwrap_or_default());
        }
    }

    /// Notes keepers that ended though no fault was theirs, and starts them again.
    pub fn look(&mut self) -> Result<()> {
        for (k, keeper) in self.keepers.iter_mut().enumerate() {
            let mine = |f: &Fault| matches!(f.what, What::Kill(o) | What::Stop(o) if o == k);
            if let Some(status) = keeper.ended()
                && !self.active.iter().any(mine)
            {
                self.crashed.push(format!("keeper {} ended by itself: {status}", k + 1));
                keeper.start()?;
            }
        }
        Ok(())
    }

    /// All faults are over, and all keepers run.
    pub fn heal(&mut self) -> Result<()> {
        for number in self.active.iter().map(|f| f.number).collect::<Vec<_>>() {
            self.end_fault(number)?;
        }
        for keeper in &mut self.keepers {
            keeper.resume();
            keeper.start()?;
        }
        Ok(())
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.keepers.clear();
        if std::env::var_os("PEBBLEPOST_RIG_LOG").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

async fn ask(address: SocketAddr, message: &Value) -> Result<Value> {
    let work = async {
        let mut frames = Frames::open(address).await?;
        frames.send(message).await?;
        frames.next().await
    };
    timeout(Duration::from_secs(5), work).await?
}

/// Tries until it works, at most for so long.
pub async fn until<T>(limit: Duration, mut work: impl AsyncFnMut() -> Result<T>) -> Result<T> {
    let end = Instant::now() + limit;
    loop {
        match work().await {
            Ok(found) => return Ok(found),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}
