//! Decisions pinned by trace: the actions of seeded simulations, as digests in `tests/approved/trace.txt`.
//!
//! A change that is meant to keep behaviour must leave the file as it is. `APPROVE_TRACES=1` writes it anew.

mod simulation;

use simulation::{ACTION_CODES, CALM, Scenario, Simulation, Trace};
use std::fmt::Write;
use std::path::Path;

const SEEDS: [u64; 2] = [11, 12];

const SCENARIOS: &[Scenario] = &[
    CALM,
    Scenario { name: "crowd", rate: 420.0, seconds: 8, ..CALM },
    Scenario {
        name: "faults",
        settings: "classes.1.window=40000000\nclasses.4.window=30000000",
        faults: 60,
        report: "fwc",
        classes: 9,
        seconds: 20,
        ..CALM
    },
    Scenario {
        name: "no_probing",
        settings: "caps.probing=false\ncharges.handshake=0.1\ncharges.connection=0.05",
        piggyback: true,
        workers: 40,
        rate: 25.0,
        seconds: 30,
        faults: 60,
        ..CALM
    },
    Scenario {
        name: "handshakes_priced",
        settings: "charges.handshake=0.1\ncharges.connection=0.05\ncharges.crossZone=0.05",
        workers: 60,
        rate: 160.0,
        faults: 10,
        ..CALM
    },
    Scenario {
        name: "large_jobs_in_order",
        settings: "domain.queueOrder=fifo",
        hints: true,
        large_jobs: true,
        starts_notified: true,
        kinds: 2,
        rate: 130.0,
        seconds: 25,
        ..CALM
    },
    Scenario {
        name: "large_jobs_backfilled",
        settings: "domain.queueOrder=backfill\nroom.mostHeld=0.5\nroom.deviations=1.5",
        report: "f",
        hints: true,
        large_jobs: true,
        starts_notified: true,
        churn: true,
        rate: 130.0,
        seconds: 25,
        ..CALM
    },
    Scenario {
        name: "hints_and_memory",
        settings: "caps.mayDuplicate=true\ninvariants.mayShedBegun=true\ncaps.sendCap=5",
        report: "fma",
        piggyback: true,
        hints: true,
        large_jobs: true,
        kinds: 3,
        rate: 200.0,
        faults: 30,
        queue_limit: 2,
        ..CALM
    },
    Scenario {
        name: "keys",
        settings: "charges.crossZone=0.05",
        keys: 40,
        zones: 3,
        kinds: 2,
        workers: 18,
        rate: 250.0,
        churn: true,
        ..CALM
    },
    Scenario {
        name: "waits_with_late_value",
        settings: "classes.0.lateValue=0.5\nclasses.1.lateValue=0.3\nclasses.2.lateValue=0.9",
        report: "f",
        starts_notified: true,
        keys: 12,
        tenants: 3,
        rate: 300.0,
        faults: 10,
        ..CALM
    },
    Scenario {
        name: "late_answers_keep_all_value",
        settings: "classes.0.lateValue=1\nclasses.1.lateValue=1\nclasses.2.lateValue=1",
        rate: 400.0,
        queue_limit: 1,
        ..CALM
    },
    Scenario {
        name: "churn_with_asked_discovery",
        settings: "invariants.letGoIn=1000000000",
        asked_discovery: true,
        churn: true,
        node_restarts: true,
        hints: true,
        nodes: 3,
        rate: 150.0,
        seconds: 25,
        ..CALM
    },
    Scenario {
        name: "churn_with_pushed_discovery",
        settings: "charges.crossZone=0.1\ninvariants.letGoIn=1000000000",
        churn: true,
        faults: 30,
        report: "fa",
        piggyback: true,
        starts_notified: true,
        seconds: 25,
        ..CALM
    },
    Scenario {
        name: "rules_of_placement",
        settings: "charges.crossZone=0.1\ndomain.classKind=0,1,-1\nclasses.1.kindsOnly=1\n\
                classes.2.failureDomainsAllowed=1\ncaps.retryAfter=false\nclasses.0.onTime=2000000000",
        kinds: 2,
        workers: 16,
        rate: 160.0,
        faults: 80,
        streamed: true,
        ..CALM
    },
    Scenario {
        name: "stale_reports",
        mean_work_ms: 30.0,
        report_every_ms: 800,
        queue_limit: 0,
        rate: 1100.0,
        seconds: 8,
        piggyback: true,
        ..CALM
    },
    Scenario {
        name: "stale_reports_with_starts",
        mean_work_ms: 40.0,
        report: "f",
        report_every_ms: 400,
        queue_limit: 0,
        rate: 800.0,
        seconds: 8,
        starts_notified: true,
        ..CALM
    },
    Scenario {
        name: "classes_that_hang",
        starts_notified: true,
        hangs: true,
        faults: 40,
        rate: 60.0,
        seconds: 30,
        ..CALM
    },
    Scenario {
        name: "nodes_race_for_slots",
        nodes: 6,
        queue_limit: 0,
        mean_work_ms: 250.0,
        rate: 130.0,
        ..CALM
    },
    Scenario {
        name: "large_jobs_with_churn",
        nodes: 1,
        workers: 10,
        hints: true,
        large_jobs: true,
        starts_notified: true,
        churn: true,
        change_every_ms: 40,
        rate: 140.0,
        seconds: 30,
        ..CALM
    },
    Scenario { name: "memory_is_scarce", report: "fmw", memory_units: 3, rate: 220.0, ..CALM },
    Scenario {
        name: "no_probing_in_a_crowd",
        settings: "caps.probing=false",
        piggyback: true,
        workers: 60,
        rate: 1500.0,
        seconds: 5,
        node_restarts: true,
        ..CALM
    },
    Scenario {
        name: "workers_that_fall_over_early",
        settings: "invariants.tipMultiple=0.1\ninvariants.fall=60000000",
        hints: true,
        large_jobs: true,
        starts_notified: true,
        churn: true,
        seconds: 20,
        ..CALM
    },
    Scenario { name: "no_workers", workers: 0, zones: 1, rate: 20.0, seconds: 3, ..CALM },
    Scenario { name: "no_reports", report: "", rate: 60.0, ..CALM },
];

