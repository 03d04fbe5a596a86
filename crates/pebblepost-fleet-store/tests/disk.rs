//! A replica's disk: what was acknowledged is read again, and a damaged file is refused by name.

use pebblepost_fleet_store::storage::{Disk, DiskError, FILE_NAME};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let n = FOLDERS.fetch_add(1, Ordering::Relaxed);
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
        disk.put("vote", vec![n; 50]).await.expect("room");
    }
    folder
}

#[tokio::test]
async fn reads_what_was_stored_under_the_disks_own_id() {
    let folder = filled_disk().await;
    let disk = Disk::open(&folder.0, "g", 1, 78).expect("intact");
    assert_eq!(disk.identity().disk, 77, "the id of the disk, not of this start");
    assert_eq!(disk.get::<Vec<u64>>("vote").expect("intact"), Some(vec![39; 50]));
    assert!(matches!(open(&folder), Err(DiskError::Io { .. })), "already open");
}

#[tokio::test]
async fn refuses_the_disk_of_another_replica_or_group() {
    let folder = filled_disk().await;
    for (group, id) in [("g", 2), ("h", 1)] {
        let error = Disk::open(&folder.0, group, id, 77).expect_err("another's");
        assert!(matches!(error, DiskError::WrongReplica { .. }));
        assert!(error.to_string().contains("belongs to keeper 1 of group \"g\""), "{error}");
    }
}

#[tokio::test]
async fn refuses_a_truncated_file_by_name() {
    let intact = filled_disk().await;
    let bytes = std::fs::read(intact.file()).expect("it is there");
    for cut in [1, 500, bytes.len() / 2, bytes.len() - 4_096] {
        let folder = Folder::new();
        std::fs::create_dir_all(&folder.0).expect("room");
        std::fs::write(folder.file(), &bytes[..cut]).expect("room");
        let error = open(&folder).expect_err("cut");
        assert!(matches!(error, DiskError::Damaged { .. }), "cut at {cut}: {error}");
        assert!(error.to_string().contains(FILE_NAME), "{error}");
    }
    let folder = Folder::new();
    std::fs::create_dir_all(&folder.0).expect("room");
    std::fs::write(folder.file(), b"").expect("room");
    assert!(open(&folder).is_ok(), "the set-up was cut short: nothing was ever acknowledged from it");
}

/// For any single bit either the file is refused, or it reads as it was written (the bit is in a part that is
/// not in use).
#[tokio::test]
async fn a_flipped_bit_is_found_or_has_no_effect() {
    let intact = filled_disk().await;
    let bytes = std::fs::read(intact.file()).expect("it is there");
    let used: Vec<usize> = (0..bytes.len()).filter(|i| bytes[*i] != 0).collect();
    let (mut refused, folder) = (0, Folder::new());
    std::fs::create_dir_all(&folder.0).expect("room");
    // Spread over all that is not empty.
    let tried: Vec<usize> = used.iter().step_by(used.len() / 300 + 1).copied().collect();
    for at in &tried {
        std::fs::write(folder.file(), &bytes).expect("room");
        let file = std::fs::File::options().write(true).open(folder.file()).expect("it is there");
        file.write_all_at(&[bytes[*at] ^ 0x10], *at as u64).expect("room");
        drop(file);
        match open(&folder) {
            Ok(disk) => {
                let stored = disk.get::<Vec<u64>>("vote").expect("checked at the start");
                assert_eq!(stored, Some(vec![39; 50]), "a flipped bit at {at} was served");
                assert_eq!(disk.identity().disk, 77, "a flipped bit at {at} was served");
            }
            Err(error) => {
                refused += 1;
                assert!(error.to_string().contains(FILE_NAME), "{error}");
            }
        }
    }
    assert!(refused > tried.len() / 20, "{refused} of {}", tried.len());
}
