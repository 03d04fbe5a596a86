//! Compares the encoding of every message with approved bytes. Programs of different builds exchange these messages,
//! and batch jobs on disk contain some of the types, so a changed byte breaks an upgrade.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::batch::{
    ActiveLease, EncodedJob, FromStore, Item, ItemOutcome, ItemResult, Job, JobResponse, JobTerms,
    LeasedItem, PartialText, ResultPage, ResultState, Scorer, SubmitOutcome, ToStore, UnsendableItems,
    WorkLease, store_group_of,
};
use pebblepost_messages::control::{FromControl, GroupEpoch, SubscriberRole, ToControl};
use pebblepost_messages::feed::{
    CompressedUpdates, ConfigurationUpdate, FeedBatch, FeedReply, FeedUpdate, Instance, InstanceState,
    ModelVersion, StoreGroup,
};
use pebblepost_messages::{DiskId, Member};
use std::fmt::Write;

const APPROVED: &str = include_str!("approved/encodings.txt");

/// Collects lines `name hex` and checks that each encoding decodes to the original value.
#[derive(Default)]
struct Encodings(String);

impl Encodings {
    fn add<T: SerBin + DeBin + PartialEq>(&mut self, name: &str, value: &T) {
        let bytes = value.serialize_bin();
        assert!(
            T::deserialize_bin(&bytes).is_ok_and(|decoded| decoded == *value),
            "{name} does not decode to the original value"
        );
        self.0.push_str(name);
        self.0.push(' ');
        for byte in bytes {
            write!(self.0, "{byte:02x}").unwrap();
        }
        self.0.push('\n');
    }
}

fn member() -> Member {
    Member {
        disk: DiskId(0x0102_0304_0506_0708),
        node: "storage-1".into(),
        address: "10.0.0.1:7301".into(),
        zone: "a".into(),
        region: "north".into(),
    }
}

fn scorer() -> Scorer {
    Scorer { id: "s1".into(), hostname: "score.example".into(), path: "/score".into(), body: vec![1, 2] }
}

fn item() -> Item {
    Item {
        id: "i1".into(),
        path: "/make".into(),
        headers: vec![("Model".into(), "lm".into())],
        body: vec![9, 8, 7],
        tokens: 11,
        group: "g1".into(),
        scorer: Some(scorer()),
    }
}

fn terms() -> JobTerms {
    JobTerms {
        route: "train".into(),
        hostname: "train.example".into(),
        run_deadline_ms: 60_000,
        queue_ttl_ms: 3_600_000,
        max_attempts: 3,
        priority: 5,
        single_version: true,
    }
}

fn job() -> Job {
    Job {
        id: "j1".into(),
        terms: terms(),
        step: 4,
        model: "lm".into(),
        min_version: 6,
        desired_groups: 2,
        items: vec![item(), Item::default()],
    }
}

fn partial() -> PartialText {
    PartialText { last_event: 3, message: b"a\nb".to_vec(), versions: vec![6, 7] }
}

fn result(state: ResultState) -> ItemResult {
    ItemResult {
        id: "i1".into(),
        state,
        message: b"a\nb".to_vec(),
        versions: vec![6, 7],
        score: "0.5".into(),
    }
}

fn lease() -> WorkLease {
    WorkLease {
        lease: 12,
        store_group: 3,
        epoch: 5,
        job: "j1".into(),
        terms: terms(),
        model: "lm".into(),
        min_version: 6,
        due_in_ms: 700,
        dead_letter_in_ms: 800,
        items: vec![LeasedItem {
            item: item(),
            failed_attempts: 1,
            failed_scorer_attempts: 2,
            partial: partial(),
        }],
    }
}

fn model_version() -> ModelVersion {
    ModelVersion { model: "lm".into(), generation: 7 }
}

fn instance(state: InstanceState) -> Instance {
    Instance {
        id: "t1".into(),
        backend: "model".into(),
        address: "10.0.1.1:80".into(),
        zone: "a".into(),
        slots: 6,
        state,
        slow_start_remaining_ms: 250,
        models: vec![model_version()],
        sequence: 42,
    }
}

fn group_epoch() -> GroupEpoch {
    GroupEpoch { epoch: 5, primary: DiskId(1), in_sync: vec![DiskId(1), DiskId(2)] }
}

fn store_group() -> StoreGroup {
    StoreGroup { group: 3, epoch: 5, primary: member(), in_sync: vec![member()], targets: vec![member()] }
}

