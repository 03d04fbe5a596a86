//! Reservations for large jobs: forecasts, job sizes and reservations by themselves, then a node that uses them.

use crate::node::*;
use pebblepost_dispatch::api::*;
use pebblepost_dispatch::forecast::{SlotRelease, WorkerForecast};
use pebblepost_dispatch::job_size::{JobSizes, TypicalJob};
use pebblepost_dispatch::reservation::{Reservation, ReservationRequest, ReservationSettings, Reservations};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Creates a forecast. `own_jobs` holds the expected end, in milliseconds after `START`, and the slots of each own job.
fn forecast(worker: usize, slots: f64, free: f64, own_jobs: &[(u64, f64)], run_ms: u64) -> WorkerForecast {
    let own_jobs =
        own_jobs.iter().map(|(at, slots)| SlotRelease { at: START + ms(*at), slots: *slots }).collect();
    WorkerForecast {
        worker,
        slots,
        free_slots: free,
        own_jobs,
        other_job_time: SECOND,
        queued_slots: 0.0,
        longest_wait: Duration::ZERO,
        queue_in_order: true,
        run_time: ms(run_ms),
    }
}

/// Reserves slots for a job that must start within `latest_ms` milliseconds.
fn reserve(
    reservations: &mut Reservations, id: u32, slots: f64, forecasts: &[WorkerForecast], latest_ms: u64,
) -> Option<Reservation> {
    let fleet_slots = forecasts.iter().map(|forecast| forecast.slots).sum();
    let job = ReservationRequest { request: RequestId(id), slots, fleet_slots };
    reservations.reserve(START, job, forecasts, |_| START + ms(latest_ms))
}

fn half_reservable() -> ReservationSettings {
    ReservationSettings { max_reserved_fraction: 0.5, ..ReservationSettings::default() }
}

fn reservations() -> Reservations {
    Reservations::new(half_reservable().max_reserved_fraction)
}

/// Jobs of 0.4 s on average, at workers that take as long as hinted.
const TYPICAL_JOB: TypicalJob = TypicalJob { service_seconds: 0.4, seconds_per_hinted_second: 1.0 };

#[test]
fn forecasts_the_start_from_own_jobs_and_jobs_of_other_nodes() {
    let start_ms = |forecast: &WorkerForecast, slots| {
        forecast.expected_start(START, slots).map(|at| at.since(START).as_millis())
    };
    let own_jobs = [(400, 1.0), (900, 1.0)];
    assert_eq!(start_ms(&forecast(0, 2.0, 1.0, &own_jobs[..1], 0), 1.0), Some(0));
    assert_eq!(start_ms(&forecast(0, 2.0, 0.0, &own_jobs, 0), 1.0), Some(400));
    assert_eq!(start_ms(&forecast(0, 2.0, 0.0, &own_jobs, 0), 2.0), Some(900));
    assert_eq!(
        start_ms(&forecast(0, 2.0, 0.0, &own_jobs, 0), 3.0),
        None,
        "a job of three slots never fits a worker of two"
    );
    // Two slots hold jobs of other nodes of 1 s on average. The first is expected to be free after 0.5 s and the second
    // 1 s later.
    assert_eq!(start_ms(&forecast(0, 2.0, 0.0, &[], 0), 1.0), Some(500));
    assert_eq!(start_ms(&forecast(0, 2.0, 0.0, &[], 0), 2.0), Some(1500));
    let queued =
        WorkerForecast { queued_slots: 2.0, longest_wait: ms(4000), ..forecast(0, 2.0, 0.0, &[], 0) };
    assert_eq!(
        start_ms(&queued, 1.0),
        Some(4000),
        "the start is no sooner than the wait of the first job in the queue"
    );
}

#[test]
fn classifies_hinted_jobs_as_large_relative_to_recent_sizes() {
    let mut sizes = JobSizes::new(half_reservable());
    let mut is_large = |work| sizes.record(work, 1.0, TYPICAL_JOB);
    for n in 0..200 {
        assert!(!is_large(Some(if n % 2 == 0 { 0.3 } else { 0.5 })), "jobs of similar sizes are not large");
    }
    assert!(is_large(Some(4.0)));
    assert!(!is_large(None) && !is_large(Some(0.0)) && !is_large(Some(f64::NAN)));
    // If all recent jobs are of the same size, none is large.
    for _ in 0..600 {
        is_large(Some(4.0));
    }
    assert!(!is_large(Some(4.0)));
    let mut disabled =
        JobSizes::new(ReservationSettings { enabled: false, ..ReservationSettings::default() });
    assert!((0..300).all(|n| !disabled.record(Some(if n % 50 == 49 { 9.0 } else { 0.3 }), 1.0, TYPICAL_JOB)));
}

