//! The bytes of messages and records, and the outputs of whole simulated runs, match the approved ones.
//!
//! Programs of different versions exchange messages and read each other's disks, so renaming an item
//! must not change any of these bytes.

use crate::group::{Group, member, record};
use crate::simulation::transcript::{Transcript, Variant};
use crate::simulation::{Options, Plan};
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::WitnessState;
use pebblepost_replication::replica::{DiskRecord, ReplicaOutput};
use std::collections::BTreeMap;
use std::fmt::Write;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("hex");
    digits.chunks(2).map(byte).collect()
}

fn full_member(disk: u64) -> Member {
    Member {
        disk: DiskId(disk),
        node: format!("node-{disk}"),
        address: format!("10.0.0.{disk}:7400"),
        zone: "zone-a".to_owned(),
        region: "region-b".to_owned(),
    }
}

fn full_record() -> EpochRecord {
    EpochRecord {
        epoch: 7,
        primary: DiskId(1),
        in_sync: vec![full_member(1), full_member(2)],
        witnesses: vec![full_member(1), full_member(2), full_member(3)],
        former_witnesses: vec![full_member(4)],
    }
}

/// Returns the state of a witness that has promised counter 9 and accepted a record under counter 8,
/// with the proposal numbers decoded from bytes.
fn full_witness_state() -> WitnessState {
    let mut state = WitnessState { accepted: Some(full_record()), ..WitnessState::default() };
    let numbers = [9, 0x0102_0304_0506_0708, 8, 2_u64];
    let bytes: Vec<u8> = numbers.iter().flat_map(|number| number.to_le_bytes()).collect();
    let (promised, accepted) = bytes.split_at(16);
    state.promised = DeBin::deserialize_bin(promised).expect("a proposal number");
    state.accepted_number = DeBin::deserialize_bin(accepted).expect("a proposal number");
    state
}

fn assert_pinned<T: SerBin + DeBin + PartialEq + std::fmt::Debug>(name: &str, value: &T, approved: &str) {
    let line = approved.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let line = line.unwrap_or_else(|| panic!("no approved bytes: {name} {}", hex(&value.serialize_bin())));
    assert_eq!(hex(&value.serialize_bin()), line, "{name}: written");
    assert_eq!(&T::deserialize_bin(&unhex(line)).expect("readable"), value, "{name}: read");
}

#[test]
fn stored_formats_are_unchanged() {
    let approved = include_str!("../approved/stored_forms.txt");
    assert_pinned("epoch-record", &full_record(), approved);
    assert_pinned("witness-state", &full_witness_state(), approved);
    assert_pinned("witness-state-empty", &WitnessState::default(), approved);
    let entry = DiskRecord::Entry { index: 3, epoch: 2, entry: vec![1, 2, 255].into() };
    assert_pinned("disk-entry", &entry, approved);
    let snapshot = DiskRecord::Snapshot { index: 5, epoch: 4, state: vec![9, 8, 7] };
    assert_pinned("disk-snapshot", &snapshot, approved);
    assert_pinned("disk-epoch", &DiskRecord::Epoch(full_record()), approved);
    assert_pinned("disk-acted", &DiskRecord::Acted { epoch: 6 }, approved);
}

fn messages_with_tag(outputs: Vec<ReplicaOutput>, tag: u8) -> Vec<Vec<u8>> {
    let sent = outputs.into_iter().filter_map(|output| match output {
        ReplicaOutput::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.filter(|message| message.starts_with(&[tag, 0])).collect()
}

#[test]
fn encoding_of_removal_requests_is_unchanged() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    let now = group.now;
    group.replica(3).request_removal(now);
    let requests = messages_with_tag(group.replica(3).take_outputs(), 14);
    assert_eq!(
        requests.iter().map(|message| hex(message)).collect::<Vec<_>>(),
        ["0e0001000000000000000100000000000000"]
    );
    group.replica(1).receive(now, &member(3), &requests[0]);
    let grants = messages_with_tag(group.replica(1).take_outputs(), 15);
    assert_eq!(
        grants.iter().map(|message| hex(message)).collect::<Vec<_>>(),
        ["0f0001000000000000000100000000000000"]
    );
}

const PLANS: [Plan; 6] =
    [Plan::Random, Plan::Tolerated, Plan::Targets, Plan::Transitions, Plan::SecondLoss, Plan::StaleMinority];

fn run(machines: usize, tolerance: usize, plan: Plan, seed: u64) -> Transcript {
    let mut world = crate::simulation::world::World::new(Options::new(machines, tolerance, plan), seed);
    world.transcript = Some(Transcript::default());
    assert!(world.run().is_ok());
    world.transcript.take().expect("a transcript")
}

#[test]
fn outputs_of_seeded_runs_are_unchanged() {
    let mut text = String::new();
    let mut variants: BTreeMap<(&str, u16), Variant> = BTreeMap::new();
    for (machines, tolerance, seeds) in [(3, 1, 0..4), (5, 2, 0..2)] {
        for (number, plan) in PLANS.into_iter().enumerate() {
            for seed in seeds.clone() {
                let transcript = run(machines, tolerance, plan, seed);
                let (outputs, digest) = (transcript.outputs, transcript.digest.finish());
                writeln!(text, "run {machines} {tolerance} {number} {seed}: {outputs} {digest:016x}")
                    .expect("a string takes it");
                for (key, variant) in transcript.variants {
                    let total = variants.entry(key).or_default();
                    total.count += variant.count;
                    total.digest.number(variant.digest.finish());
                }
            }
        }
    }
    for ((kind, tag), Variant { count, digest }) in variants {
        let digest = digest.finish();
        writeln!(text, "{kind} {tag}: {count} {digest:016x}").expect("a string takes it");
    }
    assert_eq!(text, include_str!("../approved/runs.txt"));
}
