//! This node's membership in the control group: the epoch register, the local replica of the control state, and how
//! both use links and the disk.

use super::events::Output;
use super::settings::NodeSettings;
use crate::membership::{PeerMessage, PeerPayload};
use crate::state::ControlState;
use crate::state::command::Command;
use crate::state::disk_record::{ControlRecord, RecoveredState};
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::control::ToControl;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::{Register, RegisterOutput, WitnessState};
use pebblepost_replication::replica::{ProposeError, Replica, ReplicaOutput, ReplicaSettings};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
const LEASE_DURATION: Duration = Duration::from_millis(700);
/// Time without a heartbeat of the primary after which another replica may start an election. It is longer than the
/// lease.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_REPLICA_LAG: Duration = Duration::from_millis(500);
const DISK_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the log entries kept in memory, in bytes. Replicas catch up from them without a snapshot.
const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;

/// A change of the control group that other components have to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GroupEvent {
    /// Entries up to this index are committed and applied.
    Committed { index: u64 },
    /// This node became primary of an epoch.
    BecamePrimary { epoch: u64 },
    /// This node lost the primary role.
    SteppedDown,
}

/// Component that requested a write, and the token with which completion is reported to it.
#[derive(Clone, Copy, Debug)]
enum WriteOwner {
    Bootstrap,
    Register { token: u64 },
    Replica { token: u64 },
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    number: u64,
    owner: WriteOwner,
}

/// Origin of the epoch change that is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proposer {
    /// The replica proposed another in-sync set or another primary.
    Replica,
    /// The primary proposed another witness set.
    Witnesses,
}

/// An epoch change that waits until the one in progress has ended.
#[derive(Clone, Debug)]
struct QueuedChange {
    expected_epoch: u64,
    record: EpochRecord,
}

/// The epoch register and the control state replica of this node.
#[derive(Debug)]
pub(super) struct ControlGroup {
    replica: Replica<ControlState>,
    register: Register,
    me: Member,
    bootstrap: Option<EpochRecord>,
    witness: Option<WitnessState>,
    writes: VecDeque<PendingWrite>,
    last_write: u64,
    proposer: Option<Proposer>,
    queued: Option<QueuedChange>,
    /// Outputs that were taken from the replica but not processed yet.
    replica_outputs: VecDeque<ReplicaOutput>,
}

impl ControlGroup {
    /// Creates a member from the records recovered from its disk. `bootstrap` is the epoch record with which the group
    /// was bootstrapped, if this node knows it.
    pub(super) fn new(
        now: Duration, settings: &NodeSettings, recovered: RecoveredState, bootstrap: Option<EpochRecord>,
    ) -> ControlGroup {
        let me = settings.me.clone();
        let replica_settings = ReplicaSettings {
            tolerance: settings.tolerance,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease: LEASE_DURATION,
            election_timeout: ELECTION_TIMEOUT,
            max_replica_lag: MAX_REPLICA_LAG,
            write_timeout: DISK_WRITE_TIMEOUT,
            max_log_bytes: MAX_LOG_BYTES,
        };
        let state = ControlState::default();
        let mut replica = Replica::new(me.clone(), replica_settings, state, recovered.replica, now);
        let register =
            Register::new(me.clone(), recovered.witness.clone(), bootstrap.clone(), settings.random_seed);
        if let Some(record) = register.chosen() {
            replica.configure(now, record);
        }
        ControlGroup {
            replica,
            register,
            me,
            bootstrap,
            witness: recovered.witness,
            writes: VecDeque::new(),
            last_write: 0,
            proposer: None,
            queued: None,
            replica_outputs: VecDeque::new(),
        }
    }

    /// Returns the replicated state with all entries applied that are known here to be committed.
    pub(super) fn state(&self) -> &ControlState {
        self.replica.state()
    }

    /// Returns the newest epoch record known to this node.
    pub(super) fn record(&self) -> &EpochRecord {
        self.replica.record()
    }

    /// Returns whether this node is primary and its lease is valid.
    pub(super) fn is_acting(&self, now: Duration) -> bool {
        self.replica.is_acting(now)
    }

    /// Returns when this primary's lease expires unless renewed, or `None` if this node is not the acting primary.
    pub(super) fn lease_expires_at(&self, now: Duration) -> Option<Duration> {
        self.replica.lease_expires_at(now)
    }

