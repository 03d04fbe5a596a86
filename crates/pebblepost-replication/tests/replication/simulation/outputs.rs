//! Carries out and checks the outputs of the processes.

use super::disk::{Stored, Waiter};
use super::faults;
use super::world::{Payload, World, slot_of};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::RegisterOutput;
use pebblepost_replication::replica::ReplicaOutput;

impl World {
    /// Carries out the outputs of a process until there are none left.
    pub(super) fn drain(&mut self, slot: usize) {
        loop {
            let Some(process) = &mut self.slots[slot].process else { return };
            let from_register = process.register.take_outputs();
            let from_replica = process.replica.take_outputs();
            if from_register.is_empty() && from_replica.is_empty() {
                break;
            }
            for output in from_register {
                self.apply_register_output(slot, output);
            }
            self.report_ended_change(slot);
            for output in from_replica {
                self.apply_replica_output(slot, output);
            }
        }
        self.check_applied(slot);
    }

    pub(super) fn apply_register_output(&mut self, slot: usize, output: RegisterOutput) {
        if let Some(transcript) = &mut self.transcript {
            transcript.register(self.now, slot, &output);
        }
        match output {
            RegisterOutput::Send { to, message } => {
                self.send(slot, &to, Payload::Register(message));
            }
            RegisterOutput::Persist { token, state } => {
                self.write(slot, Waiter::Register(token), Stored::Witness(state));
            }
            RegisterOutput::Chosen(record) => {
                self.checker.chosen(&self.slots[slot].member.node, &record);
                let now = self.now;
                if let Some(process) = &mut self.slots[slot].process {
                    let local_time = process.local_time(now);
                    process.replica.configure(local_time, &record);
                }
                faults::inject_at_chosen_record(self);
            }
            RegisterOutput::Rejected { .. } => {}
        }
    }

    /// Reports to the replica that the change that it requested has ended.
    pub(super) fn report_ended_change(&mut self, slot: usize) {
        let now = self.now;
        let Some(process) = &mut self.slots[slot].process else { return };
        if process.change_in_flight && !process.register.is_proposing() {
            process.change_in_flight = false;
            let local_time = process.local_time(now);
            process.replica.on_epoch_change_ended(local_time);
        }
    }

    pub(super) fn apply_replica_output(&mut self, slot: usize, output: ReplicaOutput) {
        if let Some(transcript) = &mut self.transcript {
            transcript.replica(self.now, slot, &output);
        }
        match output {
            ReplicaOutput::Send { to, message } => {
                self.send(slot, &to, Payload::Replica(message));
            }
            ReplicaOutput::Persist { token, records } => {
                self.write(slot, Waiter::Replica(token), Stored::Replica(records));
            }
            ReplicaOutput::ChangeEpoch { expected, record } => {
                self.propose_to_register(slot, expected, record)
            }
            ReplicaOutput::Committed { index } => self.acknowledge(slot, index),
            ReplicaOutput::BecamePrimary { .. } => self.check_acting(),
            ReplicaOutput::SteppedDown => {
                if let Some(process) = &mut self.slots[slot].process {
                    process.proposals.clear();
                }
            }
        }
    }

    pub(super) fn propose_to_register(&mut self, slot: usize, expected: u64, record: EpochRecord) {
        let now = self.now;
        let Some(process) = &mut self.slots[slot].process else { return };
        let local_time = process.local_time(now);
        if process.register.is_proposing() {
            process.replica.on_epoch_change_ended(local_time);
            return;
        }
        process.change_in_flight = true;
        let joiner = record.in_sync.iter().find(|member| !process.replica.record().is_in_sync(member.disk));
        let joiner = joiner.filter(|_| expected > 0).map(slot_of);
        process.register.propose(local_time, expected, record);
        faults::inject_at_proposal(self);
        if let Some(joiner) = joiner {
            faults::inject_at_join(self, slot, joiner);
        }
    }

    pub(super) fn acknowledge(&mut self, slot: usize, index: u64) {
        self.check_applied(slot);
        let Some(process) = &mut self.slots[slot].process else { return };
        while let Some(first) = process.proposals.first_entry().filter(|first| *first.key() <= index) {
            let (index, value) = first.remove_entry();
            self.checker.acknowledged(&process.member.node, index, value);
        }
    }

    pub(super) fn check_applied(&mut self, slot: usize) {
        let Some(process) = &mut self.slots[slot].process else { return };
        let state = process.replica.state();
        if state.values.len() < process.checked {
            self.checker.fail_safety(format!("{} lost applied entries", process.member.node));
        }
        self.checker.applied(&process.member.node, process.checked, &state.values);
        process.checked = state.values.len();
        if let Some(violation) = &state.violation {
            self.checker.fail_safety(violation.clone());
        }
    }
}
