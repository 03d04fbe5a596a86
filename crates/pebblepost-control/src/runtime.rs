//! All I/O of a control node: listeners, links, the disk, HTTP, signals, clocks, and the event loop around
//! [`ControlNode`](crate::node::ControlNode).
//!
//! Owns sockets, tasks and timers and makes no decisions. It passes inputs to the control node and carries out its
//! outputs. The event loop and the links run on one thread, on a `LocalSet`. The HTTP server and the disk have a
//! thread each.

pub mod body_budget;
mod disk;
mod driver;
mod encoded_updates;
mod error;
mod event;
pub mod http;
mod http_thread;
mod link_tasks;
mod listen;
mod server;
mod timers;
pub mod transcriber_tasks;

pub use error::ControlError;
pub use event::{Event, EventSender};
pub use server::{feed_rate, http_limits, max_request_connections, run};
