//! Tests of the disk thread, on real files and on a simulated disk with faults.

use crate::common::simulated_disk::{Faults, SimulatedDisk};
use pebblepost_ring::{Completion, Disk, Recovered, journal::Options};
use std::{
    fs,
    path::PathBuf,
    sync::mpsc::{Receiver, channel},
    time::Duration,
};

const MAX_BYTES: u64 = 8 * 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(20);

/// A temporary folder, removed when dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("pebblepost-ring-{name}-{}", std::process::id()));
        fs::remove_dir_all(&path).ok();
        TemporaryFolder(path)
    }

    fn open(&self, identity: Option<u64>) -> (Disk, Recovered, Receiver<Completion>) {
        let (sender, receiver) = channel();
        let on_completion = Box::new(move |completion| sender.send(completion).unwrap_or(()));
        let (disk, recovered) = Disk::open(&self.0, MAX_BYTES, identity, on_completion).expect("opening");
        (disk, recovered, receiver)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Waits until a ticket is durable and returns the number of attempts that failed before.
fn wait_for(receiver: &Receiver<Completion>, ticket: u64) -> u32 {
    let mut failures = 0;
    loop {
        match receiver.recv_timeout(TIMEOUT).expect("a completion") {
            Completion::Synced(synced) if synced >= ticket => return failures,
            Completion::Synced(_) => {}
            Completion::WriteFailed(_) => failures += 1,
        }
    }
}

#[test]
fn records_and_checkpoints_on_real_files_survive_reopening() {
    let folder = TemporaryFolder::new("keeps");
    let (disk, recovered, receiver) = folder.open(Some(77));
    assert_eq!(recovered, Recovered { identity: 77, is_new: true, records: Vec::new() });
    disk.append(vec![vec![1; 10], vec![], vec![2; 300_000]]);
    let ticket = disk.append(vec![vec![3]]);
    wait_for(&receiver, ticket);
    drop(disk);

    let (disk, recovered, receiver) = folder.open(None);
    assert_eq!((recovered.identity, recovered.is_new), (77, false));
    assert_eq!(recovered.records, vec![vec![1; 10], vec![], vec![2; 300_000], vec![3]]);
    let bytes = disk.bytes_since_checkpoint();
    assert!((300_011..301_000).contains(&bytes), "{bytes}");
    disk.checkpoint(vec![vec![4; 20]]);
    assert_eq!(disk.bytes_since_checkpoint(), 0);
    let ticket = disk.append(vec![vec![5]]);
    wait_for(&receiver, ticket);
    drop(disk);

    let (_disk, recovered, _receiver) = folder.open(None);
    assert_eq!(recovered.records, vec![vec![4; 20], vec![5]]);
}

#[test]
fn random_identities_differ() {
    let (first, second) = (TemporaryFolder::new("first"), TemporaryFolder::new("second"));
    assert_ne!(first.open(None).1.identity, second.open(None).1.identity);
}

#[test]
fn the_largest_record_is_recovered() {
    let record: Vec<u8> = (0..64 * 1024 * 1024_u32).map(|index| (index / 7) as u8).collect();
    let folder = TemporaryFolder::new("largest");
    let (sender, receiver) = channel();
    let on_completion = Box::new(move |completion| sender.send(completion).unwrap_or(()));
    let max_bytes = 256 * 1024 * 1024;
    let (disk, _) = Disk::open(&folder.0, max_bytes, None, on_completion).expect("opening");
    assert!(disk.capacity() > record.len() as u64);
    let ticket = disk.append(vec![record.clone()]);
    assert_eq!(wait_for(&receiver, ticket), 0);
    drop(disk);
    let (_, recovered) = Disk::open(&folder.0, max_bytes, None, Box::new(|_| {})).expect("opening again");
    assert!(recovered.records == vec![record]);
}

#[test]
fn the_ring_stays_within_its_size_limit_and_reuses_files() {
    let folder = TemporaryFolder::new("bounded");
    let (disk, _, receiver) = folder.open(None);
    for round in 0..200_u8 {
        let ticket = disk.append(vec![vec![round; 100_000]; 4]);
        wait_for(&receiver, ticket);
        if disk.bytes_since_checkpoint() > disk.capacity() / 2 {
            let ticket = disk.checkpoint(vec![vec![round; 200_000]]);
            wait_for(&receiver, ticket);
        }
    }
    let files = fs::read_dir(&folder.0).expect("the folder");
    let total: u64 = files.map(|entry| entry.expect("a file").metadata().expect("its length").len()).sum();
    assert!(total <= MAX_BYTES, "{total}");
}

#[test]
fn a_full_ring_rejects_writes_until_a_checkpoint() {
    let folder = TemporaryFolder::new("full");
    let (disk, _, receiver) = folder.open(None);
    let over_capacity_bytes = disk.capacity() + 1;
    disk.append(vec![vec![1; over_capacity_bytes as usize]]);
    let failure = receiver.recv_timeout(TIMEOUT).expect("a completion");
    assert!(matches!(failure, Completion::WriteFailed(_)), "{failure:?}");
    let ticket = disk.checkpoint(vec![vec![2]]);
    wait_for(&receiver, ticket);
    drop(disk);
    assert_eq!(folder.open(None).1.records, vec![vec![2]]);
}

#[test]
fn failed_writes_are_retried_without_loss() {
    let simulated_disk = SimulatedDisk::new(3);
    let (sender, receiver) = channel();
    let on_completion = Box::new(move |completion| sender.send(completion).unwrap_or(()));
    let options = Options::new(MAX_BYTES, 5);
    let (disk, _) = Disk::open_storage(simulated_disk.clone(), options, on_completion).expect("opening");
    simulated_disk.set_faults(Faults { write_errors: 1, sync_errors: 1 });
    disk.append(vec![vec![1]]);
    assert!(matches!(receiver.recv_timeout(TIMEOUT), Ok(Completion::WriteFailed(_))));
    let ticket = disk.append(vec![vec![2]]);
    simulated_disk.set_faults(Faults::default());
    wait_for(&receiver, ticket);
    drop(disk);
    simulated_disk.restore_power();
    let (_, recovered) =
        Disk::open_storage(simulated_disk, options, Box::new(|_| {})).expect("opening again");
    assert_eq!(recovered.records, vec![vec![1], vec![2]]);
}

#[test]
fn queued_records_share_a_sync() {
    let simulated_disk = SimulatedDisk::new(4);
    let (sender, receiver) = channel();
    let on_completion = Box::new(move |completion| sender.send(completion).unwrap_or(()));
    let options = Options::new(MAX_BYTES, 5);
    let (disk, _) = Disk::open_storage(simulated_disk.clone(), options, on_completion).expect("opening");
    simulated_disk.set_faults(Faults { write_errors: 1, sync_errors: 0 });
    disk.append(vec![vec![0]]);
    assert!(matches!(receiver.recv_timeout(TIMEOUT), Ok(Completion::WriteFailed(_))));
    let tickets: Vec<u64> = (1..100).map(|number| disk.append(vec![vec![number]])).collect();
    let before = simulated_disk.syncs();
    simulated_disk.set_faults(Faults::default());
    wait_for(&receiver, tickets[98]);
    // At most one sync for the retry in progress, one for all queued records, and those of a new file.
    let syncs = simulated_disk.syncs() - before;
    assert!(syncs <= 6, "{syncs}");
}

#[test]
fn opening_needs_few_syncs() {
    let simulated_disk = SimulatedDisk::new(6);
    let options = Options::new(MAX_BYTES, 5);
    let mut syncs = Vec::new();
    for _ in 0..4 {
        let before = simulated_disk.syncs();
        Disk::open_storage(simulated_disk.clone(), options, Box::new(|_| {})).expect("opening");
        syncs.push(simulated_disk.syncs() - before);
    }
    println!("{syncs:?}");
    assert!(syncs.iter().all(|count| *count <= 6), "{syncs:?}");
}
