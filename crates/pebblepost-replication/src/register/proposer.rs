//! The proposer: attempts, retries, and completion of records that are accepted but not chosen.
//!
//! It owns the operation in progress. It only reads the state of the local acceptor and passes chosen
//! records to it; it never promises or accepts on its behalf.

use super::acceptor::Acceptor;
use super::attempt::{Attempt, Phase, Promise, Promises};
use super::message::{ChosenRecord, RegisterMessage};
use super::operation::{Goal, Operation, REFRESH_INTERVAL};
use super::output::RegisterOutput;
use super::proposal_number::ProposalNumber;
use crate::guards::RegisterGuards;
use crate::random::Random;
use crate::record::{EpochRecord, has_majority};
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that one phase of an attempt may take before the attempt fails.
const PHASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Upper limit of the random delay before the first refresh after a restart.
const MAX_REFRESH_JITTER: Duration = Duration::from_millis(200);

/// The state that an event uses besides the proposer itself.
pub(super) struct Context<'a> {
    pub(super) now: Duration,
    pub(super) acceptor: &'a mut Acceptor,
    pub(super) outputs: &'a mut Vec<RegisterOutput>,
}

impl Context<'_> {
    fn chosen(&self) -> Option<&EpochRecord> {
        self.acceptor.chosen().map(|chosen| &chosen.record)
    }

    fn send(&mut self, to: Member, message: &RegisterMessage) {
        self.outputs.push(RegisterOutput::send(to, message));
    }
}

/// Schedule of the refresh after a restart, while the newest chosen record is not known.
#[derive(Debug)]
struct RefreshSchedule {
    is_needed: bool,
    due_at: Option<Duration>,
}

/// The next step once a quorum has promised, or a record is chosen.
enum Decision {
    Finish,
    Reject,
    Retry,
    Write { record: EpochRecord, previous: Option<EpochRecord> },
}

/// The proposer of the local member.
#[derive(Debug)]
pub(super) struct Proposer {
    local: Member,
    guards: RegisterGuards,
    operation: Option<Operation>,
    attempt: Option<Attempt>,
    /// Highest counter of any proposal number seen.
    highest_counter: u64,
    refresh: RefreshSchedule,
    random: Random,
}

impl Proposer {
    /// Creates a proposer that has seen proposal numbers up to `highest_counter`. `needs_refresh` is
    /// set if the local disk held a state: the members may have chosen a newer record since.
    pub(super) fn new(
        local: Member, guards: RegisterGuards, highest_counter: u64, needs_refresh: bool, random: Random,
    ) -> Self {
        Self {
            local,
            guards,
            operation: None,
            attempt: None,
            highest_counter,
            refresh: RefreshSchedule { is_needed: needs_refresh, due_at: None },
            random,
        }
    }

    /// Returns whether an operation is in progress.
    pub(super) fn is_busy(&self) -> bool {
        self.operation.is_some()
    }

    /// Returns whether the operation in progress is a proposal.
    pub(super) fn is_proposing(&self) -> bool {
        matches!(&self.operation, Some(Operation { goal: Goal::Propose { .. }, .. }))
    }

    /// Starts an operation, which replaces the one in progress.
    pub(super) fn start(&mut self, context: &mut Context<'_>, goal: Goal) {
        self.operation = Some(Operation::new(goal, context.now));
        self.attempt = None;
        self.begin_attempt(context);
    }

    /// Starts a refresh that is due, ends what has reached its deadline, and starts retries that are
    /// due.
    pub(super) fn tick(&mut self, context: &mut Context<'_>) {
        self.refresh_when_due(context);
        let Some(operation) = &self.operation else { return };
        if context.now >= operation.deadline {
            self.fail_operation(context);
            return;
        }
        if self.attempt.as_ref().is_some_and(|attempt| context.now >= attempt.deadline) {
            self.back_off(context.now);
        }
        let is_due = self.operation.as_ref().is_some_and(|operation| context.now >= operation.retry_at);
        if self.attempt.is_none() && is_due {
            self.begin_attempt(context);
        }
    }

