//! Opening and accepting links.

use crate::error::LinkError;
use crate::pacer::Pacer;
use crate::receiver::Receiver;
use crate::sender::Sender;
use crate::state::LinkState;
use crate::{LinkLimits, writer};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

const LISTEN_BACKLOG: u32 = 256;
/// Delay after a failure to accept: without it, a lack of file descriptors would make the caller spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a link.
///
/// # Errors
///
/// The connection is refused or not established in time, or its socket options cannot be set.
pub async fn connect(address: SocketAddr, limits: LinkLimits) -> Result<(Sender, Receiver), LinkError> {
    let stream = timeout(limits.connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|source| LinkError::ConnectTimeout { address, source })?
        .map_err(|source| LinkError::Connect { address, source })?;
    set_options(&stream, limits).map_err(|source| LinkError::SocketOptions { address, source })?;
    Ok(start(stream, address, limits, None))
}

/// Accepts links.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    limits: LinkLimits,
    pacer: Option<Rc<Pacer>>,
}

impl Listener {
    /// Listens at an address, with address reuse.
    ///
    /// # Errors
    ///
    /// The address is in use or cannot be bound. The caller may retry.
    pub fn bind(address: SocketAddr, limits: LinkLimits) -> Result<Listener, LinkError> {
        let listener = listen(address).map_err(|source| LinkError::Listen { address, source })?;
        Ok(Listener { listener, limits, pacer: None })
    }

    /// Limits the rate at which all links accepted from now on write together.
    #[must_use]
    pub fn with_pacer(self, pacer: Pacer) -> Listener {
        Listener { pacer: Some(Rc::new(pacer)), ..self }
    }

    /// Local address.
    ///
    /// # Errors
    ///
    /// The operating system does not know the address of the socket.
    pub fn local_address(&self) -> Result<SocketAddr, LinkError> {
        self.listener.local_addr().map_err(LinkError::LocalAddress)
    }

    /// Next link.
    ///
    /// # Errors
    ///
    /// The operating system cannot accept a connection, such as for lack of file descriptors. The error is returned
    /// after a short delay, so that the caller may retry at once.
    pub async fn accept(&mut self) -> Result<(Sender, Receiver), LinkError> {
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    return Err(LinkError::Accept(error));
                }
            };
            match set_options(&stream, self.limits) {
                Ok(()) => return Ok(start(stream, peer, self.limits, self.pacer.clone())),
                Err(error) => log::debug!("link closed before its setup peer={peer}: {error}"),
            }
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Frames are sent without delay, and a connection whose bytes stay unacknowledged for the read timeout is closed.
fn set_options(stream: &TcpStream, limits: LinkLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(limits.read_timeout))
}

fn start(
    stream: TcpStream, peer: SocketAddr, limits: LinkLimits, pacer: Option<Rc<Pacer>>,
) -> (Sender, Receiver) {
    let state = Rc::new(LinkState::new(peer, limits, pacer));
    let (read_half, write_half) = stream.into_split();
    tokio::task::spawn_local(writer::run(Rc::clone(&state), write_half));
    (Sender::new(Rc::clone(&state)), Receiver::new(state, read_half))
}
