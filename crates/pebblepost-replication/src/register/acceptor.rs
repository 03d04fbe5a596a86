//! The witness's side: promises and acceptances, told only once they are on disk.

use super::message::{ChosenRecord, RegisterMessage};
use super::{Ballot, RegisterOutput, WitnessState};
use crate::guards::RegisterGuards;
use crate::record::EpochRecord;
use nanoserde::SerBin;
use pebblepost_messages::{DiskId, Member};
use std::collections::VecDeque;

/// A reply that waits for a write.
#[derive(Debug)]
struct HeldReply {
    token: u64,
    to: Member,
    message: RegisterMessage,
}

/// State of a witness.
#[derive(Debug)]
pub(super) struct Acceptor {
    me: DiskId,
    guards: RegisterGuards,
    state: WitnessState,
    issued: u64,
    persisted: u64,
    held: VecDeque<HeldReply>,
}

impl Acceptor {
    pub(super) fn new(me: DiskId, state: WitnessState, guards: RegisterGuards) -> Self {
        Self { me, guards, state, issued: 0, persisted: 0, held: VecDeque::new() }
    }

    pub(super) fn state(&self) -> &WitnessState {
        &self.state
    }

    /// Answers a prepare; `chosen` goes along for proposers that lag behind.
    pub(super) fn prepare(
        &mut self, from: &Member, ballot: Ballot, known: &EpochRecord, chosen: Option<ChosenRecord>,
        outputs: &mut Vec<RegisterOutput>,
    ) {
        if !self.may_answer(from, known) {
            return;
        }
        if ballot < self.state.promised {
            self.refuse(from, ballot, chosen, outputs);
            return;
        }
        if ballot > self.state.promised {
            self.state.promised = ballot;
            self.persist(outputs);
        }
        let accepted_ballot = self.state.accepted_ballot;
        let accepted = self.state.accepted.clone();
        let promise = RegisterMessage::Promise { ballot, accepted_ballot, accepted, chosen };
        self.reply(from, promise, outputs);
    }

    /// Answers an accept.
    pub(super) fn accept(
        &mut self, from: &Member, ballot: Ballot, record: EpochRecord, chosen: Option<ChosenRecord>,
        outputs: &mut Vec<RegisterOutput>,
    ) {
        if !self.may_answer(from, &record) {
            return;
        }
        if ballot < self.state.promised {
            self.refuse(from, ballot, chosen, outputs);
            return;
        }
        if ballot > self.state.accepted_ballot {
            self.state = WitnessState { promised: ballot, accepted_ballot: ballot, accepted: Some(record) };
            self.persist(outputs);
        }
        self.reply(from, RegisterMessage::Accepted { ballot }, outputs);
    }

    /// Takes over a chosen record as accepted, so that it is known after a restart.
    pub(super) fn learn(&mut self, chosen: &ChosenRecord, outputs: &mut Vec<RegisterOutput>) {
        if chosen.ballot <= self.state.accepted_ballot {
            return;
        }
        self.state.promised = self.state.promised.max(chosen.ballot);
        self.state.accepted_ballot = chosen.ballot;
        self.state.accepted = Some(chosen.record.clone());
        self.persist(outputs);
    }

    /// A write is on disk: the replies that waited for it go out.
    pub(super) fn persisted(&mut self, token: u64, outputs: &mut Vec<RegisterOutput>) {
        self.persisted = self.persisted.max(token);
        while self.held.front().is_some_and(|reply| reply.token <= self.persisted) {
            let Some(reply) = self.held.pop_front() else { break };
            outputs.push(send(reply.to, &reply.message));
        }
    }

    /// A disk that knows no record has promised nothing and answers only where the record at
    /// hand names it; a proposer always answers itself, so that no ballot is used twice.
    fn may_answer(&self, from: &Member, record: &EpochRecord) -> bool {
        self.state.accepted.is_some() || from.disk == self.me || record.is_witness(self.me)
    }

    fn refuse(
        &self, to: &Member, ballot: Ballot, chosen: Option<ChosenRecord>, outputs: &mut Vec<RegisterOutput>,
    ) {
        let message = RegisterMessage::Refused { ballot, promised: self.state.promised, chosen };
        outputs.push(send(to.clone(), &message));
    }

    fn persist(&mut self, outputs: &mut Vec<RegisterOutput>) {
        self.issued += 1;
        outputs.push(RegisterOutput::Persist { token: self.issued, state: self.state.clone() });
    }

    fn reply(&mut self, to: &Member, message: RegisterMessage, outputs: &mut Vec<RegisterOutput>) {
        if self.persisted >= self.issued || !self.guards.persisted_before_reply {
            outputs.push(send(to.clone(), &message));
        } else {
            self.held.push_back(HeldReply { token: self.issued, to: to.clone(), message });
        }
    }
}

/// A message to a member.
pub(super) fn send(to: Member, message: &RegisterMessage) -> RegisterOutput {
    RegisterOutput::Send { to, message: message.serialize_bin() }
}
