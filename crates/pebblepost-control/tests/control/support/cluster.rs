//! Control processes on a simulated network, with simulated disks and one simulated clock.

use super::network::{DIAL_INTERVAL, Interfaces, RemoteEnd};
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

/// Time that a write takes until it is durable.
const WRITE_TIME: Duration = Duration::from_millis(2);
/// Interval at which a process gets [`Input::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Lease duration of a primary.
const PRIMARY_LEASE: Duration = Duration::from_millis(700);
const LINK_PORT: u16 = 7300;
const CONTROL_PORT: u16 = 8262;

/// The stored records of a machine, which survive its process.
#[derive(Default)]
struct Disk {
    records: Vec<Vec<u8>>,
}

pub(super) struct Node {
    pub(super) settings: NodeSettings,
    pub(super) process: Option<ControlNode>,
    /// Number of starts of the process; events for a former incarnation are dropped.
    pub(super) incarnation: u64,
    disk: Disk,
    /// Addresses of peers to which the process wants links.
    pub(super) peers_to_dial: BTreeSet<String>,
    /// Links that this node opened: peer address to the peer's index and its number for the connection.
    pub(super) outbound_links: BTreeMap<String, (usize, u64)>,
    /// Inputs that arrived while the process is suspended; `None` while it is not.
    suspended: Option<Vec<Input>>,
    /// Time before which no write that begins now becomes durable.
    disk_hangs_until: Duration,
}

/// An event in the schedule of the simulation.
pub(super) enum Event {
    Input {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    /// A write to the disk of a node becomes durable.
    WriteDurable {
        node: usize,
        incarnation: u64,
        write: u64,
        records: Vec<Vec<u8>>,
    },
    /// The time that a process returned from `due_at` is reached.
    Wakeup {
        node: usize,
        incarnation: u64,
    },
    /// A starved process gets a slice of processor time.
    ProcessorSlice {
        node: usize,
        incarnation: u64,
        period: Duration,
        until: Duration,
    },
    /// All nodes try to open their missing links.
    DialPeers,
    /// A message reaches a client; `None` closes its link.
    ToClient {
        client: usize,
        message: Option<FromControl>,
    },
    /// A message reaches the network interface of its sender.
    Transmit {
        node: usize,
        bytes: usize,
        arrival: Box<Event>,
    },
}

/// A client of the control plane: an agent or a storage node with a link to a control process.
#[derive(Default)]
pub struct Client {
    /// Index of the node and number of the connection, while the link is open.
    pub link: Option<(usize, u64)>,
    /// Messages received since the test took them last.
    pub received: Vec<FromControl>,
}

/// A load order that a control process sent, with the body of its request.
#[derive(Clone)]
pub struct SentOrder {
    pub sent_at: Duration,
    pub node: usize,
    pub order: LoadOrder,
    pub body: String,
}

/// A simulated deployment of control processes and their clients. Machines, nodes and processes share one index.
pub struct Cluster {
    pub now: Duration,
    pub(super) nodes: Vec<Node>,
    schedule: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    pub(super) last_connection: u64,
    pub(super) connections: BTreeMap<(usize, u64), RemoteEnd>,
    responses: BTreeMap<u64, HttpResponse>,
    last_request: u64,
    pub(super) partitioned: BTreeSet<usize>,
    /// Machines partitioned from the other control processes only.
    pub(super) isolated: BTreeSet<usize>,
    /// Machines whose messages to other control processes are lost, in this direction only.
    pub(super) send_blocked: BTreeSet<usize>,
    pub clients: Vec<Client>,
    /// Load orders that were sent.
    pub orders: Vec<SentOrder>,
    /// Nodes, and the addresses that they dialed without backoff.
    pub immediate_dials: Vec<(usize, String)>,
    /// Requests for load reports: time and instance.
    pub report_requests: Vec<(Duration, String)>,
    /// Digest of all outputs of the processes.
    pub trace: Trace,
    /// The network interfaces of the machines, if they are modelled.
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
    /// Starts three bootstrap members at the same time.
    pub fn bootstrapping() -> Cluster {
        let seeds: Vec<SocketAddr> = (0..3).map(control_address).collect();
        let mut cluster = Cluster {
            now: Duration::ZERO,
            nodes: Vec::new(),
            schedule: BTreeMap::new(),
            last_event: 0,
            last_connection: 0,
            connections: BTreeMap::new(),
            responses: BTreeMap::new(),
            last_request: 0,
            partitioned: BTreeSet::new(),
            isolated: BTreeSet::new(),
            send_blocked: BTreeSet::new(),
            clients: Vec::new(),
            orders: Vec::new(),
            immediate_dials: Vec::new(),
            report_requests: Vec::new(),
            trace: Trace::default(),
            interfaces: None,
        };
        for (index, seed) in seeds.iter().enumerate() {
            cluster.add(settings(index, bootstrap_disk(*seed), true, &seeds));
        }
        cluster.schedule_event(Duration::ZERO, Event::DialPeers);
        cluster
    }

