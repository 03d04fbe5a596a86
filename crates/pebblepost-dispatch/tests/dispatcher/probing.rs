//! The module by hand-driven events: the mechanism and its limits.

use crate::node::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

const MS: u64 = 1_000_000;

#[test]
fn one_random_probe_precedes_the_job_and_a_free_worker_gets_it() {
    let mut node = Node::new(settings(), 6);
    node.request(1, 0);
    let probed = node.probes();
    assert_eq!(probed.len(), 1);
    node.report(probed[0], 2.0, 0.0);
    assert_eq!(node.sends(), vec![(1, probed[0])]);
}

#[test]
fn a_full_first_worker_leads_to_more_probes_and_the_fewest_busy_wins() {
    let mut node = Node::new(settings(), 6);
    node.learn_all(2.0);
    node.request(1, 0);
    let first = node.probes()[0];
    node.report(first, 0.0, 3.0);
    let more = node.probes();
    assert!(!more.is_empty(), "d-1 more are probed");
    assert!(node.sends().is_empty());
    for (i, worker) in more.iter().enumerate() {
        node.report(*worker, if i == 0 { 2.0 } else { 1.0 }, 0.0);
    }
    assert_eq!(node.sends(), vec![(1, more[0])]);
}

#[test]
fn first_probes_are_spread_over_all_workers() {
    let mut node = Node::new(settings(), 6);
    let mut seen = std::collections::BTreeSet::new();
    for id in 0..200 {
        node.request(id, 0);
        let worker = node.probes()[0];
        seen.insert(worker);
        node.report(worker, 2.0, 0.0);
        node.outcome(id, 0, worker, Status::Ok, true);
        node.actions.clear();
    }
    assert_eq!(seen.len(), 6);
}

/// kumamoto-main: in a crowd each job was probed for afresh four times, which cost a quarter of the result, and
/// what was sent at last was late.
#[test]
fn who_finds_all_too_full_is_refused_at_once() {
    let mut node = Node::new(settings(), 16);
    node.learn_all(2.0);
    node.request(1, SAFE);
    let mut probed = 0;
    for _ in 0..4 {
        let asked = node.probes();
        probed += asked.len();
        asked.into_iter().for_each(|worker| node.report(worker, 0.0, 9.0));
    }
    assert_eq!(node.finals(), vec![(1, "refuse")]);
    assert!(probed <= 5, "{probed} probes");
    // No report is no sign of a crowd: a fresh round follows.
    node.actions.clear();
    node.request(2, SAFE);
    for _ in 0..8 {
        node.probes().into_iter().for_each(|worker| node.probe_failed(worker));
    }
    assert!(node.finals().is_empty());
    assert!(
        node.wait_for(|action| matches!(action, Action::Probe { .. }), Duration::from_millis(100)).is_some()
    );
    let again = node.probes()[0];
    node.report(again, 2.0, 0.0);
    assert_eq!(node.sends(), vec![(2, again)]);
}

/// kumamoto-main, reset: probes that broke, or found cold workers, ended rounds that had seen one worker.
#[test]
fn another_is_probed_in_place_of_one_that_takes_no_part() {
    let mut node = Node::new(settings(), 6);
    node.learn_all(2.0);
    node.request(1, SAFE);
    let first = node.probes()[0];
    node.report(first, 0.0, 9.0);
    let second = node.probes()[0];
    node.probe_failed(second);
    let third = node.probes();
    assert!(third.len() == 1 && third[0] != second && third[0] != first, "{third:?}");
    node.report(third[0], 2.0, 0.0);
    assert_eq!(node.sends(), vec![(1, third[0])]);
}

