//! Replicas as processes, a relay on each directed pair of them, and the faults that are injected into both.

use super::replacement::{damage_file, join_replacement};
use super::retry::{query, retry_until};
use crate::fault::managed_process::ManagedProcess;
use crate::fault::schedule::{DiskDamage, Fault, FaultKind, Schedule};
use crate::fault::tcp_relay::{LinkState, Relay};
use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Ids that each place may have, one after another, as its disks are replaced.
const MAX_REPLACEMENTS: usize = 256;
/// A replica must have refused a damaged disk within this.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Disks of a cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounts {
    /// Lost or damaged, and replaced.
    pub replaced: usize,
    /// Of these, damaged and refused by the replica.
    pub refused: usize,
}

/// A cluster of replicas, and the links between them and from clients. The replica at place `i` of `n` has the id `i + 1`,
/// and `n` more with each disk that is replaced. The place after the last replica stands for all clients.
pub struct Cluster {
    program: PathBuf,
    replicas: Vec<ManagedProcess>,
    /// Their ids, by place.
    replica_ids: Vec<usize>,
    addresses: Vec<SocketAddr>,
    relays: BTreeMap<(usize, usize), Relay>,
    active: Vec<Fault>,
    folder: PathBuf,
    /// The replacement that joins: one at a time, or a majority might have lost what was committed.
    replacement: Option<JoinHandle<Result<()>>>,
    /// Disks that were lost or damaged.
    pub disks: DiskCounts,
    /// Replicas that ended by themselves, or did not where they had to, in words.
    pub crashed: Vec<String>,
}

fn replica_ip(place: usize) -> IpAddr {
    [127, 0, 1, u8::try_from(place + 1).unwrap_or(u8::MAX)].into()
}

