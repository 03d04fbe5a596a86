//! Control processes on a simulated network, with simulated disks and one clock.

use super::network::{Interfaces, OtherEnd, REDIAL};
use super::trace::Trace;
use pebblepost_control::api::{HttpRequest, HttpResponse};
use pebblepost_control::membership::bootstrap::bootstrap_disk;
use pebblepost_control::node::{ControlNode, Input, NodeSettings, Output};
use pebblepost_control::state::disk_record::{ControlRecord, RecoveredState};
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use pebblepost_rollout::{LoadOrder, OrderOutcome, TranscriberReport};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time until a write is durable.
const SYNC: Duration = Duration::from_millis(2);
/// Tick interval.
const TICK: Duration = Duration::from_millis(50);
/// Lease of a primary.
const LEASE: Duration = Duration::from_millis(700);
const LINK_PORT: u16 = 7300;
const CONTROL_PORT: u16 = 8262;

/// What survives the process of a machine.
#[derive(Default)]
struct Disk {
    records: Vec<Vec<u8>>,
}

pub(super) struct Node {
    pub(super) settings: NodeSettings,
    pub(super) process: Option<ControlNode>,
    /// Rises with every start, so that events for a former incarnation are dropped.
    pub(super) incarnation: u64,
    disk: Disk,
    pub(super) dialed: BTreeSet<String>,
    /// Links that this node opened: address, and the connection's number at the other node.
    pub(super) opened: BTreeMap<String, (usize, u64)>,
    /// Inputs that arrive while the process is suspended.
    suspended: Option<Vec<Input>>,
    /// Until when no write ends.
    disk_hangs_until: Duration,
}

/// Something that happens at its time.
pub(super) enum Event {
    Input {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    Sync {
        node: usize,
        incarnation: u64,
        write: u64,
        records: Vec<Vec<u8>>,
    },
    Due {
        node: usize,
        incarnation: u64,
    },
    /// A starved process gets the processor for a moment.
    Slice {
        node: usize,
        incarnation: u64,
        period: Duration,
        until: Duration,
    },
    Redial,
    ToProgram {
        program: usize,
        message: Option<FromControl>,
    },
    /// A message reaches the network interface of its sender.
    Transmit {
        node: usize,
        bytes: usize,
        arrival: Box<Event>,
    },
}

/// A program outside the control plane with a link to it: an agent or a storage node.
#[derive(Default)]
pub struct Program {
    /// Node and connection of its link.
    pub link: Option<(usize, u64)>,
    /// What it received.
    pub received: Vec<FromControl>,
}

/// The deployment.
pub struct Cluster {
    pub now: Duration,
    pub(super) nodes: Vec<Node>,
    schedule: BTreeMap<(Duration, u64), Event>,
    number: u64,
    pub(super) last_connection: u64,
    pub(super) connections: BTreeMap<(usize, u64), OtherEnd>,
    responses: BTreeMap<u64, HttpResponse>,
    last_request: u64,
    pub(super) partitioned: BTreeSet<usize>,
    /// Machines partitioned from the other control processes only.
    pub(super) isolated: BTreeSet<usize>,
    /// Machines whose messages to other control processes are lost, in this direction only.
    pub(super) send_blocked: BTreeSet<usize>,
    pub programs: Vec<Program>,
    /// Orders that were sent: time, node, order, body.
    pub orders: Vec<(Duration, usize, LoadOrder, String)>,
    /// Nodes and the addresses that they wanted dialed without backoff.
    pub dialed_now: Vec<(usize, String)>,
    /// Load reports that were to be fetched: time and instance.
    pub report_requests: Vec<(Duration, String)>,
    /// Digest of everything that the processes did.
    pub trace: Trace,
    /// The network interfaces of the machines, where they are modelled.
    pub(super) interfaces: Option<Interfaces>,
}

fn control_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(index).expect("a small number of machines") + 1], CONTROL_PORT))
}

fn settings(index: usize, disk: DiskId, may_bootstrap: bool, seeds: &[SocketAddr]) -> NodeSettings {
    let control = control_address(index);
    NodeSettings {
        me: Member {
            disk,
            node: format!("core-{index}"),
            address: SocketAddr::new(control.ip(), LINK_PORT).to_string(),
            zone: format!("zone-{}", index % 3),
            region: "region".into(),
        },
        control_address: control,
        link_port: LINK_PORT,
        seeds: seeds.to_vec(),
        may_bootstrap,
        tolerance: Tolerance { machines: 1, zones: 0, regions: 0 },
        heartbeat_interval: Duration::from_millis(1200),
        order_lease: Duration::from_millis(3000),
        random_seed: disk.0,
    }
}

