//! Encodings of stored data and of peer messages: they equal the approved bytes, and the approved bytes can be decoded.

use crate::support::documents::{configuration, patch};
use nanoserde::{DeBin, SerBin};
use pebblepost_control::membership::{PeerMessage, PeerPayload};
use pebblepost_control::state::ControlState;
use pebblepost_control::state::command::{ChangeMethod, Command, ConfigurationChange, InitialAssignment};
use pebblepost_control::state::disk_record::{ControlRecord, RecoveredState};
use pebblepost_control::state::shutdowns::ShutdownPhase;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::{ProposalNumber, WitnessState};
use pebblepost_replication::replica::{DiskRecord, StateMachine};
use rstest::rstest;
use std::fmt::{Debug, Write};

const APPROVED: &str = include_str!("transcripts/stored_forms.txt");

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

fn member(number: u64, node: &str) -> Member {
    Member {
        disk: DiskId(number),
        node: node.into(),
        address: format!("10.0.0.{number}:7300"),
        zone: format!("zone-{number}"),
        region: "region".into(),
    }
}

fn epoch_record() -> EpochRecord {
    EpochRecord {
        epoch: 7,
        primary: DiskId(1),
        in_sync: vec![member(1, "a"), member(2, "b")],
        witnesses: vec![member(1, "a"), member(3, "c")],
        former_witnesses: vec![member(4, "d")],
    }
}

fn group_epoch(epoch: u64, primary: u64, in_sync: &[u64]) -> GroupEpoch {
    let in_sync = in_sync.iter().map(|disk| DiskId(*disk)).collect();
    GroupEpoch { epoch, primary: DiskId(primary), in_sync }
}

fn commands() -> Vec<(&'static str, Command)> {
    let replicas = vec![DiskId(1), DiskId(2)];
    let change =
        |base, method, body| Command::ChangeConfiguration(ConfigurationChange { base, method, body });
    let shutdown = |phase| Command::RecordShutdown { instance: "i-9".into(), phase };
    vec![
        ("entry: configuration, whole", change(0, ChangeMethod::Replace, configuration(3, 10))),
        ("entry: configuration, patch", change(3, ChangeMethod::Patch, patch(4, 11))),
        ("entry: version", Command::NameVersion { model: "m".into(), generation: 12 }),
        ("entry: store joined", Command::AddStore(member(1, "a"))),
        ("entry: store joined, second", Command::AddStore(member(2, "b"))),
        ("entry: store joined, third", Command::AddStore(member(3, "c"))),
        ("entry: store joined, fourth", Command::AddStore(member(4, "d"))),
        (
            "entry: first groups",
            Command::BootstrapGroups(vec![
                InitialAssignment { group: 0, primary: DiskId(1), replicas: replicas.clone() },
                InitialAssignment { group: 5, primary: DiskId(2), replicas },
            ]),
        ),
        (
            "entry: epoch of a group",
            Command::ChangeGroup {
                proposer: DiskId(1),
                group: 5,
                expected_epoch: 1,
                proposed: group_epoch(2, 2, &[2, 1, 3]),
            },
        ),
        ("entry: targets", Command::SetTargets { group: 5, targets: vec![DiskId(2), DiskId(3)] }),
        ("entry: store left", Command::RemoveStore(DiskId(4))),
        ("entry: retire", Command::Retire { node: "a".into(), min_remaining: 2 }),
        ("entry: retire completed", Command::CompleteRetirement { node: "a".into() }),
        ("entry: orders", Command::AcquireOrderLease { holder: DiskId(0xfeed) }),
        ("entry: draining", shutdown(ShutdownPhase::Draining)),
        ("entry: gone", shutdown(ShutdownPhase::Terminated)),
    ]
}

