//! Changes of the witness set, the record derived at bootstrap, and the initial assignment of groups.

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

/// Returns the status of a peer whose last message arrived this many milliseconds ago.
fn peer_status(disk: u64, last_message_age_ms: u64) -> PeerStatus {
    PeerStatus { member: member(disk), last_message_age: Duration::from_millis(last_message_age_ms) }
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
    let known = [peer_status(1, 0), peer_status(2, 100), peer_status(3, 1400), peer_status(4, 0)];
    assert_eq!(next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout), None);
}

#[rstest]
fn failed_witness_is_replaced_in_two_steps() {
    let known = [peer_status(1, 0), peer_status(2, 100), peer_status(3, 1600), peer_status(4, 0)];
    let first =
        next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout).expect("a change");
    assert_eq!((first.epoch, disks(&first.witnesses)), (6, vec![1, 2, 4]));
    assert_eq!(disks(&first.former_witnesses), [1, 2, 3]);
    assert!(record(&[1, 2, 3]).may_be_followed_by(&first));
    let second = next_witness_change(&first, &known, 3, FailureEvidence::Timeout)
        .expect("the change that completes the replacement");
    assert_eq!((second.epoch, disks(&second.witnesses)), (7, vec![1, 2, 4]));
    assert!(second.former_witnesses.is_empty());
    assert!(first.may_be_followed_by(&second));
}

#[rstest]
fn witness_is_not_replaced_without_a_live_candidate() {
    let known = [peer_status(1, 0), peer_status(2, 100), peer_status(3, 1600), peer_status(4, 1600)];
    assert_eq!(next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout), None);
}

#[rstest]
fn witness_is_replaced_at_once_when_its_address_reports_another_disk() {
    let mut replacement = peer_status(9, 0);
    replacement.member.address = member(3).address;
    let known = [peer_status(1, 0), peer_status(2, 100), peer_status(3, 300), replacement];
    let change =
        next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Timeout).expect("a change");
    assert_eq!(disks(&change.witnesses), [1, 2, 9]);
}

#[rstest]
fn new_primary_replaces_only_witnesses_whose_disk_was_replaced() {
    let mut replacement = peer_status(9, 0);
    replacement.member.address = member(3).address;
    let known = [peer_status(1, 0), peer_status(2, 9_000), replacement, peer_status(4, 0)];
    let change =
        next_witness_change(&record(&[1, 2, 3]), &known, 3, FailureEvidence::Replacement).expect("a change");
    assert_eq!(
        disks(&change.witnesses),
        [1, 2, 4],
        "a new primary has no evidence against witness 2, which may not have connected yet"
    );
    assert_eq!(next_witness_change(&record(&[1, 2, 4]), &known, 3, FailureEvidence::Replacement), None);
}

#[rstest]
fn witness_set_is_extended_to_its_target_size() {
    let known = [peer_status(1, 0), peer_status(2, 100), peer_status(3, 300)];
    let change =
        next_witness_change(&record(&[1, 2]), &known, 3, FailureEvidence::Timeout).expect("a change");
    assert_eq!(disks(&change.witnesses), [1, 2, 3]);
    assert_eq!(
        next_witness_change(&record(&[1, 2, 3]), &known, 5, FailureEvidence::Timeout),
        None,
        "no candidate is left"
    );
}

#[rstest]
fn bootstrap_record_does_not_depend_on_the_order_of_the_seeds() {
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
fn initial_assignment_is_balanced_and_spread_over_zones(
    #[case] machines: u64, #[case] tolerance: Tolerance, #[case] replication_factor: usize,
) {
    let usable: BTreeMap<DiskId, Member> = (1..=machines)
        .map(|disk| {
            let zone = format!("zone-{}", disk % 3);
            (DiskId(disk), Member { node: format!("s{disk}"), zone, ..member(disk) })
        })
        .collect();
    let assignments = placement::assign_all_groups(&usable, &tolerance);
    let mut replica_counts: BTreeMap<DiskId, usize> = usable.keys().map(|disk| (*disk, 0)).collect();
    for group in &assignments {
        assert_eq!(group.replicas.len(), replication_factor);
        assert!(group.replicas.contains(&group.primary));
        let zones: BTreeSet<&String> = group.replicas.iter().map(|disk| &usable[disk].zone).collect();
        assert_eq!(zones.len(), replication_factor.min(3), "replicas are spread over zones");
        for disk in &group.replicas {
            *replica_counts.get_mut(disk).unwrap() += 1;
        }
    }
    let (least, most) = (replica_counts.values().min().unwrap(), replica_counts.values().max().unwrap());
    assert!(most - least <= 2, "replicas by disk: {replica_counts:?}");
}