#[test]
fn classifies_jobs_of_more_slots_than_usual_as_large() {
    let mut sizes = JobSizes::new(half_reservable());
    for _ in 0..100 {
        assert!(!sizes.record(Some(0.3), 1.0, TYPICAL_JOB));
    }
    assert!(sizes.record(Some(0.1), 2.0, TYPICAL_JOB) && !sizes.record(None, 2.0, TYPICAL_JOB));
    for _ in 0..600 {
        sizes.record(Some(0.3), 2.0, TYPICAL_JOB);
    }
    assert!(
        !sizes.record(Some(0.3), 2.0, TYPICAL_JOB),
        "if all recent jobs take two slots, a job of two slots is not large"
    );
}

#[test]
fn forecasts_no_start_for_a_job_of_all_slots_in_an_unordered_queue() {
    let has_start = |in_order, slots, free| {
        WorkerForecast { queue_in_order: in_order, ..forecast(0, 2.0, free, &[], 0) }
            .expected_start(START, slots)
            .is_some()
    };
    assert!(has_start(true, 2.0, 0.0) && has_start(false, 1.0, 0.0) && has_start(false, 2.0, 2.0));
    assert!(!has_start(false, 2.0, 1.0));
}

#[test]
fn backfills_small_jobs_that_end_early_enough_for_the_reservation() {
    let mut reservations = reservations();
    // One slot is free now and the other in 1 s. The large job takes both and may start after 3 s.
    let busy = forecast(0, 2.0, 1.0, &[(1000, 1.0)], 2000);
    let reservation =
        reserve(&mut reservations, 1, 2.0, std::slice::from_ref(&busy), 3000).expect("a reservation");
    assert_eq!((reservation.worker, reservation.expected_start), (0, START + SECOND));
    let small = |run_ms| forecast(0, 2.0, 1.0, &[(1000, 1.0)], run_ms);
    let allows =
        |reservations: &Reservations, run_ms| reservations.allows(START, RequestId(9), 1.0, &small(run_ms));
    assert!(
        allows(&reservations, 800) && allows(&reservations, 1900),
        "small jobs that end within half of the slack are allowed"
    );
    assert!(!allows(&reservations, 2500));
    assert!(
        reservations.allows(START, RequestId(1), 2.0, &small(9000)),
        "a reservation must not keep out its own job"
    );
    // A reservation past its latest start does not count, so that a wrong hint cannot reserve slots forever.
    assert!(reservations.allows(START + 4 * SECOND, RequestId(9), 1.0, &small(2500)));
    reservations.release(RequestId(1));
    assert!(allows(&reservations, 2500));
}

#[test]
fn allows_long_jobs_that_leave_the_reserved_slots_free() {
    let mut reservations = reservations();
    let partly_free = forecast(0, 5.0, 2.0, &[(1000, 3.0)], 1000);
    reserve(&mut reservations, 1, 2.0, &[partly_free.clone(), forecast(1, 5.0, 0.0, &[], 9000)], 2000)
        .expect("a reservation");
    assert!(reservations.allows(
        START,
        RequestId(2),
        1.0,
        &WorkerForecast { run_time: 60 * SECOND, ..partly_free.clone() }
    ));
    assert!(!reservations.allows(
        START,
        RequestId(2),
        4.0,
        &WorkerForecast { run_time: 60 * SECOND, ..partly_free }
    ));
}

