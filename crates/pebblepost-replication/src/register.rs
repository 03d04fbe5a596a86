//! The epoch register: a compare-and-swap register that lives on the witnesses' disks.
//!
//! Single-decree Paxos in its register form (CASPaxos): the prepare phase asks a quorum for the
//! record accepted under the highest proposal number, the accept phase writes the same record again
//! (to complete it) or its successor. A record is chosen when a quorum (see
//! [`EpochRecord::has_quorum`]) accepted it under one number.
//!
//! * `acceptor`: answers prepare and accept requests and learns what is chosen.
//! * `proposer`: drives an operation through attempts; `operation` and `attempt` are its state.
//! * `message`, `output`, `witness_state`, `proposal_number`: the types that cross the border.
//!
//! The register never reads a clock and does no I/O: times are those of the caller's monotonic clock.

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

/// A witness and a proposer of one register.
#[derive(Debug)]
pub struct Register {
    acceptor: Acceptor,
    proposer: Proposer,
    outputs: Vec<RegisterOutput>,
}

impl Register {
    /// A register at this machine. `recovered` is what its disk held; `founding` is the first
    /// record where this disk is a founder's (used only if nothing was recovered). `seed` spreads
    /// the backoff.
    pub fn new(
        local: Member, recovered: Option<WitnessState>, founding: Option<EpochRecord>, seed: u64,
    ) -> Self {
        Self::with_guards(local, recovered, founding, seed, RegisterGuards::default())
    }

    /// As [`Register::new`], with guards taken out.
    #[doc(hidden)]
    pub fn with_guards(
        local: Member, recovered: Option<WitnessState>, founding: Option<EpochRecord>, seed: u64,
        guards: RegisterGuards,
    ) -> Self {
        let needs_refresh = recovered.is_some();
        let state =
            recovered.unwrap_or_else(|| WitnessState { accepted: founding, ..WitnessState::default() });
        let counter = state.promised.counter;
        Self {
            acceptor: Acceptor::new(local.disk, state, guards),
            proposer: Proposer::new(local, guards, counter, needs_refresh, Random::new(seed)),
            outputs: Vec::new(),
        }
    }

    /// The newest record known to be chosen (the founding one at first), if any.
    pub fn chosen(&self) -> Option<&EpochRecord> {
        self.acceptor.chosen().map(|chosen| &chosen.record)
    }

    /// Whether a proposal is in progress; another one would be rejected.
    pub fn is_proposing(&self) -> bool {
        self.proposer.is_proposing()
    }

    /// Proposes a record that follows the chosen one: `expected` is its epoch. One at a time; a
    /// proposal that can't succeed is answered by [`RegisterOutput::Rejected`] at once.
    pub fn propose(&mut self, now: Duration, expected: u64, record: EpochRecord) {
        let is_stale = self.chosen().is_some_and(|chosen| chosen.epoch > expected);
        if self.is_proposing() || is_stale || record.epoch != expected + 1 {
            self.outputs.push(RegisterOutput::Rejected { epoch: record.epoch });
            return;
        }
        let (proposer, mut context) = self.split(now);
        proposer.start(&mut context, Goal::Propose { expected, record });
    }

    /// Asks a quorum for the newest chosen record, and completes one that is accepted by less than
    /// a quorum. Does nothing while another operation is in progress.
    pub fn refresh(&mut self, now: Duration) {
        if !self.proposer.is_busy() {
            let (proposer, mut context) = self.split(now);
            proposer.start(&mut context, Goal::Refresh);
        }
    }

    /// Sends the newest chosen record to a member. To be called when a connection to it opens, so
    /// that machines that lag behind or are new come to know the group.
    pub fn announce_chosen(&mut self, to: &Member) {
        if let Some(chosen) = self.acceptor.chosen().cloned() {
            self.outputs.push(RegisterOutput::send(to.clone(), &RegisterMessage::Learn(chosen)));
        }
    }

    /// A message arrived. What can't be decoded is dropped.
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
                let (proposer, mut context) = self.split(now);
                proposer.on_promise(&mut context, from.disk, number, Promise { accepted_number, accepted });
            }
            RegisterMessage::Accepted { number } => {
                let (proposer, mut context) = self.split(now);
                proposer.on_accepted(&mut context, from.disk, number);
            }
            RegisterMessage::Rejected { number, promised, chosen } => {
                self.proposer.observe(promised);
                self.learn_from_reply(chosen);
                self.proposer.on_rejected(now, number);
            }
            RegisterMessage::Learn(chosen) => self.acceptor.learn(chosen, &mut self.outputs),
        }
        let (proposer, mut context) = self.split(now);
        proposer.end_if_overtaken(&mut context);
    }

    /// A write is on disk.
    pub fn on_persisted(&mut self, _now: Duration, token: u64) {
        self.acceptor.on_persisted(token, &mut self.outputs);
    }

    /// Time passed: retries and timeouts. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Duration) {
        let (proposer, mut context) = self.split(now);
        proposer.tick(&mut context);
    }

    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<RegisterOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The proposer, and what its events work on.
    fn split(&mut self, now: Duration) -> (&mut Proposer, Context<'_>) {
        let context = Context { now, acceptor: &mut self.acceptor, outputs: &mut self.outputs };
        (&mut self.proposer, context)
    }

    fn learn_from_reply(&mut self, chosen: Option<ChosenRecord>) {
        if let Some(chosen) = chosen {
            self.acceptor.learn(chosen, &mut self.outputs);
        }
    }
}
