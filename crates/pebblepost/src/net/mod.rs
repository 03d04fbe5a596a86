//! The sockets under the event loop: listeners, connections with their buffers, the poller and the descriptor budget.
//!
//! Owns every socket and timer of the daemon. It moves bytes and never interprets them; what a connection is for is known
//! by its [`ConnectionRole`](crate::connection_role::ConnectionRole).

mod accept;
mod connection;
mod input;
mod output;
mod poll;
mod sockets;

pub use crate::connection_key::ConnectionKey;
pub use connection::Connection;
pub use poll::{ReadyEvent, Signal};
pub use sockets::{DESCRIPTOR_RESERVE, ListenerKind, Sockets};
