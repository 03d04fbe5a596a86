//! Control processes on a simulated network, with simulated disks and one clock.

use super::trace::Trace;
use pebblepost_control::api::{HttpRequest, HttpResponse};
use pebblepost_control::membership::bootstrap::bootstrap_disk;
use pebblepost_control::node::{ControlNode, Input, NodeSettings, Output};
use pebblepost_control::state::disk_record::{ControlRecord, RecoveredState};
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use pebblepost_rollout::{Order, OrderAnswer, Reported};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// One way between any two machines.
const DELAY: Duration = Duration::from_millis(1);
/// Time of a write.
const SYNC: Duration = Duration::from_millis(2);
/// Pause between ticks.
const TICK: Duration = Duration::from_millis(50);
/// Pause between attempts to open a link.
const REDIAL: Duration = Duration::from_millis(100);
const LINK_PORT: u16 = 7300;
const CONTROL_PORT: u16 = 8262;

/// What a machine keeps while its process is down.
#[derive(Default)]
struct Disk {
    records: Vec<Vec<u8>>,
}

struct Node {
    settings: NodeSettings,
    core: Option<ControlNode>,
    /// Rises with every start, so that events for a former life are dropped.
    life: u64,
    disk: Disk,
    dialed: BTreeSet<String>,
    /// Links that this node opened: address, and the connection's number at the other node.
    opened: BTreeMap<String, (usize, u64)>,
    /// The process stands still; what comes meanwhile waits here.
    frozen: Option<Vec<Input>>,
}

/// The other end of a connection that a node accepted.
#[derive(Clone)]
enum OtherEnd {
    Node { node: usize, address: String },
    Program { program: usize },
}

enum Happening {
    Input { node: usize, life: u64, input: Input },
    Sync { node: usize, life: u64, write: u64, records: Vec<Vec<u8>> },
    Due { node: usize, life: u64 },
    Redial,
    ToProgram { program: usize, message: Option<FromControl> },
}

/// A program outside of the control plane that holds a link: an agent or a storage machine.
#[derive(Default)]
pub struct Program {
    /// Node and connection that it is linked with.
    pub link: Option<(usize, u64)>,
    /// What it received.
    pub received: Vec<FromControl>,
}

/// The deployment.
pub struct Cluster {
    pub now: Duration,
    nodes: Vec<Node>,
    happenings: BTreeMap<(Duration, u64), Happening>,
    number: u64,
    last_connection: u64,
    connections: BTreeMap<(usize, u64), OtherEnd>,
    answers: BTreeMap<u64, HttpResponse>,
    last_call: u64,
    cut: BTreeSet<usize>,
    /// Machines that reach no other control process, though programs reach them.
    isolated: BTreeSet<usize>,
    /// Machines whose messages reach no other control process, though they hear the others.
    muted: BTreeSet<usize>,
    pub programs: Vec<Program>,
    /// Orders that were sent: time, node, order, body.
    pub orders: Vec<(Duration, usize, Order, String)>,
    /// Who wanted to open the link to which address at once.
    pub dialed_now: Vec<(usize, String)>,
    /// Outputs that ask for reports: time and instance.
    pub asked: Vec<(Duration, String)>,
    /// Digest of everything that the processes did.
    pub trace: Trace,
}

fn control_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(index).unwrap() + 1], CONTROL_PORT))
}

fn settings(index: usize, disk: DiskId, founder: bool, seeds: &[SocketAddr]) -> NodeSettings {
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
        may_bootstrap: founder,
        tolerance: Tolerance { machines: 1, zones: 0, regions: 0 },
        heartbeat_interval: Duration::from_millis(1200),
        order_lease: Duration::from_millis(3000),
        random_seed: disk.0,
    }
}

