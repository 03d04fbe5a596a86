//! Tests of the execution of leased items, with a fake store and fake transcribers.

use crate::support::{
    FakeStore, LAST_CHUNK, Reply, RunnerUnderTest, SeenRequest, StoreEnd, Transcribers, empty_response,
    event_with_version, events, lease, leased, load_report, load_report_with_order, run, stream_head,
};
use nanoserde::SerBin;
use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, PartialText, ResultState, ToStore,
};
use pebblepost_messages::feed::{FeedUpdate, InstanceState, ModelVersion};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Returns a handler that reports version 1 and a load of 0, and answers all other requests with `answer`.
fn reporting(
    mut answer: impl FnMut(&SeenRequest) -> Reply + 'static,
) -> impl FnMut(&SeenRequest) -> Reply + 'static {
    move |seen| match seen.text.starts_with("GET /report") {
        true => Reply::Write(load_report(1, 0)),
        false => answer(seen),
    }
}

fn id(seen: &SeenRequest) -> String {
    seen.header("request-id").unwrap().to_owned()
}

/// Answers with a complete text of three events.
fn complete_text(seen: &SeenRequest) -> Reply {
    Reply::Write([stream_head(&id(seen), 1), events(1, 3), LAST_CHUNK.to_vec()].concat())
}

/// Answers with the events of a text of three that follow the last event stated in the request.
fn remaining_events(seen: &SeenRequest) -> Reply {
    let last: u64 = seen.header("last-event-id").map_or(0, |last| last.parse().unwrap());
    Reply::Write([stream_head(&id(seen), 1), events(last + 1, 3), LAST_CHUNK.to_vec()].concat())
}

fn completed(id: &str, score: &str) -> ItemOutcome {
    ItemOutcome::Finished(ItemResult {
        id: id.to_owned(),
        state: ResultState::Completed,
        message: b"d1\nd2\nd3".to_vec(),
        versions: vec![1],
        score: score.to_owned(),
    })
}

fn dead_letter(id: &str) -> ItemOutcome {
    ItemOutcome::Finished(ItemResult {
        id: id.to_owned(),
        state: ResultState::DeadLetter,
        ..ItemResult::default()
    })
}

fn outcomes(message: ToStore) -> Vec<ItemOutcome> {
    match message {
        ToStore::Outcomes { store_group: 0, job, lease: 5, outcomes } if job == "job" => outcomes,
        other => panic!("not the expected outcomes: {other:?}"),
    }
}

async fn start(single_version: bool) -> (RunnerUnderTest, FakeStore, StoreEnd) {
    let (under_test, mut store) = (RunnerUnderTest::start(single_version), FakeStore::start());
    under_test.set_primary(store.address, 1);
    let (end, _) = store.accept().await;
    (under_test, store, end)
}

#[test]
fn executes_and_scores_an_item_with_approved_requests() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let models = transcribers.start("i-1", reporting(complete_text)).await;
        let score =
            |seen: &SeenRequest| Reply::Write(empty_response(200, &id(seen), "response-seal: seal\r\n"));
        let scorers = transcribers.start("i-2", reporting(score)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        under_test.announce_ready("i-2", "scorers", scorers);
        let requested = end.grant_work(vec![lease(vec![leased("a", true)], true)]).await;
        assert_eq!(requested, 10, "115 % of 8 slots, rounded up");
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "seal")]);
        let seen: Vec<String> = transcribers.seen.borrow().iter().map(|seen| seen.text.clone()).collect();
        let approved = [
            "POST /lot/3 HTTP/1.1\nmodel: daka\nhost: h.example\nrequest-id: a\npriority: 7\n\
             expect-version: 1\ntarget-instance: i-1\ncontent-length: 6\ndeadline-ms: (left)\n\nprompt",
            "POST /score/1 HTTP/1.1\nhost: h.example\nrequest-id: s-a\ntarget-instance: i-2\n\
             content-length: 5\ndeadline-ms: (left)\n\njudge",
        ];
        assert_eq!(seen, approved);
    });
}

