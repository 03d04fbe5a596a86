//! What follows from the outputs of the replicas.

use super::Store;
use super::group::{Caller, Proposed};
use super::outbox::ReplicaWrite;
use pebblepost_batch::clock::GroupClock;
use pebblepost_messages::batch::{FromStore, JobAnswer, SubmitOutcome, ToStore};
use pebblepost_replication::replica::ReplicaOutput;
use std::time::Duration;

impl Store {
    /// Carries out what the replica of a group has put out.
    pub(super) fn settle(&mut self, now: Duration, number: u32) {
        loop {
            let outputs = self.groups.get_mut(&number).map(|group| group.replica.take_outputs());
            let outputs = outputs.unwrap_or_default();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.carry_out(now, number, output);
            }
        }
    }

    fn carry_out(&mut self, now: Duration, number: u32, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, message } => {
                let to_disk = to.disk;
                let peer = self.members.get(&to_disk).cloned().unwrap_or(to);
                let message = ToStore::Replication { to: to_disk, store_group: number, message };
                self.outbox.send_to_peer(peer, message);
            }
            ReplicaOutput::Persist { token, records } => {
                let incarnation = self.groups.get(&number).map_or(0, |group| group.incarnation);
                self.outbox.persist(ReplicaWrite { group: number, incarnation, token }, records);
            }
            ReplicaOutput::ChangeEpoch { expected, record } => {
                self.ask_for_epoch(now, number, expected, record);
            }
            ReplicaOutput::Committed { index } => self.committed(now, number, index),
            ReplicaOutput::BecamePrimary { epoch } => self.start_group(now, number, epoch),
            ReplicaOutput::Stopped => self.stop_group(number),
        }
    }

    fn start_group(&mut self, now: Duration, number: u32, epoch: u64) {
        if self.scheduler.has_group(number) {
            return;
        }
        let Some(group) = self.groups.get_mut(&number) else { return };
        log::info!("group {number}: primary in epoch {epoch} with {} jobs", group.state().jobs().count());
        let clock = group.clock(now);
        self.scheduler.start_group(now, number, epoch, &clock, group.state());
        self.take_early(now, number);
    }

    /// This machine is not primary of a group any more: what it proposed is undecided.
    pub(super) fn stop_group(&mut self, number: u32) {
        if self.scheduler.has_group(number) {
            log::info!("group {number}: not primary any more");
        }
        self.scheduler.stop_group(number);
        let Some(group) = self.groups.get_mut(&number) else { return };
        let undecided = group.take_undecided();
        let readers = std::mem::take(&mut group.readers);
        for proposed in undecided {
            match proposed {
                Proposed::Job { callers, .. } => self.submitted(&callers, SubmitOutcome::Unknown),
                Proposed::End { callers, .. } => self.ended(&callers, &JobAnswer::Uncertain),
                Proposed::Results { .. } | Proposed::Forget { .. } => {}
            }
        }
        for reader in readers {
            let message = FromStore::Results { call: reader.caller.call, answer: JobAnswer::Uncertain };
            self.outbox.reply(reader.caller.link, message);
        }
    }

    fn committed(&mut self, now: Duration, number: u32, index: u64) {
        let Some(group) = self.groups.get_mut(&number) else { return };
        let clock = group.clock(now);
        for proposed in group.take_committed(index) {
            match proposed {
                Proposed::Job { job, callers, .. } => {
                    self.job_taken(now, number, &clock, &job);
                    self.submitted(&callers, SubmitOutcome::Accepted);
                }
                Proposed::Results { jobs } => self.answer_readers(now, number, &jobs),
                Proposed::End { job, callers } => {
                    self.scheduler.remove_job(&job);
                    self.cancel_everywhere(&job);
                    self.ended(&callers, &JobAnswer::Found(true));
                    self.answer_readers(now, number, &[job]);
                }
                Proposed::Forget { jobs } => jobs.iter().for_each(|job| self.scheduler.remove_job(job)),
            }
        }
    }

    fn job_taken(&mut self, now: Duration, number: u32, clock: &GroupClock, id: &str) {
        let stored = self.groups.get(&number).and_then(|group| group.state().job(id));
        let Some(stored) = stored else { return };
        self.scheduler.add_job(now, number, clock, stored);
        let (model, min_version) = (stored.job().model.clone(), stored.job().min_version);
        self.observe_version_slack(&model, min_version);
    }

    pub(super) fn submitted(&mut self, callers: &[Caller], outcome: SubmitOutcome) {
        for caller in callers {
            self.outbox.reply(caller.link, FromStore::Submitted { call: caller.call, outcome });
        }
    }

    pub(super) fn ended(&mut self, callers: &[Caller], answer: &JobAnswer<bool>) {
        for caller in callers {
            let message = FromStore::Ended { call: caller.call, answer: answer.clone() };
            self.outbox.reply(caller.link, message);
        }
    }
}
