//! Seeded simulations with faults (isolation, blocked sending, suspension, starvation, crashes, hanging and lost disks)
//! under concurrent operators. Every response of every process is checked against what was acknowledged before.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, patch, registration};
use crate::support::random::Random;
use crate::support::{http_request, status};
use pebblepost_control::api::HttpRequest;
use pebblepost_messages::feed::InstanceState;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time in which a machine that has lost its disk catches up.
const CATCH_UP: Duration = Duration::from_millis(4500);
const MACHINES: usize = 3;

/// A configuration change and the requests that carried it.
struct Change {
    base: u64,
    generation: u64,
    request: HttpRequest,
    requests: Vec<u64>,
    accepted: bool,
    rejected: bool,
}

/// A read, and the newest version that was acknowledged or read when it was sent.
struct Read {
    request: u64,
    min_generation: u64,
}

/// A transcriber's request to shut down.
struct Shutdown {
    request: u64,
    instance: String,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// No link to the other control processes, in both directions.
    Isolate,
    /// Everything that it sends to the others is lost.
    BlockSending,
    Suspend,
    Kill,
    KillAll,
    /// The disk is lost.
    Wipe,
    /// No write of the disk ends.
    HangDisk,
    /// The process gets the processor in short slices, far apart.
    Starve,
}

struct Simulation {
    cluster: Cluster,
    random: Random,
    faults: Vec<Fault>,
    /// Ends of the active faults.
    ends: BTreeMap<usize, (Fault, Duration)>,
    no_fault_until: Duration,
    changes: Vec<Change>,
    reads: Vec<Read>,
    /// Newest version that was read.
    newest_read: u64,
    shutdowns: Vec<Shutdown>,
    /// Transcribers whose shutdown was acknowledged.
    terminated: BTreeSet<String>,
    instances: u8,
}

impl Simulation {
    fn new(seed: u64, faults: &[Fault]) -> Simulation {
        let mut cluster = Cluster::acting();
        cluster.run(Duration::from_secs(4));
        Simulation {
            cluster,
            random: Random(seed),
            faults: faults.to_vec(),
            ends: BTreeMap::new(),
            no_fault_until: Duration::ZERO,
            changes: Vec::new(),
            reads: Vec::new(),
            newest_read: 0,
            shutdowns: Vec::new(),
            terminated: BTreeSet::new(),
            instances: 0,
        }
    }

    fn node(&mut self) -> usize {
        usize::try_from(self.random.below(MACHINES as u64)).expect("a small number")
    }

    /// Newest version that was acknowledged.
    fn newest(&self) -> u64 {
        let accepted = self.changes.iter().filter(|change| change.accepted);
        accepted.map(|change| change.generation).max().unwrap_or(0)
    }

    /// Two operators base changes with the same generation on the same version, at any two machines.
    fn send_concurrent_changes(&mut self) {
        let base = self.newest().max(self.newest_read);
        let generation = base + 1 + self.random.below(3);
        for _ in 0..2 {
            let timeout = 100 + self.random.below(1 << 40);
            let request = if base == 0 || self.random.below(3) == 0 {
                http_request("PUT", "/config", Some(base), configuration(generation, timeout))
            } else {
                http_request("PATCH", "/config", Some(base), patch(generation, timeout))
            };
            let node = self.node();
            let id = self.cluster.send_request(node, request.clone());
            let change =
                Change { base, generation, request, requests: vec![id], accepted: false, rejected: false };
            self.changes.push(change);
        }
    }

    /// Retries one of the newest changes at any machine.
    fn retry_change(&mut self) {
        let recent = self.changes.len().min(6) as u64;
        if recent == 0 {
            return;
        }
        let index = self.changes.len() - 1 - self.random.below(recent) as usize;
        let node = self.node();
        let id = self.cluster.send_request(node, self.changes[index].request.clone());
        self.changes[index].requests.push(id);
    }

