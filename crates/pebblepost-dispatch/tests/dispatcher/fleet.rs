//! Many dispatchers in one process that share only the workers. The tests guard against behaviour that is harmless for
//! one dispatcher and harmful for a hundred.

use crate::node::*;
use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const NODES: u32 = 100;
const SLOTS_PER_WORKER: usize = 5;
const COLD_CAPACITY: f64 = 0.12;
const WARM_UP_SECONDS: f64 = 23.0;
const MEAN_WORK_SECONDS: f64 = 0.5;

struct Job {
    /// Remaining work in seconds.
    remaining: f64,
    node: usize,
    id: u32,
}

/// The only worker with free slots: it is warming up, and all other workers are full. Times are in seconds.
struct ColdWorker {
    jobs: Vec<Job>,
    /// Free slots at each time.
    reports: Vec<(f64, usize)>,
    /// Time and work of each job sent.
    sent: Vec<(f64, f64)>,
    /// Maximum work sent within the overload time, as a multiple of the worker's capacity.
    max_overload: f64,
    /// Maximum work sent within the overload time, as a fraction of the budget and its tolerance.
    max_budget_use: f64,
}

/// Size, settings and traffic of the simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    nodes: u32,
    overload_multiple: f64,
    overload_seconds: f64,
    /// All nodes have just started and have no learned state.
    restarted: bool,
    /// A few nodes get most of the traffic.
    uneven_traffic: bool,
}

const FLEET: Fleet = Fleet {
    nodes: NODES,
    overload_multiple: 3.0,
    overload_seconds: 3.0,
    restarted: false,
    uneven_traffic: false,
};

impl ColdWorker {
    /// Returns the minimum capacity in seconds of work per second.
    fn capacity(at: f64) -> f64 {
        SLOTS_PER_WORKER as f64 * (COLD_CAPACITY + (1.0 - COLD_CAPACITY) * (at / WARM_UP_SECONDS).min(1.0))
    }

    /// Runs the first jobs, one in each slot, for `step` seconds. Returns the jobs that have ended.
    fn run(&mut self, at: f64, step: f64) -> Vec<Job> {
        let work_per_slot = Self::capacity(at) / SLOTS_PER_WORKER as f64 * step;
        self.jobs.iter_mut().take(SLOTS_PER_WORKER).for_each(|job| job.remaining -= work_per_slot);
        let ended = self.jobs.extract_if(.., |job| job.remaining <= 0.0).collect();
        self.reports.push((at, SLOTS_PER_WORKER.saturating_sub(self.jobs.len())));
        ended
    }

    /// Returns the free slots that a report of this age shows.
    fn report(&self, at: f64, age: f64) -> usize {
        self.reports
            .iter()
            .rev()
            .find(|(when, _)| *when <= at - age)
            .map_or(SLOTS_PER_WORKER, |(_, free)| *free)
    }

    /// Adds a job and updates the maxima.
    fn submit(&mut self, fleet: Fleet, at: f64, work: f64, node: usize, id: u32) {
        self.jobs.push(Job { remaining: work, node, id });
        self.sent.push((at, work));
        let is_recent = |(sent_at, _): &&(f64, f64)| *sent_at > at - fleet.overload_seconds;
        let recent_work: f64 = self.sent.iter().filter(is_recent).map(|(_, work)| work).sum();
        let work_capacity = fleet.overload_seconds * Self::capacity(at);
        self.max_overload = self.max_overload.max(recent_work / work_capacity);
        // In jobs of mean work: the budget of N jobs and a tolerance of 2 * sqrt(N) + 2 for chance.
        let budget =
            fleet.overload_multiple * fleet.overload_seconds * Self::capacity(at) / MEAN_WORK_SECONDS;
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        self.max_budget_use = self.max_budget_use.max(recent_work / MEAN_WORK_SECONDS / limit);
    }
}

/// Result of a simulation: the maxima of [`ColdWorker`] and the number of jobs sent to it.
struct ColdWorkerLoad {
    max_overload: f64,
    max_budget_use: f64,
    jobs: usize,
}