    /// Returns the index of the newest committed entry.
    pub(super) fn commit_index(&self) -> u64 {
        self.replica.commit_index()
    }

    /// Appends a command to the replicated log and returns the index of its entry. The command takes effect only once
    /// that entry is committed.
    ///
    /// # Errors
    /// If this node is not the primary, or too few replicas can store the entry.
    pub(super) fn propose(&mut self, now: Duration, command: &Command) -> Result<u64, ProposeError> {
        self.replica.propose(now, command.encode())
    }

    /// Persists the epoch record with which the group is bootstrapped.
    pub(super) fn persist_bootstrap(&mut self, record: EpochRecord, outputs: &mut Vec<Output>) {
        self.append_records(WriteOwner::Bootstrap, vec![ControlRecord::Bootstrap(record)], outputs);
    }

    /// Sets the disks of the control nodes from which a message arrived recently.
    pub(super) fn set_reachable(&mut self, disks: BTreeSet<DiskId>) {
        self.replica.set_reachable(disks);
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.register.tick(now);
        self.replica.tick(now);
    }

    /// Reports to the register and the replica that all writes up to number `write` are durable.
    pub(super) fn handle_persisted(&mut self, now: Duration, write: u64) {
        while let Some(pending) = self.writes.pop_front_if(|pending| pending.number <= write) {
            match pending.owner {
                WriteOwner::Bootstrap => {}
                WriteOwner::Register { token } => self.register.on_persisted(now, token),
                WriteOwner::Replica { token } => self.replica.on_persisted(now, token),
            }
        }
    }

    /// Processes an encoded [`PeerMessage`] from another member. Messages that can't be decoded or are addressed to
    /// another disk are dropped.
    pub(super) fn receive(&mut self, now: Duration, from: &Member, bytes: &[u8]) {
        let Ok(message) = PeerMessage::deserialize_bin(bytes) else {
            log::warn!("peer message dropped: cannot be decoded peer={} bytes={}", from.address, bytes.len());
            return;
        };
        if message.to != self.me.disk {
            return;
        }
        match message.payload {
            PeerPayload::Register(message) => self.register.receive(now, from, &message),
            PeerPayload::Replica(message) => self.replica.receive(now, from, &message),
        }
    }

    /// Requests that another in-sync replica takes over as primary. Has no effect if this replica is the only one.
    pub(super) fn hand_over(&mut self, now: Duration) {
        let mut others = self.replica.record().in_sync.clone();
        others.retain(|member| member.disk != self.me.disk);
        if !others.is_empty() {
            self.replica.set_targets(now, others);
            self.replica.tick(now);
        }
    }

    /// Sends the newest epoch record to another node.
    pub(super) fn announce_epoch(&mut self, to: &Member) {
        self.register.announce_chosen(to);
        self.replica.announce_epoch(to);
    }

    /// Returns whether an epoch change is in progress or queued.
    pub(super) fn is_changing(&self) -> bool {
        self.proposer.is_some() || self.queued.is_some()
    }

    /// Proposes a record with another witness set, unless an epoch change is in progress.
    pub(super) fn propose_witnesses(&mut self, now: Duration, expected_epoch: u64, record: EpochRecord) {
        if self.proposer.is_none() {
            self.proposer = Some(Proposer::Witnesses);
            self.register.propose(now, expected_epoch, record);
        }
    }

    /// Returns the records that replace the log on disk, or `None` while the log must not be replaced.
    pub(super) fn checkpoint(&self) -> Option<Vec<ControlRecord>> {
        let bootstrap = self.bootstrap.clone().map(ControlRecord::Bootstrap);
        let witness = self.witness.clone().map(ControlRecord::Witness);
        let replica = self.replica.checkpoint()?.into_iter().map(ControlRecord::Replica);
        Some(bootstrap.into_iter().chain(witness).chain(replica).collect())
    }

    /// Processes outputs of the register and the replica until one of them yields an event. Returns `None` once no
    /// outputs are left.
    pub(super) fn poll(&mut self, now: Duration, outputs: &mut Vec<Output>) -> Option<GroupEvent> {
        loop {
            while let Some(output) = self.replica_outputs.pop_front() {
                if let Some(event) = self.process_replica_output(now, output, outputs) {
                    return Some(event);
                }
            }
            let register_outputs = self.register.take_outputs();
            let is_register_idle = register_outputs.is_empty();
            for output in register_outputs {
                self.process_register_output(now, output, outputs);
            }
            self.replica_outputs = self.replica.take_outputs().into();
            if is_register_idle && self.replica_outputs.is_empty() {
                return None;
            }
        }
    }

