//! Probing, answers before the deadline, and discovery.

use crate::node::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

const MS: u64 = 1_000_000;

#[test]
fn sends_to_the_first_probed_worker_if_it_has_capacity() {
    let mut node = Node::new(settings(), 6);
    node.request(1, 0);
    let probed = node.take_probes();
    assert_eq!(probed.len(), 1);
    node.report(probed[0], 2.0, 0.0);
    assert_eq!(node.sends(), vec![(1, probed[0])]);
}

#[test]
fn probes_more_workers_if_the_first_is_full_and_sends_to_the_least_busy() {
    let mut node = Node::new(settings(), 6);
    node.report_all_workers(2.0);
    node.request(1, 0);
    let first = node.take_probes()[0];
    node.report(first, 0.0, 3.0);
    let more = node.take_probes();
    assert!(!more.is_empty(), "expected d-1 more probes after a full report");
    assert!(node.sends().is_empty());
    for (i, worker) in more.iter().enumerate() {
        node.report(*worker, if i == 0 { 2.0 } else { 1.0 }, 0.0);
    }
    assert_eq!(node.sends(), vec![(1, more[0])]);
}

#[test]
fn spreads_first_probes_over_all_workers() {
    let mut node = Node::new(settings(), 6);
    let mut probed_workers = std::collections::BTreeSet::new();
    for id in 0..200 {
        node.request(id, 0);
        let worker = node.take_probes()[0];
        probed_workers.insert(worker);
        node.report(worker, 2.0, 0.0);
        node.outcome(id, 0, worker, Status::Ok, true);
        node.actions.clear();
    }
    assert_eq!(probed_workers.len(), 6);
}

/// Guards against repeated probing under overload: each job went through four rounds of probes, which lowered the
/// result of the run by a quarter, and jobs that were sent in the end were late.
#[test]
fn rejects_a_request_at_once_if_all_probed_workers_are_full() {
    let mut node = Node::new(settings(), 16);
    node.report_all_workers(2.0);
    node.request(1, IDEMPOTENT);
    let mut probed = 0;
    for _ in 0..4 {
        let asked = node.take_probes();
        probed += asked.len();
        asked.into_iter().for_each(|worker| node.report(worker, 0.0, 9.0));
    }
    assert_eq!(node.final_answers(), vec![(1, "refuse")]);
    assert!(probed <= 5, "{probed} probes");
    // A missing report is no sign of overload, so another round of probes follows.
    node.actions.clear();
    node.request(2, IDEMPOTENT);
    for _ in 0..8 {
        node.take_probes().into_iter().for_each(|worker| node.probe_failed(worker));
    }
    assert!(node.final_answers().is_empty());
    assert!(
        node.run_until(|action| matches!(action, Action::Probe { .. }), Duration::from_millis(100)).is_some()
    );
    let again = node.take_probes()[0];
    node.report(again, 2.0, 0.0);
    assert_eq!(node.sends(), vec![(2, again)]);
}

/// Guards against rounds of probes that ended after a single report because the other probes failed or found cold
/// workers.
#[test]
fn replaces_a_failed_probe_by_a_probe_of_another_worker() {
    let mut node = Node::new(settings(), 6);
    node.report_all_workers(2.0);
    node.request(1, IDEMPOTENT);
    let first = node.take_probes()[0];
    node.report(first, 0.0, 9.0);
    let second = node.take_probes()[0];
    node.probe_failed(second);
    let third = node.take_probes();
    assert!(third.len() == 1 && third[0] != second && third[0] != first, "{third:?}");
    node.report(third[0], 2.0, 0.0);
    assert_eq!(node.sends(), vec![(1, third[0])]);
}

