//! Witness sets, bootstrap identities and the first assignment of groups.

use pebblepost_control::membership::bootstrap::{bootstrap_disk, bootstrap_record};
use pebblepost_control::membership::{
    PeerStatus,
    witnesses::{FailureEvidence, next_witness_change},
};
use pebblepost_control::storage::placement;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::{EpochRecord, Tolerance};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

fn member(disk: u64) -> Member {
    Member { disk: DiskId(disk), address: format!("10.0.0.{disk}:7300"), ..Member::default() }
}

fn standing(disk: u64, silence_ms: u64) -> PeerStatus {
    PeerStatus { member: member(disk), last_message_age: Duration::from_millis(silence_ms) }
}

fn record(witnesses: &[u64]) -> EpochRecord {
    EpochRecord {
        epoch: 5,
        primary: DiskId(1),
        in_sync: vec![member(1), member(2)],
        witnesses: witnesses.iter().map(|disk| member(*disk)).collect(),
        former_witnesses: Vec::new(),
    }
}

fn disks(members: &[Member]) -> Vec<u64> {
    members.iter().map(|member| member.disk.0).collect()
}

#[rstest]
fn witnesses_stay_while_all_are_live() {
    let known = [standing(1, 0), standing(2, 100), standing(3, 1400), standing(4, 0)];
    assert_eq!(next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout), None);
}

#[rstest]
fn failed_witness_is_replaced_in_two_steps() {
    let known = [standing(1, 0), standing(2, 100), standing(3, 1600), standing(4, 0)];
    let first =
        next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout).expect("a change");
    assert_eq!((first.epoch, disks(&first.witnesses)), (6, vec![1, 2, 4]));
    assert_eq!(disks(&first.former_witnesses), [1, 2, 3]);
    assert!(record(&[1, 2, 3]).may_be_followed_by(&first));
    let second = next_witness_change(&first, &known, 3, FailureEvidence::Timeout).expect("its completion");
    assert_eq!((second.epoch, disks(&second.witnesses)), (7, vec![1, 2, 4]));
    assert!(second.former_witnesses.is_empty());
    assert!(first.may_be_followed_by(&second));
}

#[rstest]
fn witness_is_not_replaced_without_a_live_candidate() {
    let known = [standing(1, 0), standing(2, 100), standing(3, 1600), standing(4, 1600)];
    assert_eq!(next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout), None);
}

#[rstest]
fn another_disk_at_the_address_replaces_a_witness_at_once() {
    let mut fresh = standing(9, 0);
    fresh.member.address = member(3).address;
    let known = [standing(1, 0), standing(2, 100), standing(3, 300), fresh];
    let change =
        next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout).expect("a change");
    assert_eq!(disks(&change.witnesses), [1, 2, 9]);
}

#[rstest]
fn new_primary_replaces_only_witnesses_whose_disk_was_replaced() {
    let mut fresh = standing(9, 0);
    fresh.member.address = member(3).address;
    let known = [standing(1, 0), standing(2, 9_000), fresh, standing(4, 0)];
    let change =
        next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Replacement).expect("a change");
    assert_eq!(disks(&change.witnesses), [1, 2, 4], "2 may not have found this primary yet");
    assert_eq!(next_witness_change(&record(&[1, 2, 4]), &known, 3, FailureEvidence::Replacement), None);
}

#[rstest]
fn witness_set_is_extended_to_its_size() {
    let known = [standing(1, 0), standing(2, 100), standing(3, 300)];
    let change =
        next_witness_change(&record(&[1, 2]), &known, 3, FailureEvidence::Timeout).expect("a change");
    assert_eq!(disks(&change.witnesses), [1, 2, 3]);
    assert_eq!(
        next_witness_change(&record(&[1, 2, 3]), &known, 5, FailureEvidence::Timeout),
        None,
        "nobody is left to add"
    );
}

#[rstest]
fn all_seeds_derive_the_same_record() {
    let seeds: Vec<SocketAddr> = ["10.1.0.14:8262", "10.2.0.17:8262", "10.3.0.21:8262"]
        .iter()
        .map(|seed| seed.parse().unwrap())
        .collect();
    let mut shuffled = seeds.clone();
    shuffled.reverse();
    let record = bootstrap_record(&seeds, 7300);
    assert_eq!(record, bootstrap_record(&shuffled, 7300));
    assert_eq!(record.witnesses.len(), 3);
    assert!(
        record.witnesses.iter().any(|witness| {
            witness.disk == bootstrap_disk(seeds[0]) && witness.address == "10.1.0.14:7300"
        })
    );
}

#[rstest]
#[case(3, Tolerance { machines: 1, zones: 0, regions: 0 }, 2)]
#[case(5, Tolerance { machines: 1, zones: 0, regions: 0 }, 2)]
#[case(6, Tolerance { machines: 2, zones: 1, regions: 0 }, 3)]
#[case(9, Tolerance { machines: 1, zones: 2, regions: 0 }, 3)]
fn first_assignment_is_spread_and_even(
    #[case] machines: u64, #[case] tolerance: Tolerance, #[case] replication_factor: usize,
) {
    let usable: BTreeMap<DiskId, Member> = (1..=machines)
        .map(|disk| {
            let zone = format!("zone-{}", disk % 3);
            (DiskId(disk), Member { node: format!("s{disk}"), zone, ..member(disk) })
        })
        .collect();
    let assignments = placement::assign_all_groups(&usable, &tolerance);
    let mut load: BTreeMap<DiskId, usize> = usable.keys().map(|disk| (*disk, 0)).collect();
    for group in &assignments {
        assert_eq!(group.replicas.len(), replication_factor);
        assert!(group.replicas.contains(&group.primary));
        let zones: BTreeSet<&String> = group.replicas.iter().map(|disk| &usable[disk].zone).collect();
        assert_eq!(zones.len(), replication_factor.min(3), "spread over zones");
        for disk in &group.replicas {
            *load.get_mut(disk).unwrap() += 1;
        }
    }
    let (least, most) = (load.values().min().unwrap(), load.values().max().unwrap());
    assert!(most - least <= 2, "{load:?}");
}
