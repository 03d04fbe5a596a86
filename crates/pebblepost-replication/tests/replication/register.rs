//! The epoch register: proposals, rejections, recovery and lost messages.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::{Register, RegisterOutput, WitnessState};
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;

fn member(disk: u64) -> Member {
    Member { disk: DiskId(disk), node: format!("n{disk}"), address: disk.to_string(), ..Member::default() }
}

fn members(disks: &[u64]) -> Vec<Member> {
    disks.iter().map(|disk| member(*disk)).collect()
}

fn initial_record() -> EpochRecord {
    EpochRecord { witnesses: members(&[1, 2, 3]), ..EpochRecord::default() }
}

fn successor(of: &EpochRecord, primary: u64) -> EpochRecord {
    let in_sync = members(&[primary]);
    EpochRecord { epoch: of.epoch + 1, primary: DiskId(primary), in_sync, ..of.clone() }
}

/// Registers on disks 1, 2, ..., whose writes are durable at once, and a log of their outputs.
struct Group {
    now: Duration,
    registers: Vec<Register>,
    states: Vec<Option<WitnessState>>,
    chosen: Vec<Vec<EpochRecord>>,
    rejected: Vec<Vec<u64>>,
    partitioned: Vec<u64>,
}

impl Group {
    fn new(count: u64) -> Self {
        let founder = |disk| (disk <= 3).then(initial_record);
        let registers = (1..=count).map(|disk| Register::new(member(disk), None, founder(disk), disk));
        let count = count as usize;
        Self {
            now: Duration::ZERO,
            registers: registers.collect(),
            states: vec![None; count],
            chosen: vec![Vec::new(); count],
            rejected: vec![Vec::new(); count],
            partitioned: Vec::new(),
        }
    }

    fn register(&mut self, disk: u64) -> &mut Register {
        &mut self.registers[disk as usize - 1]
    }

    fn propose(&mut self, disk: u64, record: &EpochRecord) {
        let now = self.now;
        self.register(disk).propose(now, record.epoch - 1, record.clone());
        self.deliver_all();
    }

    /// Carries out outputs and delivers messages until none are left.
    fn deliver_all(&mut self) {
        let mut messages: VecDeque<(u64, u64, Vec<u8>)> = VecDeque::new();
        loop {
            for disk in 1..=self.registers.len() as u64 {
                self.collect(disk, &mut messages);
            }
            let Some((from, to, message)) = messages.pop_front() else { return };
            let is_lost = self.partitioned.contains(&from) || self.partitioned.contains(&to);
            if !is_lost && to as usize <= self.registers.len() {
                let now = self.now;
                self.register(to).receive(now, &member(from), &message);
            }
        }
    }

    fn collect(&mut self, disk: u64, messages: &mut VecDeque<(u64, u64, Vec<u8>)>) {
        let now = self.now;
        let index = disk as usize - 1;
        for output in self.register(disk).take_outputs() {
            match output {
                RegisterOutput::Send { to, message } => messages.push_back((disk, to.disk.0, message)),
                RegisterOutput::Persist { token, state } => {
                    self.states[index] = Some(state);
                    self.register(disk).on_persisted(now, token);
                }
                RegisterOutput::Chosen(record) => self.chosen[index].push(record),
                RegisterOutput::Rejected { epoch } => self.rejected[index].push(epoch),
            }
        }
    }

    /// Advances the time in ticks of 50 ms.
    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 50 {
            self.now += Duration::from_millis(50);
            let now = self.now;
            self.registers.iter_mut().for_each(|register| register.tick(now));
            self.deliver_all();
        }
    }

    /// Restarts a register from the state on its disk.
    fn restart(&mut self, disk: u64) {
        let recovered = self.states[disk as usize - 1].clone();
        *self.register(disk) = Register::new(member(disk), recovered, Some(initial_record()), 99);
    }
}

#[rstest]
fn a_chosen_proposal_is_learned_by_all_members() {
    let mut group = Group::new(3);
    let first = successor(&initial_record(), 2);
    group.propose(2, &first);
    for disk in 1..=3 {
        assert_eq!(group.register(disk).chosen(), Some(&first), "disk {disk}");
    }
    assert!(group.rejected.iter().all(Vec::is_empty));
}

#[rstest]
fn a_proposal_on_an_old_epoch_is_rejected() {
    let mut group = Group::new(3);
    let first = successor(&initial_record(), 2);
    group.partitioned = vec![1];
    group.propose(2, &first);
    group.partitioned.clear();
    let other = successor(&initial_record(), 1);
    group.propose(1, &other);
    group.advance(1_500);
    assert_eq!(group.rejected[0], vec![1]);
    assert_eq!(group.register(1).chosen(), Some(&first));
}

#[rstest]
#[case::skipped_epoch(|record: &mut EpochRecord| record.epoch += 1)]
#[case::new_witnesses_without_former(|record: &mut EpochRecord| record.witnesses = members(&[1, 2, 4]))]
#[case::wrong_former(|record: &mut EpochRecord| {
    record.witnesses = members(&[1, 2, 4]);
    record.former_witnesses = members(&[1, 2]);
})]
#[case::no_witnesses(|record: &mut EpochRecord| {
    record.former_witnesses = std::mem::take(&mut record.witnesses);
})]
fn an_invalid_change_is_rejected(#[case] change: fn(&mut EpochRecord)) {
    let mut group = Group::new(4);
    let mut record = successor(&initial_record(), 1);
    change(&mut record);
    group.register(1).propose(Duration::ZERO, 0, record.clone());
    group.deliver_all();
    assert_eq!(group.rejected[0], vec![record.epoch]);
    assert_eq!(group.register(1).chosen(), Some(&initial_record()));
}

