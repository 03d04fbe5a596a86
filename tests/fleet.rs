//! Many dispatchers' decisions in one process, which share nothing but the workers: what is harmless when one does
//! it and hurts when a hundred do.

mod common;

use common::*;
use pebblewind::api::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;

const NODES: u32 = 100;
const SLOTS: usize = 5;
const COLD_FROM: f64 = 0.12;
const WARM_UP: f64 = 23.0;

/// One cold worker among warm ones that are full, as all nodes see it: reports `age` old.
struct ColdWorker {
    running: Vec<f64>, // Work left of each job.
    reports: VecDeque<(f64, usize)>,
    sent: Vec<(f64, f64)>,
    worst: f64,
}

impl ColdWorker {
    /// Capacity in work a second, at the least that it may have.
    fn capacity(at: f64) -> f64 {
        SLOTS as f64 * (COLD_FROM + (1.0 - COLD_FROM) * (at / WARM_UP).min(1.0))
    }

    fn advance(&mut self, at: f64, by: f64) {
        let each = Self::capacity(at) / SLOTS as f64 * by;
        self.running.iter_mut().take(SLOTS).for_each(|left| *left -= each);
        self.running.retain(|left| *left > 0.0);
        self.reports.push_back((at, SLOTS.saturating_sub(self.running.len())));
    }

    fn report(&self, at: f64, age: f64) -> usize {
        self.reports.iter().rev().find(|(when, _)| *when <= at - age).map_or(SLOTS, |(_, free)| *free)
    }

    fn submit(&mut self, at: f64, work: f64) {
        self.running.push(work);
        self.sent.push((at, work));
        let lately: f64 = self.sent.iter().filter(|(when, _)| *when > at - 3.0).map(|(_, w)| w).sum();
        self.worst = self.worst.max(lately / (3.0 * Self::capacity(at)));
    }
}

/// Plays `seconds` of arrivals, `rate` a second over all nodes; returns the worst multiple of its capacity that the
/// cold worker was sent within 3 s, and how many jobs it got.
fn play(seed: u64, rate: f64, age: f64) -> (f64, usize) {
    let mut s = Settings {
        nodes: NODES,
        cold_from: COLD_FROM,
        warm_up: Duration::from_secs_f64(WARM_UP),
        tip_multiple: 3.0,
        fall: Duration::from_secs(3),
        tells_start: true,
        report_fields: vec![ReportField::FreeSlots],
        ..settings()
    };
    (s.classes[SAFE].aim, s.classes[SAFE].stretch) = (Duration::from_millis(600), 2.0);
    let mut nodes: Vec<Node> = (0..NODES).map(|i| Node::seeded(s.clone(), 6, seed + u64::from(i))).collect();
    let report = |n: &mut Node, worker: u32, free: usize| {
        let (worker, latency, report) = (WorkerId(worker), Duration::from_millis(1), vec![free as f32]);
        n.event(Event::Probed { worker, status: Status::Ok, latency, report });
    };
    for n in &mut nodes {
        (0..6).for_each(|w| (0..3).for_each(|_| report(n, w, SLOTS)));
        n.list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    }
    let mut cold = ColdWorker { running: vec![], reports: VecDeque::new(), sent: vec![], worst: 0.0 };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (step, mut id) = (0.002, 0);
    for tick in 1..5000 {
        let at = f64::from(tick) * step;
        cold.advance(at, step);
        nodes.iter_mut().for_each(|n| n.now = START + Duration::from_secs_f64(at));
        while rng.random_bool((rate * step).min(1.0)) {
            let n = &mut nodes[rng.random_range(0..NODES as usize)];
            let work = 0.5 * (-(1.0 - rng.random_range(0.0..1.0_f64)).ln());
            id += 1;
            n.hinted(id, (work * 1e3) as u64, 1.0);
            for _ in 0..4 {
                for w in n.probes() {
                    report(n, w, if w == 0 { cold.report(at, age) } else { 0 });
                }
            }
            if n.sends().contains(&(id, 0)) {
                cold.submit(at, work);
            }
            n.event(Event::ClientGone { id: RequestId(id) });
            if rate * step >= 1.0 {
                break;
            }
        }
    }
    (cold.worst, cold.sent.len())
}

#[test]
fn a_hundred_dispatchers_push_no_cold_worker_over_and_do_not_leave_it_idle() {
    for (seed, rate, age) in [(1, 100.0, 0.03), (2, 300.0, 0.03), (3, 300.0, 0.07), (4, 450.0, 0.05)] {
        let (worst, jobs) = play(seed, rate, age);
        println!("seed {seed}: {rate} a second, reports {age} s old: worst multiple {worst:.2}, {jobs} jobs");
        assert!(worst < 3.0, "seed {seed}: {worst:.2} times its capacity within 3 s");
        assert!(jobs > 10, "seed {seed}: only {jobs} jobs in 10 s");
    }
}
