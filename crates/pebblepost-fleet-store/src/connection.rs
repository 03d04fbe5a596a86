//! A TCP connection that carries messages as JSON in frames: a length of four bytes (big endian), then the
//! text.

use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A connection that carries frames.
#[derive(Debug)]
pub struct Connection(Framed<TcpStream, LengthDelimitedCodec>);

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// The connection cannot be established.
    pub async fn connect(address: &str) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Frames on a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        // Without it frames may be delayed, but are not lost.
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self(Framed::new(stream, codec))
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// The message is too long, or the connection failed.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        let bytes = serde_json::to_vec(message).map_err(io::Error::other)?;
        self.0.send(tokio_util::bytes::Bytes::from(bytes)).await
    }

    /// The next message; `None`: the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// The connection failed, or the frame is too long or holds another message.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        let Some(frame) = self.0.next().await.transpose()? else { return Ok(None) };
        let message = serde_json::from_slice(&frame);
        message.map(Some).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