    /// Reads the configuration everywhere.
    fn read(&mut self) {
        let min_generation = self.newest().max(self.newest_read);
        for node in 0..MACHINES {
            let id = self.cluster.send_request(node, http_request("GET", "/config", None, Vec::new()));
            self.reads.push(Read { request: id, min_generation });
        }
    }

    /// A transcriber registers, then drains or deregisters.
    fn shut_down(&mut self) {
        self.instances += 1;
        let (id, address) = (format!("i-{}", self.instances), format!("10.9.0.{}:8080", self.instances));
        let path = format!("/instances/{id}");
        for node in 0..MACHINES {
            self.cluster
                .send_request(node, http_request("PUT", &path, None, registration(&address, "ready", 1, 1)));
        }
        self.pause(30);
        let leaves = match self.random.below(2) {
            0 => http_request("DELETE", &path, None, Vec::new()),
            _ => http_request("PUT", &path, None, registration(&address, "draining", 1, 2)),
        };
        // It requests the next one until somebody acknowledges.
        for node in 0..MACHINES {
            let request = self.cluster.send_request(node, leaves.clone());
            self.shutdowns.push(Shutdown { request, instance: id.clone() });
        }
    }

    /// A delayed heartbeat of a terminated transcriber.
    fn late_heartbeat(&mut self) {
        if let Some(instance) = self.terminated.iter().next().cloned() {
            let number = instance.trim_start_matches("i-");
            let body = registration(&format!("10.9.0.{number}:8080"), "ready", 1, 1);
            let node = self.node();
            self.cluster
                .send_request(node, http_request("PUT", &format!("/instances/{instance}"), None, body));
        }
    }

    fn inject_fault(&mut self) {
        let node = self.node();
        let fault = self.faults[self.random.below(self.faults.len() as u64) as usize];
        if !self.ends.is_empty() || self.cluster.now < self.no_fault_until {
            return;
        }
        let long = self.random.below(6) == 0;
        let time = if long { 20_000 } else { 50 + self.random.below(3000) };
        let until = self.cluster.now + Duration::from_millis(time);
        match fault {
            Fault::Isolate => self.cluster.isolate(node),
            Fault::BlockSending => self.cluster.block_sending(node),
            Fault::Suspend => self.cluster.suspend(node),
            Fault::Kill => self.cluster.kill(node),
            Fault::HangDisk => self.cluster.hang_disk(node, Duration::from_millis(time)),
            Fault::Starve => {
                let period = Duration::from_millis(100 + self.random.below(1_400));
                self.cluster.starve(node, period, Duration::from_millis(time));
            }
            Fault::Wipe => {
                self.cluster.wipe(node);
                self.no_fault_until = until + CATCH_UP;
            }
            Fault::KillAll => {
                (0..MACHINES).for_each(|each| self.cluster.kill(each));
                let until = self.cluster.now + Duration::from_millis(200);
                self.ends.extend((0..MACHINES).map(|each| (each, (fault, until))));
                return;
            }
        }
        self.ends.insert(node, (fault, until));
    }

    fn end_faults(&mut self) {
        let now = self.cluster.now;
        for (node, (fault, _)) in self.ends.extract_if(.., |_, (_, until)| *until <= now).collect::<Vec<_>>()
        {
            match fault {
                Fault::Isolate | Fault::BlockSending => self.cluster.heal(node),
                Fault::Suspend | Fault::Starve => self.cluster.resume(node),
                Fault::HangDisk => {}
                Fault::Kill | Fault::KillAll | Fault::Wipe => self.cluster.start(node),
            }
        }
    }

