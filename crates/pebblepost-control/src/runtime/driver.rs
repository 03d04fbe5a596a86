//! Driver of the control node. It passes inputs to the node and carries out its outputs: responses, messages on links,
//! writes to the disk and calls to transcribers.

use super::encoded_updates::EncodedUpdateCache;
use super::event::{Event, EventSender};
use super::http::{IncomingRequest, OutgoingResponse};
use super::link_tasks::maintain_peer_link;
use super::transcriber_tasks::{TranscriberCalls, fetch_load_report, send_order};
use crate::feed::{ConnectionId, SharedUpdates};
use crate::node::{ControlNode, Input, Output, RequestId};
use crate::state::disk_record::ControlRecord;
use pebblepost_link::Sender;
use pebblepost_messages::control::FromControl;
use pebblepost_messages::feed::FeedBatch;
use pebblepost_ring::{Completion, Disk};
use pebblepost_transcriber::{Client, ClientLimits};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Semaphore, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// Number of bytes written since the last checkpoint after which the next one is due, unless the limit derived from the
/// disk's capacity is lower.
const MAX_BYTES_SINCE_CHECKPOINT: u64 = 8 * 1024 * 1024;
/// A checkpoint is also due after the disk's capacity divided by this number.
const CHECKPOINT_CAPACITY_DIVISOR: u64 = 4;

/// Limits of the HTTP client for load orders and load reports.
const CLIENT_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(400),
    max_connections_per_transcriber: 2,
    // Longer than the interval at which the reports of a loading transcriber are fetched, and short enough that idle
    // connections don't exhaust the file descriptors.
    idle_timeout: Duration::from_millis(600),
    max_body_bytes: 256 * 1024,
};

/// A write that is not durable yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    /// Ticket that the disk assigned to the write.
    ticket: u64,
    /// Number that the control node assigned to the write.
    write: u64,
}

/// The control node and the resources on which its outputs are carried out.
#[derive(Debug)]
pub(super) struct Driver {
    /// Zero point of the control node's clock.
    start: Instant,
    node: ControlNode,
    disk: Disk,
    events: EventSender,
    client: Client,
    /// Permits that limit the concurrent calls to transcribers.
    call_permits: Rc<Semaphore>,
    responders: BTreeMap<RequestId, oneshot::Sender<OutgoingResponse>>,
    last_request: RequestId,
    inbound: HashMap<ConnectionId, Sender>,
    encoded_updates: EncodedUpdateCache,
    peers: HashMap<String, Sender>,
    /// Tasks that maintain links to other control nodes, by address.
    dial_tasks: HashMap<String, AbortHandle>,
    writes: VecDeque<PendingWrite>,
}

impl Driver {
    pub(super) fn new(
        start: Instant, node: ControlNode, disk: Disk, events: EventSender, max_calls: usize,
    ) -> Driver {
        Driver {
            start,
            node,
            disk,
            events,
            client: Client::new(CLIENT_LIMITS),
            call_permits: Rc::new(Semaphore::new(max_calls)),
            responders: BTreeMap::new(),
            last_request: 0,
            inbound: HashMap::new(),
            encoded_updates: EncodedUpdateCache::default(),
            peers: HashMap::new(),
            dial_tasks: HashMap::new(),
            writes: VecDeque::new(),
        }
    }

    /// Returns when a tick is needed in addition to the periodic ones.
    pub(super) fn due_at(&self) -> Option<Instant> {
        self.node.due_at().map(|due| self.start + due)
    }

    /// Returns whether this node is primary, regardless of its lease.
    pub(super) fn is_primary(&self) -> bool {
        self.node.is_primary()
    }

    /// Returns whether this node is the acting primary, or another primary is known to be live.
    pub(super) fn is_primary_known(&self) -> bool {
        self.node.is_primary_known(self.start.elapsed())
    }

    pub(super) fn handle(&mut self, input: Input) {
        self.node.handle(self.start.elapsed(), input);
        self.execute_outputs();
    }