/// Simulates ten seconds with `requests_per_second` over all nodes, whose reports are `report_age` seconds old.
fn simulate(fleet: Fleet, seed: u64, requests_per_second: f64, report_age: f64) -> ColdWorkerLoad {
    let mut settings = Settings {
        nodes: fleet.nodes,
        cold_capacity: COLD_CAPACITY,
        warm_up_time: Duration::from_secs_f64(WARM_UP_SECONDS),
        overload_multiple: fleet.overload_multiple,
        overload_time: Duration::from_secs_f64(fleet.overload_seconds),
        start_reported: true,
        report_fields: vec![ReportField::FreeSlots],
        ..settings()
    };
    (settings.classes[IDEMPOTENT].latency_target, settings.classes[IDEMPOTENT].latency_stretch) =
        (Duration::from_millis(600), 2.0);
    let mut nodes: Vec<Node> =
        (0..fleet.nodes).map(|i| Node::seeded(settings.clone(), 6, seed + u64::from(i))).collect();
    for node in &mut nodes {
        if !fleet.restarted {
            (0..6).for_each(|worker| (0..3).for_each(|_| node.report_free(worker, SLOTS_PER_WORKER as f32)));
        }
        node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    }
    let mut cold =
        ColdWorker { jobs: vec![], reports: vec![], sent: vec![], max_overload: 0.0, max_budget_use: 0.0 };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = |mean: f64| -mean * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
    let (step, mut id, mut next_arrival) = (0.002, 0, 0.0);
    for tick in 1..5000 {
        let at = f64::from(tick) * step;
        nodes.iter_mut().for_each(|node| node.now = START + Duration::from_secs_f64(at));
        for job in cold.run(at, step) {
            nodes[job.node].outcome(job.id, 0, 0, Status::Ok, true);
        }
        while next_arrival <= at {
            (next_arrival, id) = (next_arrival + draw(1.0 / requests_per_second), id + 1);
            let work = draw(MEAN_WORK_SECONDS);
            let spread = f64::from(id * 37 % 1009) / 1009.0;
            let spread = if fleet.uneven_traffic { spread.powi(3) } else { spread };
            let index = (spread * f64::from(fleet.nodes)) as usize;
            let node = &mut nodes[index];
            node.request_with_hint(id, (work * 1e3) as u64, 1.0);
            for _ in 0..4 {
                for worker in node.take_probes() {
                    node.report_free(
                        worker,
                        if worker == 0 { cold.report(at, report_age) as f32 } else { 0.0 },
                    );
                }
            }
            if node.sends().contains(&(id, 0)) {
                cold.submit(fleet, at, work, index, id);
            } else {
                node.handle(Event::ClientGone { id: RequestId(id) });
            }
        }
    }
    ColdWorkerLoad {
        max_overload: cold.max_overload,
        max_budget_use: cold.max_budget_use,
        jobs: cold.sent.len(),
    }
}

/// Together, any number of nodes stay within the budget of the settings and its tolerance for chance, also if all have
/// just restarted and lost track of what they sent, and if a few nodes get most of the traffic.
#[test]
fn any_number_of_nodes_keeps_a_warming_worker_within_its_overload_budget() {
    for nodes in [1, 5, 20, 30, 300] {
        for (seed, restarted, uneven_traffic) in
            [(1, false, false), (2, true, false), (3, true, true), (4, false, true)]
        {
            for (overload_multiple, overload_seconds) in [(3.0, 3.0), (2.5, 1.0)] {
                let fleet = Fleet { nodes, overload_multiple, overload_seconds, restarted, uneven_traffic };
                let ColdWorkerLoad { max_budget_use, jobs, .. } = simulate(fleet, seed, 300.0, 0.05);
                println!("{fleet:?}: {max_budget_use:.2} of the budget with tolerance, {jobs} jobs");
                assert!(max_budget_use <= 1.0, "{fleet:?}: {max_budget_use:.2} of the budget with tolerance");
            }
        }
    }
}

#[test]
fn hundred_nodes_neither_overload_nor_starve_a_warming_worker() {
    for (seed, requests_per_second, report_age) in
        [(1, 100.0, 0.03), (2, 300.0, 0.07), (4, 1500.0, 0.05), (5, 1500.0, 0.1)]
    {
        let ColdWorkerLoad { max_overload, jobs, .. } =
            simulate(FLEET, seed, requests_per_second, report_age);
        println!(
            "seed {seed}: {requests_per_second} requests/s, reports {report_age} s old: {max_overload:.2} times the \
             capacity at most, {jobs} jobs"
        );
        assert!(max_overload < 3.0, "seed {seed}: {max_overload:.2} times its capacity within 3 s, limit 3");
        assert!(jobs > 10, "seed {seed}: {jobs} jobs in 10 s, expected more than 10");
    }
}

/// Guards against repeated probes of full workers. Clients retry a rejected job within milliseconds; each retry probed
/// the first workers for its key, which had just been reported full, and was rejected again.
#[test]
fn a_client_retry_probes_other_workers_than_those_just_reported_full() {
    let mut node = Node::seeded(settings(), 8, 3);
    node.report_all_workers(2.0);
    let mut full = Vec::new();
    node.request_with_key(1, IDEMPOTENT, 77);
    for _ in 0..8 {
        let probed = node.take_probes();
        if probed.is_empty() {
            break;
        }
        for worker in probed {
            full.push(worker);
            node.report(worker, 0.0, 4.0);
        }
    }
    assert_eq!(
        node.final_answers(),
        vec![(1, "refuse")],
        "a request must be rejected at once if all probed workers are full"
    );
    node.request_with_key(2, IDEMPOTENT, 77);
    let retry_probes = node.take_probes();
    assert!(
        !retry_probes.is_empty() && retry_probes.iter().all(|worker| !full.contains(worker)),
        "the retry probed {retry_probes:?} after reports of {full:?} as full"
    );
}

