//! Groups placed on transcribers that reject items, and attempts at transcribers that stop sending.

use crate::support::{
    FakeStore, LAST_CHUNK, Reply, RunnerUnderTest, SeenRequest, StoreEnd, Transcribers, empty_response,
    events, lease, leased, load_report, load_report_with_order, run, stream_head,
};
use pebblepost_messages::batch::{ItemOutcome, ResultState, ToStore};
use pebblepost_messages::feed::{FeedUpdate, InstanceState, ModelVersion};
use std::cell::Cell;
use std::rc::Rc;

fn is_report(seen: &SeenRequest) -> bool {
    seen.text.starts_with("GET /report")
}

fn id(seen: &SeenRequest) -> &str {
    seen.header("request-id").unwrap()
}

/// Answers with the remaining events of a text of three events, or with the load if a report is requested.
fn healthy(seen: &SeenRequest) -> Reply {
    if is_report(seen) {
        return Reply::Write(load_report(1, 0));
    }
    let last: u64 = seen.header("last-event-id").map_or(0, |last| last.parse().unwrap());
    Reply::Write([stream_head(id(seen), 1), events(last + 1, 3), LAST_CHUNK.to_vec()].concat())
}

async fn start() -> (RunnerUnderTest, FakeStore, StoreEnd) {
    let (under_test, mut store) = (RunnerUnderTest::start(false), FakeStore::start());
    under_test.set_primary(store.address, 1);
    let (end, _) = store.accept().await;
    (under_test, store, end)
}

/// Waits until `count` items are completed.
async fn wait_for_completed(end: &mut StoreEnd, count: usize) {
    let mut done = 0;
    while done < count {
        let ToStore::Outcomes { outcomes, .. } = end.outcomes().await else { panic!("no outcomes") };
        for outcome in outcomes {
            let ItemOutcome::Finished(result) = outcome else { panic!("item was not finished: {outcome:?}") };
            assert_eq!((result.state, &result.message[..]), (ResultState::Completed, &b"d1\nd2\nd3"[..]));
            done += 1;
        }
    }
}

#[test]
fn a_transcriber_that_starts_a_load_order_rejects_only_one_item_of_a_group() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let order_in_progress = Rc::new(Cell::new(false));
        let starts_load_order = move |seen: &SeenRequest| match is_report(seen) {
            true => Reply::Write(load_report_with_order(1, 0, order_in_progress.get())),
            false => {
                order_in_progress.set(true);
                Reply::Write(empty_response(503, id(seen), "not-executed: 1\r\n"))
            }
        };
        let loading = transcribers.start("i-loading", starts_load_order).await;
        let other = transcribers.start("i-other", healthy).await;
        let (under_test, _store, mut end) = start().await;
        let version = ModelVersion { model: "daka".to_owned(), generation: 2 };
        under_test.apply(FeedUpdate::NamedVersions(vec![version]));
        // The transcriber in the runner's own zone is probed first.
        under_test.announce_in("z", "i-loading", "models", loading, InstanceState::Ready, 1);
        under_test.announce_in("far", "i-other", "models", other, InstanceState::Ready, 1);
        let group = ["a", "b", "c", "d"].map(|id| leased(id, false)).to_vec();
        end.grant_work(vec![lease(group, false)]).await;
        wait_for_completed(&mut end, 4).await;
        let rejected =
            transcribers.seen.borrow().iter().filter(|seen| seen.transcriber == "i-loading").count();
        assert_eq!(rejected, 1);
    });
}

#[test]
fn a_silent_transcriber_is_health_checked_and_its_text_resumed_elsewhere() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let probes = Rc::new(Cell::new(0));
        let reports = probes.clone();
        let stops_sending = move |seen: &SeenRequest| match is_report(seen) {
            true => {
                reports.set(reports.get() + 1);
                if reports.get() == 1 {
                    Reply::Write(load_report(1, 0))
                } else {
                    Reply::WriteAndHang(Vec::new())
                }
            }
            false => Reply::WriteAndHang([stream_head(id(seen), 1), events(1, 1)].concat()),
        };
        let silent = transcribers.start("i-silent", stops_sending).await;
        let other = transcribers.start("i-other", healthy).await;
        let (under_test, _store, mut end) = start().await;
        under_test.announce_in("z", "i-silent", "models", silent, InstanceState::Ready, 1);
        under_test.announce_in("far", "i-other", "models", other, InstanceState::Ready, 1);
        end.grant_work(vec![lease(vec![leased("a", false)], false)]).await;
        wait_for_completed(&mut end, 1).await;
        assert_eq!(
            probes.get(),
            2,
            "one probe before the attempt, one health check after it stopped sending"
        );
        let seen = transcribers.seen.borrow();
        let last = seen.last().unwrap();
        assert_eq!((last.transcriber.as_str(), last.header("last-event-id")), ("i-other", Some("1")));
    });
}
