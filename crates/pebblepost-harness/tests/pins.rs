//! Compatibility tests against approved outputs: seeded draws, the simulated worker's decisions, JSON keys and command line
//! options.
//!
//! Draws are compared by a digest of their values and order. It does not depend on the names of Rust items, so that it also
//! holds across renames. The approved values were written by the version before the code was renamed.

use pebblepost_harness::checker::rules::{Rule, Violation};
use pebblepost_harness::fault::schedule::{Schedule, ScheduleParameters};
use pebblepost_harness::worker::model::{Admission, JobEvent, WorkerModel};
use pebblepost_harness::workload::plan::Plan;
use pebblepost_harness::workload::spec::{HintSpec, QueueOrder, RunSpec, ScheduledWorkerFault, WorkerFault};
use pebblepost_harness::workload::workers::WorkerSpec;
use pebblepost_harness::{cpu_cost, fleet, release, reservations, store};
use std::path::Path;
use std::process::Command;

/// A 64-bit FNV-1a digest.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn integer(&mut self, value: u64) {
        self.bytes(&value.to_le_bytes());
    }

    fn float(&mut self, value: f64) {
        self.integer(value.to_bits());
    }

    fn optional(&mut self, value: Option<f64>) {
        self.integer(u64::from(value.is_some()));
        self.float(value.unwrap_or(0.0));
    }

    fn text(&mut self, text: &str) {
        self.integer(text.len() as u64);
        self.bytes(text.as_bytes());
    }
}

/// Compares `text` with the approved file `name`. If `PEBBLEPOST_APPROVE` is set, the file is written first.
fn approved(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
    if std::env::var_os("PEBBLEPOST_APPROVE").is_some() {
        std::fs::write(&path, text).expect("the approved file can be written");
    }
    let expected = std::fs::read_to_string(&path).expect("the approved file can be read");
    assert_eq!(text, expected, "{}", path.display());
}

fn digest_worker(digest: &mut Digest, worker: &WorkerSpec) {
    digest.text(&worker.host);
    digest.integer(worker.zone as u64);
    digest.text(worker.kind);
    digest.integer(u64::from(worker.cores));
    digest.integer(u64::from(worker.slots));
    digest.float(worker.speed);
    digest.integer(worker.queue as u64);
    digest.integer(u64::from(worker.order == QueueOrder::Backfill));
    digest.float(worker.cold_capacity);
    digest.float(worker.slow_start_s);
    digest.integer(worker.keys as u64);
    digest.float(worker.refresh_s);
    digest.float(worker.delay_s);
    digest.float(worker.noise);
}

fn digest_worker_fault(digest: &mut Digest, fault: &ScheduledWorkerFault) {
    digest.float(fault.at);
    digest.integer(fault.worker as u64);
    let (kind, seconds, share) = match fault.fault {
        WorkerFault::Drain(seconds) => (0, seconds, 0.0),
        WorkerFault::Silent(seconds) => (1, seconds, 0.0),
        WorkerFault::Restart(seconds) => (2, seconds, 0.0),
        WorkerFault::Errors { seconds, share } => (3, seconds, share),
    };
    digest.integer(kind);
    digest.float(seconds);
    digest.float(share);
}

fn digest_plan(plan: &Plan) -> u64 {
    let mut digest = Digest::new();
    digest.integer(plan.seed);
    digest.integer(u64::from(plan.order == QueueOrder::Backfill));
    plan.workers.iter().for_each(|worker| digest_worker(&mut digest, worker));
    for arrival in &plan.arrivals {
        digest.float(arrival.at);
        digest.integer(arrival.dispatcher as u64);
        digest.float(arrival.work);
        digest.integer(u64::from(arrival.slots));
        digest.integer(u64::from(arrival.large));
        digest.optional(arrival.hint);
        digest.integer(arrival.key);
        arrival.noise.iter().for_each(|noise| digest.float(*noise));
        digest.integer(u64::from(arrival.retries));
        digest.float(arrival.backoff);
        digest.optional(arrival.cancels_after_s);
    }
    plan.worker_faults.iter().for_each(|fault| digest_worker_fault(&mut digest, fault));
    digest.float(plan.store.full_speed_fetches);
    digest.float(plan.store.fetch_s);
    digest.optional(plan.discovery_rate);
    digest.0
}

