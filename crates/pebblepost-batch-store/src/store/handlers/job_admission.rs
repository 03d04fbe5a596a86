//! Admission of submitted jobs: a job is proposed only once each replica of its store group has reserved memory for it.
//!
//! A machine is primary of some store groups and replica of others. Its own use does not tell a primary whether the
//! other replicas have room, so it asks them.

use crate::store::Store;
use crate::store::state::outbox::LinkId;
use crate::store::state::proposals::{Caller, Proposal};
use crate::store::state::reservations::{Reservation, ReservationId};
use crate::store::state::submissions::{NextStep, Submission};
use pebblepost_batch::admission::MemoryUse;
use pebblepost_batch::command::Change;
use pebblepost_messages::batch::{EncodedJob, SubmitOutcome, ToStore, store_group_of};
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeSet;
use std::time::Duration;

/// Delay after which a caller may retry a job that exceeded the memory budget.
const REJECTED_RETRY_AFTER_MS: u64 = 1_000;

impl Store {
    /// Stores a job, if all replicas of its store group have room for it. It is decoded only then.
    ///
    /// The call is idempotent: with the id of a stored job it is accepted at once, and with the id of a job that waits
    /// for memory, or is proposed, it is accepted once that job is committed.
    pub(crate) fn submit_job(&mut self, now: Duration, caller: Caller, group_id: u32, job: EncodedJob) {
        if store_group_of(job.id()) != group_id {
            log::error!("job submitted to the wrong store group job={} group={group_id}", job.id());
            return self.reply_submitted(&[caller], SubmitOutcome::NotPrimary);
        }
        let Some(group) = self.acting_group(now, group_id) else {
            return self.reply_submitted(&[caller], SubmitOutcome::NotPrimary);
        };
        if group.state().job(job.id()).is_some() {
            return self.reply_submitted(&[caller], SubmitOutcome::Accepted);
        }
        if let Some(callers) = group.proposals.submit_callers(job.id()) {
            callers.push(caller);
            return;
        }
        let Some(job) = self.add_to_submission(now, caller, job) else { return };
        self.start_submission(now, caller, Submission::of_job(now, group_id, job, caller));
    }

    /// Reserves memory for a job that a proxy wants to send, and answers when that is done. If the job is already
    /// stored, submitted or announced, the call is answered like a submission.
    pub(crate) fn announce_job(
        &mut self, now: Duration, caller: Caller, group_id: u32, job: String, bytes: u64,
    ) {
        let Some(group) = self.acting_group(now, group_id) else {
            return self.reply_submitted(&[caller], SubmitOutcome::NotPrimary);
        };
        if group.state().job(&job).is_some() {
            return self.reply_submitted(&[caller], SubmitOutcome::Accepted);
        }
        if let Some(callers) = group.proposals.submit_callers(&job) {
            callers.push(caller);
            return;
        }
        if let Some((_, submission)) = self.submissions.of_job(&job) {
            submission.callers.push(caller);
            return;
        }
        self.start_submission(now, caller, Submission::announced(now, group_id, job, bytes, caller));
    }

    /// Gives up the submissions whose job was to come over a lost link.
    pub(crate) fn give_up_submissions_over(&mut self, link: LinkId) {
        for number in self.submissions.numbers_of_link(link) {
            self.give_up_submission(number);
        }
    }

    /// Adds a job, or its caller, to the submission of the job that there is. Returns the job if there is none.
    fn add_to_submission(&mut self, now: Duration, caller: Caller, job: EncodedJob) -> Option<EncodedJob> {
        let Some((number, submission)) = self.submissions.of_job(job.id()) else { return Some(job) };
        if submission.has_job() {
            submission.callers.push(caller);
            return None;
        }
        match submission.add_job(job) {
            Ok(()) => {
                submission.callers.push(caller);
                self.advance_submission(now, number);
                None
            }
            Err(job) => {
                // Larger than announced: what is reserved is not enough.
                self.give_up_submission(number);
                Some(job)
            }
        }
    }

    /// Starts a submission, or rejects it if this machine has no room for the job.
    fn start_submission(&mut self, now: Duration, caller: Caller, submission: Submission) {
        let mut used = self.memory_use();
        let waiting_bytes = self.submissions.unreserved_bytes(self.settings.member.disk);
        used.accepting_bytes = used.accepting_bytes.saturating_add(waiting_bytes);
        if !self.settings.budget.admits(used, submission.estimated_bytes) {
            let outcome = self.rejection(now, submission.group_id, &submission.job_id);
            return self.reply_submitted(&[caller], outcome);
        }
        let number = self.submissions.insert(submission);
        self.advance_submission(now, number);
    }

