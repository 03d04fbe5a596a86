//! Versions that transcribers skip because the jobs of a model allow a version lag.

use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use pebblepost_rollout::{OrderOutcome, PlanOutput, Planner};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const MODEL: &str = "model-a";
/// Another model on the same transcribers, which stays at version 1.
const OTHER_MODEL: &str = "model-b";
const TRANSCRIBERS: usize = 9;

fn instance(number: usize, generation: u64) -> Instance {
    Instance {
        id: format!("i-{number}"),
        backend: "service".to_owned(),
        address: format!("i-{number}:8080"),
        zone: format!("zone-{}", number % 3),
        slots: 12,
        models: vec![
            ModelVersion { model: MODEL.to_owned(), generation },
            ModelVersion { model: OTHER_MODEL.to_owned(), generation: 1 },
        ],
        sequence: 1,
        ..Instance::default()
    }
}

/// A planner with nine transcribers that start at version 1, and the version that each has loaded.
struct Fixture {
    planner: Planner,
    now: Duration,
    loaded: BTreeMap<String, u64>,
}

impl Fixture {
    fn new() -> Fixture {
        let mut planner = Planner::new(Duration::ZERO);
        for number in 0..TRANSCRIBERS {
            planner.handle_instance_update(Duration::ZERO, &instance(number, 1));
        }
        planner.set_named_version(Duration::ZERO, OTHER_MODEL, 1, false);
        let loaded = (0..TRANSCRIBERS).map(|number| (format!("i-{number}"), 1)).collect();
        Fixture { planner, now: Duration::ZERO, loaded }
    }

    fn observe(&mut self, lags: &[u64]) {
        lags.iter().for_each(|allowed_lag| self.planner.observe_version_lag(self.now, MODEL, *allowed_lag));
    }

    /// Names a version and completes every load at once. Returns the former versions, in the order of the loads.
    fn name_version(&mut self, generation: u64) -> Vec<u64> {
        self.now += Duration::from_secs(6);
        self.planner.set_named_version(self.now, MODEL, generation, true);
        self.complete_loads(generation)
    }

    /// Completes every ordered load at once. Returns the former versions, in the order of the loads.
    fn complete_loads(&mut self, generation: u64) -> Vec<u64> {
        let mut loaded_from = Vec::new();
        loop {
            self.now += Duration::from_millis(50);
            self.planner.tick(self.now);
            let outputs = self.planner.take_outputs();
            let orders = outputs.into_iter().filter_map(|output| match output {
                PlanOutput::SendOrder(order) => Some(order),
                _ => None,
            });
            let orders: Vec<_> = orders.collect();
            if orders.is_empty() {
                return loaded_from;
            }
            assert!(orders.len() <= TRANSCRIBERS.div_ceil(3));
            for order in orders {
                let former = self
                    .loaded
                    .insert(order.instance.clone(), generation)
                    .expect("a transcriber of the fixture");
                loaded_from.push(former);
                self.planner.handle_order_outcome(self.now, &order, OrderOutcome::AlreadyLoaded);
            }
        }
    }

    fn oldest_loaded(&self) -> u64 {
        self.loaded.values().copied().min().expect("transcribers")
    }
}

#[rstest]
#[case::no_job_observed(&[], 0)]
#[case::no_lag_allowed(&[0, 0], 0)]
#[case::lag_of_one(&[1, 1], 1)]
#[case::lag_of_two(&[2], 2)]
#[case::more_than_the_limit(&[7], 2)]
#[case::strictest_of_the_newest_jobs(&[2, 0, 1, 2], 0)]
#[case::older_jobs_do_not_count(&[0, 1, 1, 2, 1], 1)]
fn skips_versions_within_the_allowed_lag(#[case] observed: &[u64], #[case] allowed_lag: u64) {
    let mut fixture = Fixture::new();
    fixture.observe(observed);
    let mut loads = 0;
    for generation in 2..=13 {
        loads += fixture.name_version(generation).len();
        assert!(
            fixture.oldest_loaded() + allowed_lag >= generation,
            "{:?} at version {generation}",
            fixture.loaded
        );
    }
    let loads_without_lag = 12 * TRANSCRIBERS;
    let turns = usize::try_from(allowed_lag).expect("a small lag") + 1;
    assert!(
        loads >= loads_without_lag / turns - TRANSCRIBERS
            && loads <= loads_without_lag / turns + TRANSCRIBERS + 3,
        "{loads} loads"
    );
    assert_eq!(loads < loads_without_lag, allowed_lag > 0);
}

