//! Carries out what the core wants: answers, links, the disk, orders.

use crate::api::HttpResponse;
use crate::feed::ConnectionId;
use crate::http::IncomingRequest;
use crate::node::{ControlNode, Input, Output, RequestId};
use crate::state::disk_record::ControlRecord;
use crate::tasks::{Event, EventSender, ask_report, keep_peer_link, send_order};
use pebblepost_link::Sender;
use pebblepost_ring::{Completion, Disk};
use pebblepost_transcriber::{Client, ClientLimits};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// Bytes after which the disk is compacted, if a quarter of its capacity is not less.
const MOST_SINCE_CHECKPOINT: u64 = 8 * 1024 * 1024;

/// Limits of the client for orders and reports.
const CLIENT_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(400),
    max_connections_per_transcriber: 2,
    idle_timeout: Duration::from_secs(2),
    max_body_bytes: 256 * 1024,
};

/// The core and everything that it acts on.
#[derive(Debug)]
pub struct Shell {
    start: Instant,
    core: ControlNode,
    disk: Disk,
    events: EventSender,
    client: Client,
    calls: BTreeMap<RequestId, oneshot::Sender<HttpResponse>>,
    last_call: RequestId,
    links: HashMap<ConnectionId, Sender>,
    peers: HashMap<String, Sender>,
    dials: HashMap<String, AbortHandle>,
    /// Tickets of the disk, and the core's writes that they stand for.
    tickets: VecDeque<(u64, u64)>,
}

impl Shell {
    /// A shell around a core. `start` is the zero of the core's clock.
    pub fn new(start: Instant, core: ControlNode, disk: Disk, events: EventSender) -> Shell {
        Shell {
            start,
            core,
            disk,
            events,
            client: Client::new(CLIENT_LIMITS),
            calls: BTreeMap::new(),
            last_call: 0,
            links: HashMap::new(),
            peers: HashMap::new(),
            dials: HashMap::new(),
            tickets: VecDeque::new(),
        }
    }

    /// When a tick is wanted earlier than usual.
    pub fn due_at(&self) -> Option<Instant> {
        self.core.due_at().map(|due| self.start + due)
    }

    /// Whether this process is primary.
    pub fn is_primary(&self) -> bool {
        self.core.is_primary()
    }

    /// Whether this process is primary under a fresh lease, or hears one that is.
    pub fn knows_primary(&self) -> bool {
        self.core.knows_primary(self.start.elapsed())
    }

    /// Something happened.
    pub fn handle(&mut self, input: Input) {
        self.core.handle(self.start.elapsed(), input);
        self.carry_out();
    }

    /// A call came.
    pub fn call(&mut self, incoming: IncomingRequest) {
        self.last_call += 1;
        self.calls.insert(self.last_call, incoming.reply);
        self.handle(Input::Request { id: self.last_call, request: incoming.request });
    }

    /// A task told something.
    pub fn event(&mut self, event: Event) {
        match event {
            Event::Opened { connection, sender } => {
                self.links.insert(connection, sender);
            }
            Event::PeerUp { address, sender } => {
                self.peers.insert(address.clone(), sender);
                self.handle(Input::PeerConnected { address });
            }
            Event::Input(input) => {
                match &input {
                    Input::Disconnected { connection } => {
                        self.links.remove(connection);
                    }
                    Input::PeerDisconnected { address } => {
                        self.peers.remove(address);
                    }
                    _ => {}
                }
                self.handle(input);
            }
        }
    }

    /// The disk finished something.
    pub fn completed(&mut self, completion: Completion) {
        match completion {
            Completion::Synced(ticket) => {
                let mut newest = None;
                while let Some((_, write)) = self.tickets.pop_front_if(|(waiting, _)| *waiting <= ticket) {
                    newest = Some(write);
                }
                if let Some(write) = newest {
                    self.handle(Input::Persisted { write });
                }
            }
            Completion::Refusing(reason) => log::warn!("the disk refuses writes: {reason}"),
        }
    }

    /// Carries out what the core wants.
    pub fn carry_out(&mut self) {
        for output in self.core.take_outputs() {
            match output {
                Output::Respond { id, response: answer } => {
                    if let Some(reply) = self.calls.remove(&id) {
                        // The caller may have gone.
                        reply.send(answer).ok();
                    }
                }
                Output::Send { connection, message } => {
                    if let Some(sender) = self.links.get(&connection) {
                        sender.send(&message);
                    }
                }
                Output::Disconnect { connection } => {
                    if let Some(sender) = self.links.remove(&connection) {
                        sender.close();
                    }
                }
                Output::SendPeer { address, message } => {
                    if let Some(sender) = self.peers.get(&address) {
                        sender.send(&message);
                    }
                }
                Output::DialPeers(addresses) => self.dial(&addresses),
                Output::DialPeerNow(address) => self.dial_now(&address),
                Output::Append { write, records } => self.append(write, &records),
                Output::SendOrder { order, body, lease_checked_at } => {
                    let (client, events) = (self.client.clone(), self.events.clone());
                    spawn_local(send_order(client, order, body, self.start + lease_checked_at, events));
                }
                Output::FetchLoadReport { instance, address } => {
                    spawn_local(ask_report(self.client.clone(), instance, address, self.events.clone()));
                }
            }
        }
    }

    fn append(&mut self, write: u64, records: &[ControlRecord]) {
        let records = records.iter().map(ControlRecord::encode).collect();
        let ticket = self.disk.append(records);
        self.tickets.push_back((ticket, write));
        let limit = MOST_SINCE_CHECKPOINT.min(self.disk.capacity() / 4);
        if self.disk.bytes_since_checkpoint() > limit
            && let Some(records) = self.core.checkpoint()
        {
            self.disk.checkpoint(records.iter().map(ControlRecord::encode).collect());
        }
    }

    fn dial(&mut self, wanted: &BTreeSet<String>) {
        let dropped: Vec<String> =
            self.dials.keys().filter(|address| !wanted.contains(*address)).cloned().collect();
        for address in dropped {
            if let Some(task) = self.dials.remove(&address) {
                task.abort();
            }
            if let Some(sender) = self.peers.remove(&address) {
                sender.close();
                self.core.handle(self.start.elapsed(), Input::PeerDisconnected { address });
            }
        }
        for address in wanted {
            if self.dials.contains_key(address) {
                continue;
            }
            self.keep_link(address);
        }
    }

    /// Cuts short the pause before the next attempt.
    fn dial_now(&mut self, address: &str) {
        if self.peers.contains_key(address) {
            return;
        }
        if let Some(task) = self.dials.remove(address) {
            task.abort();
            self.keep_link(address);
        }
    }

    fn keep_link(&mut self, address: &str) {
        let Ok(parsed) = address.parse() else { return };
        let task = spawn_local(keep_peer_link(parsed, self.events.clone()));
        self.dials.insert(address.to_owned(), task.abort_handle());
    }
}
