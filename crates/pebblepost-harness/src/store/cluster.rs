//! Replicas as processes, a relay on each directed link between them, and the injection of faults into both.

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

/// Number of ids that each replica index may use. Each replaced disk uses up one.
const MAX_IDS_PER_REPLICA: usize = 256;
/// Time limit for a replica to refuse a damaged disk.
const DISK_REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Numbers of disks of a cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounts {
    /// Disks that were lost or damaged, and replaced.
    pub replaced: usize,
    /// Damaged disks that the replica refused to start on.
    pub refused: usize,
}

/// A cluster of replicas, with the links between them and from clients.
///
/// The replica at index `i` of `n` starts with the id `i + 1`, which grows by `n` with each replacement of its disk.
/// The index after the last replica stands for all clients.
pub struct Cluster {
    program: PathBuf,
    replicas: Vec<ManagedProcess>,
    /// Current id of each replica, by index.
    replica_ids: Vec<usize>,
    addresses: Vec<SocketAddr>,
    relays: BTreeMap<(usize, usize), Relay>,
    active_faults: Vec<Fault>,
    folder: PathBuf,
    /// The replacement that is joining. Only one joins at a time: otherwise a majority could lose committed entries.
    replacement: Option<JoinHandle<Result<()>>>,
    /// Disks that were lost or damaged so far.
    pub disk_counts: DiskCounts,
    /// Descriptions of replicas that exited by themselves, or failed to exit where they had to.
    pub violations: Vec<String>,
}

fn replica_ip(index: usize) -> IpAddr {
    [127, 0, 1, u8::try_from(index + 1).unwrap_or(u8::MAX)].into()
}