#[rstest]
fn the_witness_set_changes_in_two_steps_and_one_change_at_a_time() {
    let mut group = Group::new(5);
    let mut start = successor(&initial_record(), 1);
    start.former_witnesses = start.witnesses.clone();
    start.witnesses = members(&[1, 2, 4]);
    group.propose(1, &start);
    assert_eq!(group.register(4).chosen(), Some(&start));

    let mut second = successor(&start, 1);
    second.witnesses = members(&[1, 4, 5]);
    group.propose(1, &second);
    assert_eq!(group.rejected[0], vec![2]);

    let mut finish = successor(&start, 1);
    finish.former_witnesses.clear();
    group.propose(1, &finish);
    assert_eq!(group.register(4).chosen(), Some(&finish));
    group.partitioned = vec![2, 3];
    group.propose(4, &successor(&finish, 4));
    assert_eq!(group.register(1).chosen().map(|record| record.epoch), Some(3));
}

#[rstest]
fn a_proposal_without_a_majority_fails() {
    let mut group = Group::new(3);
    group.partitioned = vec![2, 3];
    group.propose(1, &successor(&initial_record(), 1));
    group.advance(1_500);
    assert_eq!(group.rejected[0], vec![1]);
    assert_eq!(group.register(1).chosen(), Some(&initial_record()));
}

/// The next proposer completes a record that one witness accepted before it proposes its own.
#[rstest]
fn a_record_accepted_by_one_witness_is_completed() {
    let mut group = Group::new(3);
    let first = successor(&initial_record(), 1);
    group.register(1).propose(Duration::ZERO, 0, first.clone());
    let mut messages = VecDeque::new();
    for wave in 0..4 {
        // The waves are prepare requests, writes, promises and accept requests. Accept requests reach
        // only the proposer itself.
        (1..=3).for_each(|disk| group.collect(disk, &mut messages));
        for (from, to, message) in std::mem::take(&mut messages) {
            if wave < 3 || to == 1 {
                group.register(to).receive(Duration::ZERO, &member(from), &message);
            }
        }
    }
    (1..=3).for_each(|disk| group.collect(disk, &mut messages));
    assert_eq!(group.states[0].as_ref().and_then(|state| state.accepted.clone()), Some(first.clone()));
    assert_eq!(group.states[1].as_ref().and_then(|state| state.accepted.clone()), Some(initial_record()));
    assert_eq!(group.states[2].as_ref().and_then(|state| state.accepted.clone()), Some(initial_record()));

    // Disk 2 reaches disk 1 but not disk 3. It finds the record at disk 1 and completes it.
    group.partitioned = vec![3];
    group.propose(2, &successor(&initial_record(), 2));
    group.advance(1_500);
    assert_eq!(group.register(2).chosen(), Some(&first));
    assert_eq!(group.rejected[1], vec![1]);
    let accepted = |index: usize| group.states[index].as_ref().and_then(|state| state.accepted.clone());
    assert_eq!((accepted(0), accepted(1)), (Some(first.clone()), Some(first)));
}

#[rstest]
fn a_restarted_witness_learns_the_chosen_record() {
    let mut group = Group::new(3);
    let first = successor(&initial_record(), 2);
    group.propose(2, &first);
    (1..=3).for_each(|disk| group.restart(disk));
    assert_eq!(group.register(1).chosen(), None);
    group.advance(2_000);
    for disk in 1..=3 {
        assert_eq!(group.register(disk).chosen(), Some(&first), "disk {disk}");
    }
}

#[rstest]
fn a_disk_without_a_record_does_not_answer_until_a_record_names_it() {
    let mut group = Group::new(5);
    group.partitioned = vec![2, 3];
    group.propose(1, &successor(&initial_record(), 1));
    group.propose(5, &successor(&initial_record(), 5));
    assert_eq!(group.rejected[4], vec![1]);
    assert!(group.states[3].is_none() && group.states[4].is_none());
}

#[rstest]
fn a_new_member_learns_the_chosen_record() {
    let mut group = Group::new(4);
    let first = successor(&initial_record(), 2);
    group.propose(2, &first);
    let new_member = member(4);
    group.register(1).announce_chosen(&new_member);
    group.deliver_all();
    assert_eq!(group.register(4).chosen(), Some(&first));
}

#[rstest]
fn malformed_messages_are_dropped() {
    let mut group = Group::new(1);
    let mut bytes = Vec::new();
    for length in 0..200_u8 {
        for first in 0..8 {
            if let Some(byte) = bytes.first_mut() {
                *byte = first;
            }
            group.register(1).receive(Duration::ZERO, &member(2), &bytes);
        }
        bytes.push(length.wrapping_mul(151) | 0xc0);
    }
    assert_eq!(group.register(1).chosen(), Some(&initial_record()));
}