    pub(super) fn handle_request(&mut self, incoming: IncomingRequest) {
        self.last_request += 1;
        self.responders.insert(self.last_request, incoming.responder);
        self.handle(Input::Request { id: self.last_request, request: incoming.request });
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::LinkOpened { connection, sender } => {
                self.inbound.insert(connection, sender);
            }
            Event::PeerConnected { address, sender } => {
                self.peers.insert(address.clone(), sender);
                self.handle(Input::PeerConnected { address });
            }
            Event::Input(input) => {
                self.remove_closed_link(&input);
                self.handle(input);
            }
        }
    }

    pub(super) fn handle_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Synced(ticket) => {
                let mut newest = None;
                while let Some(pending) = self.writes.pop_front_if(|pending| pending.ticket <= ticket) {
                    newest = Some(pending.write);
                }
                if let Some(write) = newest {
                    self.handle(Input::Persisted { write });
                }
            }
            Completion::WriteFailed(reason) => log::warn!("disk write failed, retrying reason={reason}"),
        }
    }

    /// Carries out the pending outputs of the control node.
    pub(super) fn execute_outputs(&mut self) {
        for output in self.node.take_outputs() {
            match output {
                Output::Respond { id, response, send_by } => {
                    if let Some(responder) = self.responders.remove(&id) {
                        let send_by = send_by.map(|send_by| self.start + send_by);
                        // The client may have disconnected.
                        responder.send(OutgoingResponse { response, send_by }).ok();
                    }
                }
                Output::Send { connection, message } => self.send(connection, &message),
                Output::SendFeed { connection, sequence, updates } => {
                    self.send_feed(connection, sequence, &updates);
                }
                Output::Disconnect { connection } => {
                    if let Some(sender) = self.inbound.remove(&connection) {
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
                Output::SendOrder { order, body, send_by } => {
                    let send_by = self.start + send_by;
                    spawn_local(send_order(self.calls(), order, body, send_by));
                }
                Output::FetchLoadReport { instance, address } => {
                    spawn_local(fetch_load_report(self.calls(), instance, address));
                }
            }
        }
    }

    /// Sends a message on an inbound link. A redirect replaces all queued messages, because nothing else has to be
    /// sent on the link.
    fn send(&self, connection: ConnectionId, message: &FromControl) {
        let Some(sender) = self.inbound.get(&connection) else { return };
        match message {
            FromControl::Redirect { .. } => sender.send_replacing_queue(message),
            _ => sender.send(message),
        };
    }

    fn send_feed(&mut self, connection: ConnectionId, sequence: u64, updates: &SharedUpdates) {
        let Some(sender) = self.inbound.get(&connection) else { return };
        let own_updates = match self.encoded_updates.message(updates) {
            Some(shared) => {
                sender.send_encoded(&shared);
                Vec::new()
            }
            None => updates.to_vec(),
        };
        sender.send(&FromControl::Feed(FeedBatch { sequence, updates: own_updates }));
    }

    fn calls(&self) -> TranscriberCalls {
        TranscriberCalls {
            client: self.client.clone(),
            permits: Rc::clone(&self.call_permits),
            events: self.events.clone(),
        }
    }

    fn remove_closed_link(&mut self, input: &Input) {
        match input {
            Input::Disconnected { connection } => {
                self.inbound.remove(connection);
            }
            Input::PeerDisconnected { address } => {
                self.peers.remove(address);
            }
            _ => {}
        }
    }

    fn append(&mut self, write: u64, records: &[ControlRecord]) {
        let records = records.iter().map(ControlRecord::encode).collect();
        let ticket = self.disk.append(records);
        self.writes.push_back(PendingWrite { ticket, write });
        let limit = MAX_BYTES_SINCE_CHECKPOINT.min(self.disk.capacity() / CHECKPOINT_CAPACITY_DIVISOR);
        if self.disk.bytes_since_checkpoint() > limit
            && let Some(records) = self.node.checkpoint()
        {
            self.disk.checkpoint(records.iter().map(ControlRecord::encode).collect());
        }
    }

    /// Starts tasks for links to new addresses, and closes links to all addresses that are not listed.
    fn dial(&mut self, addresses: &BTreeSet<String>) {
        let dropped: Vec<String> =
            self.dial_tasks.keys().filter(|address| !addresses.contains(*address)).cloned().collect();
        for address in dropped {
            if let Some(task) = self.dial_tasks.remove(&address) {
                task.abort();
            }
            if let Some(sender) = self.peers.remove(&address) {
                sender.close();
                self.node.handle(self.start.elapsed(), Input::PeerDisconnected { address });
            }
        }
        for address in addresses {
            if !self.dial_tasks.contains_key(address) {
                self.spawn_peer_link(address);
            }
        }
    }

    /// Dials an address immediately instead of after the backoff, if its link is not up.
    fn dial_now(&mut self, address: &str) {
        if self.peers.contains_key(address) {
            return;
        }
        if let Some(task) = self.dial_tasks.remove(address) {
            task.abort();
            self.spawn_peer_link(address);
        }
    }

    fn spawn_peer_link(&mut self, address: &str) {
        let Ok(parsed) = address.parse() else { return };
        let task = spawn_local(maintain_peer_link(parsed, self.events.clone()));
        self.dial_tasks.insert(address.to_owned(), task.abort_handle());
    }
}
