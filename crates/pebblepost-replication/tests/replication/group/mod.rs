//! A group of replicas with in-memory disks, direct message delivery and a configuration manager.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::{EpochRecord, Tolerance};
use pebblepost_replication::replica::{
    DiskRecord, ProposeError, Replica, ReplicaOutput, ReplicaSettings, StateMachine,
};
use std::collections::VecDeque;
use std::time::Duration;

/// A state machine that keeps all entries. Its snapshot is about as large as all entries together.
#[derive(Debug, Default)]
pub struct Entries(pub Vec<Vec<u8>>);

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

pub fn member(disk: u64) -> Member {
    Member { disk: DiskId(disk), node: format!("n{disk}"), address: disk.to_string(), ..Member::default() }
}

pub fn record(epoch: u64, in_sync: &[u64]) -> EpochRecord {
    let in_sync: Vec<Member> = in_sync.iter().map(|disk| member(*disk)).collect();
    EpochRecord { epoch, primary: in_sync[0].disk, in_sync, ..EpochRecord::default() }
}

pub fn settings(tolerance: usize) -> ReplicaSettings {
    ReplicaSettings {
        tolerance: Tolerance { machines: tolerance, ..Tolerance::default() },
        heartbeat_interval: Duration::from_millis(100),
        lease: Duration::from_millis(500),
        election_timeout: Duration::from_millis(700),
        max_replica_lag: Duration::from_millis(600),
        write_timeout: Duration::from_millis(400),
        max_log_bytes: 1_000,
    }
}

/// Replicas on disks 1, 2, ..., and a configuration manager that grants every change that builds on
/// the newest epoch.
pub struct Group {
    pub now: Duration,
    pub tolerance: usize,
    pub replicas: Vec<Replica<Entries>>,
    pub disks: Vec<Vec<DiskRecord>>,
    /// Disks whose writes never complete.
    pub stalled_disks: Vec<u64>,
    /// Replicas that are partitioned from all others and from the configuration manager.
    pub partitioned: Vec<u64>,
    pub current: EpochRecord,
    pub became_primary: Vec<u64>,
    pub stepped_down: Vec<u64>,
    pub largest_message: usize,
    /// Whether requested changes are deferred until [`Self::decide_deferred`].
    pub defers_changes: bool,
    deferred: Vec<(u64, EpochRecord)>,
}

impl Group {
    pub fn new(count: u64, tolerance: usize, current: EpochRecord) -> Self {
        let new = |disk| {
            Replica::new(member(disk), settings(tolerance), Entries::default(), Vec::new(), Duration::ZERO)
        };
        let mut group = Self {
            now: Duration::ZERO,
            tolerance,
            replicas: (1..=count).map(new).collect(),
            disks: vec![Vec::new(); count as usize],
            stalled_disks: Vec::new(),
            partitioned: Vec::new(),
            current: current.clone(),
            became_primary: Vec::new(),
            stepped_down: Vec::new(),
            largest_message: 0,
            defers_changes: false,
            deferred: Vec::new(),
        };
        group.replicas.iter_mut().for_each(|replica| replica.configure(Duration::ZERO, &current));
        group.advance(200);
        group
    }

    pub fn replica(&mut self, disk: u64) -> &mut Replica<Entries> {
        &mut self.replicas[disk as usize - 1]
    }

    pub fn propose(&mut self, disk: u64, entry: &[u8]) -> Result<u64, ProposeError> {
        let now = self.now;
        let result = self.replica(disk).propose(now, entry.to_vec());
        self.deliver_all();
        result
    }

    pub fn is_acting(&mut self, disk: u64) -> bool {
        let now = self.now;
        self.replica(disk).is_acting(now)
    }

    /// Returns the replicas that act as primary.
    pub fn acting(&mut self) -> Vec<u64> {
        let disks = 1..=self.replicas.len() as u64;
        disks.filter(|disk| self.is_acting(*disk)).collect()
    }

    pub fn entries(&mut self, disk: u64) -> Vec<Vec<u8>> {
        self.replica(disk).state().0.clone()
    }

    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 50 {
            self.now += Duration::from_millis(50);
            let now = self.now;
            self.replicas.iter_mut().for_each(|replica| replica.tick(now));
            self.deliver_all();
        }
    }

    pub fn deliver_all(&mut self) {
        let mut messages: VecDeque<(u64, u64, Vec<u8>)> = VecDeque::new();
        loop {
            let mut changed = false;
            for disk in 1..=self.replicas.len() as u64 {
                changed |= self.collect(disk, &mut messages);
            }
            if let Some((from, to, message)) = messages.pop_front() {
                let now = self.now;
                if !self.partitioned.contains(&from) && !self.partitioned.contains(&to) {
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
                    if !self.stalled_disks.contains(&disk) {
                        self.disks[disk as usize - 1].extend(records);
                        self.replica(disk).on_persisted(now, token);
                    }
                }
                ReplicaOutput::ChangeEpoch { expected, record } => self.change_epoch(disk, expected, record),
                ReplicaOutput::Committed { .. } => {}
                ReplicaOutput::BecamePrimary { .. } => self.became_primary.push(disk),
                ReplicaOutput::SteppedDown => self.stepped_down.push(disk),
            }
        }
        changed
    }

    /// Decides on the deferred changes.
    pub fn decide_deferred(&mut self) {
        self.defers_changes = false;
        for (disk, record) in std::mem::take(&mut self.deferred) {
            self.change_epoch(disk, record.epoch - 1, record);
        }
        self.deliver_all();
    }

    /// Sets the targets of all replicas.
    pub fn set_targets(&mut self, targets: &[u64]) {
        let now = self.now;
        let targets: Vec<Member> = targets.iter().map(|disk| member(*disk)).collect();
        self.replicas.iter_mut().for_each(|replica| replica.set_targets(now, targets.clone()));
        self.deliver_all();
    }

    fn change_epoch(&mut self, disk: u64, expected: u64, record: EpochRecord) {
        if self.defers_changes {
            self.deferred.push((disk, record));
            return;
        }
        let now = self.now;
        if expected == self.current.epoch && !self.partitioned.contains(&disk) {
            self.current = record;
        }
        let current = self.current.clone();
        if !self.partitioned.contains(&disk) {
            self.replica(disk).configure(now, &current);
        }
        self.replica(disk).on_epoch_change_ended(now);
    }

    pub fn restart(&mut self, disk: u64, recovered: Vec<DiskRecord>) {
        let tolerance = self.tolerance;
        let now = self.now;
        *self.replica(disk) =
            Replica::new(member(disk), settings(tolerance), Entries::default(), recovered, now);
    }
}
