//! A process with a register, a replica and the part of the control program that drives them.

use super::list_machine::ListMachine;
use super::witness_change::next_witness_change;
use super::{Options, settings};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::{Register, WitnessState};
use pebblepost_replication::replica::{DiskRecord, Replica};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a message after which a member counts as gone and is replaced as a witness.
const GONE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Gap between two hello messages after which a member counts as reconnected.
const RECONNECT_GAP: Duration = Duration::from_millis(700);

pub struct Process {
    pub member: Member,
    pub register: Register,
    pub replica: Replica<ListMachine>,
    /// Whether the replica waits for the answer of the register to a requested change.
    pub change_in_flight: bool,
    /// Values proposed by clients since the start of the process and not acknowledged yet, by index.
    pub proposals: BTreeMap<u64, u64>,
    /// Number of applied entries that were checked.
    pub checked: usize,
    last_hello: BTreeMap<DiskId, (Member, Duration)>,
    clock_offset: u64,
    witness_count: usize,
}

impl Process {
    pub fn new(
        options: &Options, member: Member, recovered: (Option<WitnessState>, Vec<DiskRecord>),
        initial_record: Option<EpochRecord>, now: u64, seed: u64,
    ) -> Self {
        let clock_offset = seed % 1_000_000_000;
        let local_time = Duration::from_micros(now + clock_offset);
        let guards = options.register_guards;
        let register =
            Register::with_guards(member.clone(), recovered.0, initial_record.clone(), seed, guards);
        let guards = options.replica_guards;
        let settings = settings(options.tolerance);
        let state = ListMachine::default();
        let mut replica =
            Replica::with_guards(member.clone(), settings, state, recovered.1, local_time, guards);
        if let Some(initial_record) = &initial_record {
            replica.configure(local_time, initial_record);
        }
        Self {
            member,
            register,
            replica,
            change_in_flight: false,
            proposals: BTreeMap::new(),
            checked: 0,
            last_hello: BTreeMap::new(),
            clock_offset,
            witness_count: 2 * options.tolerance + 1,
        }
    }

    /// Returns the time of the monotonic clock of this process.
    pub fn local_time(&self, now: u64) -> Duration {
        Duration::from_micros(now + self.clock_offset)
    }

    /// Handles a hello message. Sends the newest chosen record to a member that has reconnected.
    pub fn on_hello(&mut self, now: u64, from: &Member) {
        let local_time = self.local_time(now);
        let last = self.last_hello.insert(from.disk, (from.clone(), local_time));
        if last.is_none_or(|(_, at)| local_time - at > RECONNECT_GAP) {
            self.register.announce_chosen(from);
        }
    }

    /// Replaces witnesses that are gone, one at a time. Returns the new witness if a change starts.
    pub fn drive_witnesses(&mut self, now: u64) -> Option<Member> {
        let local_time = self.local_time(now);
        let is_idle = !self.change_in_flight && !self.register.is_proposing();
        if !is_idle || !self.replica.is_acting(local_time) {
            return None;
        }
        let record = self.replica.record();
        let is_up = |(_, at): &&(Member, Duration)| local_time - *at < GONE_TIMEOUT;
        let witnesses_up = record.witnesses.iter().all(|witness| {
            witness.disk == self.member.disk || self.last_hello.get(&witness.disk).as_ref().is_some_and(is_up)
        });
        if witnesses_up && record.former_witnesses.is_empty() {
            return None;
        }
        let mut reachable: Vec<Member> =
            self.last_hello.values().filter(is_up).map(|(member, _)| member.clone()).collect();
        reachable.push(self.member.clone());
        let next = next_witness_change(record, &reachable, self.witness_count)?;
        let new_witness = next.witnesses.iter().find(|member| !record.is_witness(member.disk)).cloned();
        let expected = record.epoch;
        self.register.propose(local_time, expected, next);
        new_witness
    }
}
