//! Concurrent operators under random failures: acknowledged changes survive, and at most one change is accepted
//! for each base version.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, patch};
use crate::support::random::Random;
use pebblepost_control::api::HttpRequest;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A change and the requests that carried it.
#[derive(Clone)]
struct Sent {
    base: u64,
    generation: u64,
    request: HttpRequest,
    requests: Vec<u64>,
    acknowledged: bool,
}

struct Simulation {
    cluster: Cluster,
    random: Random,
    sent: Vec<Sent>,
    down_until: BTreeMap<usize, Duration>,
    /// Whether disks are lost, one at a time and with time to catch up after each.
    loses_disks: bool,
    no_fault_until: Duration,
}

impl Simulation {
    fn new(seed: u64, loses_disks: bool) -> Simulation {
        Simulation {
            cluster: Cluster::acting(),
            random: Random(seed),
            sent: Vec::new(),
            down_until: BTreeMap::new(),
            loses_disks,
            no_fault_until: Duration::ZERO,
        }
    }

    /// The newest acknowledged version.
    fn newest(&self) -> u64 {
        self.sent.iter().filter(|sent| sent.acknowledged).map(|sent| sent.generation).max().unwrap_or(0)
    }

    fn send_change(&mut self) {
        let base = self.newest();
        let generation = base + 1 + self.random.below(3);
        let timeout = 100 + self.random.below(5000);
        let whole = base == 0 || self.random.below(3) == 0;
        let (method, body) = if whole {
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
        self.sent.push(Sent { base, generation, request, requests: vec![id], acknowledged: false });
    }

    fn send_again(&mut self) {
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
        if self.loses_disks {
            self.no_fault_until = self.cluster.now + pause + Duration::from_millis(4500);
            self.cluster.wipe(node);
            self.down_until.insert(node, self.cluster.now + pause);
            return;
        }
        if self.random.below(8) == 0 {
            // All crash at the same time.
            for node in 0..3 {
                self.cluster.kill(node);
                self.down_until.insert(node, self.cluster.now + Duration::from_millis(200));
            }
            return;
        }
        self.cluster.kill(node);
        self.down_until.insert(node, self.cluster.now + pause);
    }

    fn bring_back(&mut self) {
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

    fn take_answers(&mut self) {
        for index in 0..self.sent.len() {
            let statuses: Vec<u16> = self.sent[index]
                .requests
                .iter()
                .filter_map(|id| self.cluster.response(*id))
                .map(|response| response.status)
                .collect();
            for status in &statuses {
                assert!([200, 307, 412, 503].contains(status), "a proper change was answered {status}");
            }
            let accepted = statuses.contains(&200);
            assert!(!(accepted && statuses.contains(&412)), "one change was both accepted and refused");
            self.sent[index].acknowledged |= accepted;
        }
    }

    fn check_bases(&self) {
        let mut bases = BTreeSet::new();
        for sent in self.sent.iter().filter(|sent| sent.acknowledged) {
            assert!(bases.insert(sent.base), "two changes on version {} were acknowledged", sent.base);
        }
    }

    fn step(&mut self) {
        match self.random.below(20) {
            0 => self.inject_fault(),
            1..=5 => self.send_change(),
            6..=9 => self.send_again(),
            _ => {}
        }
        let pause = 1 + self.random.below(120);
        self.cluster.run(Duration::from_millis(pause));
        self.bring_back();
        self.take_answers();
        self.check_bases();
    }

    /// Without further failures, everything acknowledged is there.
    fn finish(&mut self) {
        self.cluster.run(Duration::from_secs(3));
        self.bring_back();
        self.cluster.run(Duration::from_secs(6));
        self.take_answers();
        self.check_bases();
        let primary = self.cluster.primary();
        for index in 0..self.sent.len() {
            if self.sent[index].acknowledged {
                let request = self.sent[index].request.clone();
                let response = self.cluster.request(primary, request).map(|response| response.status);
                assert_eq!(response, Some(200), "an acknowledged change is acknowledged again");
            }
        }
        let current = self.cluster.node(primary).state().generation();
        assert!(current >= self.newest(), "version {current} is older than an acknowledged one");
        for node in 0..3 {
            let state = self.cluster.node(node).state();
            let documents = state.configuration().map(|known| known.document().to_vec());
            let primary_state = self.cluster.node(primary).state();
            assert_eq!(documents, primary_state.configuration().map(|known| known.document().to_vec()));
        }
    }
}

#[rstest]
fn acknowledged_changes_survive_random_failures(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, false);
    for _ in 0..300 {
        simulation.step();
    }
    simulation.finish();
    let acknowledged = simulation.sent.iter().filter(|sent| sent.acknowledged).count();
    assert!(acknowledged > 0, "something was acknowledged");
}

#[rstest]
fn acknowledged_changes_survive_the_loss_of_each_disk_in_turn(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, true);
    simulation.cluster.run(Duration::from_secs(4));
    for _ in 0..1200 {
        simulation.step();
    }
    simulation.finish();
    assert!(simulation.sent.iter().filter(|sent| sent.acknowledged).count() > 10);
}