/// Guards against wasted probes of cold workers. 6,251 probes over the fleet found free slots at a cold worker to which
/// the random admission then did not admit the job; each cost a further probe of another worker. Admission is drawn
/// before the probe, so that a cold worker is probed only if it may get the job.
#[test]
fn probes_a_warming_worker_only_if_the_job_is_admitted_to_it() {
    let settings = Settings {
        nodes: NODES,
        cold_capacity: COLD_CAPACITY,
        warm_up_time: Duration::from_secs_f64(WARM_UP_SECONDS),
        ..settings()
    };
    let mut node = Node::seeded(settings, 6, 11);
    (0..6).for_each(|worker| (0..3).for_each(|_| node.report_free(worker, SLOTS_PER_WORKER as f32)));
    node.apply_member_list(ListKind::Delta, &[(0, WorkerState::Ready, Some(START))]);
    let (mut probed, mut sent) = (0, 0);
    for id in 1..400 {
        node.request_with_hint(id, 20, 1.0);
        for _ in 0..4 {
            for worker in node.take_probes() {
                probed += usize::from(worker == 0);
                node.report_free(worker, if worker == 0 { SLOTS_PER_WORKER as f32 } else { 0.0 });
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
    assert!(
        sent > 0 && probed * 10 <= sent * 11,
        "{probed} probes of the cold worker for {sent} jobs sent to it, limit 1.1 per job"
    );
}

/// Simulates discovery for dispatchers that all start at once with an old member list. Discovery answers four polls a
/// second in order and fails polls that would wait for longer than 2 s. Returns the number of polls and the time, in
/// seconds, at which the last dispatcher got its list.
fn simulate_discovery_polls(nodes: u32, seed: u64) -> (usize, f64) {
    let mut settings = settings();
    (settings.discovery, settings.nodes, settings.max_discovery_interval) =
        (Discovery::Poll, nodes, Duration::from_secs(10));
    let at = |secs: f64| Time((secs * 1e9) as u64);
    let mut dispatchers: Vec<Dispatcher> =
        (0..nodes).map(|n| Dispatcher::new(settings.clone(), seed * 1_000 + u64::from(n), at(0.0))).collect();
    // Time, node and event: a timer or the answer to a poll.
    let mut pending: Vec<(u64, usize, Event)> = Vec::new();
    for node in 0..dispatchers.len() {
        pending.push((0, node, Event::Members { kind: ListKind::Cached, entries: Vec::new() }));
    }
    let (mut polls, mut busy_until, mut last_list_at) = (0, 0.0_f64, 0.0_f64);
    while let Some(next) = (0..pending.len()).min_by_key(|i| pending[*i].0) {
        let (now, node, event) = pending.swap_remove(next);
        if matches!(event, Event::Members { kind: ListKind::Full, .. }) {
            last_list_at = now as f64 / 1e9;
        }
        let mut actions = Vec::new();
        dispatchers[node].handle(Time(now), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at, token } => pending.push((at.0, node, Event::TimerDue { token })),
                Action::Watch => {
                    polls += 1;
                    let now = now as f64 / 1e9;
                    let answer_at = busy_until.max(now) + 0.25;
                    let (end, kind) = if answer_at > now + 2.0 {
                        (now + 2.0, ListKind::Failed)
                    } else {
                        (answer_at, ListKind::Full)
                    };
                    if kind == ListKind::Full {
                        busy_until = answer_at;
                    }
                    pending.push((at(end).0, node, Event::Members { kind, entries: Vec::new() }));
                }
                _ => {}
            }
        }
    }
    (polls, last_list_at)
}

/// Guards against overloaded discovery. If the spread of the first polls does not grow with the number of nodes, each
/// of forty nodes polls twice as often as each of ten, and gets its list no sooner.
#[test]
fn spreads_discovery_polls_when_all_nodes_restart() {
    for nodes in [10, 20, 30, 40] {
        let runs: Vec<(usize, f64)> = (1..=5).map(|seed| simulate_discovery_polls(nodes, seed)).collect();
        let polls_per_node = runs.iter().map(|run| run.0).sum::<usize>() as f64 / 5.0 / f64::from(nodes);
        let last_list_at = runs.iter().map(|run| run.1).fold(0.0, f64::max);
        assert!(polls_per_node < 1.25, "{nodes} nodes: {polls_per_node} polls per node, limit 1.25");
        assert!(
            last_list_at < 12.0 + f64::from(nodes) / 4.0,
            "{nodes} nodes: the last has its list after {last_list_at} s"
        );
    }
}
