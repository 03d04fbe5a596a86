//! Real dispatchers among stand-ins, a few seconds each: what goes wrong must break no rule.

use pebblepost_rig::clients::Outcome;
use pebblepost_rig::dispatcher::built;
use pebblepost_rig::run::{Played, Run};
use pebblepost_rig::scenario::{Fault, Scenario, Trouble};
use serde_json::json;

fn play(scenario: &Scenario) -> Played {
    let program = built().expect("pebblepost builds");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("threads");
    let run = Run { scenario, seed: 5, program: &program, operator: &json!({}) };
    runtime.block_on(run.play()).expect("a run")
}

#[test]
fn faults_of_each_kind_break_no_rule_and_every_request_ends() {
    let fault = |at, worker, what| Trouble { at, worker, what };
    let troubles = vec![
        fault(0.5, 0, Fault::Drain(3.0)),
        fault(0.7, 1, Fault::Restart(0.3)),
        fault(1.0, 2, Fault::Silent(1.5)),
        fault(1.0, 3, Fault::Errors(2.0, 0.5)),
    ];
    let scenario = Scenario { workers: 6, faults: 0.0, troubles, ..Scenario::mixed(5.0, 0.5) };
    let played = play(&scenario);
    assert_eq!(played.broken, []);
    assert_eq!(played.fates.len(), played.plan.arrivals.len());
    let served = played.fates.iter().filter(|f| matches!(f.outcome, Outcome::Served(_))).count();
    assert!(served * 2 > played.fates.len(), "{served} of {}", played.fates.len());
}
