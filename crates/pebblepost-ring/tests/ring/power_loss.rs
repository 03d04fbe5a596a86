//! Recovery of exactly the durable records after power loss, process kills and disk faults, on a simulated disk.
//!
//! The `a_missing_*` tests leave out a safeguard and check that the schedules detect it.

use crate::common::{
    checked::{CheckedJournal, Schedule, Violation},
    simulated_disk::{Faults, Omissions},
};
use rstest::rstest;

fn no_checksum(_seed: u32, _parts: &[&[u8]]) -> u32 {
    0
}

/// Runs a schedule for each seed below `schedules` and returns the first violation with its seed.
fn first_violation(schedules: u64, schedule_for: impl Fn(u64) -> Schedule) -> Option<(u64, Violation)> {
    (0..schedules).find_map(|seed| {
        let violation = CheckedJournal::new(schedule_for(seed)).run().err();
        violation.map(|violation| (seed, violation))
    })
}

#[test]
fn formatting_survives_power_loss_at_every_operation() {
    for seed in 0..40 {
        for operations in 1..25 {
            let mut checked = CheckedJournal::new(Schedule { seed, ..Schedule::default() });
            checked.disk.lose_power_after(Some(operations));
            checked.open().expect("first opening");
            checked.disk.restore_power();
            checked.open().expect("second opening");
            checked.disk.restore_power();
            checked.open().expect("third opening");
        }
    }
}

#[test]
fn synced_records_survive_power_loss() {
    let violation = first_violation(2_000, |seed| Schedule { seed, steps: 120, ..Schedule::default() });
    assert_eq!(violation, None);
}

#[rstest]
#[case::writes(Faults { write_errors: 5, sync_errors: 0 })]
#[case::syncs(Faults { write_errors: 0, sync_errors: 4 })]
#[case::both(Faults { write_errors: 10, sync_errors: 8 })]
fn synced_records_survive_disk_faults(#[case] faults: Faults) {
    let violation =
        first_violation(1_500, |seed| Schedule { seed, steps: 120, faults, ..Schedule::default() });
    assert_eq!(violation, None);
}

#[test]
fn a_missing_folder_sync_is_detected() {
    let omissions = Omissions { folder_sync: true, data_sync: false };
    let violation =
        first_violation(300, |seed| Schedule { seed, steps: 120, omissions, ..Schedule::default() });
    assert!(violation.is_some());
}

#[test]
fn a_missing_data_sync_is_detected() {
    let omissions = Omissions { folder_sync: false, data_sync: true };
    let violation =
        first_violation(300, |seed| Schedule { seed, steps: 120, omissions, ..Schedule::default() });
    assert!(violation.is_some());
}

#[test]
fn a_missing_checksum_is_detected() {
    let checksum = Some(no_checksum as pebblepost_ring::format::Checksum);
    let violation =
        first_violation(300, |seed| Schedule { seed, steps: 120, checksum, ..Schedule::default() });
    assert!(violation.is_some());
}
