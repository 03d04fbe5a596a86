//! The world: machines, links, time, clients.

use super::checker::Checker;
use super::disk::{SimulatedDisk, Stored, Waiter};
use super::faults::{self, Fault};
use super::process::Process;
use super::random::Random;
use super::repeated_loss;
use super::transcript::Transcript;
use super::violation::Violation;
use super::{Options, Plan};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::RegisterOutput;
use pebblepost_replication::replica::ReplicaOutput;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
const TICK: u64 = 50 * MILLISECOND;
const HELLO_INTERVAL: u64 = 300 * MILLISECOND;
const CLIENT_PERIOD: u64 = 50 * MILLISECOND;
/// Clients ask so many times less often once the faults are over.
const CALM_CLIENTS: u64 = 4;
/// After the end of the faults: until a primary acts, and until the end.
const RECOVERY: u64 = 3 * SECOND;
const CALM: u64 = RECOVERY + 600 * MILLISECOND;
/// A replica writes a checkpoint when its disk holds more records.
const CHECKPOINT_RECORDS: usize = 60;

#[derive(Clone)]
pub enum Payload {
    Register(Vec<u8>),
    Replica(Vec<u8>),
    Hello,
}

pub enum Event {
    Deliver { to: usize, from: Rc<Member>, payload: Payload },
    Synced { slot: usize, incarnation: u64 },
    Tick { slot: usize, incarnation: u64 },
    Hello,
    Client,
    Fault(Fault),
    FaultsEnd,
    MustAct,
    End,
}

#[expect(clippy::struct_excessive_bools, reason = "independent conditions of a simulated machine")]
/// A machine: address, disk, process.
pub struct Slot {
    pub member: Rc<Member>,
    pub disk: SimulatedDisk,
    pub process: Option<Process>,
    pub incarnation: u64,
    pub is_founder: bool,
    pub is_removed: bool,
    pub is_frozen: bool,
    pub extra_delay: u64,
    pub drops_inbound: bool,
    /// What arrived while the machine was frozen.
    inbox: Vec<Event>,
}

pub struct Summary {
    pub acknowledged: u64,
}

pub struct World {
    pub options: Options,
    pub random: Random,
    pub now: u64,
    pub slots: Vec<Slot>,
    /// Cuts from one machine to another, counted.
    pub partitions: Vec<Vec<u32>>,
    pub loss_permille: u64,
    pub checker: Checker,
    /// What the processes put out, where that is asked for.
    pub transcript: Option<Transcript>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    sequence: u64,
    last_delivery: Vec<Vec<u64>>,
    founding: EpochRecord,
    next_value: u64,
    faults_end: u64,
    acknowledged_at_end: u64,
}

/// Most machines of one schedule, spares included.
pub const MAX_SLOTS: usize = 12;
/// Slots that replacements may fill.
pub const MAX_REPLACED: usize = 11;

