//! A connection: its socket, buffers and timers.

use crate::buffer::Buffer;
use crate::connection_key::ConnectionKey;
use crate::connection_role::ConnectionRole;
use crate::timer_queue::TimerHandle;
use pebblepost_dispatch::api::Time;
use polling::Event;
use std::io::{self, ErrorKind};
use std::net::TcpStream;

/// Above this many bytes a connection's input is not read on; one read adds 64 KiB at most. All clients that the budget
/// admits, each with that much and a body, stay under 192 MB.
pub(super) const MAX_INPUT_BYTES: usize = 80 * 1024;
/// Input of workers and discovery may be larger: a result is escaped inside a line of JSON.
const MAX_TRUSTED_INPUT_BYTES: usize = 1024 * 1024;

/// What the poller watches a connection for.
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

/// A connection.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    pub input: Buffer,
    /// Number of bytes received after `input` that were dropped.
    pub dropped_bytes: usize,
    pub(super) output: Buffer,
    /// What it is for.
    pub role: ConnectionRole,
    /// Whether it is established.
    pub connected: bool,
    /// Since when it is idle, if it may be closed for want of descriptors.
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

    /// Whether all output was written.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Whether the peer has sent nothing that was not processed, nor closed the connection.
    ///
    /// Closing a connection with unread input would reset away what is on its way to the peer, and a request sent on it
    /// would meet that input.
    pub fn is_quiet(&self) -> bool {
        let is_empty = |error: &io::Error| error.kind() == ErrorKind::WouldBlock;
        self.input.is_empty()
            && self.is_flushed()
            && self.stream.peek(&mut [0]).is_err_and(|error| is_empty(&error))
    }

    pub(super) fn max_input_bytes(&self) -> usize {
        if self.role.is_trusted() { MAX_TRUSTED_INPUT_BYTES } else { MAX_INPUT_BYTES }
    }

    /// What the poller has to watch it for now.
    pub(super) fn required_interest(&self) -> Interest {
        Interest {
            readable: self.role.awaits_response() || self.input.len() < self.max_input_bytes(),
            writable: !self.connected || !self.output.is_empty(),
        }
    }
}
