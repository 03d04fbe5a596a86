//! Reactions of the planner to single events: which outcome or report leads to which action.

use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use pebblepost_rollout::{LoadMode, LoadOrder, OrderOutcome, PlanOutput, Planner, TranscriberReport};
use rstest::rstest;
use std::time::Duration;

const MODEL: &str = "model-a";

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn instance(id: &str, generation: u64, sequence: u64) -> Instance {
    Instance {
        id: id.to_owned(),
        backend: "service".to_owned(),
        address: format!("{id}:8080"),
        zone: "zone-a".to_owned(),
        slots: 12,
        models: vec![ModelVersion { model: MODEL.to_owned(), generation }],
        sequence,
        ..Instance::default()
    }
}

fn report(is_loading: bool, generation: u64) -> Option<TranscriberReport> {
    Some(TranscriberReport { is_loading, models: vec![(MODEL.to_owned(), generation)], running: 0 })
}

fn orders(planner: &mut Planner) -> Vec<LoadOrder> {
    let outputs = planner.take_outputs();
    outputs
        .into_iter()
        .filter_map(|output| match output {
            PlanOutput::SendOrder(order) => Some(order),
            _ => None,
        })
        .collect()
}

/// Returns a planner with one transcriber that was just ordered to load version 2, and that order.
fn one_order() -> (Planner, LoadOrder) {
    let mut planner = Planner::new(Duration::ZERO);
    planner.handle_instance_update(ms(0), &instance("i-1", 1, 1));
    planner.set_named_version(ms(0), MODEL, 2, false);
    let order = orders(&mut planner).pop().expect("one order");
    (planner, order)
}

fn polls(outputs: &[PlanOutput]) -> usize {
    outputs.iter().filter(|output| matches!(output, PlanOutput::FetchLoadReport { .. })).count()
}

#[test]
fn polls_an_order_until_the_version_is_loaded() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(5), &order, OrderOutcome::Accepted);
    planner.tick(ms(300));
    assert_eq!(planner.take_outputs(), []);
    planner.tick(ms(355));
    assert_eq!(polls(&planner.take_outputs()), 1);
    planner.handle_report(ms(360), "i-1", report(true, 1));
    planner.tick(ms(500));
    assert_eq!(planner.take_outputs(), []);
    planner.tick(ms(510));
    assert_eq!(polls(&planner.take_outputs()), 1);
    planner.handle_report(ms(515), "i-1", report(false, 2));
    let loaded =
        PlanOutput::VersionLoaded { instance: "i-1".to_owned(), model: MODEL.to_owned(), generation: 2 };
    assert_eq!(planner.take_outputs(), [loaded]);
    assert_eq!(planner.next_wake(ms(515)), None);
}

#[test]
fn reported_version_is_ignored_while_a_load_is_in_progress() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(5), &order, OrderOutcome::Accepted);
    planner.tick(ms(355));
    planner.take_outputs();
    planner.handle_report(ms(360), "i-1", report(true, 2));
    assert_eq!(planner.take_outputs(), []);
}

#[rstest]
#[case::single_version(true, LoadMode::Wait)]
#[case::several_versions(false, LoadMode::Retain)]
fn load_mode_depends_on_single_version(#[case] single_version: bool, #[case] mode: LoadMode) {
    let mut planner = Planner::new(Duration::ZERO);
    planner.handle_instance_update(ms(0), &instance("i-1", 1, 1));
    planner.set_named_version(ms(0), MODEL, 2, single_version);
    assert_eq!(orders(&mut planner)[0].mode, mode);
}

#[test]
fn sends_no_order_before_the_former_lease_has_expired() {
    let mut planner = Planner::new(ms(3000));
    planner.handle_instance_update(ms(0), &instance("i-1", 1, 1));
    planner.set_named_version(ms(0), MODEL, 2, false);
    assert_eq!(planner.next_wake(ms(0)), Some(ms(3000)));
    planner.tick(ms(2999));
    assert_eq!(planner.take_outputs(), []);
    planner.tick(ms(3000));
    assert_eq!(orders(&mut planner).len(), 1);
}

#[test]
fn skips_versions_that_are_not_the_newest() {
    let mut planner = Planner::new(ms(1000));
    planner.handle_instance_update(ms(0), &instance("i-1", 1, 1));
    planner.set_named_version(ms(0), MODEL, 2, false);
    planner.set_named_version(ms(10), MODEL, 3, false);
    planner.set_named_version(ms(20), MODEL, 2, false);
    planner.tick(ms(1000));
    let sent: Vec<u64> = orders(&mut planner).iter().map(|order| order.generation).collect();
    assert_eq!(sent, [3]);
}