#[test]
fn reserves_the_worker_where_the_job_starts_in_time_and_ends_first() {
    let fleet = [forecast(0, 2.0, 0.0, &[(300, 2.0)], 4000), forecast(1, 3.0, 0.0, &[(900, 3.0)], 1000)];
    assert_eq!(
        reserve(&mut reservations(), 1, 1.0, &fleet, 1000).map(|reservation| reservation.worker),
        Some(1)
    );
    assert_eq!(
        reserve(&mut reservations(), 1, 1.0, &fleet, 500).map(|reservation| reservation.worker),
        Some(0)
    );
    assert_eq!(reserve(&mut reservations(), 1, 1.0, &fleet, 200), None);
    assert_eq!(
        reserve(&mut reservations(), 1, 4.0, &fleet, 5000),
        None,
        "a job of four slots fits no worker"
    );
}

#[test]
fn releases_all_reservations_of_a_removed_worker() {
    let mut reservations = reservations();
    let fleet = [forecast(0, 4.0, 0.0, &[], 100), forecast(1, 4.0, 0.0, &[], 900)];
    reserve(&mut reservations, 1, 1.0, &fleet, 9000).expect("a reservation");
    reserve(&mut reservations, 2, 1.0, &fleet, 8000).expect("a reservation");
    assert_eq!(
        reservations.holders(0),
        [RequestId(2), RequestId(1)],
        "jobs are ordered by their latest start"
    );
    assert_eq!(reservations.release_where(|worker| worker == 0), [RequestId(1), RequestId(2)]);
    assert!(!reservations.has_any_at(0) && reservations.get(RequestId(1)).is_none());
}

#[test]
fn rejects_settings_out_of_range_by_name() {
    let check = |settings: ReservationSettings| settings.check().map_err(|error| error.to_string());
    let defaults = ReservationSettings::default();
    assert_eq!(check(defaults), Ok(()));
    let out_of_range = check(ReservationSettings { max_reserved_fraction: 0.9, ..defaults });
    assert_eq!(out_of_range, Err("room.mostHeld is 0.9: 0 to 0.5 is allowed".to_owned()));
    assert!(check(ReservationSettings { size_deviations: f64::NAN, ..defaults }).is_err());
    let parsed = pebblepost_dispatch::wire::parse_settings("room.mostHeld=0.9")
        .map(|_| ())
        .map_err(|error| error.to_string());
    assert_eq!(parsed, out_of_range);
    assert!(
        !pebblepost_dispatch::wire::parse_settings("room.enabled=false")
            .expect("valid settings")
            .reservations
            .enabled
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None,
        cases: 200, ..ProptestConfig::default() })]

    /// For any arrivals, the slots for small jobs stay unreserved, each job has at most one reservation, and only at a
    /// worker where it fits and starts in time.
    #[test]
    fn limits_reservations_for_any_arrivals_of_large_jobs(
        jobs in prop::collection::vec((0_u32..80, 1_u8..5, 0_u64..4000, 0_u64..5000), 1..120),
        fleet in prop::collection::vec((1_u8..6, 0_u8..6, 50_u64..3000), 1..12),
    ) {
        let forecasts: Vec<WorkerForecast> = fleet.iter().enumerate().map(|(worker, (slots, free, run))| {
            forecast(worker, f64::from(*slots), f64::from((*free).min(*slots)), &[(700, 1.0)], *run)
        }).collect();
        let fleet_slots: f64 = forecasts.iter().map(|forecast| forecast.slots).sum();
        let settings = ReservationSettings::default();
        let mut reservations = Reservations::new(settings.max_reserved_fraction);
        let mut active: BTreeMap<u32, Reservation> = BTreeMap::new();
        for (id, slots, latest, at) in jobs {
            let now = START + ms(at);
            let slots = f64::from(slots);
            let latest = now + ms(latest);
            active.retain(|_, reservation| reservation.latest_start >= now);
            active.remove(&id);
            let job = ReservationRequest { request: RequestId(id), slots, fleet_slots };
            if let Some(reservation) = reservations.reserve(now, job, &forecasts, |_| latest) {
                prop_assert!(
                    reservation.expected_start <= reservation.latest_start
                        && slots <= forecasts[reservation.worker].slots
                );
                active.insert(id, reservation);
            }
            let reserved: f64 = active.values().map(|reservation| reservation.slots).sum();
            let largest = active.values().map(|reservation| reservation.slots).fold(0.0, f64::max);
            prop_assert!(reserved <= (settings.max_reserved_fraction * fleet_slots).max(largest));
        }
    }
}

// Tests of a node that uses reservations.

/// Request id of the large job.
const LARGE: u32 = 500;

