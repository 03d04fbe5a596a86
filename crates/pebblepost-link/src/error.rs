//! Errors of establishing links and reasons for closing them.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::error::Elapsed;

/// Failure of a link or listener. The alternate format `{:#}` appends the cause.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection was not established within the time limit.
    ConnectTimeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Time-out of the attempt.
        source: Elapsed,
    },
    /// The connection was refused, or the address is unreachable.
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The socket options could not be set.
    SocketOptions {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The listener could not be bound.
    Listen {
        /// Local address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The local address of a listener could not be read.
    LocalAddress(#[source] io::Error),
    /// A connection could not be accepted, for instance for lack of file descriptors.
    Accept(#[source] io::Error),
    /// The link is closed.
    Closed {
        /// Address of the peer.
        peer: SocketAddr,
        /// First reason for which it was closed.
        reason: CloseReason,
    },
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::ConnectTimeout { address, .. } => {
                write!(formatter, "connecting to {address}: timed out")
            }
            LinkError::Connect { address, .. } => write!(formatter, "connecting to {address}"),
            LinkError::SocketOptions { address, .. } => {
                write!(formatter, "setting socket options of the link with {address}")
            }
            LinkError::Listen { address, .. } => write!(formatter, "listening at {address}"),
            LinkError::LocalAddress(_) => write!(formatter, "reading the local address of a listener"),
            LinkError::Accept(_) => write!(formatter, "accepting a connection"),
            LinkError::Closed { peer, reason } => write!(formatter, "link with {peer}: {reason}"),
        }?;
        match self.source() {
            Some(cause) if formatter.alternate() => write!(formatter, ": {cause}"),
            _ => Ok(()),
        }
    }
}

/// Reason for which a link was closed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CloseReason {
    /// [`Sender::close`](crate::Sender::close) was called.
    #[error("closed locally")]
    ClosedLocally,
    /// The [`Receiver`](crate::Receiver) was dropped.
    #[error("closed locally, receiver dropped")]
    ReceiverDropped,
    /// The peer closed the connection after a complete frame.
    #[error("closed by the peer")]
    ClosedByPeer,
    /// The peer closed the connection inside a frame.
    #[error("closed by the peer inside a frame")]
    IncompleteFrame,
    /// No bytes were received within the read timeout.
    #[error("no data received for {} ms", .0.as_millis())]
    ReadTimeout(Duration),
    /// Reading from the socket failed.
    #[error("reading failed: {0}")]
    ReadFailed(Arc<io::Error>),
    /// Writing to the socket failed.
    #[error("writing failed: {0}")]
    WriteFailed(Arc<io::Error>),
    /// A message to send exceeds the frame limit.
    #[error("message to send exceeds the limit of {max_frame_bytes} bytes")]
    MessageTooLarge {
        /// Maximum size of a message, in bytes.
        max_frame_bytes: usize,
    },
    /// The send queue exceeds its limit, because the peer reads too slowly.
    #[error("send queue of {queued_bytes} bytes exceeds the limit")]
    QueueFull {
        /// Bytes queued, including the message that exceeds the limit.
        queued_bytes: usize,
    },
    /// A received frame is invalid.
    #[error(transparent)]
    InvalidFrame(#[from] FrameError),
}

/// Reason for which received bytes are not a valid frame.
#[derive(Clone, Debug, thiserror::Error)]
pub enum FrameError {
    /// The preamble does not match this protocol and version.
    #[error("preamble mismatch: the peer uses another protocol or version")]
    WrongPreamble,
    /// The frame exceeds the limit.
    #[error("frame of {length_bytes} bytes exceeds the limit of {max_frame_bytes} bytes")]
    TooLarge {
        /// Length that the frame announces, in bytes.
        length_bytes: usize,
        /// Maximum size of a message, in bytes.
        max_frame_bytes: usize,
    },
    /// A length inside the message is so large that decoding it panicked.
    #[error("frame of {length_bytes} bytes contains an invalid length")]
    InvalidLength {
        /// Length of the frame, in bytes.
        length_bytes: usize,
    },
    /// The message cannot be decoded.
    #[error("frame of {length_bytes} bytes cannot be decoded: {error}")]
    Undecodable {
        /// Length of the frame, in bytes.
        length_bytes: usize,
        /// Error of the decoder.
        error: nanoserde::DeBinErr,
    },
    /// The frame is longer than its message.
    #[error("frame of {length_bytes} bytes has {trailing_bytes} trailing bytes")]
    TrailingBytes {
        /// Length of the frame, in bytes.
        length_bytes: usize,
        /// Bytes after the message.
        trailing_bytes: usize,
    },
}
