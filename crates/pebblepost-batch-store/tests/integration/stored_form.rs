//! Encoding of records on disk: records of earlier versions are read, and the same bytes are written. The status of
//! a store that resumes from them is compared with an approved text.

use crate::approval::{approve, approved};
use nanoserde::{DeBin, SerBin};
use pebblepost_batch::admission::MemoryBudget;
use pebblepost_batch::command::{Change, Command};
use pebblepost_batch::state::{BatchState, Retention};
use pebblepost_batch_store::store::{GroupRecord, LinkId, Store, StoreOutput, StoreSettings};
use pebblepost_messages::batch::{FromStore, Item, Job, ToStore};
use pebblepost_messages::control::ToControl;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::{EpochRecord, Tolerance};
use pebblepost_replication::replica::{DiskRecord, ReplicaSettings, StateMachine};
use rstest::rstest;
use std::time::Duration;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |start: usize| u8::from_str_radix(&text[start..start + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

fn member(number: u64) -> Member {
    Member {
        disk: DiskId(number),
        node: format!("store-{number}"),
        address: format!("10.0.0.{number}:7301"),
        zone: "zone \"a\"".to_owned(),
        region: "region".to_owned(),
    }
}

fn epoch_record() -> EpochRecord {
    EpochRecord {
        epoch: 1,
        primary: DiskId(1),
        in_sync: vec![member(1)],
        witnesses: Vec::new(),
        former_witnesses: Vec::new(),
    }
}

fn encoded_entry() -> Vec<u8> {
    let items = vec![Item { id: "i".to_owned(), body: vec![1, 2, 3], ..Item::default() }];
    let job = Job { id: "job-c".to_owned(), items, ..Job::default() };
    Command { now_ms: 1_000, change: Change::AddJob(job) }.encode()
}

/// Returns one record of each kind, in an order in which a disk may hold them.
fn records() -> Vec<(&'static str, GroupRecord)> {
    let record = |record: DiskRecord| GroupRecord { group: 6, record: Some(record) };
    vec![
        ("void", GroupRecord { group: 7, record: None }),
        (
            "snapshot",
            record(DiskRecord::Snapshot { index: 4, epoch: 1, state: BatchState::default().snapshot() }),
        ),
        ("epoch", record(DiskRecord::Epoch(epoch_record()))),
        ("acted", record(DiskRecord::Acted { epoch: 1 })),
        ("entry", record(DiskRecord::Entry { index: 5, epoch: 1, entry: encoded_entry().into() })),
    ]
}

fn settings() -> StoreSettings {
    let millis = Duration::from_millis;
    StoreSettings {
        member: member(1),
        bootstrap: false,
        replica: ReplicaSettings {
            tolerance: Tolerance { machines: 0, zones: 0, regions: 0 },
            heartbeat_interval: millis(200),
            lease: millis(900),
            election_timeout: millis(1_100),
            max_replica_lag: millis(600),
            write_timeout: millis(600),
            max_log_bytes: 20_000,
        },
        retention: Retention { ended: Duration::from_secs(130), open: Duration::from_secs(720) },
        budget: MemoryBudget::new(1_000_000, u64::MAX),
    }
}

#[rstest]
fn records_encode_to_the_approved_bytes() {
    let lines =
        records().into_iter().map(|(name, record)| format!("{name} {}", to_hex(&record.serialize_bin())));
    approve("approved/records.txt", &lines.collect::<Vec<_>>());
}

#[rstest]
fn records_of_earlier_versions_are_decoded() {
    for (line, (name, record)) in approved("approved/records.txt").lines().zip(records()) {
        let bytes = line.split_once(' ').map(|(_, bytes)| from_hex(bytes)).expect("a name and bytes");
        assert_eq!(GroupRecord::deserialize_bin(&bytes).expect("can be read"), record, "{name}");
    }
}

#[rstest]
fn a_store_resumes_from_records_of_earlier_versions() {
    let bytes = approved("approved/records.txt");
    let records: Vec<Vec<u8>> =
        bytes.lines().filter_map(|line| line.split_once(' ')).map(|(_, bytes)| from_hex(bytes)).collect();
    let now = Duration::ZERO;
    let mut store = Store::new(now, settings(), &records).expect("records that can be read");
    store.handle_link_opened(LinkId(1));
    store.handle_message(now, LinkId(1), ToStore::ProxyHello { node: "p".to_owned(), zone: "a".to_owned() });
    let group = StoreGroup {
        group: 6,
        epoch: 1,
        primary: member(1),
        in_sync: vec![member(1)],
        targets: vec![member(1)],
    };
    store.apply_assignments(now, &[group]);
    let mut lines = Vec::new();
    for step in 1..=80 {
        let now = Duration::from_millis(step * 50);
        store.tick(now);
        for output in store.take_outputs(now) {
            match output {
                StoreOutput::Append { ticket, .. } => store.handle_synced(now, ticket),
                StoreOutput::ToControl(ToControl::ChangeGroup { request, group, proposed, .. }) => {
                    store.handle_epoch_change_answer(now, request, group, &proposed);
                }
                _ => {}
            }
        }
    }
    let now = Duration::from_millis(4_010);
    store.handle_message(now, LinkId(1), ToStore::Status);
    for output in store.take_outputs(now) {
        if let StoreOutput::Reply { message: FromStore::Status(status), .. } = output {
            lines.push(String::from_utf8(status).expect("text"));
        }
    }
    store.checkpoint();
    for output in store.take_outputs(now) {
        if let StoreOutput::Checkpoint { records } = output {
            lines.extend(records.iter().map(|record| to_hex(record)));
        }
    }
    approve("approved/resumed.txt", &lines);
}

#[rstest]
fn a_store_rejects_an_undecodable_record() {
    let error = Store::new(Duration::ZERO, settings(), &[vec![1, 2, 3]]).expect_err("no record");
    assert_eq!(error.to_string(), "Bin deserialize error at:0 wanted:4 bytes but max size is 3");
}
