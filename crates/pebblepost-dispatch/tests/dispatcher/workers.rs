//! The module by hand-driven events: workers that are cold, leave, fail or fall silent.

use crate::node::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

#[test]
fn sends_nothing_to_a_worker_that_drained_during_its_probe() {
    for state in [WorkerState::Draining, WorkerState::Gone] {
        let mut node = Node::new(settings(), 2);
        node.request(1, 0);
        let worker = node.take_probes()[0];
        node.apply_member_list(ListKind::Delta, &[(worker, state, None)]);
        node.report(worker, 2.0, 0.0);
        assert!(node.sends().iter().all(|(_, to)| *to != worker));
    }
}

#[test]
fn treats_a_worker_missing_from_a_full_list_as_gone() {
    let mut node = Node::new(settings(), 2);
    node.apply_member_list(ListKind::Full, &[(0, WorkerState::Ready, None)]);
    for id in 0..20 {
        node.request(id, 0);
    }
    assert!(node.take_probes().iter().all(|worker| *worker == 0));
}

/// pusat-shah-alam big-1: connections idle for over a second were dropped unseen; what was sent on one got
/// no answer until the client gave up.
#[test]
fn lowers_the_idle_limit_when_a_send_does_not_start_despite_capacity() {
    let mut settings = settings();
    settings.start_reported = true;
    settings.classes[IDEMPOTENT].latency_target = Duration::from_secs(2);
    let mut node = Node::new(settings, 1);
    let started = |node: &mut Node, id| {
        node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) });
        node.outcome(id, 0, 0, Status::Ok, true);
    };
    node.send_to_first_probed(1, IDEMPOTENT);
    started(&mut node, 1);
    node.run_for(Duration::from_secs(4));
    node.send_to_first_probed(2, IDEMPOTENT);
    assert_eq!(count_idle_closes(&node), 0, "so far a connection is taken to last");
    node.run_for(Duration::from_millis(900));
    let looks = |node: &mut Node| node.take_probes().len(); // Some are to learn the age of reports.
    let asked = looks(&mut node);
    assert!(asked > 0, "not started: it is looked at");
    (0..asked).for_each(|_| node.report(0, 0.0, 2.0));
    let called_back = |node: &Node| node.actions.iter().any(|action| matches!(action, Action::Cancel { .. }));
    assert!(!called_back(&node), "a full worker explains it");

    node.outcome(2, 0, 0, Status::Ok, true);
    node.run_for(Duration::from_secs(4));
    node.send_to_first_probed(3, IDEMPOTENT);
    node.run_for(Duration::from_millis(900));
    (0..looks(&mut node)).for_each(|_| node.report(0, 2.0, 0.0));
    assert_eq!(node.actions.last(), Some(&Action::Cancel { id: RequestId(3), attempt: AttemptNo(0) }));
    node.outcome(3, 0, 0, Status::Cancelled, false);
    assert_eq!(node.take_probes(), [0], "and sent again, once that is confirmed");
    node.report(0, 2.0, 0.0);
    assert_eq!(node.sends(), [(3, 0)]);
    node.outcome(3, 1, 0, Status::Ok, true);

    node.run_for(Duration::from_millis(2500)); // Over half of what was lost.
    node.request(4, NON_IDEMPOTENT);
    node.report(0, 2.0, 0.0);
    assert_eq!((count_idle_closes(&node), node.sends()), (1, vec![(4, 0)]), "on a new connection");
    started(&mut node, 4);
    node.run_for(Duration::from_secs(1));
    node.send_to_first_probed(5, IDEMPOTENT);
    assert_eq!(count_idle_closes(&node), 0, "a younger one is used again");
}

