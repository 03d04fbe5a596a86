//! Machines, network and clock of a simulated deployment.

use super::checker::Checker;
use super::client::Clients;
use super::control::Control;
use super::digest::Digest;
use super::machine::Machine;
use super::proxy::{Outgoing, Proxy};
use super::transcript;
use pebblepost_batch::admission::MemoryBudget;
use pebblepost_batch::state::Retention;
use pebblepost_batch_store::store::{LinkId, Store, StoreOutput, StoreSettings};
use pebblepost_messages::batch::{FromStore, ToStore};
use pebblepost_messages::control::{GroupEpoch, ToControl};
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use pebblepost_replication::replica::ReplicaSettings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const TICK_MS: u64 = 50;
const CONTROL_TICK_MS: u64 = 100;
const PROXY_TICK_MS: u64 = 20;
const RECONNECT_DELAY_MS: u64 = 100;

/// A sender and receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A storage machine.
    Store(usize),
    /// A proxy.
    Proxy(usize),
    /// The control plane.
    Control,
}

/// An event that is scheduled for a point in time.
#[derive(Debug)]
enum Event {
    StoreTick { machine: usize, incarnation: u64 },
    ProxyTick { proxy: usize },
    ControlTick,
    Synced { machine: usize, incarnation: u64, number: u64 },
    FromProxy { machine: usize, link: u64, message: ToStore },
    FromPeer { machine: usize, from: Member, from_incarnation: (usize, u64), message: ToStore },
    ToProxy { proxy: usize, link: u64, message: FromStore },
    ToControl { machine: usize, incarnation: u64, message: ToControl },
    GroupChanged { machine: usize, incarnation: u64, request: u64, group: u32, current: GroupEpoch },
    Feed { to: Node, groups: Vec<StoreGroup> },
    ConnectProxy { proxy: usize, machine: usize },
    ConnectControl { machine: usize, incarnation: u64 },
    LinkLost { proxy: usize, link: u64 },
    LinkClosed { machine: usize, incarnation: u64, link: u64 },
    Start { machine: usize },
    EndPartition { machine: usize },
}

/// Parameters of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentPlan {
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of storage machines.
    pub machines: usize,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of machines whose loss must be tolerated.
    pub tolerated_losses: usize,
    /// Memory budget for jobs on a machine, in bytes.
    pub max_bytes: u64,
}

/// A simulated deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Milliseconds since the start.
    pub now: u64,
    plan: DeploymentPlan,
    pub random: StdRng,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    last_link: u64,
    /// Latest arrival time of a message, by sender and receiver.
    last_arrivals: BTreeMap<(Node, Node), u64>,
    pub machines: Vec<Machine>,
    pub proxies: Vec<Proxy>,
    pub control: Control,
    pub clients: Clients,
    /// Checks the responses that clients receive.
    pub checker: Checker,
    /// Recorded messages between proxies and stores, one per line.
    pub transcript: Vec<String>,
    /// Digest of all outputs of the stores; `None` if none is computed.
    pub digest: Option<Digest>,
    /// Size of the largest replication message between stores.
    pub largest_replication_message: usize,
}

impl Deployment {
    /// Creates a deployment whose machines all start at time 0.
    pub fn new(plan: DeploymentPlan) -> Deployment {
        let mut deployment = Deployment {
            now: 0,
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            events: BTreeMap::new(),
            last_event: 0,
            last_link: 0,
            last_arrivals: BTreeMap::new(),
            machines: (0..plan.machines).map(|index| Machine::new(index, DiskId(index as u64 + 1))).collect(),
            proxies: (0..plan.proxies).map(|_| Proxy::default()).collect(),
            control: Control::new(plan.tolerated_losses + 1, plan.machines),
            clients: Clients::default(),
            checker: Checker::default(),
            transcript: Vec::new(),
            digest: None,
            largest_replication_message: 0,
        };
        for machine in 0..plan.machines {
            deployment.schedule(0, Event::Start { machine });
        }
        for proxy in 0..plan.proxies {
            deployment.schedule(1, Event::ProxyTick { proxy });
            for machine in 0..plan.machines {
                deployment.schedule(10, Event::ConnectProxy { proxy, machine });
            }
        }
        deployment.schedule(CONTROL_TICK_MS, Event::ControlTick);
        deployment
    }

    pub fn seed(&self) -> u64 {
        self.plan.seed
    }