#[test]
fn drawn_plans_are_the_approved_ones() {
    let run_specs = [
        ("mixed", RunSpec::mixed(30.0, 0.65)),
        ("faults", RunSpec { fault_rate: 40.0, cancel_share: 0.3, workers: 23, ..RunSpec::mixed(60.0, 0.9) }),
        (
            "hints",
            RunSpec {
                hints: HintSpec { sent: true, factor: 3.0, share: 0.4 },
                large_share: 0.4,
                large_slots: [0.3, 0.4, 0.3],
                order: Some(QueueOrder::Fifo),
                discovery_rate: Some(4.0),
                ..RunSpec::mixed(20.0, 0.5)
            },
        ),
        (
            "no hints",
            RunSpec { hints: HintSpec { sent: false, ..HintSpec::default() }, ..RunSpec::mixed(9.0, 0.3) },
        ),
    ];
    let mut lines = String::new();
    for (name, run_spec) in &run_specs {
        for seed in [1, 2, 77] {
            let plan = Plan::draw(run_spec, seed).expect("a valid spec");
            let (arrivals, worker_faults) = (plan.arrivals.len(), plan.worker_faults.len());
            lines += &format!("{name} {seed}: {arrivals} {worker_faults} {:016x}\n", digest_plan(&plan));
        }
    }
    approved("plans.txt", &lines);
}

#[test]
fn runs_of_the_fleet_command_are_the_approved_ones() {
    let mut lines = String::new();
    for (name, run_spec) in fleet::run_specs(fleet::FleetSize { dispatchers: 20, workers: 15, seconds: 20.0 })
    {
        let plan = Plan::draw(&run_spec, 5).expect("a valid spec");
        lines += &format!(
            "{name}: {:?} {:016x}\n",
            run_spec.mass_restart.map(|restart| (restart.at, restart.share)),
            digest_plan(&plan)
        );
    }
    approved("fleet-scenarios.txt", &lines);
}

#[test]
fn drawn_schedules_are_the_approved_ones() {
    let mut lines = String::new();
    for seed in [1, 2, 3, 77] {
        let draw = ScheduleParameters {
            processes: 3,
            duration_s: 300.0,
            mean_interval_s: 0.85,
            max_fault_duration_s: 2.0,
        };
        let text = serde_json::to_string(&Schedule::draw(draw, seed)).expect("serializable data");
        let mut digest = Digest::new();
        digest.text(&text);
        lines += &format!("{seed}: {} {:016x}\n", text.len(), digest.0);
    }
    let plan =
        store::plan::Plan { replicas: 5, clients: 4, seconds: 20.0, seed: 9, pause_ms: 20, dispatchers: 0 };
    lines += &(serde_json::to_string(&plan.schedule()).expect("serializable data") + "\n");
    approved("schedules.txt", &lines);
}

#[test]
fn the_simulated_worker_does_the_approved_work() {
    let mut lines = String::new();
    for seed in [1, 2, 3] {
        let plan = Plan::draw(&RunSpec::mixed(600.0, 0.25), seed).expect("a valid spec");
        let (mut digest, mut events, mut model) =
            (Digest::new(), Vec::new(), WorkerModel::new(plan.workers[2].clone(), plan.store.fetch_s));
        let mut accepted = 0;
        for (number, arrival) in plan.arrivals.iter().enumerate() {
            model.advance(arrival.at, 0.7, &mut events);
            if number % 3_000 == 2_000 {
                model.restart(arrival.at).iter().for_each(|job_id| digest.integer(*job_id));
            }
            if number % 611 == 610 {
                model.return_queued().iter().for_each(|job_id| digest.integer(*job_id));
            }
            model.add_overhead(arrival.dispatcher, 0.002);
            let admission =
                model.submit(arrival.dispatcher, number as u64, arrival.slots, arrival.work, arrival.key);
            accepted += u64::from(admission == Admission::Accepted);
            digest.integer(u64::from(admission == Admission::Accepted));
            let worker_load = model.load();
            digest.integer(u64::from(worker_load.free_slots));
            digest.float(worker_load.utilization);
            digest.integer(worker_load.queued as u64);
            digest.integer(model.fetching() as u64);
            digest.float(model.capacity());
            digest.integer(u64::from(model.overload().is_some()));
            if let Some(load) = model.take_cold_load_peak() {
                digest.float(load.since);
                digest.float(load.capacity_in_window);
                for sent in load.sent {
                    digest.float(sent.at);
                    digest.float(sent.work);
                    digest.integer(sent.dispatcher as u64);
                }
            }
        }
        for event in &events {
            match event {
                JobEvent::Started(job_id) => digest.integer(2 * job_id),
                JobEvent::Done(job_id) => digest.integer(2 * job_id + 1),
            }
        }
        let (all, events) = (plan.arrivals.len(), events.len());
        lines += &format!("{seed}: {accepted} of {all}, {events} events, {:016x}\n", digest.0);
    }
    approved("simulated-worker.txt", &lines);
}

