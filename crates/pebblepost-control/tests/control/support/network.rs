//! Links between the simulated machines and, in tests that ask for it, a model of their network interfaces.

use super::cluster::{Cluster, Event};
use nanoserde::SerBin;
use pebblepost_control::feed::SharedUpdates;
use pebblepost_control::node::Input;
use pebblepost_control::runtime::feed_rate;
use pebblepost_feed::compression::compress_updates;
use pebblepost_link::Pacer;
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_messages::feed::FeedBatch;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// One-way network delay between any two machines.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// Interval at which nodes try to open missing links to their peers.
pub(super) const DIAL_INTERVAL: Duration = Duration::from_millis(100);

/// The remote end of a connection that a node accepted.
#[derive(Clone)]
pub(super) enum RemoteEnd {
    Node { node: usize, address: String },
    Client { client: usize },
}

/// Rate of the network interfaces, and how the feed is sent over them.
#[derive(Clone, Copy, Debug)]
pub struct InterfaceModel {
    pub bytes_per_second: u64,
    /// Whether the feed is paced.
    pub is_paced: bool,
    /// Whether shared updates are compressed.
    pub is_compressed: bool,
}

/// The network interfaces of the machines. Each sends one message at a time at its rate.
pub(super) struct Interfaces {
    model: InterfaceModel,
    /// The instant that corresponds to a simulated time of zero.
    start: Instant,
    machines: Vec<Interface>,
    /// The updates whose size was computed last, and that size in bytes. One batch goes to many subscribers.
    last_feed_size: Option<(SharedUpdates, usize)>,
}

struct Interface {
    free_at: Duration,
    pacer: Pacer,
}

impl Interfaces {
    fn new(model: InterfaceModel, machines: usize) -> Interfaces {
        let rate = feed_rate(model.bytes_per_second);
        let interface = |_| Interface { free_at: Duration::ZERO, pacer: Pacer::new(rate) };
        let machines = (0..machines).map(interface).collect();
        Interfaces { model, start: Instant::now(), machines, last_feed_size: None }
    }

    /// Returns the time at which the pacer lets `bytes` of the feed go to the interface of a machine.
    fn paced_send_time(&self, now: Duration, machine: usize, bytes: usize) -> Duration {
        if !self.model.is_paced {
            return now;
        }
        let granted = self.machines[machine].pacer.reserve(self.start + now, bytes);
        granted.saturating_duration_since(self.start).max(now)
    }

    /// Queues a message at the interface of a machine and returns the time at which it is sent completely.
    fn enqueue(&mut self, now: Duration, machine: usize, bytes: usize) -> Duration {
        let interface = &mut self.machines[machine];
        let nanoseconds = bytes as u64 * 1_000_000_000 / self.model.bytes_per_second;
        interface.free_at = interface.free_at.max(now) + Duration::from_nanos(nanoseconds);
        interface.free_at
    }

    fn feed_bytes(&mut self, updates: &SharedUpdates) -> usize {
        if let Some((known, bytes)) = &self.last_feed_size
            && Rc::ptr_eq(known, updates)
        {
            return *bytes;
        }
        let compressed = compress_updates(updates).filter(|_| self.model.is_compressed);
        let plain = || updates.to_vec().serialize_bin().len();
        let bytes = compressed.map_or_else(plain, |compressed| compressed.compressed.len());
        self.last_feed_size = Some((Rc::clone(updates), bytes));
        bytes
    }
}

impl Cluster {
    /// Gives each machine a network interface. Until then messages take [`ONE_WAY_DELAY`] only.
    pub fn model_interfaces(&mut self, model: InterfaceModel) {
        self.interfaces = Some(Interfaces::new(model, self.nodes.len()));
    }

    /// Sends a message over the interface of `node`; `arrival` is the event at its receiver.
    pub(super) fn transmit(&mut self, node: usize, bytes: usize, arrival: Event) {
        let now = self.now;
        let sent_at = self.interfaces.as_mut().map_or(now, |interfaces| interfaces.enqueue(now, node, bytes));
        self.schedule_event(sent_at + ONE_WAY_DELAY, arrival);
    }

    /// Sends a message of a node, over its interface if the interfaces are modelled.
    fn send_message(&mut self, node: usize, bytes: impl FnOnce() -> usize, arrival: Event) {
        if self.interfaces.is_some() {
            self.transmit(node, bytes(), arrival);
        } else {
            self.schedule_event(self.now + ONE_WAY_DELAY, arrival);
        }
    }

