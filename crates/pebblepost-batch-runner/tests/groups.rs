//! Groups of samples at transcribers that do not take them, and runs at transcribers that fall silent.

mod support;

use pebblepost_messages::batch::{ItemOutcome, ResultState, ToStore};
use pebblepost_messages::feed::{FeedUpdate, InstanceState, ModelVersion};
use std::cell::Cell;
use std::rc::Rc;
use support::{
    Bench, END, FakeStore, Fleet, Reply, Seen, StoreEnd, events, lease, leased, plain, report,
    report_with_order, run, stream_head,
};

fn is_report(seen: &Seen) -> bool {
    seen.text.starts_with("GET /report")
}

fn id(seen: &Seen) -> &str {
    seen.header("request-id").unwrap()
}

/// The rest of a text of three events; the load, where that is asked for.
fn sound(seen: &Seen) -> Reply {
    if is_report(seen) {
        return Reply::Write(report(1, 0));
    }
    let last: u64 = seen.header("last-event-id").map_or(0, |last| last.parse().unwrap());
    Reply::Write([stream_head(id(seen), 1), events(last + 1, 3), END.to_vec()].concat())
}

async fn start() -> (Bench, FakeStore, StoreEnd) {
    let (bench, mut store) = (Bench::start(false), FakeStore::start());
    bench.set_primary(store.address, 1);
    let (end, _) = store.accept().await;
    (bench, store, end)
}

/// Waits until so many items are completed.
async fn completed(end: &mut StoreEnd, count: usize) {
    let mut done = 0;
    while done < count {
        let ToStore::Outcomes { outcomes, .. } = end.outcomes().await else { panic!("no outcomes") };
        for outcome in outcomes {
            let ItemOutcome::Finished(result) = outcome else { panic!("handed back: {outcome:?}") };
            assert_eq!((result.state, &result.message[..]), (ResultState::Completed, &b"d1\nd2\nd3"[..]));
            done += 1;
        }
    }
}

#[test]
fn a_transcriber_that_begins_an_order_turns_away_one_item_of_a_group() {
    run(async {
        let (fleet, _) = Fleet::new();
        let ordered = Rc::new(Cell::new(false));
        let begins_order = move |seen: &Seen| match is_report(seen) {
            true => Reply::Write(report_with_order(1, 0, ordered.get())),
            false => {
                ordered.set(true);
                Reply::Write(plain(503, id(seen), "not-executed: 1\r\n"))
            }
        };
        let loading = fleet.start("i-loading", begins_order).await;
        let other = fleet.start("i-other", sound).await;
        let (bench, _store, mut end) = start().await;
        let version = ModelVersion { model: "daka".to_owned(), generation: 2 };
        bench.apply(FeedUpdate::NamedVersions(vec![version]));
        // The one in the runner's own zone is probed first.
        bench.announce_in("z", "i-loading", "models", loading, InstanceState::Ready, 1);
        bench.announce_in("far", "i-other", "models", other, InstanceState::Ready, 1);
        let group = ["a", "b", "c", "d"].map(|id| leased(id, false)).to_vec();
        end.give(vec![lease(group, false)]).await;
        completed(&mut end, 4).await;
        let turned_away = fleet.seen.borrow().iter().filter(|seen| seen.transcriber == "i-loading").count();
        assert_eq!(turned_away, 1);
    });
}

#[test]
fn a_transcriber_that_falls_silent_is_asked_and_its_run_goes_elsewhere() {
    run(async {
        let (fleet, _) = Fleet::new();
        let asked = Rc::new(Cell::new(0));
        let reports = asked.clone();
        let falls_silent = move |seen: &Seen| match is_report(seen) {
            true => {
                reports.set(reports.get() + 1);
                if reports.get() == 1 { Reply::Write(report(1, 0)) } else { Reply::WriteAndHang(Vec::new()) }
            }
            false => Reply::WriteAndHang([stream_head(id(seen), 1), events(1, 1)].concat()),
        };
        let silent = fleet.start("i-silent", falls_silent).await;
        let other = fleet.start("i-other", sound).await;
        let (bench, _store, mut end) = start().await;
        bench.announce_in("z", "i-silent", "models", silent, InstanceState::Ready, 1);
        bench.announce_in("far", "i-other", "models", other, InstanceState::Ready, 1);
        end.give(vec![lease(vec![leased("a", false)], false)]).await;
        completed(&mut end, 1).await;
        assert_eq!(asked.get(), 2, "before the run, and when it fell silent");
        let seen = fleet.seen.borrow();
        let last = seen.last().unwrap();
        assert_eq!((last.transcriber.as_str(), last.header("last-event-id")), ("i-other", Some("1")));
    });
}
