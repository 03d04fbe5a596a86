//! A connection to a replica: frames of JSON, each behind its length in four bytes (big-endian).

use serde_json::Value;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest frame that is accepted, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Why a frame was not sent or received.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection failed or was closed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A frame is longer than the protocol allows.
    #[error("a frame of {bytes} bytes")]
    FrameTooLong {
        /// Its length.
        bytes: usize,
    },
    /// A frame that is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A connection to a replica.
pub struct Connection(TcpStream);

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// If nothing accepts at this address.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectionError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// If the message is too long for a frame, or the connection fails.
    pub async fn send(&mut self, message: &Value) -> Result<(), ConnectionError> {
        let text = message.to_string();
        let length =
            u32::try_from(text.len()).map_err(|_| ConnectionError::FrameTooLong { bytes: text.len() })?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(text.as_bytes());
        Ok(self.0.write_all(&bytes).await?)
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// If the connection fails, or the frame is too long or no JSON.
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