    fn process_replica_output(
        &mut self, now: Duration, output: ReplicaOutput, outputs: &mut Vec<Output>,
    ) -> Option<GroupEvent> {
        match output {
            ReplicaOutput::Send { to, message } => {
                outputs.push(send(&to, PeerPayload::Replica(message)));
                None
            }
            ReplicaOutput::Persist { token, records } => {
                let records = records.into_iter().map(ControlRecord::Replica).collect();
                self.append_records(WriteOwner::Replica { token }, records, outputs);
                None
            }
            ReplicaOutput::ChangeEpoch { expected, record } => {
                self.propose_replica_change(now, expected, record);
                None
            }
            ReplicaOutput::Committed { index } => Some(GroupEvent::Committed { index }),
            ReplicaOutput::BecamePrimary { epoch } => Some(GroupEvent::BecamePrimary { epoch }),
            ReplicaOutput::SteppedDown => Some(GroupEvent::SteppedDown),
        }
    }

    fn process_register_output(&mut self, now: Duration, output: RegisterOutput, outputs: &mut Vec<Output>) {
        match output {
            RegisterOutput::Send { to, message } if to.disk == self.me.disk => {
                let me = self.me.clone();
                self.register.receive(now, &me, &message);
            }
            RegisterOutput::Send { to, message } => {
                outputs.push(send(&to, PeerPayload::Register(message)));
            }
            RegisterOutput::Persist { token, state } => {
                self.witness = Some(state.clone());
                let record = ControlRecord::Witness(state);
                self.append_records(WriteOwner::Register { token }, vec![record], outputs);
            }
            RegisterOutput::Chosen(record) => self.handle_chosen_epoch(now, &record),
            // The rejection may belong to an earlier proposal than the one in progress.
            RegisterOutput::Rejected { .. } if self.register.is_proposing() => {}
            RegisterOutput::Rejected { .. } => {
                if let Some(chosen) = self.register.chosen().cloned() {
                    self.replica.configure(now, &chosen);
                }
                self.finish_epoch_change(now);
            }
        }
    }

    /// Proposes an epoch record of the replica, with the witness set of the chosen epoch. The change is queued while
    /// another one is in progress; a change queued earlier is replaced.
    fn propose_replica_change(&mut self, now: Duration, expected_epoch: u64, mut record: EpochRecord) {
        if self.proposer.is_some() {
            self.queued = Some(QueuedChange { expected_epoch, record });
            return;
        }
        if let Some(chosen) = self.register.chosen().filter(|chosen| chosen.epoch == expected_epoch) {
            record.witnesses.clone_from(&chosen.witnesses);
            record.former_witnesses.clone_from(&chosen.former_witnesses);
        }
        self.proposer = Some(Proposer::Replica);
        self.register.propose(now, expected_epoch, record);
    }

    fn handle_chosen_epoch(&mut self, now: Duration, record: &EpochRecord) {
        log::info!(
            "epoch chosen epoch={} primary={:016x} in_sync={} witnesses={}",
            record.epoch,
            record.primary.0,
            record.in_sync.len(),
            record.witnesses.len()
        );
        self.replica.configure(now, record);
        if self.proposer.is_some() && !self.register.is_proposing() {
            self.finish_epoch_change(now);
        }
    }

    fn finish_epoch_change(&mut self, now: Duration) {
        if self.proposer.take() == Some(Proposer::Replica) {
            self.replica.on_epoch_change_ended(now);
        }
        if let Some(QueuedChange { expected_epoch, record }) = self.queued.take() {
            self.propose_replica_change(now, expected_epoch, record);
        }
    }

    fn append_records(&mut self, owner: WriteOwner, records: Vec<ControlRecord>, outputs: &mut Vec<Output>) {
        self.last_write += 1;
        self.writes.push_back(PendingWrite { number: self.last_write, owner });
        outputs.push(Output::Append { write: self.last_write, records });
    }
}

fn send(to: &Member, payload: PeerPayload) -> Output {
    let message = PeerMessage { to: to.disk, payload };
    Output::SendPeer {
        address: to.address.clone(),
        message: ToControl::Replication(SerBin::serialize_bin(&message)),
    }
}