impl Cluster {
    /// Three bootstrap members, started at the same time.
    pub fn bootstrapping() -> Cluster {
        let seeds: Vec<SocketAddr> = (0..3).map(control_address).collect();
        let mut cluster = Cluster {
            now: Duration::ZERO,
            nodes: Vec::new(),
            schedule: BTreeMap::new(),
            number: 0,
            last_connection: 0,
            connections: BTreeMap::new(),
            responses: BTreeMap::new(),
            last_request: 0,
            partitioned: BTreeSet::new(),
            isolated: BTreeSet::new(),
            send_blocked: BTreeSet::new(),
            programs: Vec::new(),
            orders: Vec::new(),
            dialed_now: Vec::new(),
            report_requests: Vec::new(),
            trace: Trace::default(),
            interfaces: None,
        };
        for (index, seed) in seeds.iter().enumerate() {
            cluster.add(settings(index, bootstrap_disk(*seed), true, &seeds));
        }
        cluster.at(Duration::ZERO, Event::Redial);
        cluster
    }

    /// Three bootstrap members, run until one acts as primary.
    pub fn acting() -> Cluster {
        let mut cluster = Cluster::bootstrapping();
        cluster.run_until_acting();
        cluster
    }

    fn add(&mut self, settings: NodeSettings) -> usize {
        self.nodes.push(Node {
            settings,
            process: None,
            incarnation: 0,
            disk: Disk::default(),
            dialed: BTreeSet::new(),
            opened: BTreeMap::new(),
            suspended: None,
            disk_hangs_until: Duration::ZERO,
        });
        let index = self.nodes.len() - 1;
        self.start(index);
        index
    }

