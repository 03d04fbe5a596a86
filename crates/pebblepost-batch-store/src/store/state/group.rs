//! One group of batch jobs on this machine: its replica, and what waits for it.

use super::proposals::{Caller, Proposal, Proposals};
use pebblepost_batch::clock::GroupClock;
use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::ItemResult;
use pebblepost_replication::barrier::TermBarrier;
use pebblepost_replication::replica::{ProposeError, Replica};
use std::collections::BTreeMap;
use std::time::Duration;

/// A read that waits for a result.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) caller: Caller,
    pub(crate) job: String,
    /// Position of the first result to return.
    pub(crate) start: u64,
    /// When it is answered without a result.
    pub(crate) deadline: Duration,
}

/// One group of batch jobs on this machine.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) replica: Replica<BatchState>,
    /// Number of this replica among all that this process has created; a group may be dropped and opened
    /// again.
    pub(crate) incarnation: u64,
    /// When another machine last sent a message for the group, or it was opened.
    pub(crate) last_message_at: Duration,
    pub(crate) proposals: Proposals,
    pub(crate) pending_reads: Vec<PendingRead>,
    clock: GroupClock,
    /// The first entry of this machine's term as primary.
    barrier: TermBarrier,
    /// Results that are not proposed yet, by job.
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

    /// Whether this machine is acting primary of the group: its lease lets it answer.
    pub(crate) fn is_acting(&self, now: Duration) -> bool {
        self.replica.is_acting(now)
    }

    pub(crate) fn state(&self) -> &BatchState {
        self.replica.state()
    }

    /// The group's time, brought up to date with the committed entries.
    pub(crate) fn clock(&mut self, now: Duration) -> GroupClock {
        self.clock.observe(now, self.replica.state().clock_ms());
        self.clock
    }

    /// Proposes a change.
    pub(crate) fn propose(
        &mut self, now: Duration, change: Change, proposal: Proposal,
    ) -> Result<(), ProposeError> {
        let now_ms = self.clock(now).now_ms(now);
        let index = self.replica.propose(now, Command { now_ms, change }.encode())?;
        self.proposals.insert(index, proposal);
        Ok(())
    }

    /// Proposes the barrier of this machine's term, unless it was.
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

    /// Whether nothing that former primaries left undecided can be decided any more: a job that is not stored was not
    /// accepted.
    pub(crate) fn is_past_barrier(&self) -> bool {
        self.barrier.is_committed(self.replica.commit_index())
    }

    /// Ends this machine's term.
    pub(crate) fn end_term(&mut self) {
        self.barrier = TermBarrier::default();
    }

    /// Removes all that is not committed, results not proposed yet among it: it is undecided.
    pub(crate) fn take_uncommitted(&mut self) -> Vec<Proposal> {
        self.buffered_results.clear();
        self.proposals.take_all()
    }

    /// Estimated memory of the stored and the proposed jobs in bytes.
    pub(crate) fn estimated_bytes(&self) -> u64 {
        self.state().estimated_bytes() + self.proposals.estimated_bytes()
    }

    /// Buffers a result until it is proposed.
    pub(crate) fn buffer_result(&mut self, job: &str, result: ItemResult) {
        self.buffered_results.entry(job.to_owned()).or_default().push(result);
    }

    /// Proposes the buffered results as one entry, unless earlier ones are in flight: those that arrive
    /// meanwhile are proposed together.
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