/// An idle connection to a draining server was still open after 1.02 s.
#[test]
fn closes_idle_connections_to_a_draining_worker() {
    let closes = |node: &mut Node| {
        let close = |action: &&Action| matches!(action, Action::CloseIdle { worker: WorkerId(0) });
        let count = node.actions.iter().filter(close).count();
        node.actions.clear();
        count
    };
    let mut settings = settings();
    settings.close_idle_within = Some(Duration::from_secs(1));
    let mut node = Node::new(settings.clone(), 1);
    let draining = [(0, WorkerState::Draining, None)];
    node.send_to_first_probed(1, IDEMPOTENT);
    node.send_to_first_probed(2, NON_IDEMPOTENT);
    node.request(3, IDEMPOTENT); // Its probe is out.
    assert_eq!(closes(&mut node), 0, "a ready worker keeps its connections");
    node.apply_member_list(ListKind::Delta, &draining);
    assert_eq!(closes(&mut node), 1, "at the notice");
    node.report(0, 2.0, 0.0);
    assert!(node.sends().is_empty());
    assert_eq!(closes(&mut node), 1, "the probe has ended");
    node.outcome(1, 0, 0, Status::Ok, true);
    assert_eq!(closes(&mut node), 1, "an attempt has ended");
    node.run_for(Duration::from_secs(6));
    node.outcome(2, 0, 0, Status::Cancelled, true);
    assert_eq!(closes(&mut node), 1, "also one whose request was answered before");
    node.request(4, IDEMPOTENT);
    node.run_for(Duration::from_secs(6));
    assert!(node.take_probes().is_empty(), "no probe opens a connection there");
    node.apply_member_list(ListKind::Full, &[(0, WorkerState::Ready, None)]);
    node.send_to_first_probed(5, IDEMPOTENT);
    node.outcome(5, 0, 0, Status::Ok, true);
    assert_eq!(closes(&mut node), 0, "it takes work again");
    node.apply_member_list(ListKind::Full, &draining);
    assert_eq!(closes(&mut node), 1);

    let mut restarted = Node::new(settings, 0);
    restarted.apply_member_list(ListKind::Cached, &draining);
    assert_eq!(closes(&mut restarted), 1, "a restarted node learns it from its cached list");

    let mut node = Node::new(crate::node::settings(), 1);
    node.apply_member_list(ListKind::Delta, &draining);
    assert_eq!(closes(&mut node), 0, "where the rule is not stated");
}

/// The second look at a report is no reason to open a connection to a worker that drains.
#[test]
fn sends_no_probe_to_a_draining_worker() {
    let mut node = Node::new(settings(), 1);
    node.send_to_first_probed(1, IDEMPOTENT);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Draining, None)]);
    node.run_for(Duration::from_secs(4));
    assert!(node.take_probes().is_empty());
}