    pub(super) fn send_feed(
        &mut self, index: usize, connection: u64, sequence: u64, updates: &SharedUpdates,
    ) {
        let batch = FeedBatch { sequence, updates: updates.to_vec() };
        let Some(arrival) = self.arrival_event(index, connection, FromControl::Feed(batch)) else { return };
        let now = self.now;
        match &mut self.interfaces {
            Some(interfaces) => {
                let bytes = interfaces.feed_bytes(updates);
                let paced_at = interfaces.paced_send_time(now, index, bytes);
                self.schedule_event(
                    paced_at,
                    Event::Transmit { node: index, bytes, arrival: Box::new(arrival) },
                );
            }
            None => self.schedule_event(now + ONE_WAY_DELAY, arrival),
        }
    }

    pub(super) fn send_on_accepted_connection(
        &mut self, index: usize, connection: u64, message: FromControl,
    ) {
        let bytes = message.serialize_bin().len();
        if let Some(arrival) = self.arrival_event(index, connection, message) {
            self.send_message(index, || bytes, arrival);
        }
    }

    pub(super) fn send_peer(&mut self, index: usize, address: &str, message: ToControl) {
        let Some((node, connection)) = self.nodes[index].outbound_links.get(address).copied() else { return };
        let bytes = message.serialize_bin().len();
        let incarnation = self.nodes[node].incarnation;
        let input = Input::Message { connection, message };
        self.send_message(index, || bytes, Event::Input { node, incarnation, input });
    }

    /// Returns the event at the receiver of a message that a node sends on a connection that it accepted, or `None` if
    /// the message is lost.
    fn arrival_event(&self, index: usize, connection: u64, message: FromControl) -> Option<Event> {
        match self.connections.get(&(index, connection))? {
            RemoteEnd::Node { .. } if self.send_blocked.contains(&index) => None,
            RemoteEnd::Node { node, address } => {
                let incarnation = self.nodes[*node].incarnation;
                let input = Input::PeerMessage { address: address.clone(), message };
                Some(Event::Input { node: *node, incarnation, input })
            }
            RemoteEnd::Client { client } => Some(Event::ToClient { client: *client, message: Some(message) }),
        }
    }

    pub(super) fn schedule_input(&mut self, node: usize, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule_event(self.now + ONE_WAY_DELAY, Event::Input { node, incarnation, input });
    }

    pub(super) fn close_connection(&mut self, index: usize, connection: u64) {
        match self.connections.remove(&(index, connection)) {
            Some(RemoteEnd::Node { node, address }) => {
                self.nodes[node].outbound_links.remove(&address);
                self.schedule_input(node, Input::PeerDisconnected { address });
            }
            Some(RemoteEnd::Client { client }) => {
                self.schedule_event(self.now + ONE_WAY_DELAY, Event::ToClient { client, message: None });
            }
            None => {}
        }
    }

    pub(super) fn dial_peers(&mut self) {
        for index in 0..self.nodes.len() {
            let addresses: Vec<String> = self.nodes[index].peers_to_dial.iter().cloned().collect();
            for address in addresses {
                let Some(other) = self.node_at(&address) else { continue };
                let is_connected = self.nodes[index].outbound_links.contains_key(&address);
                let is_cut_off = |node| self.partitioned.contains(node) || self.isolated.contains(node);
                let is_unreachable = is_cut_off(&index) || is_cut_off(&other);
                if is_connected || is_unreachable || !self.is_up(index) || !self.is_up(other) {
                    continue;
                }
                self.last_connection += 1;
                let connection = self.last_connection;
                self.nodes[index].outbound_links.insert(address.clone(), (other, connection));
                let end = RemoteEnd::Node { node: index, address: address.clone() };
                self.connections.insert((other, connection), end);
                self.schedule_input(index, Input::PeerConnected { address });
            }
        }
    }

    fn node_at(&self, address: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.settings.me.address == address)
    }

    pub(super) fn disconnect(&mut self, index: usize) {
        self.disconnect_peers(index);
        let accepted: Vec<(usize, u64)> =
            self.connections.keys().filter(|(node, _)| *node == index).copied().collect();
        for (node, connection) in accepted {
            self.close_connection(node, connection);
            self.schedule_input(node, Input::Disconnected { connection });
        }
    }

    pub(super) fn disconnect_peers(&mut self, index: usize) {
        for (address, (node, connection)) in std::mem::take(&mut self.nodes[index].outbound_links) {
            self.connections.remove(&(node, connection));
            self.schedule_input(node, Input::Disconnected { connection });
            self.schedule_input(index, Input::PeerDisconnected { address });
        }
        let from_peer = |((node, _), end): &(&(usize, u64), &RemoteEnd)| {
            *node == index && matches!(end, RemoteEnd::Node { .. })
        };
        let accepted: Vec<(usize, u64)> =
            self.connections.iter().filter(from_peer).map(|(key, _)| *key).collect();
        for (node, connection) in accepted {
            self.close_connection(node, connection);
            self.schedule_input(node, Input::Disconnected { connection });
        }
    }
}
