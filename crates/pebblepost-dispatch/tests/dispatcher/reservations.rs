//! Room for large jobs: the reservations by themselves, and the node that keeps them.

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

fn forecast(worker: usize, slots: f64, free: f64, own: &[(u64, f64)], run: u64) -> WorkerForecast {
    let own_jobs = own.iter().map(|(at, slots)| SlotRelease { at: START + ms(*at), slots: *slots }).collect();
    WorkerForecast {
        worker,
        slots,
        free_slots: free,
        own_jobs,
        other_job_time: SECOND,
        queued_slots: 0.0,
        longest_wait: Duration::ZERO,
        queue_in_order: true,
        run_time: ms(run),
    }
}

fn reserve(
    reservations: &mut Reservations, id: u32, slots: f64, forecasts: &[WorkerForecast], latest: u64,
) -> Option<Reservation> {
    let fleet_slots = forecasts.iter().map(|forecast| forecast.slots).sum();
    let job = ReservationRequest { request: RequestId(id), slots, fleet_slots };
    reservations.reserve(START, job, forecasts, |_| START + ms(latest))
}

fn half_reservable() -> ReservationSettings {
    ReservationSettings { max_reserved_fraction: 0.5, ..ReservationSettings::default() }
}

fn reservations() -> Reservations {
    Reservations::new(half_reservable().max_reserved_fraction)
}

/// Jobs of 0.4 s in the mean, on machines of speed 1.
const TYPICAL: TypicalJob = TypicalJob { service_seconds: 0.4, seconds_per_hinted_second: 1.0 };

#[test]
fn forecasts_slots_by_own_and_other_jobs() {
    let opens = |forecast: &WorkerForecast, slots| {
        forecast.expected_start(START, slots).map(|at| at.since(START).as_millis())
    };
    let own = [(400, 1.0), (900, 1.0)];
    assert_eq!(opens(&forecast(0, 2.0, 1.0, &own[..1], 0), 1.0), Some(0));
    assert_eq!(opens(&forecast(0, 2.0, 0.0, &own, 0), 1.0), Some(400));
    assert_eq!(opens(&forecast(0, 2.0, 0.0, &own, 0), 2.0), Some(900));
    assert_eq!(opens(&forecast(0, 2.0, 0.0, &own, 0), 3.0), None, "wider than the worker");
    // Two slots of others, a second each in the mean: the first is free after half of that, both after one more.
    assert_eq!(opens(&forecast(0, 2.0, 0.0, &[], 0), 1.0), Some(500));
    assert_eq!(opens(&forecast(0, 2.0, 0.0, &[], 0), 2.0), Some(1500));
    let crowded =
        WorkerForecast { queued_slots: 2.0, longest_wait: ms(4000), ..forecast(0, 2.0, 0.0, &[], 0) };
    assert_eq!(opens(&crowded, 1.0), Some(4000), "no sooner than who came first has waited");
}

#[test]
fn classifies_large_jobs_by_recent_sizes_and_hints_only() {
    let mut sizes = JobSizes::new(half_reservable());
    let mut size = |work| sizes.record(work, 1.0, TYPICAL);
    for n in 0..200 {
        assert!(!size(Some(if n % 2 == 0 { 0.3 } else { 0.5 })), "all alike");
    }
    assert!(size(Some(4.0)));
    assert!(!size(None) && !size(Some(0.0)) && !size(Some(f64::NAN)));
    // When all are as large, none is.
    for _ in 0..600 {
        size(Some(4.0));
    }
    assert!(!size(Some(4.0)));
    let mut off = JobSizes::new(ReservationSettings { enabled: false, ..ReservationSettings::default() });
    assert!((0..300).all(|n| !off.record(Some(if n % 50 == 49 { 9.0 } else { 0.3 }), 1.0, TYPICAL)));
}

#[test]
fn classifies_jobs_of_many_slots_as_large() {
    let mut sizes = JobSizes::new(half_reservable());
    for _ in 0..100 {
        assert!(!sizes.record(Some(0.3), 1.0, TYPICAL));
    }
    assert!(sizes.record(Some(0.1), 2.0, TYPICAL) && !sizes.record(None, 2.0, TYPICAL));
    for _ in 0..600 {
        sizes.record(Some(0.3), 2.0, TYPICAL);
    }
    assert!(!sizes.record(Some(0.3), 2.0, TYPICAL), "where all take two, two are usual");
}

