//! The epoch register: a compare-and-swap register stored on the witnesses' disks.
//!
//! It is single-decree Paxos in its register form (CASPaxos). The prepare phase asks a quorum for the
//! record accepted under the highest proposal number. The accept phase writes that record again, to
//! complete it, or writes its successor. A record is chosen when a quorum (see
//! [`EpochRecord::has_quorum`]) has accepted it under one proposal number.
//!
//! * `acceptor`: answers prepare and accept requests and learns chosen records.
//! * `proposer`: drives an operation through attempts; `operation` and `attempt` hold its state.
//! * `message`, `output`, `witness_state`, `proposal_number`: the types of the interface.
//!
//! The register reads no clock and does no I/O. All times are those of the caller's monotonic clock.

mod acceptor;
mod attempt;
mod message;
mod operation;
mod output;
mod proposal_number;
mod proposer;
mod witness_state;

use crate::codec::decode;
use crate::guards::RegisterGuards;
use crate::random::Random;
use crate::record::EpochRecord;
use acceptor::Acceptor;
use attempt::Promise;
use message::{ChosenRecord, RegisterMessage};
use operation::Goal;
use pebblepost_messages::Member;
use proposer::{Context, Proposer};
use std::time::Duration;

pub use output::RegisterOutput;
pub use proposal_number::ProposalNumber;
pub use witness_state::WitnessState;

/// One member of an epoch register: acceptor, learner and proposer.
#[derive(Debug)]
pub struct Register {
    acceptor: Acceptor,
    proposer: Proposer,
    outputs: Vec<RegisterOutput>,
}

impl Register {
    /// Creates the register of the local member.
    ///
    /// `recovered` is the state that the local disk held. `initial_record` is the record of epoch 0 if
    /// the local member belongs to the initial configuration; it is used only if nothing was
    /// recovered. `seed` randomizes the backoff.
    pub fn new(
        local: Member, recovered: Option<WitnessState>, initial_record: Option<EpochRecord>, seed: u64,
    ) -> Self {
        Self::with_guards(local, recovered, initial_record, seed, RegisterGuards::default())
    }

    /// Like [`Register::new`], with some safety rules disabled.
    #[doc(hidden)]
    pub fn with_guards(
        local: Member, recovered: Option<WitnessState>, initial_record: Option<EpochRecord>, seed: u64,
        guards: RegisterGuards,
    ) -> Self {
        let needs_refresh = recovered.is_some();
        let state =
            recovered.unwrap_or_else(|| WitnessState { accepted: initial_record, ..WitnessState::default() });
        let counter = state.promised.counter;
        Self {
            acceptor: Acceptor::new(local.disk, state, guards),
            proposer: Proposer::new(local, guards, counter, needs_refresh, Random::new(seed)),
            outputs: Vec::new(),
        }
    }

    /// Returns the newest record known to be chosen, if any. The initial record counts as chosen.
    pub fn chosen(&self) -> Option<&EpochRecord> {
        self.acceptor.chosen().map(|chosen| &chosen.record)
    }

    /// Returns whether a proposal is in progress; another one would be rejected.
    pub fn is_proposing(&self) -> bool {
        self.proposer.is_proposing()
    }

    /// Proposes a record as the successor of the chosen record of epoch `expected`.
    ///
    /// Only one proposal can be in progress. A proposal that can't succeed is answered by
    /// [`RegisterOutput::Rejected`] at once.
    pub fn propose(&mut self, now: Duration, expected: u64, record: EpochRecord) {
        let is_stale = self.chosen().is_some_and(|chosen| chosen.epoch > expected);
        if self.is_proposing() || is_stale || record.epoch != expected + 1 {
            self.outputs.push(RegisterOutput::Rejected { epoch: record.epoch });
            return;
        }
        let (proposer, mut context) = self.proposer_and_context(now);
        proposer.start(&mut context, Goal::Propose { expected, record });
    }

    /// Asks a quorum for the newest chosen record, and completes a record that less than a quorum has
    /// accepted. Does nothing while another operation is in progress.
    pub fn refresh(&mut self, now: Duration) {
        if !self.proposer.is_busy() {
            let (proposer, mut context) = self.proposer_and_context(now);
            proposer.start(&mut context, Goal::Refresh);
        }
    }

    /// Sends the newest chosen record to a member. The caller calls this when a connection to the
    /// member opens, so that new members and members that lag behind learn the configuration.
    pub fn announce_chosen(&mut self, to: &Member) {
        if let Some(chosen) = self.acceptor.chosen().cloned() {
            self.outputs.push(RegisterOutput::send(to.clone(), &RegisterMessage::Learn(chosen)));
        }
    }

    /// Handles a message. A malformed message is dropped.
    pub fn receive(&mut self, now: Duration, from: &Member, message: &[u8]) {
        let Some(message) = decode::<RegisterMessage>(message) else { return };
        match message {
            RegisterMessage::Prepare { number, known } => {
                self.acceptor.prepare(from, number, &known, &mut self.outputs);
            }
            RegisterMessage::Accept { number, record } => {
                self.acceptor.accept(from, number, record, &mut self.outputs);
            }
            RegisterMessage::Promise { number, accepted_number, accepted, chosen } => {
                self.learn_from_reply(chosen);
                let (proposer, mut context) = self.proposer_and_context(now);
                proposer.on_promise(&mut context, from.disk, number, Promise { accepted_number, accepted });
            }
            RegisterMessage::Accepted { number } => {
                let (proposer, mut context) = self.proposer_and_context(now);
                proposer.on_accepted(&mut context, from.disk, number);
            }
            RegisterMessage::Rejected { number, promised, chosen } => {
                self.proposer.observe(promised);
                self.learn_from_reply(chosen);
                self.proposer.on_rejected(now, number);
            }
            RegisterMessage::Learn(chosen) => self.acceptor.learn(chosen, &mut self.outputs),
        }
        let (proposer, mut context) = self.proposer_and_context(now);
        proposer.end_if_superseded(&mut context);
    }

    /// Handles the completion of the write with this token, and of all writes before it.
    pub fn on_persisted(&mut self, _now: Duration, token: u64) {
        self.acceptor.on_persisted(token, &mut self.outputs);
    }

    /// Handles retries and timeouts. The caller calls this about every 50 ms.
    pub fn tick(&mut self, now: Duration) {
        let (proposer, mut context) = self.proposer_and_context(now);
        proposer.tick(&mut context);
    }

    /// Takes the outputs that the caller must carry out.
    pub fn take_outputs(&mut self) -> Vec<RegisterOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Borrows the proposer, and the rest of the register as the context of its events.
    fn proposer_and_context(&mut self, now: Duration) -> (&mut Proposer, Context<'_>) {
        let context = Context { now, acceptor: &mut self.acceptor, outputs: &mut self.outputs };
        (&mut self.proposer, context)
    }

    fn learn_from_reply(&mut self, chosen: Option<ChosenRecord>) {
        if let Some(chosen) = chosen {
            self.acceptor.learn(chosen, &mut self.outputs);
        }
    }
}
