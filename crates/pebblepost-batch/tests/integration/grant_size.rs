//! The size of the response to a request for work, whatever its items carry.

use crate::support::{apply, job, ms};
use nanoserde::SerBin;
use pebblepost_batch::clock::GroupClock;
use pebblepost_batch::command::Change;
use pebblepost_batch::scheduler::{ItemProgress, LeaseReference, ProxyId, Scheduler, WorkRequest};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{FromStore, Job, PartialText, Scorer, WorkLease};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const STORE_GROUP: u32 = 0;
const PROXY: ProxyId = ProxyId(1);
/// Promised maximum size of a message with more than one item (docs/batch.md).
const MAX_WORK_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Where the bytes of an item are.
#[derive(Clone, Copy, Debug)]
enum Content {
    Body,
    ScorerBody,
    Headers,
    Path,
    PartialText,
}

const ALL_CONTENTS: [Content; 5] =
    [Content::Body, Content::ScorerBody, Content::Headers, Content::Path, Content::PartialText];

/// A primary with one job.
struct Primary {
    state: BatchState,
    scheduler: Scheduler,
}

impl Primary {
    fn new(job: Job) -> Primary {
        let mut scheduler = Scheduler::default();
        scheduler.mark_proxy_connected(PROXY);
        scheduler.start_term(ms(0), STORE_GROUP, 1, &GroupClock::default(), &BatchState::default());
        let mut primary = Primary { state: BatchState::default(), scheduler };
        let id = job.id.clone();
        apply(&mut primary.state, 0, Change::AddJob(job));
        let stored = primary.state.job(&id).expect("the job was added");
        primary.scheduler.add_job(ms(0), STORE_GROUP, &GroupClock::default(), stored);
        primary
    }

    fn grant(&mut self, max_items: usize) -> Vec<WorkLease> {
        self.scheduler.lease_items(ms(0), PROXY, &WorkRequest::new(max_items), |_| Some(&self.state))
    }

    /// Records a partial text of each item.
    fn set_partial_texts(&mut self, bytes: usize) {
        let mut leases = Vec::new();
        loop {
            let granted = self.grant(512);
            if granted.is_empty() {
                break;
            }
            leases.extend(granted);
        }
        for lease in leases {
            for leased in &lease.items {
                let stored = self.state.job(&lease.job).expect("the job is stored");
                let index = stored.pending_index(&leased.item.id).expect("the item is pending");
                let partial = PartialText { last_event: 3, message: vec![b't'; bytes], versions: vec![1, 2] };
                let progress = ItemProgress { partial, ..ItemProgress::default() };
                let reference = LeaseReference { proxy: PROXY, number: lease.lease };
                self.scheduler.return_item(reference, &lease.job, index, progress);
            }
        }
    }
}

/// Creates a job whose items have this number of bytes each.
fn job_with(content: Content, groups: usize, per_group: usize, bytes: usize) -> Job {
    let mut job = job("j", groups, per_group, 0);
    for item in &mut job.items {
        match content {
            Content::Body => item.body = vec![7; bytes],
            Content::ScorerBody => {
                let path = "/score".to_owned();
                item.scorer =
                    Some(Scorer { id: "s".to_owned(), hostname: "h".to_owned(), path, body: vec![7; bytes] });
            }
            Content::Headers => {
                let header = |_| ("x".repeat(bytes / 40), "y".repeat(bytes / 40));
                item.headers = (0..20).map(header).collect();
            }
            Content::Path => item.path = "p".repeat(bytes),
            Content::PartialText => {}
        }
    }
    job
}

/// Grants all items of a primary, in requests for this number of items. Returns the number of items and the largest
/// message with more than one item.
fn grant_all(primary: &mut Primary, max_items: usize) -> (usize, usize) {
    let (mut items, mut largest) = (0, 0);
    loop {
        let leases = primary.grant(max_items);
        let granted: usize = leases.iter().map(|lease| lease.items.len()).sum();
        if granted == 0 {
            return (items, largest);
        }
        items += granted;
        if granted > 1 {
            largest = largest.max(FromStore::Work(leases).serialize_bin().len());
        }
    }
}

/// Guards against: a response to a request for work that its link cannot carry, so that the link is closed and the same
/// response is built again for ever (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[rstest]
fn work_messages_are_bounded_whatever_the_items_carry(
    #[values(Content::Body, Content::ScorerBody, Content::Headers, Content::Path, Content::PartialText)]
    content: Content,
) {
    let mut primary = Primary::new(job_with(content, 20, 4, 300_000));
    if matches!(content, Content::PartialText) {
        primary.set_partial_texts(300_000);
    }
    let (items, largest) = grant_all(&mut primary, 74);
    assert_eq!(items, 80);
    assert!(largest <= MAX_WORK_MESSAGE_BYTES, "a message of {largest} bytes");
}

/// Guards against: a sample group that is never leased, because it is never split for its size.
#[rstest]
fn a_large_sample_group_is_split_for_its_size() {
    let mut primary = Primary::new(job_with(Content::Body, 1, 11, 2_150_000));
    let (items, largest) = grant_all(&mut primary, 74);
    assert_eq!(items, 11);
    assert!(largest <= MAX_WORK_MESSAGE_BYTES, "a message of {largest} bytes");
}

/// Guards against: an item that is never leased, because it exceeds the bound by itself.
#[rstest]
fn an_item_larger_than_the_bound_is_leased_alone() {
    let mut primary = Primary::new(job_with(Content::ScorerBody, 3, 1, 10_000_000));
    for _ in 0..3 {
        let leases = primary.grant(74);
        assert_eq!(leases.iter().map(|lease| lease.items.len()).sum::<usize>(), 1);
    }
}

/// Guards against: the same for items of any sizes and any number of requested items.
#[rstest]
fn work_messages_of_random_jobs_are_bounded() {
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let content = ALL_CONTENTS[random.random_range(0..ALL_CONTENTS.len())];
        let (groups, per_group) = (random.random_range(1..12), random.random_range(1..12));
        let bytes = random.random_range(0..1_500_000);
        let mut primary = Primary::new(job_with(content, groups, per_group, bytes));
        if matches!(content, Content::PartialText) {
            primary.set_partial_texts(bytes);
        }
        let (items, largest) = grant_all(&mut primary, random.random_range(1..100));
        assert_eq!(items, groups * per_group, "seed {seed}");
        assert!(largest <= MAX_WORK_MESSAGE_BYTES, "seed {seed}: a message of {largest} bytes");
    }
}