#[test]
fn forecasts_no_start_of_a_job_of_all_slots_in_an_unordered_queue() {
    let opens = |in_order, slots, free| {
        WorkerForecast { queue_in_order: in_order, ..forecast(0, 2.0, free, &[], 0) }
            .expected_start(START, slots)
            .is_some()
    };
    assert!(opens(true, 2.0, 0.0) && opens(false, 1.0, 0.0) && opens(false, 2.0, 2.0));
    assert!(!opens(false, 2.0, 1.0));
}

#[test]
fn backfills_small_jobs_that_end_before_the_reservation() {
    let mut reservations = reservations();
    // One slot is free now, the other in a second; the large one wants both and may start after three.
    let busy = forecast(0, 2.0, 1.0, &[(1000, 1.0)], 2000);
    let held = reserve(&mut reservations, 1, 2.0, std::slice::from_ref(&busy), 3000).expect("a reservation");
    assert_eq!((held.worker, held.expected_start), (0, START + SECOND));
    let small = |run| forecast(0, 2.0, 1.0, &[(1000, 1.0)], run);
    let may = |reservations: &Reservations, run| reservations.allows(START, RequestId(9), 1.0, &small(run));
    assert!(may(&reservations, 800) && may(&reservations, 1900), "ends before half of the slack is gone");
    assert!(!may(&reservations, 2500));
    assert!(reservations.allows(START, RequestId(1), 2.0, &small(9000)), "its own job is not kept out");
    // A wrong hint holds nothing for ever: past its latest start the reservation counts no more.
    assert!(reservations.allows(START + 4 * SECOND, RequestId(9), 1.0, &small(2500)));
    reservations.release(RequestId(1));
    assert!(may(&reservations, 2500));
}

#[test]
fn allows_long_jobs_beside_the_reserved_slots() {
    let mut reservations = reservations();
    let wide = forecast(0, 5.0, 2.0, &[(1000, 3.0)], 1000);
    reserve(&mut reservations, 1, 2.0, &[wide.clone(), forecast(1, 5.0, 0.0, &[], 9000)], 2000)
        .expect("held");
    assert!(reservations.allows(
        START,
        RequestId(2),
        1.0,
        &WorkerForecast { run_time: 60 * SECOND, ..wide.clone() }
    ));
    assert!(!reservations.allows(
        START,
        RequestId(2),
        4.0,
        &WorkerForecast { run_time: 60 * SECOND, ..wide }
    ));
}

#[test]
fn reserves_where_the_job_ends_first_and_starts_in_time() {
    let fleet = [forecast(0, 2.0, 0.0, &[(300, 2.0)], 4000), forecast(1, 3.0, 0.0, &[(900, 3.0)], 1000)];
    assert_eq!(reserve(&mut reservations(), 1, 1.0, &fleet, 1000).map(|held| held.worker), Some(1));
    assert_eq!(reserve(&mut reservations(), 1, 1.0, &fleet, 500).map(|held| held.worker), Some(0));
    assert_eq!(reserve(&mut reservations(), 1, 1.0, &fleet, 200), None);
    assert_eq!(reserve(&mut reservations(), 1, 4.0, &fleet, 5000), None, "too large for any");
}

#[test]
fn releases_the_reservations_of_a_lost_worker() {
    let mut reservations = reservations();
    let fleet = [forecast(0, 4.0, 0.0, &[], 100), forecast(1, 4.0, 0.0, &[], 900)];
    reserve(&mut reservations, 1, 1.0, &fleet, 9000).expect("held");
    reserve(&mut reservations, 2, 1.0, &fleet, 8000).expect("held");
    assert_eq!(
        reservations.holders(0),
        [RequestId(2), RequestId(1)],
        "the one that must start first in front"
    );
    assert_eq!(reservations.release_where(|worker| worker == 0), [RequestId(1), RequestId(2)]);
    assert!(!reservations.has_any_at(0) && reservations.get(RequestId(1)).is_none());
}