fn line(scenario: &Scenario, seed: u64, trace: &Trace) -> String {
    let counts: Vec<String> = trace.counts.iter().map(u64::to_string).collect();
    format!("{} {seed} {} {:016x} {}", scenario.name, trace.bytes, trace.digest.finish(), counts.join(" "))
}

#[test]
fn actions_of_seeded_simulations_are_as_approved() {
    let mut played = String::new();
    for scenario in SCENARIOS {
        for seed in SEEDS {
            let trace = Simulation::new(*scenario, seed).run();
            writeln!(played, "{}", line(scenario, seed, &trace)).expect("written to memory");
        }
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved/trace.txt");
    if std::env::var_os("APPROVE_TRACES").is_some() {
        std::fs::write(&path, &played).expect("the approved file is writable");
    }
    let approved = std::fs::read_to_string(&path).expect("the approved file");
    assert_eq!(played, approved, "actions differ from the approved ones");
}

/// The approved runs hold enough actions of each kind. [`Action::Fetch`](pebblepost_dispatch::api::Action) is the one
/// that the decisions never ask for.
#[test]
fn approved_simulations_reach_every_kind_of_action() {
    const FETCH: u8 = 120;
    let approved = include_str!("approved/trace.txt");
    let mut counts = [0_u64; ACTION_CODES.len()];
    for line in approved.lines() {
        for (sum, count) in counts.iter_mut().zip(line.split(' ').skip(4)) {
            *sum += count.parse::<u64>().expect("a count");
        }
    }
    for (code, count) in ACTION_CODES.iter().zip(counts) {
        assert!(count >= 15 || *code == FETCH && count == 0, "{count} actions of code {code}");
    }
}
