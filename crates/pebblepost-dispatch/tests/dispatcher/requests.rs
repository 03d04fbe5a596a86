//! The module by hand-driven events: what a request's class, key, tenant and hint ask for.

use crate::node::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

#[test]
fn fails_a_non_idempotent_job_that_may_have_run() {
    let mut node = Node::new(settings(), 4);
    let worker = node.send_to_first_probed(1, NON_IDEMPOTENT);
    node.outcome(1, 0, worker, Status::Reset, false);
    assert_eq!(node.final_answers(), vec![(1, "fail")]);
    node.run_for(Duration::from_secs(10));
    assert!(node.sends().is_empty());
}

#[test]
fn retries_a_non_idempotent_job_that_never_ran() {
    let mut node = Node::new(settings(), 4);
    let worker = node.send_to_first_probed(1, NON_IDEMPOTENT);
    node.outcome(1, 0, worker, Status::Full, false);
    let again = node.take_probes();
    assert_eq!(again.len(), 1, "a fresh random probe");
    assert_ne!(again[0], worker);
    node.report(again[0], 2.0, 0.0);
    assert_eq!(node.sends(), vec![(1, again[0])]);
}

#[test]
fn retries_a_deduplicated_job_in_its_zone_and_window() {
    let mut node = Node::new(settings(), 8);
    let worker = node.send_to_first_probed(1, DEDUPLICATED);
    node.outcome(1, 0, worker, Status::Error, false);
    for probed in node.take_probes() {
        assert_eq!(probed % 2, worker % 2, "workers of even and odd number lie in different zones");
        node.report(probed, 2.0, 0.0);
    }
    let sent = node.sends();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1 % 2, worker % 2);

    let mut settings = settings();
    settings.classes[DEDUPLICATED].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: Duration::from_millis(50) };
    let mut node = Node::new(settings, 8);
    let worker = node.send_to_first_probed(1, DEDUPLICATED);
    node.advance_clock(Duration::from_millis(60));
    node.outcome(1, 0, worker, Status::Error, false);
    assert_eq!(node.final_answers(), vec![(1, "fail")], "past the window it may run twice");
}

/// hamilton-signing kept 110 connections open at each server, which it pays for, to save handshakes.
#[test]
fn draws_from_a_subset_where_connections_are_priced() {
    let used = |connection: f64| {
        let mut settings = settings();
        settings.prices.handshake = 0.1;
        settings.prices.connection = connection;
        settings.nodes = 200;
        settings.keepalive = Duration::from_secs(60);
        let mut node = Node::new(settings, 64);
        let mut seen = std::collections::BTreeSet::new();
        for id in 0..400 {
            node.request(id, IDEMPOTENT);
            let worker = node.take_probes()[0];
            node.report(worker, 2.0, 0.0);
            node.outcome(id, 0, worker, Status::Ok, true);
            node.run_for(Duration::from_millis(250));
            if id >= 200 {
                seen.insert(worker);
            }
        }
        seen.len()
    };
    assert!(used(0.0) > 50, "four requests a second reuse a connection to each within the keep-alive");
    assert_eq!(used(0.1), 8);
}

/// Incident i76a86a of pusat-shah-alam: reports tell jobs held but no queue, and workers with twenty
/// waiting were taken to have one ahead.
#[test]
fn counts_jobs_beyond_the_busy_slots_as_queued() {
    let sent = |held: f32| {
        let mut settings = settings();
        settings.report_fields = vec![ReportField::InFlight, ReportField::FreeSlots];
        let report = |node: &mut Node, worker: u32, held: f32, free: f32| {
            let (worker, latency) = (WorkerId(worker), Duration::from_millis(1));
            node.handle(Event::Probed { worker, status: Status::Ok, latency, report: vec![held, free] });
        };
        let mut node = Node::new(settings, 4);
        for worker in (0..4).chain(0..4) {
            report(&mut node, worker, 0.0, 4.0);
        }
        node.request(1, IDEMPOTENT);
        for _ in 0..4 {
            node.take_probes().into_iter().for_each(|worker| report(&mut node, worker, held, 0.0));
        }
        node.sends().len()
    };
    assert_eq!((sent(4.0), sent(24.0)), (1, 0), "one ahead is fine, twenty are not");
}

