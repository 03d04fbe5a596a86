//! Tests of drawn plans.

use pebblepost_harness::workload::plan::Plan;
use pebblepost_harness::workload::spec::RunSpec;

#[test]
fn the_same_seed_draws_the_same_plan() {
    let draw = |seed, load| Plan::draw(&RunSpec::mixed(60.0, load), seed).expect("a valid spec");
    let text = |plan: &Plan| serde_json::to_string(plan).expect("a serializable plan");
    assert_eq!(text(&draw(7, 0.65)), text(&draw(7, 0.65)));
    assert_ne!(text(&draw(7, 0.65)), text(&draw(8, 0.65)));
}

#[test]
fn the_offered_work_matches_the_load() {
    let plan = Plan::draw(&RunSpec::mixed(600.0, 0.65), 3).expect("a valid spec");
    let capacity: f64 = plan.workers.iter().map(|worker| f64::from(worker.cores) * worker.speed).sum();
    let offered: f64 = plan.arrivals.iter().map(|arrival| arrival.work * f64::from(arrival.slots)).sum();
    let load = offered / 600.0 / capacity;
    assert!((load - 0.65).abs() < 0.05, "{load}");
    let large =
        plan.arrivals.iter().filter(|arrival| arrival.large).count() as f64 / plan.arrivals.len() as f64;
    assert!((large - 0.03).abs() < 0.01, "{large}");
}