#[test]
fn json_that_the_commands_print_has_the_approved_keys() {
    let broken = Violation { rule: Rule::RunsOnce, at: 1.5, what: "seen".to_owned() };
    let empty = pebblepost_harness::report::Summary::aggregate(&[], &[broken], 0.0);
    let at_load = reservations::LoadComparison { load: 0.65, on: empty.clone(), off: empty.clone() };
    let reports = [
        (
            "room",
            serde_json::to_string(&reservations::Report {
                on: empty.clone(),
                off: empty,
                loads: vec![at_load],
            }),
        ),
        (
            "cpu",
            serde_json::to_string(&cpu_cost::Report {
                first_us: vec![1.0],
                second_us: vec![2.0],
                median_first_us: 1.0,
                median_second_us: 2.0,
                ratio: 0.5,
            }),
        ),
        ("fleet", serde_json::to_string(&fleet::Summary::default())),
        ("store", serde_json::to_string(&store::run::Summary::default())),
        ("store --serving", serde_json::to_string(&store::client_impact::ClientImpact::default())),
        (
            "store --herd",
            serde_json::to_string(&store::mass_restart::MassRestartReport {
                dispatchers: 1,
                joined_s: 2.0,
                joined_again_s: 3.0,
                revisions: 4,
                elections: 5,
                slowest_change_ms: 6.0,
            }),
        ),
        ("release", serde_json::to_string(&release::summary::Summary::default())),
    ];
    let mut lines = String::new();
    for (name, text) in reports {
        lines += &format!("{name}: {}\n", text.expect("serializable data"));
    }
    approved("reports.txt", &lines);
}

#[test]
fn rules_have_the_approved_names() {
    let rules = [
        Rule::OneAnswer,
        Rule::Genuine,
        Rule::Attempts,
        Rule::RunsOnce,
        Rule::Drains,
        Rule::Cold,
        Rule::Departed,
    ];
    let names: Vec<String> = rules.iter().map(|rule| serde_json::to_string(rule).expect("a name")).collect();
    let printed: Vec<String> = rules.iter().map(|rule| format!("{rule:?}")).collect();
    approved("rules.txt", &format!("{}\n{}\n", names.join(" "), printed.join(" ")));
}

/// Compares options, defaults and possible values, but not the help texts.
#[test]
fn commands_have_the_approved_options() {
    let mut lines = String::new();
    for command in ["room", "cpu", "fleet", "store", "release"] {
        let mut program = Command::new(env!("CARGO_BIN_EXE_pebblepost-harness"));
        let help = program.args([command, "--help"]).output().expect("the program runs");
        assert!(help.status.success(), "{command}");
        lines += &format!("{command}:");
        for line in String::from_utf8_lossy(&help.stdout).lines().map(str::trim) {
            if line.starts_with("--") {
                lines += &format!(" {}", line.split("  ").next().unwrap_or(line));
            }
            if let Some(at) = line.find("[default: ") {
                lines += &format!(" {}", &line[at..]);
            }
            if let Some((_, values)) = line.split_once("[possible values: ") {
                let values = values.trim_end_matches(']').split(", ");
                values.for_each(|value| lines += &format!(" ={value}"));
            } else if let Some((value, _)) = line.strip_prefix("- ").and_then(|rest| rest.split_once(':')) {
                lines += &format!(" ={value}");
            }
        }
        lines += "\n";
    }
    approved("commands.txt", &lines);
}
