//! The epoch register: a compare-and-swap register that lives on the witnesses' disks.
//!
//! Two rounds as in CASPaxos: prepare asks a quorum for the newest accepted record, accept writes
//! the same record again (to complete it) or its successor. A record is chosen when a quorum (see
//! [`EpochRecord::has_quorum`]) accepted it under one ballot. Times are the caller's steady clock.

mod acceptor;
mod attempt;
mod message;
mod proposer;

use crate::codec::decode;
use crate::guards::RegisterGuards;
use crate::random::Random;
use crate::record::EpochRecord;
use acceptor::{Acceptor, send};
use attempt::{Attempt, Goal, Task};
use message::{ChosenRecord, RegisterMessage};
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// How long a proposal is retried.
const PROPOSAL_TIME: Duration = Duration::from_millis(1000);
/// How soon the newest record is asked for after a restart, at random below this.
const REFRESH_SPREAD: Duration = Duration::from_millis(200);
/// How soon it is asked for again when nobody answered.
const REFRESH_AGAIN: Duration = Duration::from_millis(500);

/// What a witness keeps on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct WitnessState {
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot under which `accepted` was accepted.
    pub accepted_ballot: Ballot,
    /// Newest accepted record.
    pub accepted: Option<EpochRecord>,
}

/// Number of an attempt to change the register: round, then the disk that makes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Ballot {
    /// Round.
    pub round: u64,
    /// Disk of the proposer.
    pub proposer: DiskId,
}

/// Something the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterOutput {
    /// Send a message (to itself as well).
    Send {
        /// Receiver.
        to: Member,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Write the witness state; call [`Register::persisted`] with the token once it is on disk.
    Persist {
        /// Comes back.
        token: u64,
        /// The state.
        state: WitnessState,
    },
    /// A record newer than all before is known to be chosen.
    Chosen(EpochRecord),
    /// The proposal failed: another record was chosen, or no majority answered in time. In the
    /// second case the record may still be chosen later.
    Rejected {
        /// Epoch number that was proposed.
        epoch: u64,
    },
}

/// A witness and a proposer of one register.
#[derive(Debug)]
pub struct Register {
    me: Member,
    guards: RegisterGuards,
    acceptor: Acceptor,
    chosen: Option<ChosenRecord>,
    task: Option<Task>,
    attempt: Option<Attempt>,
    highest_round: u64,
    random: Random,
    /// When to ask for the newest record, if that is unknown since the start.
    refresh_at: Option<Duration>,
    wants_refresh: bool,
    outputs: Vec<RegisterOutput>,
}

impl Register {
    /// A register at this machine. `recovered` is what its disk held; `founding` is the first
    /// record where this disk is a founder's (used only if nothing was recovered).
    pub fn new(
        me: Member, recovered: Option<WitnessState>, founding: Option<EpochRecord>, seed: u64,
    ) -> Self {
        Self::with_guards(me, recovered, founding, seed, RegisterGuards::default())
    }

    /// As [`Register::new`], with guards taken out.
    #[doc(hidden)]
    pub fn with_guards(
        me: Member, recovered: Option<WitnessState>, founding: Option<EpochRecord>, seed: u64,
        guards: RegisterGuards,
    ) -> Self {
        let wants_refresh = recovered.is_some();
        let first = || WitnessState { accepted: founding.clone(), ..WitnessState::default() };
        let state = recovered.unwrap_or_else(first);
        let chosen = state
            .accepted
            .clone()
            .filter(|record| record.epoch == 0)
            .map(|record| ChosenRecord { ballot: Ballot::default(), record });
        Self {
            guards,
            highest_round: state.promised.round,
            acceptor: Acceptor::new(me.disk, state, guards),
            me,
            chosen,
            task: None,
            attempt: None,
            random: Random::new(seed),
            refresh_at: None,
            wants_refresh,
            outputs: Vec::new(),
        }
    }

    /// The newest record known to be chosen (the founding one at first), if any.
    pub fn chosen(&self) -> Option<&EpochRecord> {
        self.chosen.as_ref().map(|chosen| &chosen.record)
    }

