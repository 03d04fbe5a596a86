//! Seeded simulations with faults (isolation, blocked sending, suspension, starvation, crashes, hanging and lost disks)
//! and concurrent operators. Each response of each process is checked against everything acknowledged before.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, patch, registration};
use crate::support::random::Random;
use crate::support::{http_request, status};
use pebblepost_control::api::HttpRequest;
use pebblepost_messages::feed::InstanceState;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that a machine gets to catch up after the loss of its disk, before the next fault.
const CATCH_UP_TIME: Duration = Duration::from_millis(4500);
const MACHINES: usize = 3;

/// A configuration change, and the numbers of the requests that carried it.
struct Change {
    base: u64,
    generation: u64,
    request: HttpRequest,
    requests: Vec<u64>,
    /// Whether a request was answered 200.
    accepted: bool,
    /// Whether a request was answered 412.
    rejected: bool,
}

/// A read of the configuration. `min_generation` is the newest version that was acknowledged or read before it was
/// sent.
struct Read {
    request: u64,
    min_generation: u64,
}

/// A request with which a transcriber drains or deregisters.
struct Shutdown {
    request: u64,
    instance: String,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The process has no links to the other control processes.
    Isolate,
    /// The messages of the process to the others are lost.
    BlockSending,
    Suspend,
    Kill,
    KillAll,
    /// The process is killed and its disk is lost.
    Wipe,
    /// No write to the disk becomes durable.
    HangDisk,
    /// The process gets processor time only in short slices, far apart.
    Starve,
}

struct Simulation {
    cluster: Cluster,
    random: Random,
    faults: Vec<Fault>,
    /// Active faults by node, and when each ends.
    active_faults: BTreeMap<usize, (Fault, Duration)>,
    /// Time before which no further fault is injected.
    no_fault_until: Duration,
    changes: Vec<Change>,
    reads: Vec<Read>,
    /// Newest version in a response to a read.
    newest_read: u64,
    shutdowns: Vec<Shutdown>,
    /// Instances whose shutdown was acknowledged.
    terminated: BTreeSet<String>,
    /// Number of instances registered so far.
    instances: u8,
}

impl Simulation {
    fn new(seed: u64, faults: &[Fault]) -> Simulation {
        let mut cluster = Cluster::with_primary();
        cluster.run(Duration::from_secs(4));
        Simulation {
            cluster,
            random: Random(seed),
            faults: faults.to_vec(),
            active_faults: BTreeMap::new(),
            no_fault_until: Duration::ZERO,
            changes: Vec::new(),
            reads: Vec::new(),
            newest_read: 0,
            shutdowns: Vec::new(),
            terminated: BTreeSet::new(),
            instances: 0,
        }
    }

    /// Returns a random node.
    fn random_node(&mut self) -> usize {
        usize::try_from(self.random.below(MACHINES as u64)).expect("a small number")
    }

    /// Returns the newest acknowledged version.
    fn newest_acknowledged(&self) -> u64 {
        let accepted = self.changes.iter().filter(|change| change.accepted);
        accepted.map(|change| change.generation).max().unwrap_or(0)
    }

    /// Sends the changes of two operators to random nodes, on the same base version and with the same new version.
    fn send_concurrent_changes(&mut self) {
        let base = self.newest_acknowledged().max(self.newest_read);
        let generation = base + 1 + self.random.below(3);
        for _ in 0..2 {
            let timeout = 100 + self.random.below(1 << 40);
            let request = if base == 0 || self.random.below(3) == 0 {
                http_request("PUT", "/config", Some(base), configuration(generation, timeout))
            } else {
                http_request("PATCH", "/config", Some(base), patch(generation, timeout))
            };
            let node = self.random_node();
            let id = self.cluster.send_request(node, request.clone());
            let change =
                Change { base, generation, request, requests: vec![id], accepted: false, rejected: false };
            self.changes.push(change);
        }
    }

    /// Retries one of the six newest changes at a random node.
    fn retry_change(&mut self) {
        let recent = self.changes.len().min(6) as u64;
        if recent == 0 {
            return;
        }
        let index = self.changes.len() - 1 - self.random.below(recent) as usize;
        let node = self.random_node();
        let id = self.cluster.send_request(node, self.changes[index].request.clone());
        self.changes[index].requests.push(id);
    }

    /// Sends a read of the configuration to each node.
    fn send_reads(&mut self) {
        let min_generation = self.newest_acknowledged().max(self.newest_read);
        for node in 0..MACHINES {
            let id = self.cluster.send_request(node, http_request("GET", "/config", None, Vec::new()));
            self.reads.push(Read { request: id, min_generation });
        }
    }

