//! Framed TCP links between processes: bounded queues, silence detected.
//!
//! Each side starts with a preamble that names the protocol and its version. A frame is its length (4 bytes,
//! little endian) and a `nanoserde` message. Everything runs on the caller's current-thread `tokio` runtime
//! inside a `LocalSet` (`spawn_local`), so nothing here is `Send`. The link sends nothing by itself:
//! keep-alives are messages of the programs.

mod candidates;
pub mod control_client;
mod frame;
mod receiver;
mod sender;
mod shared;
mod socket;
mod writer;

pub use frame::{decode, is_decoding};
pub use receiver::Receiver;
pub use sender::Sender;
pub use socket::{Listener, connect};

use std::time::Duration;

/// Limits of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Most bytes queued for writing; a link that would exceed it is closed.
    pub max_queued_bytes: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// A link on which nothing is received for this long is closed.
    pub read_timeout: Duration,
}
