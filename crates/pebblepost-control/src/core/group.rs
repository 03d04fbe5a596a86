//! The epoch register and the replica of the control state, and how they use links and disk.

use super::{Core, CoreSettings, Output};
use crate::membership::{PeerMessage, PeerPayload, members_of};
use crate::state::ControlState;
use crate::state::disk_record::{ControlRecord, RecoveredState};
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::control::ToControl;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::{Register, RegisterOutput, WitnessState};
use pebblepost_replication::replica::{Replica, ReplicaOutput, ReplicaSettings};
use std::collections::VecDeque;
use std::time::Duration;

const BEACON: Duration = Duration::from_millis(150);
const LEASE: Duration = Duration::from_millis(700);
const GRACE: Duration = Duration::from_millis(900);
const MOST_LAG: Duration = Duration::from_millis(500);
const MOST_OWN_WRITE: Duration = Duration::from_millis(500);
/// Bytes of entries kept in memory to bring replicas up without a snapshot.
const KEPT_BYTES: usize = 4 * 1024 * 1024;

/// Whose records a write holds.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Founding,
    Register { token: u64 },
    Replica { token: u64 },
}

/// Who asked for the change of the epoch that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Proposer {
    /// The replica: in-sync set or primary.
    Replica,
    /// The primary: witnesses.
    Witnesses,
}

/// The register and the replica of this process.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) replica: Replica<ControlState>,
    register: Register,
    me: Member,
    founding: Option<EpochRecord>,
    witness: Option<WitnessState>,
    writes: VecDeque<(u64, Owner)>,
    last_write: u64,
    proposer: Option<Proposer>,
    queued: Option<(u64, EpochRecord)>,
}

impl Group {
    pub(super) fn new(
        now: Duration, settings: &CoreSettings, recovered: RecoveredState, founding: Option<EpochRecord>,
    ) -> Group {
        let me = settings.me.clone();
        let replica_settings = ReplicaSettings {
            tolerance: settings.tolerance,
            beacon: BEACON,
            lease: LEASE,
            grace: GRACE,
            most_lag: MOST_LAG,
            most_own_write: MOST_OWN_WRITE,
            kept_bytes: KEPT_BYTES,
        };
        let state = ControlState::default();
        let mut replica = Replica::new(me.clone(), replica_settings, state, recovered.replica, now);
        let register =
            Register::new(me.clone(), recovered.witness.clone(), founding.clone(), settings.random);
        if let Some(record) = register.chosen() {
            replica.configure(now, record);
        }
        Group {
            replica,
            register,
            me,
            founding,
            witness: recovered.witness,
            writes: VecDeque::new(),
            last_write: 0,
            proposer: None,
            queued: None,
        }
    }

    pub(super) fn write_founding(&mut self, record: EpochRecord, outputs: &mut Vec<Output>) {
        self.append(Owner::Founding, vec![ControlRecord::Bootstrap(record)], outputs);
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.register.tick(now);
        self.replica.tick(now);
    }

    pub(super) fn written(&mut self, now: Duration, write: u64) {
        while let Some((_, owner)) = self.writes.pop_front_if(|(number, _)| *number <= write) {
            match owner {
                Owner::Founding => {}
                Owner::Register { token } => self.register.persisted(now, token),
                Owner::Replica { token } => self.replica.persisted(now, token),
            }
        }
    }

