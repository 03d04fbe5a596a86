//! Files on disk, whole simulated runs and the texts of errors are those that were approved.

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

/// A folder that is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("pebblepost-ring-pin-{name}-{}", std::process::id()));
        fs::remove_dir_all(&path).ok();
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved/ring")
}

fn options() -> Options {
    Options { segment_bytes: Some(SEGMENT_BYTES), ..Options::new(MAX_BYTES, 0x0102_0304_0506_0708) }
}

fn files(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("a file"));
    let mut files: Vec<(String, Vec<u8>)> = entries
        .map(|entry| {
            (entry.file_name().into_string().expect("a name"), fs::read(entry.path()).expect("bytes"))
        })
        .collect();
    files.sort();
    files
}

/// Records split over segments, a checkpoint, records after it, and a second opening.
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

fn written_records() -> Vec<Vec<u8>> {
    vec![vec![3; 100], vec![4; 700], vec![5; 20], vec![6; 1200]]
}

#[test]
fn a_ring_is_written_with_the_same_bytes() {
    let folder = Folder::new("written");
    write_ring(folder.path());
    let (written, approved) = (files(folder.path()), files(&fixture()));
    assert_eq!(written.len(), approved.len());
    for ((name, bytes), (approved_name, approved_bytes)) in written.iter().zip(&approved) {
        assert_eq!(name, approved_name);
        assert!(bytes == approved_bytes, "{name} differs");
    }
}

#[test]
fn a_ring_of_an_earlier_version_is_read() {
    let folder = Folder::new("read");
    for (name, bytes) in files(&fixture()) {
        fs::write(folder.path().join(name), bytes).expect("a copy");
    }
    let storage = FileStorage::open(folder.path()).expect("a folder");
    let (journal, recovered) = Journal::open(storage, options()).expect("opening");
    assert_eq!((recovered.identity, recovered.is_new), (0x0102_0304_0506_0708, false));
    assert!(recovered.records == written_records());
    assert_eq!((journal.journal_bytes(), journal.capacity()), (1280, 4042));
}

#[test]
fn seeded_schedules_leave_the_same_disk() {
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

/// An error with all its causes, as programs print it.
fn with_causes(error: &(dyn Error + 'static)) -> String {
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
    with_causes(&error).replace(&folder.display().to_string(), "FOLDER")
}

#[test]
fn errors_read_as_before() {
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
    let folder = Folder::new("errors");
    writeln!(text, "{}", opening_error(folder.path(), 1)).expect("a string takes it");
    fs::write(folder.path().join("identity"), [0; 24]).expect("a file");
    writeln!(text, "{}", opening_error(folder.path(), 1 << 24)).expect("a string takes it");
    let file = folder.path().join("file");
    fs::write(&file, []).expect("a file");
    writeln!(text, "{}", opening_error(&file, 1 << 24)).expect("a string takes it");
    assert_eq!(text, include_str!("../approved/errors.txt"));
}
