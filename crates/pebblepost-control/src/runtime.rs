//! Everything that does I/O: listeners, links, the disk, HTTP, signals, clocks, and the loop around
//! [`ControlNode`](crate::node::ControlNode).
//!
//! Owns sockets, tasks and timers, and decides nothing: it passes inputs in and carries outputs out. The loop and its links
//! run on one thread, on a `LocalSet`; the HTTP server and the disk have a thread each.

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
