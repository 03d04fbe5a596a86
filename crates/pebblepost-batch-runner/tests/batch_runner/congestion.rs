//! What is sent to a store that reads slowly: together more than the link to it may queue.

use crate::support::{FakeStore, RunnerUnderTest, StoreEnd, lease, leased, request, run_within};
use pebblepost_link::Sender;
use pebblepost_messages::batch::{FromStore, LeasedItem, PartialText, SubmitOutcome, ToStore, WorkLease};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the store sends something, so that the runner does not take it for lost.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(100);
/// Together more than the 80 MiB that a link to a store may queue.
const MESSAGES: usize = 12;
const BYTES_PER_MESSAGE: usize = 8_000_000;

async fn start() -> (RunnerUnderTest, FakeStore, StoreEnd) {
    let (under_test, mut store) = (RunnerUnderTest::start(false), FakeStore::start());
    under_test.set_primary(store.address, 1);
    let (end, _) = store.accept().await;
    tokio::task::spawn_local(stay_alive(end.sender.clone()));
    (under_test, store, end)
}

async fn stay_alive(sender: Sender) {
    while sender.send(&FromStore::Renew { groups: vec![(0, 1)] }) {
        sleep(KEEP_ALIVE_INTERVAL).await;
    }
}

/// Returns an item with a long text so far.
fn item_with_text(number: usize) -> LeasedItem {
    let message = vec![b't'; BYTES_PER_MESSAGE];
    let partial = PartialText { last_event: 3, message, versions: vec![1] };
    LeasedItem { partial, ..leased(&format!("a{number}"), false) }
}

/// Guards against: outcomes of many leases that together exceed what the link may queue, so that it is closed and all of
/// them are sent again for ever (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[test]
fn outcomes_larger_than_the_queue_of_the_link_are_all_sent() {
    run_within(Duration::from_secs(40), async {
        // Without a transcriber all items are returned after a while, at the same time.
        let (_under_test, store, mut end) = start().await;
        for number in 0..MESSAGES {
            while end.sender.queued_bytes() > 0 {
                sleep(Duration::from_millis(1)).await;
            }
            let lease = WorkLease { lease: number as u64, ..lease(vec![item_with_text(number)], false) };
            end.sender.send(&FromStore::Work(vec![lease]));
        }
        store.set_reading(false);
        sleep(Duration::from_millis(1_500)).await;
        store.set_reading(true);
        let mut returned = 0;
        while returned < MESSAGES {
            let ToStore::Outcomes { outcomes, .. } = end.outcomes().await else { unreachable!("outcomes") };
            returned += outcomes.len();
        }
        assert!(!end.sender.is_closed());
    });
}

/// Guards against: jobs submitted at the same time that together exceed what the link may queue, so that it is closed and
/// all of them are sent again.
#[test]
fn jobs_larger_than_the_queue_of_the_link_are_all_submitted() {
    run_within(Duration::from_secs(40), async {
        let (under_test, store, mut end) = start().await;
        let under_test = Rc::new(under_test);
        let submissions: Vec<_> = (0..MESSAGES)
            .map(|number| tokio::task::spawn_local(submit(under_test.clone(), number)))
            .collect();
        let mut announcements = Vec::new();
        while announcements.len() < MESSAGES {
            if let ToStore::AnnounceJob { call, .. } = end.next().await {
                announcements.push(call);
            }
        }
        store.set_reading(false);
        for call in announcements {
            end.sender.send(&FromStore::Submitted { call, outcome: SubmitOutcome::Reserved });
        }
        sleep(Duration::from_millis(500)).await;
        store.set_reading(true);
        for _ in 0..MESSAGES {
            let call = loop {
                if let ToStore::Submit { call, .. } = end.next().await {
                    break call;
                }
            };
            end.sender.send(&FromStore::Submitted { call, outcome: SubmitOutcome::Accepted });
        }
        for submission in submissions {
            assert_eq!(submission.await.unwrap(), 202);
        }
        assert!(!end.sender.is_closed());
    });
}

/// Submits a job with a long header and returns the status of the response.
async fn submit(under_test: Rc<RunnerUnderTest>, number: usize) -> u16 {
    let header = "h".repeat(BYTES_PER_MESSAGE);
    let job = format!(
        r#"{{"step":7,"model":"daka","min_version":6,"desired":1,"more":[],"requests":[
 {{"id":"e5","path":"/lot/3","headers":{{"notes":"{header}"}},"body":"","tokens":9,"group":"g"}}]}}"#
    );
    let configuration = under_test.feed.borrow().configuration().cloned().unwrap();
    let id = format!("job-{number}");
    let call = request("POST", "/lot/1", &[("request-id", &id)], &job);
    under_test.runner.answer(configuration.route("h.example", "/lot/1"), call).await.status().as_u16()
}