    /// Adds an empty machine with these seeds; its number.
    pub fn add_empty(&mut self, seeds: &[usize]) -> usize {
        let index = self.nodes.len();
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| control_address(*seed)).collect();
        self.add(settings(index, DiskId(0xeeee_0000 + index as u64), false, &seeds))
    }

    /// Starts a process with what its disk holds.
    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let recovered = RecoveredState::decode(&node.disk.records).expect("records can be read");
        node.incarnation += 1;
        node.process = Some(ControlNode::new(now, node.settings.clone(), recovered));
        self.carry_out(index);
        self.tick_later(index);
    }

    /// Kills a process; its disk remains.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].process = None;
        self.nodes[index].suspended = None;
        self.nodes[index].dialed.clear();
        self.disconnect(index);
    }

    /// Kills a process and takes away its disk. It will start with another, empty one.
    pub fn wipe(&mut self, index: usize) {
        self.kill(index);
        let node = &mut self.nodes[index];
        node.disk.records.clear();
        node.settings.me.disk = DiskId(node.settings.me.disk.0 ^ 0x5555_0000);
        node.settings.may_bootstrap = false;
    }

    /// Replaces the log on each disk by a checkpoint, so that the next start recovers from a snapshot.
    pub fn checkpoint_disks(&mut self) {
        for node in &mut self.nodes {
            let Some(records) = node.process.as_ref().and_then(ControlNode::checkpoint) else { continue };
            node.disk.records = records.iter().map(ControlRecord::encode).collect();
        }
    }

    /// Partitions a machine from all others, or ends the partition.
    pub fn set_partitioned(&mut self, index: usize, partitioned: bool) {
        if partitioned {
            self.partitioned.insert(index);
            self.disconnect(index);
        } else {
            self.partitioned.remove(&index);
        }
    }

    /// Partitions a machine from the other control processes only: programs keep their links to it.
    pub fn isolate(&mut self, index: usize) {
        self.isolated.insert(index);
        self.disconnect_peers(index);
    }

    /// Ends the isolation or the blocked sending of a machine.
    pub fn heal(&mut self, index: usize) {
        self.isolated.remove(&index);
        if self.send_blocked.remove(&index) {
            self.disconnect_peers(index);
        }
    }

    /// Loses everything that a machine sends to other control processes.
    pub fn block_sending(&mut self, index: usize) {
        self.send_blocked.insert(index);
    }

    /// Lets no write of a machine's disk end for some time.
    pub fn hang_disk(&mut self, index: usize, time: Duration) {
        self.nodes[index].disk_hangs_until = self.now + time;
    }

    /// Whether a caller's connection to a machine is refused at once.
    pub fn refuses(&self, index: usize) -> bool {
        !self.is_up(index) && !self.partitioned.contains(&index)
    }

    /// Whether a machine says nothing to a caller.
    pub fn is_silent(&self, index: usize) -> bool {
        self.partitioned.contains(&index) || self.nodes[index].suspended.is_some()
    }

    /// The machine at a control address, as a redirect names it.
    pub fn node_at_control_address(&self, address: &str) -> Option<usize> {
        (0..self.nodes.len()).find(|index| address.contains(&format!("//{}/", control_address(*index))))
    }

    /// Suspends a process.
    pub fn suspend(&mut self, index: usize) {
        if self.is_up(index) {
            self.nodes[index].suspended.get_or_insert_default();
        }
    }

    /// Starves a process: for some time it handles what has arrived once in each `period` only, as under a quota of
    /// processor time that is used up.
    pub fn starve(&mut self, index: usize, period: Duration, time: Duration) {
        self.suspend(index);
        let until = self.now + time;
        self.schedule_slice(index, period, until);
    }

    fn schedule_slice(&mut self, index: usize, period: Duration, until: Duration) {
        let incarnation = self.nodes[index].incarnation;
        self.at(self.now + period, Event::Slice { node: index, incarnation, period, until });
    }

    fn run_slice(&mut self, index: usize, period: Duration, until: Duration) {
        self.resume(index);
        self.input(index, Input::Tick);
        if self.now + period < until {
            self.suspend(index);
            self.schedule_slice(index, period, until);
        }
    }

    /// Resumes a process with the inputs that arrived meanwhile.
    pub fn resume(&mut self, index: usize) {
        for input in self.nodes[index].suspended.take().unwrap_or_default() {
            self.input(index, input);
        }
    }

    /// Whether a process runs.
    pub fn is_up(&self, index: usize) -> bool {
        self.nodes[index].process.is_some()
    }

    /// A process.
    pub fn node(&self, index: usize) -> &ControlNode {
        self.nodes[index].process.as_ref().expect("the process runs")
    }

    /// Machines so far.
    pub fn machines(&self) -> usize {
        self.nodes.len()
    }

    /// The processes that act as primary now.
    pub fn acting_nodes(&self) -> Vec<usize> {
        let acting = |index: &usize| {
            self.nodes[*index].process.as_ref().is_some_and(|process| process.is_acting(self.now))
        };
        (0..self.nodes.len()).filter(acting).collect()
    }

    /// The one that acts.
    pub fn primary(&self) -> usize {
        let acting = self.acting_nodes();
        assert_eq!(acting.len(), 1, "one process acts");
        acting[0]
    }

    /// Passes an input to a process.
    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        if let Some(inbox) = &mut self.nodes[index].suspended {
            if !matches!(input, Input::Tick) {
                inbox.push(input);
            }
            return;
        }
        if let Some(process) = &mut self.nodes[index].process {
            process.handle(now, input);
            self.carry_out(index);
        }
    }

    /// Sends a request and returns its number.
    pub fn send_request(&mut self, index: usize, request: HttpRequest) -> u64 {
        self.last_request += 1;
        let id = self.last_request;
        if self.is_up(index) {
            self.input(index, Input::Request { id, request });
        }
        id
    }

    /// The response to a request, if it has arrived.
    pub fn response(&self, id: u64) -> Option<&HttpResponse> {
        self.responses.get(&id)
    }

    /// Sends a request and runs until its response arrives, five seconds at most.
    pub fn request(&mut self, index: usize, request: HttpRequest) -> Option<HttpResponse> {
        let id = self.send_request(index, request);
        let until = self.now + Duration::from_secs(5);
        while !self.responses.contains_key(&id) && self.now < until {
            self.step();
        }
        self.responses.get(&id).cloned()
    }

    /// Runs for some time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.next_at().is_some_and(|at| at <= until) {
            self.step();
            assert!(self.acting_nodes().len() <= 1, "two processes act at {:?}", self.now);
        }
        self.now = until;
    }

    /// Runs until a process acts; ten seconds at most.
    pub fn run_until_acting(&mut self) {
        let until = self.now + Duration::from_secs(10);
        while self.acting_nodes().is_empty() {
            assert!(self.now < until, "nobody acts after ten seconds");
            self.run(Duration::from_millis(10));
        }
    }

    /// A program opens a link to a process.
    pub fn connect(&mut self, index: usize) -> usize {
        self.programs.push(Program::default());
        let program = self.programs.len() - 1;
        self.reconnect(program, index);
        program
    }

    /// A program opens a link to another process.
    pub fn reconnect(&mut self, program: usize, index: usize) {
        self.disconnect_program(program);
        self.last_connection += 1;
        let connection = self.last_connection;
        self.connections.insert((index, connection), OtherEnd::Program { program });
        self.programs[program].link = Some((index, connection));
    }

    /// A program closes its link.
    pub fn disconnect_program(&mut self, program: usize) {
        if let Some((node, connection)) = self.programs[program].link.take() {
            self.connections.remove(&(node, connection));
            self.deliver(node, Input::Disconnected { connection });
        }
    }

    /// A program sends.
    pub fn send(&mut self, program: usize, message: ToControl) {
        if let Some((node, connection)) = self.programs[program].link {
            self.deliver(node, Input::Message { connection, message });
        }
    }

    /// Takes what a program received.
    pub fn received(&mut self, program: usize) -> Vec<FromControl> {
        std::mem::take(&mut self.programs[program].received)
    }

    /// An order is answered.
    pub fn answer_order(&mut self, index: usize, order: LoadOrder, response: OrderOutcome) {
        self.input(index, Input::OrderAnswered { order, answer: response });
    }

    /// A report comes.
    pub fn report(&mut self, index: usize, instance: &str, report: TranscriberReport) {
        self.input(index, Input::LoadReported { instance: instance.into(), report: Some(report) });
    }

    pub(super) fn at(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.schedule.insert((at, self.number), event);
    }

    fn next_at(&self) -> Option<Duration> {
        self.schedule.keys().next().map(|(at, _)| *at)
    }

    fn tick_later(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.at(self.now + TICK, Event::Input { node, incarnation, input: Input::Tick });
    }

    /// Carries out the next event.
    fn step(&mut self) {
        let Some((key, event)) = self.schedule.pop_first() else { return };
        self.now = self.now.max(key.0);
        match event {
            Event::Input { node, incarnation, input } => {
                if self.nodes[node].incarnation != incarnation || !self.is_up(node) {
                    return;
                }
                if matches!(input, Input::Tick) {
                    self.tick_later(node);
                }
                self.input(node, input);
            }
            Event::Sync { node, incarnation, write, records } => {
                if self.nodes[node].incarnation == incarnation && self.is_up(node) {
                    self.nodes[node].disk.records.extend(records);
                    self.input(node, Input::Persisted { write });
                }
            }
            Event::Due { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.is_up(node) {
                    self.input(node, Input::Tick);
                }
            }
            Event::Slice { node, incarnation, period, until } => {
                if self.nodes[node].incarnation == incarnation && self.is_up(node) {
                    self.run_slice(node, period, until);
                }
            }
            Event::Redial => {
                self.redial();
                self.at(self.now + REDIAL, Event::Redial);
            }
            Event::Transmit { node, bytes, arrival } => self.transmit(node, bytes, *arrival),
            Event::ToProgram { program, message } => match message {
                Some(message) => self.programs[program].received.push(message),
                None => self.programs[program].link = None,
            },
        }
    }

    fn carry_out(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        let Some(process) = &mut self.nodes[index].process else { return };
        let due = process.due_at();
        let outputs = process.take_outputs();
        for output in outputs {
            self.trace.output(self.now, index, &output);
            match output {
                Output::Respond { id, response, send_by } => {
                    assert!(
                        send_by.is_none_or(|send_by| send_by > self.now),
                        "a response under an ended lease"
                    );
                    self.responses.insert(id, response);
                }
                Output::Send { connection, message } => self.send_back(index, connection, message),
                Output::SendFeed { connection, sequence, updates } => {
                    self.send_feed(index, connection, sequence, &updates);
                }
                Output::Disconnect { connection } => self.close(index, connection),
                Output::SendPeer { .. } if self.send_blocked.contains(&index) => {}
                Output::SendPeer { address, message } => {
                    self.send_peer(index, &address, message);
                }
                Output::DialPeers(addresses) => self.nodes[index].dialed = addresses,
                Output::DialPeerNow(address) => self.dialed_now.push((index, address)),
                Output::Append { write, records } => {
                    let records = records.iter().map(ControlRecord::encode).collect();
                    let durable_at = self.nodes[index].disk_hangs_until.max(self.now) + SYNC;
                    self.at(durable_at, Event::Sync { node: index, incarnation, write, records });
                }
                Output::SendOrder { order, body, send_by } => {
                    assert!(send_by > self.now, "an order under an ended lease");
                    assert!(send_by <= self.now + LEASE, "an order that outlives its lease");
                    let body = String::from_utf8(body).expect("the body is text");
                    self.orders.push((self.now, index, order, body));
                }
                Output::FetchLoadReport { instance, .. } => self.report_requests.push((self.now, instance)),
            }
        }
        if let Some(due) = due.filter(|due| *due > self.now) {
            let same = |event: &Event| matches!(event, Event::Due { node, .. } if *node == index);
            if !self.schedule.iter().any(|((at, _), event)| *at == due && same(event)) {
                self.at(due, Event::Due { node: index, incarnation });
            }
        }
    }
}
