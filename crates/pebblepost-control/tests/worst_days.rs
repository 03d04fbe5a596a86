//! Days on which machines are cut off, frozen, killed and lose their disks while operators race and transcribers leave:
//! whoever answers, answers by what was acknowledged before.

mod support;

use pebblepost_control::api::HttpRequest;
use pebblepost_messages::feed::InstanceState;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::cluster::Cluster;
use support::documents::{announcement, configuration, patch};
use support::random::Random;
use support::{call, status};

/// Time after its return in which a machine that lost its disk counts as lost.
const CATCH_UP: Duration = Duration::from_millis(4500);
const MACHINES: usize = 3;

/// A change of the configuration with the calls that carried it.
struct Change {
    base: u64,
    generation: u64,
    call: HttpRequest,
    calls: Vec<u64>,
    taken: bool,
    refused: bool,
}

/// A read, and the newest version that was acknowledged or read when it was sent.
struct Read {
    call: u64,
    least: u64,
}

/// A transcriber's call to leave.
struct Leaving {
    call: u64,
    instance: String,
}

/// What a day may bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// No link to the other control processes, in both directions.
    Isolate,
    /// Nothing that it sends reaches the others.
    Mute,
    Freeze,
    Kill,
    KillAll,
    /// The disk is lost.
    Wipe,
}

struct Day {
    cluster: Cluster,
    random: Random,
    troubles: Vec<Trouble>,
    /// Ends of the troubles under way.
    ends: BTreeMap<usize, (Trouble, Duration)>,
    calm_until: Duration,
    changes: Vec<Change>,
    reads: Vec<Read>,
    /// Newest version that was read.
    seen: u64,
    leaving: Vec<Leaving>,
    /// Transcribers whose departure was acknowledged.
    left: BTreeSet<String>,
    instances: u8,
}

impl Day {
    fn new(seed: u64, troubles: &[Trouble]) -> Day {
        let mut cluster = Cluster::acting();
        cluster.run(Duration::from_secs(4));
        Day {
            cluster,
            random: Random(seed),
            troubles: troubles.to_vec(),
            ends: BTreeMap::new(),
            calm_until: Duration::ZERO,
            changes: Vec::new(),
            reads: Vec::new(),
            seen: 0,
            leaving: Vec::new(),
            left: BTreeSet::new(),
            instances: 0,
        }
    }

    fn node(&mut self) -> usize {
        usize::try_from(self.random.below(MACHINES as u64)).unwrap()
    }

    /// Newest version that was acknowledged.
    fn newest(&self) -> u64 {
        let taken = self.changes.iter().filter(|change| change.taken);
        taken.map(|change| change.generation).max().unwrap_or(0)
    }

    /// Two operators change the same version under the same number, at once, at any two machines.
    fn race(&mut self) {
        let base = self.newest().max(self.seen);
        let generation = base + 1 + self.random.below(3);
        for _ in 0..2 {
            let timeout = 100 + self.random.below(1 << 40);
            let call = if base == 0 || self.random.below(3) == 0 {
                call("PUT", "/config", Some(base), configuration(generation, timeout))
            } else {
                call("PATCH", "/config", Some(base), patch(generation, timeout))
            };
            let node = self.node();
            let id = self.cluster.send_call(node, call.clone());
            let change = Change { base, generation, call, calls: vec![id], taken: false, refused: false };
            self.changes.push(change);
        }
    }

    /// Sends one of the newest changes again, unchanged, anywhere.
    fn repeat(&mut self) {
        let recent = self.changes.len().min(6) as u64;
        if recent == 0 {
            return;
        }
        let index = self.changes.len() - 1 - self.random.below(recent) as usize;
        let node = self.node();
        let id = self.cluster.send_call(node, self.changes[index].call.clone());
        self.changes[index].calls.push(id);
    }

    /// Reads the configuration everywhere.
    fn read(&mut self) {
        let least = self.newest().max(self.seen);
        for node in 0..MACHINES {
            let id = self.cluster.send_call(node, call("GET", "/config", None, Vec::new()));
            self.reads.push(Read { call: id, least });
        }
    }