fn disk_records() -> Vec<(&'static str, ControlRecord)> {
    let witness = WitnessState {
        promised: ProposalNumber { counter: 9, proposer: DiskId(2) },
        accepted_number: ProposalNumber { counter: 8, proposer: DiskId(1) },
        accepted: Some(epoch_record()),
    };
    let entry = DiskRecord::Entry { index: 4, epoch: 7, entry: vec![1, 2, 3].into() };
    let snapshot = DiskRecord::Snapshot { index: 5, epoch: 7, state: vec![4, 5] };
    vec![
        ("disk: first record", ControlRecord::Bootstrap(epoch_record())),
        ("disk: witness", ControlRecord::Witness(witness)),
        ("disk: entry", ControlRecord::Replica(entry)),
        ("disk: snapshot", ControlRecord::Replica(snapshot)),
        ("disk: epoch", ControlRecord::Replica(DiskRecord::Epoch(epoch_record()))),
        ("disk: acted", ControlRecord::Replica(DiskRecord::Acted { epoch: 7 })),
    ]
}

fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    vec![
        ("peer: register", PeerMessage { to: DiskId(3), payload: PeerPayload::Register(vec![1, 2]) }),
        ("peer: replica", PeerMessage { to: DiskId(3), payload: PeerPayload::Replica(vec![3]) }),
    ]
}

/// Returns the state after all commands.
fn state() -> ControlState {
    let mut state = ControlState::default();
    for (index, (_, command)) in commands().iter().enumerate() {
        state.apply(index as u64 + 1, &command.encode());
    }
    assert!(!state.is_damaged());
    state
}

/// Returns the approved bytes with this name.
fn approved(name: &str) -> Vec<u8> {
    let line = APPROVED.lines().find_map(|line| line.strip_prefix(&format!("{name} = ")));
    decode_hex(line.unwrap_or_else(|| panic!("no approved bytes for {name}")))
}

/// Panics unless the approved bytes decode to these values.
fn assert_decodes<T: DeBin + PartialEq + Debug>(named: Vec<(&'static str, T)>) {
    for (name, value) in named {
        assert_eq!(T::deserialize_bin(&approved(name)).ok(), Some(value), "{name}");
    }
}

#[rstest]
fn stored_forms_are_written_byte_for_byte() {
    let mut transcript = String::new();
    let mut write = |name: &str, bytes: &[u8]| {
        writeln!(transcript, "{name} = {}", encode_hex(bytes)).expect("writing to a string");
    };
    commands().iter().for_each(|(name, command)| write(name, &command.encode()));
    disk_records().iter().for_each(|(name, record)| write(name, &record.encode()));
    peer_messages().iter().for_each(|(name, message)| write(name, &message.serialize_bin()));
    write("snapshot", &state().snapshot());
    write("snapshot of nothing", &ControlState::default().snapshot());
    assert_eq!(transcript.trim(), APPROVED.trim(), "\n--- got ---\n{transcript}\n-----------");
}

#[rstest]
fn approved_stored_forms_are_decoded() {
    assert_decodes(commands());
    assert_decodes(disk_records());
    assert_decodes(peer_messages());
    let encoded: Vec<Vec<u8>> = disk_records().iter().map(|(name, _)| approved(name)).collect();
    let recovered = RecoveredState::decode(&encoded).expect("the approved records can be decoded");
    assert_eq!(recovered.replica.len(), 4);
    assert_eq!(recovered.bootstrap, Some(epoch_record()));
}

#[rstest]
fn approved_snapshot_is_restored_and_written_again() {
    let bytes = approved("snapshot");
    let mut restored = ControlState::default();
    restored.restore(&bytes);
    assert!(!restored.is_damaged());
    assert_eq!(restored.snapshot(), bytes);
    assert_eq!(restored.generation(), 4);
    assert_eq!(restored.named_versions().get("m"), Some(&12));
    assert_eq!(restored.groups(), state().groups());
    assert_eq!(restored.stores(), state().stores());
    assert_eq!(restored.retirements(), state().retirements());
    assert_eq!(restored.order_lease_holder(), DiskId(0xfeed));
    assert_eq!(restored.shutdowns().phase("i-9"), Some(ShutdownPhase::Terminated));
    let first = ConfigurationChange { base: 0, method: ChangeMethod::Replace, body: configuration(3, 10) };
    assert_eq!(restored.accepted_generation(&first), Some(3));
}