impl Cluster {
    /// Three founders, started at once.
    pub fn founded() -> Cluster {
        let seeds: Vec<SocketAddr> = (0..3).map(control_address).collect();
        let mut cluster = Cluster {
            now: Duration::ZERO,
            nodes: Vec::new(),
            happenings: BTreeMap::new(),
            number: 0,
            last_connection: 0,
            connections: BTreeMap::new(),
            answers: BTreeMap::new(),
            last_call: 0,
            cut: BTreeSet::new(),
            isolated: BTreeSet::new(),
            muted: BTreeSet::new(),
            programs: Vec::new(),
            orders: Vec::new(),
            dialed_now: Vec::new(),
            asked: Vec::new(),
            trace: Trace::default(),
        };
        for (index, seed) in seeds.iter().enumerate() {
            cluster.add(settings(index, bootstrap_disk(*seed), true, &seeds));
        }
        cluster.at(Duration::ZERO, Happening::Redial);
        cluster
    }

    /// Three founders, run until one of them acts.
    pub fn acting() -> Cluster {
        let mut cluster = Cluster::founded();
        cluster.run_until_acting();
        cluster
    }

    fn add(&mut self, settings: NodeSettings) -> usize {
        self.nodes.push(Node {
            settings,
            core: None,
            life: 0,
            disk: Disk::default(),
            dialed: BTreeSet::new(),
            opened: BTreeMap::new(),
            frozen: None,
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
        node.life += 1;
        node.core = Some(ControlNode::new(now, node.settings.clone(), recovered));
        self.carry_out(index);
        self.tick_later(index);
    }

    /// Kills a process; its disk remains.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].core = None;
        self.nodes[index].frozen = None;
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

    /// Cuts a machine off from all others, or joins it again.
    pub fn cut(&mut self, index: usize, cut: bool) {
        if cut {
            self.cut.insert(index);
            self.disconnect(index);
        } else {
            self.cut.remove(&index);
        }
    }

    /// Cuts a machine off from the other control processes only: programs keep their links to it.
    pub fn isolate(&mut self, index: usize) {
        self.isolated.insert(index);
        self.disconnect_peers(index);
    }

    /// Joins a machine that was isolated or muted with the others again.
    pub fn join(&mut self, index: usize) {
        self.isolated.remove(&index);
        if self.muted.remove(&index) {
            self.disconnect_peers(index);
        }
    }

    /// What a machine sends to other control processes is lost from now on.
    pub fn mute(&mut self, index: usize) {
        self.muted.insert(index);
    }

    /// A process stands still.
    pub fn freeze(&mut self, index: usize) {
        if self.is_up(index) {
            self.nodes[index].frozen.get_or_insert_default();
        }
    }

    /// A process goes on, with all that came meanwhile.
    pub fn thaw(&mut self, index: usize) {
        for input in self.nodes[index].frozen.take().unwrap_or_default() {
            self.input(index, input);
        }
    }

    /// Whether a process runs.
    pub fn is_up(&self, index: usize) -> bool {
        self.nodes[index].core.is_some()
    }

    /// A process.
    pub fn core(&self, index: usize) -> &ControlNode {
        self.nodes[index].core.as_ref().expect("the process runs")
    }

    /// Machines so far.
    pub fn machines(&self) -> usize {
        self.nodes.len()
    }

    /// The processes that act as primary now.
    pub fn acting_nodes(&self) -> Vec<usize> {
        let acting =
            |index: &usize| self.nodes[*index].core.as_ref().is_some_and(|core| core.is_acting(self.now));
        (0..self.nodes.len()).filter(acting).collect()
    }

    /// The one that acts.
    pub fn primary(&self) -> usize {
        let acting = self.acting_nodes();
        assert_eq!(acting.len(), 1, "one process acts");
        acting[0]
    }

    /// Hands something in.
    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        if let Some(inbox) = &mut self.nodes[index].frozen {
            if !matches!(input, Input::Tick) {
                inbox.push(input);
            }
            return;
        }
        if let Some(core) = &mut self.nodes[index].core {
            core.handle(now, input);
            self.carry_out(index);
        }
    }

    /// Sends a call; its number.
    pub fn send_call(&mut self, index: usize, call: HttpRequest) -> u64 {
        self.last_call += 1;
        let id = self.last_call;
        if self.is_up(index) {
            self.input(index, Input::Request { id, request: call });
        }
        id
    }

    /// The answer to a call, if it has come.
    pub fn answer(&self, id: u64) -> Option<&HttpResponse> {
        self.answers.get(&id)
    }

    /// Sends a call and runs until it is answered, five seconds at most.
    pub fn call(&mut self, index: usize, call: HttpRequest) -> Option<HttpResponse> {
        let id = self.send_call(index, call);
        let until = self.now + Duration::from_secs(5);
        while !self.answers.contains_key(&id) && self.now < until {
            self.step();
        }
        self.answers.get(&id).cloned()
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
    pub fn answer_order(&mut self, index: usize, order: Order, answer: OrderAnswer) {
        self.input(index, Input::OrderAnswered { order, answer });
    }

    /// A report comes.
    pub fn report(&mut self, index: usize, instance: &str, report: Reported) {
        self.input(index, Input::LoadReported { instance: instance.into(), report: Some(report) });
    }

    fn at(&mut self, at: Duration, happening: Happening) {
        self.number += 1;
        self.happenings.insert((at, self.number), happening);
    }

    fn next_at(&self) -> Option<Duration> {
        self.happenings.keys().next().map(|(at, _)| *at)
    }

    fn deliver(&mut self, node: usize, input: Input) {
        let life = self.nodes[node].life;
        self.at(self.now + DELAY, Happening::Input { node, life, input });
    }

    fn tick_later(&mut self, node: usize) {
        let life = self.nodes[node].life;
        self.at(self.now + TICK, Happening::Input { node, life, input: Input::Tick });
    }

    /// Carries out the next happening.
    fn step(&mut self) {
        let Some((key, happening)) = self.happenings.pop_first() else { return };
        self.now = self.now.max(key.0);
        match happening {
            Happening::Input { node, life, input } => {
                if self.nodes[node].life != life || !self.is_up(node) {
                    return;
                }
                if matches!(input, Input::Tick) {
                    self.tick_later(node);
                }
                self.input(node, input);
            }
            Happening::Sync { node, life, write, records } => {
                if self.nodes[node].life == life && self.is_up(node) {
                    self.nodes[node].disk.records.extend(records);
                    self.input(node, Input::Persisted { write });
                }
            }
            Happening::Due { node, life } => {
                if self.nodes[node].life == life && self.is_up(node) {
                    self.input(node, Input::Tick);
                }
            }
            Happening::Redial => {
                self.redial();
                self.at(self.now + REDIAL, Happening::Redial);
            }
            Happening::ToProgram { program, message } => match message {
                Some(message) => self.programs[program].received.push(message),
                None => self.programs[program].link = None,
            },
        }
    }

    fn carry_out(&mut self, index: usize) {
        let life = self.nodes[index].life;
        let Some(core) = &mut self.nodes[index].core else { return };
        let due = core.due_at();
        let outputs = core.take_outputs();
        for output in outputs {
            self.trace.output(self.now, index, &output);
            match output {
                Output::Respond { id, response: answer } => {
                    self.answers.insert(id, answer);
                }
                Output::Send { connection, message } => self.send_back(index, connection, message),
                Output::Disconnect { connection } => self.close(index, connection),
                Output::SendPeer { .. } if self.muted.contains(&index) => {}
                Output::SendPeer { address, message } => {
                    if let Some((node, connection)) = self.nodes[index].opened.get(&address).copied() {
                        self.deliver(node, Input::Message { connection, message });
                    }
                }
                Output::DialPeers(addresses) => self.nodes[index].dialed = addresses,
                Output::DialPeerNow(address) => self.dialed_now.push((index, address)),
                Output::Append { write, records } => {
                    let records = records.iter().map(ControlRecord::encode).collect();
                    self.at(self.now + SYNC, Happening::Sync { node: index, life, write, records });
                }
                Output::SendOrder { order, body, lease_checked_at } => {
                    assert_eq!(lease_checked_at, self.now, "the lease was checked just now");
                    let body = String::from_utf8(body).expect("the body is text");
                    self.orders.push((self.now, index, order, body));
                }
                Output::FetchLoadReport { instance, .. } => self.asked.push((self.now, instance)),
            }
        }
        if let Some(due) = due.filter(|due| *due > self.now) {
            let same =
                |happening: &Happening| matches!(happening, Happening::Due { node, .. } if *node == index);
            if !self.happenings.iter().any(|((at, _), happening)| *at == due && same(happening)) {
                self.at(due, Happening::Due { node: index, life });
            }
        }
    }

    fn send_back(&mut self, index: usize, connection: u64, message: FromControl) {
        match self.connections.get(&(index, connection)).cloned() {
            Some(OtherEnd::Node { .. }) if self.muted.contains(&index) => {}
            Some(OtherEnd::Node { node, address }) => {
                self.deliver(node, Input::PeerMessage { address, message });
            }
            Some(OtherEnd::Program { program }) => {
                let message = Some(message);
                self.at(self.now + DELAY, Happening::ToProgram { program, message });
            }
            None => {}
        }
    }

    fn close(&mut self, index: usize, connection: u64) {
        match self.connections.remove(&(index, connection)) {
            Some(OtherEnd::Node { node, address }) => {
                self.nodes[node].opened.remove(&address);
                self.deliver(node, Input::PeerDisconnected { address });
            }
            Some(OtherEnd::Program { program }) => {
                self.at(self.now + DELAY, Happening::ToProgram { program, message: None });
            }
            None => {}
        }
    }

    fn redial(&mut self) {
        for index in 0..self.nodes.len() {
            let wanted: Vec<String> = self.nodes[index].dialed.iter().cloned().collect();
            for address in wanted {
                let Some(other) = self.node_at(&address) else { continue };
                let linked = self.nodes[index].opened.contains_key(&address);
                let is_apart = |node| self.cut.contains(node) || self.isolated.contains(node);
                let apart = is_apart(&index) || is_apart(&other);
                if linked || apart || !self.is_up(index) || !self.is_up(other) {
                    continue;
                }
                self.last_connection += 1;
                let connection = self.last_connection;
                self.nodes[index].opened.insert(address.clone(), (other, connection));
                let end = OtherEnd::Node { node: index, address: address.clone() };
                self.connections.insert((other, connection), end);
                self.deliver(index, Input::PeerConnected { address });
            }
        }
    }

    fn node_at(&self, address: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.settings.me.address == address)
    }

    fn disconnect(&mut self, index: usize) {
        self.disconnect_peers(index);
        let accepted: Vec<(usize, u64)> =
            self.connections.keys().filter(|(node, _)| *node == index).copied().collect();
        for (node, connection) in accepted {
            self.close(node, connection);
            self.deliver(node, Input::Disconnected { connection });
        }
    }

    fn disconnect_peers(&mut self, index: usize) {
        for (address, (node, connection)) in std::mem::take(&mut self.nodes[index].opened) {
            self.connections.remove(&(node, connection));
            self.deliver(node, Input::Disconnected { connection });
            self.deliver(index, Input::PeerDisconnected { address });
        }
        let from_peer = |((node, _), end): &(&(usize, u64), &OtherEnd)| {
            *node == index && matches!(end, OtherEnd::Node { .. })
        };
        let accepted: Vec<(usize, u64)> =
            self.connections.iter().filter(from_peer).map(|(key, _)| *key).collect();
        for (node, connection) in accepted {
            self.close(node, connection);
            self.deliver(node, Input::Disconnected { connection });
        }
    }
}
