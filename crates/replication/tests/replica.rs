//! The replica by itself: acting, recovery, catching up, limits.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::{EpochRecord, Tolerance};
use pebblepost_replication::replica::{
    DiskRecord, ProposeError, Replica, ReplicaOutput, ReplicaSettings, StateMachine,
};
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;

/// Keeps all entries; its snapshot is as large as they are together.
#[derive(Debug, Default)]
struct Entries(Vec<Vec<u8>>);

impl StateMachine for Entries {
    fn apply(&mut self, index: u64, entry: &[u8]) {
        assert_eq!(index, self.0.len() as u64 + 1);
        self.0.push(entry.to_vec());
    }

    fn snapshot(&self) -> Vec<u8> {
        let lengths = self.0.iter().map(|entry| entry.len().to_string()).collect::<Vec<_>>().join(",");
        [lengths.into_bytes(), vec![b'\n'], self.0.concat()].concat()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let line = snapshot.iter().position(|byte| *byte == b'\n').expect("a line of lengths");
        let lengths = std::str::from_utf8(&snapshot[..line]).expect("text");
        let mut rest = &snapshot[line + 1..];
        self.0.clear();
        for length in lengths.split(',').filter(|length| !length.is_empty()) {
            let (entry, after) = rest.split_at(length.parse().expect("a number"));
            self.0.push(entry.to_vec());
            rest = after;
        }
    }
}

fn member(disk: u64) -> Member {
    Member { disk: DiskId(disk), node: format!("n{disk}"), address: disk.to_string(), ..Member::default() }
}

fn record(epoch: u64, in_sync: &[u64]) -> EpochRecord {
    let in_sync: Vec<Member> = in_sync.iter().map(|disk| member(*disk)).collect();
    EpochRecord { epoch, primary: in_sync[0].disk, in_sync, ..EpochRecord::default() }
}

fn settings(tolerance: usize) -> ReplicaSettings {
    ReplicaSettings {
        tolerance: Tolerance { machines: tolerance, ..Tolerance::default() },
        beacon: Duration::from_millis(100),
        lease: Duration::from_millis(500),
        grace: Duration::from_millis(700),
        most_lag: Duration::from_millis(600),
        most_own_write: Duration::from_millis(400),
        kept_bytes: 1_000,
    }
}

/// Replicas of disks 1, 2, ..., and a configuration manager that grants every change that builds
/// on the newest epoch.
struct Group {
    now: Duration,
    tolerance: usize,
    replicas: Vec<Replica<Entries>>,
    disks: Vec<Vec<DiskRecord>>,
    /// Disks whose writes don't end.
    hanging: Vec<u64>,
    /// Machines that are cut off.
    silent: Vec<u64>,
    current: EpochRecord,
    became_primary: Vec<u64>,
    stopped: Vec<u64>,
    largest_message: usize,
}

impl Group {
    fn new(count: u64, tolerance: usize, current: EpochRecord) -> Self {
        let new = |disk| {
            Replica::new(member(disk), settings(tolerance), Entries::default(), Vec::new(), Duration::ZERO)
        };
        let mut group = Self {
            now: Duration::ZERO,
            tolerance,
            replicas: (1..=count).map(new).collect(),
            disks: vec![Vec::new(); count as usize],
            hanging: Vec::new(),
            silent: Vec::new(),
            current: current.clone(),
            became_primary: Vec::new(),
            stopped: Vec::new(),
            largest_message: 0,
        };
        group.replicas.iter_mut().for_each(|replica| replica.configure(Duration::ZERO, &current));
        group.pass(200);
        group
    }

    fn replica(&mut self, disk: u64) -> &mut Replica<Entries> {
        &mut self.replicas[disk as usize - 1]
    }

    fn propose(&mut self, disk: u64, entry: &[u8]) -> Result<u64, ProposeError> {
        let now = self.now;
        let result = self.replica(disk).propose(now, entry.to_vec());
        self.settle();
        result
    }

    fn is_acting(&mut self, disk: u64) -> bool {
        let now = self.now;
        self.replica(disk).is_acting(now)
    }

    /// The replicas that act.
    fn acting(&mut self) -> Vec<u64> {
        let disks = 1..=self.replicas.len() as u64;
        disks.filter(|disk| self.is_acting(*disk)).collect()
    }

    fn entries(&mut self, disk: u64) -> Vec<Vec<u8>> {
        self.replica(disk).state().0.clone()
    }

    fn pass(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 50 {
            self.now += Duration::from_millis(50);
            let now = self.now;
            self.replicas.iter_mut().for_each(|replica| replica.tick(now));
            self.settle();
        }
    }

