//! A simulated network of members with delays, datagram loss, partitions, freezes and restarts.

use pebblepost_membership::{Member, MemberState, Membership, Output, Settings};
use pebblepost_stable_hash::Fnv1a;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

pub const PERIOD: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick { node: usize, incarnation: u64 },
    Deliver { to: usize, from: SocketAddrV4, datagram: Vec<u8> },
}

/// A simulated member with its process.
pub struct Node {
    pub membership: Membership,
    pub incarnation: u64,
    pub running: bool,
    pub frozen: bool,
    pub partition: u32,
    pub sent_datagrams: u64,
    pub sent_bytes: u64,
    inbox: Vec<Event>,
}

/// A change of a member that another node reported.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "the fields are printed by Debug where an assertion fails")]
pub struct Observation {
    pub at: Duration,
    pub by: usize,
    pub of: usize,
    pub state: MemberState,
}

/// Digests of all outputs of the members, in order, and of each kind of datagram by itself.
#[derive(Clone, Debug, Default)]
pub struct Transcript {
    pub outputs: u64,
    pub digest: Fnv1a,
    /// Number of datagrams and their digest, by the byte that gives the kind of the message.
    pub kinds: BTreeMap<u8, (u64, Fnv1a)>,
}

impl Transcript {
    fn add_output(&mut self, now: Duration, node: usize, output: &Output) {
        self.outputs += 1;
        self.digest.number(now.as_nanos() as u64);
        self.digest.number(node as u64);
        match output {
            Output::Send { to, datagram } => {
                self.digest.number(node_of(*to) as u64);
                self.digest.bytes(datagram);
                let (count, digest) = self.kinds.entry(datagram[1]).or_default();
                *count += 1;
                digest.bytes(datagram);
            }
            Output::MemberChanged { member, state } => {
                self.digest.bytes(member.name.as_bytes());
                self.digest.number(member.incarnation);
                self.digest.number(*state as u64);
            }
        }
    }
}

pub struct Network {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub seen: Vec<Observation>,
    pub loss: f64,
    pub transcript: Option<Transcript>,
    settings: Settings,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    random: SmallRng,
}

pub fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8 + 1), 7303)
}

fn node_of(address: SocketAddrV4) -> usize {
    let octets = address.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1
}

pub fn name(node: usize) -> String {
    format!("storage-celje-{node}")
}

fn node_named(name: &str) -> usize {
    name.rsplit('-').next().and_then(|number| number.parse().ok()).expect("a node's name")
}