#[rstest]
fn every_transcriber_loads_the_only_model() {
    let mut planner = Planner::new(Duration::ZERO);
    for number in 0..3 {
        planner.handle_instance_update(Duration::ZERO, &instance(number, 1));
    }
    planner.observe_version_lag(Duration::ZERO, MODEL, 1);
    planner.set_named_version(Duration::ZERO, MODEL, 2, true);
    let mut loads = 0;
    for step in 0..10 {
        let outputs = planner.take_outputs();
        for output in outputs {
            if let PlanOutput::SendOrder(order) = output {
                loads += 1;
                planner.handle_order_outcome(
                    Duration::from_millis(step),
                    &order,
                    OrderOutcome::AlreadyLoaded,
                );
            }
        }
    }
    assert_eq!(loads, 3);
}

#[rstest]
fn transcribers_whose_version_no_longer_serves_load_first() {
    let mut fixture = Fixture::new();
    fixture.observe(&[1]);
    assert_eq!(
        fixture.name_version(2),
        [1, 1, 1, 1, 1],
        "half of them are enough, because all still serve the jobs"
    );
    assert_eq!(
        fixture.name_version(3),
        [1, 1, 1, 1, 2],
        "the others, and one more so that half of them are current"
    );
    assert_eq!(fixture.name_version(4)[..4], [2, 2, 2, 2]);
}

#[rstest]
fn stricter_job_makes_all_transcribers_load() {
    let mut fixture = Fixture::new();
    fixture.observe(&[1]);
    fixture.name_version(2);
    assert_eq!(fixture.oldest_loaded(), 1);
    fixture.observe(&[0]);
    assert_eq!(fixture.complete_loads(2), [1, 1, 1, 1], "the transcribers that had skipped the version");
    fixture.name_version(3);
    assert_eq!(fixture.oldest_loaded(), 3);
}

/// Each of six transcribers has two models. The jobs of one model allow a lag of one version, those of the other none.
#[rstest]
fn model_without_serving_transcribers_loads_first() {
    const STRICT: &str = "strict";
    let start = Duration::from_secs(1);
    let mut planner = Planner::new(start);
    for number in 0..6 {
        let mut both = instance(number, if number < 3 { 2 } else { 1 });
        both.models[1] = ModelVersion { model: STRICT.to_owned(), generation: 2 };
        planner.handle_instance_update(Duration::ZERO, &both);
    }
    planner.observe_version_lag(Duration::ZERO, MODEL, 1);
    planner.observe_version_lag(Duration::ZERO, STRICT, 0);
    planner.set_named_version(Duration::ZERO, MODEL, 3, true);
    planner.set_named_version(Duration::ZERO, STRICT, 3, false);
    planner.tick(start);
    let outputs = planner.take_outputs();
    let ordered: Vec<&str> = outputs
        .iter()
        .filter_map(|output| match output {
            PlanOutput::SendOrder(order) => Some(order.model.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(ordered, [STRICT, STRICT], "three transcribers still serve the other model");
}

/// With three models on six ready transcribers, four are to serve each model. A draining transcriber is not counted
/// among the four, although it has loaded the newest version.
#[rstest]
fn draining_transcriber_does_not_count_as_serving() {
    let mut planner = Planner::new(Duration::ZERO);
    let models = [MODEL, OTHER_MODEL, "model-c"];
    let announce = |planner: &mut Planner, number: usize, generation: u64, state: InstanceState| {
        let loaded = |model: &&str| ModelVersion { model: (*model).to_owned(), generation };
        let models = models.iter().map(loaded).collect();
        let announced = Instance { models, state, sequence: 1, ..instance(number, generation) };
        planner.handle_instance_update(Duration::ZERO, &announced);
    };
    // Four transcribers have loaded the newest version; two of these are draining.
    for number in 0..8 {
        let state = if number < 2 { InstanceState::Draining } else { InstanceState::Ready };
        announce(&mut planner, number, if number < 4 { 2 } else { 1 }, state);
    }
    models.iter().for_each(|model| planner.set_named_version(Duration::ZERO, model, 2, false));
    let mut loads = 0;
    for step in 0..50 {
        planner.tick(Duration::from_millis(step * 50));
        for output in planner.take_outputs() {
            if let PlanOutput::SendOrder(order) = output {
                loads += 1;
                planner.handle_order_outcome(
                    Duration::from_millis(step * 50),
                    &order,
                    OrderOutcome::AlreadyLoaded,
                );
            }
        }
    }
    assert_eq!(loads, 2 * models.len(), "two more for each model, in place of the draining ones");
}
