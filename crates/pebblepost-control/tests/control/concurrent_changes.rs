//! Configuration changes by concurrent operators while processes crash or disks are lost: acknowledged changes survive,
//! and at most one change is accepted on each base version.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, patch};
use crate::support::random::Random;
use pebblepost_control::api::HttpRequest;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A change, and the numbers of the requests that carried it.
#[derive(Clone)]
struct SentChange {
    base: u64,
    generation: u64,
    request: HttpRequest,
    requests: Vec<u64>,
    acknowledged: bool,
}

/// The faults that a simulation injects.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Single processes crash, sometimes all at the same time.
    Crash,
    /// Disks are lost, one at a time and with time to catch up after each.
    DiskLoss,
}

struct Simulation {
    cluster: Cluster,
    random: Random,
    sent: Vec<SentChange>,
    /// Nodes that are down, and when they start again.
    down_until: BTreeMap<usize, Duration>,
    fault: Fault,
    /// Time before which no further fault is injected.
    no_fault_until: Duration,
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Simulation {
        Simulation {
            cluster: Cluster::with_primary(),
            random: Random(seed),
            sent: Vec::new(),
            down_until: BTreeMap::new(),
            fault,
            no_fault_until: Duration::ZERO,
        }
    }

    /// Returns the newest acknowledged version.
    fn newest_acknowledged(&self) -> u64 {
        self.sent.iter().filter(|sent| sent.acknowledged).map(|sent| sent.generation).max().unwrap_or(0)
    }

    /// Sends a change on the newest acknowledged version to a random node.
    fn send_change(&mut self) {
        let base = self.newest_acknowledged();
        let generation = base + 1 + self.random.below(3);
        let timeout = 100 + self.random.below(5000);
        let is_complete = base == 0 || self.random.below(3) == 0;
        let (method, body) = if is_complete {
            ("PUT", configuration(generation, timeout))
        } else {
            ("PATCH", patch(generation, timeout))
        };
        let request = HttpRequest {
            method: method.into(),
            path: "/config".into(),
            if_match: Some(base.to_string()),
            body,
        };
        let node = self.random.below(3) as usize;
        let id = self.cluster.send_request(node, request.clone());
        self.sent.push(SentChange { base, generation, request, requests: vec![id], acknowledged: false });
    }

    /// Repeats one of the six newest changes at a random node.
    fn retry_change(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let recent = self.sent.len().min(6) as u64;
        let index = self.sent.len() - 1 - self.random.below(recent) as usize;
        let node = self.random.below(3) as usize;
        let id = self.cluster.send_request(node, self.sent[index].request.clone());
        self.sent[index].requests.push(id);
    }

    fn inject_fault(&mut self) {
        let node = self.random.below(3) as usize;
        if !self.down_until.is_empty() {
            return;
        }
        if self.cluster.now < self.no_fault_until {
            return;
        }
        let pause = Duration::from_millis(100 + self.random.below(2500));
        if self.fault == Fault::DiskLoss {
            self.no_fault_until = self.cluster.now + pause + Duration::from_millis(4500);
            self.cluster.wipe(node);
            self.down_until.insert(node, self.cluster.now + pause);
            return;
        }
        if self.random.below(8) == 0 {
            // All processes crash at the same time.
            for node in 0..3 {
                self.cluster.kill(node);
                self.down_until.insert(node, self.cluster.now + Duration::from_millis(200));
            }
            return;
        }
        self.cluster.kill(node);
        self.down_until.insert(node, self.cluster.now + pause);
    }

    fn restart_due_nodes(&mut self) {
        let due: Vec<usize> = self
            .down_until
            .iter()
            .filter(|(_, until)| **until <= self.cluster.now)
            .map(|(node, _)| *node)
            .collect();
        for node in due {
            self.down_until.remove(&node);
            self.cluster.start(node);
        }
    }

    fn process_responses(&mut self) {
        for index in 0..self.sent.len() {
            let statuses: Vec<u16> = self.sent[index]
                .requests
                .iter()
                .filter_map(|id| self.cluster.response(*id))
                .map(|response| response.status)
                .collect();
            for status in &statuses {
                assert!([200, 307, 412, 503].contains(status), "a valid change was answered {status}");
            }
            let accepted = statuses.contains(&200);
            assert!(!(accepted && statuses.contains(&412)), "one change was both accepted and rejected");
            self.sent[index].acknowledged |= accepted;
        }
    }

    fn check_one_change_per_base(&self) {
        let mut bases = BTreeSet::new();
        for sent in self.sent.iter().filter(|sent| sent.acknowledged) {
            assert!(bases.insert(sent.base), "two changes on version {} were acknowledged", sent.base);
        }
    }

    fn step(&mut self) {
        match self.random.below(20) {
            0 => self.inject_fault(),
            1..=5 => self.send_change(),
            6..=9 => self.retry_change(),
            _ => {}
        }
        let pause = 1 + self.random.below(120);
        self.cluster.run(Duration::from_millis(pause));
        self.restart_due_nodes();
        self.process_responses();
        self.check_one_change_per_base();
    }

    /// Runs without further faults, then checks that every acknowledged change is still recognized and that all nodes
    /// have the configuration of the primary.
    fn finish(&mut self) {
        self.cluster.run(Duration::from_secs(3));
        self.restart_due_nodes();
        self.cluster.run(Duration::from_secs(6));
        self.process_responses();
        self.check_one_change_per_base();
        let primary = self.cluster.primary();
        for index in 0..self.sent.len() {
            if self.sent[index].acknowledged {
                let request = self.sent[index].request.clone();
                let response = self.cluster.request(primary, request).map(|response| response.status);
                assert_eq!(response, Some(200), "the repeat of an acknowledged change");
            }
        }
        let current = self.cluster.node(primary).state().generation();
        assert!(current >= self.newest_acknowledged(), "version {current} is older than an acknowledged one");
        for node in 0..3 {
            let state = self.cluster.node(node).state();
            let documents = state.configuration().map(|known| known.document().to_vec());
            let primary_state = self.cluster.node(primary).state();
            assert_eq!(documents, primary_state.configuration().map(|known| known.document().to_vec()));
        }
    }
}

#[rstest]
fn acknowledged_changes_survive_random_crashes(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, Fault::Crash);
    for _ in 0..300 {
        simulation.step();
    }
    simulation.finish();
    let acknowledged = simulation.sent.iter().filter(|sent| sent.acknowledged).count();
    assert!(acknowledged > 0, "no change was acknowledged");
}

#[rstest]
fn acknowledged_changes_survive_disk_losses_one_at_a_time(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, Fault::DiskLoss);
    simulation.cluster.run(Duration::from_secs(4));
    for _ in 0..1200 {
        simulation.step();
    }
    simulation.finish();
    assert!(simulation.sent.iter().filter(|sent| sent.acknowledged).count() > 10);
}
