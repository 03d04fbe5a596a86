//! Workers that warm up, drain, leave, fail or do not answer, and queueing at full workers.

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
fn treats_a_worker_missing_from_a_full_member_list_as_gone() {
    let mut node = Node::new(settings(), 2);
    node.apply_member_list(ListKind::Full, &[(0, WorkerState::Ready, None)]);
    for id in 0..20 {
        node.request(id, 0);
    }
    assert!(node.take_probes().iter().all(|worker| *worker == 0));
}

/// Guards against idle connections that the network has dropped. Connections idle for over a second were dropped
/// without notice, and a job sent on one got no answer until the client gave up.
#[test]
fn lowers_the_idle_limit_when_a_job_does_not_start_although_its_worker_has_capacity() {
    let mut settings = settings();
    settings.start_reported = true;
    settings.classes[IDEMPOTENT].latency_target = Duration::from_secs(2);
    let mut node = Node::new(settings, 1);
    let start_and_serve = |node: &mut Node, id| {
        node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) });
        node.outcome(id, 0, 0, Status::Ok, true);
    };
    node.send_to_first_probed(1, IDEMPOTENT);
    start_and_serve(&mut node, 1);
    node.run_for(Duration::from_secs(4));
    node.send_to_first_probed(2, IDEMPOTENT);
    assert_eq!(count_idle_closes(&node), 0, "before the first loss, idle connections are reused");
    node.run_for(Duration::from_millis(900));
    let probe_count = |node: &mut Node| node.take_probes().len(); // Some probes only measure the age of reports.
    let probes = probe_count(&mut node);
    assert!(probes > 0, "a job that has not started must cause a probe");
    (0..probes).for_each(|_| node.report(0, 0.0, 2.0));
    let has_cancelled =
        |node: &Node| node.actions.iter().any(|action| matches!(action, Action::Cancel { .. }));
    assert!(!has_cancelled(&node), "a job that waits at a full worker must not be cancelled");

    node.outcome(2, 0, 0, Status::Ok, true);
    node.run_for(Duration::from_secs(4));
    node.send_to_first_probed(3, IDEMPOTENT);
    node.run_for(Duration::from_millis(900));
    (0..probe_count(&mut node)).for_each(|_| node.report(0, 2.0, 0.0));
    assert_eq!(node.actions.last(), Some(&Action::Cancel { id: RequestId(3), attempt: AttemptNo(0) }));
    node.outcome(3, 0, 0, Status::Cancelled, false);
    assert_eq!(node.take_probes(), [0], "the job is retried once its cancellation is confirmed");
    node.report(0, 2.0, 0.0);
    assert_eq!(node.sends(), [(3, 0)]);
    node.outcome(3, 1, 0, Status::Ok, true);

    node.run_for(Duration::from_millis(2500)); // Over half of the idle time at which the job was lost.
    node.request(4, NON_IDEMPOTENT);
    node.report(0, 2.0, 0.0);
    assert_eq!(
        (count_idle_closes(&node), node.sends()),
        (1, vec![(4, 0)]),
        "idle connections are closed before the send"
    );
    start_and_serve(&mut node, 4);
    node.run_for(Duration::from_secs(1));
    node.send_to_first_probed(5, IDEMPOTENT);
    assert_eq!(count_idle_closes(&node), 0, "a connection idle for a shorter time is reused");
}

