//! Effects of a request's class, key, work hint and remaining time.

use crate::node::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

#[test]
fn fails_a_non_idempotent_job_whose_attempt_may_have_run() {
    let mut node = Node::new(settings(), 4);
    let worker = node.send_to_first_probed(1, NON_IDEMPOTENT);
    node.outcome(1, 0, worker, Status::Reset, false);
    assert_eq!(node.final_answers(), vec![(1, "fail")]);
    node.run_for(Duration::from_secs(10));
    assert!(node.sends().is_empty());
}

#[test]
fn retries_a_non_idempotent_job_whose_attempt_never_ran() {
    let mut node = Node::new(settings(), 4);
    let worker = node.send_to_first_probed(1, NON_IDEMPOTENT);
    node.outcome(1, 0, worker, Status::Full, false);
    let again = node.take_probes();
    assert_eq!(again.len(), 1, "expected one probe of another worker");
    assert_ne!(again[0], worker);
    node.report(again[0], 2.0, 0.0);
    assert_eq!(node.sends(), vec![(1, again[0])]);
}

#[test]
fn retries_a_deduplicated_job_only_in_its_zone_and_window() {
    let mut node = Node::new(settings(), 8);
    let worker = node.send_to_first_probed(1, DEDUPLICATED);
    node.outcome(1, 0, worker, Status::Error, false);
    for probed in node.take_probes() {
        assert_eq!(probed % 2, worker % 2, "worker {probed} is not in the zone of worker {worker}");
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
    assert_eq!(node.final_answers(), vec![(1, "fail")], "a retry after the window could run the job twice");
}

/// Guards against saving handshakes at the price of idle connections: a deployment that pays for connections kept 110
/// of them open at each server.
#[test]
fn probes_a_subset_of_workers_if_connections_have_a_price() {
    let workers_in_use = |connection_price: f64| {
        let mut settings = settings();
        settings.prices.handshake = 0.1;
        settings.prices.connection = connection_price;
        settings.nodes = 200;
        settings.keepalive = Duration::from_secs(60);
        let mut node = Node::new(settings, 64);
        let mut probed_workers = std::collections::BTreeSet::new();
        for id in 0..400 {
            node.request(id, IDEMPOTENT);
            let worker = node.take_probes()[0];
            node.report(worker, 2.0, 0.0);
            node.outcome(id, 0, worker, Status::Ok, true);
            node.run_for(Duration::from_millis(250));
            if id >= 200 {
                probed_workers.insert(worker);
            }
        }
        probed_workers.len()
    };
    // At four requests a second, a connection to each of 64 workers is used again within the keep-alive time.
    assert!(workers_in_use(0.0) > 50, "free connections: expected probes of more than 50 workers");
    assert_eq!(workers_in_use(0.1), 8);
}

/// Guards against incident i76a86a: reports held the number of jobs in flight but no queue length, and workers with
/// twenty waiting jobs were assumed to have one.
#[test]
fn counts_jobs_in_flight_beyond_the_slots_as_queued() {
    let sends = |in_flight: f32| {
        let mut settings = settings();
        settings.report_fields = vec![ReportField::InFlight, ReportField::FreeSlots];
        let report = |node: &mut Node, worker: u32, in_flight: f32, free: f32| {
            let (worker, latency) = (WorkerId(worker), Duration::from_millis(1));
            node.handle(Event::Probed { worker, status: Status::Ok, latency, report: vec![in_flight, free] });
        };
        let mut node = Node::new(settings, 4);
        for worker in (0..4).chain(0..4) {
            report(&mut node, worker, 0.0, 4.0);
        }
        node.request(1, IDEMPOTENT);
        for _ in 0..4 {
            node.take_probes().into_iter().for_each(|worker| report(&mut node, worker, in_flight, 0.0));
        }
        node.sends().len()
    };
    assert_eq!(
        (sends(4.0), sends(24.0)),
        (1, 0),
        "a job may queue at workers without waiting jobs, but not behind twenty"
    );
}

/// Guards against waits counted as service time. Four jobs in ten waited although the report had shown free slots;
/// with their waits in its estimate, the node accepted queues that were far too long.
#[test]
fn excludes_waiting_from_service_time_if_starts_are_reported() {
    let queues_after_waits_of = |wait_ms: u64| {
        let mut settings = settings();
        settings.start_reported = true;
        let mut node = Node::new(settings, 2);
        node.report_all_workers(2.0);
        for id in 0..100 {
            node.run_for(Duration::from_millis(2));
            let worker = node.send_to_first_probed(id, NON_IDEMPOTENT);
            node.advance_clock(Duration::from_millis(wait_ms));
            node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) });
            node.advance_clock(Duration::from_millis(3000 - wait_ms));
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
        // Returns 1 if a request queues where all slots are busy and one job waits.
        node.actions.clear();
        node.request(1000, NON_IDEMPOTENT);
        for _ in 0..4 {
            node.take_probes().into_iter().for_each(|worker| node.report(worker, 0.0, 1.0));
        }
        node.sends().len()
    };
    assert_eq!(
        (queues_after_waits_of(2950), queues_after_waits_of(0)),
        (1, 0),
        "service times of 0.05 s and of 3 s"
    );
}