impl Cluster {
    /// Starts so many replicas in a folder of their own, and forms a cluster of them.
    ///
    /// # Errors
    ///
    /// If a replica does not start, or the cluster does not form.
    pub async fn start(program: &Path, count: usize, folder: PathBuf) -> Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let mut addresses = Vec::new();
        for place in 0..count {
            // The port is still free when the replica binds it a moment later.
            addresses.push(TcpListener::bind((replica_ip(place), 0))?.local_addr()?);
        }
        let mut relays = BTreeMap::new();
        for from in 0..=count {
            for to in (0..count).filter(|to| *to != from) {
                relays.insert((from, to), Relay::open(replica_ip(from), addresses[to]).await?);
            }
        }
        let mut cluster = Self {
            program: program.to_owned(),
            replicas: Vec::new(),
            replica_ids: (1..=count).collect(),
            addresses,
            relays,
            active: Vec::new(),
            folder,
            replacement: None,
            disks: DiskCounts::default(),
            crashed: Vec::new(),
        };
        for place in 0..count {
            let mut replica = cluster.replica(place)?;
            replica.start()?;
            cluster.replicas.push(replica);
        }
        cluster.form().await?;
        Ok(cluster)
    }

    fn disk(&self, place: usize) -> PathBuf {
        self.folder.join(format!("keeper-{}", self.replica_ids[place]))
    }

    /// The replica at a place, with its present id; not started.
    fn replica(&self, place: usize) -> Result<ManagedProcess> {
        let (number, count) = (self.replica_ids[place], self.addresses.len());
        let mut dial = BTreeMap::new();
        for to in (0..count).filter(|to| *to != place) {
            let through = self.relays[&(place, to)].address.to_string();
            dial.extend(
                (0..MAX_REPLACEMENTS)
                    .map(|replacement| ((to + 1 + replacement * count).to_string(), through.clone())),
            );
        }
        let config = json!({
            "group": "rig", "id": number, "listen": self.addresses[place].to_string(),
            "folder": self.disk(place), "dial": dial, "session_s": 3.0,
        });
        let path = self.folder.join(format!("keeper-{number}.json"));
        std::fs::write(&path, config.to_string())?;
        let log = self.folder.join(format!("{}.log", place + 1));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.program);
        command.arg("keep").arg(path).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        Ok(ManagedProcess::new(command))
    }

    async fn form(&self) -> Result<()> {
        let mut peers = serde_json::Map::new();
        for (place, address) in self.addresses.iter().enumerate() {
            let status =
                retry_until(Duration::from_secs(20), async || query(*address, &json!("status")).await)
                    .await?;
            let disk = status.pointer("/status/disk").with_context(|| format!("no disk: {status}"))?.clone();
            peers.insert((place + 1).to_string(), json!({"address": address.to_string(), "disk": disk}));
        }
        let reply = query(self.addresses[0], &json!({"begin": peers})).await?;
        if reply != json!("done") {
            bail!("the cluster does not form: {reply}");
        }
        Ok(())
    }

    /// Addresses through which clients reach each replica, by place.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        let count = self.addresses.len();
        (0..count).map(|to| self.relays[&(count, to)].address).collect()
    }

    /// The same by the replicas' ids, as a dispatcher's operator file names them.
    pub fn named_addresses(&self) -> serde_json::Map<String, Value> {
        let named = |(place, address): (usize, &SocketAddr)| ((place + 1).to_string(), json!(address));
        self.client_addresses().iter().enumerate().map(named).collect()
    }

    /// Bytes between replicas so far.
    pub fn bytes_forwarded(&self) -> u64 {
        let count = self.addresses.len();
        self.relays
            .iter()
            .filter(|((from, _), _)| *from < count)
            .map(|(_, relay)| relay.bytes_forwarded())
            .sum()
    }

    /// Injects a fault.
    pub fn begin_fault(&mut self, fault: Fault) {
        match fault.kind {
            FaultKind::Kill(place) => self.replicas[place].kill(),
            FaultKind::Stop(place) => {
                self.replicas[place].stop(Duration::from_secs(3));
            }
            FaultKind::Pause(place) => self.replicas[place].pause(),
            FaultKind::Reset(from, to) => self.relays[&(from, to)].reset(),
            FaultKind::Disk(place, damage) => {
                self.replicas[place].kill();
                if !self.is_replacing()
                    && let Err(error) = self.damage_disk(place, damage)
                {
                    self.crashed.push(format!("the disk of replica {}: {error:#}", self.replica_ids[place]));
                }
            }
            FaultKind::Link(..)
            | FaultKind::Isolated(_)
            | FaultKind::IsolatedFromPeers(_)
            | FaultKind::InboundHeld(_) => {}
        }
        self.active.push(fault);
        self.apply_link_states();
    }

    fn is_replacing(&self) -> bool {
        self.replacement.as_ref().is_some_and(|replacement| !replacement.is_finished())
    }

    /// Damages the disk of a replica that was killed. Where something is left of it the replica must refuse to start on it.
    /// Then it is replaced by one with a new id and an empty disk, which joins once it is started.
    fn damage_disk(&mut self, place: usize, damage: DiskDamage) -> Result<()> {
        let file = self.disk(place).join("keeper.redb");
        damage_file(&file, damage)?;
        if damage != DiskDamage::Deleted {
            let replica = &mut self.replicas[place];
            replica.start()?;
            let end = Instant::now() + REFUSAL_TIMEOUT;
            while Instant::now() < end && replica.runs() {
                std::thread::sleep(Duration::from_millis(20));
            }
            let refused = replica.ended().is_some_and(|status| !status.success());
            replica.kill();
            self.disks.refused += usize::from(refused);
            // A flipped bit may be one that nothing reads.
            if !refused && damage == DiskDamage::Truncated {
                bail!("truncated, and served");
            }
        }
        self.disks.replaced += 1;
        let old = self.replica_ids[place];
        self.replica_ids[place] += self.addresses.len();
        self.replicas[place] = self.replica(place)?;
        let (new, at, addresses) = (self.replica_ids[place], self.addresses[place], self.client_addresses());
        self.replacement = Some(tokio::spawn(join_replacement(old, new, at, addresses)));
        Ok(())
    }

    /// Waits until a replacement that joins is a voter.
    ///
    /// # Errors
    ///
    /// If it is not within its time.
    pub async fn wait_for_replacement(&mut self) -> Result<()> {
        match self.replacement.take() {
            Some(replacement) => replacement.await?,
            None => Ok(()),
        }
    }

    /// Ends the fault of this number in the schedule, if it is active.
    ///
    /// # Errors
    ///
    /// If a process does not start.
    pub fn end_fault(&mut self, number: usize) -> Result<()> {
        let Some(i) = self.active.iter().position(|f| f.number == number) else { return Ok(()) };
        let fault = self.active.remove(i);
        self.apply_link_states();
        let held = |place: usize| self.active.iter().any(|f| f.kind.stops(place));
        let paused = |place: usize| {
            self.active.iter().any(|f| matches!(f.kind, FaultKind::Pause(paused) if paused == place))
        };
        match fault.kind {
            FaultKind::Kill(place) | FaultKind::Stop(place) | FaultKind::Disk(place, _) if !held(place) => {
                self.replicas[place].start()?
            }
            FaultKind::Pause(place) if !paused(place) => self.replicas[place].resume(),
            _ => {}
        }
        Ok(())
    }

    /// Sets each link to the state of the last active fault that concerns it.
    fn apply_link_states(&self) {
        for ((from, to), relay) in &self.relays {
            let of = |fault: &Fault| match fault.kind {
                FaultKind::Link(source, target, link) if (source, target) == (*from, *to) => Some(link),
                FaultKind::Isolated(place) if place == *from || place == *to => Some(LinkState::Partitioned),
                FaultKind::IsolatedFromPeers(place)
                    if *from < self.replicas.len() && (place == *from || place == *to) =>
                {
                    Some(LinkState::Partitioned)
                }
                FaultKind::InboundHeld(place) if place == *to => Some(LinkState::RequestsHeld),
                FaultKind::InboundHeld(place) if place == *from => Some(LinkState::RepliesHeld),
                _ => None,
            };
            relay.set(self.active.iter().filter_map(of).next_back().unwrap_or_default());
        }
    }

    /// Injects and ends the faults of a schedule at their times. `begins` is called before each begins.
    ///
    /// # Errors
    ///
    /// If a process does not start.
    pub async fn play(&mut self, schedule: &Schedule, mut begins: impl FnMut(&Fault)) -> Result<()> {
        let start = Instant::now();
        let mut steps: Vec<(f64, Option<Fault>, usize)> = Vec::new();
        for fault in &schedule.0 {
            steps.push((fault.begins_at_s, Some(*fault), fault.number));
            steps.push((fault.begins_at_s + fault.duration_s, None, fault.number));
        }
        steps.sort_by(|left, right| left.0.total_cmp(&right.0));
        for (at, fault, number) in steps {
            sleep(Duration::from_secs_f64((at - start.elapsed().as_secs_f64()).max(0.0))).await;
            self.restart_crashed()?;
            match fault {
                Some(fault) => {
                    begins(&fault);
                    tokio::task::block_in_place(|| self.begin_fault(fault));
                }
                None => self.end_fault(number)?,
            }
        }
        Ok(())
    }

    /// Notes replicas that ended without a fault, and starts them again.
    ///
    /// # Errors
    ///
    /// If one does not start.
    pub fn restart_crashed(&mut self) -> Result<()> {
        for (place, replica) in self.replicas.iter_mut().enumerate() {
            if let Some(status) = replica.ended()
                && !self.active.iter().any(|f| f.kind.stops(place))
            {
                self.crashed.push(format!("replica {} ended by itself: {status}", self.replica_ids[place]));
                replica.start()?;
            }
        }
        Ok(())
    }

    /// Ends all faults; all replicas run then.
    ///
    /// # Errors
    ///
    /// If one does not start.
    pub fn end_all_faults(&mut self) -> Result<()> {
        for number in self.active.iter().map(|f| f.number).collect::<Vec<_>>() {
            self.end_fault(number)?;
        }
        for replica in &mut self.replicas {
            replica.resume();
            replica.start()?;
        }
        Ok(())
    }

    /// The folder of the replicas' files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.replicas.clear();
        if std::env::var_os("PEBBLEPOST_RIG_LOG").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
