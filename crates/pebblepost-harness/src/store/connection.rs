//! A connection to a replica. Each frame is a JSON value, preceded by its length as four bytes in big-endian order.

use serde_json::Value;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum length of a received frame.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Error that occurred while a frame was sent or received.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection failed or was closed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A frame is longer than the protocol allows.
    #[error("frame of {bytes} bytes exceeds the maximum length")]
    FrameTooLong {
        /// Length of the frame.
        bytes: usize,
    },
    /// The content of a frame is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A connection to a replica.
pub struct Connection(TcpStream);

impl Connection {
    /// Connects to a replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not accepted.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectionError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long for a frame, or the connection fails.
    pub async fn send(&mut self, message: &Value) -> Result<(), ConnectionError> {
        let text = message.to_string();
        let length =
            u32::try_from(text.len()).map_err(|_| ConnectionError::FrameTooLong { bytes: text.len() })?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(text.as_bytes());
        Ok(self.0.write_all(&bytes).await?)
    }

    /// Receives the next message. The connection is unusable if the future is dropped in the middle of a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or the frame is too long or not valid JSON.
    pub async fn receive(&mut self) -> Result<Value, ConnectionError> {
        let length = self.0.read_u32().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(ConnectionError::FrameTooLong { bytes: length });
        }
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }
}
