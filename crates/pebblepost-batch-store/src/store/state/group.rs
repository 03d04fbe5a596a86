//! One store group on this machine: its replica, proposals, pending reads and buffered results.

use super::proposals::{Caller, Proposal, Proposals};
use pebblepost_batch::admission::MemoryUse;
use pebblepost_batch::clock::{GroupClock, TIME_STAMP_INTERVAL};
use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::ItemResult;
use pebblepost_replication::barrier::TermBarrier;
use pebblepost_replication::replica::{ProposeError, Replica};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum size of an entry with more than one result, whose message to the other replicas must fit their links.
const MAX_RESULTS_ENTRY_BYTES: usize = 4 * 1024 * 1024;
/// Approximate size of an encoded result, excluding its texts.
const RESULT_OVERHEAD_BYTES: usize = 64;

/// A read of results that waits until there is one.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) caller: Caller,
    pub(crate) job: String,
    /// Position of the first result to return.
    pub(crate) start: u64,
    /// Time at which the read is answered even without a result.
    pub(crate) deadline: Duration,
}

/// One store group on this machine.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) replica: Replica<BatchState>,
    /// Sequence number of this replica among all that this process has created. It distinguishes replicas
    /// of a store group that was dropped and opened again.
    pub(crate) incarnation: u64,
    /// Time of the last message of another machine for this store group; initially the time of its opening.
    pub(crate) last_message_at: Duration,
    pub(crate) proposals: Proposals,
    pub(crate) pending_reads: Vec<PendingRead>,
    clock: GroupClock,
    /// Barrier of this machine's term as primary; `None` outside a term.
    barrier: Option<TermBarrier>,
    /// Time of the newest proposal of this machine; initially the time of the opening.
    last_proposed_at: Duration,
    /// Results that are not yet proposed, by job.
    buffered_results: BTreeMap<String, Vec<ItemResult>>,
}

impl Group {
    pub(crate) fn new(now: Duration, replica: Replica<BatchState>, incarnation: u64) -> Group {
        let clock = GroupClock::new(now, replica.state().clock_ms());
        Group {
            replica,
            incarnation,
            last_message_at: now,
            proposals: Proposals::default(),
            pending_reads: Vec::new(),
            clock,
            barrier: None,
            last_proposed_at: now,
            buffered_results: BTreeMap::new(),
        }
    }

    /// Returns whether this machine is acting primary of the store group: it is primary and its lease is
    /// valid.
    pub(crate) fn is_acting(&self, now: Duration) -> bool {
        self.replica.is_acting(now)
    }

    pub(crate) fn state(&self) -> &BatchState {
        self.replica.state()
    }

    /// Returns the store group's clock.
    pub(crate) fn clock(&self) -> GroupClock {
        self.clock
    }

    /// Continues from the newest committed time stamp, unless this machine is in a term as primary and stamps
    /// the entries itself.
    pub(crate) fn follow_committed_time(&mut self, now: Duration) {
        if self.barrier.is_none() {
            self.clock = GroupClock::new(now, self.state().clock_ms());
        }
    }

    /// Proposes a change and records the proposal under its log index.
    pub(crate) fn propose(
        &mut self, now: Duration, change: Change, proposal: Proposal,
    ) -> Result<(), ProposeError> {
        let now_ms = self.clock.now_ms(now);
        let index = self.propose_command(now, &Command { now_ms, change })?;
        self.proposals.insert(index, proposal);
        Ok(())
    }

    /// Starts this machine's term as primary: from now on its clock runs freely. Proposes the barrier.
    pub(crate) fn start_term(&mut self, now: Duration) {
        self.barrier = Some(TermBarrier::default());
        self.propose_barrier(now);
    }

    /// Proposes the barrier of this machine's term, unless it was already proposed or there is no term.
    pub(crate) fn propose_barrier(&mut self, now: Duration) {
        if self.barrier.as_ref().is_none_or(TermBarrier::is_proposed) {
            return;
        }
        let Some(index) = self.propose_time_stamp(now) else { return };
        if let Some(barrier) = &mut self.barrier {
            barrier.set_index(index);
        }
    }