    pub(super) fn receive(&mut self, now: Duration, from: &Member, bytes: &[u8]) {
        let Ok(message) = PeerMessage::deserialize_bin(bytes) else {
            log::warn!("reading a message of {}: not in this program's format", from.address);
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

    /// Wants another replica to be primary, if there is one that could.
    pub(super) fn hand_over(&mut self, now: Duration) {
        let mut others = self.replica.record().in_sync.clone();
        others.retain(|member| member.disk != self.me.disk);
        if !others.is_empty() {
            self.replica.set_targets(now, others);
            self.replica.tick(now);
        }
    }

    /// Tells a process that has just connected the newest epoch.
    pub(super) fn introduce(&mut self, to: &Member) {
        self.register.introduce(to);
        self.replica.introduce(to);
    }

    /// Whether a change of the epoch is under way.
    pub(super) fn is_changing(&self) -> bool {
        self.proposer.is_some() || self.queued.is_some()
    }

    pub(super) fn propose_witnesses(&mut self, now: Duration, expected: u64, record: EpochRecord) {
        if self.proposer.is_none() {
            self.proposer = Some(Proposer::Witnesses);
            self.register.propose(now, expected, record);
        }
    }

    /// Proposes what the replica wants, on the witnesses that hold now.
    fn propose_epoch(&mut self, now: Duration, expected: u64, mut record: EpochRecord) {
        if self.proposer.is_some() {
            self.queued = Some((expected, record));
            return;
        }
        if let Some(chosen) = self.register.chosen().filter(|chosen| chosen.epoch == expected) {
            record.witnesses.clone_from(&chosen.witnesses);
            record.former_witnesses.clone_from(&chosen.former_witnesses);
        }
        self.proposer = Some(Proposer::Replica);
        self.register.propose(now, expected, record);
    }

    fn change_ended(&mut self, now: Duration) {
        if self.proposer.take() == Some(Proposer::Replica) {
            self.replica.change_ended(now);
        }
        if let Some((expected, record)) = self.queued.take() {
            self.propose_epoch(now, expected, record);
        }
    }

    fn chosen(&mut self, now: Duration, record: &EpochRecord) {
        log::info!(
            "epoch {}: primary {:016x}, {} in sync, {} witnesses",
            record.epoch,
            record.primary.0,
            record.in_sync.len(),
            record.witnesses.len()
        );
        self.replica.configure(now, record);
        if self.proposer.is_some() && !self.register.is_proposing() {
            self.change_ended(now);
        }
    }

    pub(super) fn checkpoint(&self) -> Option<Vec<ControlRecord>> {
        let founding = self.founding.clone().map(ControlRecord::Bootstrap);
        let witness = self.witness.clone().map(ControlRecord::Witness);
        let replica = self.replica.checkpoint()?.into_iter().map(ControlRecord::Replica);
        Some(founding.into_iter().chain(witness).chain(replica).collect())
    }

    fn append(&mut self, owner: Owner, records: Vec<ControlRecord>, outputs: &mut Vec<Output>) {
        self.last_write += 1;
        self.writes.push_back((self.last_write, owner));
        outputs.push(Output::Append { write: self.last_write, records });
    }

    /// Carries out what the register wants; whether there was anything.
    fn settle_register(&mut self, now: Duration, outputs: &mut Vec<Output>) -> bool {
        let wanted = self.register.take_outputs();
        let any = !wanted.is_empty();
        for output in wanted {
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
                    self.append(Owner::Register { token }, vec![record], outputs);
                }
                RegisterOutput::Chosen(record) => self.chosen(now, &record),
                // A later proposal may be under way already.
                RegisterOutput::Rejected { .. } if self.register.is_proposing() => {}
                RegisterOutput::Rejected { .. } => {
                    if let Some(chosen) = self.register.chosen().cloned() {
                        self.replica.configure(now, &chosen);
                    }
                    self.change_ended(now);
                }
            }
        }
        any
    }
}

impl Core {
    /// Carries out what the register and the replica want until nothing is left.
    pub(super) fn settle_group(&mut self, now: Duration) {
        loop {
            let register = self.group.settle_register(now, &mut self.outputs);
            let replica = self.settle_replica(now);
            if !register && !replica {
                break;
            }
        }
    }

    fn settle_replica(&mut self, now: Duration) -> bool {
        let wanted = self.group.replica.take_outputs();
        let any = !wanted.is_empty();
        for output in wanted {
            match output {
                ReplicaOutput::Send { to, message } => {
                    self.outputs.push(send(&to, PeerPayload::Replica(message)));
                }
                ReplicaOutput::Persist { token, records } => {
                    let records = records.into_iter().map(ControlRecord::Replica).collect();
                    self.group.append(Owner::Replica { token }, records, &mut self.outputs);
                }
                ReplicaOutput::ChangeEpoch { expected, record } => {
                    self.group.propose_epoch(now, expected, record);
                }
                ReplicaOutput::Committed { index } => self.committed(now, index),
                ReplicaOutput::BecamePrimary { epoch } => self.became_primary(now, epoch),
                ReplicaOutput::Stopped => self.stopped(now),
            }
        }
        any
    }

    /// Address and silence of the primary, where another process is primary.
    pub(super) fn other_primary(&self) -> Option<&Member> {
        let record = self.group.replica.record();
        let primary = record.primary;
        if primary == DiskId::default() || primary == self.settings.me.disk {
            return None;
        }
        members_of(record).find(|member| member.disk == primary)
    }
}

fn send(to: &Member, payload: PeerPayload) -> Output {
    let message = PeerMessage { to: to.disk, payload };
    Output::SendPeer {
        address: to.address.clone(),
        message: ToControl::Replication(SerBin::serialize_bin(&message)),
    }
}
