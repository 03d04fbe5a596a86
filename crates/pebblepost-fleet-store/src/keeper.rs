//! A keeper: it listens, takes part in the group, and answers members, operators and other keepers.

use crate::client::command;
use crate::clock::since;
use crate::disk::{Disk, DiskError};
use crate::group::Raft;
use crate::machine::Machine;
use crate::network::Network;
use crate::wire::{Ask, Envelope, Message, Reply, Say, Status, Wire};
use openraft::error::{ClientWriteError, RaftError};
use openraft::{ChangeMembers, Config, SnapshotPolicy};
use pebblepost_fleet::heartbeat::HeartbeatReport;
use pebblepost_fleet::leader::{HeartbeatOutcome, Sessions, drain_status, majority_update, request_totals};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::{Action, Command, Key, Name};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Most connections at a time.
pub const MAX_CONNECTIONS: usize = 2_048;
/// A connection on which nothing is asked for so long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// Who does not read what it is sent for so long is closed.
const SLOW: Duration = Duration::from_secs(5);
/// While nothing changes a watch says so this often.
const CURRENT: Duration = Duration::from_millis(500);
/// Most changes in one frame of a watch.
const BATCH: usize = 64;
/// Most changes that `History` tells.
const MAX_HISTORY: usize = 1_000;
/// The sessions are looked at this often.
const LOOK: Duration = Duration::from_millis(250);
/// A command is answered within this, or with [`Say::Failed`].
const PATIENCE: Duration = Duration::from_secs(5);

/// What a keeper is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the group.
    pub group: String,
    /// Its number: never used before in this group by another disk.
    pub id: u64,
    /// Where it listens; loopback.
    pub listen: SocketAddr,
    /// Its folder.
    pub folder: PathBuf,
    /// Where others are reached from here, if not at the address that the group knows.
    pub dial: BTreeMap<u64, String>,
    /// How long a member's session lasts without a beat.
    pub session: Duration,
    /// How often the leader is heard.
    pub heartbeat: Duration,
}

/// Why a keeper ended.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// The disk cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// It cannot listen.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// It has stopped: the disk failed, or what is on it makes no sense.
    #[error("the keeper has stopped: {0}")]
    Stopped(String),
}

/// A running keeper.
#[derive(Clone)]
struct Keeper {
    settings: Arc<Settings>,
    disk: Disk,
    machine: Machine,
    raft: Raft,
    /// As it asks for something itself.
    name: Name,
    started: Instant,
    /// Beats heard as the leader of a term.
    sessions: Arc<Mutex<Option<(u64, Sessions)>>>,
}

/// Runs a keeper until `stop`. `ready` is told where it listens.
pub async fn run(
    settings: Settings, ready: impl FnOnce(SocketAddr), stop: impl Future<Output = ()>,
) -> Result<(), KeeperError> {
    let stopped = |e: &dyn std::fmt::Display| KeeperError::Stopped(e.to_string());
    // The listener first: a port that is taken must not leave a disk set up behind it.
    let listen = settings.listen;
    let listener = TcpListener::bind(listen).await.map_err(|e| KeeperError::Listen(listen, e))?;
    let disk = Disk::open(&settings.folder, &settings.group, settings.id, rand::random())?;
    let machine = Machine::open(disk.clone()).map_err(|e| stopped(&e))?;
    not_older(&disk, &settings).await?;
    let heartbeat = u64::try_from(settings.heartbeat.as_millis()).unwrap_or(100).max(1);
    let config = Config {
        cluster_name: settings.group.clone(),
        heartbeat_interval: heartbeat,
        election_timeout_min: heartbeat * 5,
        election_timeout_max: heartbeat * 10,
        install_snapshot_timeout: 5_000,
        max_payload_entries: 32,
        replication_lag_threshold: 2_000,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(2_000),
        snapshot_max_chunk_size: 512 * 1024,
        max_in_snapshot_log_to_keep: 500,
        ..Config::default()
    };
    let config = Arc::new(config.validate().map_err(|e| stopped(&e))?);
    let network = Network { group: settings.group.clone(), dial: settings.dial.clone() };
    let raft = Raft::new(settings.id, config, network, disk.clone(), machine.clone());
    let raft = raft.await.map_err(|e| stopped(&e))?;
    let (settings, started) = (Arc::new(settings), Instant::now());
    let name = format!("keeper {}", settings.id).parse().map_err(|e| stopped(&e))?;
    let keeper = Keeper { settings, disk, machine, raft, name, started, sessions: Arc::default() };
    tracing::info!(id = keeper.settings.id, %listen, "keeper runs");
    ready(listener.local_addr().map_err(|e| KeeperError::Listen(listen, e))?);
    let result = tokio::select! {
        () = stop => Ok(()),
        why = keeper.broken() => Err(KeeperError::Stopped(why)),
        () = keeper.clone().look() => Ok(()),
        () = keeper.clone().accept(listener) => Ok(()),
    };
    let _ = keeper.raft.shutdown().await;
    result
}