/// Guards against idle connections that outlast the limit: one to a draining server was still open after 1.02 s.
#[test]
fn closes_idle_connections_to_a_draining_worker() {
    let take_idle_closes = |node: &mut Node| {
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
    node.request(3, IDEMPOTENT); // Its probe is in flight.
    assert_eq!(take_idle_closes(&mut node), 0, "a ready worker keeps its connections");
    node.apply_member_list(ListKind::Delta, &draining);
    assert_eq!(take_idle_closes(&mut node), 1, "the member list announces the drain");
    node.report(0, 2.0, 0.0);
    assert!(node.sends().is_empty());
    assert_eq!(take_idle_closes(&mut node), 1, "the probe has ended and leaves a connection idle");
    node.outcome(1, 0, 0, Status::Ok, true);
    assert_eq!(take_idle_closes(&mut node), 1, "an attempt has ended and leaves a connection idle");
    node.run_for(Duration::from_secs(6));
    node.outcome(2, 0, 0, Status::Cancelled, true);
    assert_eq!(take_idle_closes(&mut node), 1, "an attempt has ended whose request was answered earlier");
    node.request(4, IDEMPOTENT);
    node.run_for(Duration::from_secs(6));
    assert!(node.take_probes().is_empty(), "a probe would open a connection to a draining worker");
    node.apply_member_list(ListKind::Full, &[(0, WorkerState::Ready, None)]);
    node.send_to_first_probed(5, IDEMPOTENT);
    node.outcome(5, 0, 0, Status::Ok, true);
    assert_eq!(take_idle_closes(&mut node), 0, "a worker that is ready again keeps its connections");
    node.apply_member_list(ListKind::Full, &draining);
    assert_eq!(take_idle_closes(&mut node), 1);

    let mut restarted = Node::new(settings, 0);
    restarted.apply_member_list(ListKind::Cached, &draining);
    assert_eq!(
        take_idle_closes(&mut restarted),
        1,
        "a restarted node learns of the drain from its cached list"
    );

    let mut node = Node::new(crate::node::settings(), 1);
    node.apply_member_list(ListKind::Delta, &draining);
    assert_eq!(take_idle_closes(&mut node), 0, "no close if close_idle_within is not set");
}

/// Probes that measure the age of reports must not open connections to a draining worker.
#[test]
fn sends_no_probe_to_a_draining_worker() {
    let mut node = Node::new(settings(), 1);
    node.send_to_first_probed(1, IDEMPOTENT);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Draining, None)]);
    node.run_for(Duration::from_secs(4));
    assert!(node.take_probes().is_empty());
}