/// Creates a node that knows its workers of two slots, their speed, and the usual job size of 0.2 s.
fn trained_node(workers: u32, seed: u64) -> Node {
    trained_node_with(2.0, true, workers, seed)
}

fn trained_node_with(slots: f32, in_order: bool, workers: u32, seed: u64) -> Node {
    let mut settings = settings();
    settings.queues_in_order = in_order;
    (settings.start_reported, settings.nodes, settings.report_fields) =
        (true, 1, vec![ReportField::FreeSlots]);
    (settings.classes[IDEMPOTENT].latency_target, settings.classes[IDEMPOTENT].latency_stretch) =
        (ms(600), 2.0);
    let mut node = Node::seeded(settings, workers, seed);
    for id in 0..120 {
        node.request_with_hint(id, 200, 1.0);
        answer_probes(&mut node, &|_| slots);
        let (_, worker) = node.sends()[0];
        started(&mut node, id);
        node.advance_clock(ms(200));
        node.outcome(id, 0, worker, Status::Ok, true);
    }
    node.actions.clear();
    node
}

fn started(node: &mut Node, id: u32) {
    node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) });
}

/// Answers all probes with the free slots of each worker. Returns the probed workers.
fn answer_probes(node: &mut Node, free: &dyn Fn(u32) -> f32) -> Vec<u32> {
    let mut probed = vec![];
    loop {
        let probes = node.take_probes();
        if probes.is_empty() {
            return probed;
        }
        for worker in probes {
            probed.push(worker);
            let latency = ms(1);
            let report = vec![free(worker)];
            node.handle(Event::Probed { worker: WorkerId(worker), status: Status::Ok, latency, report });
        }
    }
}

/// Advances the clock by `span_ms` milliseconds and answers every probe.
fn run_answering_probes(node: &mut Node, span_ms: u64, free: &dyn Fn(u32) -> f32) {
    for _ in 0..span_ms / 2 {
        node.run_for(ms(2));
        answer_probes(node, free);
    }
}

/// Returns the worker to which a request was sent.
fn sent_to(node: &Node, id: u32) -> Option<u32> {
    node.sends().into_iter().find(|(request, _)| *request == id).map(|(_, worker)| worker)
}

/// Returns the final answer to a request.
fn final_answer_of(node: &Node, id: u32) -> Option<&'static str> {
    node.final_answers().into_iter().find(|(request, _)| *request == id).map(|(_, answer)| answer)
}

#[test]
fn reserves_slots_for_a_large_job_when_all_workers_are_busy() {
    for seed in 0..8 {
        let mut node = trained_node(4, seed);
        node.request_with_hint(LARGE, 2000, 1.0);
        answer_probes(&mut node, &|_| 0.0);
        run_answering_probes(&mut node, 600, &|_| 0.0);
        assert_eq!(final_answer_of(&node, LARGE), None, "seed {seed}");
        run_answering_probes(&mut node, 600, &|worker| if worker == 1 { 1.0 } else { 0.0 });
        assert!(sent_to(&node, LARGE).is_some(), "seed {seed}");
    }
}

#[test]
fn rejects_a_job_that_fits_no_worker_without_probes() {
    for (work, slots) in [(2000, 4.0), (9000, 1.0)] {
        let mut node = trained_node(4, 1);
        node.request_with_hint(LARGE, work, slots);
        assert_eq!((node.final_answers(), node.take_probes()), (vec![(LARGE, "refuse")], vec![]));
        assert!(
            node.actions.iter().any(|action| matches!(action, Action::Refuse { retry_after: Some(_), .. })),
            "the refusal must say when to retry"
        );
    }
}

/// Sends a large job of two slots that has to queue. Returns its worker.
fn queue_large_job(node: &mut Node) -> u32 {
    node.request_with_hint(LARGE, 1500, 2.0);
    answer_probes(node, &|_| 1.0);
    run_answering_probes(node, 40, &|_| 1.0);
    sent_to(node, LARGE).expect("a worker where the job ends in time")
}