/// A load order in progress may change the model if a newer version of it is named; otherwise it changes another
/// model.
#[rstest]
#[case::of_another_model(1, "i-busy")]
#[case::perhaps_of_this_model(2, "i-idle")]
fn a_load_order_blocks_only_texts_of_its_own_model(#[case] named: u64, #[case] expected: &str) {
    let expected = expected.to_owned();
    run(async move {
        let (transcribers, _) = Transcribers::new();
        let during_order = |seen: &SeenRequest| match seen.text.starts_with("GET /report") {
            true => Reply::Write(load_report_with_order(1, 0, true)),
            false => complete_text(seen),
        };
        let busy = transcribers.start("i-busy", during_order).await;
        let idle = transcribers.start("i-idle", reporting(complete_text)).await;
        let (under_test, _store, mut end) = start(false).await;
        let version = ModelVersion { model: "daka".to_owned(), generation: named };
        under_test.apply(FeedUpdate::NamedVersions(vec![version]));
        // The transcriber in the runner's own zone is probed first.
        under_test.announce_in("z", "i-busy", "models", busy, InstanceState::Ready, 1);
        under_test.announce_in("far", "i-idle", "models", idle, InstanceState::Ready, 1);
        end.grant_work(vec![lease(vec![leased("a", false)], false)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        let attempts: Vec<String> =
            transcribers.seen.borrow().iter().map(|seen| seen.transcriber.clone()).collect();
        assert_eq!(attempts, [expected]);
    });
}

#[test]
fn resumes_an_interrupted_text_after_its_last_event() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let interrupt =
            |seen: &SeenRequest| Reply::WriteAndClose([stream_head(&id(seen), 1), events(1, 2)].concat());
        let interrupting = transcribers.start("i-1", reporting(interrupt)).await;
        let (under_test, _store, mut end) = start(false).await;
        under_test.announce_ready("i-1", "models", interrupting);
        end.grant_work(vec![lease(vec![leased("a", false)], false)]).await;
        while transcribers.seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        let other = transcribers.start("i-2", reporting(remaining_events)).await;
        under_test.announce_ready("i-2", "models", other);
        under_test.announce("i-1", "models", interrupting, InstanceState::Draining, 2);
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        let seen = transcribers.seen.borrow();
        let last = seen.last().unwrap();
        assert_eq!((last.transcriber.as_str(), last.header("last-event-id")), ("i-2", Some("2")));
        assert_eq!(seen[0].header("last-event-id"), None);
    });
}

#[test]
fn resumes_a_stored_text() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let models = transcribers.start("i-1", reporting(remaining_events)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        let mut item = leased("a", false);
        item.partial = PartialText { last_event: 2, message: b"d1\nd2".to_vec(), versions: vec![1] };
        end.grant_work(vec![lease(vec![item], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        assert_eq!(transcribers.seen.borrow()[0].header("last-event-id"), Some("2"));
    });
}

#[test]
fn restarts_a_text_under_two_versions_where_one_is_required() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let mut attempts = 0;
        let answer = move |seen: &SeenRequest| {
            attempts += 1;
            match attempts {
                1 => Reply::WriteAndHang(
                    [stream_head(&id(seen), 1), events(1, 1), event_with_version(2, 2)].concat(),
                ),
                _ => complete_text(seen),
            }
        };
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        assert_eq!(transcribers.seen.borrow().len(), 2);
        assert_eq!(transcribers.seen.borrow()[1].header("last-event-id"), None);
    });
}

#[test]
fn reports_all_versions_of_a_text() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let answer = |seen: &SeenRequest| {
            let parts = [stream_head(&id(seen), 1), events(1, 1), event_with_version(2, 2), events(3, 3)];
            Reply::Write([parts.concat(), LAST_CHUNK.to_vec()].concat())
        };
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, _store, mut end) = start(false).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false)], false)]).await;
        let ItemOutcome::Finished(result) = outcomes(end.outcomes().await).remove(0) else { panic!() };
        assert_eq!((result.message, result.versions), (b"d1\nd2\nd3".to_vec(), vec![1, 2]));
    });
}