/// Four jobs in ten waited though the report had shown room; their waits were taken for
/// service, which made the node patient beyond reason.
#[test]
fn excludes_waiting_from_service_time_where_starts_are_reported() {
    let patient = |started_after: u64| {
        let mut settings = settings();
        settings.start_reported = true;
        let mut node = Node::new(settings, 2);
        node.report_all_workers(2.0);
        for id in 0..100 {
            node.run_for(Duration::from_millis(2));
            let worker = node.send_to_first_probed(id, NON_IDEMPOTENT);
            node.advance_clock(Duration::from_millis(started_after));
            node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) });
            node.advance_clock(Duration::from_millis(3000 - started_after));
            node.handle(Event::Outcome {
                id: RequestId(id),
                attempt: AttemptNo(0),
                worker: WorkerId(worker),
                status: Status::Ok,
                latency: Duration::from_secs(3),
                closed: true,
                report: vec![],
            });
        }
        // Whether a request queues where all slots are busy and one job waits.
        node.actions.clear();
        node.request(1000, NON_IDEMPOTENT);
        for _ in 0..4 {
            node.take_probes().into_iter().for_each(|worker| node.report(worker, 0.0, 1.0));
        }
        node.sends().len()
    };
    assert_eq!((patient(2950), patient(0)), (1, 0), "jobs of 0.05 s and of 3 s");
}

/// One patience for all sent heavy jobs to workers too slow for them, and gave up others that
/// had seconds left.
#[test]
fn places_a_job_where_it_ends_in_time_by_its_hint() {
    let mut settings = settings();
    (settings.start_reported, settings.classes[IDEMPOTENT].latency_stretch) = (true, 2.0);
    let mut node = Node::new(settings, 2);
    node.report_all_workers(2.0);
    (0..200).for_each(|id| run_hinted_job(&mut node, id, |_| 150));
    // Jobs run half longer than hinted: one of 3 s ends in time, and may even wait; one of 4 s never does.
    let goes = |node: &mut Node, id, ms, queue| {
        node.request_with_hint(id, ms, 1.0);
        for _ in 0..3 {
            node.take_probes()
                .into_iter()
                .for_each(|worker| node.report(worker, if queue > 0.0 { 0.0 } else { 2.0 }, queue));
        }
        let sent = node.sends().len();
        node.handle(Event::ClientGone { id: RequestId(id) });
        sent
    };
    assert_eq!((goes(&mut node, 1000, 3000, 0.0), goes(&mut node, 1001, 4000, 0.0)), (1, 0));
    assert_eq!((goes(&mut node, 1002, 2000, 9.0), goes(&mut node, 1003, 100, 9.0)), (1, 0));
}

/// Reports tell no queue, so a worker with a long one looked like any other that is full.
#[test]
fn expects_the_wait_of_a_job_that_has_not_started() {
    let sent_after = |ms: u64| {
        let mut settings = settings();
        (settings.start_reported, settings.report_fields) = (true, vec![ReportField::FreeSlots]);
        (settings.nodes, settings.classes[IDEMPOTENT].latency_target) = (1, Duration::from_millis(600));
        let mut node = Node::new(settings, 1);
        let full = |node: &mut Node, free: f32| {
            node.take_probes().into_iter().for_each(|worker| node.report_free(worker, free));
        };
        for id in 0..4 {
            node.request_with_hint(id, 100, 1.0);
            full(&mut node, 2.0);
            if id < 2 {
                node.outcome(id, 0, 0, Status::Ok, true);
            }
        }
        // Two are out; neither has started.
        node.advance_clock(Duration::from_millis(ms));
        node.request_with_hint(9, 100, 1.0);
        (0..3).for_each(|_| full(&mut node, 0.0));
        node.sends().len()
    };
    assert_eq!((sent_after(20), sent_after(900)), (1, 0));
}

/// Jobs ran up to a second longer than by their hint, as what they needed had to be fetched.
#[test]
fn draws_alike_for_a_key_at_every_node() {
    let first = |seed: u64, key: u64, failed: Option<u32>| {
        let mut node = Node::seeded(settings(), 8, seed);
        if let Some(worker) = failed {
            node.request_with_key(1, NON_IDEMPOTENT, key);
            node.take_probes();
            node.report(worker, 2.0, 0.0);
            node.outcome(1, 0, worker, Status::Error, false);
            node.actions.clear();
        }
        node.request_with_key(2, IDEMPOTENT, key);
        node.take_probes()[0]
    };
    let all: Vec<u32> = (1..=64).map(|key| first(7, key, None)).collect();
    assert_eq!(all, (1..=64).map(|key| first(8, key, None)).collect::<Vec<_>>());
    let spread: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(spread.len(), 8, "keys are spread over all workers");
    assert_ne!(first(7, 1, Some(all[0])), all[0], "a suspect is passed over");
}

/// An unsafe job may be running: it is neither called back nor sent again.
#[test]
fn does_not_cancel_a_non_idempotent_job_that_has_not_started() {
    let mut settings = settings();
    settings.start_reported = true;
    let mut node = Node::new(settings, 1);
    node.send_to_first_probed(1, IDEMPOTENT);
    node.handle(Event::Started { id: RequestId(1), attempt: AttemptNo(0) });
    node.outcome(1, 0, 0, Status::Ok, true);
    node.run_for(Duration::from_secs(4));
    node.send_to_first_probed(2, NON_IDEMPOTENT);
    node.run_for(Duration::from_millis(300));
    node.report(0, 2.0, 0.0);
    let touched =
        node.actions.iter().any(|action| matches!(action, Action::Cancel { .. } | Action::Send { .. }));
    assert!(!touched, "{:?}", node.actions);
}

