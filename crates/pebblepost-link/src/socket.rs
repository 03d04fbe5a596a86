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
/// Delay after a failed accept. Without it, a caller that retries would spin while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a link.
///
/// # Errors
///
/// Fails if the connection is refused or not established within [`LinkLimits::connect_timeout`], or if its socket
/// options cannot be set.
pub async fn connect(address: SocketAddr, limits: LinkLimits) -> Result<(Sender, Receiver), LinkError> {
    let stream = timeout(limits.connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|source| LinkError::ConnectTimeout { address, source })?
        .map_err(|source| LinkError::Connect { address, source })?;
    set_options(&stream, limits).map_err(|source| LinkError::SocketOptions { address, source })?;
    Ok(start_link(stream, address, limits, None))
}

/// Listens for connections and accepts them as links.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    limits: LinkLimits,
    pacer: Option<Rc<Pacer>>,
}

impl Listener {
    /// Listens at an address, with `SO_REUSEADDR` set.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or cannot be bound. The caller may retry.
    pub fn bind(address: SocketAddr, limits: LinkLimits) -> Result<Listener, LinkError> {
        let listener = listen(address).map_err(|source| LinkError::Listen { address, source })?;
        Ok(Listener { listener, limits, pacer: None })
    }

    /// Limits the total write rate of all links accepted from now on.
    #[must_use]
    pub fn with_pacer(self, pacer: Pacer) -> Listener {
        Listener { pacer: Some(Rc::new(pacer)), ..self }
    }

    /// Returns the local address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot report the address of the socket.
    pub fn local_address(&self) -> Result<SocketAddr, LinkError> {
        self.listener.local_addr().map_err(LinkError::LocalAddress)
    }

    /// Accepts the next link. Connections whose socket options cannot be set are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot accept a connection, for instance for lack of file descriptors. The error
    /// is returned after a delay of 50 ms, so that the caller may retry at once.
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
                Ok(()) => return Ok(start_link(stream, peer, self.limits, self.pacer.clone())),
                Err(error) => {
                    log::debug!("link dropped, its socket options could not be set peer={peer}: {error}")
                }
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

/// Sets `TCP_NODELAY`, so that frames are sent without delay, and `TCP_USER_TIMEOUT`, so that a connection is closed
/// if its bytes stay unacknowledged for the read timeout.
fn set_options(stream: &TcpStream, limits: LinkLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(limits.read_timeout))
}

/// Creates a link over a connected stream and starts its writer task.
fn start_link(
    stream: TcpStream, peer: SocketAddr, limits: LinkLimits, pacer: Option<Rc<Pacer>>,
) -> (Sender, Receiver) {
    let state = Rc::new(LinkState::new(peer, limits, pacer));
    let (read_half, write_half) = stream.into_split();
    tokio::task::spawn_local(writer::run(Rc::clone(&state), write_half));
    (Sender::new(Rc::clone(&state)), Receiver::new(state, read_half))
}