    /// Registers a new transcriber, which then drains or deregisters.
    fn run_transcriber_shutdown(&mut self) {
        self.instances += 1;
        let (id, address) = (format!("i-{}", self.instances), format!("10.9.0.{}:8080", self.instances));
        let path = format!("/instances/{id}");
        for node in 0..MACHINES {
            self.cluster
                .send_request(node, http_request("PUT", &path, None, registration(&address, "ready", 1)));
        }
        self.run_for_random_time(30);
        let shutdown = match self.random.below(2) {
            0 => http_request("DELETE", &path, None, Vec::new()),
            _ => http_request("PUT", &path, None, registration(&address, "draining", 2)),
        };
        // A transcriber tries one node after the other until one acknowledges. Here it asks all of them.
        for node in 0..MACHINES {
            let request = self.cluster.send_request(node, shutdown.clone());
            self.shutdowns.push(Shutdown { request, instance: id.clone() });
        }
    }

    /// Sends a heartbeat of a terminated transcriber that was delayed on the way.
    fn send_delayed_heartbeat(&mut self) {
        if let Some(instance) = self.terminated.iter().next().cloned() {
            let number = instance.trim_start_matches("i-");
            let body = registration(&format!("10.9.0.{number}:8080"), "ready", 1);
            let node = self.random_node();
            self.cluster
                .send_request(node, http_request("PUT", &format!("/instances/{instance}"), None, body));
        }
    }

    fn inject_fault(&mut self) {
        let node = self.random_node();
        let fault = self.faults[self.random.below(self.faults.len() as u64) as usize];
        if !self.active_faults.is_empty() || self.cluster.now < self.no_fault_until {
            return;
        }
        let is_long = self.random.below(6) == 0;
        let time_ms = if is_long { 20_000 } else { 50 + self.random.below(3000) };
        let until = self.cluster.now + Duration::from_millis(time_ms);
        match fault {
            Fault::Isolate => self.cluster.isolate(node),
            Fault::BlockSending => self.cluster.block_sending(node),
            Fault::Suspend => self.cluster.suspend(node),
            Fault::Kill => self.cluster.kill(node),
            Fault::HangDisk => self.cluster.hang_disk(node, Duration::from_millis(time_ms)),
            Fault::Starve => {
                let period = Duration::from_millis(100 + self.random.below(1_400));
                self.cluster.starve(node, period, Duration::from_millis(time_ms));
            }
            Fault::Wipe => {
                self.cluster.wipe(node);
                self.no_fault_until = until + CATCH_UP_TIME;
            }
            Fault::KillAll => {
                (0..MACHINES).for_each(|each| self.cluster.kill(each));
                let until = self.cluster.now + Duration::from_millis(200);
                self.active_faults.extend((0..MACHINES).map(|each| (each, (fault, until))));
                return;
            }
        }
        self.active_faults.insert(node, (fault, until));
    }

    fn end_faults(&mut self) {
        let now = self.cluster.now;
        for (node, (fault, _)) in
            self.active_faults.extract_if(.., |_, (_, until)| *until <= now).collect::<Vec<_>>()
        {
            match fault {
                Fault::Isolate | Fault::BlockSending => self.cluster.heal(node),
                Fault::Suspend | Fault::Starve => self.cluster.resume(node),
                Fault::HangDisk => {}
                Fault::Kill | Fault::KillAll | Fault::Wipe => self.cluster.start(node),
            }
        }
    }

    /// Runs the cluster for a random time of at most `max_ms` milliseconds.
    fn run_for_random_time(&mut self, max_ms: u64) {
        let time_ms = 1 + self.random.below(max_ms);
        self.cluster.run(Duration::from_millis(time_ms));
    }

    fn check(&mut self) {
        self.check_changes();
        self.check_reads();
        self.check_shutdowns();
    }

    fn check_changes(&mut self) {
        let mut bases = BTreeSet::new();
        for change in &mut self.changes {
            for id in &change.requests {
                match self.cluster.response(*id).map(|response| response.status) {
                    Some(200) => change.accepted = true,
                    Some(412) => change.rejected = true,
                    Some(307 | 503) | None => {}
                    Some(other) => panic!("a valid change was answered {other}"),
                }
            }
            assert!(!(change.accepted && change.rejected), "a change was both accepted and rejected");
            assert!(
                !change.accepted || bases.insert(change.base),
                "two changes on base version {} were accepted",
                change.base
            );
        }
    }

    fn check_reads(&mut self) {
        for read in &self.reads {
            let Some(response) =
                self.cluster.response(read.request).filter(|response| response.status == 200)
            else {
                continue;
            };
            let text = String::from_utf8_lossy(&response.body).into_owned();
            let generation: u64 = text
                .split([':', ','])
                .nth(1)
                .and_then(|number| number.parse().ok())
                .expect("a version in the body");
            self.newest_read = self.newest_read.max(generation);
            assert!(
                generation >= read.min_generation,
                "a read returned version {generation}, older than {}",
                read.min_generation
            );
        }
        self.reads.retain(|read| self.cluster.response(read.request).is_none());
    }