#[test]
fn sends_a_warming_worker_no_more_jobs_than_its_usable_slots() {
    let mut node = Node::new(Settings { cold_capacity: 0.1, ..settings() }, 1);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    node.request(1, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    assert_eq!(node.sends().len(), 1);
    node.actions.clear();
    // One of three slots is busy. At a tenth of its capacity, the worker may hold no second job.
    node.request(2, IDEMPOTENT);
    node.run_for(Duration::from_millis(1));
    node.report(0, 2.0, 0.0);
    assert!(node.sends().is_empty());
}

/// A report that shows free slots at a cold worker is outdated if this node's own job takes the usable slots.
#[test]
fn counts_own_jobs_as_busy_slots_even_if_a_report_shows_them_free() {
    let mut node =
        Node::new(Settings { cold_capacity: 0.1, warm_up_time: Duration::from_secs(200), ..settings() }, 1);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    node.request(1, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    assert_eq!(node.sends().len(), 1);
    node.advance_clock(Duration::from_secs(2)); // Much longer than the estimated age of reports.
    node.actions.clear();
    node.request(2, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    assert!(node.sends().is_empty());
    node.outcome(1, 0, 0, Status::Ok, true);
    node.request(3, IDEMPOTENT);
    node.report(0, 3.0, 0.0);
    node.report(0, 3.0, 0.0);
    assert_eq!(node.sends().len(), 1, "the slot is free again after that job");
}

/// Guards against incidents ia46aaf and h64ffa1, the latter with fresh reports: all nodes saw the same free slot of a
/// cold worker and sent to it.
#[test]
fn limits_each_node_to_an_equal_share_of_a_warming_worker() {
    for (nodes, expected) in [(1000, 0..=2), (50, 1..=6), (1, 30..=300)] {
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
        assert!(
            expected.contains(&sent),
            "{sent} of 300 jobs went to a cold worker that {nodes} nodes share, expected {expected:?}"
        );
    }
}

/// Guards against a wrong number of slots: a cold server that other nodes had filled, and that this node had never
/// seen free, was assumed to have one slot and that slot to be free.
#[test]
fn assumes_the_slots_of_its_kind_for_a_worker_never_seen_free() {
    for (free, is_kind_known, is_sent) in [(0.0, false, false), (1.0, true, false), (3.0, true, true)] {
        let mut settings = Settings { cold_capacity: 0.1, ..settings() };
        settings.nodes = 1;
        let mut node = Node::new(settings, 2);
        if is_kind_known {
            node.report_all_workers(3.0); // Three slots, of which a cold worker may use two.
        }
        node.apply_member_list(
            ListKind::Delta,
            &[(0, WorkerState::Gone, None), (1, WorkerState::Gone, None)],
        );
        node.apply_member_list(ListKind::Delta, &[(2, WorkerState::Ready, Some(START))]);
        node.run_for(Duration::from_secs(1));
        node.request(1, IDEMPOTENT);
        node.report(2, free, 0.0);
        assert_eq!(!node.sends().is_empty(), is_sent, "{free} slots free, kind known: {is_kind_known}");
    }
}

/// Requests a job hinted at `ms` milliseconds at a node whose only worker reports three free slots. Returns 1 if it
/// was sent, in which case it is served at once, and otherwise 0.
fn run_on_only_worker(node: &mut Node, id: u32, ms: u64) -> usize {
    node.request_with_hint(id, ms, 1.0);
    node.report(0, 3.0, 0.0);
    let sent = node.sends();
    if let Some((id, worker)) = sent.first() {
        node.outcome(*id, 0, *worker, Status::Ok, true);
    }
    sent.len()
}

/// Guards against light jobs that do not count: twelve of them within a second overloaded a cold server.
#[test]
fn limits_the_number_of_light_jobs_at_a_warming_worker() {
    let mut settings = settings();
    settings.nodes = 1000;
    let mut node = Node::new(settings, 1);
    node.report_all_workers(3.0);
    (0..40).for_each(|id| assert_eq!(run_on_only_worker(&mut node, id, 1000), 1));
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    let run_light_job = |id| {
        node.run_for(Duration::from_millis(20));
        run_on_only_worker(&mut node, id, 1)
    };
    let sent: usize = (40..340).map(run_light_job).sum();
    assert!(sent <= 2, "{sent} of 300 light jobs went to a cold worker that 1000 nodes share");
}

/// A job that takes half of the overload budget of a cold worker is not sent to it.
#[test]
fn sends_a_warming_worker_no_job_of_half_its_overload_budget() {
    let mut settings = Settings { nodes: 1, warm_up_time: Duration::from_secs(200), ..settings() };
    settings.overload_time = Duration::from_millis(500);
    settings.classes[IDEMPOTENT].latency_stretch = 3.0; // Light and heavy jobs end in time at the cold worker.
    let mut node = Node::new(settings, 1);
    node.report_all_workers(3.0);
    let ms = |id: u32| if id.is_multiple_of(8) { 1800 } else { 40 };
    let sent_warm: usize = (0..80).map(|id| run_on_only_worker(&mut node, id, ms(id))).sum();
    assert_eq!(sent_warm, 80, "a warm worker must get light and heavy jobs");
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    let mut sent_cold = [0; 2];
    for id in 80..280_u32 {
        node.run_for(Duration::from_millis(100));
        sent_cold[usize::from(id.is_multiple_of(8))] += run_on_only_worker(&mut node, id, ms(id));
    }
    assert!(sent_cold[0] > 5 && sent_cold[1] == 0, "light and heavy jobs sent: {sent_cold:?}");
}

#[test]
fn ejects_a_failing_worker_and_probes_it_again_later() {
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
fn probes_other_workers_before_a_lost_probe_times_out() {
    let mut node = Node::new(settings(), 4);
    node.request(1, IDEMPOTENT);
    let lost = node.take_probes()[0];
    node.run_for(Duration::from_millis(20));
    let next = node.take_probes();
    assert!(
        !next.is_empty() && !next.contains(&lost),
        "other workers must be probed before the lost probe times out: {next:?}"
    );
    node.report(next[0], 2.0, 0.0);
    node.run_for(Duration::from_millis(20));
    assert_eq!(node.sends(), vec![(1, next[0])]);
    node.probe_failed(lost);
    assert_eq!(node.sends().len(), 1);
}

#[test]
fn probes_ejected_workers_if_all_are_ejected() {
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

/// Guards against trust in stale reports: workers reported as free rejected more jobs than those reported as busy.
#[test]
fn learns_that_stale_reports_of_free_slots_are_unreliable() {
    let mut settings = settings();
    settings.overload_time = Duration::from_secs(2000);
    settings.start_reported = true;
    let mut node = Node::new(settings, 8);
    node.report_all_workers(2.0);
    let (mut sent_to_free, mut sent_to_busy) = (0, 0);
    for id in 0..400 {
        node.request(id, NON_IDEMPOTENT);
        let mut probed = node.take_probes();
        for turn in 0..40 {
            node.actions.clear();
            for (i, worker) in probed.iter().enumerate() {
                let reported_free = (turn + i + id as usize).is_multiple_of(2);
                node.report(*worker, if reported_free { 2.0 } else { 0.0 }, 0.0);
            }
            let sent = node.sends();
            node.actions.retain(|action| !matches!(action, Action::Send { .. }));
            for (id, worker) in sent {
                let reported_free = node.last_free[&worker] > 0.0;
                let no = node.attempts[&id] - 1;
                if reported_free {
                    sent_to_free += u32::from(id >= 300);
                    node.outcome(id, no, worker, Status::Full, false);
                } else {
                    sent_to_busy += u32::from(id >= 300);
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
    assert!(
        sent_to_busy > 4 * sent_to_free,
        "sends of the last 100 requests: {sent_to_busy} to workers reported busy, {sent_to_free} to those reported free"
    );
}

/// Guards against probes of workers that are gone. Overloaded discovery announced drained and removed workers seconds
/// late; a node that had just started kept probing them, and one probe in four failed.
#[test]
fn ejects_a_worker_whose_probe_fails_longer_after_each_failure_in_a_row() {
    let mut node = Node::new(settings(), 8);
    node.report_all_workers(2.0);
    node.request(0, IDEMPOTENT);
    let lost = node.take_probes()[0];
    node.probe_failed(lost);
    let is_probed = |node: &mut Node, first_id: u32| {
        node.actions.clear();
        (first_id..first_id + 100).for_each(|id| node.request(id, IDEMPOTENT));
        node.take_probes().contains(&lost)
    };
    assert!(!is_probed(&mut node, 1));
    node.advance_clock(Duration::from_millis(1100));
    assert!(is_probed(&mut node, 200), "the ejection must end after 1 s");
    node.probe_failed(lost);
    node.advance_clock(Duration::from_millis(1100));
    assert!(!is_probed(&mut node, 400), "a second failure in a row must double the ejection");
    node.report(lost, 2.0, 0.0);
    node.advance_clock(Duration::from_secs(1));
    node.probe_failed(lost);
    node.advance_clock(Duration::from_millis(1100));
    assert!(is_probed(&mut node, 600), "an answered probe must clear the earlier failures");
}

/// Guards against learning too slowly: a node that saw only forty jobs estimated run times at 1.09 times the hint
/// where they were 1.49 times the hint.
#[test]
fn learns_the_speed_of_a_kind_from_twenty_jobs() {
    let mut settings = settings();
    (settings.start_reported, settings.classes[IDEMPOTENT].latency_stretch) = (true, 2.0);
    let mut node = Node::new(settings, 2);
    node.report_all_workers(2.0);
    (0..20).for_each(|id| run_hinted_job(&mut node, id, |_| 200));
    // At twice its hint, the job runs for 2 s and is on time within 2.25 s. The three jobs that wait at either worker
    // delay it by more.
    node.request_with_hint(99, 1000, 1.0);
    (0..3).for_each(|_| node.take_probes().into_iter().for_each(|worker| node.report(worker, 0.0, 3.0)));
    assert_eq!(node.final_answers(), vec![(99, "refuse")]);
}

/// Guards against run times of warm workers being assumed for cold ones: jobs sent to a cold worker ended late, half of
/// them at workers with a tenth to a fifth of the warm speed.
#[test]
fn sends_a_warming_worker_only_jobs_that_end_in_time_at_its_present_speed() {
    let mut settings = Settings { cold_capacity: 0.12, nodes: 1, start_reported: true, ..settings() };
    (settings.classes[IDEMPOTENT].latency_stretch, settings.classes[IDEMPOTENT].latency_target) =
        (2.0, Duration::from_millis(600));
    let mut node = Node::new(settings, 1);
    node.report_all_workers(5.0);
    assert_eq!(run_on_only_worker(&mut node, 1, 400), 1, "a warm worker must get the job");
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    node.run_for(Duration::from_secs(1));
    // The worker has at least 0.16 of its capacity. There, 0.4 s of work take 1.5 s and are on time within 1.4 s.
    assert_eq!((run_on_only_worker(&mut node, 2, 400), run_on_only_worker(&mut node, 3, 100)), (0, 1));
    // Its speed is probably higher than the minimum: 0.25 s of work take 1.0 s and are on time within 1.1 s.
    assert_eq!(run_on_only_worker(&mut node, 4, 250), 1);
}

/// Guards against idle capacity: a cold worker that was assumed to run one job at a time had idle slots while warm
/// workers rejected jobs.
#[test]
fn fills_all_slots_of_a_warming_worker_with_a_third_of_its_capacity() {
    let settings = Settings { cold_capacity: 0.35, nodes: 1, overload_multiple: 3.0, ..settings() };
    let mut node = Node::new(settings, 1);
    node.report_all_workers(4.0);
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(node.now))]);
    let mut in_flight = 0;
    for id in 1..40 {
        node.run_for(Duration::from_millis(100));
        node.request(id, IDEMPOTENT);
        node.take_probes().into_iter().for_each(|worker| node.report(worker, 4.0 - in_flight as f32, 0.0));
        in_flight = node.sends().len();
    }
    assert_eq!(in_flight, 4);
}

/// A warm worker with free slots is used even if the job is expected to end late there: hints are inexact, and the
/// slots would stay idle.
#[test]
fn sends_a_job_that_may_end_late_to_a_warm_worker_with_free_slots() {
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
    // Worker 0 takes as long as hinted, worker 1 four times as long.
    (0..100).for_each(|id| run_hinted_job(&mut node, id, |worker| if worker == 0 { 100 } else { 400 }));
    node.request_with_hint(200, 1000, 1.0);
    for _ in 0..3 {
        node.take_probes().into_iter().for_each(|worker| {
            node.report(worker, if worker == 0 { 0.0 } else { 2.0 }, 90.0 * f32::from(worker == 0))
        });
    }
    assert_eq!(node.sends(), vec![(200, 1)]);
}

/// Creates a node whose late answers keep half of their value. Reports hold only free slots, starts are reported, and
/// the slots of all workers are known.
fn node_with_late_value(workers: u32, quota_shares: &[f64]) -> Node {
    let mut settings = Settings {
        start_reported: true,
        nodes: 1,
        report_fields: vec![ReportField::FreeSlots],
        ..settings()
    };
    settings.tenants =
        quota_shares.iter().map(|&quota_share| Tenant { quota_share, quota_per_s: 1.0 }).collect();
    settings
        .classes
        .iter_mut()
        .for_each(|class| (class.late_value, class.latency_target) = (0.5, Duration::from_millis(300)));
    let mut node = Node::new(settings, workers);
    (0..3 * workers).for_each(|worker| node.report_free(worker % workers, 2.0));
    node
}

/// Makes a request and answers each of its probes with `free` slots. Returns the probed workers and the sends.
fn request_and_answer_probes(
    node: &mut Node, id: u32, class: usize, tenant: u16, free: f32,
) -> (Vec<u32>, Vec<(u32, u32)>) {
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

/// Guards against requests held back at full workers: they were probed for again and again, with eleven probes per
/// request, while workers became idle.
#[test]
fn queues_evenly_at_full_workers_if_late_answers_have_value() {
    let (mut node, mut jobs_per_worker) = (node_with_late_value(8, &[]), [0; 8]);
    for id in 0..16 {
        let (probed, sent) = request_and_answer_probes(&mut node, id, IDEMPOTENT, 0, 0.0);
        assert!(probed.len() <= 2);
        jobs_per_worker[sent[0].1 as usize] += 1;
    }
    assert_eq!(jobs_per_worker, [2; 8], "jobs per worker in both zones");
}

/// Guards against queues that make every job late: a job queued beyond its latency target was answered late, and so
/// were all jobs behind it.
#[test]
fn rejects_a_job_at_once_if_observed_waits_exceed_its_budget() {
    let mut node = node_with_late_value(4, &[]);
    (0..4).for_each(|id| drop(request_and_answer_probes(&mut node, id, IDEMPOTENT, 0, 0.0)));
    node.advance_clock(Duration::from_secs(1));
    (0..4).for_each(|id| node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) }));
    assert_eq!(
        (request_and_answer_probes(&mut node, 10, IDEMPOTENT, 0, 0.0).0.len(), node.final_answers()),
        (2, vec![(10, "refuse")])
    );
    node.advance_clock(Duration::from_secs(4));
    assert_eq!(
        request_and_answer_probes(&mut node, 11, IDEMPOTENT, 0, 0.0).1.len(),
        1,
        "an old observed wait must not count any more"
    );
}

/// Guards against tenants that crowd out others: traffic over a tenant's quota share has little value, but displaced
/// that of all tenants equally.
#[test]
fn queues_fewer_jobs_of_a_tenant_over_its_quota_share() {
    let mut node = node_with_late_value(1, &[0.2, 0.8]);
    for id in 0..400 {
        request_and_answer_probes(&mut node, id, IDEMPOTENT, u16::from(id % 2 == 0), 0.0);
        node.handle(Event::ClientGone { id: RequestId(id) });
        node.outcome(id, 0, 0, Status::Cancelled, true);
    }
    let mut sent =
        |id: u32, tenant| request_and_answer_probes(&mut node, id, IDEMPOTENT, tenant, 0.0).1.len();
    let over_share: usize = (1000..1009).map(|id| sent(id, 0)).sum();
    let within_share: usize = (2000..2009).map(|id| sent(id, 1)).sum();
    assert!(
        over_share < within_share,
        "sent {over_share} jobs of the tenant over its share and {within_share} of the tenant within its share"
    );
}

/// Guards against jobs that never start: a worker counted as full because of jobs that it had not begun.
#[test]
fn ejects_a_worker_for_a_class_whose_jobs_do_not_start_there() {
    let mut node = node_with_late_value(8, &[]);
    let worker = request_and_answer_probes(&mut node, 1, NON_IDEMPOTENT, 0, 2.0).1[0].1;
    assert_eq!(request_and_answer_probes(&mut node, 2, NON_IDEMPOTENT, 0, 2.0).1, [(2, worker)]);
    node.actions.clear();
    node.run_for(Duration::from_millis(400));
    let probed = node.take_probes();
    assert!(probed.contains(&worker), "a worker with two jobs that have not started must be probed");
    probed.into_iter().for_each(|worker| node.report_free(worker, 2.0));
    let cancelled_or_sent =
        node.actions.iter().any(|action| matches!(action, Action::Cancel { .. } | Action::Send { .. }));
    assert!(!cancelled_or_sent, "non-idempotent jobs must be neither cancelled nor sent again");
    assert_eq!(
        request_and_answer_probes(&mut node, 3, IDEMPOTENT, 0, 2.0).1,
        [(3, worker)],
        "the worker must get jobs of other classes"
    );
    assert!(
        !request_and_answer_probes(&mut node, 4, NON_IDEMPOTENT, 0, 2.0).0.contains(&worker),
        "the worker must not be probed for the ejected class"
    );
}

/// Guards against ejections for broken connections. Each probe that ended by a reset or a silent connection ejected its
/// worker for a second or more, and five of nine workers got no jobs although they were idle.
#[test]
fn does_not_eject_a_worker_for_a_broken_connection() {
    let is_ejected = |status, has_reported_since: bool| {
        let mut node = Node::new(settings(), 8);
        node.report_all_workers(2.0);
        node.request(0, IDEMPOTENT);
        let (worker, latency) = (node.take_probes()[0], Duration::from_millis(500));
        node.advance_clock(latency);
        (0..u32::from(has_reported_since)).for_each(|_| node.report(worker, 2.0, 0.0));
        node.handle(Event::Probed { worker: WorkerId(worker), status, latency, report: vec![] });
        node.actions.clear();
        (1..100).for_each(|id| node.request(id, IDEMPOTENT));
        !node.take_probes().contains(&worker)
    };
    assert!(!is_ejected(Status::Reset, false) && !is_ejected(Status::Timeout, true));
    assert!(is_ejected(Status::Timeout, false) && is_ejected(Status::ConnectFailed, false));
}