impl Network {
    /// Creates a network of members that start within 0.3 s and have the first three as seeds.
    pub fn new(size: usize, seed: u64, mut settings: Settings) -> Network {
        settings.seeds = (0..3.min(size)).map(address).collect();
        settings.probe_period = PERIOD;
        let mut network = Network {
            now: Duration::ZERO,
            nodes: Vec::new(),
            seen: Vec::new(),
            loss: 0.0,
            transcript: None,
            settings,
            events: BinaryHeap::new(),
            event_count: 0,
            random: SmallRng::seed_from_u64(seed),
        };
        for node in 0..size {
            let membership = network.create_member(node, 1);
            network.nodes.push(Node {
                membership,
                incarnation: 1,
                running: true,
                frozen: false,
                partition: 0,
                sent_datagrams: 0,
                sent_bytes: 0,
                inbox: Vec::new(),
            });
            let start = Duration::from_millis(network.random.random_range(0..300));
            network.schedule(start, Event::Tick { node, incarnation: 1 });
        }
        network
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until all running nodes know exactly the running nodes as alive. Returns the time taken, or `None` after
    /// the timeout.
    pub fn run_until_converged(&mut self, timeout: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now - start < timeout {
            if self.has_converged() {
                return Some(self.now - start);
            }
            self.run_for(Duration::from_millis(100));
        }
        None
    }

    /// Runs until all running nodes know `of` as dead. Returns the time taken, or `None` after the timeout.
    pub fn run_until_dead(&mut self, of: usize, timeout: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now - start < timeout {
            let dead = |by: &usize| matches!(self.state(*by, of), Some((MemberState::Dead, _)));
            if (0..self.nodes.len()).filter(|by| self.nodes[*by].running).all(|by| dead(&by)) {
                return Some(self.now - start);
            }
            self.run_for(Duration::from_millis(100));
        }
        None
    }

    pub fn has_converged(&self) -> bool {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|node| self.nodes[*node].running).collect();
        running.iter().all(|node| {
            let mut present: Vec<usize> = self.nodes[*node]
                .membership
                .members()
                .filter(|(_, state)| *state == MemberState::Alive)
                .map(|(member, _)| node_named(&member.name))
                .collect();
            present.push(*node);
            present.sort_unstable();
            present == running
        })
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].running = false;
    }

    pub fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node].membership = self.create_member(node, incarnation);
        self.nodes[node].incarnation = incarnation;
        self.nodes[node].running = true;
        self.schedule(self.now, Event::Tick { node, incarnation });
    }

    pub fn leave(&mut self, node: usize) {
        self.nodes[node].membership.leave();
        self.apply_outputs(node);
        self.nodes[node].running = false;
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for event in std::mem::take(&mut self.nodes[node].inbox) {
            self.schedule(self.now, event);
        }
    }

    /// Returns the state and the incarnation of `of` as `by` knows them.
    pub fn state(&self, by: usize, of: usize) -> Option<(MemberState, u64)> {
        let wanted = name(of);
        let mut members = self.nodes[by].membership.members();
        members.find(|(member, _)| member.name == wanted).map(|(member, state)| (state, member.incarnation))
    }

    /// Returns the reported deaths of nodes that are running now.
    ///
    /// The deaths are false unless the test had frozen or killed the node in the meantime.
    pub fn false_deaths(&self) -> Vec<&Observation> {
        self.seen
            .iter()
            .filter(|seen| seen.state == MemberState::Dead && self.nodes[seen.of].running)
            .collect()
    }

    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            (node.sent_datagrams, node.sent_bytes) = (0, 0);
        }
    }

    fn create_member(&self, node: usize, incarnation: u64) -> Membership {
        let payload = b"store,celje-a".to_vec();
        let member =
            Member { name: name(node), address: address(node), payload, incarnation: incarnation * 1_000 };
        Membership::new(member, self.settings.clone(), node as u64 * 1_000 + incarnation)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick { node, .. } => *node,
            Event::Deliver { to, .. } => *to,
        };
        if !self.nodes[node].running {
            return;
        }
        if self.nodes[node].frozen {
            self.nodes[node].inbox.push(event);
            return;
        }
        match event {
            Event::Tick { node, incarnation } => {
                if incarnation != self.nodes[node].incarnation {
                    return;
                }
                self.nodes[node].membership.tick(self.now);
                let next = self.nodes[node].membership.next_tick().max(self.now + Duration::from_millis(1));
                self.schedule(next, Event::Tick { node, incarnation });
            }
            Event::Deliver { to, from, datagram } => {
                self.nodes[to].membership.receive(self.now, from, &datagram);
            }
        }
        self.apply_outputs(node);
    }

    fn apply_outputs(&mut self, node: usize) {
        for output in self.nodes[node].membership.take_outputs() {
            if let Some(transcript) = &mut self.transcript {
                transcript.add_output(self.now, node, &output);
            }
            match output {
                Output::Send { to, datagram } => self.send(node, to, datagram),
                Output::MemberChanged { member, state } => {
                    self.seen.push(Observation {
                        at: self.now,
                        by: node,
                        of: node_named(&member.name),
                        state,
                    });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, datagram: Vec<u8>) {
        assert!(datagram.len() <= 1_200, "a datagram of {} bytes, the limit is 1200", datagram.len());
        self.nodes[from].sent_datagrams += 1;
        self.nodes[from].sent_bytes += datagram.len() as u64;
        let to = node_of(to);
        let lost = self.random.random_bool(self.loss);
        if lost || to >= self.nodes.len() || self.nodes[from].partition != self.nodes[to].partition {
            return;
        }
        let delay = Duration::from_micros(self.random.random_range(500..5_000));
        self.schedule(self.now + delay, Event::Deliver { to, from: address(from), datagram });
    }
}

/// Counts the reported changes of a node by state.
pub fn states_seen(network: &Network, of: usize) -> BTreeMap<MemberState, usize> {
    let mut counts = BTreeMap::new();
    for seen in network.seen.iter().filter(|seen| seen.of == of) {
        *counts.entry(seen.state).or_default() += 1;
    }
    counts
}
