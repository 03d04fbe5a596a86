//! Measures the cost of a release by the size of the fleet, without sockets. It runs the state machine with N
//! dispatchers whose restart times are drawn from a seeded generator. It prints a table of the duration and
//! of the commands and bytes of changes per dispatcher.
//!
//! `cargo run --release -p pebblepost-fleet --example release_size [PLOT.svg]`

use pebblepost_fleet::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use pebblepost_fleet::value::{MemberInfo, Role};
use pebblepost_fleet::{
    Action, Budget, Command, IncarnationId, Limit, Name, Operation, RequestId, State, SubjectKind, Text,
};
use plotters::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

struct Fleet {
    state: State,
    /// Number of the last request.
    last_request: u64,
    commands: u64,
    bytes: usize,
}

impl Fleet {
    fn apply(&mut self, issued_by: &str, action: Action) {
        (self.commands, self.last_request) = (self.commands + 1, self.last_request + 1);
        let (id, issued_by) = (RequestId(1, self.last_request), issued_by.parse().expect("a valid name"));
        let before = self.state.revision();
        self.state.apply(&Command { id, issued_by, issued_at_ms: 0, action }).expect("a valid command");
        let changes = self.state.changes_after(before, 1).unwrap_or_default();
        self.bytes += serde_json::to_string(&changes).map_or(0, |text| text.len());
    }

    fn change(&mut self, operation: Operation) {
        self.apply(
            "operator",
            Action::Change {
                operations: vec![operation],
                preconditions: Vec::new(),
                reason: Text::default(),
            },
        );
    }

    fn join(&mut self, n: u64, incarnation: u64, version: &str) {
        let text = |text: String| text.parse::<Text>().expect("a valid text");
        let (version, zone) = (text(version.to_owned()), text(format!("z{}", n % 3)));
        let info = MemberInfo { role: Role::Dispatcher, version, address: None, zone, ready: true };
        let member: Name = format!("d{n}").parse().expect("a valid name");
        self.apply(
            &format!("d{n}"),
            Action::Join { member, incarnation_id: IncarnationId(n, incarnation), info },
        );
    }

    /// Returns the dispatchers whose first incarnation has a granted permit.
    fn leaving(&self) -> BTreeSet<u64> {
        let granted = self.state.permits().filter(|(_, permit)| permit.granted_at_revision.is_some());
        granted
            .filter_map(|(_, permit)| permit.incarnation_id)
            .filter(|incarnation| incarnation.1 == 1)
            .map(|incarnation| incarnation.0)
            .collect()
    }
}

/// The result for one size: the duration in seconds, and the commands and bytes of changes per dispatcher.
struct Point {
    dispatchers: u64,
    seconds: u64,
    commands: f64,
    bytes: f64,
}

/// Plots the duration of the release, and the commands and bytes per dispatcher, over the size of the fleet.
fn plot(path: &str, points: &[Point]) -> Result<(), Box<dyn std::error::Error>> {
    type Row = (&'static str, fn(&Point) -> f64, f64);
    let rows: [Row; 3] = [
        ("length of the release, s", |point| point.seconds as f64, 300.0),
        ("commands for each dispatcher", |point| point.commands, 1.5),
        ("bytes of changes for each dispatcher", |point| point.bytes, 750.0),
    ];
    let drawing = SVGBackend::new(path, (640, 720)).into_drawing_area();
    drawing.fill(&WHITE)?;
    let sizes = 20.0..4_000.0;
    for (area, (name, value, most)) in drawing.split_evenly((3, 1)).iter().zip(rows) {
        let mut chart = ChartBuilder::on(area)
            .caption(name, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(sizes.clone().log_scale(), 0.0..most)?;
        chart.configure_mesh().x_desc("dispatchers").draw()?;
        let line = points.iter().map(|point| (point.dispatchers as f64, value(point)));
        chart.draw_series(LineSeries::new(line.clone(), &BLUE))?;
        chart.draw_series(line.map(|at| Circle::new(at, 3, BLUE.filled())))?;
    }
    drawing.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut points = Vec::new();
    println!(
        "| dispatchers | release | commands for each | bytes of changes for each | CPU, simulation and all |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for dispatchers in [30, 100, 300, 1_000, 3_000] {
        let mut fleet = Fleet { state: State::default(), last_request: 0, commands: 0, bytes: 0 };
        (0..dispatchers).for_each(|n| fleet.join(n, 1, "1"));
        let budget = Budget {
            max_unavailable: Limit::Fraction(0.1),
            max_unavailable_per_zone: None,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: 1,
        };
        fleet.change(Operation::SetBudget(SubjectKind::Dispatcher, budget));
        (fleet.commands, fleet.bytes) = (0, 0);
        let (began, mut draws) = (Instant::now(), Pcg64Mcg::seed_from_u64(7));
        let waves = vec![Limit::Count(1), Limit::Fraction(0.05), Limit::Fraction(0.25), Limit::Fraction(1.0)];
        fleet.change(Operation::BeginRelease {
            version: "2".parse().expect("a valid text"),
            waves,
            zone_order: Vec::new(),
        });
        let mut driver = ReleaseDriver::new(ReleasePolicy {
            observation_time: Duration::from_secs(60),
            wave_timeout: Duration::from_secs(600),
            max_crashes: 3,
            max_success_rate_drop: 0.05,
            // No requests are simulated, so the driver observes only crashes and time.
            min_answers: 0,
        });
        // Time in tenths of a second. Each dispatcher returns 2 to 8 s after the grant of its permit: it
        // learns of the permit, completes its requests and restarts.
        let (mut now, mut returning): (u64, BTreeMap<u64, BTreeSet<u64>>) = (0, BTreeMap::new());
        let mut restarted = BTreeSet::new();
        loop {
            for n in fleet.leaving().difference(&restarted.clone()) {
                returning.entry(now + draws.random_range(20..80)).or_default().insert(*n);
                restarted.insert(*n);
            }
            for n in returning.remove(&now).unwrap_or_default() {
                fleet.join(n, 2, "2");
            }
            if now.is_multiple_of(10) {
                match driver.next_step(
                    Duration::from_millis(now * 100),
                    &fleet.state.snapshot(),
                    &BTreeMap::new(),
                ) {
                    NextStep::Propose { operation, .. } => fleet.change(operation),
                    NextStep::Finished => break,
                    NextStep::Wait => {}
                    NextStep::Halted => return Err("the release was halted".into()),
                }
            }
            now += 1;
        }
        let each = |all: f64| all / dispatchers as f64;
        let (commands, bytes) = (each(fleet.commands as f64), each(fleet.bytes as f64));
        points.push(Point { dispatchers, seconds: now / 10, commands, bytes });
        println!(
            "| {dispatchers} | {} s | {:.2} | {:.0} | {:.0} ms |",
            now / 10,
            commands,
            bytes,
            began.elapsed().as_secs_f64() * 1e3
        );
    }
    match std::env::args().nth(1) {
        Some(path) => plot(&path, &points),
        None => Ok(()),
    }
}
