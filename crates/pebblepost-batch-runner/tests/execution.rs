//! Execution of leased items, with a fake store and fake transcribers.

mod support;

use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, PartialText, ResultState, ToStore,
};
use pebblepost_messages::feed::{FeedUpdate, InstanceState, ModelVersion};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use support::{
    Bench, END, FakeStore, Fleet, Reply, Seen, StoreEnd, event_with_version, events, lease, leased, plain,
    report, report_with_order, run, stream_head,
};

/// A handler that reports, and answers everything else by `answer`.
fn reporting(mut answer: impl FnMut(&Seen) -> Reply + 'static) -> impl FnMut(&Seen) -> Reply + 'static {
    move |seen| match seen.text.starts_with("GET /report") {
        true => Reply::Write(report(1, 0)),
        false => answer(seen),
    }
}

fn id(seen: &Seen) -> String {
    seen.header("request-id").unwrap().to_owned()
}

/// A whole text of three events.
fn whole(seen: &Seen) -> Reply {
    Reply::Write([stream_head(&id(seen), 1), events(1, 3), END.to_vec()].concat())
}

/// A whole text after the last event that the request names.
fn rest(seen: &Seen) -> Reply {
    let last: u64 = seen.header("last-event-id").map_or(0, |last| last.parse().unwrap());
    Reply::Write([stream_head(&id(seen), 1), events(last + 1, 3), END.to_vec()].concat())
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
        other => panic!("no outcomes: {other:?}"),
    }
}

async fn start(single_version: bool) -> (Bench, FakeStore, StoreEnd) {
    let (bench, mut store) = (Bench::start(single_version), FakeStore::start());
    bench.set_primary(store.address, 1);
    let (end, _) = store.accept().await;
    (bench, store, end)
}

#[test]
fn items_are_run_and_scored_as_approved() {
    run(async {
        let (fleet, _) = Fleet::new();
        let models = fleet.start("i-1", reporting(whole)).await;
        let score = |seen: &Seen| Reply::Write(plain(200, &id(seen), "response-seal: seal\r\n"));
        let desk = fleet.start("i-2", reporting(score)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        bench.ready("i-2", "desk", desk);
        let room = end.give(vec![lease(vec![leased("a", true)], true)]).await;
        assert_eq!(room, 10, "8 slots, and 15 in 100 more");
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "seal")]);
        let seen: Vec<String> = fleet.seen.borrow().iter().map(|seen| seen.text.clone()).collect();
        let approved = [
            "POST /lot/3 HTTP/1.1\nmodel: daka\nhost: h.example\nrequest-id: a\npriority: 7\n\
             expect-version: 1\ntarget-instance: i-1\ncontent-length: 6\ndeadline-ms: (left)\n\nprompt",
            "POST /score/1 HTTP/1.1\nhost: h.example\nrequest-id: s-a\ntarget-instance: i-2\n\
             content-length: 5\ndeadline-ms: (left)\n\njudge",
        ];
        assert_eq!(seen, approved);
    });
}

