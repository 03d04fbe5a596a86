//! The module by hand-driven events: the mechanism and its limits.

mod common;
use common::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

const MS: u64 = 1_000_000;

#[test]
fn one_random_probe_precedes_the_job_and_a_free_worker_gets_it() {
    let mut n = Node::new(settings(), 6);
    n.request(1, 0);
    let probed = n.probes();
    assert_eq!(probed.len(), 1);
    n.report(probed[0], 2.0, 0.0);
    assert_eq!(n.sends(), vec![(1, probed[0])]);
}

#[test]
fn a_full_first_worker_leads_to_more_probes_and_the_fewest_busy_wins() {
    let mut n = Node::new(settings(), 6);
    n.learn_all(2.0);
    n.request(1, 0);
    let first = n.probes()[0];
    n.report(first, 0.0, 3.0);
    let more = n.probes();
    assert!(!more.is_empty(), "d-1 more are probed");
    assert!(n.sends().is_empty());
    for (i, w) in more.iter().enumerate() {
        n.report(*w, if i == 0 { 2.0 } else { 1.0 }, 0.0);
    }
    assert_eq!(n.sends(), vec![(1, more[0])]);
}

#[test]
fn first_probes_are_spread_over_all_workers() {
    let mut n = Node::new(settings(), 6);
    let mut seen = std::collections::BTreeSet::new();
    for id in 0..200 {
        n.request(id, 0);
        let w = n.probes()[0];
        seen.insert(w);
        n.report(w, 2.0, 0.0);
        n.outcome(id, 0, w, Status::Ok, true);
        n.actions.clear();
    }
    assert_eq!(seen.len(), 6);
}

/// kumamoto-main: in a crowd each job was probed for afresh four times, which cost a quarter of the result, and
/// what was sent at last was late.
#[test]
fn who_finds_all_too_full_is_refused_at_once() {
    let mut n = Node::new(settings(), 16);
    n.learn_all(2.0);
    n.request(1, SAFE);
    let mut probed = 0;
    for _ in 0..4 {
        let asked = n.probes();
        probed += asked.len();
        asked.into_iter().for_each(|w| n.report(w, 0.0, 9.0));
    }
    assert_eq!(n.finals(), vec![(1, "refuse")]);
    assert!(probed <= 5, "{probed} probes");
    // No report is no sign of a crowd: a fresh round follows.
    n.actions.clear();
    n.request(2, SAFE);
    for _ in 0..8 {
        n.probes().into_iter().for_each(|w| n.probe_failed(w));
    }
    assert!(n.finals().is_empty());
    assert!(n.wait_for(|a| matches!(a, Action::Probe { .. }), Duration::from_millis(100)).is_some());
    let again = n.probes()[0];
    n.report(again, 2.0, 0.0);
    assert_eq!(n.sends(), vec![(2, again)]);
}

/// kumamoto-main, reset: probes that broke, or found cold workers, ended rounds that had seen one worker.
#[test]
fn another_is_probed_in_place_of_one_that_takes_no_part() {
    let mut n = Node::new(settings(), 6);
    n.learn_all(2.0);
    n.request(1, SAFE);
    let first = n.probes()[0];
    n.report(first, 0.0, 9.0);
    let second = n.probes()[0];
    n.probe_failed(second);
    let third = n.probes();
    assert!(third.len() == 1 && third[0] != second && third[0] != first, "{third:?}");
    n.report(third[0], 2.0, 0.0);
    assert_eq!(n.sends(), vec![(1, third[0])]);
}

/// kumamoto-main: on calm days a free worker is worth a few more probes, in a crowd these only cost.
#[test]
fn more_are_probed_away_where_most_workers_have_room() {
    let mut s = settings();
    s.prices.cross_zone = 0.1;
    let away = |free: f32| {
        let mut n = Node::new(s.clone(), 16);
        n.learn_all(4.0);
        for id in 0..100 {
            n.request(id, SAFE);
            for _ in 0..4 {
                n.probes().into_iter().for_each(|w| n.report(w, free, 9.0 * f32::from(free == 0.0)));
            }
            for (id, w) in n.sends() {
                n.outcome(id, 0, w, Status::Ok, true);
            }
            n.actions.clear();
        }
        n.request(1000, SAFE);
        let mut away = 0;
        for _ in 0..2 {
            n.probes().into_iter().for_each(|w| n.report(w, 0.0, 9.0));
        }
        away += n.probes().iter().filter(|w| *w % 2 == 1).count();
        away
    };
    assert_eq!((away(4.0), away(0.0)), (3, 1));
}

#[test]
fn a_request_is_answered_before_its_deadline_and_its_attempt_called_back() {
    let mut n = Node::new(settings(), 2);
    let w = n.place(1, SAFE);
    n.wait(Duration::from_secs(5));
    assert_eq!(n.finals(), vec![(1, "refuse")]);
    assert!(n.actions.contains(&Action::Cancel { id: RequestId(1), attempt: AttemptNo(0) }));
    assert!(n.last_final_at <= Time(START.0 + 5_000 * MS));
    n.outcome(1, 0, w, Status::Cancelled, true);
    n.wait(Duration::from_secs(5));
    assert!(n.sends().is_empty() && n.finals().is_empty());
}

#[test]
fn with_no_workers_a_request_is_still_answered() {
    let mut n = Node::new(settings(), 0);
    n.request(1, UNSAFE);
    n.wait(Duration::from_secs(30));
    assert_eq!(n.finals(), vec![(1, "refuse")]);
}

#[test]
fn where_discovery_is_asked_calls_are_spread_out_and_backed_off() {
    let mut s = settings();
    s.discovery = Discovery::Poll;
    let mut at = Vec::new();
    for seed in 0..8 {
        let mut n = Node::seeded(s.clone(), 2, seed);
        let first = n.wait_for(|a| matches!(a, Action::Watch), s.max_discovery_interval);
        at.push(first.expect("asked within the stated time"));
        n.actions.clear();
        n.event(Event::Members { kind: ListKind::Failed, entries: vec![] });
        assert!(!n.actions.contains(&Action::Watch), "not at once");
        assert!(n.wait_for(|a| matches!(a, Action::Watch), s.max_discovery_interval).is_some());
        n.event(Event::Members { kind: ListKind::Delta, entries: vec![] });
        n.actions.clear();
        assert!(n.wait_for(|a| matches!(a, Action::Watch), s.max_discovery_interval).is_none(), "subscribed");
    }
    at.sort();
    at.dedup();
    assert!(at.len() > 4, "nodes ask at different times");
}

#[test]
fn without_probes_own_load_decides() {
    let mut s = settings();
    s.probing_enabled = false;
    let mut n = Node::new(s, 4);
    for id in 0..4 {
        n.request(id, SAFE);
    }
    assert!(n.probes().is_empty());
    assert_eq!(n.sends().len(), 4);
}

#[test]
fn unknown_requests_workers_and_timers_are_ignored() {
    let mut n = Node::new(settings(), 2);
    n.actions.clear();
    n.outcome(77, 3, 99, Status::Ok, true);
    n.event(Event::ClientGone { id: RequestId(5) });
    n.event(Event::TimerDue { token: TimerToken(u64::MAX) });
    n.event(Event::TimerDue { token: TimerToken((3 << 56) | 1234) });
    n.event(Event::Started { id: RequestId(5), attempt: AttemptNo(9) });
    n.event(Event::Probed {
        worker: WorkerId(99),
        status: Status::Ok,
        latency: Duration::ZERO,
        report: vec![],
    });
    assert!(n.actions.is_empty());
}
