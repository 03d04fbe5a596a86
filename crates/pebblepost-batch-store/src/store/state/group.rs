//! One store group on this machine: its replica, proposals, pending reads and buffered results.

use super::proposals::{Caller, Proposal, Proposals};
use pebblepost_batch::clock::GroupClock;
use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::ItemResult;
use pebblepost_replication::barrier::TermBarrier;
use pebblepost_replication::replica::{ProposeError, Replica};
use std::collections::BTreeMap;
use std::time::Duration;

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
    /// Barrier of this machine's term as primary.
    barrier: TermBarrier,
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
            barrier: TermBarrier::default(),
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

    /// Returns the store group's clock, updated with the time stamps of the committed entries.
    pub(crate) fn clock(&mut self, now: Duration) -> GroupClock {
        self.clock.observe(now, self.replica.state().clock_ms());
        self.clock
    }

    /// Proposes a change and records the proposal under its log index.
    pub(crate) fn propose(
        &mut self, now: Duration, change: Change, proposal: Proposal,
    ) -> Result<(), ProposeError> {
        let now_ms = self.clock(now).now_ms(now);
        let index = self.replica.propose(now, Command { now_ms, change }.encode())?;
        self.proposals.insert(index, proposal);
        Ok(())
    }

    /// Proposes the barrier of this machine's term, unless it was already proposed.
    pub(crate) fn propose_barrier(&mut self, now: Duration) {
        if self.barrier.is_proposed() {
            return;
        }
        let now_ms = self.clock(now).now_ms(now);
        match self.replica.propose(now, Command::barrier(now_ms).encode()) {
            Ok(index) => self.barrier.set_index(index),
            Err(error) => log::debug!("barrier not proposed error={error:?}"),
        }
    }

    /// Returns whether the barrier of this term is committed.
    ///
    /// From then on no uncommitted entry of an earlier primary can be committed, so a job that is not stored
    /// was not accepted.
    pub(crate) fn is_past_barrier(&self) -> bool {
        self.barrier.is_committed(self.replica.commit_index())
    }

    /// Resets the barrier at the end of this machine's term.
    pub(crate) fn reset_barrier(&mut self) {
        self.barrier = TermBarrier::default();
    }

    /// Drops the buffered results, and removes and returns all uncommitted proposals.
    pub(crate) fn take_uncommitted(&mut self) -> Vec<Proposal> {
        self.buffered_results.clear();
        self.proposals.take_all()
    }

    /// Returns the estimated memory of the stored and proposed jobs in bytes.
    pub(crate) fn estimated_bytes(&self) -> u64 {
        self.state().estimated_bytes() + self.proposals.estimated_bytes()
    }

    /// Buffers a result for the next proposal of results.
    pub(crate) fn buffer_result(&mut self, job: &str, result: ItemResult) {
        self.buffered_results.entry(job.to_owned()).or_default().push(result);
    }

    /// Proposes the buffered results as one entry.
    ///
    /// While earlier results are in flight nothing is proposed, so that the results that arrive in the
    /// meantime are batched into one entry.
    pub(crate) fn propose_results(&mut self, now: Duration) {
        if self.buffered_results.is_empty() || self.proposals.has_results() || !self.is_acting(now) {
            return;
        }
        let jobs = self.buffered_results.keys().cloned().collect();
        let results = self
            .buffered_results
            .iter()
            .map(|(job, results)| JobResults { job: job.clone(), results: results.clone() });
        let change = Change::AppendResults(results.collect());
        match self.propose(now, change, Proposal::AppendResults { jobs }) {
            Ok(()) => self.buffered_results.clear(),
            Err(error) => log::debug!("results not proposed error={error:?}"),
        }
    }
}