#[test]
fn limits_a_warming_worker_to_its_usable_slots_without_queueing() {
    let mut node = Node::new(Settings { cold_capacity: 0.1, ..settings() }, 1);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    node.request(1, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    assert_eq!(node.sends().len(), 1);
    node.actions.clear();
    // One of three slots is taken; at a tenth of its capacity that is all it may hold.
    node.request(2, IDEMPOTENT);
    node.run_for(Duration::from_millis(1));
    node.report(0, 2.0, 0.0);
    assert!(node.sends().is_empty());
}

/// A report that calls a cold worker free although this node's own job fills its part is old.
#[test]
fn counts_own_jobs_as_busy_slots_whatever_a_report_says() {
    let mut node =
        Node::new(Settings { cold_capacity: 0.1, warm_up_time: Duration::from_secs(200), ..settings() }, 1);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    node.request(1, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    assert_eq!(node.sends().len(), 1);
    node.advance_clock(Duration::from_secs(2)); // Long past the age reports are taken to have.
    node.actions.clear();
    node.request(2, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    assert!(node.sends().is_empty());
    node.outcome(1, 0, 0, Status::Ok, true);
    node.request(3, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    node.report(0, 3.0, 0.0);
    assert_eq!(node.sends().len(), 1, "room again once that job has ended");
}

/// Incident ia46aaf, and h64ffa1 of pusat-shah-alam with fresh reports: all nodes saw the same free
/// slot of a cold worker.
#[test]
fn admits_an_even_share_of_each_node_to_a_warming_worker() {
    for (nodes, fair) in [(1000, 0..=2), (50, 1..=6), (1, 30..=300)] {
        let mut settings = settings();
        settings.nodes = nodes;
        let mut node = Node::new(settings, 1);
        node.report_all_workers(3.0);
        node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
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
        assert!(fair.contains(&sent), "{sent} of 300 went to a cold worker that {nodes} nodes share");
    }
}

/// A cold server filled by others, never seen free by this node, was taken
/// to have one slot, and that one free.
#[test]
fn takes_the_slots_of_its_kind_for_a_worker_never_seen_free() {
    for (free, kind_known, sends) in [(0.0, false, false), (1.0, true, false), (3.0, true, true)] {
        let mut settings = Settings { cold_capacity: 0.1, ..settings() };
        settings.nodes = 1;
        let mut node = Node::new(settings, 2);
        if kind_known {
            node.report_all_workers(3.0); // Three slots, of which a cold worker gets two.
        }
        node.apply_member_list(
            ListKind::Delta,
            &[(0, WorkerState::Gone, None), (1, WorkerState::Gone, None)],
        );
        node.apply_member_list(ListKind::Delta, &[(2, WorkerState::Ready, Some(START))]);
        node.run_for(Duration::from_secs(1));
        node.request(1, IDEMPOTENT);
        node.report(2, free, 0.0);
        assert_eq!(!node.sends().is_empty(), sends, "{free} free, kind known: {kind_known}");
    }
}

/// Asks with a hint of work at a node of one worker, which reports three free slots; was it sent?
fn with_work(node: &mut Node, id: u32, ms: u64) -> usize {
    node.request_with_hint(id, ms, 1.0);
    node.report(0, 3.0, 0.0);
    let sent = node.sends();
    if let Some((id, worker)) = sent.first() {
        node.outcome(*id, 0, *worker, Status::Ok, true);
    }
    sent.len()
}

/// Twelve light jobs within a second pushed a cold server over.
#[test]
fn counts_light_jobs_in_full_at_a_warming_worker() {
    let mut settings = settings();
    settings.nodes = 1000;
    let mut node = Node::new(settings, 1);
    node.report_all_workers(3.0);
    (0..40).for_each(|id| assert_eq!(with_work(&mut node, id, 1000), 1));
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    let step = |id| {
        node.run_for(Duration::from_millis(20));
        with_work(&mut node, id, 1)
    };
    let sent: usize = (40..340).map(step).sum();
    assert!(sent <= 2, "{sent} of 300 light jobs went to a cold worker that 1000 nodes share");
}

/// A job that alone is half of what pushes a cold worker over is kept from it.
#[test]
fn sends_no_job_that_alone_overloads_a_warming_worker() {
    let mut settings = Settings { nodes: 1, warm_up_time: Duration::from_secs(200), ..settings() };
    settings.overload_time = Duration::from_millis(500);
    settings.classes[IDEMPOTENT].latency_stretch = 3.0; // Both end in time there.
    let mut node = Node::new(settings, 1);
    node.report_all_workers(3.0);
    let ms = |id: u32| if id.is_multiple_of(8) { 1800 } else { 40 };
    let warm: usize = (0..80).map(|id| with_work(&mut node, id, ms(id))).sum();
    assert_eq!(warm, 80, "warm workers take both");
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    let mut cold = [0; 2];
    for id in 80..280_u32 {
        node.run_for(Duration::from_millis(100));
        cold[usize::from(id.is_multiple_of(8))] += with_work(&mut node, id, ms(id));
    }
    assert!(cold[0] > 5 && cold[1] == 0, "light and heavy: {cold:?}");
}

#[test]
fn ejects_a_failing_worker_then_tries_it_again() {
    let mut node = Node::new(settings(), 2);
    let worker = node.send_to_first_probed(1, NON_IDEMPOTENT);
    node.outcome(1, 0, worker, Status::Error, false);
    node.actions.clear();
    for id in 2..12 {
        node.request(id, IDEMPOTENT);
    }
    assert!(node.take_probes().iter().all(|probed| *probed != worker));
    node.advance_clock(Duration::from_secs(120));
    node.fire_timers();
    node.actions.clear();
    for id in 20..40 {
        node.request(id, IDEMPOTENT);
    }
    assert!(node.take_probes().contains(&worker));
}

#[test]
fn goes_on_without_a_lost_probe() {
    let mut node = Node::new(settings(), 4);
    node.request(1, IDEMPOTENT);
    let lost = node.take_probes()[0];
    node.run_for(Duration::from_millis(20));
    let next = node.take_probes();
    assert!(!next.is_empty() && !next.contains(&lost), "others are drawn before the probe times out");
    node.report(next[0], 2.0, 0.0);
    node.run_for(Duration::from_millis(20));
    assert_eq!(node.sends(), vec![(1, next[0])]);
    node.probe_failed(lost);
    assert_eq!(node.sends().len(), 1);
}

#[test]
fn uses_ejected_workers_if_all_are_ejected() {
    let mut node = Node::new(settings(), 2);
    for id in 0..4 {
        node.request(id, NON_IDEMPOTENT);
        let worker = node.take_probes()[0];
        node.report(worker, 2.0, 0.0);
        node.outcome(id, 0, worker, Status::Error, false);
    }
    node.actions.clear();
    node.request(99, IDEMPOTENT);
    assert!(!node.take_probes().is_empty());
}

/// Harbor: workers that stale reports called free refused more sends than those called busy.
#[test]
fn reads_stale_reports_by_their_reliability() {
    let mut settings = settings();
    settings.overload_time = Duration::from_secs(2000);
    settings.start_reported = true;
    let mut node = Node::new(settings, 8);
    node.report_all_workers(2.0);
    let (mut free, mut busy) = (0, 0);
    for id in 0..400 {
        node.request(id, NON_IDEMPOTENT);
        let mut probed = node.take_probes();
        for turn in 0..40 {
            node.actions.clear();
            for (i, worker) in probed.iter().enumerate() {
                let called_free = (turn + i + id as usize).is_multiple_of(2);
                node.report(*worker, if called_free { 2.0 } else { 0.0 }, 0.0);
            }
            let sent = node.sends();
            node.actions.retain(|action| !matches!(action, Action::Send { .. }));
            for (id, worker) in sent {
                let called_free = node.last_free[&worker] > 0.0;
                let no = node.attempts[&id] - 1;
                if called_free {
                    free += u32::from(id >= 300);
                    node.outcome(id, no, worker, Status::Full, false);
                } else {
                    busy += u32::from(id >= 300);
                    node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(no) });
                    node.outcome(id, no, worker, Status::Ok, true);
                }
            }
            probed = node.take_probes();
            if probed.is_empty() {
                break;
            }
        }
        node.actions.clear();
        node.advance_clock(Duration::from_millis(200));
    }
    assert!(busy > 4 * free, "in the last 100 requests: {busy} to called-busy, {free} to called-free");
}

/// Fleet days: a node that had just started went on probing workers that drained or were gone, as an overbooked
/// discovery told it of that seconds later; one probe in four found nobody.
#[test]
fn ejects_a_worker_that_fails_a_probe() {
    let mut node = Node::new(settings(), 8);
    node.report_all_workers(2.0);
    node.request(0, IDEMPOTENT);
    let lost = node.take_probes()[0];
    node.probe_failed(lost);
    let draws = |node: &mut Node, from: u32| {
        node.actions.clear();
        (from..from + 100).for_each(|id| node.request(id, IDEMPOTENT));
        node.take_probes().contains(&lost)
    };
    assert!(!draws(&mut node, 1));
    node.advance_clock(Duration::from_millis(1100));
    assert!(draws(&mut node, 200), "it is tried again after a second");
    node.probe_failed(lost);
    node.advance_clock(Duration::from_millis(1100));
    assert!(!draws(&mut node, 400), "a second failure in a row counts double");
    node.report(lost, 2.0, 0.0);
    node.advance_clock(Duration::from_secs(1));
    node.probe_failed(lost);
    node.advance_clock(Duration::from_millis(1100));
    assert!(draws(&mut node, 600), "an answer clears what was held against it");
}

/// Fleet days: a node saw forty jobs in all, and believed 1.09 times their hint where they ran for 1.49.
#[test]
fn learns_the_speed_of_a_kind_from_twenty_jobs() {
    let mut settings = settings();
    (settings.start_reported, settings.classes[IDEMPOTENT].latency_stretch) = (true, 2.0);
    let mut node = Node::new(settings, 2);
    node.report_all_workers(2.0);
    (0..20).for_each(|id| run_hinted_job(&mut node, id, |_| 200));
    // At twice its hint it runs for 2 s and is wanted within 2.25 s; the three that wait at either worker take longer.
    node.request_with_hint(99, 1000, 1.0);
    (0..3).for_each(|_| node.take_probes().into_iter().for_each(|worker| node.report(worker, 0.0, 3.0)));
    assert_eq!(node.final_answers(), vec![(99, "refuse")]);
}

/// Fleet days: jobs sent to a cold worker by the pace of a warm one ended late, half of them at a tenth to a fifth of it.
#[test]
fn sends_a_warming_worker_jobs_that_end_in_time_at_its_speed() {
    let mut settings = Settings { cold_capacity: 0.12, nodes: 1, start_reported: true, ..settings() };
    (settings.classes[IDEMPOTENT].latency_stretch, settings.classes[IDEMPOTENT].latency_target) =
        (2.0, Duration::from_millis(600));
    let mut node = Node::new(settings, 1);
    node.report_all_workers(5.0);
    assert_eq!(with_work(&mut node, 1, 400), 1, "a warm one takes it");
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    node.run_for(Duration::from_secs(1));
    // At 0.16 of its capacity at the least: 0.4 s of work take 1.5 s there and are wanted within 1.4 s.
    assert_eq!((with_work(&mut node, 2, 400), with_work(&mut node, 3, 100)), (0, 1));
    // Its speed is likely more than that: 0.25 s take 1.0 s, and are wanted within 1.1 s.
    assert_eq!(with_work(&mut node, 4, 250), 1);
}

/// Fleet days: a cold worker that was expected to take one job at a time stood idle while warm ones turned jobs away.
#[test]
fn fills_all_slots_of_a_worker_with_a_third_of_its_capacity() {
    let settings = Settings { cold_capacity: 0.35, nodes: 1, overload_multiple: 3.0, ..settings() };
    let mut node = Node::new(settings, 1);
    node.report_all_workers(4.0);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    let mut held = 0;
    for id in 1..40 {
        node.run_for(Duration::from_millis(100));
        node.request(id, IDEMPOTENT);
        node.take_probes().into_iter().for_each(|worker| node.report(worker, 4.0 - held as f32, 0.0));
        held = node.sends().len();
    }
    assert_eq!(held, 4);
}

/// A free worker that is warm is not passed over for being slow: hints are rough, and its slots would stand idle.
#[test]
fn sends_a_warm_worker_a_job_that_may_end_late() {
    let mut settings = settings();
    (settings.start_reported, settings.classes[IDEMPOTENT].latency_stretch) = (true, 2.0);
    let mut node = Node::new(settings, 0);
    let entry = |worker: u32| Entry {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        kind: KindId(worker as u16),
        cell: CellId(0),
        state: WorkerState::Ready,
        name: worker.into(),
        started: None,
    };
    node.handle(Event::Members { kind: ListKind::Full, entries: vec![entry(0), entry(1)] });
    node.report_all_workers(2.0);
    // The first kind is as fast as hinted, the second takes four times as long.
    (0..100).for_each(|id| run_hinted_job(&mut node, id, |worker| if worker == 0 { 100 } else { 400 }));
    node.request_with_hint(200, 1000, 1.0);
    for _ in 0..3 {
        node.take_probes().into_iter().for_each(|worker| {
            node.report(worker, if worker == 0 { 0.0 } else { 2.0 }, 90.0 * f32::from(worker == 0))
        });
    }
    assert_eq!(node.sends(), vec![(200, 1)]);
}

/// Reports tell no queue, starts are told, late answers keep half their worth. All workers are known.
fn late_counts(workers: u32, tenants: &[f64]) -> Node {
    let mut settings = Settings {
        start_reported: true,
        nodes: 1,
        report_fields: vec![ReportField::FreeSlots],
        ..settings()
    };
    settings.tenants =
        tenants.iter().map(|&fraction| Tenant { quota_share: fraction, quota_per_s: 1.0 }).collect();
    settings
        .classes
        .iter_mut()
        .for_each(|class| (class.late_value, class.latency_target) = (0.5, Duration::from_millis(300)));
    let mut node = Node::new(settings, workers);
    (0..3 * workers).for_each(|worker| node.report_free(worker % workers, 2.0));
    node
}

/// Sends a job where all that are probed have so many free slots; returns who was, and what came of it.
fn tried(node: &mut Node, id: u32, class: usize, tenant: u16, free: f32) -> (Vec<u32>, Vec<(u32, u32)>) {
    node.actions.clear();
    node.request_with_tenant(id, class, 7 * u64::from(free > 0.0), tenant);
    let mut probed = vec![];
    for _ in 0..4 {
        let asked = node.take_probes();
        asked.iter().for_each(|worker| node.report_free(*worker, free));
        probed.extend(asked);
    }
    (probed, node.sends())
}

/// What found no room was held and probed for again, eleven probes a request; workers meanwhile ran dry.
#[test]
fn queues_in_the_shortest_queue_where_late_answers_have_value() {
    let (mut node, mut got) = (late_counts(8, &[]), [0; 8]);
    for id in 0..16 {
        let (probed, sent) = tried(&mut node, id, IDEMPOTENT, 0, 0.0);
        assert!(probed.len() <= 2);
        got[sent[0].1 as usize] += 1;
    }
    assert_eq!(got, [2; 8], "at home and away");
}

/// A job that queued beyond its time was answered late, and so was all that came after it.
#[test]
fn rejects_a_job_at_once_beyond_the_observed_waits() {
    let mut node = late_counts(4, &[]);
    (0..4).for_each(|id| drop(tried(&mut node, id, IDEMPOTENT, 0, 0.0)));
    node.advance_clock(Duration::from_secs(1));
    (0..4).for_each(|id| node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) }));
    assert_eq!(
        (tried(&mut node, 10, IDEMPOTENT, 0, 0.0).0.len(), node.final_answers()),
        (2, vec![(10, "refuse")])
    );
    node.advance_clock(Duration::from_secs(4));
    assert_eq!(tried(&mut node, 11, IDEMPOTENT, 0, 0.0).1.len(), 1, "those waits are long past");
}

