//! Framed TCP links between processes, with bounded send queues and a read timeout.
//!
//! Each side first sends a preamble that names the protocol and its version. A frame consists of its length (4 bytes,
//! little endian) and one `nanoserde` message. The crate owns the sockets and the send queues, and records why a link
//! was closed. It does not interpret messages, except in [`control_client`], which keeps a link to the control
//! primary. Links send nothing on their own: heartbeats are messages of the programs.
//!
//! All tasks run on the caller's current-thread `tokio` runtime inside a `LocalSet`, so the types of links are not
//! `Send`.

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
mod tail;
mod writer;

pub use decode::{decode, is_decoding};
pub use encoded::EncodedMessage;
pub use error::{CloseReason, FrameError, LinkError};
pub use pacer::Pacer;
pub use receiver::Receiver;
pub use sender::{SendOutcome, Sender};
pub use socket::{Listener, connect};
pub use tail::MessageTail;

use std::time::Duration;

/// Size and time limits of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Maximum size of a message, sent or received, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of bytes queued for writing. A message that would exceed this limit closes the link: the peer does
    /// not read. One message that exceeds the limit by itself is not counted, so that any message within
    /// `max_frame_bytes` can be sent; a link then holds at most the sum of both limits.
    pub max_queued_bytes: usize,
    /// Time limit for establishing a connection, and for flushing the send queue of a closed link.
    pub connect_timeout: Duration,
    /// Time without received bytes after which a link is closed.
    pub read_timeout: Duration,
}
