//! Framed TCP links between processes: bounded queues, silence detected.
//!
//! A frame is its length (4 bytes, little endian) and a `nanoserde` message. Interface agreed
//! with the programs; everything runs on the caller's current-thread `tokio` runtime
//! (`spawn_local`), so nothing here needs `Send`.

use eyre::Result;
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddr;
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

/// The writing half of a link; cheap to clone. Never blocks: what can't be queued closes the link.
#[derive(Clone, Debug)]
pub struct Sender;

/// The reading half of a link.
#[derive(Debug)]
pub struct Receiver;

#[allow(unused_variables)]
impl Sender {
    /// Queues a message. False if the link is closed or was closed by this.
    pub fn send<M: SerBin>(&self, message: &M) -> bool {
        todo!()
    }
    /// Closes the link, both halves.
    pub fn close(&self) {
        todo!()
    }
    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        todo!()
    }
    /// Bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        todo!()
    }
    /// Address of the other end.
    pub fn peer(&self) -> SocketAddr {
        todo!()
    }
}

impl Receiver {
    /// Next message. An error says why the link ended (closed, silent, a frame that can't be
    /// read), with the peer's address.
    pub async fn receive<M: DeBin>(&mut self) -> Result<M> {
        todo!()
    }
}

/// Opens a link.
#[allow(unused_variables)]
pub async fn connect(address: SocketAddr, limits: LinkLimits) -> Result<(Sender, Receiver)> {
    todo!()
}

/// Accepts links.
#[derive(Debug)]
pub struct Listener;

#[allow(unused_variables)]
impl Listener {
    /// Listens at an address (with address reuse; retried by the caller if the port is taken).
    pub fn bind(address: SocketAddr, limits: LinkLimits) -> Result<Listener> {
        todo!()
    }
    /// Next link.
    pub async fn accept(&mut self) -> Result<(Sender, Receiver)> {
        todo!()
    }
}