/// Traffic beyond a tenant's share, which is worth little, took the place of all others alike.
#[test]
fn queues_tenants_over_their_share_for_less() {
    let mut node = late_counts(1, &[0.2, 0.8]);
    for id in 0..400 {
        tried(&mut node, id, IDEMPOTENT, u16::from(id % 2 == 0), 0.0);
        node.handle(Event::ClientGone { id: RequestId(id) });
        node.outcome(id, 0, 0, Status::Cancelled, true);
    }
    let mut sent = |id: u32, tenant| tried(&mut node, id, IDEMPOTENT, tenant, 0.0).1.len();
    let over: usize = (1000..1009).map(|id| sent(id, 0)).sum();
    let within: usize = (2000..2009).map(|id| sent(id, 1)).sum();
    assert!(over < within, "{over} of who is over its share and then {within} of who is not");
}

/// All slots of a worker were held by jobs that it had never begun.
#[test]
fn ejects_a_class_whose_jobs_do_not_start_at_a_worker() {
    let mut node = late_counts(8, &[]);
    let worker = tried(&mut node, 1, NON_IDEMPOTENT, 0, 2.0).1[0].1;
    assert_eq!(tried(&mut node, 2, NON_IDEMPOTENT, 0, 2.0).1, [(2, worker)]);
    node.actions.clear();
    node.run_for(Duration::from_millis(400));
    let looked = node.take_probes();
    assert!(looked.contains(&worker), "neither has started: the worker is looked at");
    looked.into_iter().for_each(|worker| node.report_free(worker, 2.0));
    let again =
        node.actions.iter().any(|action| matches!(action, Action::Cancel { .. } | Action::Send { .. }));
    assert!(!again, "what must not run twice is left alone");
    assert_eq!(tried(&mut node, 3, IDEMPOTENT, 0, 2.0).1, [(3, worker)], "its slots are free for others");
    assert!(!tried(&mut node, 4, NON_IDEMPOTENT, 0, 2.0).0.contains(&worker), "this class goes elsewhere");
}

/// Resets and silent connections: each broken probe kept a worker out of the draws for a second and more, and
/// five of nine got no work though they were idle.
#[test]
fn does_not_eject_for_a_broken_connection() {
    let kept_out = |status, heard: bool| {
        let mut node = Node::new(settings(), 8);
        node.report_all_workers(2.0);
        node.request(0, IDEMPOTENT);
        let (worker, latency) = (node.take_probes()[0], Duration::from_millis(500));
        node.advance_clock(latency);
        (0..u32::from(heard)).for_each(|_| node.report(worker, 2.0, 0.0));
        node.handle(Event::Probed { worker: WorkerId(worker), status, latency, report: vec![] });
        node.actions.clear();
        (1..100).for_each(|id| node.request(id, IDEMPOTENT));
        !node.take_probes().contains(&worker)
    };
    assert!(!kept_out(Status::Reset, false) && !kept_out(Status::Timeout, true));
    assert!(kept_out(Status::Timeout, false) && kept_out(Status::ConnectFailed, false));
}
