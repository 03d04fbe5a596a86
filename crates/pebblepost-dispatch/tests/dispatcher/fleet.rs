//! Many dispatchers' decisions in one process, which share nothing but the workers: what is harmless when one does
//! it and hurts when a hundred do.

use crate::node::*;
use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const NODES: u32 = 100;
const SLOTS: usize = 5;
const COLD_FROM: f64 = 0.12;
const WARM_UP: f64 = 23.0;

struct Job {
    left: f64, // Work.
    node: usize,
    id: u32,
}

/// One cold worker among warm ones that are full, as all nodes see it: reports `age` old.
struct ColdWorker {
    jobs: Vec<Job>,
    reports: Vec<(f64, usize)>,
    sent: Vec<(f64, f64)>,
    worst: f64,
    /// The most that it was sent within the time of the fall, as a part of what it is allowed and what is chance.
    fullest: f64,
}

/// A fleet and what its settings say of cold workers.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    nodes: u32,
    tip: f64,
    fall: f64,
    /// They know nothing: all have just started, and forgotten what they sent.
    fresh: bool,
    /// Most of the traffic comes to few of them.
    uneven: bool,
}

const FLEET: Fleet = Fleet { nodes: NODES, tip: 3.0, fall: 3.0, fresh: false, uneven: false };
const MEAN_WORK: f64 = 0.5;

impl ColdWorker {
    /// Capacity in work a second, at the least that it may have.
    fn capacity(at: f64) -> f64 {
        SLOTS as f64 * (COLD_FROM + (1.0 - COLD_FROM) * (at / WARM_UP).min(1.0))
    }

    /// Lets the first jobs run, one to a slot; returns those that are done.
    fn advance(&mut self, at: f64, by: f64) -> Vec<Job> {
        let each = Self::capacity(at) / SLOTS as f64 * by;
        self.jobs.iter_mut().take(SLOTS).for_each(|job| job.left -= each);
        let done = self.jobs.extract_if(.., |job| job.left <= 0.0).collect();
        self.reports.push((at, SLOTS.saturating_sub(self.jobs.len())));
        done
    }

    fn report(&self, at: f64, age: f64) -> usize {
        self.reports.iter().rev().find(|(when, _)| *when <= at - age).map_or(SLOTS, |(_, free)| *free)
    }

