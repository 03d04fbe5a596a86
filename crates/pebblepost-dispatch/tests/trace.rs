//! Compares the actions of seeded simulations with the approved digests in `tests/approved/trace.txt`.
//!
//! A change that is not meant to alter behaviour must leave the file as it is. With `APPROVE_TRACES=1` in the
//! environment, the test rewrites it.

mod simulation;

use simulation::{ACTION_CODES, BASELINE, Scenario, Simulation, Trace};
use std::fmt::Write;
use std::path::Path;

const SEEDS: [u64; 2] = [11, 12];

const SCENARIOS: &[Scenario] = &[
    BASELINE,
    Scenario { name: "crowd", requests_per_second: 420.0, seconds: 8, ..BASELINE },
    Scenario {
        name: "faults",
        settings: "classes.1.window=40000000\nclasses.4.window=30000000",
        faults_per_thousand: 60,
        report_fields: "fwc",
        classes: 9,
        seconds: 20,
        ..BASELINE
    },
    Scenario {
        name: "no_probing",
        settings: "caps.probing=false\ncharges.handshake=0.1\ncharges.connection=0.05",
        piggybacked_reports: true,
        workers: 40,
        requests_per_second: 25.0,
        seconds: 30,
        faults_per_thousand: 60,
        ..BASELINE
    },
    Scenario {
        name: "handshakes_priced",
        settings: "charges.handshake=0.1\ncharges.connection=0.05\ncharges.crossZone=0.05",
        workers: 60,
        requests_per_second: 160.0,
        faults_per_thousand: 10,
        ..BASELINE
    },
    Scenario {
        name: "large_jobs_in_order",
        settings: "domain.queueOrder=fifo",
        work_hints: true,
        large_jobs: true,
        starts_notified: true,
        kinds: 2,
        requests_per_second: 130.0,
        seconds: 25,
        ..BASELINE
    },
    Scenario {
        name: "large_jobs_backfilled",
        settings: "domain.queueOrder=backfill\nroom.mostHeld=0.5\nroom.deviations=1.5",
        report_fields: "f",
        work_hints: true,
        large_jobs: true,
        starts_notified: true,
        churn: true,
        requests_per_second: 130.0,
        seconds: 25,
        ..BASELINE
    },
    Scenario {
        name: "hints_and_memory",
        settings: "caps.mayDuplicate=true\ninvariants.mayShedBegun=true\ncaps.sendCap=5",
        report_fields: "fma",
        piggybacked_reports: true,
        work_hints: true,
        large_jobs: true,
        kinds: 3,
        requests_per_second: 200.0,
        faults_per_thousand: 30,
        max_queued_jobs: 2,
        ..BASELINE
    },
    Scenario {
        name: "keys",
        settings: "charges.crossZone=0.05",
        key_count: 40,
        zones: 3,
        kinds: 2,
        workers: 18,
        requests_per_second: 250.0,
        churn: true,
        ..BASELINE
    },
    Scenario {
        name: "waits_with_late_value",
        settings: "classes.0.lateValue=0.5\nclasses.1.lateValue=0.3\nclasses.2.lateValue=0.9",
        report_fields: "f",
        starts_notified: true,
        key_count: 12,
        tenants: 3,
        requests_per_second: 300.0,
        faults_per_thousand: 10,
        ..BASELINE
    },
    Scenario {
        name: "late_answers_keep_all_value",
        settings: "classes.0.lateValue=1\nclasses.1.lateValue=1\nclasses.2.lateValue=1",
        requests_per_second: 400.0,
        max_queued_jobs: 1,
        ..BASELINE
    },
    Scenario {
        name: "churn_with_asked_discovery",
        settings: "invariants.letGoIn=1000000000",
        polled_discovery: true,
        churn: true,
        node_restarts: true,
        work_hints: true,
        nodes: 3,
        requests_per_second: 150.0,
        seconds: 25,
        ..BASELINE
    },
    Scenario {
        name: "churn_with_pushed_discovery",
        settings: "charges.crossZone=0.1\ninvariants.letGoIn=1000000000",
        churn: true,
        faults_per_thousand: 30,
        report_fields: "fa",
        piggybacked_reports: true,
        starts_notified: true,
        seconds: 25,
        ..BASELINE
    },
    Scenario {
        name: "rules_of_placement",
        settings: "charges.crossZone=0.1\ndomain.classKind=0,1,-1\nclasses.1.kindsOnly=1\n\
                classes.2.failureDomainsAllowed=1\ncaps.retryAfter=false\nclasses.0.onTime=2000000000",
        kinds: 2,
        workers: 16,
        requests_per_second: 160.0,
        faults_per_thousand: 80,
        streamed_responses: true,
        ..BASELINE
    },
    Scenario {
        name: "stale_reports",
        mean_work_ms: 30.0,
        report_interval_ms: 800,
        max_queued_jobs: 0,
        requests_per_second: 1100.0,
        seconds: 8,
        piggybacked_reports: true,
        ..BASELINE
    },
    Scenario {
        name: "stale_reports_with_starts",
        mean_work_ms: 40.0,
        report_fields: "f",
        report_interval_ms: 400,
        max_queued_jobs: 0,
        requests_per_second: 800.0,
        seconds: 8,
        starts_notified: true,
        ..BASELINE
    },
    Scenario {
        name: "classes_that_hang",
        starts_notified: true,
        class_hangs: true,
        faults_per_thousand: 40,
        requests_per_second: 60.0,
        seconds: 30,
        ..BASELINE
    },
    Scenario {
        name: "nodes_race_for_slots",
        nodes: 6,
        max_queued_jobs: 0,
        mean_work_ms: 250.0,
        requests_per_second: 130.0,
        ..BASELINE
    },
    Scenario {
        name: "large_jobs_with_churn",
        nodes: 1,
        workers: 10,
        work_hints: true,
        large_jobs: true,
        starts_notified: true,
        churn: true,
        mean_change_interval_ms: 40,
        requests_per_second: 140.0,
        seconds: 30,
        ..BASELINE
    },
    Scenario {
        name: "memory_is_scarce",
        report_fields: "fmw",
        memory_units: 3,
        requests_per_second: 220.0,
        ..BASELINE
    },
    Scenario {
        name: "no_probing_in_a_crowd",
        settings: "caps.probing=false",
        piggybacked_reports: true,
        workers: 60,
        requests_per_second: 1500.0,
        seconds: 5,
        node_restarts: true,
        ..BASELINE
    },
    Scenario {
        name: "workers_that_fall_over_early",
        settings: "invariants.tipMultiple=0.1\ninvariants.fall=60000000",
        work_hints: true,
        large_jobs: true,
        starts_notified: true,
        churn: true,
        seconds: 20,
        ..BASELINE
    },
    Scenario { name: "no_workers", workers: 0, zones: 1, requests_per_second: 20.0, seconds: 3, ..BASELINE },
    Scenario { name: "no_reports", report_fields: "", requests_per_second: 60.0, ..BASELINE },
];