    fn pause(&mut self, max_ms: u64) {
        let pause = 1 + self.random.below(max_ms);
        self.cluster.run(Duration::from_millis(pause));
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
                    Some(other) => panic!("a proper change was answered {other}"),
                }
            }
            assert!(!(change.accepted && change.rejected), "one change was both accepted and rejected");
            assert!(
                !change.accepted || bases.insert(change.base),
                "two changes on {} were accepted",
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
            let generation: u64 =
                text.split([':', ',']).nth(1).and_then(|number| number.parse().ok()).expect("a generation");
            self.newest_read = self.newest_read.max(generation);
            assert!(
                generation >= read.min_generation,
                "a read brought {generation} after {}",
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
            assert_eq!(ready.map(|known| &known.id), None, "its departure was acknowledged");
        }
    }

    fn step(&mut self) {
        match self.random.below(24) {
            0 => self.inject_fault(),
            1..=3 => self.send_concurrent_changes(),
            4..=7 => self.retry_change(),
            8..=10 => self.read(),
            11 if self.instances < 200 => self.shut_down(),
            12 => self.late_heartbeat(),
            _ => {}
        }
        self.pause(120);
        self.end_faults();
        self.check();
    }

    /// Without faults all machines catch up, and acknowledged changes are acknowledged again.
    fn finish(&mut self) {
        for (_, (_, until)) in self.ends.clone() {
            let terminated = until.saturating_sub(self.cluster.now);
            self.cluster.run(terminated);
        }
        self.end_faults();
        self.cluster.run(Duration::from_secs(6));
        self.check();
        let primary = self.cluster.primary();
        for index in 0..self.changes.len() {
            let again = self.changes[index].request.clone();
            let response = status(self.cluster.request(primary, again));
            let Change { accepted, rejected, .. } = self.changes[index];
            assert!(!accepted || response == 200, "an acknowledged change was answered {response}");
            assert!(!rejected || response == 412, "a rejected change was answered {response}");
        }
        self.cluster.run(Duration::from_secs(1));
        let state = |node| self.cluster.node(node).state();
        assert!(state(primary).generation() >= self.newest());
        for node in 0..MACHINES {
            assert_eq!(
                state(node).generation(),
                state(primary).generation(),
                "machine {node} never caught up"
            );
        }
    }
}

/// Seeds of each kind; another number with `SCHEDULES=N` in the environment.
fn seeds() -> u64 {
    const USUAL: u64 = 12;
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(USUAL)
}

#[rstest]
#[case::cut_off(&[Fault::Isolate], 1_000)]
#[case::heard_by_nobody(&[Fault::BlockSending], 2_000)]
#[case::suspended(&[Fault::Suspend], 3_000)]
#[case::killed(&[Fault::Kill, Fault::KillAll], 4_000)]
#[case::without_disk(&[Fault::Wipe], 5_000)]
#[case::hanging_disk(&[Fault::HangDisk], 7_000)]
#[case::starved(&[Fault::Starve], 8_000)]
#[case::starved_or_killed(&[Fault::Starve, Fault::HangDisk, Fault::Kill, Fault::KillAll], 8_500)]
#[case::of_all_kinds(
    &[Fault::Isolate, Fault::BlockSending, Fault::Suspend, Fault::Kill, Fault::KillAll, Fault::Wipe], 6_000
)]
fn every_response_agrees_with_what_was_acknowledged(#[case] faults: &[Fault], #[case] first_seed: u64) {
    for seed in first_seed..first_seed + seeds() {
        let mut simulation = Simulation::new(seed, faults);
        (0..400).for_each(|_| simulation.step());
        simulation.finish();
        let accepted = simulation.changes.iter().filter(|change| change.accepted).count();
        assert!(accepted > 5, "seed {seed}: {accepted} changes were accepted");
        assert!(
            simulation.terminated.len() > 2,
            "seed {seed}: {} transcribers terminated",
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
            lines.push(format!("{kind} {seed}: {}", simulation.cluster.trace.shown()));
        }
    }
    let transcript = lines.join("\n");
    let approved = include_str!("transcripts/run_digests.txt");
    assert_eq!(transcript.trim(), approved.trim(), "\n--- got ---\n{transcript}\n-----------");
}