/// An order under way is of the model where a newer version is named, and of another one where not.
#[rstest]
#[case::of_another_model(1, "i-busy")]
#[case::perhaps_of_this_model(2, "i-idle")]
fn an_order_keeps_off_the_texts_of_its_own_model(#[case] named: u64, #[case] expected: &str) {
    let expected = expected.to_owned();
    run(async move {
        let (fleet, _) = Fleet::new();
        let during_order = |seen: &Seen| match seen.text.starts_with("GET /report") {
            true => Reply::Write(report_with_order(1, 0, true)),
            false => whole(seen),
        };
        let busy = fleet.start("i-busy", during_order).await;
        let idle = fleet.start("i-idle", reporting(whole)).await;
        let (bench, _store, mut end) = start(false).await;
        let version = ModelVersion { model: "daka".to_owned(), generation: named };
        bench.apply(FeedUpdate::NamedVersions(vec![version]));
        // The one in the runner's own zone is probed first.
        bench.announce_in("z", "i-busy", "models", busy, InstanceState::Ready, 1);
        bench.announce_in("far", "i-idle", "models", idle, InstanceState::Ready, 1);
        end.give(vec![lease(vec![leased("a", false)], false)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        let runs: Vec<String> = fleet.seen.borrow().iter().map(|seen| seen.transcriber.clone()).collect();
        assert_eq!(runs, [expected]);
    });
}

#[test]
fn a_broken_text_goes_on_after_its_last_event() {
    run(async {
        let (fleet, _) = Fleet::new();
        let break_off =
            |seen: &Seen| Reply::WriteAndClose([stream_head(&id(seen), 1), events(1, 2)].concat());
        let breaking = fleet.start("i-1", reporting(break_off)).await;
        let (bench, _store, mut end) = start(false).await;
        bench.ready("i-1", "models", breaking);
        end.give(vec![lease(vec![leased("a", false)], false)]).await;
        while fleet.seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        let other = fleet.start("i-2", reporting(rest)).await;
        bench.ready("i-2", "models", other);
        bench.announce("i-1", "models", breaking, InstanceState::Draining, 2);
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        let seen = fleet.seen.borrow();
        let last = seen.last().unwrap();
        assert_eq!((last.transcriber.as_str(), last.header("last-event-id")), ("i-2", Some("2")));
        assert_eq!(seen[0].header("last-event-id"), None);
    });
}

#[test]
fn a_kept_text_goes_on_where_it_was() {
    run(async {
        let (fleet, _) = Fleet::new();
        let models = fleet.start("i-1", reporting(rest)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        let mut item = leased("a", false);
        item.partial = PartialText { last_event: 2, message: b"d1\nd2".to_vec(), versions: vec![1] };
        end.give(vec![lease(vec![item], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        assert_eq!(fleet.seen.borrow()[0].header("last-event-id"), Some("2"));
    });
}

#[test]
fn a_text_under_two_versions_starts_anew_where_one_is_wanted() {
    run(async {
        let (fleet, _) = Fleet::new();
        let mut runs = 0;
        let answer = move |seen: &Seen| {
            runs += 1;
            match runs {
                1 => Reply::WriteAndHang(
                    [stream_head(&id(seen), 1), events(1, 1), event_with_version(2, 2)].concat(),
                ),
                _ => whole(seen),
            }
        };
        let models = fleet.start("i-1", reporting(answer)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        end.give(vec![lease(vec![leased("a", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        assert_eq!(fleet.seen.borrow().len(), 2);
        assert_eq!(fleet.seen.borrow()[1].header("last-event-id"), None);
    });
}

#[test]
fn all_versions_of_a_text_are_named() {
    run(async {
        let (fleet, _) = Fleet::new();
        let answer = |seen: &Seen| {
            let parts = [stream_head(&id(seen), 1), events(1, 1), event_with_version(2, 2), events(3, 3)];
            Reply::Write([parts.concat(), END.to_vec()].concat())
        };
        let models = fleet.start("i-1", reporting(answer)).await;
        let (bench, _store, mut end) = start(false).await;
        bench.ready("i-1", "models", models);
        end.give(vec![lease(vec![leased("a", false)], false)]).await;
        let ItemOutcome::Finished(result) = outcomes(end.outcomes().await).remove(0) else { panic!() };
        assert_eq!((result.message, result.versions), (b"d1\nd2\nd3".to_vec(), vec![1, 2]));
    });
}

#[rstest]
#[case::failed(500, 2)]
#[case::impossible(422, 1)]
fn an_item_is_given_up(#[case] status: u16, #[case] runs: usize) {
    run(async move {
        let (fleet, _) = Fleet::new();
        let answer = move |seen: &Seen| Reply::Write(plain(status, &id(seen), ""));
        let models = fleet.start("i-1", reporting(answer)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        end.give(vec![lease(vec![leased("a", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [dead_letter("a")]);
        assert_eq!(fleet.seen.borrow().len(), runs);
    });
}

#[rstest]
#[case::version_moved(421, "")]
#[case::full(503, "not-executed: 1\r\n")]
fn an_item_that_did_not_run_is_tried_again(#[case] status: u16, #[case] header: &'static str) {
    run(async move {
        let (fleet, _) = Fleet::new();
        let mut runs = 0;
        let answer = move |seen: &Seen| {
            runs += 1;
            if runs <= 3 { Reply::Write(plain(status, &id(seen), header)) } else { whole(seen) }
        };
        let models = fleet.start("i-1", reporting(answer)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        end.give(vec![lease(vec![leased("a", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
    });
}

#[test]
fn a_scorer_that_fails_too_often_gives_its_item_up() {
    run(async {
        let (fleet, _) = Fleet::new();
        let models = fleet.start("i-1", reporting(whole)).await;
        let desk = fleet.start("i-2", reporting(|seen| Reply::Write(plain(500, &id(seen), "")))).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        bench.ready("i-2", "desk", desk);
        end.give(vec![lease(vec![leased("a", true)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [dead_letter("a")]);
        assert_eq!(fleet.seen.borrow().len(), 3, "the text, and two calls");
    });
}

#[test]
fn a_cancel_closes_the_runs_of_its_job() {
    run(async {
        let (fleet, mut closed) = Fleet::new();
        let answer = |seen: &Seen| Reply::WriteAndHang([stream_head(&id(seen), 1), events(1, 1)].concat());
        let models = fleet.start("i-1", reporting(answer)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        end.give(vec![lease(vec![leased("a", false), leased("b", false)], true)]).await;
        while fleet.seen.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
        end.sender.send(&FromStore::Cancel { jobs: vec!["job".to_owned()] });
        closed.recv().await.unwrap();
        closed.recv().await.unwrap();
        end.sender.send(&FromStore::WorkAvailable);
        end.give(vec![lease(vec![leased("c", false)], true)]).await;
        end.sender.send(&FromStore::WorkAvailable);
        end.give(Vec::new()).await;
        assert_eq!(fleet.seen.borrow().len(), 2, "work that crossed the cancel is not begun");
    });
}

#[test]
fn a_lost_link_has_its_leases_announced_and_its_results_sent_again() {
    run(async {
        let (fleet, _) = Fleet::new();
        let answer = |seen: &Seen| match id(seen).as_str() {
            "b" => Reply::WriteAndHang([stream_head("b", 1), events(1, 1)].concat()),
            _ => whole(seen),
        };
        let models = fleet.start("i-1", reporting(answer)).await;
        let (bench, mut store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        end.give(vec![lease(vec![leased("a", false), leased("b", false)], true)]).await;
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
        end.sender.close();
        let (mut end, holding) = store.accept().await;
        let held = ActiveLease { store_group: 0, job: "job".to_owned(), items: vec!["b".to_owned()] };
        assert_eq!(holding, ToStore::ActiveLeases(vec![held]));
        assert_eq!(outcomes(end.early.remove(0)), [completed("a", "")]);
    });
}

#[test]
fn nothing_of_a_lease_that_was_not_renewed_is_sent() {
    run(async {
        let (fleet, _) = Fleet::new();
        let full = |seen: &Seen| match seen.text.starts_with("GET /report") {
            true => Reply::Write(report(1, 16)),
            false => whole(seen),
        };
        let full = fleet.start("i-0", full).await;
        let models = fleet.start("i-1", reporting(whole)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-0", "models", full);
        end.give(vec![lease(vec![leased("a", false)], true)]).await;
        tokio::time::pause();
        end.keep_alive(4).await;
        bench.ready("i-1", "models", models);
        end.keep_alive(1).await;
        assert!(fleet.seen.borrow().is_empty());
        end.sender.send(&FromStore::Renew { groups: vec![(0, 1)] });
        assert_eq!(outcomes(end.outcomes().await), [completed("a", "")]);
    });
}

#[test]
fn a_draining_transcriber_gets_nothing_new() {
    run(async {
        let (fleet, _) = Fleet::new();
        let draining = fleet.start("i-1", reporting(whole)).await;
        let models = fleet.start("i-2", reporting(whole)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", draining);
        bench.ready("i-2", "models", models);
        bench.announce("i-1", "models", draining, InstanceState::Draining, 2);
        let items = (0..6).map(|index| leased(&format!("a{index}"), false)).collect();
        end.give(vec![lease(items, true)]).await;
        let mut finished = 0;
        while finished < 6 {
            finished += outcomes(end.outcomes().await).len();
        }
        assert!(fleet.seen.borrow().iter().all(|seen| seen.transcriber == "i-2"));
    });
}

#[test]
fn an_item_without_a_route_here_is_handed_back() {
    run(async {
        let (bench, _store, mut end) = start(true).await;
        let (fleet, _) = Fleet::new();
        let models = fleet.start("i-1", reporting(whole)).await;
        bench.ready("i-1", "models", models);
        let mut item = leased("a", false);
        item.item.path = "/gone/3".to_owned();
        end.give(vec![lease(vec![item], true)]).await;
        tokio::time::pause();
        let returned = ItemOutcome::Returned {
            id: "a".to_owned(),
            failed_attempts: 0,
            failed_scorer_attempts: 0,
            partial: PartialText::default(),
        };
        assert_eq!(outcomes(end.outcomes().await), [returned]);
        assert!(fleet.seen.borrow().is_empty());
    });
}

#[test]
fn a_stop_hands_back_what_is_unfinished_with_its_text() {
    run(async {
        let (fleet, mut closed) = Fleet::new();
        let answer = |seen: &Seen| Reply::WriteAndHang([stream_head(&id(seen), 1), events(1, 2)].concat());
        let models = fleet.start("i-1", reporting(answer)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        end.give(vec![lease(vec![leased("a", false)], true)]).await;
        while fleet.seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        bench.runner.stop(Duration::from_millis(300)).await;
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

#[test]
fn no_work_is_asked_for_without_room() {
    run(async {
        let (_bench, _store, mut end) = start(true).await;
        end.sender.send(&FromStore::WorkAvailable);
        end.sender.send(&FromStore::Cancel { jobs: Vec::new() });
        // Without a transcriber there is no room: the next message is the keep-alive's announcement,
        // or nothing at all until the link is closed.
        end.sender.close();
        let messages = end.rest().await;
        assert!(!messages.iter().any(|message| matches!(message, ToStore::RequestWork { .. })));
    });
}

#[test]
fn the_own_zone_is_used_before_others_and_others_once_it_is_full() {
    run(async {
        let (fleet, _) = Fleet::new();
        let near = fleet.start("near", reporting(whole)).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("near", "models", near);
        for far in ["far-1", "far-2", "far-3"] {
            let address = fleet.start(far, reporting(whole)).await;
            bench.announce_in("y", far, "models", address, InstanceState::Ready, 1);
        }
        let items = |name: &str, count| (0..count).map(|n| leased(&format!("{name}{n}"), false)).collect();
        end.give(vec![lease(items("a", 4), true)]).await;
        let mut finished = 0;
        while finished < 4 {
            finished += outcomes(end.outcomes().await).len();
        }
        assert!(fleet.seen.borrow().iter().all(|seen| seen.transcriber == "near"));
        let full = |seen: &Seen| match seen.text.starts_with("GET /report") {
            true => Reply::Write(report(1, 8)),
            false => whole(seen),
        };
        let full = fleet.start("full", full).await;
        bench.announce("near", "models", near, InstanceState::Gone, 2);
        bench.ready("full", "models", full);
        fleet.seen.borrow_mut().clear();
        end.sender.send(&FromStore::WorkAvailable);
        end.give(vec![lease(items("b", 4), true)]).await;
        finished = 0;
        while finished < 4 {
            finished += outcomes(end.outcomes().await).len();
        }
        assert!(fleet.seen.borrow().iter().all(|seen| seen.transcriber.starts_with("far")));
    });
}

#[test]
fn scorers_that_tell_no_load_are_not_probed_again() {
    run(async {
        let (fleet, _) = Fleet::new();
        let models = fleet.start("i-1", reporting(whole)).await;
        let probes = Rc::new(Cell::new(0));
        let counted = probes.clone();
        let desk = move |seen: &Seen| {
            if seen.text.starts_with("GET /report") {
                counted.set(counted.get() + 1);
                return Reply::Write(plain(400, "", "not-executed: 1\r\n"));
            }
            Reply::Write(plain(200, &id(seen), "response-seal: seal\r\n"))
        };
        let desk = fleet.start("i-2", desk).await;
        let (bench, _store, mut end) = start(true).await;
        bench.ready("i-1", "models", models);
        bench.ready("i-2", "desk", desk);
        for name in ["a", "b", "c"] {
            end.sender.send(&FromStore::WorkAvailable);
            end.give(vec![lease(vec![leased(name, true)], true)]).await;
            assert_eq!(outcomes(end.outcomes().await), [completed(name, "seal")]);
        }
        assert_eq!(probes.get(), 1);
    });
}