/// Guards against one wait limit for all jobs: it sent heavy jobs to workers that were too slow for them, and rejected
/// other jobs that had seconds left.
#[test]
fn sends_a_hinted_job_only_where_it_ends_in_time() {
    let mut settings = settings();
    (settings.start_reported, settings.classes[IDEMPOTENT].latency_stretch) = (true, 2.0);
    let mut node = Node::new(settings, 2);
    node.report_all_workers(2.0);
    (0..200).for_each(|id| run_hinted_job(&mut node, id, |_| 150));
    // Jobs take 1.5 times as long as hinted. One of 3 s ends in time, and one of 2 s even after a wait. One of 4 s
    // never ends in time.
    let sends = |node: &mut Node, id, ms, queue| {
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
    assert_eq!((sends(&mut node, 1000, 3000, 0.0), sends(&mut node, 1001, 4000, 0.0)), (1, 0));
    assert_eq!((sends(&mut node, 1002, 2000, 9.0), sends(&mut node, 1003, 100, 9.0)), (1, 0));
}

/// Guards against waits that reports do not show: without a reported queue length, a worker with a long queue looked
/// like any other full worker.
#[test]
fn rejects_a_job_at_a_worker_whose_sent_jobs_wait_long_to_start() {
    let sends_after = |ms: u64| {
        let mut settings = settings();
        (settings.start_reported, settings.report_fields) = (true, vec![ReportField::FreeSlots]);
        (settings.nodes, settings.classes[IDEMPOTENT].latency_target) = (1, Duration::from_millis(600));
        let mut node = Node::new(settings, 1);
        let report_all_probes = |node: &mut Node, free: f32| {
            node.take_probes().into_iter().for_each(|worker| node.report_free(worker, free));
        };
        for id in 0..4 {
            node.request_with_hint(id, 100, 1.0);
            report_all_probes(&mut node, 2.0);
            if id < 2 {
                node.outcome(id, 0, 0, Status::Ok, true);
            }
        }
        // Two jobs are in flight, and neither has started.
        node.advance_clock(Duration::from_millis(ms));
        node.request_with_hint(9, 100, 1.0);
        (0..3).for_each(|_| report_all_probes(&mut node, 0.0));
        node.sends().len()
    };
    assert_eq!((sends_after(20), sends_after(900)), (1, 0));
}

/// Guards against lost cache affinity: jobs ran up to a second longer than hinted because the worker had to fetch
/// what they needed.
#[test]
fn probes_the_same_worker_for_a_key_at_every_node() {
    let first_probed = |seed: u64, key: u64, failed: Option<u32>| {
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
    let by_key: Vec<u32> = (1..=64).map(|key| first_probed(7, key, None)).collect();
    assert_eq!(by_key, (1..=64).map(|key| first_probed(8, key, None)).collect::<Vec<_>>());
    let distinct: std::collections::BTreeSet<_> = by_key.iter().collect();
    assert_eq!(distinct.len(), 8, "keys must spread over all workers");
    assert_ne!(first_probed(7, 1, Some(by_key[0])), by_key[0], "an ejected worker must not be probed");
}

/// A non-idempotent job without a reported start may be running. It must be neither cancelled nor sent again.
#[test]
fn neither_cancels_nor_resends_a_non_idempotent_job_that_has_not_started() {
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
    let resent_or_cancelled =
        node.actions.iter().any(|action| matches!(action, Action::Cancel { .. } | Action::Send { .. }));
    assert!(!resent_or_cancelled, "{:?}", node.actions);
}

/// Guards against ignored placement rules: a class was sent to zones that were not permitted for it.
#[test]
fn sends_a_restricted_class_only_to_permitted_workers() {
    for probing in [true, false] {
        for cross_zone_price in [0.0, 0.1] {
            let mut settings = settings();
            settings.probing_enabled = probing;
            settings.prices.cross_zone = cross_zone_price; // Only zone 1 is permitted, and the node is in zone 0.
            settings.classes[IDEMPOTENT].only_zones = Some(vec![ZoneId(1)]);
            let mut node = Node::new(settings, 6);
            let mut sent = 0;
            for id in 0..60 {
                node.request(id, IDEMPOTENT);
                for status in [Status::Full, Status::Error, Status::Timeout] {
                    for worker in node.take_probes() {
                        assert_eq!(worker % 2, 1, "probed worker {worker} in zone 0");
                        node.report(worker, 2.0, 0.0);
                    }
                    for (request, worker) in node.sends() {
                        assert_eq!(
                            worker % 2,
                            1,
                            "attempt {} went to worker {worker} in zone 0",
                            node.attempts[&request]
                        );
                        sent += 1;
                        node.outcome(request, node.attempts[&request] - 1, worker, status, false);
                    }
                }
                node.run_for(Duration::from_millis(200));
                node.actions.clear();
            }
            assert!(sent > 60, "{sent} attempts, expected more than the 60 requests");
        }
    }
}

#[test]
fn rejects_a_restricted_class_without_a_permitted_worker() {
    let cases = [
        (Some(vec![KindId(1)]), Some(vec![ZoneId(0)])), // All workers are of kind 0.
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

/// A worker's zone may change while a probe is in flight.
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

/// Guards against a repeated run: a non-idempotent class was sent again after `Full` by workers that may answer so to
/// work they have begun.
#[test]
fn treats_full_as_a_possible_run_if_full_may_have_run_is_set() {
    let mut settings = settings();
    settings.full_may_have_run = true;
    let mut node = Node::new(settings.clone(), 8);
    let worker = node.send_to_first_probed(1, NON_IDEMPOTENT);
    node.outcome(1, 0, worker, Status::Full, false);
    assert_eq!(node.final_answers(), vec![(1, "fail")], "the request must fail at once, without a retry");
    node.run_for(Duration::from_secs(5));
    assert!(node.take_probes().is_empty() && node.sends().is_empty());

    let worker = node.send_to_first_probed(2, DEDUPLICATED);
    node.advance_clock(Duration::from_millis(20));
    node.outcome(2, 0, worker, Status::Full, false);
    for probed in node.take_probes() {
        assert_eq!(probed % 2, worker % 2, "worker {probed} is not in the zone of worker {worker}");
        node.report(probed, 2.0, 0.0);
    }
    let sent = node.sends();
    assert_eq!((sent.len(), sent[0].1 % 2), (1, worker % 2));
    node.outcome(2, 1, sent[0].1, Status::ConnectFailed, false);
    node.run_for(Duration::from_secs(5));
    assert_eq!(node.final_answers(), vec![(2, "fail")]);

    let worker = node.send_to_first_probed(3, IDEMPOTENT);
    node.outcome(3, 0, worker, Status::Full, false);
    assert_eq!(node.take_probes().len(), 1, "an idempotent job is retried");

    settings.classes[DEDUPLICATED].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: Duration::from_millis(50) };
    let mut node = Node::new(settings, 8);
    let worker = node.send_to_first_probed(4, DEDUPLICATED);
    node.advance_clock(Duration::from_millis(60));
    node.outcome(4, 0, worker, Status::Full, false);
    node.run_for(Duration::from_millis(10));
    assert_eq!(
        (node.sends().len(), node.final_answers()),
        (0, vec![(4, "refuse")]),
        "no retry after the window"
    );
}

/// Guards against two failures. Twelve servers that had restarted together were overloaded within a second, seconds
/// before the member list announced the restart, and stayed down. When a single failure counted as a restart, workers
/// with an occasionally broken connection were treated as just started, and nearly every job was rejected.
#[test]
fn applies_slow_start_to_a_worker_that_returns_after_an_outage() {
    let reset = Status::Reset;
    for (status, failures, max_sent) in
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
            node.handle(Event::Probed { worker, status, latency, report: vec![] });
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
        assert!(
            sent <= max_sent && (max_sent < 300 || sent > 200),
            "{failures} probes ended with {status:?}: {sent} of 300 requests sent, limit {max_sent}"
        );
    }
}

/// Guards against client retries without enough time: rejected clients sent their requests again when these could no
/// longer end in time, and took the slots of other requests.
#[test]
fn rejects_a_client_retry_that_cannot_end_in_time() {
    let mut node = Node::new(settings(), 4);
    let request = |id, left_ms, repeat| Event::Request {
        id: RequestId(id),
        class: ClassId(IDEMPOTENT as u16),
        tenant: TenantId(0),
        time_left: Duration::from_millis(left_ms),
        repeat,
        slots: 1.0,
        memory: 1.0,
        work: None,
        key: 0,
    };
    node.handle(request(1, 3000, true)); // 2 s of 5 s have passed, and the latency target is 250 ms.
    assert_eq!(node.final_answers(), vec![(1, "refuse")]);
    assert!(node.take_probes().is_empty());
    node.handle(request(2, 4990, true));
    assert_eq!(node.take_probes().len(), 1);
}

/// Guards against queues that a node cannot see. A node with a hundredth of the traffic assumed that a full worker had
/// no queue if it had sent nothing there itself. A fifth of the jobs queued like this ended late, and two in five while
/// a zone was down.
#[test]
fn expects_longer_waits_the_less_traffic_a_node_sees() {
    let sends_to_full_worker = |nodes| {
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
    assert_eq!((sends_to_full_worker(2), sends_to_full_worker(100)), (1, 0));
}

/// Without reported queue lengths, a job of this node that waits at a worker indicates queued jobs of other nodes, both
/// there and on average.
#[test]
fn expects_queued_jobs_of_other_nodes_where_its_own_jobs_wait() {
    let sends_second_job = |second_ms: u64| {
        let fields = vec![ReportField::FreeSlots];
        let mut settings = Settings { nodes: 7, start_reported: true, report_fields: fields, ..settings() };
        settings.classes[IDEMPOTENT].latency_stretch = 2.0;
        let mut node = Node::new(settings, 1);
        (0..3).for_each(|_| node.report_free(0, 2.0));
        for (id, hint) in [(1, 200), (2, second_ms)] {
            node.request_with_hint(id, hint, 1.0);
            (0..3).for_each(|_| node.report_free(0, 0.0));
        }
        node.sends().len()
    };
    // A job of 1 s would end late behind the jobs of other nodes. One of 1.4 s has more slack and is sent, because not
    // every other node is assumed to have a job queued.
    assert_eq!((sends_second_job(1000), sends_second_job(1400)), (0, 1));
}
