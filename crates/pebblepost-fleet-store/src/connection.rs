//! A TCP connection for framed JSON messages. A frame is a length of four bytes (big endian) and then the
//! JSON text.

use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum length of a frame's text, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A TCP connection that sends and receives framed JSON messages.
#[derive(Debug)]
pub struct Connection(Framed<TcpStream, LengthDelimitedCodec>);

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub async fn connect(address: &str) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Creates a connection from a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        // An error is ignored: without `TCP_NODELAY` frames may be delayed, but none is lost.
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self(Framed::new(stream, codec))
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message exceeds [`MAX_FRAME_BYTES`] or the connection fails.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        let bytes = serde_json::to_vec(message).map_err(io::Error::other)?;
        self.0.send(tokio_util::bytes::Bytes::from(bytes)).await
    }

    /// Receives the next message. Returns `None` if the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the frame exceeds [`MAX_FRAME_BYTES`], or its text is not a
    /// message of type `T`.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        let Some(frame) = self.0.next().await.transpose()? else { return Ok(None) };
        let message = serde_json::from_slice(&frame);
        message.map(Some).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