/// Whether the disk is a copy from before what this keeper has acknowledged, as far as a leader that can be reached knows.
/// A leader of an earlier term than the disk's vote proves nothing: what it was sent may have been replaced since.
async fn not_older(disk: &Disk, settings: &Settings) -> Result<(), KeeperError> {
    let known = disk.last_known().map_err(|e| KeeperError::Stopped(e.to_string()))?;
    let others = known.keepers.iter().filter(|(id, _)| **id != settings.id);
    let asked = others.map(async |(id, peer)| {
        let address = settings.dial.get(id).unwrap_or(&peer.address);
        match timeout(Duration::from_secs(1), ask_once(address, &Ask::Status)).await {
            Ok(Ok(Say::Status(status))) => Some(*status),
            _ => None,
        }
    });
    for status in futures_util::future::join_all(asked).await.into_iter().flatten() {
        let theirs = status.acknowledged.get(&settings.id).copied().unwrap_or(0);
        if status.leader == Some(status.id) && status.term >= known.term && theirs > known.last {
            let (path, ours) = (disk.path().to_owned(), known.last);
            let (leader, term) = (status.id, status.term);
            return Err(DiskError::Older { path, ours, theirs, leader, term }.into());
        }
    }
    Ok(())
}

impl Keeper {
    /// Waits until the group member inside has stopped, and says why.
    async fn broken(&self) -> String {
        let mut metrics = self.raft.metrics();
        loop {
            if let Err(fatal) = &metrics.borrow_and_update().running_state {
                return fatal.to_string();
            }
            if metrics.changed().await.is_err() {
                return "it has ended".to_owned();
            }
        }
    }

