//! The world: its machines, its queue of events, clients.

use super::Options;
use super::checker::Checker;
use super::disk::SimulatedDisk;
use super::faults::{self, Fault};
use super::process::Process;
use super::random::Random;
use super::transcript::Transcript;
use super::violation::Violation;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
pub const TICK: u64 = 50 * MILLISECOND;
pub const HELLO_INTERVAL: u64 = 300 * MILLISECOND;
const CLIENT_PERIOD: u64 = 50 * MILLISECOND;
/// Clients ask so many times less often once the faults are over.
const CALM_CLIENTS: u64 = 4;
/// After the end of the faults: until a primary acts, and until the end.
const RECOVERY: u64 = 3 * SECOND;
const CALM: u64 = RECOVERY + 600 * MILLISECOND;
/// A replica writes a checkpoint when its disk holds more records.
pub const CHECKPOINT_RECORDS: usize = 60;

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

/// A machine: address, disk, process.
#[expect(clippy::struct_excessive_bools, reason = "independent conditions of a simulated machine")]
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
    pub(super) inbox: Vec<Event>,
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
    pub(super) queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(super) events: Vec<Option<Event>>,
    pub(super) free: Vec<usize>,
    pub(super) sequence: u64,
    pub(super) last_delivery: Vec<Vec<u64>>,
    pub(super) founding: EpochRecord,
    pub(super) next_value: u64,
    pub(super) faults_end: u64,
    pub(super) acknowledged_at_end: u64,
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

    pub(super) fn new_disk(&mut self) -> DiskId {
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

    pub(super) fn handle(&mut self, event: Event) {
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
}

pub(super) fn member(slot: usize, disk: DiskId) -> Member {
    Member {
        disk,
        node: format!("n{slot}"),
        address: slot.to_string(),
        zone: format!("zone{}", slot % 3),
        region: String::new(),
    }
}

pub(super) fn slot_of(member: &Member) -> usize {
    member.address.parse().expect("an address of the simulation")
}
