//! Inputs and outputs of a control process.

use crate::api::{HttpRequest, HttpResponse};
use crate::feed::{ConnectionId, SharedUpdates};
use crate::state::disk_record::ControlRecord;
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_rollout::{LoadOrder, OrderOutcome, TranscriberReport};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of an HTTP request of this process.
pub type RequestId = u64;

/// An event that a control process reacts to.
#[derive(Debug)]
pub enum Input {
    /// An HTTP request arrived.
    Request {
        /// Its number.
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
    /// The link to another control process is up.
    PeerConnected {
        /// Its address, as it was dialed.
        address: String,
    },
    /// A message arrived on the link to another control process.
    PeerMessage {
        /// Its address, as it was dialed.
        address: String,
        /// The message.
        message: FromControl,
    },
    /// The link to another control process was closed.
    PeerDisconnected {
        /// Its address, as it was dialed.
        address: String,
    },
    /// Records are durable.
    Persisted {
        /// Number of the newest write that is durable, with all before it.
        write: u64,
    },
    /// A transcriber answered a load order.
    OrderAnswered {
        /// The order.
        order: LoadOrder,
        /// The answer.
        answer: OrderOutcome,
    },
    /// A transcriber's load report arrived, or could not be fetched.
    LoadReported {
        /// Identity of the transcriber.
        instance: String,
        /// The report, if it arrived.
        report: Option<TranscriberReport>,
    },
    /// The settings name other seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// The process shuts down: a primary hands over.
    Terminate,
    /// Time has passed.
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
        /// Time after which the response must not leave any more, for what is true under the lease only.
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
        /// Its updates, in one allocation for all links that are sent the same.
        updates: SharedUpdates,
    },
    /// Close an inbound link once everything sent on it is written.
    Disconnect {
        /// The link.
        connection: ConnectionId,
    },
    /// Send a message on the link to another control process, if it is up.
    SendPeer {
        /// Its address.
        address: String,
        /// The message.
        message: ToControl,
    },
    /// Keep links to exactly these addresses.
    DialPeers(BTreeSet<String>),
    /// Dial this address without waiting for the backoff, if a link to it is kept and not up: its process is running.
    DialPeerNow(String),
    /// Append records to the disk; answered by [`Input::Persisted`].
    Append {
        /// Number of the write, rising.
        write: u64,
        /// The records.
        records: Vec<ControlRecord>,
    },
    /// Send a load order to a transcriber; answered by [`Input::OrderAnswered`].
    SendOrder {
        /// The order.
        order: LoadOrder,
        /// Its body, JSON.
        body: Vec<u8>,
        /// When the lease under which it was decided expires: the order must not be sent later.
        send_by: Duration,
    },
    /// Fetch a transcriber's load report; answered by [`Input::LoadReported`].
    FetchLoadReport {
        /// Identity of the transcriber.
        instance: String,
        /// Its address.
        address: String,
    },
}
