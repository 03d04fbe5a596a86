//! Why a link cannot be established, or why it ended.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::error::Elapsed;

/// Failure of a link or listener. The alternate form `{:#}` appends the cause.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection was not established within the time limit.
    ConnectTimeout {
        /// Address of the other end.
        address: SocketAddr,
        /// The time limit has passed.
        source: Elapsed,
    },
    /// The connection was refused, or the address cannot be reached.
    Connect {
        /// Address of the other end.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The options of the socket could not be set.
    SocketOptions {
        /// Address of the other end.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The listener could not be bound.
    Listen {
        /// Local address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The address of a listener is not known.
    LocalAddress(#[source] io::Error),
    /// Accepting failed, such as for lack of file descriptors.
    Accept(#[source] io::Error),
    /// The link is closed.
    Closed {
        /// Address of the other end.
        peer: SocketAddr,
        /// First reason for which it was closed.
        reason: CloseReason,
    },
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::ConnectTimeout { address, .. } => {
                write!(formatter, "connecting to {address}: no answer")
            }
            LinkError::Connect { address, .. } => write!(formatter, "connecting to {address}"),
            LinkError::SocketOptions { address, .. } => {
                write!(formatter, "setting up the link with {address}")
            }
            LinkError::Listen { address, .. } => write!(formatter, "listening at {address}"),
            LinkError::LocalAddress(_) => write!(formatter, "asking for the address of a listener"),
            LinkError::Accept(_) => write!(formatter, "accepting a link"),
            LinkError::Closed { peer, reason } => write!(formatter, "link with {peer}: {reason}"),
        }?;
        match self.source() {
            Some(cause) if formatter.alternate() => write!(formatter, ": {cause}"),
            _ => Ok(()),
        }
    }
}

/// Why a link was closed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CloseReason {
    /// [`Sender::close`](crate::Sender::close) was called.
    #[error("closed by this end")]
    ClosedLocally,
    /// The [`Receiver`](crate::Receiver) was dropped.
    #[error("no longer read by this end")]
    ReceiverDropped,
    /// The other end closed the connection after a complete frame.
    #[error("closed by the other end")]
    ClosedByPeer,
    /// The other end closed the connection inside a frame.
    #[error("closed by the other end in the middle of a frame")]
    IncompleteFrame,
    /// Nothing was received for the read timeout.
    #[error("nothing was read for {} ms", .0.as_millis())]
    ReadTimeout(Duration),
    /// Reading from the socket failed.
    #[error("reading failed: {0}")]
    ReadFailed(Arc<io::Error>),
    /// Writing to the socket failed.
    #[error("writing failed: {0}")]
    WriteFailed(Arc<io::Error>),
    /// A message to send is larger than a frame may be.
    #[error("a message is over {max_frame_bytes} bytes")]
    MessageTooLarge {
        /// Largest frame, in bytes.
        max_frame_bytes: usize,
    },
    /// The send queue is full: the other end reads too slowly.
    #[error("{queued_bytes} bytes wait to be written, more than allowed")]
    QueueFull {
        /// Bytes that would be queued.
        queued_bytes: usize,
    },
    /// A received frame is invalid.
    #[error(transparent)]
    InvalidFrame(#[from] FrameError),
}

/// Why received bytes are not a valid frame.
#[derive(Clone, Debug, thiserror::Error)]
pub enum FrameError {
    /// The preamble is not that of this protocol and version.
    #[error("the other end speaks another protocol")]
    WrongPreamble,
    /// The frame is larger than allowed.
    #[error("a frame of {length_bytes} bytes is over the {max_frame_bytes} allowed")]
    TooLarge {
        /// Announced length of the frame.
        length_bytes: usize,
        /// Largest frame allowed.
        max_frame_bytes: usize,
    },
    /// A length inside the message cannot be true.
    #[error("a frame of {length_bytes} bytes names an impossible length")]
    ImpossibleLength {
        /// Length of the frame.
        length_bytes: usize,
    },
    /// The message cannot be decoded.
    #[error("a frame of {length_bytes} bytes can't be read: {error}")]
    Undecodable {
        /// Length of the frame.
        length_bytes: usize,
        /// Error of the decoder.
        error: nanoserde::DeBinErr,
    },
    /// The frame is longer than its message.
    #[error("a frame of {length_bytes} bytes has {trailing_bytes} too many")]
    TrailingBytes {
        /// Length of the frame.
        length_bytes: usize,
        /// Bytes after the message.
        trailing_bytes: usize,
    },
}
