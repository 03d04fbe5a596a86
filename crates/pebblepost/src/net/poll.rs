//! Keys registered with the poller and the events they identify.

use crate::connection_key::ConnectionKey;
use polling::Event;

const STOP_POLL_KEY: usize = usize::MAX - 1;
const RELOAD_POLL_KEY: usize = usize::MAX - 2;
const FLEET_POLL_KEY: usize = usize::MAX - 3;
/// Key of the listener with index 0; the others follow in order.
const FIRST_LISTENER_POLL_KEY: usize = usize::MAX - 64;

/// A notification that reaches the event loop through its own pipe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT: shut down gracefully.
    Stop,
    /// SIGHUP: reload the configuration.
    Reload,
    /// The fleet agent has an update.
    Fleet,
}

impl Signal {
    pub(super) fn poll_key(self) -> usize {
        match self {
            Self::Stop => STOP_POLL_KEY,
            Self::Reload => RELOAD_POLL_KEY,
            Self::Fleet => FLEET_POLL_KEY,
        }
    }
}

/// Returns the poller key of the listener with this index.
pub(super) fn listener_key(index: usize) -> usize {
    FIRST_LISTENER_POLL_KEY + index
}

/// A socket or pipe that became ready.
#[derive(Clone, Copy, Debug)]
pub enum ReadyEvent {
    /// The listener with this index has connections to accept.
    Listener(usize),
    /// A signal was received.
    Signal(Signal),
    /// A connection is readable or writable.
    Connection {
        /// Key of the connection.
        key: ConnectionKey,
        /// Whether the connection is readable.
        readable: bool,
        /// Whether the connection is writable, or an attempt to establish it has succeeded or failed.
        writable: bool,
    },
}

impl ReadyEvent {
    pub(super) fn from_poll(event: &Event) -> Self {
        match event.key {
            STOP_POLL_KEY => Self::Signal(Signal::Stop),
            RELOAD_POLL_KEY => Self::Signal(Signal::Reload),
            FLEET_POLL_KEY => Self::Signal(Signal::Fleet),
            key if key >= FIRST_LISTENER_POLL_KEY => Self::Listener(key - FIRST_LISTENER_POLL_KEY),
            key => Self::Connection {
                key: ConnectionKey::from_poll_key(key),
                readable: event.readable,
                writable: event.writable,
            },
        }
    }
}
