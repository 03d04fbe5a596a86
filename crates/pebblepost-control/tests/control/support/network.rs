//! Links between the simulated machines, and, where a test asks for it, the network interfaces that they share.

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

/// Network delay between any two machines, one way.
const DELAY: Duration = Duration::from_millis(1);
/// Interval of attempts to open links.
pub(super) const REDIAL: Duration = Duration::from_millis(100);

/// The other end of a connection that a node accepted.
#[derive(Clone)]
pub(super) enum OtherEnd {
    Node { node: usize, address: String },
    Program { program: usize },
}

/// How the feed is sent over the interfaces.
#[derive(Clone, Copy, Debug)]
pub struct InterfaceModel {
    pub bytes_per_second: u64,
    /// The feed is paced.
    pub is_paced: bool,
    /// Shared updates are compressed.
    pub is_compressed: bool,
}

/// The network interfaces of the machines: each sends one message after the other at its rate.
pub(super) struct Interfaces {
    model: InterfaceModel,
    /// The moment at which the simulated time is zero.
    epoch: Instant,
    machines: Vec<Interface>,
    /// The updates whose size was worked out last.
    last_size: Option<(SharedUpdates, usize)>,
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
        Interfaces { model, epoch: Instant::now(), machines, last_size: None }
    }

    /// When `bytes` of the feed may go to the interface of a machine.
    fn feed_may_leave_at(&self, now: Duration, machine: usize, bytes: usize) -> Duration {
        if !self.model.is_paced {
            return now;
        }
        let granted = self.machines[machine].pacer.reserve(self.epoch + now, bytes);
        granted.saturating_duration_since(self.epoch).max(now)
    }

    /// When a message that goes to the interface of a machine now has left it.
    fn send(&mut self, now: Duration, machine: usize, bytes: usize) -> Duration {
        let interface = &mut self.machines[machine];
        let nanoseconds = bytes as u64 * 1_000_000_000 / self.model.bytes_per_second;
        interface.free_at = interface.free_at.max(now) + Duration::from_nanos(nanoseconds);
        interface.free_at
    }

    fn feed_bytes(&mut self, updates: &SharedUpdates) -> usize {
        if let Some((known, bytes)) = &self.last_size
            && Rc::ptr_eq(known, updates)
        {
            return *bytes;
        }
        let compressed = compress_updates(updates).filter(|_| self.model.is_compressed);
        let plain = || updates.to_vec().serialize_bin().len();
        let bytes = compressed.map_or_else(plain, |compressed| compressed.compressed.len());
        self.last_size = Some((Rc::clone(updates), bytes));
        bytes
    }
}

impl Cluster {
    /// Gives each machine a network interface.
    pub fn model_interfaces(&mut self, model: InterfaceModel) {
        self.interfaces = Some(Interfaces::new(model, self.nodes.len()));
    }

    /// A message has come to the interface of its sender.
    pub(super) fn transmit(&mut self, node: usize, bytes: usize, arrival: Event) {
        let now = self.now;
        let left_at = self.interfaces.as_mut().map_or(now, |interfaces| interfaces.send(now, node, bytes));
        self.at(left_at + DELAY, arrival);
    }

    /// Sends something from a node, over its interface if that is modelled.
    fn leave(&mut self, node: usize, bytes: impl FnOnce() -> usize, arrival: Event) {
        if self.interfaces.is_some() {
            self.transmit(node, bytes(), arrival);
        } else {
            self.at(self.now + DELAY, arrival);
        }
    }

    pub(super) fn send_feed(
        &mut self, index: usize, connection: u64, sequence: u64, updates: &SharedUpdates,
    ) {
        let batch = FeedBatch { sequence, updates: updates.to_vec() };
        let Some(arrival) = self.arrival(index, connection, FromControl::Feed(batch)) else { return };
        let now = self.now;
        match &mut self.interfaces {
            Some(interfaces) => {
                let bytes = interfaces.feed_bytes(updates);
                let at = interfaces.feed_may_leave_at(now, index, bytes);
                self.at(at, Event::Transmit { node: index, bytes, arrival: Box::new(arrival) });
            }
            None => self.at(now + DELAY, arrival),
        }
    }

    pub(super) fn send_back(&mut self, index: usize, connection: u64, message: FromControl) {
        let bytes = message.serialize_bin().len();
        if let Some(arrival) = self.arrival(index, connection, message) {
            self.leave(index, || bytes, arrival);
        }
    }

    pub(super) fn send_peer(&mut self, index: usize, address: &str, message: ToControl) {
        let Some((node, connection)) = self.nodes[index].opened.get(address).copied() else { return };
        let bytes = message.serialize_bin().len();
        let incarnation = self.nodes[node].incarnation;
        let input = Input::Message { connection, message };
        self.leave(index, || bytes, Event::Input { node, incarnation, input });
    }

    /// The arrival of a message that a node sends on a connection that it accepted; `None` if it is lost.
    fn arrival(&self, index: usize, connection: u64, message: FromControl) -> Option<Event> {
        match self.connections.get(&(index, connection))? {
            OtherEnd::Node { .. } if self.send_blocked.contains(&index) => None,
            OtherEnd::Node { node, address } => {
                let incarnation = self.nodes[*node].incarnation;
                let input = Input::PeerMessage { address: address.clone(), message };
                Some(Event::Input { node: *node, incarnation, input })
            }
            OtherEnd::Program { program } => {
                Some(Event::ToProgram { program: *program, message: Some(message) })
            }
        }
    }

    pub(super) fn deliver(&mut self, node: usize, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        self.at(self.now + DELAY, Event::Input { node, incarnation, input });
    }

    pub(super) fn close(&mut self, index: usize, connection: u64) {
        match self.connections.remove(&(index, connection)) {
            Some(OtherEnd::Node { node, address }) => {
                self.nodes[node].opened.remove(&address);
                self.deliver(node, Input::PeerDisconnected { address });
            }
            Some(OtherEnd::Program { program }) => {
                self.at(self.now + DELAY, Event::ToProgram { program, message: None });
            }
            None => {}
        }
    }

    pub(super) fn redial(&mut self) {
        for index in 0..self.nodes.len() {
            let addresses: Vec<String> = self.nodes[index].dialed.iter().cloned().collect();
            for address in addresses {
                let Some(other) = self.node_at(&address) else { continue };
                let linked = self.nodes[index].opened.contains_key(&address);
                let is_apart = |node| self.partitioned.contains(node) || self.isolated.contains(node);
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

    pub(super) fn disconnect(&mut self, index: usize) {
        self.disconnect_peers(index);
        let accepted: Vec<(usize, u64)> =
            self.connections.keys().filter(|(node, _)| *node == index).copied().collect();
        for (node, connection) in accepted {
            self.close(node, connection);
            self.deliver(node, Input::Disconnected { connection });
        }
    }

    pub(super) fn disconnect_peers(&mut self, index: usize) {
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
