//! The machines with their processes, disks and clocks, and the check that at most one acts.

use super::disk::{Stored, Waiter};
use super::process::Process;
use super::world::{CHECKPOINT_RECORDS, Event, MILLISECOND, Slot, TICK, World, member, slot_of};
use super::{Plan, faults, repeated_loss};
use pebblepost_messages::Member;
use std::rc::Rc;

impl World {
    /// Starts the process of a machine that is down.
    pub fn start(&mut self, slot: usize) {
        if self.slots[slot].is_removed || self.slots[slot].process.is_some() {
            return;
        }
        let seed = self.random.next();
        let machine = &mut self.slots[slot];
        machine.incarnation += 1;
        machine.is_frozen = false;
        machine.inbox.clear();
        let initial_record = machine.is_bootstrap_member.then(|| self.initial_record.clone());
        let member = (*machine.member).clone();
        let recovered = machine.disk.recovered();
        machine.process =
            Some(Process::new(&self.options, member, recovered, initial_record, self.now, seed));
        let incarnation = machine.incarnation;
        self.schedule(seed % TICK, Event::Tick { slot, incarnation });
        self.drain(slot);
    }

    /// Stops the process. The disk keeps all durable writes and some of the pending ones.
    pub fn stop(&mut self, slot: usize) {
        let machine = &mut self.slots[slot];
        machine.process = None;
        machine.is_frozen = false;
        machine.incarnation += 1;
        machine.inbox.clear();
        machine.disk.lose_pending(&mut self.random);
    }

    /// Stops the machine and empties its disk. It comes back as a new replica with another disk.
    pub fn wipe(&mut self, slot: usize) {
        self.stop(slot);
        self.slots[slot].disk.wipe();
        if self.options.wiped_machine_keeps_disk_identity {
            return;
        }
        let disk = self.new_disk();
        let machine = &mut self.slots[slot];
        machine.is_bootstrap_member = false;
        machine.member = Rc::new(member(slot, disk));
    }

    pub fn unfreeze(&mut self, slot: usize) {
        if !std::mem::take(&mut self.slots[slot].is_frozen) {
            return;
        }
        let incarnation = self.slots[slot].incarnation;
        let ticks_first = self.random.permille(500);
        if ticks_first {
            self.tick_process(slot);
        }
        for event in std::mem::take(&mut self.slots[slot].inbox) {
            self.handle(event);
        }
        self.schedule(0, Event::Tick { slot, incarnation });
    }

    pub(super) fn tick(&mut self, slot: usize, incarnation: u64) {
        if self.slots[slot].incarnation != incarnation || self.slots[slot].is_frozen {
            return;
        }
        self.tick_process(slot);
        self.check_acting();
        self.schedule(TICK, Event::Tick { slot, incarnation });
    }

    pub(super) fn tick_process(&mut self, slot: usize) {
        let now = self.now;
        let holders = repeated_loss::holders(self);
        let machine = &mut self.slots[slot];
        let Some(process) = &mut machine.process else { return };
        let local_time = process.local_time(now);
        process.register.tick(local_time);
        if let Some(holders) = holders {
            process.replica.set_targets(local_time, holders);
        }
        process.replica.tick(local_time);
        let new_witness = process.drive_witnesses(now);
        if machine.disk.replica_records() > CHECKPOINT_RECORDS {
            let records = process.replica.checkpoint().expect("the state machine is not damaged");
            self.write(slot, Waiter::Checkpoint, Stored::Replica(records));
        }
        if let Some(new_witness) = new_witness {
            faults::inject_at_witness_change(self, slot, slot_of(&new_witness));
        }
        self.drain(slot);
    }

    pub(super) fn write(&mut self, slot: usize, waiter: Waiter, stored: Stored) {
        let latency = self.random.range(300, 4 * MILLISECOND);
        let machine = &mut self.slots[slot];
        let due = machine.disk.write(self.now, latency, waiter, stored);
        let incarnation = machine.incarnation;
        self.schedule_at(due, Event::Synced { slot, incarnation });
    }

    pub(super) fn synced(&mut self, slot: usize, incarnation: u64) {
        let now = self.now;
        let machine = &mut self.slots[slot];
        if machine.incarnation != incarnation {
            return;
        }
        if now < machine.disk.stalled_until {
            let until = machine.disk.stalled_until;
            self.schedule_at(until, Event::Synced { slot, incarnation });
            return;
        }
        if machine.is_frozen {
            machine.inbox.push(Event::Synced { slot, incarnation });
            return;
        }
        let Some(waiter) = machine.disk.complete_one() else { return };
        let Some(process) = &mut machine.process else { return };
        let local_time = process.local_time(now);
        match waiter {
            Waiter::Register(token) => process.register.on_persisted(local_time, token),
            Waiter::Replica(token) => process.replica.on_persisted(local_time, token),
            Waiter::Checkpoint => {}
        }
        self.drain(slot);
    }

    /// Returns the machines that act as primary now. A frozen machine does not act.
    pub fn acting(&self) -> Vec<usize> {
        let is_acting = |slot: &Slot| {
            let process = slot.process.as_ref().filter(|_| !slot.is_frozen);
            process.is_some_and(|process| process.replica.is_acting(process.local_time(self.now)))
        };
        (0..self.slots.len()).filter(|slot| is_acting(&self.slots[*slot])).collect()
    }

    pub(super) fn check_acting(&mut self) {
        let acting = self.acting();
        if acting.len() > 1 {
            let description = format!("two primaries act: {acting:?}: {}", self.describe());
            self.checker.fail_safety(description);
        }
        for slot in acting {
            let machine = &self.slots[slot];
            if let Some(process) = &machine.process {
                self.checker.acting(&machine.member.node, process.replica.state().values.len());
            }
        }
    }

    /// Sets the machines that should hold the group.
    pub fn set_targets(&mut self, targets: &[usize]) {
        debug_assert_eq!(self.options.plan, Plan::Targets);
        let members: Vec<Member> = targets.iter().map(|slot| (*self.slots[*slot].member).clone()).collect();
        for slot in 0..self.slots.len() {
            let now = self.now;
            if let Some(process) = &mut self.slots[slot].process {
                let local_time = process.local_time(now);
                process.replica.set_targets(local_time, members.clone());
            }
        }
    }
}