    /// Its connections end with it: what still answered after it had stopped would speak for a keeper that is none.
    async fn accept(self, listener: TcpListener) {
        let mut open = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept(), if open.len() < MAX_CONNECTIONS => match accepted {
                    Ok((stream, _)) => {
                        let keeper = self.clone();
                        open.spawn(async move {
                            if let Err(error) = keeper.serve(Wire::new(stream)).await {
                                tracing::debug!(%error, "connection ended");
                            }
                        });
                    }
                    Err(error) => {
                        tracing::warn!(%error, "cannot accept");
                        sleep(Duration::from_millis(100)).await;
                    }
                },
                Some(_) = open.join_next() => {}
            }
        }
    }

    async fn serve(&self, mut wire: Wire) -> io::Result<()> {
        let slow = || io::Error::from(io::ErrorKind::TimedOut);
        while let Some(ask) = timeout(IDLE, wire.next::<Ask>()).await.map_err(|_| slow())?? {
            if let Ask::Watch(from) = ask {
                return self.watch(wire, from).await;
            }
            let say = self.answer(ask).await;
            timeout(SLOW, wire.send(&say)).await.map_err(|_| slow())??;
        }
        Ok(())
    }

    /// Tells all changes after a revision. There is no queue: each watcher has its place in the bounded log, and one
    /// that is too far behind gets the whole state.
    async fn watch(&self, mut wire: Wire, mut at: u64) -> io::Result<()> {
        let mut changed = self.machine.changed();
        loop {
            changed.mark_unchanged();
            let say = {
                let state = self.machine.read();
                match state.changes_after(at, BATCH) {
                    Some(changes) if changes.is_empty() => Say::Current(at),
                    Some(changes) => Say::Changes(changes),
                    None => Say::Snapshot(state.snapshot()),
                }
            };
            let current = matches!(say, Say::Current(_));
            match &say {
                Say::Changes(changes) => at = changes.last().map_or(at, |c| c.revision),
                Say::Snapshot(snapshot) => at = snapshot.revision,
                _ => {}
            }
            timeout(SLOW, wire.send(&say)).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            if current {
                let _ = timeout(CURRENT, changed.changed()).await;
            }
        }
    }

    async fn answer(&self, ask: Ask) -> Say {
        let work = async {
            match ask {
                Ask::Raft(envelope) => self.raft(envelope).await,
                Ask::Command(command) => self.command(command).await,
                Ask::Beat { member, session, doing } => self.beat(&member, session, doing),
                Ask::Off(worker) => self.off(&worker).await,
                Ask::Tallies => self.tallies(),
                Ask::Get(keys) => self.get(&keys).await,
                Ask::History(most) => {
                    let state = self.machine.read();
                    let mut last: Vec<_> =
                        state.history().rev().take(most.min(MAX_HISTORY)).cloned().collect();
                    last.reverse();
                    Say::History(last)
                }
                Ask::Status => Say::Status(Box::new(self.status().await)),
                Ask::Begin(keepers) => self.begin(keepers).await,
                Ask::Learn(id, peer) => self.learn(id, peer).await,
                // Changes, not whole lists: of two operators none undoes what the other did.
                Ask::Promote(id) => self.members(ChangeMembers::AddVoterIds(BTreeSet::from([id]))).await,
                Ask::Remove(id) => self.members(ChangeMembers::RemoveVoters(BTreeSet::from([id]))).await,
                Ask::Watch(_) => Say::Failed("a watch has a connection of its own".to_owned()),
            }
        };
        timeout(PATIENCE, work)
            .await
            .unwrap_or_else(|_| Say::Failed(format!("not done within {PATIENCE:?}; it may be done yet")))
    }

    async fn raft(&self, envelope: Envelope) -> Say {
        let ours = self.disk.identity();
        if (&envelope.group, envelope.to, envelope.disk) != (&ours.group, ours.id, ours.disk) {
            // Whoever lost its disk has forgotten its votes and must not cast them again.
            return Say::Failed(format!(
                "this is keeper {} of group {:?} with disk {:016x}, not {} of {:?} with disk {:016x}",
                ours.id, ours.group, ours.disk, envelope.to, envelope.group, envelope.disk
            ));
        }
        let failed = |e: &dyn std::fmt::Display| Say::Failed(e.to_string());
        match envelope.message {
            Message::Append(rpc) => match self.raft.append_entries(rpc).await {
                Ok(reply) => Say::Raft(Reply::Append(reply)),
                Err(e) => failed(&e),
            },
            Message::Vote(rpc) => match self.raft.vote(rpc).await {
                Ok(reply) => Say::Raft(Reply::Vote(reply)),
                Err(e) => failed(&e),
            },
            Message::Snapshot(rpc) => match self.raft.install_snapshot(rpc).await {
                Ok(reply) => Say::Raft(Reply::Snapshot(reply)),
                Err(e) => failed(&e),
            },
        }
    }

    async fn command(&self, command: Command) -> Say {
        let joins = match &command.action {
            Action::Join { member, .. } => Some(member.clone()),
            _ => None,
        };
        match self.raft.client_write(command).await {
            Ok(written) => match written.data.0 {
                Some(answer) => {
                    if let (Some(member), Ok(done)) = (joins, &answer) {
                        self.beat(&member, done.session.unwrap_or(0), None);
                    }
                    Say::Answer(answer)
                }
                None => Say::Failed("the entry held no command".to_owned()),
            },
            Err(error) => self.refused(error),
        }
    }

    fn refused(&self, error: RaftError<u64, ClientWriteError<u64, crate::group::Peer>>) -> Say {
        match error {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => Say::Elsewhere(to.leader_id),
            other => Say::Failed(other.to_string()),
        }
    }

    async fn members(&self, change: ChangeMembers<u64, crate::group::Peer>) -> Say {
        self.done(self.raft.change_membership(change, false).await)
    }

    /// Whether the number may be had with this disk is agreed first.
    async fn learn(&self, id: u64, peer: crate::group::Peer) -> Say {
        let act = Action::AdmitReplica { replica: id, disk: peer.disk };
        match self.command(command(self.name.clone(), act)).await {
            Say::Answer(Ok(_)) => self.done(self.raft.add_learner(id, peer, true).await),
            refused => refused,
        }
    }

    fn done<T>(&self, result: Result<T, RaftError<u64, ClientWriteError<u64, crate::group::Peer>>>) -> Say {
        result.map_or_else(|e| self.refused(e), |_| Say::Done)
    }

    /// The term in which this keeper leads, if it believes that it does.
    fn leads(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.current_leader == Some(self.settings.id)).then_some(metrics.current_term)
    }

    fn with_sessions<T>(&self, work: impl FnOnce(&mut Sessions) -> T) -> Option<T> {
        let term = self.leads()?;
        let mut held = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        if held.as_ref().is_none_or(|(of, _)| *of != term) {
            *held = Some((term, Sessions::new(SessionTtl(self.settings.session))));
        }
        held.as_mut().map(|(_, sessions)| work(sessions))
    }

    /// A beat counts at the leader only; a keeper that wrongly believes it leads can extend nothing, as only the real
    /// one can have a session ended.
    fn beat(&self, member: &Name, session: u64, doing: Option<HeartbeatReport>) -> Say {
        let now = since(self.started);
        let beat =
            self.with_sessions(|s| s.record_heartbeat(now, &self.machine.read(), member, session, doing));
        match beat {
            Some(beat) => Say::Beat(beat == HeartbeatOutcome::Renewed),
            None => self.elsewhere(),
        }
    }

    fn elsewhere(&self) -> Say {
        Say::Elsewhere(self.raft.metrics().borrow().current_leader)
    }

    /// Whose session is which is asked of a majority, as for any read; what each confirmed stays true.
    async fn off(&self, worker: &Name) -> Say {
        if let Err(why) = self.up_to_date().await {
            return why;
        }
        let off = self.with_sessions(|heard| drain_status(&self.machine.read(), heard, worker));
        off.map_or_else(|| self.elsewhere(), Say::Off)
    }

    /// Signs and no proof: what this leader has heard is enough.
    fn tallies(&self) -> Say {
        let tallies = self.with_sessions(|heard| request_totals(&self.machine.read(), heard));
        tallies.map_or_else(|| self.elsewhere(), Say::Tallies)
    }

    /// Has overdue sessions ended, and the list of workers be what most see, for as long as it is polled.
    async fn look(self) {
        loop {
            sleep(LOOK).await;
            let now = since(self.started);
            let due = |s: &mut Sessions| {
                let state = self.machine.read();
                let mut due = s.expired(now, &state);
                due.extend(majority_update(&state, s));
                due
            };
            for act in self.with_sessions(due).unwrap_or_default() {
                // If it comes to nothing the next look asks again.
                let _ = timeout(PATIENCE, self.raft.client_write(command(self.name.clone(), act))).await;
            }
        }
    }

    /// A read may be answered here: this keeper leads, and a majority says so.
    async fn up_to_date(&self) -> Result<(), Say> {
        // A leader that was paused may have been replaced: it asks a majority before it answers.
        let checked = cfg!(not(feature = "faults")) || std::env::var_os("PEBBLEPOST_FAULT_STALE").is_none();
        if !checked && self.leads().is_some() {
            tracing::warn!("read without a check (fault build)");
            return Ok(());
        }
        self.raft.ensure_linearizable().await.map(drop).map_err(|error| match error.forward_to_leader() {
            Some(to) => Say::Elsewhere(to.leader_id),
            None => Say::Failed(error.to_string()),
        })
    }

    async fn get(&self, keys: &[Key]) -> Say {
        if let Err(why) = self.up_to_date().await {
            return why;
        }
        let state = self.machine.read();
        let entries = match keys {
            [] => state.snapshot().entries,
            keys => keys.iter().filter_map(|k| Some((k.clone(), state.get(k)?.clone()))).collect(),
        };
        Say::Found { revision: state.revision(), entries }
    }

    async fn status(&self) -> Status {
        let begun = self.raft.is_initialized().await.unwrap_or(false);
        let metrics = self.raft.metrics().borrow().clone();
        let identity = self.disk.identity();
        let members = metrics.membership_config.membership();
        Status {
            id: identity.id,
            group: identity.group.clone(),
            disk: identity.disk,
            begun,
            leader: metrics.current_leader,
            term: metrics.current_term,
            last_log: metrics.last_log_index.unwrap_or(0),
            applied: metrics.last_applied.map_or(0, |l| l.index),
            revision: self.machine.read().revision(),
            acknowledged: metrics
                .replication
                .iter()
                .flatten()
                .filter_map(|(id, at)| Some((*id, at.as_ref()?.index)))
                .collect(),
            voters: members.voter_ids().collect(),
            keepers: members.nodes().map(|(id, peer)| (*id, peer.clone())).collect(),
        }
    }

    /// Begins the group once all of its keepers say that they are new, with the disks named: one that has been part
    /// of the group before must not begin it again.
    async fn begin(&self, keepers: BTreeMap<u64, crate::group::Peer>) -> Say {
        if keepers.get(&self.settings.id).map(|p| p.disk) != Some(self.disk.identity().disk) {
            return Say::Failed(format!(
                "keeper {} with its disk is not among those named",
                self.settings.id
            ));
        }
        for (id, peer) in keepers.iter().filter(|(id, _)| **id != self.settings.id) {
            let address = self.settings.dial.get(id).unwrap_or(&peer.address);
            match ask_once(address, &Ask::Status).await {
                Ok(Say::Status(s)) if !s.begun && (s.id, s.disk) == (*id, peer.disk) => {}
                Ok(Say::Status(s)) if s.begun => {
                    return Say::Failed(format!("keeper {id} is part of a group already"));
                }
                Ok(_) => return Say::Failed(format!("at {address} there is another than keeper {id}")),
                Err(e) => return Say::Failed(format!("keeper {id} at {address}: {e}")),
            }
        }
        match self.raft.initialize(keepers).await {
            Ok(()) => Say::Done,
            Err(e) => Say::Failed(e.to_string()),
        }
    }
}

/// One request on a connection of its own.
pub async fn ask_once(address: &str, ask: &Ask) -> io::Result<Say> {
    let work = async {
        let mut wire = Wire::new(TcpStream::connect(address).await?);
        wire.send(ask).await?;
        wire.next().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(PATIENCE, work).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