impl Cluster {
    /// Starts `count` replicas in `folder` and forms a cluster of them.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica does not start, or the cluster does not form.
    pub async fn start(program: &Path, count: usize, folder: PathBuf) -> Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let mut addresses = Vec::new();
        for index in 0..count {
            // The listener is dropped at once. The port is expected to be still free when the replica binds it
            // shortly after.
            addresses.push(TcpListener::bind((replica_ip(index), 0))?.local_addr()?);
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
            active_faults: Vec::new(),
            folder,
            replacement: None,
            disk_counts: DiskCounts::default(),
            violations: Vec::new(),
        };
        for index in 0..count {
            let mut replica = cluster.replica_process(index)?;
            replica.start()?;
            cluster.replicas.push(replica);
        }
        cluster.bootstrap().await?;
        Ok(cluster)
    }

    fn disk_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("keeper-{}", self.replica_ids[index]))
    }

    /// Creates the process of the replica at `index` with its current id, without starting it.
    fn replica_process(&self, index: usize) -> Result<ManagedProcess> {
        let (id, count) = (self.replica_ids[index], self.addresses.len());
        let mut dial = BTreeMap::new();
        for to in (0..count).filter(|to| *to != index) {
            let relay_address = self.relays[&(index, to)].address.to_string();
            dial.extend(
                (0..MAX_IDS_PER_REPLICA)
                    .map(|replacement| ((to + 1 + replacement * count).to_string(), relay_address.clone())),
            );
        }
        let config = json!({
            "group": "rig", "id": id, "listen": self.addresses[index].to_string(),
            "folder": self.disk_folder(index), "dial": dial, "session_s": 3.0,
        });
        let path = self.folder.join(format!("keeper-{id}.json"));
        std::fs::write(&path, config.to_string())?;
        let log = self.folder.join(format!("{}.log", index + 1));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.program);
        command.arg("keep").arg(path).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        Ok(ManagedProcess::new(command))
    }

    async fn bootstrap(&self) -> Result<()> {
        let mut peers = serde_json::Map::new();
        for (index, address) in self.addresses.iter().enumerate() {
            let status =
                retry_until(Duration::from_secs(20), async || query(*address, &json!("status")).await)
                    .await?;
            let disk = status
                .pointer("/status/disk")
                .with_context(|| format!("status of the replica at {address} has no disk: {status}"))?
                .clone();
            peers.insert((index + 1).to_string(), json!({"address": address.to_string(), "disk": disk}));
        }
        let reply = query(self.addresses[0], &json!({"begin": peers})).await?;
        if reply != json!("done") {
            bail!("failed to form the cluster: expected \"done\", got {reply}");
        }
        Ok(())
    }

    /// Addresses through which clients reach the replicas, by index.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        let count = self.addresses.len();
        (0..count).map(|to| self.relays[&(count, to)].address).collect()
    }

    /// Addresses through which clients reach the replicas, by the ids of their first disks, as a dispatcher's
    /// operator file names them.
    pub fn client_addresses_by_id(&self) -> serde_json::Map<String, Value> {
        let named = |(index, address): (usize, &SocketAddr)| ((index + 1).to_string(), json!(address));
        self.client_addresses().iter().enumerate().map(named).collect()
    }

    /// Bytes forwarded between replicas so far.
    pub fn bytes_forwarded(&self) -> u64 {
        let count = self.addresses.len();
        self.relays
            .iter()
            .filter(|((from, _), _)| *from < count)
            .map(|(_, relay)| relay.bytes_forwarded())
            .sum()
    }

    /// Starts a fault.
    ///
    /// Blocks the thread while a replica stops or refuses a damaged disk.
    ///
    /// # Panics
    ///
    /// Panics if the fault names a replica or link that does not exist.
    pub fn begin_fault(&mut self, fault: Fault) {
        match fault.kind {
            FaultKind::Kill(index) => self.replicas[index].kill(),
            FaultKind::Stop(index) => {
                self.replicas[index].stop(Duration::from_secs(3));
            }
            FaultKind::Pause(index) => self.replicas[index].pause(),
            FaultKind::Reset(from, to) => self.relays[&(from, to)].reset_connections(),
            FaultKind::Disk(index, damage) => {
                self.replicas[index].kill();
                if !self.is_replacing()
                    && let Err(error) = self.damage_disk(index, damage)
                {
                    self.violations
                        .push(format!("disk fault at replica {}: {error:#}", self.replica_ids[index]));
                }
            }
            FaultKind::Link(..)
            | FaultKind::Isolated(_)
            | FaultKind::IsolatedFromPeers(_)
            | FaultKind::InboundHeld(_) => {}
        }
        self.active_faults.push(fault);
        self.apply_link_states();
    }

    fn is_replacing(&self) -> bool {
        self.replacement.as_ref().is_some_and(|replacement| !replacement.is_finished())
    }

    /// Damages the disk of a replica that was killed. Unless the file is deleted, the replica must refuse to start on
    /// it. The replica is then replaced by one with a new id and an empty disk, which joins once it is started.
    fn damage_disk(&mut self, index: usize, damage: DiskDamage) -> Result<()> {
        let file = self.disk_folder(index).join("keeper.redb");
        damage_file(&file, damage)?;
        if damage != DiskDamage::Deleted {
            let replica = &mut self.replicas[index];
            replica.start()?;
            let deadline = Instant::now() + DISK_REFUSAL_TIMEOUT;
            while Instant::now() < deadline && replica.is_running() {
                std::thread::sleep(Duration::from_millis(20));
            }
            let refused = replica.exit_status().is_some_and(|status| !status.success());
            replica.kill();
            self.disk_counts.refused += usize::from(refused);
            // A flipped bit may lie in a part of the file that is never read, so only truncation must be refused.
            if !refused && damage == DiskDamage::Truncated {
                bail!("replica did not refuse to start on a truncated disk");
            }
        }
        self.disk_counts.replaced += 1;
        let old = self.replica_ids[index];
        self.replica_ids[index] += self.addresses.len();
        self.replicas[index] = self.replica_process(index)?;
        let (new, at, addresses) = (self.replica_ids[index], self.addresses[index], self.client_addresses());
        self.replacement = Some(tokio::spawn(join_replacement(old, new, at, addresses)));
        Ok(())
    }

    /// Waits until the replacement in progress, if any, is a voter.
    ///
    /// # Errors
    ///
    /// Returns an error if the replacement has failed or timed out.
    pub async fn wait_for_replacement(&mut self) -> Result<()> {
        match self.replacement.take() {
            Some(replacement) => replacement.await?,
            None => Ok(()),
        }
    }

    /// Ends the fault with this number in its schedule, if it is active.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn end_fault(&mut self, number: usize) -> Result<()> {
        let Some(i) = self.active_faults.iter().position(|fault| fault.number == number) else {
            return Ok(());
        };
        let fault = self.active_faults.remove(i);
        self.apply_link_states();
        let is_stopped =
            |index: usize| self.active_faults.iter().any(|fault| fault.kind.stops_process(index));
        let is_paused = |index: usize| {
            self.active_faults
                .iter()
                .any(|fault| matches!(fault.kind, FaultKind::Pause(paused) if paused == index))
        };
        match fault.kind {
            FaultKind::Kill(index) | FaultKind::Stop(index) | FaultKind::Disk(index, _)
                if !is_stopped(index) =>
            {
                self.replicas[index].start()?
            }
            FaultKind::Pause(index) if !is_paused(index) => self.replicas[index].resume(),
            _ => {}
        }
        Ok(())
    }

    /// Sets each link to the state given by the most recent active fault that affects it.
    fn apply_link_states(&self) {
        for ((from, to), relay) in &self.relays {
            let link_state = |fault: &Fault| match fault.kind {
                FaultKind::Link(source, target, link) if (source, target) == (*from, *to) => Some(link),
                FaultKind::Isolated(index) if index == *from || index == *to => Some(LinkState::Partitioned),
                FaultKind::IsolatedFromPeers(index)
                    if *from < self.replicas.len() && (index == *from || index == *to) =>
                {
                    Some(LinkState::Partitioned)
                }
                FaultKind::InboundHeld(index) if index == *to => Some(LinkState::RequestsHeld),
                FaultKind::InboundHeld(index) if index == *from => Some(LinkState::RepliesHeld),
                _ => None,
            };
            relay.set_link_state(
                self.active_faults.iter().filter_map(link_state).next_back().unwrap_or_default(),
            );
        }
    }

    /// Starts and ends the faults of a schedule at their times. Calls `before_fault` before each fault starts.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn run_schedule(
        &mut self, schedule: &Schedule, mut before_fault: impl FnMut(&Fault),
    ) -> Result<()> {
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
                    before_fault(&fault);
                    tokio::task::block_in_place(|| self.begin_fault(fault));
                }
                None => self.end_fault(number)?,
            }
        }
        Ok(())
    }

    /// Records replicas that exited without a fault as violations, and restarts them.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica does not start.
    pub fn restart_crashed(&mut self) -> Result<()> {
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            if let Some(status) = replica.exit_status()
                && !self.active_faults.iter().any(|fault| fault.kind.stops_process(index))
            {
                self.violations.push(format!(
                    "replica {} exited without an injected fault: {status}",
                    self.replica_ids[index]
                ));
                replica.start()?;
            }
        }
        Ok(())
    }

    /// Ends all faults and makes sure that all replicas run.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica does not start.
    pub fn end_all_faults(&mut self) -> Result<()> {
        for number in self.active_faults.iter().map(|fault| fault.number).collect::<Vec<_>>() {
            self.end_fault(number)?;
        }
        for replica in &mut self.replicas {
            replica.resume();
            replica.start()?;
        }
        Ok(())
    }

    /// Folder of the replicas' files.
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
