//! Keys of the poller and the events that they stand for.

use crate::connection_key::ConnectionKey;
use polling::Event;

const STOP: usize = usize::MAX - 1;
const RELOAD: usize = usize::MAX - 2;
const FLEET: usize = usize::MAX - 3;
/// The first key of a listener.
const FIRST_LISTENER: usize = usize::MAX - 64;

/// A notification that reaches the event loop through a pipe of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT: shut down gracefully.
    Stop,
    /// SIGHUP: read the configuration again.
    Reload,
    /// The fleet agent has an update.
    Fleet,
}

impl Signal {
    pub(super) fn poll_key(self) -> usize {
        match self {
            Self::Stop => STOP,
            Self::Reload => RELOAD,
            Self::Fleet => FLEET,
        }
    }
}

/// The poll key of a listener.
pub(super) fn listener_key(index: usize) -> usize {
    FIRST_LISTENER + index
}

/// A socket or pipe that became ready.
#[derive(Clone, Copy, Debug)]
pub enum ReadyEvent {
    /// The listener with this index has connections to accept.
    Listener(usize),
    /// A signal was received.
    Signal(Signal),
    /// A connection can be read or written.
    Connection {
        /// The connection.
        key: ConnectionKey,
        /// It can be read.
        readable: bool,
        /// It can be written, or its establishment has ended.
        writable: bool,
    },
}

impl ReadyEvent {
    pub(super) fn from_poll(event: &Event) -> Self {
        match event.key {
            STOP => Self::Signal(Signal::Stop),
            RELOAD => Self::Signal(Signal::Reload),
            FLEET => Self::Signal(Signal::Fleet),
            key if key >= FIRST_LISTENER => Self::Listener(key - FIRST_LISTENER),
            key => Self::Connection {
                key: ConnectionKey::from_poll_key(key),
                readable: event.readable,
                writable: event.writable,
            },
        }
    }
}
