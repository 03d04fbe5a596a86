//! Compares files on disk, the results of simulated schedules and error messages with approved ones.

use crate::common::checked::{CheckedJournal, Schedule};
use crate::common::simulated_disk::Faults;
use pebblepost_ring::{
    Disk,
    error::{RingError, Step},
    journal::{Journal, Options},
    storage::FileStorage,
};
use std::{
    error::Error,
    fmt::Write,
    fs, io,
    path::{Path, PathBuf},
};

const SEGMENT_BYTES: u32 = 1024;
const MAX_BYTES: u64 = 16 * 1024;

/// A temporary folder, removed when dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("pebblepost-ring-pin-{name}-{}", std::process::id()));
        fs::remove_dir_all(&path).ok();
        fs::create_dir_all(&path).expect("a folder");
        TemporaryFolder(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

fn approved_ring_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved/ring")
}

fn options() -> Options {
    Options { segment_bytes: Some(SEGMENT_BYTES), ..Options::new(MAX_BYTES, 0x0102_0304_0506_0708) }
}

fn read_files(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("a file"));
    let mut files: Vec<(String, Vec<u8>)> = entries
        .map(|entry| {
            (entry.file_name().into_string().expect("a name"), fs::read(entry.path()).expect("bytes"))
        })
        .collect();
    files.sort();
    files
}

/// Writes records that are split over segments, a checkpoint and records after it, reopens the ring and
/// appends once more.
fn write_ring(folder: &Path) {
    let storage = FileStorage::open(folder).expect("a folder");
    let (mut journal, _) = Journal::open(storage, options()).expect("opening");
    journal.append(&[vec![1; 300], vec![2; 900], Vec::new()]).expect("appending");
    journal.preallocate().expect("a segment");
    journal.checkpoint(&[vec![3; 100], vec![4; 700]]).expect("a checkpoint");
    journal.append(&[vec![5; 20]]).expect("appending");
    drop(journal);
    let storage = FileStorage::open(folder).expect("a folder");
    let (mut journal, _) = Journal::open(storage, options()).expect("opening again");
    journal.append(&[vec![6; 1200]]).expect("appending");
}

fn expected_records() -> Vec<Vec<u8>> {
    vec![vec![3; 100], vec![4; 700], vec![5; 20], vec![6; 1200]]
}

#[test]
fn a_ring_is_written_with_the_approved_bytes() {
    let folder = TemporaryFolder::new("written");
    write_ring(folder.path());
    let (written, approved) = (read_files(folder.path()), read_files(&approved_ring_folder()));
    assert_eq!(written.len(), approved.len());
    for ((name, bytes), (approved_name, approved_bytes)) in written.iter().zip(&approved) {
        assert_eq!(name, approved_name);
        assert!(bytes == approved_bytes, "{name} differs");
    }
}

#[test]
fn a_ring_of_an_earlier_version_is_recovered() {
    let folder = TemporaryFolder::new("read");
    for (name, bytes) in read_files(&approved_ring_folder()) {
        fs::write(folder.path().join(name), bytes).expect("a copy");
    }
    let storage = FileStorage::open(folder.path()).expect("a folder");
    let (journal, recovered) = Journal::open(storage, options()).expect("opening");
    assert_eq!((recovered.identity, recovered.is_new), (0x0102_0304_0506_0708, false));
    assert!(recovered.records == expected_records());
    assert_eq!((journal.journal_bytes(), journal.capacity()), (1280, 4042));
}

#[test]
fn seeded_schedules_leave_the_approved_disk_digests() {
    let mut text = String::new();
    let fault_rates = [(0, 0), (5, 0), (0, 4), (10, 8)];
    for (write_errors, sync_errors) in fault_rates {
        for seed in 0..6 {
            let faults = Faults { write_errors, sync_errors };
            let mut checked =
                CheckedJournal::new(Schedule { seed, steps: 200, faults, ..Schedule::default() });
            checked.run().expect("nothing lost");
            let digest = checked.disk.digest();
            writeln!(text, "{write_errors} {sync_errors} {seed}: {digest:016x}").expect("a string takes it");
        }
    }
    assert_eq!(text, include_str!("../approved/schedules.txt"));
}

/// Formats an error with all its causes, as programs print it.
fn format_with_causes(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        write!(text, ": {error}").expect("a string takes it");
        cause = error.source();
    }
    text
}

fn opening_error(folder: &Path, max_bytes: u64) -> String {
    let error = Disk::open(folder, max_bytes, None, Box::new(|_| {})).expect_err("an error");
    format_with_causes(&error).replace(&folder.display().to_string(), "FOLDER")
}

#[test]
fn error_messages_match_the_approved_texts() {
    let mut text = String::new();
    let steps = [Step::Recovery, Step::Formatting, Step::Preparing, Step::Writing, Step::Syncing];
    for step in steps {
        let error = RingError::storage(step)(io::Error::other("cause"));
        writeln!(text, "{error}").expect("a string takes it");
    }
    for error in [
        RingError::Full { needed: 10, available: 3 },
        RingError::Damaged,
        RingError::TooSmall { max_bytes: 9 },
    ] {
        writeln!(text, "{error}").expect("a string takes it");
    }
    let folder = TemporaryFolder::new("errors");
    writeln!(text, "{}", opening_error(folder.path(), 1)).expect("a string takes it");
    fs::write(folder.path().join("identity"), [0; 24]).expect("a file");
    writeln!(text, "{}", opening_error(folder.path(), 1 << 24)).expect("a string takes it");
    let file = folder.path().join("file");
    fs::write(&file, []).expect("a file");
    writeln!(text, "{}", opening_error(&file, 1 << 24)).expect("a string takes it");
    assert_eq!(text, include_str!("../approved/errors.txt"));
}