#[test]
fn polls_an_unanswered_order_before_it_sends_another() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(100), &order, OrderOutcome::Unknown);
    planner.tick(ms(250));
    assert_eq!(polls(&planner.take_outputs()), 1);
    planner.handle_report(ms(255), "i-1", report(false, 1));
    assert_eq!(planner.take_outputs(), [], "the report may show the state before the order");
    planner.tick(ms(800));
    assert_eq!(polls(&planner.take_outputs()), 1);
    planner.handle_report(ms(805), "i-1", report(false, 1));
    assert_eq!(orders(&mut planner).len(), 1);
}

#[test]
fn does_not_repeat_an_unanswered_order_that_was_accepted() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(100), &order, OrderOutcome::Unknown);
    planner.tick(ms(250));
    planner.take_outputs();
    planner.handle_report(ms(255), "i-1", report(true, 1));
    planner.tick(ms(800));
    planner.take_outputs();
    planner.handle_report(ms(805), "i-1", report(false, 2));
    assert_eq!(orders(&mut planner), []);
}

#[test]
fn polls_soon_after_a_conflict() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(5), &order, OrderOutcome::Conflict);
    planner.tick(ms(100));
    assert_eq!(planner.take_outputs(), []);
    planner.tick(ms(205));
    assert_eq!(polls(&planner.take_outputs()), 1);
}

#[test]
fn repeats_a_rejected_order_with_exponential_backoff() {
    let (mut planner, mut order) = one_order();
    let mut now = ms(5);
    for backoff_ms in [300, 600, 1200, 2400, 3000, 3000] {
        planner.handle_order_outcome(now, &order, OrderOutcome::Rejected);
        planner.tick(now + ms(backoff_ms - 1));
        assert_eq!(planner.take_outputs(), []);
        now += ms(backoff_ms);
        planner.tick(now);
        order = orders(&mut planner).pop().expect("a repeated order");
    }
}

#[test]
fn polls_a_fenced_transcriber_after_a_backoff() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(5), &order, OrderOutcome::Fenced);
    planner.tick(ms(1004));
    assert_eq!(planner.take_outputs(), []);
    planner.tick(ms(1005));
    assert_eq!(polls(&planner.take_outputs()), 1);
    planner.handle_report(ms(1010), "i-1", report(false, 1));
    assert_eq!(orders(&mut planner).len(), 1);
}

#[test]
fn announcement_with_an_older_version_does_not_revert_loaded_versions() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(5), &order, OrderOutcome::AlreadyLoaded);
    planner.take_outputs();
    planner.handle_instance_update(ms(900), &instance("i-1", 1, 2));
    planner.tick(ms(2000));
    assert_eq!(planner.take_outputs(), []);
}

#[rstest]
#[case::draining(InstanceState::Draining)]
#[case::terminated(InstanceState::Terminated)]
fn sends_no_order_to_a_draining_or_terminated_transcriber(#[case] state: InstanceState) {
    let mut planner = Planner::new(Duration::ZERO);
    planner.handle_instance_update(ms(0), &instance("i-1", 1, 1));
    planner.handle_instance_update(ms(1), &Instance { state, ..instance("i-1", 1, 2) });
    planner.set_named_version(ms(2), MODEL, 2, false);
    planner.tick(ms(5000));
    assert_eq!(planner.take_outputs(), []);
}

#[test]
fn orders_a_restarted_transcriber_under_its_new_instance_id() {
    let (mut planner, order) = one_order();
    planner.handle_order_outcome(ms(5), &order, OrderOutcome::Accepted);
    planner.handle_instance_update(
        ms(50),
        &Instance { state: InstanceState::Terminated, ..instance("i-1", 1, 1) },
    );
    planner.handle_instance_update(ms(60), &instance("i-2", 1, 1));
    let sent: Vec<String> = orders(&mut planner).into_iter().map(|order| order.instance).collect();
    assert_eq!(sent, ["i-2"]);
}

#[test]
fn loads_a_third_at_a_time_spread_over_zones_and_least_busy_first() {
    let mut planner = Planner::new(ms(100));
    for number in 0..7u32 {
        let zone = format!("zone-{}", number % 2);
        let id = format!("i-{number}");
        planner.handle_instance_update(ms(0), &Instance { zone, ..instance(&id, 1, 1) });
        planner.set_running_requests(&id, 10 - number);
    }
    planner.set_named_version(ms(0), MODEL, 2, false);
    planner.tick(ms(100));
    let sent: Vec<String> = orders(&mut planner).into_iter().map(|order| order.instance).collect();
    assert_eq!(sent, ["i-6", "i-5", "i-4"]);
}