    /// Whether a proposal is under way; another one would be rejected.
    pub fn is_proposing(&self) -> bool {
        matches!(&self.task, Some(Task { goal: Goal::Propose { .. }, .. }))
    }

    /// Proposes a record that follows the chosen one: `expected` is its epoch. One at a time.
    pub fn propose(&mut self, now: Duration, expected: u64, record: EpochRecord) {
        let is_old = self.chosen().is_some_and(|chosen| chosen.epoch > expected);
        if self.is_proposing() || is_old || record.epoch != expected + 1 {
            self.outputs.push(RegisterOutput::Rejected { epoch: record.epoch });
            return;
        }
        self.start(now, Goal::Propose { expected, record });
    }

    /// Asks a majority for the newest chosen record (completes one that is half accepted).
    pub fn refresh(&mut self, now: Duration) {
        if self.task.is_none() {
            self.start(now, Goal::Refresh);
        }
    }

    /// Tells a member the newest chosen record. To be called when a connection to it opens, so
    /// that machines that lag behind or are new come to know the group.
    pub fn introduce(&mut self, to: &Member) {
        if let Some(chosen) = self.chosen.clone() {
            self.outputs.push(send(to.clone(), &RegisterMessage::Learn(chosen)));
        }
    }

    /// A message arrived. What can't be read is dropped.
    pub fn receive(&mut self, now: Duration, from: &Member, message: &[u8]) {
        let Some(message) = decode::<RegisterMessage>(message) else { return };
        match message {
            RegisterMessage::Prepare { ballot, known } => {
                let chosen = self.chosen.clone();
                self.acceptor.prepare(from, ballot, &known, chosen, &mut self.outputs);
            }
            RegisterMessage::Accept { ballot, record } => {
                let chosen = self.chosen.clone();
                self.acceptor.accept(from, ballot, record, chosen, &mut self.outputs);
            }
            RegisterMessage::Promise { ballot, accepted_ballot, accepted, chosen } => {
                self.learn_from_reply(chosen);
                self.promised(now, from.disk, ballot, attempt::PromiseReply { accepted_ballot, accepted });
            }
            RegisterMessage::Accepted { ballot } => self.accepted(now, from.disk, ballot),
            RegisterMessage::Refused { ballot, promised, chosen } => {
                self.highest_round = self.highest_round.max(promised.round);
                self.learn_from_reply(chosen);
                self.refused(now, ballot);
            }
            RegisterMessage::Learn(chosen) => self.learn(chosen),
        }
        self.end_task_if_overtaken();
    }

    /// A write is on disk.
    pub fn persisted(&mut self, _now: Duration, token: u64) {
        self.acceptor.persisted(token, &mut self.outputs);
    }

    /// Time passed: retries and timeouts. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Duration) {
        self.refresh_when_due(now);
        self.drive_task(now);
    }

    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<RegisterOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn refresh_when_due(&mut self, now: Duration) {
        if !self.wants_refresh || self.task.is_some() {
            return;
        }
        match self.refresh_at {
            None => self.refresh_at = Some(now + self.random.below(REFRESH_SPREAD)),
            Some(due) if now >= due => {
                self.refresh_at = Some(now + PROPOSAL_TIME + REFRESH_AGAIN);
                self.refresh(now);
            }
            Some(_) => {}
        }
    }

    fn learn_from_reply(&mut self, chosen: Option<ChosenRecord>) {
        if let Some(chosen) = chosen {
            self.learn(chosen);
        }
    }

    /// Takes note of a chosen record.
    fn learn(&mut self, chosen: ChosenRecord) {
        self.acceptor.learn(&chosen, &mut self.outputs);
        let known = self.chosen().map(|record| record.epoch);
        if known.is_some_and(|epoch| epoch >= chosen.record.epoch) {
            return;
        }
        self.outputs.push(RegisterOutput::Chosen(chosen.record.clone()));
        self.chosen = Some(chosen);
    }
}