    /// Starts three bootstrap members and runs them until one acts as primary.
    pub fn with_primary() -> Cluster {
        let mut cluster = Cluster::bootstrapping();
        cluster.run_until_primary_acts();
        cluster
    }

    fn add(&mut self, settings: NodeSettings) -> usize {
        self.nodes.push(Node {
            settings,
            process: None,
            incarnation: 0,
            disk: Disk::default(),
            peers_to_dial: BTreeSet::new(),
            outbound_links: BTreeMap::new(),
            suspended: None,
            disk_hangs_until: Duration::ZERO,
        });
        let index = self.nodes.len() - 1;
        self.start(index);
        index
    }

    /// Adds and starts a machine with an empty disk and these seeds. Returns its index.
    pub fn add_machine(&mut self, seeds: &[usize]) -> usize {
        let index = self.nodes.len();
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| control_address(*seed)).collect();
        self.add(settings(index, DiskId(0xeeee_0000 + index as u64), false, &seeds))
    }

    /// Starts a process, which recovers from the records on its disk.
    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let recovered = RecoveredState::decode(&node.disk.records).expect("stored records can be decoded");
        node.incarnation += 1;
        node.process = Some(ControlNode::new(now, node.settings.clone(), recovered));
        self.process_outputs(index);
        self.schedule_tick(index);
    }

    /// Kills a process. Its disk keeps what was durable.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].process = None;
        self.nodes[index].suspended = None;
        self.nodes[index].peers_to_dial.clear();
        self.disconnect(index);
    }

    /// Kills a process and removes its disk. The next start has a new, empty disk.
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

    /// Partitions a machine from all others, or ends the partition. Its links close, those of clients too.
    pub fn set_partitioned(&mut self, index: usize, partitioned: bool) {
        if partitioned {
            self.partitioned.insert(index);
            self.disconnect(index);
        } else {
            self.partitioned.remove(&index);
        }
    }

    /// Partitions a machine from the other control processes only. Clients keep their links to it.
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

    /// Drops all messages of a machine to other control processes. It still receives theirs.
    pub fn block_sending(&mut self, index: usize) {
        self.send_blocked.insert(index);
    }

    /// Delays writes that begin within this time until it has passed. Writes in flight are not delayed.
    pub fn hang_disk(&mut self, index: usize, time: Duration) {
        self.nodes[index].disk_hangs_until = self.now + time;
    }

    /// Returns whether the connection of a caller to a machine is refused at once.
    pub fn refuses_connections(&self, index: usize) -> bool {
        !self.is_up(index) && !self.partitioned.contains(&index)
    }

    /// Returns whether a machine neither refuses connections nor responds.
    pub fn is_unresponsive(&self, index: usize) -> bool {
        self.partitioned.contains(&index) || self.nodes[index].suspended.is_some()
    }

    /// Returns the machine whose control address is in the URL of a redirect.
    pub fn node_at_control_address(&self, address: &str) -> Option<usize> {
        (0..self.nodes.len()).find(|index| address.contains(&format!("//{}/", control_address(*index))))
    }

    /// Suspends a process. Its inputs are queued; ticks are dropped.
    pub fn suspend(&mut self, index: usize) {
        if self.is_up(index) {
            self.nodes[index].suspended.get_or_insert_default();
        }
    }

    /// Starves a process: for some time it handles queued inputs only once in each `period`, as a process does whose
    /// quota of processor time is used up.
    pub fn starve(&mut self, index: usize, period: Duration, time: Duration) {
        self.suspend(index);
        let until = self.now + time;
        self.schedule_slice(index, period, until);
    }

    fn schedule_slice(&mut self, index: usize, period: Duration, until: Duration) {
        let incarnation = self.nodes[index].incarnation;
        self.schedule_event(
            self.now + period,
            Event::ProcessorSlice { node: index, incarnation, period, until },
        );
    }

    fn run_slice(&mut self, index: usize, period: Duration, until: Duration) {
        self.resume(index);
        self.input(index, Input::Tick);
        if self.now + period < until {
            self.suspend(index);
            self.schedule_slice(index, period, until);
        }
    }

    /// Resumes a process, which then handles the queued inputs.
    pub fn resume(&mut self, index: usize) {
        for input in self.nodes[index].suspended.take().unwrap_or_default() {
            self.input(index, input);
        }
    }

    /// Returns whether the process of a machine runs.
    pub fn is_up(&self, index: usize) -> bool {
        self.nodes[index].process.is_some()
    }

    /// Returns a process. Panics if it does not run.
    pub fn node(&self, index: usize) -> &ControlNode {
        self.nodes[index].process.as_ref().expect("the process runs")
    }

    /// Returns the number of machines, including those whose process does not run.
    pub fn machine_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the processes that act as primary now.
    pub fn acting_nodes(&self) -> Vec<usize> {
        let acting = |index: &usize| {
            self.nodes[*index].process.as_ref().is_some_and(|process| process.is_acting(self.now))
        };
        (0..self.nodes.len()).filter(acting).collect()
    }

    /// Returns the process that acts as primary. Panics unless there is exactly one.
    pub fn primary(&self) -> usize {
        let acting = self.acting_nodes();
        assert_eq!(acting.len(), 1, "exactly one process acts as primary, got {acting:?}");
        acting[0]
    }

    /// Passes an input to a process, or queues it while the process is suspended.
    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        if let Some(queue) = &mut self.nodes[index].suspended {
            if !matches!(input, Input::Tick) {
                queue.push(input);
            }
            return;
        }
        if let Some(process) = &mut self.nodes[index].process {
            process.handle(now, input);
            self.process_outputs(index);
        }
    }

    /// Sends a request and returns its number. It is lost if the process does not run.
    pub fn send_request(&mut self, index: usize, request: HttpRequest) -> u64 {
        self.last_request += 1;
        let id = self.last_request;
        if self.is_up(index) {
            self.input(index, Input::Request { id, request });
        }
        id
    }

    /// Returns the response to a request, if it has arrived.
    pub fn response(&self, id: u64) -> Option<&HttpResponse> {
        self.responses.get(&id)
    }

    /// Sends a request and runs the simulation until its response arrives, for five seconds at most.
    pub fn request(&mut self, index: usize, request: HttpRequest) -> Option<HttpResponse> {
        let id = self.send_request(index, request);
        let until = self.now + Duration::from_secs(5);
        while !self.responses.contains_key(&id) && self.now < until {
            self.step();
        }
        self.responses.get(&id).cloned()
    }

    /// Runs the simulation for some time. Panics if two processes act as primary at once.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.next_event_at().is_some_and(|at| at <= until) {
            self.step();
            assert!(self.acting_nodes().len() <= 1, "two processes act as primary at {:?}", self.now);
        }
        self.now = until;
    }

    /// Runs the simulation until a process acts as primary. Panics if none does within ten seconds.
    pub fn run_until_primary_acts(&mut self) {
        let until = self.now + Duration::from_secs(10);
        while self.acting_nodes().is_empty() {
            assert!(self.now < until, "no process acts as primary within ten seconds");
            self.run(Duration::from_millis(10));
        }
    }

    /// Adds a client with a link to a process and returns its number.
    pub fn connect(&mut self, index: usize) -> usize {
        self.clients.push(Client::default());
        let client = self.clients.len() - 1;
        self.reconnect(client, index);
        client
    }

    /// Closes the link of a client and opens a new one to this process.
    pub fn reconnect(&mut self, client: usize, index: usize) {
        self.disconnect_client(client);
        self.last_connection += 1;
        let connection = self.last_connection;
        self.connections.insert((index, connection), RemoteEnd::Client { client });
        self.clients[client].link = Some((index, connection));
    }

    /// Closes the link of a client.
    pub fn disconnect_client(&mut self, client: usize) {
        if let Some((node, connection)) = self.clients[client].link.take() {
            self.connections.remove(&(node, connection));
            self.schedule_input(node, Input::Disconnected { connection });
        }
    }

    /// Sends a message of a client. It is lost if the client has no link.
    pub fn send(&mut self, client: usize, message: ToControl) {
        if let Some((node, connection)) = self.clients[client].link {
            self.schedule_input(node, Input::Message { connection, message });
        }
    }

    /// Takes the messages that a client has received.
    pub fn received(&mut self, client: usize) -> Vec<FromControl> {
        std::mem::take(&mut self.clients[client].received)
    }

    /// Passes the outcome of a load order to a process.
    pub fn answer_order(&mut self, index: usize, order: LoadOrder, outcome: OrderOutcome) {
        self.input(index, Input::OrderAnswered { order, answer: outcome });
    }

    /// Passes the load report of a transcriber to a process.
    pub fn deliver_load_report(&mut self, index: usize, instance: &str, report: TranscriberReport) {
        self.input(index, Input::LoadReported { instance: instance.into(), report: Some(report) });
    }

    pub(super) fn schedule_event(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.schedule.insert((at, self.last_event), event);
    }

    fn next_event_at(&self) -> Option<Duration> {
        self.schedule.keys().next().map(|(at, _)| *at)
    }

    fn schedule_tick(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule_event(self.now + TICK_INTERVAL, Event::Input { node, incarnation, input: Input::Tick });
    }

    /// Removes the next event from the schedule and applies it.
    fn step(&mut self) {
        let Some((key, event)) = self.schedule.pop_first() else { return };
        self.now = self.now.max(key.0);
        match event {
            Event::Input { node, incarnation, input } => {
                if self.nodes[node].incarnation != incarnation || !self.is_up(node) {
                    return;
                }
                if matches!(input, Input::Tick) {
                    self.schedule_tick(node);
                }
                self.input(node, input);
            }
            Event::WriteDurable { node, incarnation, write, records } => {
                if self.nodes[node].incarnation == incarnation && self.is_up(node) {
                    self.nodes[node].disk.records.extend(records);
                    self.input(node, Input::Persisted { write });
                }
            }
            Event::Wakeup { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.is_up(node) {
                    self.input(node, Input::Tick);
                }
            }
            Event::ProcessorSlice { node, incarnation, period, until } => {
                if self.nodes[node].incarnation == incarnation && self.is_up(node) {
                    self.run_slice(node, period, until);
                }
            }
            Event::DialPeers => {
                self.dial_peers();
                self.schedule_event(self.now + DIAL_INTERVAL, Event::DialPeers);
            }
            Event::Transmit { node, bytes, arrival } => self.transmit(node, bytes, *arrival),
            Event::ToClient { client, message } => match message {
                Some(message) => self.clients[client].received.push(message),
                None => self.clients[client].link = None,
            },
        }
    }

    fn process_outputs(&mut self, index: usize) {
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
                        "a response was sent after its lease had ended"
                    );
                    self.responses.insert(id, response);
                }
                Output::Send { connection, message } => {
                    self.send_on_accepted_connection(index, connection, message)
                }
                Output::SendFeed { connection, sequence, updates } => {
                    self.send_feed(index, connection, sequence, &updates);
                }
                Output::Disconnect { connection } => self.close_connection(index, connection),
                Output::SendPeer { .. } if self.send_blocked.contains(&index) => {}
                Output::SendPeer { address, message } => {
                    self.send_peer(index, &address, message);
                }
                Output::DialPeers(addresses) => self.nodes[index].peers_to_dial = addresses,
                Output::DialPeerNow(address) => self.immediate_dials.push((index, address)),
                Output::Append { write, records } => {
                    let records = records.iter().map(ControlRecord::encode).collect();
                    let durable_at = self.nodes[index].disk_hangs_until.max(self.now) + WRITE_TIME;
                    self.schedule_event(
                        durable_at,
                        Event::WriteDurable { node: index, incarnation, write, records },
                    );
                }
                Output::SendOrder { order, body, send_by } => {
                    assert!(send_by > self.now, "a load order was sent after its lease had ended");
                    assert!(
                        send_by <= self.now + PRIMARY_LEASE,
                        "a load order may be sent after the end of the lease"
                    );
                    let body = String::from_utf8(body).expect("the body of a load order is text");
                    self.orders.push(SentOrder { sent_at: self.now, node: index, order, body });
                }
                Output::FetchLoadReport { instance, .. } => self.report_requests.push((self.now, instance)),
            }
        }
        if let Some(due) = due.filter(|due| *due > self.now) {
            let is_wakeup = |event: &Event| matches!(event, Event::Wakeup { node, .. } if *node == index);
            if !self.schedule.iter().any(|((at, _), event)| *at == due && is_wakeup(event)) {
                self.schedule_event(due, Event::Wakeup { node: index, incarnation });
            }
        }
    }
}
