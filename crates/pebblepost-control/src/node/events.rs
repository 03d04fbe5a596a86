//! Inputs and outputs of a control node.

use crate::api::{HttpRequest, HttpResponse};
use crate::feed::{ConnectionId, SharedUpdates};
use crate::state::disk_record::ControlRecord;
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_rollout::{LoadOrder, OrderOutcome, TranscriberReport};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number that identifies an HTTP request within this node.
pub type RequestId = u64;

/// An event that a control node reacts to.
#[derive(Debug)]
pub enum Input {
    /// An HTTP request arrived.
    Request {
        /// Number of the request.
        id: RequestId,
        /// The request.
        request: HttpRequest,
    },
    /// A message arrived on an inbound link.
    Message {
        /// The link.
        connection: ConnectionId,
        /// The message.
        message: ToControl,
    },
    /// An inbound link was closed.
    Disconnected {
        /// The link.
        connection: ConnectionId,
    },
    /// The link to another control node is up.
    PeerConnected {
        /// Address of that node, as it was dialed.
        address: String,
    },
    /// A message arrived on the link to another control node.
    PeerMessage {
        /// Address of that node, as it was dialed.
        address: String,
        /// The message.
        message: FromControl,
    },
    /// The link to another control node was closed.
    PeerDisconnected {
        /// Address of that node, as it was dialed.
        address: String,
    },
    /// Records are durable.
    Persisted {
        /// Number of the newest durable write. All earlier writes are durable as well.
        write: u64,
    },
    /// A load order was answered, or could not be sent.
    OrderAnswered {
        /// The load order.
        order: LoadOrder,
        /// The outcome.
        answer: OrderOutcome,
    },
    /// A transcriber's load report arrived, or could not be fetched.
    LoadReported {
        /// Identity of the transcriber.
        instance: String,
        /// The report, if it arrived.
        report: Option<TranscriberReport>,
    },
    /// The settings were reloaded with these seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// The node shuts down. A primary hands over to another replica.
    Terminate,
    /// Runs what is due at the current time.
    Tick,
}

/// An action that the caller has to carry out.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Respond to an HTTP request.
    Respond {
        /// Number of the request.
        id: RequestId,
        /// The response.
        response: HttpResponse,
        /// Time after which the response must not be sent. Set for responses that are valid only while the lease is
        /// held.
        send_by: Option<Duration>,
    },
    /// Send a message on an inbound link.
    Send {
        /// The link.
        connection: ConnectionId,
        /// The message.
        message: FromControl,
    },
    /// Send a batch of the feed on an inbound link.
    SendFeed {
        /// The link.
        connection: ConnectionId,
        /// Sequence number of the batch on the link.
        sequence: u64,
        /// Updates of the batch. Links that are sent the same updates share one allocation.
        updates: SharedUpdates,
    },
    /// Close an inbound link once everything sent on it is written.
    Disconnect {
        /// The link.
        connection: ConnectionId,
    },
    /// Send a message on the link to another control node, if it is up.
    SendPeer {
        /// Address of that node.
        address: String,
        /// The message.
        message: ToControl,
    },
    /// Maintain links to exactly these addresses: dial the new ones and close all others.
    DialPeers(BTreeSet<String>),
    /// Dial this address immediately instead of after the backoff, if a link to it is maintained but not up. The node
    /// there is known to be running.
    DialPeerNow(String),
    /// Append records to the disk; answered by [`Input::Persisted`].
    Append {
        /// Number of the write. Numbers increase by one.
        write: u64,
        /// The records.
        records: Vec<ControlRecord>,
    },
    /// Send a load order to a transcriber; answered by [`Input::OrderAnswered`].
    SendOrder {
        /// The load order.
        order: LoadOrder,
        /// Body of the request, JSON.
        body: Vec<u8>,
        /// Expiry of the lease under which the load order was issued. It must not be sent later.
        send_by: Duration,
    },
    /// Fetch a transcriber's load report; answered by [`Input::LoadReported`].
    FetchLoadReport {
        /// Identity of the transcriber.
        instance: String,
        /// Address of the transcriber.
        address: String,
    },
}