#[rstest]
#[case::failed(500, 2)]
#[case::unprocessable(422, 1)]
fn an_item_becomes_a_dead_letter(#[case] status: u16, #[case] attempts: usize) {
    run(async move {
        let (transcribers, _) = Transcribers::new();
        let answer = move |seen: &SeenRequest| Reply::Write(empty_response(status, &id(seen), ""));
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [dead_letter("a")]);
        assert_eq!(transcribers.seen.borrow().len(), attempts);
    });
}

#[rstest]
#[case::version_mismatch(421, "")]
#[case::full(503, "not-executed: 1\r\n")]
fn retries_a_rejected_attempt(#[case] status: u16, #[case] header: &'static str) {
    run(async move {
        let (transcribers, _) = Transcribers::new();
        let mut attempts = 0;
        let answer = move |seen: &SeenRequest| {
            attempts += 1;
            if attempts <= 3 {
                Reply::Write(empty_response(status, &id(seen), header))
            } else {
                complete_text(seen)
            }
        };
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
    });
}

#[test]
fn an_item_whose_scorer_calls_fail_becomes_a_dead_letter() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let models = transcribers.start("i-1", reporting(complete_text)).await;
        let scorers = transcribers
            .start("i-2", reporting(|seen| Reply::Write(empty_response(500, &id(seen), ""))))
            .await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        under_test.announce_ready("i-2", "scorers", scorers);
        end.grant_work(vec![lease(vec![leased("a", true)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [dead_letter("a")]);
        assert_eq!(transcribers.seen.borrow().len(), 3, "one attempt at the text and two scorer calls");
    });
}

#[test]
fn a_cancellation_aborts_the_attempts_of_its_job() {
    run(async {
        let (transcribers, mut closed) = Transcribers::new();
        let answer =
            |seen: &SeenRequest| Reply::WriteAndHang([stream_head(&id(seen), 1), events(1, 1)].concat());
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false), leased("b", false)], true)]).await;
        while transcribers.seen.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
        end.sender.send(&FromStore::Cancel { jobs: vec!["job".to_owned()] });
        closed.recv().await.unwrap();
        closed.recv().await.unwrap();
        end.sender.send(&FromStore::WorkAvailable);
        end.grant_work(vec![lease(vec![leased("c", false)], true)]).await;
        end.sender.send(&FromStore::WorkAvailable);
        end.grant_work(Vec::new()).await;
        assert_eq!(transcribers.seen.borrow().len(), 2, "work in transit at the cancellation is not started");
    });
}

#[test]
fn a_new_link_gets_active_leases_announced_and_outcomes_resent() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let answer = |seen: &SeenRequest| match id(seen).as_str() {
            "b" => Reply::WriteAndHang([stream_head("b", 1), events(1, 1)].concat()),
            _ => complete_text(seen),
        };
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, mut store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false), leased("b", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        end.sender.close();
        let (mut end, announced) = store.accept().await;
        let active = ActiveLease { store_group: 0, job: "job".to_owned(), items: vec!["b".to_owned()] };
        assert_eq!(announced, ToStore::ActiveLeases(vec![active]));
        assert_eq!(outcomes(end.outcomes_before_leases.remove(0)), [completed("a", "")]);
    });
}

