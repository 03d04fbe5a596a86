//! Framed TCP links between processes, with bounded send queues and a read timeout.
//!
//! Each side starts with a preamble that names the protocol and its version. A frame is its length (4 bytes, little
//! endian) followed by one `nanoserde` message. The crate owns the sockets, the queues and the reasons why links
//! close. It knows nothing of the messages, except for [`control_client`], which keeps a link to the control primary.
//! It sends nothing by itself: heartbeats are messages of the programs.
//!
//! Everything runs on the caller's current-thread `tokio` runtime inside a `LocalSet`, so nothing here is `Send`.

pub mod control_client;
mod decode;
mod encoded;
mod error;
mod frame;
mod pacer;
mod receiver;
mod send_queue;
mod sender;
mod socket;
mod state;
mod writer;

pub use decode::{decode, is_decoding};
pub use encoded::EncodedMessage;
pub use error::{CloseReason, FrameError, LinkError};
pub use pacer::Pacer;
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
    /// Time limit for establishing a connection, and for flushing a closed one.
    pub connect_timeout: Duration,
    /// A link on which nothing is received for this long is closed.
    pub read_timeout: Duration,
}