    /// Handles a primary's request to reserve memory for a job.
    pub(crate) fn handle_reserve_memory(
        &mut self, now: Duration, peer: Member, submission: u64, reservation: Reservation,
    ) {
        let id = ReservationId { primary: peer.disk, submission };
        let is_granted = self.reservations.contains(id) || self.has_room(reservation.bytes);
        if is_granted {
            self.reservations.insert(now, id, reservation);
        } else {
            log::info!(
                "memory not reserved job={} bytes={} used_bytes={} primary={}",
                reservation.job,
                reservation.bytes,
                self.memory_use().total_bytes(),
                peer.node
            );
        }
        self.outbox.send_to_peer(peer, ToStore::ReserveMemoryResponse { submission, is_granted });
    }

    /// Handles a machine's response to a request to reserve memory.
    pub(crate) fn handle_reserve_memory_response(
        &mut self, now: Duration, disk: DiskId, number: u64, is_granted: bool,
    ) {
        let Some(submission) = self.submissions.get_mut(number) else { return };
        if is_granted {
            submission.record_reservation(disk);
            self.advance_submission(now, number);
        } else {
            self.reject_submission(now, number);
        }
    }

    /// Handles a primary's notice that a job for which memory is reserved is not replicated.
    pub(crate) fn handle_release_memory(&mut self, primary: DiskId, submission: u64) {
        self.reservations.remove(ReservationId { primary, submission });
    }

    /// Repeats requests for memory that were lost, takes account of changed replicas, and gives up the submissions
    /// that have waited for too long.
    pub(crate) fn advance_submissions(&mut self, now: Duration) {
        for number in self.submissions.numbers() {
            match self.submissions.get_mut(number) {
                Some(submission) if submission.is_timed_out(now) => self.give_up_submission(number),
                _ => self.advance_submission(now, number),
            }
        }
    }

    /// Removes the reservations that have ended, and those whose job counts in the state of its store group.
    pub(crate) fn remove_ended_reservations(&mut self, now: Duration) {
        let groups = &self.groups;
        self.reservations.remove_ended(now, |reservation| {
            let group = groups.get(&reservation.group_id);
            group.is_some_and(|group| group.state().job(&reservation.job).is_some())
        });
    }

    /// Gives up the submissions to a store group of which this machine is no longer primary.
    pub(crate) fn give_up_submissions_of(&mut self, group_id: u32) {
        for number in self.submissions.numbers_of_group(group_id) {
            self.give_up_submission(number);
        }
    }

    /// Returns the estimated memory of the stored, proposed and announced jobs on this machine.
    pub(crate) fn memory_use(&self) -> MemoryUse {
        let mut sum = MemoryUse { stored_bytes: 0, accepting_bytes: self.reservations.bytes() };
        for group in self.groups.values() {
            let of_group = group.memory_use();
            sum.stored_bytes = sum.stored_bytes.saturating_add(of_group.stored_bytes);
            sum.accepting_bytes = sum.accepting_bytes.saturating_add(of_group.accepting_bytes);
        }
        sum
    }

    /// Carries out the steps of a submission that need no answer of another machine.
    fn advance_submission(&mut self, now: Duration, number: u64) {
        let local = self.settings.member.disk;
        while let Some(submission) = self.submissions.get_mut(number) {
            let group_id = submission.group_id;
            let group = self.groups.get(&group_id).filter(|group| group.is_acting(now));
            let Some(group) = group else { return self.give_up_submission(number) };
            match submission.next_step(now, local, &group.replica.record().in_sync) {
                NextStep::Wait => return,
                NextStep::Propose => return self.propose_submission(now, number),
                NextStep::AskForJob => {
                    let announcement = submission.expect_job();
                    return self.reply_submitted(announcement.as_slice(), SubmitOutcome::Reserved);
                }
                NextStep::Request(member) => return self.request_memory(now, number, member),
                NextStep::ReserveHere => self.reserve_here(now, number),
            }
        }
    }

    /// Reserves memory of this machine for a submission, or rejects the submission if there is no room.
    fn reserve_here(&mut self, now: Duration, number: u64) {
        let Some(submission) = self.submissions.get_mut(number) else { return };
        let reservation = reservation_of(submission);
        if self.has_room(reservation.bytes) {
            let id = ReservationId { primary: self.settings.member.disk, submission: number };
            self.reservations.insert(now, id, reservation);
            if let Some(submission) = self.submissions.get_mut(number) {
                submission.record_reservation(id.primary);
            }
        } else {
            self.reject_submission(now, number);
        }
    }

