//! Outputs of the replicas: messages, writes, epoch changes, commits, and terms as primary.

use crate::store::Store;
use crate::store::state::outbox::ReplicaWrite;
use crate::store::state::proposals::Proposal;
use pebblepost_batch::clock::GroupClock;
use pebblepost_messages::batch::{FromStore, JobResponse, SubmitOutcome, ToStore};
use pebblepost_replication::replica::ReplicaOutput;
use std::time::Duration;

impl Store {
    /// Processes the outputs of a store group's replica until there are none left.
    pub(crate) fn process_replica_outputs(&mut self, now: Duration, group_id: u32) {
        loop {
            let outputs = self.groups.get_mut(&group_id).map(|group| group.replica.take_outputs());
            let outputs = outputs.unwrap_or_default();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.process_replica_output(now, group_id, output);
            }
        }
    }

    fn process_replica_output(&mut self, now: Duration, group_id: u32, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, message } => {
                let to_disk = to.disk;
                let peer = self.membership.member(to_disk).cloned().unwrap_or(to);
                let message = ToStore::Replication { to: to_disk, store_group: group_id, message };
                self.outbox.send_to_peer(peer, message);
            }
            ReplicaOutput::Persist { token, records } => {
                let incarnation = self.groups.get(&group_id).map_or(0, |group| group.incarnation);
                self.outbox.persist(ReplicaWrite { group_id, incarnation, token }, records);
            }
            ReplicaOutput::ChangeEpoch { expected, record } => {
                self.request_epoch_change(now, group_id, expected, record);
            }
            ReplicaOutput::Committed { index } => self.handle_committed(now, group_id, index),
            ReplicaOutput::BecamePrimary { epoch } => self.start_term(now, group_id, epoch),
            ReplicaOutput::SteppedDown => self.end_term(group_id),
        }
    }

    /// Starts this machine's term as primary of a store group, unless one is running.
    fn start_term(&mut self, now: Duration, group_id: u32, epoch: u64) {
        if self.scheduler.has_term(group_id) {
            return;
        }
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let clock = group.clock();
        log::info!(
            "became primary group={group_id} epoch={epoch} jobs={} group_time_ms={} last_stamp_ms={}",
            group.state().jobs().count(),
            clock.now_ms(now),
            group.state().clock_ms(),
        );
        group.start_term(now);
        self.scheduler.start_term(now, group_id, epoch, &clock, group.state());
        self.process_deferred_messages(now, group_id);
    }

    /// Ends this machine's term as primary of a store group.
    ///
    /// Its uncommitted proposals may or may not be committed later, so their callers are answered that the
    /// outcome is unknown or the store unavailable. Submissions that were not proposed are given up.
    pub(crate) fn end_term(&mut self, group_id: u32) {
        if self.scheduler.has_term(group_id) {
            log::info!("stepped down as primary group={group_id}");
        }
        self.scheduler.end_term(group_id);
        self.give_up_submissions_of(group_id);
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let uncommitted = group.end_term();
        let reads = std::mem::take(&mut group.pending_reads);
        for proposal in uncommitted {
            match proposal {
                Proposal::AddJob { callers, .. } => self.reply_submitted(&callers, SubmitOutcome::Unknown),
                Proposal::EndJob { callers, .. } => self.reply_ended(&callers, &JobResponse::Unavailable),
                Proposal::AppendResults { .. } | Proposal::DeleteJobs { .. } => {}
            }
        }
        for read in reads {
            self.reply_results(read.caller, JobResponse::Unavailable);
        }
    }

    fn handle_committed(&mut self, now: Duration, group_id: u32, index: u64) {
        self.remove_ended_reservations(now);
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        group.follow_committed_time(now);
        let clock = group.clock();
        for proposal in group.proposals.take_committed(index) {
            match proposal {
                Proposal::AddJob { job, callers, .. } => {
                    self.schedule_job(now, group_id, &clock, &job);
                    self.reply_submitted(&callers, SubmitOutcome::Accepted);
                }
                Proposal::AppendResults { jobs } => self.answer_reads_of(now, group_id, &jobs),
                Proposal::EndJob { job, callers } => {
                    self.scheduler.remove_job(&job);
                    self.cancel_job(&job);
                    self.reply_ended(&callers, &JobResponse::Found(true));
                    self.answer_reads_of(now, group_id, &[job]);
                }
                Proposal::DeleteJobs { jobs } => jobs.iter().for_each(|job| self.scheduler.remove_job(job)),
            }
        }
    }

    fn schedule_job(&mut self, now: Duration, group_id: u32, clock: &GroupClock, id: &str) {
        let stored = self.groups.get(&group_id).and_then(|group| group.state().job(id));
        let Some(stored) = stored else { return };
        self.scheduler.add_job(now, group_id, clock, stored);
        let (model, min_version) = (stored.job().model.clone(), stored.job().min_version);
        self.report_version_lag(&model, min_version);
    }

    /// Tells all proxies to cancel the running items of a job.
    fn cancel_job(&mut self, job: &str) {
        for link in self.connections.proxy_links() {
            self.outbox.reply(link, FromStore::Cancel { jobs: vec![job.to_owned()] });
        }
    }
}
