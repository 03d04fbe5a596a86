//! One group of batch jobs on this machine: its replica, and what waits for it.

use super::outbox::LinkId;
use pebblepost_batch::clock::GroupClock;
use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::ItemResult;
use pebblepost_replication::replica::{ProposeError, Replica};
use std::collections::BTreeMap;
use std::time::Duration;

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Caller {
    pub(super) link: LinkId,
    pub(super) call: u64,
}

/// What was proposed and is not committed, and who waits for it.
#[derive(Debug)]
pub(super) enum Proposed {
    /// A job to be taken.
    Job { job: String, bytes: u64, callers: Vec<Caller> },
    /// Results to be listed.
    Results { jobs: Vec<String> },
    /// The end of a job.
    End { job: String, callers: Vec<Caller> },
    /// Jobs to be dropped.
    Forget { jobs: Vec<String> },
}

/// A read that waits for a result.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) caller: Caller,
    pub(super) job: String,
    pub(super) start: u64,
    pub(super) until: Duration,
}

/// One group of batch jobs on this machine.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) replica: Replica<BatchState>,
    /// Number of this replica among all that this program has made.
    pub(super) incarnation: u64,
    /// When another machine last sent something for the group, or it was opened.
    pub(super) used_at: Duration,
    clock: GroupClock,
    proposed: BTreeMap<u64, Proposed>,
    /// Results that are not proposed yet, by job.
    gathered: BTreeMap<String, Vec<ItemResult>>,
    pub(super) readers: Vec<Reader>,
}

impl Group {
    pub(super) fn new(now: Duration, replica: Replica<BatchState>, incarnation: u64) -> Group {
        let clock = GroupClock::new(now, replica.state().clock_ms());
        Group {
            replica,
            incarnation,
            used_at: now,
            clock,
            proposed: BTreeMap::new(),
            gathered: BTreeMap::new(),
            readers: Vec::new(),
        }
    }

    /// Whether this machine may answer for the group now.
    pub(super) fn is_acting(&self, now: Duration) -> bool {
        self.replica.is_acting(now)
    }

    pub(super) fn state(&self) -> &BatchState {
        self.replica.state()
    }

    /// The group's time; entries that were committed meanwhile are taken into account.
    pub(super) fn clock(&mut self, now: Duration) -> GroupClock {
        self.clock.observe(now, self.replica.state().clock_ms());
        self.clock
    }

    /// Proposes a change.
    pub(super) fn propose(
        &mut self, now: Duration, change: Change, proposed: Proposed,
    ) -> Result<(), ProposeError> {
        let now_ms = self.clock(now).now_ms(now);
        let index = self.replica.propose(now, Command { now_ms, change }.encode())?;
        self.proposed.insert(index, proposed);
        Ok(())
    }

    /// Takes what was proposed and is committed now.
    pub(super) fn take_committed(&mut self, index: u64) -> Vec<Proposed> {
        let later = self.proposed.split_off(&index.saturating_add(1));
        std::mem::replace(&mut self.proposed, later).into_values().collect()
    }

    /// Takes all that was proposed: it is undecided.
    pub(super) fn take_undecided(&mut self) -> Vec<Proposed> {
        self.gathered.clear();
        std::mem::take(&mut self.proposed).into_values().collect()
    }

    /// Callers that wait until a job is taken, if it was proposed.
    pub(super) fn submit_callers(&mut self, id: &str) -> Option<&mut Vec<Caller>> {
        self.proposed.values_mut().find_map(|proposed| match proposed {
            Proposed::Job { job, callers, .. } if job == id => Some(callers),
            _ => None,
        })
    }

    /// Callers that wait until a job has ended, if its end was proposed.
    pub(super) fn end_callers(&mut self, id: &str) -> Option<&mut Vec<Caller>> {
        self.proposed.values_mut().find_map(|proposed| match proposed {
            Proposed::End { job, callers } if job == id => Some(callers),
            _ => None,
        })
    }

    /// Bytes of jobs that are proposed.
    pub(super) fn proposed_bytes(&self) -> u64 {
        let bytes = |proposed: &Proposed| match proposed {
            Proposed::Job { bytes, .. } => *bytes,
            _ => 0,
        };
        self.proposed.values().map(bytes).sum()
    }

    /// Keeps a result until it is proposed.
    pub(super) fn gather(&mut self, job: &str, result: ItemResult) {
        self.gathered.entry(job.to_owned()).or_default().push(result);
    }

    /// Proposes the results that came, all as one entry, unless earlier ones are under way: those
    /// that come meanwhile go together.
    pub(super) fn propose_gathered(&mut self, now: Duration) {
        let under_way = |proposed: &Proposed| matches!(proposed, Proposed::Results { .. });
        if self.gathered.is_empty() || self.proposed.values().any(under_way) || !self.is_acting(now) {
            return;
        }
        let jobs = self.gathered.keys().cloned().collect();
        let listed = self
            .gathered
            .iter()
            .map(|(job, results)| JobResults { job: job.clone(), results: results.clone() });
        let change = Change::AppendResults(listed.collect());
        match self.propose(now, change, Proposed::Results { jobs }) {
            Ok(()) => self.gathered.clear(),
            Err(error) => log::debug!("proposing results: {error:?}"),
        }
    }
}