fn updates() -> Vec<FeedUpdate> {
    vec![
        FeedUpdate::Configuration(ConfigurationUpdate::Full { generation: 7, document: b"{}".to_vec() }),
        FeedUpdate::Configuration(ConfigurationUpdate::Compressed {
            generation: 7,
            uncompressed_bytes: 2,
            compressed: vec![3, 0],
        }),
        FeedUpdate::Configuration(ConfigurationUpdate::Patch {
            base_generation: 6,
            generation: 7,
            patch: b"[]".to_vec(),
        }),
        FeedUpdate::Instances { complete: true, instances: vec![instance(InstanceState::Ready)] },
        FeedUpdate::Instances {
            complete: false,
            instances: vec![instance(InstanceState::Draining), instance(InstanceState::Terminated)],
        },
        FeedUpdate::StoreGroups(vec![store_group()]),
        FeedUpdate::NamedVersions(vec![model_version()]),
        FeedUpdate::ProxyCount(9),
    ]
}

fn to_store(encodings: &mut Encodings) {
    let (call, store_group, job_id) = (77, 3, || "j1".to_owned());
    let hello = ToStore::ProxyHello { node: "edge-1".into(), zone: "a".into() };
    encodings.add("to_store.proxy_hello", &hello);
    encodings.add("to_store.submit", &ToStore::Submit { call, store_group, job: EncodedJob::new(&job()) });
    let read = ToStore::Read { call, store_group, job: job_id(), start: 5, wait_ms: 900 };
    encodings.add("to_store.read", &read);
    let body = ToStore::ItemBody { call, store_group, job: job_id(), item: "i1".into() };
    encodings.add("to_store.item_body", &body);
    encodings.add("to_store.end", &ToStore::End { call, store_group, job: job_id() });
    encodings.add("to_store.take_work", &ToStore::RequestWork { max_items: 16 });
    let unsendable = vec![UnsendableItems { job: job_id(), path_prefix: "/make".into() }];
    let sendable = ToStore::RequestSendableWork { max_items: 16, unsendable };
    encodings.add("to_store.request_sendable_work", &sendable);
    let returned = ItemOutcome::Returned {
        id: "i2".into(),
        failed_attempts: 1,
        failed_scorer_attempts: 2,
        partial: partial(),
    };
    let outcomes = vec![
        ItemOutcome::Finished(result(ResultState::Completed)),
        ItemOutcome::Finished(result(ResultState::DeadLetter)),
        returned,
    ];
    encodings
        .add("to_store.outcomes", &ToStore::Outcomes { store_group, job: job_id(), lease: 12, outcomes });
    let active_lease = ActiveLease { store_group, job: job_id(), items: vec!["i1".into(), "i2".into()] };
    encodings.add("to_store.holding", &ToStore::ActiveLeases(vec![active_lease]));
    encodings.add("to_store.keep_alive", &ToStore::KeepAlive);
    encodings.add("to_store.peer_hello", &ToStore::PeerHello { member: member() });
    let replication = ToStore::Replication { to: DiskId(2), store_group, message: vec![5, 6] };
    encodings.add("to_store.replication", &replication);
    encodings.add("to_store.leaving", &ToStore::ShuttingDown);
    encodings.add("to_store.status", &ToStore::Status);
    let reserve = ToStore::ReserveMemory { submission: 21, store_group, job: job_id(), bytes: 4096 };
    encodings.add("to_store.reserve_memory", &reserve);
    let response = ToStore::ReserveMemoryResponse { submission: 21, is_granted: true };
    encodings.add("to_store.reserve_memory_response", &response);
    encodings.add("to_store.release_memory", &ToStore::ReleaseMemory { submission: 21 });
    let announcement = ToStore::AnnounceJob { call, store_group, job: job_id(), bytes: 4096 };
    encodings.add("to_store.announce_job", &announcement);
}