    /// Proposes a time stamp if the newest entry is older than the expiry of the stored jobs permits.
    pub(crate) fn propose_time_stamp_if_due(&mut self, now: Duration) {
        let age = now.saturating_sub(self.last_proposed_at);
        if age < TIME_STAMP_INTERVAL || !self.is_acting(now) {
            return;
        }
        if self.state().time_stamp_interval().is_some_and(|interval| age >= interval) {
            self.propose_time_stamp(now);
        }
    }

    /// Proposes an entry that only records the time, and returns its log index.
    fn propose_time_stamp(&mut self, now: Duration) -> Option<u64> {
        let command = Command::time_stamp(self.clock.now_ms(now));
        match self.propose_command(now, &command) {
            Ok(index) => Some(index),
            Err(error) => {
                log::debug!("time stamp not proposed error={error:?}");
                None
            }
        }
    }

    fn propose_command(&mut self, now: Duration, command: &Command) -> Result<u64, ProposeError> {
        let index = self.replica.propose(now, command.encode())?;
        self.last_proposed_at = now;
        Ok(index)
    }

    /// Returns whether the barrier of this term is committed.
    ///
    /// From then on no uncommitted entry of an earlier primary can be committed, so a job that is not stored
    /// was not accepted.
    pub(crate) fn is_past_barrier(&self) -> bool {
        let commit_index = self.replica.commit_index();
        self.barrier.as_ref().is_some_and(|barrier| barrier.is_committed(commit_index))
    }

    /// Ends this machine's term as primary, with its barrier and its buffered results. Removes and returns all
    /// uncommitted proposals.
    pub(crate) fn end_term(&mut self) -> Vec<Proposal> {
        self.barrier = None;
        self.buffered_results.clear();
        self.proposals.take_all()
    }

    /// Returns the estimated memory of the stored and proposed jobs.
    pub(crate) fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            stored_bytes: self.state().estimated_bytes(),
            accepting_bytes: self.proposals.estimated_bytes(),
        }
    }

    /// Buffers a result for the next proposal of results.
    pub(crate) fn buffer_result(&mut self, job: &str, result: ItemResult) {
        self.buffered_results.entry(job.to_owned()).or_default().push(result);
    }

    /// Proposes the buffered results as one entry, up to [`MAX_RESULTS_ENTRY_BYTES`].
    ///
    /// While earlier results are in flight nothing is proposed, so that the results that arrive in the
    /// meantime are batched into one entry.
    pub(crate) fn propose_results(&mut self, now: Duration) {
        if self.buffered_results.is_empty() || self.proposals.has_results() || !self.is_acting(now) {
            return;
        }
        let counts = self.fitting_results();
        let results = counts.iter().map(|(job, count)| {
            let results = self.buffered_results[job][..*count].to_vec();
            JobResults { job: job.clone(), results }
        });
        let change = Change::AppendResults(results.collect());
        let jobs = counts.keys().cloned().collect();
        match self.propose(now, change, Proposal::AppendResults { jobs }) {
            Ok(()) => self.remove_buffered_results(&counts),
            Err(error) => log::debug!("results not proposed error={error:?}"),
        }
    }

    /// Returns how many of the buffered results of each job fit into one entry; at least one does.
    fn fitting_results(&self) -> BTreeMap<String, usize> {
        let mut bytes = 0;
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        let all = self.buffered_results.iter();
        for (job, result) in all.flat_map(|(job, results)| results.iter().map(move |result| (job, result))) {
            bytes += RESULT_OVERHEAD_BYTES + result.id.len() + result.message.len() + result.score.len();
            if bytes > MAX_RESULTS_ENTRY_BYTES && !counts.is_empty() {
                break;
            }
            *counts.entry(job.clone()).or_default() += 1;
        }
        counts
    }

    fn remove_buffered_results(&mut self, counts: &BTreeMap<String, usize>) {
        for (job, count) in counts {
            if let Some(results) = self.buffered_results.get_mut(job) {
                results.drain(..*count);
            }
        }
        self.buffered_results.retain(|_, results| !results.is_empty());
    }
}
