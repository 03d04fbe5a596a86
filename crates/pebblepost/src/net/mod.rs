//! Sockets of the event loop: listeners, connections with their buffers, the poller and the descriptor budget.
//!
//! This module owns every socket and timer of the daemon. It transfers bytes without interpreting them; the protocol of a
//! connection is given by its [`ConnectionRole`](crate::connection_role::ConnectionRole).

mod accept;
mod connection;
mod input;
mod output;
mod poll;
mod sockets;

pub use crate::connection_key::ConnectionKey;
pub use connection::Connection;
pub use poll::{ReadyEvent, Signal};
pub use sockets::{ListenerKind, RESERVED_DESCRIPTORS, Sockets};
