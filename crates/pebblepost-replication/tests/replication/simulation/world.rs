//! The simulated world: machines, event queue and clients. Times are in microseconds.

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
/// Factor by which the time between client requests is longer once the faults are over.
const CLIENT_PERIOD_FACTOR_AFTER_FAULTS: u64 = 4;
/// Time after the end of the faults within which a primary must act.
const RECOVERY_TIMEOUT: u64 = 3 * SECOND;
/// Time from the end of the faults to the end of the run.
const TIME_AFTER_FAULTS: u64 = RECOVERY_TIMEOUT + 600 * MILLISECOND;
/// Number of records on disk above which a replica writes a checkpoint.
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
    RecoveryDeadline,
    End,
}

/// A machine with its address, disk and process.
#[expect(clippy::struct_excessive_bools, reason = "independent conditions of a simulated machine")]
pub struct Slot {
    pub member: Rc<Member>,
    pub disk: SimulatedDisk,
    pub process: Option<Process>,
    pub incarnation: u64,
    pub is_bootstrap_member: bool,
    pub is_removed: bool,
    pub is_frozen: bool,
    pub extra_delay: u64,
    pub drops_inbound: bool,
    /// Events that arrived while the machine was frozen.
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
    /// Number of active partitions from one machine to another.
    pub partitions: Vec<Vec<u32>>,
    pub loss_permille: u64,
    pub checker: Checker,
    /// Digests of the outputs of the processes, if they are recorded.
    pub transcript: Option<Transcript>,
    pub(super) queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(super) events: Vec<Option<Event>>,
    pub(super) free: Vec<usize>,
    pub(super) sequence: u64,
    pub(super) last_delivery: Vec<Vec<u64>>,
    pub(super) initial_record: EpochRecord,
    pub(super) next_value: u64,
    pub(super) faults_end: u64,
    pub(super) acknowledged_at_end: u64,
}

/// Maximum number of machines of one schedule, including spares.
pub const MAX_SLOTS: usize = 12;
/// Number of slots up to which machines may be replaced.
pub const MAX_SLOTS_AFTER_REPLACEMENT: usize = 11;

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
            initial_record: EpochRecord::default(),
            next_value: 1,
            faults_end: 0,
            acknowledged_at_end: 0,
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        for _ in 0..self.options.machines {
            self.add_slot(true);
        }
        self.initial_record.witnesses = self.slots.iter().map(|slot| (*slot.member).clone()).collect();
        for slot in 0..self.slots.len() {
            let delay = self.random.range(0, 200 * MILLISECOND);
            self.schedule(delay, Event::Fault(Fault::Start(slot)));
        }
        self.schedule(0, Event::Hello);
        self.schedule(SECOND, Event::Client);
        self.faults_end = faults::plan(self);
        let end = self.faults_end;
        self.schedule_at(end, Event::FaultsEnd);
        self.schedule_at(end + RECOVERY_TIMEOUT, Event::RecoveryDeadline);
        self.schedule_at(end + TIME_AFTER_FAULTS, Event::End);
    }

    /// Adds a machine with an empty disk at a new address, without starting it.
    pub fn add_slot(&mut self, is_bootstrap_member: bool) -> usize {
        let slot = self.slots.len();
        let disk = if is_bootstrap_member { DiskId(slot as u64 + 1) } else { self.new_disk() };
        self.slots.push(Slot {
            member: Rc::new(member(slot, disk)),
            disk: SimulatedDisk::default(),
            process: None,
            incarnation: 0,
            is_bootstrap_member,
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
            let description = format!("nothing acknowledged after the faults: {}", self.describe());
            return Err(Violation::Liveness(description));
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
            Event::RecoveryDeadline => self.check_recovered(),
            Event::End => {}
        }
    }

    pub fn are_faults_over(&self) -> bool {
        self.faults_end > 0 && self.now >= self.faults_end
    }

    fn end_faults(&mut self) {
        faults::end_all_faults(self);
        self.acknowledged_at_end = self.checker.acknowledged;
    }

    fn check_recovered(&mut self) {
        if self.acting().is_empty() {
            let description = format!("nobody acts: {}", self.describe());
            self.checker.fail(Violation::Liveness(description));
        }
    }

    /// Lets clients propose entries to every replica that acts as primary.
    fn client(&mut self) {
        self.check_acting();
        for slot in self.acting() {
            let burst = if self.random.permille(50) { 8 } else { 1 };
            for _ in 0..burst {
                self.propose(slot);
            }
            self.drain(slot);
        }
        let period = if self.are_faults_over() {
            CLIENT_PERIOD * CLIENT_PERIOD_FACTOR_AFTER_FAULTS
        } else {
            CLIENT_PERIOD
        };
        let delay = self.random.range(period / 4, period * 2);
        self.schedule(delay, Event::Client);
    }

    pub fn propose(&mut self, slot: usize) {
        let (now, value) = (self.now, self.next_value);
        let Some(process) = &mut self.slots[slot].process else { return };
        let local_time = process.local_time(now);
        if let Ok(index) = process.replica.propose(local_time, value.to_le_bytes().to_vec()) {
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