#[test]
fn names_settings_out_of_range() {
    let text = |settings: ReservationSettings| settings.check().map_err(|error| error.to_string());
    let usual = ReservationSettings::default();
    assert_eq!(text(usual), Ok(()));
    let wrong = text(ReservationSettings { max_reserved_fraction: 0.9, ..usual });
    assert_eq!(wrong, Err("room.mostHeld is 0.9: 0 to 0.5 is allowed".to_owned()));
    assert!(text(ReservationSettings { size_deviations: f64::NAN, ..usual }).is_err());
    let parsed = pebblepost_dispatch::wire::parse_settings("room.mostHeld=0.9")
        .map(|_| ())
        .map_err(|error| error.to_string());
    assert_eq!(parsed, wrong);
    assert!(
        !pebblepost_dispatch::wire::parse_settings("room.enabled=false").expect("sound").reservations.enabled
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None,
        cases: 200, ..ProptestConfig::default() })]

    /// Whatever comes: the small ones' floor stands, each job holds one part at most, and none that it cannot use.
    #[test]
    fn limits_reservations_whatever_large_jobs_arrive(
        jobs in prop::collection::vec((0_u32..80, 1_u8..5, 0_u64..4000, 0_u64..5000), 1..120),
        fleet in prop::collection::vec((1_u8..6, 0_u8..6, 50_u64..3000), 1..12),
    ) {
        let forecasts: Vec<WorkerForecast> = fleet.iter().enumerate().map(|(worker, (slots, free, run))| {
            forecast(worker, f64::from(*slots), f64::from((*free).min(*slots)), &[(700, 1.0)], *run)
        }).collect();
        let all: f64 = forecasts.iter().map(|forecast| forecast.slots).sum();
        let settings = ReservationSettings::default();
        let mut reservations = Reservations::new(settings.max_reserved_fraction);
        let mut held: BTreeMap<u32, Reservation> = BTreeMap::new();
        for (id, slots, latest, at) in jobs {
            let now = START + ms(at);
            let slots = f64::from(slots);
            let latest = now + ms(latest);
            held.retain(|_, held| held.latest_start >= now);
            held.remove(&id);
            let job = ReservationRequest { request: RequestId(id), slots, fleet_slots: all };
            if let Some(made) = reservations.reserve(now, job, &forecasts, |_| latest) {
                prop_assert!(made.expected_start <= made.latest_start && slots <= forecasts[made.worker].slots);
                held.insert(id, made);
            }
            let sum: f64 = held.values().map(|held| held.slots).sum();
            let widest = held.values().map(|held| held.slots).fold(0.0, f64::max);
            prop_assert!(sum <= (settings.max_reserved_fraction * all).max(widest));
        }
    }
}

// ---- The node ----

const LARGE: u32 = 500;

/// A node that knows its workers (K of 2), their pace and the usual sizes: jobs of 0.2 s.
fn seasoned(workers: u32, seed: u64) -> Node {
    seasoned_of(2.0, true, workers, seed)
}