    fn check_shutdowns(&mut self) {
        for shutdown in &self.shutdowns {
            if self.cluster.response(shutdown.request).is_some_and(|response| response.status == 200) {
                self.terminated.insert(shutdown.instance.clone());
            }
        }
        for node in self.cluster.acting_nodes() {
            let registry = self.cluster.node(node).registry();
            let ready = registry
                .live()
                .find(|known| known.state == InstanceState::Ready && self.terminated.contains(&known.id));
            assert_eq!(
                ready.map(|known| &known.id),
                None,
                "an instance is ready after its shutdown was acknowledged"
            );
        }
    }

    fn step(&mut self) {
        match self.random.below(24) {
            0 => self.inject_fault(),
            1..=3 => self.send_concurrent_changes(),
            4..=7 => self.retry_change(),
            8..=10 => self.send_reads(),
            11 if self.instances < 200 => self.run_transcriber_shutdown(),
            12 => self.send_delayed_heartbeat(),
            _ => {}
        }
        self.run_for_random_time(120);
        self.end_faults();
        self.check();
    }

    /// Ends all faults, then checks that all nodes catch up and that repeated changes get the same answers as before.
    fn finish(&mut self) {
        for (_, (_, until)) in self.active_faults.clone() {
            let remaining = until.saturating_sub(self.cluster.now);
            self.cluster.run(remaining);
        }
        self.end_faults();
        self.cluster.run(Duration::from_secs(6));
        self.check();
        let primary = self.cluster.primary();
        for index in 0..self.changes.len() {
            let retry = self.changes[index].request.clone();
            let response = status(self.cluster.request(primary, retry));
            let Change { accepted, rejected, .. } = self.changes[index];
            assert!(!accepted || response == 200, "the repeat of an accepted change was answered {response}");
            assert!(!rejected || response == 412, "the repeat of a rejected change was answered {response}");
        }
        self.cluster.run(Duration::from_secs(1));
        let state = |node| self.cluster.node(node).state();
        assert!(state(primary).generation() >= self.newest_acknowledged());
        for node in 0..MACHINES {
            assert_eq!(state(node).generation(), state(primary).generation(), "node {node} did not catch up");
        }
    }
}

/// Returns the number of seeds for each kind of fault: `SCHEDULES` from the environment, or 12.
fn seeds_per_kind() -> u64 {
    const DEFAULT_SEEDS: u64 = 12;
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[rstest]
#[case::isolated(&[Fault::Isolate], 1_000)]
#[case::sending_blocked(&[Fault::BlockSending], 2_000)]
#[case::suspended(&[Fault::Suspend], 3_000)]
#[case::killed(&[Fault::Kill, Fault::KillAll], 4_000)]
#[case::disk_lost(&[Fault::Wipe], 5_000)]
#[case::hanging_disk(&[Fault::HangDisk], 7_000)]
#[case::starved(&[Fault::Starve], 8_000)]
#[case::starved_or_killed(&[Fault::Starve, Fault::HangDisk, Fault::Kill, Fault::KillAll], 8_500)]
#[case::all_kinds(
    &[Fault::Isolate, Fault::BlockSending, Fault::Suspend, Fault::Kill, Fault::KillAll, Fault::Wipe], 6_000
)]
fn responses_are_consistent_with_earlier_acknowledgements_under_faults(
    #[case] faults: &[Fault], #[case] first_seed: u64,
) {
    for seed in first_seed..first_seed + seeds_per_kind() {
        let mut simulation = Simulation::new(seed, faults);
        (0..400).for_each(|_| simulation.step());
        simulation.finish();
        let accepted = simulation.changes.iter().filter(|change| change.accepted).count();
        assert!(accepted > 5, "seed {seed}: only {accepted} changes were accepted");
        assert!(
            simulation.terminated.len() > 2,
            "seed {seed}: only {} transcribers shut down",
            simulation.terminated.len()
        );
    }
}

#[rstest]
fn runs_match_the_approved_digests() {
    let kinds: [(&str, &[Fault], u64); 6] = [
        ("cut off", &[Fault::Isolate], 9_100),
        ("heard by nobody", &[Fault::BlockSending], 9_200),
        ("frozen", &[Fault::Suspend], 9_300),
        ("killed", &[Fault::Kill, Fault::KillAll], 9_400),
        ("without disk", &[Fault::Wipe], 9_500),
        (
            "of all kinds",
            &[Fault::Isolate, Fault::BlockSending, Fault::Suspend, Fault::Kill, Fault::KillAll, Fault::Wipe],
            9_600,
        ),
    ];
    let mut lines = Vec::new();
    for (kind, faults, first_seed) in kinds {
        for seed in first_seed..first_seed + 2 {
            let mut simulation = Simulation::new(seed, faults);
            (0..200).for_each(|_| simulation.step());
            simulation.finish();
            lines.push(format!("{kind} {seed}: {}", simulation.cluster.trace.summary()));
        }
    }
    let transcript = lines.join("\n");
    let approved = include_str!("transcripts/run_digests.txt");
    assert_eq!(transcript.trim(), approved.trim(), "\n--- got ---\n{transcript}\n-----------");
}