    /// Handles the promise of a witness.
    pub(super) fn on_promise(
        &mut self, context: &mut Context<'_>, from: DiskId, number: ProposalNumber, promise: Promise,
    ) {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.number == number) else { return };
        let Phase::Prepare { promises, .. } = &mut attempt.phase else { return };
        promises.insert(from, promise);
        self.check_promises(context);
    }

    /// Handles the acceptance of a witness. A new record needs a quorum of its own witnesses and a
    /// quorum of its predecessor's.
    pub(super) fn on_accepted(&mut self, context: &mut Context<'_>, from: DiskId, number: ProposalNumber) {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.number == number) else { return };
        let Phase::Accept { record, previous, accepted_by } = &mut attempt.phase else { return };
        accepted_by.insert(from);
        let (record, previous, accepted_by) = (record.clone(), previous.clone(), accepted_by.clone());
        let has_previous_quorum = previous.is_none_or(|previous| self.is_quorum(&previous, &accepted_by));
        if self.is_quorum(&record, &accepted_by) && has_previous_quorum {
            self.on_chosen(context, number, record);
        }
    }

    /// Handles the rejection by a witness that has promised a higher number.
    pub(super) fn on_rejected(&mut self, now: Duration, number: ProposalNumber) {
        if self.attempt.as_ref().is_some_and(|attempt| attempt.number == number) {
            self.back_off(now);
        }
    }

    /// Records a number that a witness has promised, so that later attempts use a higher one.
    pub(super) fn observe(&mut self, promised: ProposalNumber) {
        self.highest_counter = self.highest_counter.max(promised.counter);
    }

    /// Ends the proposal in progress if a record of its epoch or a later one is known to be chosen.
    /// The proposal succeeds if that is the proposed record, and fails otherwise.
    pub(super) fn end_if_superseded(&mut self, context: &mut Context<'_>) {
        let Some(Operation { goal: Goal::Propose { expected, record }, .. }) = &self.operation else {
            return;
        };
        let Some(chosen) = context.chosen() else { return };
        if chosen.epoch <= *expected {
            return;
        }
        if chosen == record {
            self.finish_operation();
        } else {
            self.fail_operation(context);
        }
    }

    fn refresh_when_due(&mut self, context: &mut Context<'_>) {
        if !self.refresh.is_needed || self.is_busy() {
            return;
        }
        match self.refresh.due_at {
            None => self.refresh.due_at = Some(context.now + self.random.duration_below(MAX_REFRESH_JITTER)),
            Some(due_at) if context.now >= due_at => {
                self.refresh.due_at = Some(context.now + REFRESH_INTERVAL);
                self.start(context, Goal::Refresh);
            }
            Some(_) => {}
        }
    }

    fn is_quorum(&self, record: &EpochRecord, disks: &BTreeSet<DiskId>) -> bool {
        if self.guards.requires_former_majority {
            record.has_quorum(disks)
        } else {
            has_majority(&record.witnesses, disks)
        }
    }

    fn begin_attempt(&mut self, context: &mut Context<'_>) {
        let Some(known) = newest_known_record(context.acceptor) else {
            self.fail_operation(context);
            return;
        };
        let promised = context.acceptor.state().promised.counter;
        self.highest_counter = self.highest_counter.max(promised) + 1;
        self.attempt = Some(Attempt {
            number: ProposalNumber { counter: self.highest_counter, proposer: self.local.disk },
            deadline: context.now + PHASE_TIMEOUT,
            prepared: BTreeSet::new(),
            phase: Phase::Prepare { known: known.clone(), promises: Promises::default() },
        });
        // The local acceptor is always asked: the number must be on the local disk before anything is
        // proposed under it, so that no later incarnation of this process uses it again.
        let local = self.local.clone();
        self.send_prepare(context, &known, std::iter::once(&local));
        self.send_prepare(context, &known, known.all_witnesses());
    }

    /// Sends the prepare request to those members to which it has not been sent yet.
    fn send_prepare<'a>(
        &mut self, context: &mut Context<'_>, known: &EpochRecord, members: impl Iterator<Item = &'a Member>,
    ) {
        let Some(attempt) = &mut self.attempt else { return };
        for member in members {
            if attempt.prepared.insert(member.disk) {
                let prepare = RegisterMessage::Prepare { number: attempt.number, known: known.clone() };
                context.send(member.clone(), &prepare);
            }
        }
    }

    /// Also asks the witnesses of the newest record seen, and continues once a quorum of them has
    /// promised.
    fn check_promises(&mut self, context: &mut Context<'_>) {
        let Some(Attempt { phase: Phase::Prepare { known, promises }, .. }) = &self.attempt else { return };
        let chosen = context.chosen();
        let chosen_epoch = chosen.map_or(0, |record| record.epoch);
        let accepted = promises.highest_accepted().map(|(_, record)| record);
        let required = accepted.filter(|record| record.epoch >= chosen_epoch);
        let required = required.or(chosen).unwrap_or(known).clone();
        let promised_by = promises.disks();
        self.send_prepare(context, &required, required.all_witnesses());
        if promised_by.contains(&self.local.disk) && self.is_quorum(&required, &promised_by) {
            self.on_promise_quorum(context);
        }
    }

    fn on_promise_quorum(&mut self, context: &mut Context<'_>) {
        match self.decide(context) {
            Decision::Finish => self.finish_operation(),
            Decision::Reject => self.fail_operation(context),
            Decision::Retry => self.back_off(context.now),
            Decision::Write { record, previous } => self.send_accept(context, record, previous),
        }
    }

    fn decide(&self, context: &mut Context<'_>) -> Decision {
        let Some(Attempt { phase: Phase::Prepare { promises, .. }, .. }) = &self.attempt else {
            return Decision::Retry;
        };
        let Some((number, accepted)) = promises.highest_accepted() else { return Decision::Retry };
        let chosen = context.chosen();
        if chosen.is_some_and(|chosen| chosen.epoch > accepted.epoch) {
            return Decision::Retry;
        }
        let is_known = chosen == Some(accepted);
        let is_chosen = is_known || self.is_quorum(accepted, &promises.disks_accepted_under(number));
        let accepted = accepted.clone();
        if !is_chosen && self.guards.completes_accepted {
            return Decision::Write { record: accepted, previous: None };
        }
        if !is_known {
            self.announce(context, ChosenRecord { number, record: accepted.clone() });
        }
        self.decide_after_chosen(accepted)
    }

    /// Returns the step that the goal requires after `chosen`, the newest chosen record.
    fn decide_after_chosen(&self, chosen: EpochRecord) -> Decision {
        let Some(Operation { goal, .. }) = &self.operation else { return Decision::Finish };
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

    /// Starts phase 2: asks the witnesses of the record and of its predecessor to accept the record.
    fn send_accept(&mut self, context: &mut Context<'_>, record: EpochRecord, previous: Option<EpochRecord>) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.deadline = context.now + PHASE_TIMEOUT;
        let records = std::iter::once(&record).chain(previous.as_ref());
        let receivers = unique_by_disk(records.flat_map(EpochRecord::all_witnesses));
        let accept = RegisterMessage::Accept { number: attempt.number, record: record.clone() };
        attempt.phase = Phase::Accept { record, previous, accepted_by: BTreeSet::new() };
        for member in receivers.into_values() {
            context.send(member, &accept);
        }
    }

    fn on_chosen(&mut self, context: &mut Context<'_>, number: ProposalNumber, record: EpochRecord) {
        self.announce(context, ChosenRecord { number, record: record.clone() });
        match self.decide_after_chosen(record) {
            Decision::Finish => self.finish_operation(),
            Decision::Reject => self.fail_operation(context),
            Decision::Retry | Decision::Write { .. } => self.begin_attempt(context),
        }
    }

    /// Sends a chosen record to its witnesses and in-sync replicas, and passes it to the local learner.
    fn announce(&self, context: &mut Context<'_>, chosen: ChosenRecord) {
        let replicas = chosen.record.in_sync.iter();
        let mut receivers = unique_by_disk(chosen.record.all_witnesses().chain(replicas));
        receivers.remove(&self.local.disk);
        let learn = RegisterMessage::Learn(chosen.clone());
        for member in receivers.into_values() {
            context.send(member, &learn);
        }
        context.acceptor.learn(chosen, context.outputs);
    }

    fn back_off(&mut self, now: Duration) {
        self.attempt = None;
        let Some(operation) = &mut self.operation else { return };
        let max_backoff = operation.fail_attempt();
        operation.retry_at = now + self.random.duration_below(max_backoff);
    }

    fn finish_operation(&mut self) {
        if matches!(&self.operation, Some(Operation { goal: Goal::Refresh, .. })) {
            self.refresh.is_needed = false;
        }
        self.operation = None;
        self.attempt = None;
    }

    fn fail_operation(&mut self, context: &mut Context<'_>) {
        self.attempt = None;
        if let Some(Operation { goal: Goal::Propose { record, .. }, .. }) = self.operation.take() {
            context.outputs.push(RegisterOutput::Rejected { epoch: record.epoch });
        }
    }
}

/// Returns the newest record known to the acceptor, chosen or not. Its witnesses are asked first.
fn newest_known_record(acceptor: &Acceptor) -> Option<EpochRecord> {
    let state = acceptor.state();
    match (acceptor.chosen(), &state.accepted) {
        (Some(chosen), Some(accepted)) if state.accepted_number > chosen.number => Some(accepted.clone()),
        (Some(chosen), _) => Some(chosen.record.clone()),
        (None, accepted) => accepted.clone(),
    }
}

/// Returns each member once, ordered by disk. Of several entries for a disk, the last one counts.
fn unique_by_disk<'a>(members: impl Iterator<Item = &'a Member>) -> BTreeMap<DiskId, Member> {
    members.map(|member| (member.disk, member.clone())).collect()
}
