//! Tests of a replica's disk. Acknowledged writes are read back, and a damaged file is rejected with an error
//! that names it.

use pebblepost_fleet_store::storage::{Disk, DiskError, FILE_NAME};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

/// A temporary directory that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let n = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
        Self(std::env::temp_dir().join(format!("pebblepost-disk-{}-{n}", std::process::id())))
    }

    fn file(&self) -> PathBuf {
        self.0.join(FILE_NAME)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Folder) -> Result<Disk, DiskError> {
    Disk::open(&folder.0, "g", 1, 77)
}

async fn filled_disk() -> Folder {
    let folder = Folder::new();
    let disk = open(&folder).expect("a new disk");
    for n in 0..40_u64 {
        disk.put("vote", vec![n; 50]).await.expect("writable");
    }
    folder
}

#[tokio::test]
async fn reads_back_stored_values_and_keeps_the_disk_id() {
    let folder = filled_disk().await;
    let disk = Disk::open(&folder.0, "g", 1, 78).expect("intact");
    assert_eq!(disk.identity().disk, 77, "the id from the initialization of the disk, not the one given now");
    assert_eq!(disk.get::<Vec<u64>>("vote").expect("intact"), Some(vec![39; 50]));
    assert!(matches!(open(&folder), Err(DiskError::Io { .. })), "already open");
}

#[tokio::test]
async fn rejects_the_disk_of_another_replica_or_group() {
    let folder = filled_disk().await;
    for (group, id) in [("g", 2), ("h", 1)] {
        let error = Disk::open(&folder.0, group, id, 77).expect_err("belongs to another replica");
        assert!(matches!(error, DiskError::WrongReplica { .. }));
        assert!(error.to_string().contains("belongs to keeper 1 of group \"g\""), "{error}");
    }
}

#[tokio::test]
async fn rejects_a_truncated_file_and_names_it() {
    let intact = filled_disk().await;
    let bytes = std::fs::read(intact.file()).expect("the file exists");
    for cut in [1, 500, bytes.len() / 2, bytes.len() - 4_096] {
        let folder = Folder::new();
        std::fs::create_dir_all(&folder.0).expect("writable");
        std::fs::write(folder.file(), &bytes[..cut]).expect("writable");
        let error = open(&folder).expect_err("the file is truncated");
        assert!(matches!(error, DiskError::Damaged { .. }), "cut at {cut}: {error}");
        assert!(error.to_string().contains(FILE_NAME), "{error}");
    }
    let folder = Folder::new();
    std::fs::create_dir_all(&folder.0).expect("writable");
    std::fs::write(folder.file(), b"").expect("writable");
    assert!(
        open(&folder).is_ok(),
        "an empty file is left by an interrupted initialization and is initialized again"
    );
}

/// Guards against a damaged disk that is used. After any single bit is flipped, the file is either rejected
/// or still reads as it was written, if the bit is in an unused part.
#[tokio::test]
async fn a_flipped_bit_is_detected_or_has_no_effect() {
    let intact = filled_disk().await;
    let bytes = std::fs::read(intact.file()).expect("the file exists");
    let used: Vec<usize> = (0..bytes.len()).filter(|i| bytes[*i] != 0).collect();
    let (mut rejected, folder) = (0, Folder::new());
    std::fs::create_dir_all(&folder.0).expect("writable");
    // About 300 positions, spread over all bytes that are not 0.
    let tried_positions: Vec<usize> = used.iter().step_by(used.len() / 300 + 1).copied().collect();
    for at in &tried_positions {
        std::fs::write(folder.file(), &bytes).expect("writable");
        let file = std::fs::File::options().write(true).open(folder.file()).expect("the file exists");
        file.write_all_at(&[bytes[*at] ^ 0x10], *at as u64).expect("writable");
        drop(file);
        match open(&folder) {
            Ok(disk) => {
                let stored = disk.get::<Vec<u64>>("vote").expect("the file was checked when it was opened");
                assert_eq!(stored, Some(vec![39; 50]), "a flipped bit at {at} was not detected");
                assert_eq!(disk.identity().disk, 77, "a flipped bit at {at} was not detected");
            }
            Err(error) => {
                rejected += 1;
                assert!(error.to_string().contains(FILE_NAME), "{error}");
            }
        }
    }
    assert!(
        rejected > tried_positions.len() / 20,
        "{rejected} of {} flipped bits detected",
        tried_positions.len()
    );
}