/// pusat-shah-alam: view-refills went to floors that are not open to it, on every day.
#[test]
fn sends_a_restricted_class_to_permitted_workers_only() {
    for probing in [true, false] {
        for crossing in [0.0, 0.1] {
            let mut settings = settings();
            settings.probing_enabled = probing;
            settings.prices.cross_zone = crossing; // Its own zone is 0: all that is permitted lies away.
            settings.classes[IDEMPOTENT].only_zones = Some(vec![ZoneId(1)]);
            let mut node = Node::new(settings, 6);
            let mut sent = 0;
            for id in 0..60 {
                node.request(id, IDEMPOTENT);
                for status in [Status::Full, Status::Error, Status::Timeout] {
                    for worker in node.take_probes() {
                        assert_eq!(worker % 2, 1, "probed to be sent to");
                        node.report(worker, 2.0, 0.0);
                    }
                    for (of, worker) in node.sends() {
                        assert_eq!(worker % 2, 1, "attempt {} went to zone 0", node.attempts[&of]);
                        sent += 1;
                        node.outcome(of, node.attempts[&of] - 1, worker, status, false);
                    }
                }
                node.run_for(Duration::from_millis(200));
                node.actions.clear();
            }
            assert!(sent > 60, "{sent} attempts");
        }
    }
}

#[test]
fn rejects_a_restricted_class_without_a_permitted_worker() {
    let cases = [
        (Some(vec![KindId(1)]), Some(vec![ZoneId(0)])), // All are of kind 0.
        (Some(vec![]), None),
        (None, Some(vec![ZoneId(7)])),
        (Some(vec![KindId(0)]), Some(vec![])),
    ];
    for (kinds, zones) in cases {
        let mut settings = settings();
        (settings.classes[NON_IDEMPOTENT].only_kinds, settings.classes[NON_IDEMPOTENT].only_zones) =
            (kinds, zones);
        let mut node = Node::new(settings, 6);
        node.request(1, NON_IDEMPOTENT);
        node.run_for(Duration::from_secs(5));
        assert!(node.take_probes().is_empty() && node.sends().is_empty());
        assert_eq!(node.final_answers(), vec![(1, "refuse")]);
    }
}

/// The list may say otherwise by the time the probe comes back.
#[test]
fn sends_nothing_to_a_worker_that_left_the_permitted_zone() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT].only_zones = Some(vec![ZoneId(1)]);
    let mut node = Node::new(settings, 2);
    node.request(1, IDEMPOTENT);
    assert_eq!(node.take_probes(), [1]);
    node.handle(Event::Members {
        kind: ListKind::Delta,
        entries: vec![Entry {
            worker: WorkerId(1),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: WorkerState::Ready,
            name: 0,
            started: None,
        }],
    });
    node.report(1, 2.0, 0.0);
    node.run_for(Duration::from_secs(5));
    assert!(node.sends().is_empty());
    assert_eq!(node.final_answers(), vec![(1, "refuse")]);
}

/// hamilton-signing: sign-submit was sent again after 'full', on every day.
#[test]
fn counts_full_as_a_possible_run_where_it_is_no_proof() {
    let mut settings = settings();
    settings.full_may_have_run = true;
    let mut node = Node::new(settings.clone(), 8);
    let worker = node.send_to_first_probed(1, NON_IDEMPOTENT);
    node.outcome(1, 0, worker, Status::Full, false);
    assert_eq!(node.final_answers(), vec![(1, "fail")], "neither sent again nor refused, and at once");
    node.run_for(Duration::from_secs(5));
    assert!(node.take_probes().is_empty() && node.sends().is_empty());

    let worker = node.send_to_first_probed(2, DEDUPLICATED);
    node.advance_clock(Duration::from_millis(20));
    node.outcome(2, 0, worker, Status::Full, false);
    for probed in node.take_probes() {
        assert_eq!(probed % 2, worker % 2, "inside the zone of the first attempt");
        node.report(probed, 2.0, 0.0);
    }
    let sent = node.sends();
    assert_eq!((sent.len(), sent[0].1 % 2), (1, worker % 2));
    node.outcome(2, 1, sent[0].1, Status::ConnectFailed, false);
    node.run_for(Duration::from_secs(5));
    assert_eq!(node.final_answers(), vec![(2, "fail")]);

    let worker = node.send_to_first_probed(3, IDEMPOTENT);
    node.outcome(3, 0, worker, Status::Full, false);
    assert_eq!(node.take_probes().len(), 1, "a safe job goes on");

    settings.classes[DEDUPLICATED].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: Duration::from_millis(50) };
    let mut node = Node::new(settings, 8);
    let worker = node.send_to_first_probed(4, DEDUPLICATED);
    node.advance_clock(Duration::from_millis(60));
    node.outcome(4, 0, worker, Status::Full, false);
    node.run_for(Duration::from_millis(10));
    assert_eq!((node.sends().len(), node.final_answers()), (0, vec![(4, "refuse")]), "its window is over");
}