/// More probes of workers in other zones pay off while most workers have capacity. Under overload they only add cost.
#[test]
fn probes_more_remote_workers_while_most_workers_have_capacity() {
    let mut settings = settings();
    settings.prices.cross_zone = 0.1;
    let remote_probes = |free: f32| {
        let mut node = Node::new(settings.clone(), 16);
        node.report_all_workers(4.0);
        for id in 0..100 {
            node.request(id, IDEMPOTENT);
            for _ in 0..4 {
                node.take_probes()
                    .into_iter()
                    .for_each(|worker| node.report(worker, free, 9.0 * f32::from(free == 0.0)));
            }
            for (id, worker) in node.sends() {
                node.outcome(id, 0, worker, Status::Ok, true);
            }
            node.actions.clear();
        }
        node.request(1000, IDEMPOTENT);
        for _ in 0..2 {
            node.take_probes().into_iter().for_each(|worker| node.report(worker, 0.0, 9.0));
        }
        node.take_probes().iter().filter(|worker| *worker % 2 == 1).count()
    };
    assert_eq!((remote_probes(4.0), remote_probes(0.0)), (3, 1));
}

#[test]
fn rejects_before_the_deadline_and_cancels_the_attempt() {
    let mut node = Node::new(settings(), 2);
    let worker = node.send_to_first_probed(1, IDEMPOTENT);
    node.run_for(Duration::from_secs(5));
    assert_eq!(node.final_answers(), vec![(1, "refuse")]);
    assert!(node.actions.contains(&Action::Cancel { id: RequestId(1), attempt: AttemptNo(0) }));
    assert!(node.last_final_answer_at <= Time(START.0 + 5_000 * MS));
    node.outcome(1, 0, worker, Status::Cancelled, true);
    node.run_for(Duration::from_secs(5));
    assert!(node.sends().is_empty() && node.final_answers().is_empty());
}

#[test]
fn rejects_a_request_without_any_worker() {
    let mut node = Node::new(settings(), 0);
    node.request(1, NON_IDEMPOTENT);
    node.run_for(Duration::from_secs(30));
    assert_eq!(node.final_answers(), vec![(1, "refuse")]);
}

#[test]
fn spreads_discovery_polls_over_nodes_and_retries_a_failed_poll_later() {
    let mut settings = settings();
    settings.discovery = Discovery::Poll;
    let mut first_polls = Vec::new();
    for seed in 0..8 {
        let mut node = Node::seeded(settings.clone(), 2, seed);
        let first = node.run_until(|action| matches!(action, Action::Watch), settings.max_discovery_interval);
        first_polls.push(first.expect("a poll within the maximum interval"));
        node.actions.clear();
        node.handle(Event::Members { kind: ListKind::Failed, entries: vec![] });
        assert!(!node.actions.contains(&Action::Watch), "a failed poll must not be retried at once");
        assert!(
            node.run_until(|action| matches!(action, Action::Watch), settings.max_discovery_interval)
                .is_some()
        );
        node.handle(Event::Members { kind: ListKind::Delta, entries: vec![] });
        node.actions.clear();
        assert!(
            node.run_until(|action| matches!(action, Action::Watch), settings.max_discovery_interval)
                .is_none(),
            "a node with a subscription must not poll"
        );
    }
    first_polls.sort();
    first_polls.dedup();
    assert!(first_polls.len() > 4, "{} of 8 nodes poll at different times", first_polls.len());
}

#[test]
fn places_by_own_load_when_probing_is_disabled() {
    let mut settings = settings();
    settings.probing_enabled = false;
    let mut node = Node::new(settings, 4);
    for id in 0..4 {
        node.request(id, IDEMPOTENT);
    }
    assert!(node.take_probes().is_empty());
    assert_eq!(node.sends().len(), 4);
}

#[test]
fn ignores_events_of_unknown_requests_workers_and_timers() {
    let mut node = Node::new(settings(), 2);
    node.actions.clear();
    node.outcome(77, 3, 99, Status::Ok, true);
    node.handle(Event::ClientGone { id: RequestId(5) });
    node.handle(Event::TimerDue { token: TimerToken(u64::MAX) });
    node.handle(Event::TimerDue { token: TimerToken((3 << 56) | 1234) });
    node.handle(Event::Started { id: RequestId(5), attempt: AttemptNo(9) });
    node.handle(Event::Probed {
        worker: WorkerId(99),
        status: Status::Ok,
        latency: Duration::ZERO,
        report: vec![],
    });
    assert!(node.actions.is_empty());
}