    /// A transcriber comes, and leaves by one of the two ways at some machine.
    fn leave(&mut self) {
        self.instances += 1;
        let (id, address) = (format!("i-{}", self.instances), format!("10.9.0.{}:8080", self.instances));
        let path = format!("/instances/{id}");
        for node in 0..MACHINES {
            self.cluster.send_call(node, call("PUT", &path, None, announcement(&address, "ready", 1, 1)));
        }
        self.pause(30);
        let leaves = match self.random.below(2) {
            0 => call("DELETE", &path, None, Vec::new()),
            _ => call("PUT", &path, None, announcement(&address, "draining", 1, 2)),
        };
        // It calls the next one until somebody acknowledges.
        for node in 0..MACHINES {
            let call = self.cluster.send_call(node, leaves.clone());
            self.leaving.push(Leaving { call, instance: id.clone() });
        }
    }

    /// A heartbeat of a transcriber that has left comes late.
    fn late_heartbeat(&mut self) {
        if let Some(instance) = self.left.iter().next().cloned() {
            let number = instance.trim_start_matches("i-");
            let body = announcement(&format!("10.9.0.{number}:8080"), "ready", 1, 1);
            let node = self.node();
            self.cluster.send_call(node, call("PUT", &format!("/instances/{instance}"), None, body));
        }
    }

    fn disturb(&mut self) {
        let node = self.node();
        let trouble = self.troubles[self.random.below(self.troubles.len() as u64) as usize];
        if !self.ends.is_empty() || self.cluster.now < self.calm_until {
            return;
        }
        let long = self.random.below(6) == 0;
        let time = if long { 20_000 } else { 50 + self.random.below(3000) };
        let until = self.cluster.now + Duration::from_millis(time);
        match trouble {
            Trouble::Isolate => self.cluster.isolate(node),
            Trouble::Mute => self.cluster.mute(node),
            Trouble::Freeze => self.cluster.freeze(node),
            Trouble::Kill => self.cluster.kill(node),
            Trouble::Wipe => {
                self.cluster.wipe(node);
                self.calm_until = until + CATCH_UP;
            }
            Trouble::KillAll => {
                (0..MACHINES).for_each(|each| self.cluster.kill(each));
                let until = self.cluster.now + Duration::from_millis(200);
                self.ends.extend((0..MACHINES).map(|each| (each, (trouble, until))));
                return;
            }
        }
        self.ends.insert(node, (trouble, until));
    }

    fn end_troubles(&mut self) {
        let now = self.cluster.now;
        for (node, (trouble, _)) in
            self.ends.extract_if(.., |_, (_, until)| *until <= now).collect::<Vec<_>>()
        {
            match trouble {
                Trouble::Isolate | Trouble::Mute => self.cluster.join(node),
                Trouble::Freeze => self.cluster.thaw(node),
                Trouble::Kill | Trouble::KillAll | Trouble::Wipe => self.cluster.start(node),
            }
        }
    }

    fn pause(&mut self, most_ms: u64) {
        let pause = 1 + self.random.below(most_ms);
        self.cluster.run(Duration::from_millis(pause));
    }

    fn check(&mut self) {
        self.check_changes();
        self.check_reads();
        self.check_departures();
    }

    fn check_changes(&mut self) {
        let mut bases = BTreeSet::new();
        for change in &mut self.changes {
            for id in &change.calls {
                match self.cluster.answer(*id).map(|answer| answer.status) {
                    Some(200) => change.taken = true,
                    Some(412) => change.refused = true,
                    Some(307 | 503) | None => {}
                    Some(other) => panic!("a proper change was answered {other}"),
                }
            }
            assert!(!(change.taken && change.refused), "one change was both taken and refused");
            assert!(!change.taken || bases.insert(change.base), "two changes on {} were taken", change.base);
        }
    }

