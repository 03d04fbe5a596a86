//! The module by hand-driven events: the mechanism and its limits.

use crate::node::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

const MS: u64 = 1_000_000;

#[test]
fn sends_to_the_first_probed_worker_with_capacity() {
    let mut node = Node::new(settings(), 6);
    node.request(1, 0);
    let probed = node.probes();
    assert_eq!(probed.len(), 1);
    node.report(probed[0], 2.0, 0.0);
    assert_eq!(node.sends(), vec![(1, probed[0])]);
}

#[test]
fn probes_further_if_the_first_is_full_and_picks_the_least_busy() {
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
fn spreads_first_probes_over_all_workers() {
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

/// In a crowd each job was probed for afresh four times, which cost a quarter of the result, and
/// what was sent at last was late.
#[test]
fn rejects_at_once_if_all_probed_are_full() {
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

/// Probes that broke, or found cold workers, ended rounds that had seen one worker.
#[test]
fn replaces_a_failed_probe_by_another() {
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

/// On calm days a free worker is worth a few more probes, in a crowd these only cost.
#[test]
fn probes_more_remote_workers_where_most_have_capacity() {
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
fn answers_before_the_deadline_and_cancels_the_attempt() {
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
fn answers_without_any_worker() {
    let mut node = Node::new(settings(), 0);
    node.request(1, UNSAFE);
    node.wait(Duration::from_secs(30));
    assert_eq!(node.finals(), vec![(1, "refuse")]);
}

#[test]
fn spreads_and_backs_off_discovery_polls() {
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
fn places_by_own_load_without_probes() {
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
fn ignores_unknown_requests_workers_and_timers() {
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