    /// Processes all events until a point in time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                self.last_event += 1;
                self.events.insert((at, 0), event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Processes all events of the next `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        self.run_until(self.now + millis);
    }

    /// Kills a machine's process, which restarts after `away_ms`. Unsynced writes may be lost.
    pub fn kill(&mut self, machine: usize, away_ms: u64) {
        self.stop(machine);
        self.schedule(away_ms, Event::Start { machine });
    }

    /// Kills a machine's process and replaces its disk with an empty one. The process restarts after `away_ms`.
    pub fn wipe(&mut self, machine: usize, away_ms: u64) {
        self.stop(machine);
        let disk = DiskId(self.random.random_range(1_000..u64::MAX));
        let incarnation = self.machines[machine].incarnation;
        self.machines[machine] = Machine { incarnation, ..Machine::new(machine, disk) };
        self.schedule(away_ms, Event::Start { machine });
    }

    /// Suspends a machine's process for `millis` milliseconds.
    pub fn freeze(&mut self, machine: usize, millis: u64) {
        self.machines[machine].frozen_until = self.now + millis;
    }

    /// Partitions a machine from all other nodes for `millis` milliseconds.
    pub fn partition(&mut self, machine: usize, millis: u64) {
        self.machines[machine].is_partitioned = true;
        self.control.handle_disconnect(self.now, self.machines[machine].member.disk);
        self.schedule(millis, Event::EndPartition { machine });
    }

    /// Starts the graceful shutdown of a machine, as SIGTERM does.
    pub fn shut_down(&mut self, machine: usize) {
        let now = self.time_at(machine);
        if let Some(store) = &mut self.machines[machine].store {
            store.start_shutdown(now);
        }
        self.process_outputs(machine);
    }

    /// Whether a machine is an in-sync replica of any group.
    pub fn is_in_sync_replica(&self, machine: usize) -> bool {
        self.machines[machine].store.as_ref().is_some_and(Store::is_in_sync_replica)
    }

    /// Makes the control plane assign some groups to other machines.
    pub fn reassign_random_groups(&mut self) {
        for group in 0..pebblepost_messages::batch::STORE_GROUPS {
            if self.random.random_bool(0.4) {
                let first = self.random.random_range(0..self.machines.len());
                self.control.assign_group(group, first);
            }
        }
        self.publish_feed();
    }

    /// Whether the in-sync replicas of every group are its targets.
    pub fn is_converged(&self) -> bool {
        self.control.is_converged()
    }

    /// Returns the number of groups that a machine replicates.
    pub fn replica_count(&self, machine: usize) -> usize {
        self.status(machine).matches("\"group\":").count()
    }

    /// Makes a machine write a checkpoint.
    pub fn checkpoint(&mut self, machine: usize) {
        if let Some(store) = &mut self.machines[machine].store {
            store.checkpoint();
        }
        self.process_outputs(machine);
    }

    /// Returns the status of a machine's store as JSON, or an empty string if its process is not running.
    pub fn status(&self, machine: usize) -> String {
        self.machines[machine]
            .store
            .as_ref()
            .map_or(String::new(), |store| store.status(self.time_at(machine)))
    }

    /// Returns the machine that is primary of a group according to the control plane.
    pub fn primary(&self, group: u32) -> Option<usize> {
        let groups = self.control.feed_groups();
        let primary = groups.iter().find(|other| other.group == group)?.primary.disk;
        self.machines.iter().position(|machine| machine.member.disk == primary)
    }

    /// Sends messages of a proxy over its links. Messages on closed links are dropped.
    pub fn send_from_proxy(&mut self, proxy: usize, messages: Vec<Outgoing>) {
        for (link, message) in messages {
            let target = self.machines.iter().position(|machine| machine.proxies.get(&link) == Some(&proxy));
            let Some(machine) = target else { continue };
            self.record_message(|| {
                format!("proxy-{proxy} -> store-{machine}: {}", transcript::format_to_store(&message))
            });
            let delay = self.message_delay(Node::Proxy(proxy), Node::Store(machine));
            self.schedule(delay, Event::FromProxy { machine, link, message });
        }
    }

    /// Returns the time on the monotonic clock of a machine's process.
    fn time_at(&self, machine: usize) -> Duration {
        Duration::from_millis(self.now - self.machines[machine].started_at)
    }

    fn record_message(&mut self, line: impl Fn() -> String) {
        if self.clients.is_recorded {
            let line = format!("{:>6} {}", self.now, line());
            self.transcript.push(line);
        }
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + millis, self.last_event), event);
    }

    /// Returns a random delay for a message that is sent now. Messages between two nodes keep their order.
    fn message_delay(&mut self, from: Node, to: Node) -> u64 {
        let earliest = self.now + self.random.random_range(1..5);
        let last = self.last_arrivals.entry((from, to)).or_default();
        *last = earliest.max(*last);
        *last - self.now
    }

    fn stop(&mut self, machine: usize) {
        let stopped = &mut self.machines[machine];
        if stopped.store.take().is_none() {
            return;
        }
        let kept_writes = self.random.random_range(0..=stopped.disk.unsynced_count());
        stopped.disk.recover(kept_writes);
        stopped.frozen_until = 0;
        let incarnation = (machine, stopped.incarnation);
        stopped.peers.clear();
        let proxies = std::mem::take(&mut stopped.proxies);
        let disk = stopped.member.disk;
        self.control.handle_disconnect(self.now, disk);
        for (link, proxy) in proxies {
            self.schedule(2, Event::LinkLost { proxy, link });
        }
        for other in 0..self.machines.len() {
            if let Some(link) = self.machines[other].peers.remove(&incarnation) {
                let incarnation = self.machines[other].incarnation;
                self.schedule(2, Event::LinkClosed { machine: other, incarnation, link });
            }
        }
    }

    fn start(&mut self, machine: usize) {
        let settings = self.settings(machine);
        let started_at = self.now;
        let started = &mut self.machines[machine];
        if started.store.is_some() {
            return;
        }
        let records = started.disk.recover(0);
        started.incarnation += 1;
        started.started_at = started_at;
        started.is_connected_to_control = false;
        started.store = Some(Store::new(Duration::ZERO, settings, &records).expect("records can be read"));
        let incarnation = started.incarnation;
        self.schedule(5, Event::ConnectControl { machine, incarnation });
        self.schedule(0, Event::StoreTick { machine, incarnation });
    }

    fn settings(&self, machine: usize) -> StoreSettings {
        let millis = Duration::from_millis;
        StoreSettings {
            member: self.machines[machine].member.clone(),
            bootstrap: self.now == 0,
            replica: ReplicaSettings {
                tolerance: Tolerance { machines: self.plan.tolerated_losses, zones: 0, regions: 0 },
                heartbeat_interval: millis(200),
                lease: millis(900),
                election_timeout: millis(1_100),
                max_replica_lag: millis(600),
                write_timeout: millis(600),
                max_log_bytes: 20_000,
            },
            retention: Retention { ended: Duration::from_secs(130), open: Duration::from_secs(720) },
            budget: MemoryBudget::new(self.plan.max_bytes, u64::MAX),
        }
    }

    /// Returns the event if the machine can handle it now. An event of a frozen machine is scheduled for later, and
    /// one of a stopped machine is dropped.
    fn deliverable(&mut self, machine: usize, event: Event) -> Option<Event> {
        let frozen_until = self.machines[machine].frozen_until;
        if self.now < frozen_until {
            self.schedule(frozen_until - self.now, event);
            return None;
        }
        self.machines[machine].store.is_some().then_some(event)
    }

    fn handle(&mut self, event: Event) {
        let machine = match &event {
            Event::StoreTick { machine, .. }
            | Event::Synced { machine, .. }
            | Event::FromProxy { machine, .. }
            | Event::FromPeer { machine, .. }
            | Event::GroupChanged { machine, .. }
            | Event::LinkClosed { machine, .. }
            | Event::Feed { to: Node::Store(machine), .. } => *machine,
            _ => return self.handle_outside_stores(event),
        };
        if let Some(event) = self.deliverable(machine, event) {
            self.handle_at_store(machine, event);
            self.process_outputs(machine);
        }
    }

    fn handle_at_store(&mut self, number: usize, event: Event) {
        let now = self.time_at(number);
        let machine = &mut self.machines[number];
        let Some(store) = &mut machine.store else { return };
        match event {
            Event::StoreTick { machine: _, incarnation } if incarnation == machine.incarnation => {
                store.tick(now);
                self.schedule(TICK_MS, Event::StoreTick { machine: number, incarnation });
            }
            Event::Synced { incarnation, number, .. } if incarnation == machine.incarnation => {
                if let Some(ticket) = machine.disk.sync(number) {
                    store.handle_synced(now, ticket);
                }
            }
            Event::FromProxy { link, message, .. }
                if machine.proxies.contains_key(&link) && !machine.is_partitioned =>
            {
                store.handle_message(now, LinkId(link), message);
            }
            Event::FromPeer { from, from_incarnation, message, .. } if !machine.is_partitioned => {
                let link = *machine.peers.entry(from_incarnation).or_insert_with(|| {
                    self.last_link += 1;
                    store.handle_link_opened(LinkId(self.last_link));
                    store.handle_message(now, LinkId(self.last_link), ToStore::PeerHello { member: from });
                    self.last_link
                });
                store.handle_message(now, LinkId(link), message);
            }
            Event::GroupChanged { incarnation, request, group, current, .. }
                if incarnation == machine.incarnation =>
            {
                store.handle_epoch_change_answer(now, request, group, &current);
            }
            Event::LinkClosed { incarnation, link, .. } if incarnation == machine.incarnation => {
                store.handle_link_closed(LinkId(link))
            }
            Event::Feed { groups, .. } if machine.is_connected_to_control && !machine.is_partitioned => {
                store.apply_assignments(now, &groups);
            }
            _ => {}
        }
    }

    fn handle_outside_stores(&mut self, event: Event) {
        match event {
            Event::ProxyTick { proxy } => self.tick_proxy(proxy),
            Event::ControlTick => {
                if self.control.replace_disconnected(self.now) {
                    self.publish_feed();
                }
                self.schedule(CONTROL_TICK_MS, Event::ControlTick);
            }
            Event::ToProxy { proxy, link, message } => self.handle_message_at_proxy(proxy, link, &message),
            Event::ToControl { machine, incarnation, message } => {
                self.handle_message_at_control(machine, incarnation, message)
            }
            Event::Feed { to: Node::Proxy(proxy), groups } => {
                let messages = self.proxies[proxy].apply_feed(self.now, &groups);
                self.send_from_proxy(proxy, messages);
            }
            Event::ConnectProxy { proxy, machine } => self.connect_proxy(proxy, machine),
            Event::ConnectControl { machine, incarnation } => self.connect_control(machine, incarnation),
            Event::LinkLost { proxy, link } => self.handle_lost_link(proxy, link),
            Event::Start { machine } => self.start(machine),
            Event::EndPartition { machine } => self.end_partition(machine),
            _ => {}
        }
    }

    fn tick_proxy(&mut self, proxy: usize) {
        let messages = self.proxies[proxy].tick(self.now, proxy, &mut self.random);
        self.send_from_proxy(proxy, messages);
        let ignores_leases = self.proxies[proxy].ignores_leases;
        for running in self.proxies[proxy]
            .running()
            .filter(|running| ignores_leases || running.has_valid_lease(self.now))
        {
            self.checker.check_running_item(self.now, &running.job);
        }
        self.tick_clients(proxy);
        self.schedule(PROXY_TICK_MS, Event::ProxyTick { proxy });
    }

    fn handle_message_at_proxy(&mut self, proxy: usize, link: u64, message: &FromStore) {
        if !self.proxies[proxy].links.values().any(|known| *known == link) {
            return;
        }
        self.proxies[proxy].handle_message(self.now, &mut self.random, link, message);
        self.handle_answer(proxy, message);
    }

    fn handle_message_at_control(&mut self, machine: usize, incarnation: u64, message: ToControl) {
        let ToControl::ChangeGroup { request, group, expected_epoch, proposed } = message else { return };
        if self.machines[machine].is_partitioned {
            return;
        }
        let (is_accepted, current) = self.control.compare_and_swap_epoch(group, expected_epoch, &proposed);
        if is_accepted {
            self.publish_feed();
        }
        let delay = self.message_delay(Node::Control, Node::Store(machine));
        self.schedule(delay, Event::GroupChanged { machine, incarnation, request, group, current });
    }

    fn publish_feed(&mut self) {
        let groups = self.control.feed_groups();
        let stores = (0..self.machines.len()).map(Node::Store);
        for to in stores.chain((0..self.proxies.len()).map(Node::Proxy)).collect::<Vec<_>>() {
            let delay = self.message_delay(Node::Control, to);
            self.schedule(delay, Event::Feed { to, groups: groups.clone() });
        }
    }

    fn connect_proxy(&mut self, proxy: usize, machine: usize) {
        let address = self.machines[machine].member.address.clone();
        let is_up = self.machines[machine].store.is_some() && !self.machines[machine].is_partitioned;
        if !is_up || self.now < self.machines[machine].frozen_until {
            return self.schedule(RECONNECT_DELAY_MS, Event::ConnectProxy { proxy, machine });
        }
        self.last_link += 1;
        let link = self.last_link;
        let connected = &mut self.machines[machine];
        connected.proxies.insert(link, proxy);
        if let Some(store) = &mut connected.store {
            store.handle_link_opened(LinkId(link));
        }
        let messages = self.proxies[proxy].handle_link_opened(proxy, &address, link);
        self.send_from_proxy(proxy, messages);
    }

    fn handle_lost_link(&mut self, proxy: usize, link: u64) {
        let Some(address) = self.proxies[proxy].handle_link_lost(link) else { return };
        let machine = self.machines.iter().position(|machine| machine.member.address == address);
        if let Some(machine) = machine {
            self.schedule(RECONNECT_DELAY_MS, Event::ConnectProxy { proxy, machine });
        }
    }

    fn connect_control(&mut self, machine: usize, incarnation: u64) {
        let connected = &mut self.machines[machine];
        if connected.incarnation != incarnation || connected.store.is_none() {
            return;
        }
        if connected.is_partitioned || self.now < connected.frozen_until {
            return self.schedule(RECONNECT_DELAY_MS, Event::ConnectControl { machine, incarnation });
        }
        connected.is_connected_to_control = true;
        self.control.register(&connected.member);
        if let Some(store) = &mut connected.store {
            store.handle_control_connected();
        }
        self.publish_feed();
        self.process_outputs(machine);
    }

    fn end_partition(&mut self, machine: usize) {
        self.machines[machine].is_partitioned = false;
        let incarnation = self.machines[machine].incarnation;
        for (link, proxy) in std::mem::take(&mut self.machines[machine].proxies) {
            self.schedule(1, Event::LinkLost { proxy, link });
            self.schedule(1, Event::LinkClosed { machine, incarnation, link });
        }
        self.schedule(5, Event::ConnectControl { machine, incarnation });
    }

    fn process_outputs(&mut self, machine: usize) {
        let now = self.time_at(machine);
        let (is_partitioned, incarnation) =
            (self.machines[machine].is_partitioned, self.machines[machine].incarnation);
        let Some(store) = &mut self.machines[machine].store else { return };
        for output in store.take_outputs(now) {
            if let Some(digest) = &mut self.digest {
                digest.add_output(self.now, machine, &output);
            }
            match output {
                StoreOutput::Append { ticket, records } => {
                    let number = self.machines[machine].disk.append(ticket, records);
                    self.schedule_sync(machine, incarnation, number);
                }
                StoreOutput::Checkpoint { records } => {
                    let number = self.machines[machine].disk.checkpoint(records);
                    self.schedule_sync(machine, incarnation, number);
                }
                _ if is_partitioned => {}
                StoreOutput::Reply { link, message } => self.send_to_proxy(machine, link.0, message),
                StoreOutput::ToPeer { peer, message } => {
                    self.send_to_peer(machine, incarnation, &peer, message)
                }
                StoreOutput::ToControl(message) if self.machines[machine].is_connected_to_control => {
                    let delay = self.message_delay(Node::Store(machine), Node::Control);
                    self.schedule(delay, Event::ToControl { machine, incarnation, message });
                }
                StoreOutput::ToControl(_) => {}
            }
        }
    }

    fn schedule_sync(&mut self, machine: usize, incarnation: u64, number: u64) {
        let delay = self.random.random_range(2..8);
        self.schedule(delay, Event::Synced { machine, incarnation, number });
    }

    fn send_to_proxy(&mut self, machine: usize, link: u64, message: FromStore) {
        let Some(proxy) = self.machines[machine].proxies.get(&link).copied() else { return };
        self.record_message(|| {
            format!("store-{machine} -> proxy-{proxy}: {}", transcript::format_from_store(&message))
        });
        let delay = self.message_delay(Node::Store(machine), Node::Proxy(proxy));
        self.schedule(delay, Event::ToProxy { proxy, link, message });
    }

    fn send_to_peer(&mut self, from: usize, incarnation: u64, peer: &Member, message: ToStore) {
        if let ToStore::Replication { message, .. } = &message {
            self.largest_replication_message = self.largest_replication_message.max(message.len());
        }
        // A machine that restarts with another disk keeps its address.
        let target = self.machines.iter().position(|machine| machine.member.address == peer.address);
        let Some(machine) = target.filter(|machine| !self.machines[*machine].is_partitioned) else { return };
        let delay = self.message_delay(Node::Store(from), Node::Store(machine));
        let member = self.machines[from].member.clone();
        self.schedule(
            delay,
            Event::FromPeer { machine, from: member, from_incarnation: (from, incarnation), message },
        );
    }
}