    fn check_reads(&mut self) {
        for read in &self.reads {
            let Some(answer) = self.cluster.answer(read.call).filter(|answer| answer.status == 200) else {
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let generation: u64 =
                text.split([':', ',']).nth(1).and_then(|number| number.parse().ok()).expect("a generation");
            self.seen = self.seen.max(generation);
            assert!(generation >= read.least, "a read brought {generation} after {}", read.least);
        }
        self.reads.retain(|read| self.cluster.answer(read.call).is_none());
    }

    fn check_departures(&mut self) {
        for leaving in &self.leaving {
            if self.cluster.answer(leaving.call).is_some_and(|answer| answer.status == 200) {
                self.left.insert(leaving.instance.clone());
            }
        }
        for node in self.cluster.acting_nodes() {
            let registry = self.cluster.core(node).registry();
            let ready = registry
                .live()
                .find(|known| known.state == InstanceState::Ready && self.left.contains(&known.id));
            assert_eq!(ready.map(|known| &known.id), None, "its departure was acknowledged");
        }
    }

    fn step(&mut self) {
        match self.random.below(24) {
            0 => self.disturb(),
            1..=3 => self.race(),
            4..=7 => self.repeat(),
            8..=10 => self.read(),
            11 if self.instances < 200 => self.leave(),
            12 => self.late_heartbeat(),
            _ => {}
        }
        self.pause(120);
        self.end_troubles();
        self.check();
    }

    /// Everything is back: all follow, and what was acknowledged is acknowledged again.
    fn finish(&mut self) {
        for (_, (_, until)) in self.ends.clone() {
            let left = until.saturating_sub(self.cluster.now);
            self.cluster.run(left);
        }
        self.end_troubles();
        self.cluster.run(Duration::from_secs(6));
        self.check();
        let primary = self.cluster.primary();
        for index in 0..self.changes.len() {
            let again = self.changes[index].call.clone();
            let answer = status(self.cluster.call(primary, again));
            let Change { taken, refused, .. } = self.changes[index];
            assert!(!taken || answer == 200, "an acknowledged change was answered {answer}");
            assert!(!refused || answer == 412, "a refused change was answered {answer}");
        }
        self.cluster.run(Duration::from_secs(1));
        let state = |node| self.cluster.core(node).state();
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

/// Days of each kind; more with `SCHEDULES=N` in the environment.
fn days() -> u64 {
    const USUAL: u64 = 12;
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(USUAL)
}

#[rstest]
#[case::cut_off(&[Trouble::Isolate], 1_000)]
#[case::heard_by_nobody(&[Trouble::Mute], 2_000)]
#[case::frozen(&[Trouble::Freeze], 3_000)]
#[case::killed(&[Trouble::Kill, Trouble::KillAll], 4_000)]
#[case::without_disk(&[Trouble::Wipe], 5_000)]
#[case::of_all_kinds(
    &[Trouble::Isolate, Trouble::Mute, Trouble::Freeze, Trouble::Kill, Trouble::KillAll, Trouble::Wipe], 6_000
)]
fn every_answer_agrees_with_what_was_acknowledged(#[case] troubles: &[Trouble], #[case] first_seed: u64) {
    for seed in first_seed..first_seed + days() {
        let mut day = Day::new(seed, troubles);
        (0..400).for_each(|_| day.step());
        day.finish();
        let taken = day.changes.iter().filter(|change| change.taken).count();
        assert!(taken > 5, "seed {seed}: {taken} changes were taken");
        assert!(day.left.len() > 2, "seed {seed}: {} transcribers left", day.left.len());
    }
}

#[rstest]
fn whole_runs_are_as_approved() {
    let kinds: [(&str, &[Trouble], u64); 6] = [
        ("cut off", &[Trouble::Isolate], 9_100),
        ("heard by nobody", &[Trouble::Mute], 9_200),
        ("frozen", &[Trouble::Freeze], 9_300),
        ("killed", &[Trouble::Kill, Trouble::KillAll], 9_400),
        ("without disk", &[Trouble::Wipe], 9_500),
        (
            "of all kinds",
            &[
                Trouble::Isolate,
                Trouble::Mute,
                Trouble::Freeze,
                Trouble::Kill,
                Trouble::KillAll,
                Trouble::Wipe,
            ],
            9_600,
        ),
    ];
    let mut lines = Vec::new();
    for (kind, troubles, first_seed) in kinds {
        for seed in first_seed..first_seed + 2 {
            let mut day = Day::new(seed, troubles);
            (0..200).for_each(|_| day.step());
            day.finish();
            lines.push(format!("{kind} {seed}: {}", day.cluster.trace.shown()));
        }
    }
    let transcript = lines.join("\n");
    let approved = include_str!("transcripts/run_digests.txt");
    assert_eq!(transcript.trim(), approved.trim(), "\n--- got ---\n{transcript}\n-----------");
}