    fn settle(&mut self) {
        let mut messages: VecDeque<(u64, u64, Vec<u8>)> = VecDeque::new();
        loop {
            let mut changed = false;
            for disk in 1..=self.replicas.len() as u64 {
                changed |= self.collect(disk, &mut messages);
            }
            if let Some((from, to, message)) = messages.pop_front() {
                let now = self.now;
                if !self.silent.contains(&from) && !self.silent.contains(&to) {
                    self.replica(to).receive(now, &member(from), &message);
                }
            } else if !changed {
                return;
            }
        }
    }

    fn collect(&mut self, disk: u64, messages: &mut VecDeque<(u64, u64, Vec<u8>)>) -> bool {
        let now = self.now;
        let outputs = self.replica(disk).take_outputs();
        let changed = !outputs.is_empty();
        for output in outputs {
            match output {
                ReplicaOutput::Send { to, message } => {
                    self.largest_message = self.largest_message.max(message.len());
                    messages.push_back((disk, to.disk.0, message));
                }
                ReplicaOutput::Persist { token, records } => {
                    if !self.hanging.contains(&disk) {
                        self.disks[disk as usize - 1].extend(records);
                        self.replica(disk).persisted(now, token);
                    }
                }
                ReplicaOutput::ChangeEpoch { expected, record } => self.change_epoch(disk, expected, record),
                ReplicaOutput::Committed { .. } => {}
                ReplicaOutput::BecamePrimary { .. } => self.became_primary.push(disk),
                ReplicaOutput::Stopped => self.stopped.push(disk),
            }
        }
        changed
    }

    fn change_epoch(&mut self, disk: u64, expected: u64, record: EpochRecord) {
        let now = self.now;
        if expected == self.current.epoch && !self.silent.contains(&disk) {
            self.current = record;
        }
        let current = self.current.clone();
        if !self.silent.contains(&disk) {
            self.replica(disk).configure(now, &current);
        }
        self.replica(disk).change_ended(now);
    }

    fn restart(&mut self, disk: u64, recovered: Vec<DiskRecord>) {
        let tolerance = self.tolerance;
        let now = self.now;
        *self.replica(disk) =
            Replica::new(member(disk), settings(tolerance), Entries::default(), recovered, now);
    }
}

#[rstest]
fn an_entry_is_committed_once_all_in_sync_replicas_hold_it() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    assert_eq!(group.became_primary, vec![1]);
    group.hanging = vec![3];
    assert_eq!(group.propose(1, b"one"), Ok(1));
    assert_eq!(group.replica(1).committed(), 0);
    // The disk of 3 hangs for too long: it is dropped, and the others commit.
    group.pass(1_000);
    assert_eq!(group.replica(1).committed(), 1);
    assert_eq!(group.current.in_sync, vec![member(1), member(2)]);
    assert!(group.is_acting(1));
}

#[rstest]
fn a_replica_that_is_not_primary_takes_nothing() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    assert_eq!(group.propose(2, b"one"), Err(ProposeError::NotPrimary));
}

#[rstest]
fn with_too_few_replicas_nothing_is_taken() {
    let mut group = Group::new(1, 1, record(1, &[1]));
    assert_eq!(group.propose(1, b"one"), Err(ProposeError::TooFewReplicas));
    assert!(!group.is_acting(1));
}

#[rstest]
fn a_cut_off_primary_stops_before_its_successor_acts() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    group.propose(1, b"one").expect("the primary acts");
    group.silent = vec![1];
    let mut handover = Vec::new();
    for _ in 0..40 {
        group.pass(50);
        let acting: Vec<u64> = (1..=3).filter(|disk| group.is_acting(*disk)).collect();
        assert!(acting.len() <= 1, "{acting:?} act at {:?}", group.now);
        handover.extend(acting);
    }
    handover.dedup();
    assert_eq!(handover, vec![1, 2]);
    group.silent.clear();
    group.pass(500);
    assert_eq!(group.stopped, vec![1]);
    group.pass(1_000);
    assert_eq!(group.current.in_sync.len(), 3, "the old primary is in sync again");
}

#[rstest]
fn a_primary_whose_disk_hangs_stops_and_another_takes_over() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    group.hanging = vec![1];
    group.propose(1, b"undecided").expect("the primary acts");
    group.pass(500);
    assert!(!group.is_acting(1));
    group.pass(1_500);
    assert!(group.is_acting(2));
    assert_eq!(group.entries(2), vec![b"undecided".to_vec()]);
}

