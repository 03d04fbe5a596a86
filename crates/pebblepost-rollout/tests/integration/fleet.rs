//! Properties of the planner with a simulated fleet: the limit on concurrent loads holds, no version is loaded twice or
//! ordered after a newer one was named, and the transcribers converge to the newest versions in time.

use crate::simulation::digest::approve;
use crate::simulation::{Faults, FleetShape, Random, Simulation, model_name};
use rstest::rstest;
use std::time::Duration;

const SMALL: FleetShape = FleetShape { transcribers: 9, models: 1, load: Duration::from_millis(400) };
const THREE_MODELS: FleetShape = FleetShape { transcribers: 9, models: 3, load: Duration::from_millis(600) };
const LARGE: FleetShape = FleetShape { transcribers: 45, models: 1, load: Duration::from_millis(250) };
/// Number of seeds per case, multiplied by the number of transcribers: smaller fleets run with more seeds.
const SEEDS_TIMES_TRANSCRIBERS: u64 = 360;

/// Names six versions of every model, with a random pause of less than 2.5 s before each.
///
/// With three models, the 18 names are thus spread over about 20 s.
fn name_versions(simulation: &mut Simulation, shape: FleetShape, random: &mut Random) {
    let mut newest = vec![1; shape.models];
    for _ in 0..6 {
        for (number, generation) in newest.iter_mut().enumerate() {
            simulation.run_for(Duration::from_millis(random.below(2500)));
            *generation += 1;
            simulation.name_version(&model_name(number), *generation, number % 2 == 0);
        }
    }
}

#[rstest]
#[case::small("small", SMALL, Duration::from_millis(3000))]
#[case::three_models("three models", THREE_MODELS, Duration::from_millis(6500))]
#[case::large("large", LARGE, Duration::from_millis(2500))]
fn faultless_fleet_converges_in_time(
    #[case] name: &str, #[case] shape: FleetShape, #[case] max_duration: Duration,
) {
    let mut simulation = Simulation::new(shape, Faults::default(), 7);
    simulation.run_for(Duration::from_secs(3));
    let named_at = simulation.now;
    for number in 0..shape.models {
        simulation.name_version(&model_name(number), 2, true);
    }
    let converged_after = simulation.run_until_converged(max_duration);
    simulation.run_for(Duration::from_secs(3));
    for number in 0..shape.models {
        let (first, last) = simulation.load_times[&(model_name(number), 2)];
        println!("{name}: model {number}: first {:?}, last {:?}", first - named_at, last - named_at);
    }
    let (orders, polls, loads) = (simulation.orders, simulation.polls, simulation.loads);
    println!("{name}: converged after {converged_after:?}; {loads} loads, {orders} orders, {polls} reports");
    assert_eq!(
        loads,
        simulation.target_per_model() * shape.models,
        "each transcriber that is to load a version loads it once"
    );
    assert_eq!(orders, loads);
    assert_eq!(simulation.most_loading, shape.transcribers.div_ceil(3));
}

#[rstest]
#[case::no_faults(Faults::default())]
#[case::lost_answers(Faults { lost_answers: 4, ..Faults::default() })]
#[case::crashes(Faults { crash_every: Some(Duration::from_secs(2)), ..Faults::default() })]
#[case::hangs(Faults { hang_every: Some(Duration::from_secs(2)), ..Faults::default() })]
#[case::all(Faults {
    lost_answers: 6,
    crash_every: Some(Duration::from_secs(4)),
    hang_every: Some(Duration::from_secs(3)),
})]
fn fleet_converges_after_faults(
    #[case] faults: Faults, #[values(SMALL, THREE_MODELS, LARGE)] shape: FleetShape,
) {
    let mut longest = Duration::ZERO;
    for seed in 0..SEEDS_TIMES_TRANSCRIBERS / shape.transcribers as u64 {
        let mut simulation = Simulation::new(shape, Faults::default(), seed);
        simulation.run_for(Duration::from_secs(5));
        simulation.faults = faults;
        name_versions(&mut simulation, shape, &mut Random(seed + 1000));
        simulation.faults = Faults::default();
        longest = longest.max(simulation.run_until_converged(Duration::from_secs(20)));
    }
    println!("{faults:?} {shape:?}: converged at most {longest:?} after the last fault");
}

/// Runs a fleet with all kinds of faults for a while, with jobs that allow a version lag, and returns a line with the
/// digest of the planner's outputs.
fn digest_of_run(shape: FleetShape, seed: u64) -> String {
    let mut simulation = Simulation::new(shape, Faults::default(), seed);
    let mut random = Random(seed + 5_000);
    simulation.run_for(Duration::from_secs(5));
    simulation.faults = Faults {
        lost_answers: 6,
        crash_every: Some(Duration::from_secs(4)),
        hang_every: Some(Duration::from_secs(3)),
    };
    let mut newest = vec![1; shape.models];
    for _ in 0..6 {
        for (number, generation) in newest.iter_mut().enumerate() {
            simulation.run_for(Duration::from_millis(random.below(2_500)));
            *generation += 1;
            simulation.name_version(&model_name(number), *generation, number % 2 == 0);
            simulation.planner.observe_version_lag(simulation.now, &model_name(number), random.below(3));
            simulation.planner.set_running_requests(&format!("i-{}", random.below(9)), 3);
        }
    }
    simulation.faults = Faults::default();
    simulation.run_for(Duration::from_secs(10));
    let (orders, polls, loads) = (simulation.orders, simulation.polls, simulation.loads);
    let digest = simulation.digest.to_hex();
    format!("{} {} {seed} {digest} {orders} {polls} {loads}", shape.transcribers, shape.models)
}

#[rstest]
fn decisions_match_the_approved_digests() {
    let two_models = FleetShape { transcribers: 24, models: 2, load: Duration::from_millis(250) };
    let shapes = [SMALL, THREE_MODELS, two_models].into_iter();
    let runs = shapes.flat_map(|shape| (1..=4).map(move |seed| digest_of_run(shape, seed)));
    approve("decisions.txt", &runs.collect::<Vec<_>>());
}