fn seasoned_of(slots: f32, in_order: bool, workers: u32, seed: u64) -> Node {
    let mut settings = settings();
    settings.queues_in_order = in_order;
    (settings.start_reported, settings.nodes, settings.report_fields) =
        (true, 1, vec![ReportField::FreeSlots]);
    (settings.classes[IDEMPOTENT].latency_target, settings.classes[IDEMPOTENT].latency_stretch) =
        (ms(600), 2.0);
    let mut node = Node::seeded(settings, workers, seed);
    for id in 0..120 {
        node.request_with_hint(id, 200, 1.0);
        answer(&mut node, &|_| slots);
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

/// Answers all probes with the free slots that each worker has.
fn answer(node: &mut Node, free: &dyn Fn(u32) -> f32) -> Vec<u32> {
    let mut asked = vec![];
    loop {
        let probes = node.take_probes();
        if probes.is_empty() {
            return asked;
        }
        for worker in probes {
            asked.push(worker);
            let latency = ms(1);
            let report = vec![free(worker)];
            node.handle(Event::Probed { worker: WorkerId(worker), status: Status::Ok, latency, report });
        }
    }
}

/// Lets time pass, with every probe answered.
fn pass(node: &mut Node, span: u64, free: &dyn Fn(u32) -> f32) {
    for _ in 0..span / 2 {
        node.run_for(ms(2));
        answer(node, free);
    }
}

fn send_of(node: &Node, id: u32) -> Option<u32> {
    node.sends().into_iter().find(|(i, _)| *i == id).map(|(_, worker)| worker)
}

fn answer_of(node: &Node, id: u32) -> Option<&'static str> {
    node.final_answers().into_iter().find(|(i, _)| *i == id).map(|(_, what)| what)
}

#[test]
fn reserves_for_a_large_job_that_finds_all_busy() {
    for seed in 0..8 {
        let mut node = seasoned(4, seed);
        node.request_with_hint(LARGE, 2000, 1.0);
        answer(&mut node, &|_| 0.0);
        pass(&mut node, 600, &|_| 0.0);
        assert_eq!(answer_of(&node, LARGE), None, "seed {seed}");
        pass(&mut node, 600, &|worker| if worker == 1 { 1.0 } else { 0.0 });
        assert!(send_of(&node, LARGE).is_some(), "seed {seed}");
    }
}

#[test]
fn rejects_a_job_too_large_for_any_worker_without_probes() {
    for (work, slots) in [(2000, 4.0), (9000, 1.0)] {
        let mut node = seasoned(4, 1);
        node.request_with_hint(LARGE, work, slots);
        assert_eq!((node.final_answers(), node.take_probes()), (vec![(LARGE, "refuse")], vec![]));
        assert!(
            node.actions.iter().any(|action| matches!(action, Action::Refuse { retry_after: Some(_), .. })),
            "with advice"
        );
    }
}

/// A wide job of two slots that waits at a worker, and which worker that is.
fn waiting(node: &mut Node) -> u32 {
    node.request_with_hint(LARGE, 1500, 2.0);
    answer(node, &|_| 1.0);
    pass(node, 40, &|_| 1.0);
    send_of(node, LARGE).expect("queued where it will be served in time")
}

#[test]
fn small_jobs_skip_a_worker_reserved_for_a_large_one() {
    let place = |with_large: bool| {
        let mut node = seasoned(4, 3);
        let held = waiting(&mut node);
        if !with_large {
            node.outcome(LARGE, 0, held, Status::Ok, true);
        }
        let mut there = 0;
        for id in 1000..1100 {
            // As long as a job may be that is not large: it would hold its slot beyond the large one's start.
            node.request_with_hint(id, 900, 1.0);
            answer(&mut node, &|_| 1.0);
            there += usize::from(send_of(&node, id) == Some(held));
            if let Some(worker) = send_of(&node, id) {
                node.outcome(id, 0, worker, Status::Cancelled, true);
            }
        }
        there
    };
    assert_eq!(place(true), 0);
    assert!(place(false) > 5);
}

#[test]
fn releases_the_reservation_when_client_or_worker_is_gone() {
    for what in 0..4 {
        let mut node = seasoned(4, 3);
        let held = waiting(&mut node);
        node.actions.clear();
        match what {
            0 => node.handle(Event::ClientGone { id: RequestId(LARGE) }),
            1 => node.outcome(LARGE, 0, held, Status::Full, false),
            2 => node.outcome(LARGE, 0, held, Status::ConnectFailed, false),
            _ => {
                node.apply_member_list(ListKind::Delta, &[(held, WorkerState::Draining, None)]);
                node.outcome(LARGE, 0, held, Status::Full, false);
            }
        }
        if what == 0 {
            node.actions.clear();
            node.outcome(LARGE, 0, held, Status::Cancelled, true);
            assert!(
                node.take_probes().is_empty() && node.sends().is_empty(),
                "nothing for a departed client"
            );
            continue;
        }
        answer(&mut node, &|worker| if worker == held { 0.0 } else { 2.0 });
        pass(&mut node, 1000, &|worker| if worker == held { 0.0 } else { 2.0 });
        let next = send_of(&node, LARGE).expect("moved within the time left");
        assert_ne!(next, held);
    }
}

#[test]
fn releases_the_reservation_at_a_worker_that_restarts_or_is_silent() {
    for silent in [false, true] {
        let mut node = seasoned(3, 5);
        // Large for one slot, and a queue everywhere that is too long: it looks at one worker again and again.
        node.request_with_hint(LARGE, 2000, 1.0);
        let mut last = 0;
        for _ in 0..40 {
            if let Some(worker) = answer(&mut node, &|_| 0.0).last() {
                last = *worker;
            }
            if send_of(&node, LARGE).is_some() {
                break;
            }
            node.run_for(ms(2));
        }
        if let Some(worker) = send_of(&node, LARGE) {
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
        let ended =
            send_of(&node, LARGE).is_some_and(|worker| worker != last) || answer_of(&node, LARGE).is_some();
        assert!(ended, "silent: {silent}");
    }
}

#[test]
fn answers_both_nodes_that_reserved_the_same_worker() {
    let (mut resumed, mut lost) = (seasoned(1, 1), seasoned(1, 2));
    for node in [&mut resumed, &mut lost] {
        node.request_with_hint(LARGE, 2000, 2.0);
        answer(node, &|_| 0.0);
    }
    // The worker frees up; the first to see it takes it, and the other sees it full until its time is over.
    pass(&mut resumed, 1000, &|_| 2.0);
    assert!(send_of(&resumed, LARGE).is_some());
    pass(&mut lost, 5000, &|_| 0.0);
    assert!(send_of(&lost, LARGE).is_some() || answer_of(&lost, LARGE).is_some());
    // Nothing is left behind: small ones have the worker.
    if let Some(worker) = send_of(&lost, LARGE) {
        lost.outcome(LARGE, 0, worker, Status::Cancelled, true);
    }
    lost.request_with_hint(2000, 200, 1.0);
    answer(&mut lost, &|_| 2.0);
    assert!(send_of(&lost, 2000).is_some());
}

#[test]
fn rejects_a_reserved_job_that_can_no_longer_be_in_time() {
    let mut node = seasoned(2, 4);
    node.request_with_hint(LARGE, 2000, 2.0);
    let from = node.now;
    for _ in 0..2500 {
        node.take_probes().into_iter().for_each(|worker| node.probe_failed(worker));
        node.run_for(ms(2));
        if answer_of(&node, LARGE).is_some() {
            break;
        }
    }
    assert_eq!(answer_of(&node, LARGE), Some("refuse"));
    assert!(node.last_final_answer_at.since(from) < ms(2700), "not kept until the client gives up");
}

/// Where whatever fits may start, a wide job that finds one slot at each probed looks at a worker it believes free.
fn looking() -> (Node, u32) {
    let mut node = seasoned_of(2.0, false, 4, 3);
    node.request_with_hint(LARGE, 1500, 2.0);
    answer(&mut node, &|_| 1.0);
    assert_eq!(answer_of(&node, LARGE), None, "not refused while a worker may have room");
    let mut later = node
        .run_until(|action| matches!(action, Action::Probe { .. }), ms(500))
        .map(|_| node.take_probes())
        .expect("a look");
    (node, later.remove(0))
}

#[test]
fn sends_a_wide_job_to_its_reserved_worker() {
    let (mut node, held) = looking();
    let latency = ms(1);
    node.handle(Event::Probed { worker: WorkerId(held), status: Status::Ok, latency, report: vec![2.0] });
    assert_eq!(send_of(&node, LARGE), Some(held));
}

#[test]
fn small_jobs_skip_a_worker_where_they_would_delay_a_wide_one() {
    let mut node = seasoned_of(3.0, false, 1, 3);
    node.request_with_hint(LARGE, 4600, 2.0);
    answer(&mut node, &|_| 1.0);
    assert_eq!(send_of(&node, LARGE), Some(0));
    node.run_for(ms(50));
    node.request_with_hint(1000, 900, 1.0);
    answer(&mut node, &|_| 1.0);
    assert_eq!(send_of(&node, 1000), None);
}

#[test]
fn drops_a_reserved_worker_that_does_not_answer_its_probe() {
    let (mut node, held) = looking();
    for _ in 0..1000 {
        for worker in node.take_probes() {
            assert_ne!(worker, held, "it said nothing");
            node.handle(Event::Probed {
                worker: WorkerId(worker),
                status: Status::Ok,
                latency: ms(1),
                report: vec![1.0],
            });
        }
        node.run_for(ms(2));
    }
    assert_eq!(answer_of(&node, LARGE), Some("refuse"));
}

#[test]
fn starts_a_new_round_when_the_reserved_worker_drains() {
    let mut node = seasoned_of(2.0, false, 4, 3);
    let probed = |node: &mut Node| answer(node, &|_| 1.0);
    node.request_with_hint(LARGE, 1500, 2.0);
    let seen = probed(&mut node);
    let lost: Vec<_> = (0..4)
        .filter(|worker| !seen.contains(worker))
        .map(|worker| (worker, WorkerState::Draining, None))
        .collect();
    assert_eq!(lost.len(), 2, "the held one is among those not probed");
    node.apply_member_list(ListKind::Delta, &lost);
    assert!(!node.take_probes().is_empty(), "no time has passed");
}