fn from_store(encodings: &mut Encodings) {
    let call = 77;
    let outcomes = [
        ("accepted", SubmitOutcome::Accepted),
        ("refused", SubmitOutcome::Rejected { retry_after_ms: 1500 }),
        ("not_primary", SubmitOutcome::NotPrimary),
        ("unknown", SubmitOutcome::Unknown),
        ("reserved", SubmitOutcome::Reserved),
    ];
    for (name, outcome) in outcomes {
        encodings.add(&format!("from_store.submitted.{name}"), &FromStore::Submitted { call, outcome });
    }
    let page = ResultPage { total: 8, start: 5, results: vec![result(ResultState::Completed)] };
    encodings.add("from_store.results.found", &FromStore::Results { call, answer: JobResponse::Found(page) });
    encodings.add("from_store.results.no_such", &FromStore::Results { call, answer: JobResponse::NotFound });
    encodings
        .add("from_store.results.not_sure", &FromStore::Results { call, answer: JobResponse::Unavailable });
    encodings
        .add("from_store.body.found", &FromStore::Body { call, answer: JobResponse::Found(vec![1, 2, 3]) });
    encodings.add("from_store.body.no_such", &FromStore::Body { call, answer: JobResponse::NotFound });
    encodings.add("from_store.ended.found", &FromStore::Ended { call, answer: JobResponse::Found(true) });
    encodings.add("from_store.ended.not_sure", &FromStore::Ended { call, answer: JobResponse::Unavailable });
    encodings.add("from_store.work_available", &FromStore::WorkAvailable);
    encodings.add("from_store.work", &FromStore::Work(vec![lease()]));
    encodings.add("from_store.cancel", &FromStore::Cancel { jobs: vec!["j1".into(), "j2".into()] });
    encodings.add("from_store.renew", &FromStore::Renew { groups: vec![(3, 5), (4, 6)] });
    encodings.add("from_store.keep_alive", &FromStore::KeepAlive);
    encodings.add("from_store.status", &FromStore::Status(b"{}".to_vec()));
}

fn to_control(encodings: &mut Encodings) {
    let roles = [
        ("agent", SubscriberRole::Agent),
        ("store", SubscriberRole::Store),
        ("standby", SubscriberRole::Standby),
    ];
    for (name, role) in roles {
        let subscribe = ToControl::Subscribe { node: "edge-1".into(), zone: "a".into(), role, generation: 7 };
        encodings.add(&format!("to_control.subscribe.{name}"), &subscribe);
    }
    let acknowledge = FeedReply::Acknowledge { sequence: 4, generation: 7 };
    encodings.add("to_control.reply", &ToControl::Reply(acknowledge));
    encodings.add("to_control.store_hello", &ToControl::StoreHello { member: member(), bootstrap: true });
    let change = ToControl::ChangeGroup { request: 8, group: 3, expected_epoch: 4, proposed: group_epoch() };
    encodings.add("to_control.change_group", &change);
    encodings.add("to_control.peer_hello", &ToControl::PeerHello { member: member() });
    encodings.add("to_control.replication", &ToControl::Replication(vec![5, 6]));
    encodings.add("to_control.announce", &ToControl::Announce(vec![instance(InstanceState::Ready)]));
    encodings.add("to_control.keep_alive", &ToControl::KeepAlive);
    encodings.add("to_control.status", &ToControl::Status);
    encodings.add("to_control.version_slack", &ToControl::VersionLag { model: "lm".into(), lag: 2 });
}

fn from_control(encodings: &mut Encodings) {
    let members = || vec!["10.0.0.1:7300".to_owned(), "10.0.0.2:7300".to_owned()];
    let redirect = FromControl::Redirect { primary: Some("10.0.0.1:7300".into()), members: members() };
    encodings.add("from_control.redirect", &redirect);
    let unknown = FromControl::Redirect { primary: None, members: members() };
    encodings.add("from_control.redirect.unknown", &unknown);
    for (index, update) in updates().into_iter().enumerate() {
        let batch = FeedBatch { sequence: 9, updates: vec![update] };
        encodings.add(&format!("from_control.feed.{index}"), &FromControl::Feed(batch));
    }
    encodings.add("from_control.members", &FromControl::Members(members()));
    let changed = FromControl::GroupChanged { request: 8, group: 3, accepted: true, current: group_epoch() };
    encodings.add("from_control.group_changed", &changed);
    encodings.add("from_control.keep_alive", &FromControl::KeepAlive);
    encodings.add("from_control.status", &FromControl::Status(b"{}".to_vec()));
    let shared = CompressedUpdates { uncompressed_bytes: 600, compressed: vec![5, 6] };
    encodings.add("from_control.shared_updates", &FromControl::SharedUpdates(shared));
}

#[test]
fn every_message_encodes_to_the_approved_bytes() {
    let mut encodings = Encodings::default();
    to_store(&mut encodings);
    from_store(&mut encodings);
    to_control(&mut encodings);
    from_control(&mut encodings);
    encodings.add("feed_batch", &FeedBatch { sequence: 9, updates: updates() });
    encodings.add("job", &job());
    for (encoded, approved) in encodings.0.lines().zip(APPROVED.lines()) {
        assert_eq!(encoded, approved);
    }
    assert_eq!(encodings.0.lines().count(), APPROVED.lines().count());
}

#[test]
fn the_store_group_of_a_job_does_not_change() {
    let groups: Vec<u32> = ["", "j1", "job-2", "train/step/17"].into_iter().map(store_group_of).collect();
    assert_eq!(groups, [5, 4, 3, 1]);
}