impl World {
    pub fn new(options: Options, seed: u64) -> Self {
        let mut world = Self {
            options,
            random: Random::new(seed),
            now: 0,
            slots: Vec::new(),
            partitions: vec![vec![0; MAX_SLOTS]; MAX_SLOTS],
            loss_permille: 0,
            checker: Checker::default(),
            transcript: None,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            sequence: 0,
            last_delivery: vec![vec![0; MAX_SLOTS]; MAX_SLOTS],
            founding: EpochRecord::default(),
            next_value: 1,
            faults_end: 0,
            acknowledged_at_end: 0,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for _ in 0..self.options.machines {
            self.add_slot(true);
        }
        self.founding.witnesses = self.slots.iter().map(|slot| (*slot.member).clone()).collect();
        for slot in 0..self.slots.len() {
            let delay = self.random.range(0, 200 * MILLISECOND);
            self.schedule(delay, Event::Fault(Fault::Start(slot)));
        }
        self.schedule(0, Event::Hello);
        self.schedule(SECOND, Event::Client);
        self.faults_end = faults::plan(self);
        let end = self.faults_end;
        self.schedule_at(end, Event::FaultsEnd);
        self.schedule_at(end + RECOVERY, Event::MustAct);
        self.schedule_at(end + CALM, Event::End);
    }

    /// Adds a machine with an empty disk at a new address; it is not started yet.
    pub fn add_slot(&mut self, is_founder: bool) -> usize {
        let slot = self.slots.len();
        let disk = if is_founder { DiskId(slot as u64 + 1) } else { self.new_disk() };
        self.slots.push(Slot {
            member: Rc::new(member(slot, disk)),
            disk: SimulatedDisk::default(),
            process: None,
            incarnation: 0,
            is_founder,
            is_removed: false,
            is_frozen: false,
            extra_delay: 0,
            drops_inbound: false,
            inbox: Vec::new(),
        });
        slot
    }

    fn new_disk(&mut self) -> DiskId {
        DiskId(1000 + self.random.next() % 1_000_000_000)
    }

    pub fn schedule(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    pub fn schedule_at(&mut self, at: u64, event: Event) {
        let index = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[index] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, index)));
    }

    pub fn run(&mut self) -> Result<Summary, Violation> {
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            self.now = at;
            let event = self.events[index].take().expect("an event at its index");
            self.free.push(index);
            if matches!(event, Event::End) {
                break;
            }
            self.handle(event);
            if let Some(violation) = self.checker.violation.take() {
                return Err(violation.at(self.now / MILLISECOND));
            }
        }
        if self.checker.acknowledged == self.acknowledged_at_end {
            let found = format!("nothing acknowledged after the faults: {}", self.describe());
            return Err(Violation::Liveness(found));
        }
        Ok(Summary { acknowledged: self.checker.acknowledged })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { to, from, payload } => self.deliver(to, from, payload),
            Event::Synced { slot, incarnation } => self.synced(slot, incarnation),
            Event::Tick { slot, incarnation } => self.tick(slot, incarnation),
            Event::Hello => self.send_hellos(),
            Event::Client => self.client(),
            Event::Fault(fault) => faults::apply(self, fault),
            Event::FaultsEnd => self.end_faults(),
            Event::MustAct => self.must_act(),
            Event::End => {}
        }
    }

    pub fn are_faults_over(&self) -> bool {
        self.faults_end > 0 && self.now >= self.faults_end
    }

    fn end_faults(&mut self) {
        faults::heal_everything(self);
        self.acknowledged_at_end = self.checker.acknowledged;
    }

    fn must_act(&mut self) {
        if self.acting().is_empty() {
            let found = format!("nobody acts: {}", self.describe());
            self.checker.fail(Violation::Liveness(found));
        }
    }

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
        let founding = machine.is_founder.then(|| self.founding.clone());
        let me = (*machine.member).clone();
        let recovered = machine.disk.recovered();
        machine.process = Some(Process::new(&self.options, me, recovered, founding, self.now, seed));
        let incarnation = machine.incarnation;
        self.schedule(seed % TICK, Event::Tick { slot, incarnation });
        self.drain(slot);
    }

    /// Stops the process; the disk keeps what was durable and some of the rest.
    pub fn stop(&mut self, slot: usize) {
        let machine = &mut self.slots[slot];
        machine.process = None;
        machine.is_frozen = false;
        machine.incarnation += 1;
        machine.inbox.clear();
        machine.disk.lose_pending(&mut self.random);
    }

    /// Stops the machine and empties its disk: what comes back is a new replica.
    pub fn wipe(&mut self, slot: usize) {
        self.stop(slot);
        self.slots[slot].disk.wipe();
        if self.options.wiped_disk_keeps_identity {
            return;
        }
        let disk = self.new_disk();
        let machine = &mut self.slots[slot];
        machine.is_founder = false;
        machine.member = Rc::new(member(slot, disk));
    }

    pub fn thaw(&mut self, slot: usize) {
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

    fn deliver(&mut self, to: usize, from: Rc<Member>, payload: Payload) {
        let machine = &mut self.slots[to];
        if machine.is_frozen {
            machine.inbox.push(Event::Deliver { to, from, payload });
            return;
        }
        let now = self.now;
        let Some(process) = &mut machine.process else { return };
        let local = process.local(now);
        match payload {
            Payload::Register(message) => process.register.receive(local, &from, &message),
            Payload::Replica(message) => process.replica.receive(local, &from, &message),
            Payload::Hello => process.on_hello(now, &from),
        }
        self.drain(to);
    }

    fn synced(&mut self, slot: usize, incarnation: u64) {
        let now = self.now;
        let machine = &mut self.slots[slot];
        if machine.incarnation != incarnation {
            return;
        }
        if now < machine.disk.hangs_until {
            let until = machine.disk.hangs_until;
            self.schedule_at(until, Event::Synced { slot, incarnation });
            return;
        }
        if machine.is_frozen {
            machine.inbox.push(Event::Synced { slot, incarnation });
            return;
        }
        let Some(waiter) = machine.disk.complete_one() else { return };
        let Some(process) = &mut machine.process else { return };
        let local = process.local(now);
        match waiter {
            Waiter::Register(token) => process.register.persisted(local, token),
            Waiter::Replica(token) => process.replica.persisted(local, token),
            Waiter::Checkpoint => {}
        }
        self.drain(slot);
    }

    fn tick(&mut self, slot: usize, incarnation: u64) {
        if self.slots[slot].incarnation != incarnation || self.slots[slot].is_frozen {
            return;
        }
        self.tick_process(slot);
        self.check_acting();
        self.schedule(TICK, Event::Tick { slot, incarnation });
    }

    fn tick_process(&mut self, slot: usize) {
        let now = self.now;
        let holders = repeated_loss::holders(self);
        let machine = &mut self.slots[slot];
        let Some(process) = &mut machine.process else { return };
        let local = process.local(now);
        process.register.tick(local);
        if let Some(holders) = holders {
            process.replica.set_targets(local, holders);
        }
        process.replica.tick(local);
        let new_witness = process.drive_witnesses(now);
        if machine.disk.replica_records() > CHECKPOINT_RECORDS {
            let records = process.replica.checkpoint().expect("a sound state");
            self.write(slot, Waiter::Checkpoint, Stored::Replica(records));
        }
        if let Some(new_witness) = new_witness {
            faults::inject_at_witness_change(self, slot, slot_of(&new_witness));
        }
        self.drain(slot);
    }

    /// Machines that act now; a frozen one can't do anything.
    pub fn acting(&self) -> Vec<usize> {
        let is_acting = |slot: &Slot| {
            let process = slot.process.as_ref().filter(|_| !slot.is_frozen);
            process.is_some_and(|process| process.replica.is_acting(process.local(self.now)))
        };
        (0..self.slots.len()).filter(|slot| is_acting(&self.slots[*slot])).collect()
    }

    fn check_acting(&mut self) {
        let acting = self.acting();
        if acting.len() > 1 {
            let found = format!("two primaries act: {acting:?}: {}", self.describe());
            self.checker.fail_safety(found);
        }
        for slot in acting {
            let machine = &self.slots[slot];
            if let Some(process) = &machine.process {
                self.checker.acting(&machine.member.node, process.replica.state().values.len());
            }
        }
    }

    fn send_hellos(&mut self) {
        for from in 0..self.slots.len() {
            let is_up = self.slots[from].process.is_some() && !self.slots[from].is_frozen;
            for to in (0..self.slots.len()).filter(|to| is_up && *to != from) {
                self.transmit(from, to, Payload::Hello);
            }
        }
        self.schedule(HELLO_INTERVAL, Event::Hello);
    }

    /// Clients propose through whoever acts.
    fn client(&mut self) {
        self.check_acting();
        for slot in self.acting() {
            let burst = if self.random.permille(50) { 8 } else { 1 };
            for _ in 0..burst {
                self.propose(slot);
            }
            self.drain(slot);
        }
        let period = if self.are_faults_over() { CLIENT_PERIOD * CALM_CLIENTS } else { CLIENT_PERIOD };
        let delay = self.random.range(period / 4, period * 2);
        self.schedule(delay, Event::Client);
    }

    pub fn propose(&mut self, slot: usize) {
        let (now, value) = (self.now, self.next_value);
        let Some(process) = &mut self.slots[slot].process else { return };
        let local = process.local(now);
        if let Ok(index) = process.replica.propose(local, value.to_le_bytes().to_vec()) {
            process.proposals.insert(index, value);
            self.next_value += 1;
        }
    }

    fn write(&mut self, slot: usize, waiter: Waiter, stored: Stored) {
        let latency = self.random.range(300, 4 * MILLISECOND);
        let machine = &mut self.slots[slot];
        let due = machine.disk.write(self.now, latency, waiter, stored);
        let incarnation = machine.incarnation;
        self.schedule_at(due, Event::Synced { slot, incarnation });
    }

    fn transmit(&mut self, from: usize, to: usize, payload: Payload) {
        if from != to && (self.partitions[from][to] > 0 || self.random.permille(self.loss_permille)) {
            return;
        }
        if matches!(payload, Payload::Replica(_)) && self.slots[to].drops_inbound {
            return;
        }
        let extra = self.slots[from].extra_delay;
        let delay = if from == to { 10 } else { self.random.range(500, 3 * MILLISECOND) + extra };
        let at = (self.now + delay).max(self.last_delivery[from][to] + 1);
        self.last_delivery[from][to] = at;
        let from = self.slots[from].member.clone();
        self.schedule_at(at, Event::Deliver { to, from, payload });
    }

    /// Sends to a disk: a machine that lost it takes nothing that was meant for its predecessor.
    fn send(&mut self, from: usize, to: &Member, payload: Payload) {
        let slot = slot_of(to);
        if self.slots[slot].member.disk == to.disk {
            self.transmit(from, slot, payload);
        }
    }

    /// Carries out what a process asks for.
    fn drain(&mut self, slot: usize) {
        loop {
            let Some(process) = &mut self.slots[slot].process else { return };
            let from_register = process.register.take_outputs();
            let from_replica = process.replica.take_outputs();
            if from_register.is_empty() && from_replica.is_empty() {
                break;
            }
            for output in from_register {
                self.carry_out_register(slot, output);
            }
            self.end_change(slot);
            for output in from_replica {
                self.carry_out_replica(slot, output);
            }
        }
        self.check_applied(slot);
    }

    fn carry_out_register(&mut self, slot: usize, output: RegisterOutput) {
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
                    let local = process.local(now);
                    process.replica.configure(local, &record);
                }
                faults::inject_at_choice(self);
            }
            RegisterOutput::Rejected { .. } => {}
        }
    }

    /// Tells the replica that the change it asked for has ended.
    fn end_change(&mut self, slot: usize) {
        let now = self.now;
        let Some(process) = &mut self.slots[slot].process else { return };
        if process.change_in_flight && !process.register.is_proposing() {
            process.change_in_flight = false;
            let local = process.local(now);
            process.replica.epoch_change_ended(local);
        }
    }

    fn carry_out_replica(&mut self, slot: usize, output: ReplicaOutput) {
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
            ReplicaOutput::ChangeEpoch { expected, record } => self.ask_register(slot, expected, record),
            ReplicaOutput::Committed { index } => self.acknowledge(slot, index),
            ReplicaOutput::BecamePrimary { .. } => self.check_acting(),
            ReplicaOutput::Stopped => {
                if let Some(process) = &mut self.slots[slot].process {
                    process.proposals.clear();
                }
            }
        }
    }

    fn ask_register(&mut self, slot: usize, expected: u64, record: EpochRecord) {
        let now = self.now;
        let Some(process) = &mut self.slots[slot].process else { return };
        let local = process.local(now);
        if process.register.is_proposing() {
            process.replica.epoch_change_ended(local);
            return;
        }
        process.change_in_flight = true;
        let joiner = record.in_sync.iter().find(|member| !process.replica.record().is_in_sync(member.disk));
        let joiner = joiner.filter(|_| expected > 0).map(slot_of);
        process.register.propose(local, expected, record);
        faults::inject_at_proposal(self);
        if let Some(joiner) = joiner {
            faults::inject_at_join(self, slot, joiner);
        }
    }

    fn acknowledge(&mut self, slot: usize, index: u64) {
        self.check_applied(slot);
        let Some(process) = &mut self.slots[slot].process else { return };
        while let Some(first) = process.proposals.first_entry().filter(|first| *first.key() <= index) {
            let (index, value) = first.remove_entry();
            self.checker.acknowledged(&process.me.node, index, value);
        }
    }

    fn check_applied(&mut self, slot: usize) {
        let Some(process) = &mut self.slots[slot].process else { return };
        let state = process.replica.state();
        if state.values.len() < process.checked {
            self.checker.fail_safety(format!("{} lost applied entries", process.me.node));
        }
        self.checker.applied(&process.me.node, process.checked, &state.values);
        process.checked = state.values.len();
        if let Some(violation) = &state.violation {
            self.checker.fail_safety(violation.clone());
        }
    }

    /// The machines that should hold the group.
    pub fn set_targets(&mut self, targets: &[usize]) {
        debug_assert_eq!(self.options.plan, Plan::Targets);
        let members: Vec<Member> = targets.iter().map(|slot| (*self.slots[*slot].member).clone()).collect();
        for slot in 0..self.slots.len() {
            let now = self.now;
            if let Some(process) = &mut self.slots[slot].process {
                let local = process.local(now);
                process.replica.set_targets(local, members.clone());
            }
        }
    }
}

fn member(slot: usize, disk: DiskId) -> Member {
    Member {
        disk,
        node: format!("n{slot}"),
        address: slot.to_string(),
        zone: format!("zone{}", slot % 3),
        region: String::new(),
    }
}

fn slot_of(member: &Member) -> usize {
    member.address.parse().expect("an address of the simulation")
}