#[test]
fn small_jobs_skip_a_worker_with_a_reservation_for_a_queued_large_job() {
    let sent_to_reserved_worker = |with_large_job: bool| {
        let mut node = trained_node(4, 3);
        let reserved_worker = queue_large_job(&mut node);
        if !with_large_job {
            node.outcome(LARGE, 0, reserved_worker, Status::Ok, true);
        }
        let mut count = 0;
        for id in 1000..1100 {
            // The longest job that is not large. It would occupy its slot beyond the expected start of the large job.
            node.request_with_hint(id, 900, 1.0);
            answer_probes(&mut node, &|_| 1.0);
            count += usize::from(sent_to(&node, id) == Some(reserved_worker));
            if let Some(worker) = sent_to(&node, id) {
                node.outcome(id, 0, worker, Status::Cancelled, true);
            }
        }
        count
    };
    assert_eq!(sent_to_reserved_worker(true), 0);
    assert!(sent_to_reserved_worker(false) > 5);
}

#[test]
fn releases_the_reservation_when_the_client_leaves_or_the_worker_rejects_the_job() {
    for case in 0..4 {
        let mut node = trained_node(4, 3);
        let reserved_worker = queue_large_job(&mut node);
        node.actions.clear();
        match case {
            0 => node.handle(Event::ClientGone { id: RequestId(LARGE) }),
            1 => node.outcome(LARGE, 0, reserved_worker, Status::Full, false),
            2 => node.outcome(LARGE, 0, reserved_worker, Status::ConnectFailed, false),
            _ => {
                node.apply_member_list(ListKind::Delta, &[(reserved_worker, WorkerState::Draining, None)]);
                node.outcome(LARGE, 0, reserved_worker, Status::Full, false);
            }
        }
        if case == 0 {
            node.actions.clear();
            node.outcome(LARGE, 0, reserved_worker, Status::Cancelled, true);
            assert!(
                node.take_probes().is_empty() && node.sends().is_empty(),
                "neither probes nor sends after the client has left"
            );
            continue;
        }
        answer_probes(&mut node, &|worker| if worker == reserved_worker { 0.0 } else { 2.0 });
        run_answering_probes(&mut node, 1000, &|worker| if worker == reserved_worker { 0.0 } else { 2.0 });
        let next = sent_to(&node, LARGE).expect("the job is sent to another worker in time");
        assert_ne!(next, reserved_worker);
    }
}

#[test]
fn releases_the_reservation_at_a_worker_that_restarts_or_does_not_answer() {
    for silent in [false, true] {
        let mut node = trained_node(3, 5);
        // A large job of one slot. All workers are full, so the node probes its reserved worker repeatedly.
        node.request_with_hint(LARGE, 2000, 1.0);
        let mut last = 0;
        for _ in 0..40 {
            if let Some(worker) = answer_probes(&mut node, &|_| 0.0).last() {
                last = *worker;
            }
            if sent_to(&node, LARGE).is_some() {
                break;
            }
            node.run_for(ms(2));
        }
        if let Some(worker) = sent_to(&node, LARGE) {
            last = worker;
            node.outcome(LARGE, 0, worker, Status::Timeout, false);
        }
        if !silent {
            node.apply_member_list(ListKind::Delta, &[(last, WorkerState::Ready, Some(node.now))]);
        }
        node.actions.clear();
        for _ in 0..1500 {
            for worker in node.take_probes() {
                if silent && worker == last {
                    node.probe_failed(worker);
                } else {
                    node.handle(Event::Probed {
                        worker: WorkerId(worker),
                        status: Status::Ok,
                        latency: ms(1),
                        report: vec![1.0],
                    });
                }
            }
            node.run_for(ms(2));
        }
        let ended = sent_to(&node, LARGE).is_some_and(|worker| worker != last)
            || final_answer_of(&node, LARGE).is_some();
        assert!(ended, "silent: {silent}");
    }
}

#[test]
fn two_nodes_that_reserve_the_same_worker_both_answer() {
    let (mut first, mut second) = (trained_node(1, 1), trained_node(1, 2));
    for node in [&mut first, &mut second] {
        node.request_with_hint(LARGE, 2000, 2.0);
        answer_probes(node, &|_| 0.0);
    }
    // The first node to see the free worker sends its job. The second node sees a full worker until its job is late.
    run_answering_probes(&mut first, 1000, &|_| 2.0);
    assert!(sent_to(&first, LARGE).is_some());
    run_answering_probes(&mut second, 5000, &|_| 0.0);
    assert!(sent_to(&second, LARGE).is_some() || final_answer_of(&second, LARGE).is_some());
    // No reservation is left: a small job gets the worker.
    if let Some(worker) = sent_to(&second, LARGE) {
        second.outcome(LARGE, 0, worker, Status::Cancelled, true);
    }
    second.request_with_hint(2000, 200, 1.0);
    answer_probes(&mut second, &|_| 2.0);
    assert!(sent_to(&second, 2000).is_some());
}

