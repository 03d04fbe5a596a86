//! The proposer's side: ballots, retries, completion of what is found half accepted.

use super::acceptor::send;
use super::attempt::{Attempt, Goal, Phase, PromiseReply, Task, disks_at, newest};
use super::message::{ChosenRecord, RegisterMessage};
use super::{Ballot, PROPOSAL_TIME, Register, RegisterOutput};
use crate::record::{EpochRecord, has_majority};
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long one ballot may take before the next.
const BALLOT_TIME: Duration = Duration::from_millis(250);
/// Back-off after a refused ballot, doubled with every failure.
const BACKOFF: Duration = Duration::from_millis(20);
/// Doublings of the back-off.
const MOST_DOUBLINGS: u32 = 4;

/// What follows once promises of a quorum are there.
enum Decision {
    Finish,
    Reject,
    Retry,
    Write { record: EpochRecord, previous: Option<EpochRecord> },
}

impl Register {
    pub(super) fn start(&mut self, now: Duration, goal: Goal) {
        let deadline = now + PROPOSAL_TIME;
        self.task = Some(Task { goal, deadline, failures: 0, retry_at: now });
        self.attempt = None;
        self.begin_ballot(now);
    }

    pub(super) fn drive_task(&mut self, now: Duration) {
        let Some(task) = &self.task else { return };
        if now >= task.deadline {
            self.fail_task();
            return;
        }
        if self.attempt.as_ref().is_some_and(|attempt| now >= attempt.deadline) {
            self.back_off(now);
        }
        let is_due = self.task.as_ref().is_some_and(|task| now >= task.retry_at);
        if self.attempt.is_none() && is_due {
            self.begin_ballot(now);
        }
    }

    pub(super) fn promised(&mut self, now: Duration, from: DiskId, ballot: Ballot, reply: PromiseReply) {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else { return };
        let Phase::Prepare { replies, .. } = &mut attempt.phase else { return };
        replies.insert(from, reply);
        self.check_promises(now);
    }

    pub(super) fn accepted(&mut self, now: Duration, from: DiskId, ballot: Ballot) {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else { return };
        let Phase::Accept { record, previous, answered } = &mut attempt.phase else { return };
        answered.insert(from);
        let (record, previous, answered) = (record.clone(), previous.clone(), answered.clone());
        let follows_quorum = previous.is_none_or(|previous| self.is_quorum(&previous, &answered));
        if self.is_quorum(&record, &answered) && follows_quorum {
            self.record_chosen(now, ballot, record);
        }
    }

    pub(super) fn refused(&mut self, now: Duration, ballot: Ballot) {
        if self.attempt.as_ref().is_some_and(|attempt| attempt.ballot == ballot) {
            self.back_off(now);
        }
    }

    /// Ends a proposal that another record overtook, or that turns out to be chosen.
    pub(super) fn end_task_if_overtaken(&mut self) {
        let Some(Task { goal: Goal::Propose { expected, record }, .. }) = &self.task else { return };
        let Some(chosen) = &self.chosen else { return };
        if chosen.record.epoch <= *expected {
            return;
        }
        if chosen.record == *record {
            self.finish_task();
        } else {
            self.fail_task();
        }
    }

    fn is_quorum(&self, record: &EpochRecord, disks: &BTreeSet<DiskId>) -> bool {
        if self.guards.former_majority {
            record.has_quorum(disks)
        } else {
            has_majority(&record.witnesses, disks)
        }
    }

    /// The newest record known here, chosen or not: its witnesses are asked first.
    fn newest_known(&self) -> Option<EpochRecord> {
        let state = self.acceptor.state();
        match (&self.chosen, &state.accepted) {
            (Some(chosen), Some(accepted)) if state.accepted_ballot > chosen.ballot => Some(accepted.clone()),
            (Some(chosen), _) => Some(chosen.record.clone()),
            (None, accepted) => accepted.clone(),
        }
    }

    fn begin_ballot(&mut self, now: Duration) {
        let Some(known) = self.newest_known() else {
            self.fail_task();
            return;
        };
        let promised = self.acceptor.state().promised.round;
        self.highest_round = self.highest_round.max(promised) + 1;
        let ballot = Ballot { round: self.highest_round, proposer: self.me.disk };
        self.attempt = Some(Attempt {
            ballot,
            deadline: now + BALLOT_TIME,
            asked: BTreeSet::new(),
            phase: Phase::Prepare { known: known.clone(), replies: BTreeMap::new() },
        });
        // Itself always: a ballot is on its own disk before anything is proposed under it, so
        // that no later life uses it again.
        let me = self.me.clone();
        self.ask(&known, std::iter::once(&me));
        self.ask(&known, known.all_witnesses());
    }