#[test]
fn unresponsive_transcriber_frees_its_slot_and_is_polled_slowly() {
    let mut planner = Planner::new(Duration::ZERO);
    for id in ["i-1", "i-2"] {
        planner.handle_instance_update(ms(0), &instance(id, 1, 1));
    }
    planner.set_named_version(ms(0), MODEL, 2, false);
    let order = orders(&mut planner).pop().expect("one of two loads");
    planner.handle_order_outcome(ms(500), &order, OrderOutcome::Unknown);
    let mut now = ms(500);
    let mut ordered_at = None;
    let mut late_polls = 0;
    while now < ms(6000) {
        now += ms(50);
        planner.tick(now);
        for output in planner.take_outputs() {
            match output {
                PlanOutput::FetchLoadReport { instance, .. } if instance == order.instance => {
                    late_polls += usize::from(now >= ms(3000));
                    planner.handle_report(now, &instance, None);
                }
                PlanOutput::SendOrder(next) => ordered_at = ordered_at.or(Some((now, next.instance))),
                _ => {}
            }
        }
    }
    assert_eq!(ordered_at, Some((ms(2000), "i-2".to_owned())));
    assert!((3..=4).contains(&late_polls), "{late_polls} polls in the last 3 s, expected 3 or 4");
}

#[test]
fn loads_alternate_between_models_on_the_same_transcribers() {
    let mut planner = Planner::new(ms(10));
    let two = |id: &str| Instance {
        models: ["a", "b"].map(|model| ModelVersion { model: model.to_owned(), generation: 1 }).to_vec(),
        ..instance(id, 1, 1)
    };
    for number in 0..6 {
        planner.handle_instance_update(ms(0), &two(&format!("i-{number}")));
    }
    planner.set_named_version(ms(1), "a", 2, false);
    planner.set_named_version(ms(2), "b", 2, false);
    planner.tick(ms(10));
    let mut ordered_models = Vec::new();
    let mut unanswered = orders(&mut planner);
    while let Some(order) = unanswered.pop() {
        ordered_models.push(order.model.clone());
        planner.handle_order_outcome(ms(20), &order, OrderOutcome::AlreadyLoaded);
        unanswered.extend(orders(&mut planner));
    }
    assert_eq!(ordered_models.len(), 12);
    for (index, pair) in ordered_models.chunks(2).enumerate() {
        assert_ne!(pair[0], pair[1], "the loads of pair {index} are of the same model: {ordered_models:?}");
    }
}

/// Returns a planner with this many transcribers, a third of which are ordered to load version 2, and its outputs so
/// far.
fn large_fleet(size: u64) -> (Planner, Vec<PlanOutput>) {
    let mut planner = Planner::new(Duration::ZERO);
    (0..size)
        .for_each(|number| planner.handle_instance_update(ms(0), &instance(&format!("i-{number:04}"), 1, 1)));
    planner.set_named_version(ms(100), MODEL, 2, false);
    let mut outputs = planner.take_outputs();
    for step in 1..20 {
        planner.tick(ms(100 + 50 * step));
        outputs.extend(planner.take_outputs());
    }
    (planner, outputs)
}

fn orders_in(outputs: &[PlanOutput]) -> Vec<LoadOrder> {
    let order = |output: &PlanOutput| match output {
        PlanOutput::SendOrder(order) => Some(order.clone()),
        _ => None,
    };
    outputs.iter().filter_map(order).collect()
}

#[test]
fn orders_per_decision_are_bounded_in_a_large_fleet() {
    let mut planner = Planner::new(Duration::ZERO);
    (0..999)
        .for_each(|number| planner.handle_instance_update(ms(0), &instance(&format!("i-{number:04}"), 1, 1)));
    planner.set_named_version(ms(100), MODEL, 2, false);
    assert_eq!(orders(&mut planner).len(), 32, "the orders of one decision are bounded");
    let (_, outputs) = large_fleet(999);
    assert_eq!(orders_in(&outputs).len(), 333, "a third of the transcribers are ordered within a second");
}

#[test]
fn poll_rate_is_bounded_when_many_transcribers_load() {
    let (mut planner, outputs) = large_fleet(999);
    for order in orders_in(&outputs) {
        planner.handle_order_outcome(ms(1_100), &order, OrderOutcome::Accepted);
    }
    planner.take_outputs();
    let mut polled = 0;
    for step in 1..=20 {
        let now = ms(1_500 + 50 * step);
        planner.tick(now);
        for output in planner.take_outputs() {
            if let PlanOutput::FetchLoadReport { instance, .. } = output {
                polled += 1;
                planner.handle_report(now, &instance, report(true, 1));
            }
        }
    }
    assert!((333..=2 * 333).contains(&polled), "{polled} polls in a second, expected 333 to 666");
}

#[rstest]
#[case::small(30, 1)]
#[case::large(999, 0)]
fn events_trigger_immediate_decisions_only_in_a_small_fleet(
    #[case] size: u64, #[case] immediate_orders: usize,
) {
    let (mut planner, outputs) = large_fleet(size);
    let order = orders_in(&outputs).pop().expect("an order");
    planner.tick(ms(1_100));
    planner.take_outputs();
    planner.handle_order_outcome(ms(1_101), &order, OrderOutcome::AlreadyLoaded);
    assert_eq!(orders(&mut planner).len(), immediate_orders);
    planner.tick(ms(1_150));
    assert_eq!(orders(&mut planner).len(), 1 - immediate_orders);
}