    fn request_memory(&mut self, now: Duration, number: u64, member: Member) {
        let Some(submission) = self.submissions.get_mut(number) else { return };
        submission.record_request(now, member.disk);
        let Reservation { group_id, job, bytes } = reservation_of(submission);
        let message = ToStore::ReserveMemory { submission: number, store_group: group_id, job, bytes };
        let peer = self.membership.member(member.disk).cloned().unwrap_or(member);
        self.outbox.send_to_peer(peer, message);
    }

    /// Proposes a job for which all replicas have reserved memory. Other machines keep their reservations until the job
    /// is part of their state.
    fn propose_submission(&mut self, now: Duration, number: u64) {
        let Some(mut submission) = self.submissions.remove(number) else { return };
        let id = ReservationId { primary: self.settings.member.disk, submission: number };
        self.reservations.remove(id);
        let (group_id, estimated_bytes) = (submission.group_id, submission.estimated_bytes);
        let callers = std::mem::take(&mut submission.callers);
        let reserved_at = submission.reservations();
        let Some(job) = submission.into_job() else { return };
        let decoded = match job.decode() {
            Ok(decoded) => decoded,
            Err(error) => {
                log::error!("job cannot be decoded job={} error={error:?}", job.id());
                self.release_memory(number, reserved_at);
                return self.reply_submitted(&callers, SubmitOutcome::NotPrimary);
            }
        };
        let job_id = job.id().to_owned();
        // The proposal has copies of its own from here on.
        drop(job);
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let proposal = Proposal::AddJob { job: job_id, estimated_bytes, callers: callers.clone() };
        if let Err(error) = group.propose(now, Change::AddJob(decoded), proposal) {
            log::debug!("job not proposed group={group_id} error={error:?}");
            self.release_memory(number, reserved_at);
            self.reply_submitted(&callers, SubmitOutcome::NotPrimary);
        }
        self.process_replica_outputs(now, group_id);
    }

    /// Rejects a submission because a replica has no room for its job.
    fn reject_submission(&mut self, now: Duration, number: u64) {
        if let Some(submission) = self.take_submission(number) {
            let outcome = self.rejection(now, submission.group_id, &submission.job_id);
            self.reply_submitted(&submission.callers, outcome);
        }
    }

    /// Gives up a submission whose job was not proposed, so that its callers may submit it again.
    fn give_up_submission(&mut self, number: u64) {
        if let Some(submission) = self.take_submission(number) {
            log::debug!("submission given up job={}", submission.job_id);
            self.reply_submitted(&submission.callers, SubmitOutcome::NotPrimary);
        }
    }

    /// Removes a submission whose job was not proposed, and releases the memory that is reserved for it. Its callers,
    /// an announcement without an answer included, are to be answered.
    fn take_submission(&mut self, number: u64) -> Option<Submission> {
        let mut submission = self.submissions.remove(number)?;
        submission.take_announcement();
        self.release_memory(number, submission.reservations());
        Some(submission)
    }

    /// Releases the memory that is reserved for a submission at these machines.
    fn release_memory(&mut self, number: u64, reserved_at: BTreeSet<DiskId>) {
        let local = self.settings.member.disk;
        self.reservations.remove(ReservationId { primary: local, submission: number });
        for disk in reserved_at.into_iter().filter(|disk| *disk != local) {
            if let Some(peer) = self.membership.member(disk).cloned() {
                self.outbox.send_to_peer(peer, ToStore::ReleaseMemory { submission: number });
            }
        }
    }

    /// Returns whether this machine has room for so many bytes more.
    fn has_room(&self, bytes: u64) -> bool {
        self.settings.budget.admits(self.memory_use(), bytes)
    }

    /// Returns the answer to a job that was not proposed because there is no room for it.
    ///
    /// A rejection guarantees that the job never runs. Before the barrier is committed, an entry of an earlier primary
    /// that stores this job may still be committed.
    fn rejection(&self, now: Duration, group_id: u32, job: &str) -> SubmitOutcome {
        let group = self.groups.get(&group_id).filter(|group| group.is_acting(now));
        match group {
            None => SubmitOutcome::NotPrimary,
            Some(group) if group.state().job(job).is_some() => SubmitOutcome::Accepted,
            Some(group) if group.is_past_barrier() => {
                SubmitOutcome::Rejected { retry_after_ms: REJECTED_RETRY_AFTER_MS }
            }
            Some(_) => SubmitOutcome::Unknown,
        }
    }
}

fn reservation_of(submission: &Submission) -> Reservation {
    Reservation {
        group_id: submission.group_id,
        job: submission.job_id.clone(),
        bytes: submission.estimated_bytes,
    }
}
