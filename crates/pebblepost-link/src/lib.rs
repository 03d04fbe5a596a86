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
    /// Largest frame.
    pub most_frame_bytes: usize,
    /// Bytes that may wait to be written; a link that would exceed it is closed.
    pub most_queued_bytes: usize,
    /// Time for a connection to come up.
    pub connect: Duration,
    /// A link from which nothing was read for so long is closed.
    pub silence: Duration,
}