    fn submit(&mut self, fleet: Fleet, at: f64, work: f64, node: usize, id: u32) {
        self.jobs.push(Job { left: work, node, id });
        self.sent.push((at, work));
        let lately: f64 =
            self.sent.iter().filter(|(when, _)| *when > at - fleet.fall).map(|(_, worker)| worker).sum();
        self.worst = self.worst.max(lately / (fleet.fall * Self::capacity(at)));
        // In requests of mean work: N that are allowed, and 2 x root of N + 2 put down to chance.
        let allowed = fleet.tip * fleet.fall * Self::capacity(at) / MEAN_WORK;
        self.fullest = self.fullest.max(lately / MEAN_WORK / (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
}

/// Plays ten seconds of arrivals, `rate` a second over all nodes; returns the worst multiple of its capacity that the
/// cold worker was sent within the time of its fall, the fullest it was, and how many jobs it got.
fn play(fleet: Fleet, seed: u64, rate: f64, age: f64) -> (f64, f64, usize) {
    let mut settings = Settings {
        nodes: fleet.nodes,
        cold_capacity: COLD_FROM,
        warm_up_time: Duration::from_secs_f64(WARM_UP),
        overload_multiple: fleet.tip,
        overload_time: Duration::from_secs_f64(fleet.fall),
        start_reported: true,
        report_fields: vec![ReportField::FreeSlots],
        ..settings()
    };
    (settings.classes[IDEMPOTENT].latency_target, settings.classes[IDEMPOTENT].latency_stretch) =
        (Duration::from_millis(600), 2.0);
    let mut nodes: Vec<Node> =
        (0..fleet.nodes).map(|i| Node::seeded(settings.clone(), 6, seed + u64::from(i))).collect();
    for node in &mut nodes {
        if !fleet.fresh {
            (0..6).for_each(|worker| (0..3).for_each(|_| node.report_free(worker, SLOTS as f32)));
        }
        node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    }
    let mut cold = ColdWorker { jobs: vec![], reports: vec![], sent: vec![], worst: 0.0, fullest: 0.0 };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = |mean: f64| -mean * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
    let (step, mut id, mut next) = (0.002, 0, 0.0);
    for tick in 1..5000 {
        let at = f64::from(tick) * step;
        nodes.iter_mut().for_each(|node| node.now = START + Duration::from_secs_f64(at));
        for job in cold.advance(at, step) {
            nodes[job.node].outcome(job.id, 0, 0, Status::Ok, true);
        }
        while next <= at {
            (next, id) = (next + draw(1.0 / rate), id + 1);
            let work = draw(MEAN_WORK);
            let place = f64::from(id * 37 % 1009) / 1009.0;
            let place = if fleet.uneven { place.powi(3) } else { place };
            let index = (place * f64::from(fleet.nodes)) as usize;
            let node = &mut nodes[index];
            node.request_with_hint(id, (work * 1e3) as u64, 1.0);
            for _ in 0..4 {
                for worker in node.take_probes() {
                    node.report_free(worker, if worker == 0 { cold.report(at, age) as f32 } else { 0.0 });
                }
            }
            if node.sends().contains(&(id, 0)) {
                cold.submit(fleet, at, work, index, id);
            } else {
                node.handle(Event::ClientGone { id: RequestId(id) });
            }
        }
    }
    (cold.worst, cold.fullest, cold.sent.len())
}

/// The sum of all stays within the budget that the settings give, and what is chance beyond it, whatever the number of
/// processes, also if all have just started and have forgotten what they sent, and if few have most of the traffic.
#[test]
fn keeps_a_warming_worker_within_its_budget_for_any_number_of_nodes() {
    for nodes in [1, 5, 20, 30, 300] {
        for (seed, fresh, uneven) in [(1, false, false), (2, true, false), (3, true, true), (4, false, true)]
        {
            for (tip, fall) in [(3.0, 3.0), (2.5, 1.0)] {
                let fleet = Fleet { nodes, tip, fall, fresh, uneven };
                let (_, fullest, jobs) = play(fleet, seed, 300.0, 0.05);
                println!("{fleet:?}: {fullest:.2} of the budget, {jobs} jobs");
                assert!(fullest <= 1.0, "{fleet:?}: {fullest:.2} of the budget and its chance");
            }
        }
    }
}

#[test]
fn hundred_nodes_neither_overload_nor_idle_a_warming_worker() {
    for (seed, rate, age) in [(1, 100.0, 0.03), (2, 300.0, 0.07), (4, 1500.0, 0.05), (5, 1500.0, 0.1)] {
        let (worst, _, jobs) = play(FLEET, seed, rate, age);
        println!("seed {seed}: {rate} a second, reports {age} s old: worst multiple {worst:.2}, {jobs} jobs");
        assert!(worst < 3.0, "seed {seed}: {worst:.2} times its capacity within 3 s");
        assert!(jobs > 10, "seed {seed}: only {jobs} jobs in 10 s");
    }
}

/// Clients repeat a refused job within milliseconds, and each repeat probed the same workers in the key's
/// order that had just been seen full, to be refused again.
#[test]
fn probes_others_than_those_just_reported_full() {
    let mut node = Node::seeded(settings(), 8, 3);
    node.report_all_workers(2.0);
    let mut seen = Vec::new();
    node.request_with_key(1, IDEMPOTENT, 77);
    for _ in 0..8 {
        let probed = node.take_probes();
        if probed.is_empty() {
            break;
        }
        for worker in probed {
            seen.push(worker);
            node.report(worker, 0.0, 4.0);
        }
    }
    assert_eq!(node.final_answers(), vec![(1, "refuse")], "all full: refused at once");
    node.request_with_key(2, IDEMPOTENT, 77);
    let again = node.take_probes();
    assert!(
        !again.is_empty() && again.iter().all(|worker| !seen.contains(worker)),
        "{again:?} after {seen:?}"
    );
}

/// 6,251 probes over the fleet found room at a cold worker that its lot then refused; each cost a probe
/// and another in its place. The lot is drawn before the probe, so a cold worker is probed when it may take the job.
#[test]
fn probes_a_warming_worker_only_after_admission() {
    let settings = Settings {
        nodes: NODES,
        cold_capacity: COLD_FROM,
        warm_up_time: Duration::from_secs_f64(WARM_UP),
        ..settings()
    };
    let mut node = Node::seeded(settings, 6, 11);
    (0..6).for_each(|worker| (0..3).for_each(|_| node.report_free(worker, SLOTS as f32)));
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    let (mut probed, mut sent) = (0, 0);
    for id in 1..400 {
        node.request_with_hint(id, 20, 1.0);
        for _ in 0..4 {
            for worker in node.take_probes() {
                probed += usize::from(worker == 0);
                node.report_free(worker, if worker == 0 { SLOTS as f32 } else { 0.0 });
            }
        }
        let to_cold = node.sends().iter().filter(|(_, worker)| *worker == 0).count();
        node.advance_clock(Duration::from_millis(200));
        match to_cold {
            0 => node.handle(Event::ClientGone { id: RequestId(id) }),
            _ => node.outcome(id, 0, 0, Status::Ok, true),
        }
        sent += to_cold;
    }
    assert!(sent > 0 && probed * 10 <= sent * 11, "{probed} probes of the cold worker for {sent} jobs");
}

/// All of so many dispatchers start at once, each with an old list. Discovery answers four calls a second in turn and
/// fails those that would wait for longer than 2 s. Returns the calls, and when the last one had its list.
fn discovery_calls(nodes: u32, seed: u64) -> (usize, f64) {
    let mut settings = settings();
    (settings.discovery, settings.nodes, settings.max_discovery_interval) =
        (Discovery::Poll, nodes, Duration::from_secs(10));
    let at = |secs: f64| Time((secs * 1e9) as u64);
    let mut all: Vec<Dispatcher> =
        (0..nodes).map(|n| Dispatcher::new(settings.clone(), seed * 1_000 + u64::from(n), at(0.0))).collect();
    // What comes next: when, at which node, and what (a timer, or how a call ended).
    let mut coming: Vec<(u64, usize, Event)> = Vec::new();
    for node in 0..all.len() {
        coming.push((0, node, Event::Members { kind: ListKind::Cached, entries: Vec::new() }));
    }
    let (mut calls, mut busy_until, mut last) = (0, 0.0_f64, 0.0_f64);
    while let Some(next) = (0..coming.len()).min_by_key(|i| coming[*i].0) {
        let (now, node, event) = coming.swap_remove(next);
        if matches!(event, Event::Members { kind: ListKind::Full, .. }) {
            last = now as f64 / 1e9;
        }
        let mut out = Vec::new();
        all[node].handle(Time(now), event, &mut out);
        for action in out {
            match action {
                Action::SetTimer { at, token } => coming.push((at.0, node, Event::TimerDue { token })),
                Action::Watch => {
                    calls += 1;
                    let now = now as f64 / 1e9;
                    let turn = busy_until.max(now) + 0.25;
                    let (end, kind) =
                        if turn > now + 2.0 { (now + 2.0, ListKind::Failed) } else { (turn, ListKind::Full) };
                    if kind == ListKind::Full {
                        busy_until = turn;
                    }
                    coming.push((at(end).0, node, Event::Members { kind, entries: Vec::new() }));
                }
                _ => {}
            }
        }
    }
    (calls, last)
}

/// Without the spread by number, forty nodes make twice the calls each that ten make, and gain nothing by it: discovery
/// is as fast as it is.
#[test]
fn spreads_discovery_polls_after_a_restart_of_all_nodes() {
    for nodes in [10, 20, 30, 40] {
        let played: Vec<(usize, f64)> = (1..=5).map(|seed| discovery_calls(nodes, seed)).collect();
        let calls = played.iter().map(|run| run.0).sum::<usize>() as f64 / 5.0 / f64::from(nodes);
        let last = played.iter().map(|run| run.1).fold(0.0, f64::max);
        assert!(calls < 1.25, "{nodes} nodes: {calls} calls each");
        assert!(last < 12.0 + f64::from(nodes) / 4.0, "{nodes} nodes: the last has its list after {last} s");
    }
}