/// Twelve servers that had restarted at once fell within a second, seconds before
/// the list told of it, and stayed down. Workers whose connections now and then broke were
/// all taken to have just started, and nearly every job was refused; one failure is no sign of a restart.
#[test]
fn starts_slowly_with_a_worker_heard_again_after_an_outage() {
    let reset = Status::Reset;
    for (ended, failures, most) in
        [(reset, 2, 2), (Status::ConnectFailed, 2, 2), (Status::Timeout, 2, 300), (reset, 1, 300)]
    {
        let mut settings = settings();
        settings.nodes = 1000;
        let mut node = Node::new(settings, 1);
        node.report_all_workers(3.0);
        node.run_for(Duration::from_secs(1));
        node.request(1000, IDEMPOTENT);
        node.take_probes();
        let (worker, latency) = (WorkerId(0), Duration::from_millis(1));
        for _ in 0..failures {
            node.handle(Event::Probed { worker, status: ended, latency, report: vec![] });
        }
        node.run_for(Duration::from_secs(5));
        node.actions.clear();
        let mut sent = 0;
        for id in 0..300 {
            node.request(id, IDEMPOTENT);
            node.report(0, 3.0, 0.0);
            for (id, worker) in node.sends() {
                sent += 1;
                node.outcome(id, 0, worker, Status::Ok, true);
            }
            node.run_for(Duration::from_millis(20));
        }
        assert!(sent <= most && (most < 300 || sent > 200), "{ended:?}: {sent} of 300");
    }
}

/// Refused clients came back with their time used up and took the places of others.
#[test]
fn rejects_a_client_retry_whose_time_is_over() {
    let mut node = Node::new(settings(), 4);
    let event = |id, left, repeat| Event::Request {
        id: RequestId(id),
        class: ClassId(IDEMPOTENT as u16),
        tenant: TenantId(0),
        time_left: Duration::from_millis(left),
        repeat,
        slots: 1.0,
        memory: 1.0,
        work: None,
        key: 0,
    };
    node.handle(event(1, 3000, true)); // Two of its five seconds are gone; the aim is 250 ms.
    assert_eq!(node.final_answers(), vec![(1, "refuse")]);
    assert!(node.take_probes().is_empty());
    node.handle(event(2, 4990, true));
    assert_eq!(node.take_probes().len(), 1);
}

/// Fleet days: a node that sees a hundredth of the traffic took a full worker's queue to be empty when it had sent
/// nothing there itself; of the jobs queued so a fifth ended late, and two in five while a zone was away.
#[test]
fn expects_longer_waits_the_less_traffic_a_node_sees() {
    let queues = |nodes| {
        let mut settings = Settings {
            nodes,
            start_reported: true,
            report_fields: vec![ReportField::FreeSlots],
            ..settings()
        };
        (settings.classes[IDEMPOTENT].latency_stretch, settings.classes[IDEMPOTENT].latency_target) =
            (2.0, Duration::from_millis(500));
        let mut node = Node::new(settings, 1);
        (0..3).for_each(|_| node.report_free(0, 2.0));
        node.request_with_hint(1, 100, 1.0);
        (0..3).for_each(|_| node.report_free(0, 0.0));
        node.sends().len()
    };
    assert_eq!((queues(2), queues(100)), (1, 0));
}

/// Where no queue is told, an own job that waits speaks for others of other nodes, in the mean and at its worker.
#[test]
fn expects_jobs_of_others_where_own_jobs_wait() {
    let second = |ms: u64| {
        let fields = vec![ReportField::FreeSlots];
        let mut settings = Settings { nodes: 7, start_reported: true, report_fields: fields, ..settings() };
        settings.classes[IDEMPOTENT].latency_stretch = 2.0;
        let mut node = Node::new(settings, 1);
        (0..3).for_each(|_| node.report_free(0, 2.0));
        for (id, hint) in [(1, 200), (2, ms)] {
            node.request_with_hint(id, hint, 1.0);
            (0..3).for_each(|_| node.report_free(0, 0.0));
        }
        node.sends().len()
    };
    // A job of 1 s would end late behind them; it is not taken to wait behind a job of each other node.
    assert_eq!((second(1000), second(1400)), (0, 1));
}
