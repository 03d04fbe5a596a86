//! The acceptor and learner. It sends promises and acceptances only after they are on disk.
//!
//! It owns the witness state and the newest chosen record, and never starts a proposal.

use super::message::{ChosenRecord, RegisterMessage};
use super::output::RegisterOutput;
use super::proposal_number::ProposalNumber;
use super::witness_state::WitnessState;
use crate::guards::RegisterGuards;
use crate::record::EpochRecord;
use pebblepost_messages::{DiskId, Member};
use std::collections::VecDeque;

/// A reply that is sent once the write with this token is on disk.
#[derive(Debug)]
struct PendingReply {
    token: u64,
    to: Member,
    message: RegisterMessage,
}

/// Acceptor and learner of one member.
#[derive(Debug)]
pub(super) struct Acceptor {
    local_disk: DiskId,
    guards: RegisterGuards,
    state: WitnessState,
    /// The newest record known to be chosen.
    chosen: Option<ChosenRecord>,
    /// Token of the newest write that was requested.
    issued_token: u64,
    /// Token of the newest write that is on disk.
    persisted_token: u64,
    pending_replies: VecDeque<PendingReply>,
}

impl Acceptor {
    /// Creates an acceptor with this state. An accepted initial record (epoch 0) counts as chosen.
    pub(super) fn new(local_disk: DiskId, state: WitnessState, guards: RegisterGuards) -> Self {
        let initial_record = state.accepted.clone().filter(|record| record.epoch == 0);
        let chosen = initial_record.map(|record| ChosenRecord { number: ProposalNumber::default(), record });
        Self {
            local_disk,
            guards,
            state,
            chosen,
            issued_token: 0,
            persisted_token: 0,
            pending_replies: VecDeque::new(),
        }
    }

    /// Returns the state, including changes whose write is still in flight.
    pub(super) fn state(&self) -> &WitnessState {
        &self.state
    }

    pub(super) fn chosen(&self) -> Option<&ChosenRecord> {
        self.chosen.as_ref()
    }

    /// Answers a prepare request. The reply includes the newest chosen record, for proposers that lag
    /// behind.
    pub(super) fn prepare(
        &mut self, from: &Member, number: ProposalNumber, known: &EpochRecord,
        outputs: &mut Vec<RegisterOutput>,
    ) {
        if !self.may_answer(from, known) {
            return;
        }
        if number < self.state.promised {
            self.reject(from, number, outputs);
            return;
        }
        if number > self.state.promised {
            self.state.promised = number;
            self.persist(outputs);
        }
        let promise = RegisterMessage::Promise {
            number,
            accepted_number: self.state.accepted_number,
            accepted: self.state.accepted.clone(),
            chosen: self.chosen.clone(),
        };
        self.reply(from, promise, outputs);
    }

    /// Answers an accept request.
    pub(super) fn accept(
        &mut self, from: &Member, number: ProposalNumber, record: EpochRecord,
        outputs: &mut Vec<RegisterOutput>,
    ) {
        if !self.may_answer(from, &record) {
            return;
        }
        if number < self.state.promised {
            self.reject(from, number, outputs);
            return;
        }
        if number > self.state.accepted_number {
            self.state = WitnessState { promised: number, accepted_number: number, accepted: Some(record) };
            self.persist(outputs);
        }
        self.reply(from, RegisterMessage::Accepted { number }, outputs);
    }

    /// Learns a chosen record. It is also stored as accepted, so that it is known after a restart.
    pub(super) fn learn(&mut self, chosen: ChosenRecord, outputs: &mut Vec<RegisterOutput>) {
        self.store_chosen(&chosen, outputs);
        let known_epoch = self.chosen.as_ref().map(|known| known.record.epoch);
        if known_epoch.is_some_and(|epoch| epoch >= chosen.record.epoch) {
            return;
        }
        outputs.push(RegisterOutput::Chosen(chosen.record.clone()));
        self.chosen = Some(chosen);
    }

    /// Sends the replies that waited for the writes up to this token.
    pub(super) fn on_persisted(&mut self, token: u64, outputs: &mut Vec<RegisterOutput>) {
        self.persisted_token = self.persisted_token.max(token);
        while let Some(reply) = self.pending_replies.pop_front_if(|reply| reply.token <= self.persisted_token)
        {
            outputs.push(RegisterOutput::send(reply.to, &reply.message));
        }
    }

    fn store_chosen(&mut self, chosen: &ChosenRecord, outputs: &mut Vec<RegisterOutput>) {
        if chosen.number <= self.state.accepted_number {
            return;
        }
        self.state.promised = self.state.promised.max(chosen.number);
        self.state.accepted_number = chosen.number;
        self.state.accepted = Some(chosen.record.clone());
        self.persist(outputs);
    }

    /// Returns whether this member may answer a request that carries `record`.
    ///
    /// A disk without any record has promised nothing, and answers only if `record` names it as a
    /// witness. A proposer always answers itself: its promise puts the proposal number on its disk, so
    /// that no number is used twice.
    fn may_answer(&self, from: &Member, record: &EpochRecord) -> bool {
        self.state.accepted.is_some() || from.disk == self.local_disk || record.is_witness(self.local_disk)
    }

    fn reject(&self, to: &Member, number: ProposalNumber, outputs: &mut Vec<RegisterOutput>) {
        let (promised, chosen) = (self.state.promised, self.chosen.clone());
        let message = RegisterMessage::Rejected { number, promised, chosen };
        outputs.push(RegisterOutput::send(to.clone(), &message));
    }

    fn persist(&mut self, outputs: &mut Vec<RegisterOutput>) {
        self.issued_token += 1;
        outputs.push(RegisterOutput::Persist { token: self.issued_token, state: self.state.clone() });
    }

    /// Sends a reply once the state that it reports is on disk.
    fn reply(&mut self, to: &Member, message: RegisterMessage, outputs: &mut Vec<RegisterOutput>) {
        if self.persisted_token >= self.issued_token || !self.guards.persists_before_reply {
            outputs.push(RegisterOutput::send(to.clone(), &message));
        } else {
            self.pending_replies.push_back(PendingReply {
                token: self.issued_token,
                to: to.clone(),
                message,
            });
        }
    }
}