    /// Sends the prepare to those that were not asked yet.
    fn ask<'a>(&mut self, known: &EpochRecord, members: impl Iterator<Item = &'a Member>) {
        let Some(attempt) = &mut self.attempt else { return };
        for member in members {
            if attempt.asked.insert(member.disk) {
                let prepare = RegisterMessage::Prepare { ballot: attempt.ballot, known: known.clone() };
                self.outputs.push(send(member.clone(), &prepare));
            }
        }
    }

    /// Asks the witnesses of the newest record seen, too, and goes on once they are a quorum.
    fn check_promises(&mut self, now: Duration) {
        let Some(Attempt { phase: Phase::Prepare { known, replies }, .. }) = &self.attempt else { return };
        let chosen_epoch = self.chosen().map_or(0, |record| record.epoch);
        let seen = newest(replies).map(|(_, record)| record);
        let required = seen.filter(|record| record.epoch >= chosen_epoch);
        let required = required.or(self.chosen()).unwrap_or(known).clone();
        let answered: BTreeSet<DiskId> = replies.keys().copied().collect();
        self.ask(&required, required.all_witnesses());
        if answered.contains(&self.me.disk) && self.is_quorum(&required, &answered) {
            self.carry_out(now);
        }
    }

    fn carry_out(&mut self, now: Duration) {
        match self.decide() {
            Decision::Finish => self.finish_task(),
            Decision::Reject => self.fail_task(),
            Decision::Retry => self.back_off(now),
            Decision::Write { record, previous } => self.write(now, record, previous),
        }
    }

    fn decide(&mut self) -> Decision {
        let Some(Attempt { phase: Phase::Prepare { replies, .. }, .. }) = &self.attempt else {
            return Decision::Retry;
        };
        let Some((ballot, found)) = newest(replies) else { return Decision::Retry };
        let found = found.clone();
        if self.chosen().is_some_and(|chosen| chosen.epoch > found.epoch) {
            return Decision::Retry;
        }
        let is_known = self.chosen() == Some(&found);
        let is_chosen = is_known || self.is_quorum(&found, &disks_at(replies, ballot));
        if !is_chosen && self.guards.complete_found {
            return Decision::Write { record: found, previous: None };
        }
        if !is_known {
            self.announce(ChosenRecord { ballot, record: found.clone() });
        }
        self.decide_on_chosen(found)
    }

    /// What the goal asks for once the newest chosen record is known.
    fn decide_on_chosen(&self, chosen: EpochRecord) -> Decision {
        let Some(Task { goal, .. }) = &self.task else { return Decision::Finish };
        match goal {
            Goal::Refresh => Decision::Finish,
            Goal::Propose { record, .. } if *record == chosen => Decision::Finish,
            Goal::Propose { expected, record } => {
                if chosen.epoch == *expected && chosen.may_be_followed_by(record) {
                    Decision::Write { record: record.clone(), previous: Some(chosen) }
                } else {
                    Decision::Reject
                }
            }
        }
    }

    fn write(&mut self, now: Duration, record: EpochRecord, previous: Option<EpochRecord>) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.deadline = now + BALLOT_TIME;
        let mut receivers: BTreeMap<DiskId, Member> = BTreeMap::new();
        let records = std::iter::once(&record).chain(previous.as_ref());
        for member in records.flat_map(|record| record.all_witnesses()) {
            receivers.insert(member.disk, member.clone());
        }
        let accept = RegisterMessage::Accept { ballot: attempt.ballot, record: record.clone() };
        attempt.phase = Phase::Accept { record, previous, answered: BTreeSet::new() };
        for member in receivers.into_values() {
            self.outputs.push(send(member, &accept));
        }
    }

    fn record_chosen(&mut self, now: Duration, ballot: Ballot, record: EpochRecord) {
        self.announce(ChosenRecord { ballot, record: record.clone() });
        match self.decide_on_chosen(record) {
            Decision::Finish => self.finish_task(),
            Decision::Reject => self.fail_task(),
            Decision::Retry | Decision::Write { .. } => self.begin_ballot(now),
        }
    }

    /// Tells everybody whom it concerns that a record is chosen.
    fn announce(&mut self, chosen: ChosenRecord) {
        let mut receivers: BTreeMap<DiskId, Member> = BTreeMap::new();
        let replicas = chosen.record.in_sync.iter();
        for member in chosen.record.all_witnesses().chain(replicas) {
            receivers.insert(member.disk, member.clone());
        }
        receivers.remove(&self.me.disk);
        let learn = RegisterMessage::Learn(chosen.clone());
        for member in receivers.into_values() {
            self.outputs.push(send(member, &learn));
        }
        self.learn(chosen);
    }

    fn back_off(&mut self, now: Duration) {
        self.attempt = None;
        let Some(task) = &mut self.task else { return };
        let most = BACKOFF * (1 << task.failures.min(MOST_DOUBLINGS));
        task.failures += 1;
        task.retry_at = now + self.random.below(most);
    }

    fn finish_task(&mut self) {
        if matches!(&self.task, Some(Task { goal: Goal::Refresh, .. })) {
            self.wants_refresh = false;
        }
        self.task = None;
        self.attempt = None;
    }

    fn fail_task(&mut self) {
        self.attempt = None;
        if let Some(Task { goal: Goal::Propose { record, .. }, .. }) = self.task.take() {
            self.outputs.push(RegisterOutput::Rejected { epoch: record.epoch });
        }
    }
}