#[rstest]
#[case::from_the_records(false)]
#[case::from_a_checkpoint(true)]
fn after_a_restart_of_all_nothing_is_lost(#[case] from_checkpoint: bool) {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    let entries: Vec<Vec<u8>> = (0..20_u8).map(|number| vec![number; 10]).collect();
    for entry in &entries {
        group.propose(1, entry).expect("the primary acts");
    }
    for disk in 1..=3 {
        let checkpoint = group.replica(disk).checkpoint();
        let records = if from_checkpoint { checkpoint } else { group.disks[disk as usize - 1].clone() };
        group.restart(disk, records);
    }
    group.pass(400);
    assert_eq!(group.acting(), [1], "the former primary need not wait for itself, all others wait");
    group.pass(1_500);
    assert_eq!(group.acting(), [1]);
    assert_eq!(group.entries(1), entries);
    assert!(group.current.epoch > 1);
}

#[rstest]
#[case::from_the_records(false)]
#[case::from_a_checkpoint(true)]
fn after_a_restart_without_the_primary_the_others_wait(#[case] from_checkpoint: bool) {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    let entries: Vec<Vec<u8>> = (0..20_u8).map(|number| vec![number; 10]).collect();
    for entry in &entries {
        group.propose(1, entry).expect("the primary acts");
    }
    group.silent.push(1);
    for disk in 2..=3 {
        let checkpoint = group.replica(disk).checkpoint();
        let records = if from_checkpoint { checkpoint } else { group.disks[disk as usize - 1].clone() };
        group.restart(disk, records);
    }
    group.pass(400);
    assert!(!group.is_acting(2) && !group.is_acting(3), "nobody follows before the grace time");
    group.pass(1_500);
    let acting: Vec<u64> = group.acting().into_iter().filter(|disk| *disk != 1).collect();
    assert_eq!(acting.len(), 1);
    assert_eq!(group.entries(acting[0]), entries);
    assert!(group.current.epoch > 1);
}

#[rstest]
fn a_log_with_a_gap_is_read_up_to_it() {
    let entry = |index| DiskRecord::Entry { index, epoch: 1, entry: vec![index as u8] };
    let records = vec![DiskRecord::Epoch(record(1, &[1])), entry(1), entry(2), entry(4)];
    let mut group = Group::new(1, 0, record(1, &[1]));
    group.restart(1, records);
    group.pass(1_500);
    assert_eq!(group.entries(1), vec![vec![1], vec![2]]);
}

#[rstest]
fn a_newcomer_gets_a_snapshot_in_pieces() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    group.silent = vec![3];
    for number in 0..10_u8 {
        group.propose(1, &vec![number; 100_000]).expect("the primary acts");
    }
    group.silent.clear();
    group.largest_message = 0;
    group.pass(3_000);
    assert_eq!(group.current.in_sync.len(), 3);
    assert_eq!(group.entries(3).len(), 10);
    assert!(group.largest_message < 300_000, "a message of {} bytes", group.largest_message);
}

#[rstest]
fn a_lost_replica_is_exchanged_in_one_step() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    group.silent = vec![3];
    group.propose(1, b"one").expect("the primary acts");
    group.silent = vec![2];
    group.pass(2_000);
    assert_eq!(group.current.in_sync, vec![member(1), member(3)]);
    assert!(group.is_acting(1));
    assert_eq!(group.entries(1), vec![b"one".to_vec()]);
}

#[rstest]
fn targets_move_the_group_and_the_primary_hands_over() {
    let mut group = Group::new(4, 1, record(1, &[1, 2]));
    group.propose(1, b"one").expect("the primary acts");
    let now = group.now;
    let targets = vec![member(3), member(4)];
    group.replicas.iter_mut().for_each(|replica| replica.set_targets(now, targets.clone()));
    group.pass(3_000);
    let mut in_sync: Vec<u64> = group.current.in_sync.iter().map(|member| member.disk.0).collect();
    in_sync.sort_unstable();
    assert_eq!(in_sync, vec![3, 4]);
    let primary = group.current.primary.0;
    assert!(group.is_acting(primary));
    assert_eq!(group.entries(primary), vec![b"one".to_vec()]);
    assert_eq!(group.stopped, vec![1]);
}

#[rstest]
fn bytes_that_are_no_message_are_dropped() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    let mut bytes = Vec::new();
    for length in 0..200_u8 {
        for first in 0..16 {
            if let Some(byte) = bytes.first_mut() {
                *byte = first;
            }
            let now = group.now;
            group.replica(1).receive(now, &member(2), &bytes);
            group.replica(2).receive(now, &member(1), &bytes);
        }
        bytes.push(length.wrapping_mul(151) | 0xc0);
    }
    group.pass(200);
    assert!(group.is_acting(1));
}
