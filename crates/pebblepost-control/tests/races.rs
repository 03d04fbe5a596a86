//! Random operators and random losses: what was acknowledged stays, and at most one change builds
//! on a version.

mod support;

use pebblepost_control::api::HttpRequest;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::cluster::Cluster;
use support::documents::{configuration, patch};
use support::random::Random;

/// A change that was sent, and the calls that carried it.
#[derive(Clone)]
struct Sent {
    base: u64,
    generation: u64,
    call: HttpRequest,
    calls: Vec<u64>,
    acknowledged: bool,
}

struct Play {
    cluster: Cluster,
    random: Random,
    sent: Vec<Sent>,
    down_until: BTreeMap<usize, Duration>,
    /// Disks are lost as well, one at a time and with time to catch up after each.
    loses_disks: bool,
    calm_until: Duration,
}

impl Play {
    fn new(seed: u64, loses_disks: bool) -> Play {
        Play {
            cluster: Cluster::acting(),
            random: Random(seed),
            sent: Vec::new(),
            down_until: BTreeMap::new(),
            loses_disks,
            calm_until: Duration::ZERO,
        }
    }

    /// The newest version acknowledged, as an operator knows it.
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
        let call = HttpRequest {
            method: method.into(),
            path: "/config".into(),
            if_match: Some(base.to_string()),
            body,
        };
        let node = self.random.below(3) as usize;
        let id = self.cluster.send_call(node, call.clone());
        self.sent.push(Sent { base, generation, call, calls: vec![id], acknowledged: false });
    }

    fn send_again(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let recent = self.sent.len().min(6) as u64;
        let index = self.sent.len() - 1 - self.random.below(recent) as usize;
        let node = self.random.below(3) as usize;
        let id = self.cluster.send_call(node, self.sent[index].call.clone());
        self.sent[index].calls.push(id);
    }

    fn disturb(&mut self) {
        let node = self.random.below(3) as usize;
        if !self.down_until.is_empty() {
            return;
        }
        if self.cluster.now < self.calm_until {
            return;
        }
        let pause = Duration::from_millis(100 + self.random.below(2500));
        if self.loses_disks {
            self.calm_until = self.cluster.now + pause + Duration::from_millis(4500);
            self.cluster.wipe(node);
            self.down_until.insert(node, self.cluster.now + pause);
            return;
        }
        if self.random.below(8) == 0 {
            // All are killed at once.
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
                .calls
                .iter()
                .filter_map(|id| self.cluster.answer(*id))
                .map(|answer| answer.status)
                .collect();
            for status in &statuses {
                assert!([200, 307, 412, 503].contains(status), "a proper change was answered {status}");
            }
            let taken = statuses.contains(&200);
            assert!(!(taken && statuses.contains(&412)), "one change was both taken and refused");
            self.sent[index].acknowledged |= taken;
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
            0 => self.disturb(),
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

    /// Calm at the end: everything that was acknowledged is there.
    fn finish(&mut self) {
        self.cluster.run(Duration::from_secs(3));
        self.bring_back();
        self.cluster.run(Duration::from_secs(6));
        self.take_answers();
        self.check_bases();
        let primary = self.cluster.primary();
        for index in 0..self.sent.len() {
            if self.sent[index].acknowledged {
                let call = self.sent[index].call.clone();
                let answer = self.cluster.call(primary, call).map(|answer| answer.status);
                assert_eq!(answer, Some(200), "an acknowledged change is acknowledged again");
            }
        }
        let current = self.cluster.core(primary).state().generation();
        assert!(current >= self.newest(), "version {current} is older than an acknowledged one");
        for node in 0..3 {
            let state = self.cluster.core(node).state();
            let documents = state.configuration().map(|known| known.document().to_vec());
            let primary_state = self.cluster.core(primary).state();
            assert_eq!(documents, primary_state.configuration().map(|known| known.document().to_vec()));
        }
    }
}

#[rstest]
fn acknowledged_changes_stay_under_random_losses(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut play = Play::new(seed, false);
    for _ in 0..300 {
        play.step();
    }
    play.finish();
    let acknowledged = play.sent.iter().filter(|sent| sent.acknowledged).count();
    assert!(acknowledged > 0, "something was acknowledged");
}

#[rstest]
fn acknowledged_changes_outlive_the_loss_of_every_disk_in_turn(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let mut play = Play::new(seed, true);
    play.cluster.run(Duration::from_secs(4));
    for _ in 0..1200 {
        play.step();
    }
    play.finish();
    assert!(play.sent.iter().filter(|sent| sent.acknowledged).count() > 10);
}
