//! State of a connection: its socket, buffers and timers.

use crate::buffer::Buffer;
use crate::connection_key::ConnectionKey;
use crate::connection_role::ConnectionRole;
use crate::timer_queue::TimerHandle;
use pebblepost_dispatch::api::Time;
use polling::Event;
use std::io::{self, ErrorKind};
use std::net::TcpStream;

/// Reading from a connection pauses once this many bytes are buffered. One read adds at most 64 KiB, so with this limit all
/// clients that the connection budget admits, each with full input and a body, use less than 192 MB.
pub(super) const MAX_INPUT_BYTES: usize = 80 * 1024;
/// Input limit for workers and discovery. It is larger because a result arrives escaped inside one line of JSON.
const MAX_TRUSTED_INPUT_BYTES: usize = 1024 * 1024;

/// Readiness that the poller reports for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interest {
    pub(super) readable: bool,
    pub(super) writable: bool,
}

impl Interest {
    pub(super) fn event(self, key: ConnectionKey) -> Event {
        Event { key: key.poll_key(), readable: self.readable, writable: self.writable }
    }
}

/// An open connection and its buffers.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    /// Bytes that were received and have not been consumed yet.
    pub input: Buffer,
    /// Number of bytes that were received after `input` and dropped.
    pub dropped_bytes: usize,
    pub(super) output: Buffer,
    /// The protocol role and its state.
    pub role: ConnectionRole,
    /// Whether the connection is established.
    pub connected: bool,
    /// When the connection became idle; `None` if it must not be closed to free a descriptor.
    pub idle_since: Option<Time>,
    pub(super) interest: Interest,
    pub(super) deadline: Option<TimerHandle>,
    pub(super) write_deadline: Option<TimerHandle>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, role: ConnectionRole, connected: bool, now: Time) -> Self {
        Self {
            stream,
            input: Buffer::default(),
            dropped_bytes: 0,
            output: Buffer::default(),
            role,
            connected,
            idle_since: connected.then_some(now),
            interest: Interest { readable: true, writable: !connected },
            deadline: None,
            write_deadline: None,
        }
    }

    /// Returns whether all output has been written to the socket.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Returns whether no input or output is pending and the peer has not closed the connection.
    ///
    /// Closing a connection with unread input sends a reset, which discards data still in transit to the peer. A new request
    /// on such a connection would read that input as its response.
    pub fn is_quiescent(&self) -> bool {
        let is_empty = |error: &io::Error| error.kind() == ErrorKind::WouldBlock;
        self.input.is_empty()
            && self.is_flushed()
            && self.stream.peek(&mut [0]).is_err_and(|error| is_empty(&error))
    }

    pub(super) fn max_input_bytes(&self) -> usize {
        if self.role.is_trusted() { MAX_TRUSTED_INPUT_BYTES } else { MAX_INPUT_BYTES }
    }

    /// Returns the interest that the current state requires.
    ///
    /// A connection that awaits a response is always read, because the peer's close would go unnoticed otherwise.
    pub(super) fn required_interest(&self) -> Interest {
        Interest {
            readable: self.role.awaits_response() || self.input.len() < self.max_input_bytes(),
            writable: !self.connected || !self.output.is_empty(),
        }
    }
}