#[test]
fn rejects_a_job_with_a_reservation_that_can_no_longer_end_in_time() {
    let mut node = trained_node(2, 4);
    node.request_with_hint(LARGE, 2000, 2.0);
    let requested_at = node.now;
    for _ in 0..2500 {
        node.take_probes().into_iter().for_each(|worker| node.probe_failed(worker));
        node.run_for(ms(2));
        if final_answer_of(&node, LARGE).is_some() {
            break;
        }
    }
    assert_eq!(final_answer_of(&node, LARGE), Some("refuse"));
    assert!(
        node.last_final_answer_at.since(requested_at) < ms(2700),
        "the refusal must come within 2.7 s, well before the deadline"
    );
}

/// Creates a node with a large job of two slots and unordered queues. The probed workers have one free slot, so the
/// node reserves another worker, which it expects to be free, and probes it. Returns the node and that worker.
fn node_probing_reserved_worker() -> (Node, u32) {
    let mut node = trained_node_with(2.0, false, 4, 3);
    node.request_with_hint(LARGE, 1500, 2.0);
    answer_probes(&mut node, &|_| 1.0);
    assert_eq!(
        final_answer_of(&node, LARGE),
        None,
        "a job must not be rejected while a worker may have capacity"
    );
    let mut probed = node
        .run_until(|action| matches!(action, Action::Probe { .. }), ms(500))
        .map(|_| node.take_probes())
        .expect("a probe of the reserved worker");
    (node, probed.remove(0))
}

#[test]
fn sends_a_large_job_to_its_reserved_worker() {
    let (mut node, reserved_worker) = node_probing_reserved_worker();
    let latency = ms(1);
    node.handle(Event::Probed {
        worker: WorkerId(reserved_worker),
        status: Status::Ok,
        latency,
        report: vec![2.0],
    });
    assert_eq!(sent_to(&node, LARGE), Some(reserved_worker));
}

#[test]
fn small_jobs_skip_a_worker_where_they_would_delay_a_queued_large_job() {
    let mut node = trained_node_with(3.0, false, 1, 3);
    node.request_with_hint(LARGE, 4600, 2.0);
    answer_probes(&mut node, &|_| 1.0);
    assert_eq!(sent_to(&node, LARGE), Some(0));
    node.run_for(ms(50));
    node.request_with_hint(1000, 900, 1.0);
    answer_probes(&mut node, &|_| 1.0);
    assert_eq!(sent_to(&node, 1000), None);
}

#[test]
fn stops_probing_a_reserved_worker_that_does_not_answer() {
    let (mut node, reserved_worker) = node_probing_reserved_worker();
    for _ in 0..1000 {
        for worker in node.take_probes() {
            assert_ne!(worker, reserved_worker, "the worker has not answered the last probe");
            node.handle(Event::Probed {
                worker: WorkerId(worker),
                status: Status::Ok,
                latency: ms(1),
                report: vec![1.0],
            });
        }
        node.run_for(ms(2));
    }
    assert_eq!(final_answer_of(&node, LARGE), Some("refuse"));
}

#[test]
fn starts_a_new_round_at_once_when_the_reserved_worker_drains() {
    let mut node = trained_node_with(2.0, false, 4, 3);
    let answer_with_one_slot = |node: &mut Node| answer_probes(node, &|_| 1.0);
    node.request_with_hint(LARGE, 1500, 2.0);
    let probed = answer_with_one_slot(&mut node);
    let drained: Vec<_> = (0..4)
        .filter(|worker| !probed.contains(worker))
        .map(|worker| (worker, WorkerState::Draining, None))
        .collect();
    assert_eq!(drained.len(), 2, "the reserved worker is one of the two that were not probed");
    node.apply_member_list(ListKind::Delta, &drained);
    assert!(!node.take_probes().is_empty(), "a new round must start at once");
}