fn format_trace_line(scenario: &Scenario, seed: u64, trace: &Trace) -> String {
    let counts: Vec<String> = trace.counts.iter().map(u64::to_string).collect();
    format!("{} {seed} {} {:016x} {}", scenario.name, trace.bytes, trace.digest.finish(), counts.join(" "))
}

#[test]
fn actions_of_seeded_simulations_match_the_approved_digests() {
    let mut actual = String::new();
    for scenario in SCENARIOS {
        for seed in SEEDS {
            let trace = Simulation::new(*scenario, seed).run();
            writeln!(actual, "{}", format_trace_line(scenario, seed, &trace))
                .expect("writing to a string succeeds");
        }
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved/trace.txt");
    if std::env::var_os("APPROVE_TRACES").is_some() {
        std::fs::write(&path, &actual).expect("the approved file is writable");
    }
    let approved = std::fs::read_to_string(&path).expect("the approved file is readable");
    assert_eq!(actual, approved, "actions differ from tests/approved/trace.txt");
}

/// Guards against scenarios that no longer exercise a kind of action. The dispatcher never emits
/// [`Action::Fetch`](pebblepost_dispatch::api::Action).
#[test]
fn approved_simulations_emit_every_kind_of_action() {
    const FETCH: u8 = 120;
    const MIN_ACTIONS_PER_KIND: u64 = 15;
    let approved = include_str!("approved/trace.txt");
    let mut counts = [0_u64; ACTION_CODES.len()];
    for line in approved.lines() {
        for (sum, count) in counts.iter_mut().zip(line.split(' ').skip(4)) {
            *sum += count.parse::<u64>().expect("a count");
        }
    }
    for (code, count) in ACTION_CODES.iter().zip(counts) {
        assert!(
            count >= MIN_ACTIONS_PER_KIND || *code == FETCH && count == 0,
            "{count} actions of code {code}, expected at least {MIN_ACTIONS_PER_KIND}"
        );
    }
}