#[test]
fn sends_nothing_under_an_expired_lease_until_it_is_renewed() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let hanging =
            |seen: &SeenRequest| Reply::WriteAndHang([stream_head(&id(seen), 1), events(1, 2)].concat());
        let hanging = transcribers.start("i-0", reporting(hanging)).await;
        let models = transcribers.start("i-1", reporting(remaining_events)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-0", "models", hanging);
        end.grant_work(vec![lease(vec![leased("a", false)], true)]).await;
        while transcribers.seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        // The attempt is interrupted after 1.5 s without an event, when the lease has expired as well.
        tokio::time::pause();
        end.keep_alive(4).await;
        under_test.announce("i-0", "models", hanging, InstanceState::Terminated, 2);
        under_test.announce_ready("i-1", "models", models);
        end.keep_alive(1).await;
        assert_eq!(transcribers.seen.borrow().len(), 1);
        end.sender.send(&FromStore::Renew { groups: vec![(0, 1)] });
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        assert_eq!(transcribers.seen.borrow()[1].transcriber, "i-1");
    });
}

#[test]
fn sends_nothing_new_to_a_draining_transcriber() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let draining = transcribers.start("i-1", reporting(complete_text)).await;
        let models = transcribers.start("i-2", reporting(complete_text)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", draining);
        under_test.announce_ready("i-2", "models", models);
        under_test.announce("i-1", "models", draining, InstanceState::Draining, 2);
        let items = (0..6).map(|index| leased(&format!("a{index}"), false)).collect();
        end.grant_work(vec![lease(items, true)]).await;
        let mut finished = 0;
        while finished < 6 {
            finished += outcomes(end.outcomes().await).len();
        }
        assert!(transcribers.seen.borrow().iter().all(|seen| seen.transcriber == "i-2"));
    });
}

#[test]
fn returns_an_item_without_a_route() {
    run(async {
        let (under_test, _store, mut end) = start(true).await;
        let (transcribers, _) = Transcribers::new();
        let models = transcribers.start("i-1", reporting(complete_text)).await;
        under_test.announce_ready("i-1", "models", models);
        let mut item = leased("a", false);
        item.item.path = "/gone/3".to_owned();
        end.grant_work(vec![lease(vec![item], true)]).await;
        tokio::time::pause();
        let returned = ItemOutcome::Returned {
            id: "a".to_owned(),
            failed_attempts: 0,
            failed_scorer_attempts: 0,
            partial: PartialText::default(),
        };
        assert_eq!(outcomes(end.outcomes().await), [returned]);
        assert!(transcribers.seen.borrow().is_empty());
    });
}

#[test]
fn a_shutdown_returns_unfinished_items_with_their_text() {
    run(async {
        let (transcribers, mut closed) = Transcribers::new();
        let answer =
            |seen: &SeenRequest| Reply::WriteAndHang([stream_head(&id(seen), 1), events(1, 2)].concat());
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false)], true)]).await;
        while transcribers.seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        under_test.runner.shut_down(Duration::from_millis(300)).await;
        closed.recv().await.unwrap();
        let partial = PartialText { last_event: 2, message: b"d1\nd2".to_vec(), versions: vec![1] };
        let returned = ItemOutcome::Returned {
            id: "a".to_owned(),
            failed_attempts: 0,
            failed_scorer_attempts: 0,
            partial,
        };
        assert_eq!(outcomes(end.outcomes().await), [returned]);
    });
}