/// kumamoto-main: on calm days a free worker is worth a few more probes, in a crowd these only cost.
#[test]
fn more_are_probed_away_where_most_workers_have_room() {
    let mut settings = settings();
    settings.prices.cross_zone = 0.1;
    let away = |free: f32| {
        let mut node = Node::new(settings.clone(), 16);
        node.learn_all(4.0);
        for id in 0..100 {
            node.request(id, SAFE);
            for _ in 0..4 {
                node.probes()
                    .into_iter()
                    .for_each(|worker| node.report(worker, free, 9.0 * f32::from(free == 0.0)));
            }
            for (id, worker) in node.sends() {
                node.outcome(id, 0, worker, Status::Ok, true);
            }
            node.actions.clear();
        }
        node.request(1000, SAFE);
        let mut away = 0;
        for _ in 0..2 {
            node.probes().into_iter().for_each(|worker| node.report(worker, 0.0, 9.0));
        }
        away += node.probes().iter().filter(|worker| *worker % 2 == 1).count();
        away
    };
    assert_eq!((away(4.0), away(0.0)), (3, 1));
}

#[test]
fn a_request_is_answered_before_its_deadline_and_its_attempt_called_back() {
    let mut node = Node::new(settings(), 2);
    let worker = node.place(1, SAFE);
    node.wait(Duration::from_secs(5));
    assert_eq!(node.finals(), vec![(1, "refuse")]);
    assert!(node.actions.contains(&Action::Cancel { id: RequestId(1), attempt: AttemptNo(0) }));
    assert!(node.last_final_at <= Time(START.0 + 5_000 * MS));
    node.outcome(1, 0, worker, Status::Cancelled, true);
    node.wait(Duration::from_secs(5));
    assert!(node.sends().is_empty() && node.finals().is_empty());
}

#[test]
fn with_no_workers_a_request_is_still_answered() {
    let mut node = Node::new(settings(), 0);
    node.request(1, UNSAFE);
    node.wait(Duration::from_secs(30));
    assert_eq!(node.finals(), vec![(1, "refuse")]);
}

#[test]
fn where_discovery_is_asked_calls_are_spread_out_and_backed_off() {
    let mut settings = settings();
    settings.discovery = Discovery::Poll;
    let mut at = Vec::new();
    for seed in 0..8 {
        let mut node = Node::seeded(settings.clone(), 2, seed);
        let first = node.wait_for(|action| matches!(action, Action::Watch), settings.max_discovery_interval);
        at.push(first.expect("asked within the stated time"));
        node.actions.clear();
        node.event(Event::Members { kind: ListKind::Failed, entries: vec![] });
        assert!(!node.actions.contains(&Action::Watch), "not at once");
        assert!(
            node.wait_for(|action| matches!(action, Action::Watch), settings.max_discovery_interval)
                .is_some()
        );
        node.event(Event::Members { kind: ListKind::Delta, entries: vec![] });
        node.actions.clear();
        assert!(
            node.wait_for(|action| matches!(action, Action::Watch), settings.max_discovery_interval)
                .is_none(),
            "subscribed"
        );
    }
    at.sort();
    at.dedup();
    assert!(at.len() > 4, "nodes ask at different times");
}

#[test]
fn without_probes_own_load_decides() {
    let mut settings = settings();
    settings.probing_enabled = false;
    let mut node = Node::new(settings, 4);
    for id in 0..4 {
        node.request(id, SAFE);
    }
    assert!(node.probes().is_empty());
    assert_eq!(node.sends().len(), 4);
}

#[test]
fn unknown_requests_workers_and_timers_are_ignored() {
    let mut node = Node::new(settings(), 2);
    node.actions.clear();
    node.outcome(77, 3, 99, Status::Ok, true);
    node.event(Event::ClientGone { id: RequestId(5) });
    node.event(Event::TimerDue { token: TimerToken(u64::MAX) });
    node.event(Event::TimerDue { token: TimerToken((3 << 56) | 1234) });
    node.event(Event::Started { id: RequestId(5), attempt: AttemptNo(9) });
    node.event(Event::Probed {
        worker: WorkerId(99),
        status: Status::Ok,
        latency: Duration::ZERO,
        report: vec![],
    });
    assert!(node.actions.is_empty());
}