/// Guards against: outcomes of one lease that together exceed what the link to the store carries, so that it is closed
/// and they are sent again for ever (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[test]
fn large_outcomes_of_a_lease_are_sent_in_several_messages() {
    const EVENTS: u64 = 30;
    const EVENT_BYTES: usize = 50_000;
    /// Promised maximum size of a message with more than one outcome (`docs/batch.md`), and a little more.
    const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024 + 4096;
    run(async {
        let (transcribers, _closed) = Transcribers::new();
        let answer = |seen: &SeenRequest| {
            let chunk = |number| {
                let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            let chunks: String = (1..=EVENTS).map(chunk).collect();
            Reply::WriteAndHang([stream_head(&id(seen), 1), chunks.into_bytes()].concat())
        };
        let models = transcribers.start("i-1", reporting(answer)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        let items = (0..8).map(|index| leased(&format!("a{index}"), false)).collect();
        end.grant_work(vec![lease(items, true)]).await;
        while transcribers.seen.borrow().len() < 8 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        under_test.runner.shut_down(Duration::from_millis(300)).await;
        let mut returned = 0;
        while returned < 8 {
            let message = end.outcomes().await;
            let bytes = message.serialize_bin().len();
            let outcomes = outcomes(message);
            assert!(outcomes.len() == 1 || bytes <= MAX_MESSAGE_BYTES, "a message of {bytes} bytes");
            let is_whole = |outcome: &ItemOutcome| match outcome {
                ItemOutcome::Returned { partial, .. } => partial.last_event == EVENTS,
                ItemOutcome::Finished(_) => false,
            };
            assert!(outcomes.iter().all(is_whole));
            returned += outcomes.len();
        }
    });
}

#[test]
fn requests_no_work_without_capacity() {
    run(async {
        let (_under_test, _store, mut end) = start(true).await;
        end.sender.send(&FromStore::WorkAvailable);
        end.sender.send(&FromStore::Cancel { jobs: Vec::new() });
        // Without a transcriber there is no capacity: until the link is closed the runner sends at most an
        // announcement of leases, after a keep-alive.
        end.sender.close();
        let messages = end.remaining_messages().await;
        assert!(!messages.iter().any(|message| matches!(message, ToStore::RequestWork { .. })));
    });
}

#[test]
fn prefers_its_own_zone_until_it_is_full() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let near = transcribers.start("near", reporting(complete_text)).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("near", "models", near);
        for far in ["far-1", "far-2", "far-3"] {
            let address = transcribers.start(far, reporting(complete_text)).await;
            under_test.announce_in("y", far, "models", address, InstanceState::Ready, 1);
        }
        let items = |name: &str, count| (0..count).map(|n| leased(&format!("{name}{n}"), false)).collect();
        end.grant_work(vec![lease(items("a", 4), true)]).await;
        let mut finished = 0;
        while finished < 4 {
            finished += outcomes(end.outcomes().await).len();
        }
        assert!(transcribers.seen.borrow().iter().all(|seen| seen.transcriber == "near"));
        let full = |seen: &SeenRequest| match seen.text.starts_with("GET /report") {
            true => Reply::Write(load_report(1, 8)),
            false => complete_text(seen),
        };
        let full = transcribers.start("full", full).await;
        under_test.announce("near", "models", near, InstanceState::Terminated, 2);
        under_test.announce_ready("full", "models", full);
        transcribers.seen.borrow_mut().clear();
        end.sender.send(&FromStore::WorkAvailable);
        end.grant_work(vec![lease(items("b", 4), true)]).await;
        finished = 0;
        while finished < 4 {
            finished += outcomes(end.outcomes().await).len();
        }
        assert!(transcribers.seen.borrow().iter().all(|seen| seen.transcriber.starts_with("far")));
    });
}

#[test]
fn does_not_probe_scorers_that_report_no_load_again() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let models = transcribers.start("i-1", reporting(complete_text)).await;
        let probes = Rc::new(Cell::new(0));
        let counter = probes.clone();
        let scorers = move |seen: &SeenRequest| {
            if seen.text.starts_with("GET /report") {
                counter.set(counter.get() + 1);
                return Reply::Write(empty_response(400, "", "not-executed: 1\r\n"));
            }
            Reply::Write(empty_response(200, &id(seen), "response-seal: seal\r\n"))
        };
        let scorers = transcribers.start("i-2", scorers).await;
        let (under_test, _store, mut end) = start(true).await;
        under_test.announce_ready("i-1", "models", models);
        under_test.announce_ready("i-2", "scorers", scorers);
        for name in ["a", "b", "c"] {
            end.sender.send(&FromStore::WorkAvailable);
            end.grant_work(vec![lease(vec![leased(name, true)], true)]).await;
            assert_eq!(outcomes(end.outcomes().await), [completed(name, "seal")]);
        }
        assert_eq!(probes.get(), 1);
    });
}
