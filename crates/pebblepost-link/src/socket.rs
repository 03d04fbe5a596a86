//! Opening and accepting links.

use crate::receiver::Receiver;
use crate::sender::Sender;
use crate::shared::Shared;
use crate::{LinkLimits, writer};
use eyre::{Result, WrapErr};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

const BACKLOG: u32 = 256;
/// Pause after a failure to accept, so that a lack of descriptors doesn't make the caller spin.
const ACCEPT_FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Opens a link.
pub async fn connect(address: SocketAddr, limits: LinkLimits) -> Result<(Sender, Receiver)> {
    let stream = timeout(limits.connect_timeout, TcpStream::connect(address))
        .await
        .wrap_err_with(|| format!("connecting to {address}: no answer"))?
        .wrap_err_with(|| format!("connecting to {address}"))?;
    prepare(&stream, limits).wrap_err_with(|| format!("setting up the link with {address}"))?;
    Ok(start(stream, address, limits))
}

/// Accepts links.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    limits: LinkLimits,
}

impl Listener {
    /// Listens at an address (with address reuse; retried by the caller if the port is taken).
    pub fn bind(address: SocketAddr, limits: LinkLimits) -> Result<Listener> {
        let listener = listen(address).wrap_err_with(|| format!("listening at {address}"))?;
        Ok(Listener { listener, limits })
    }

    /// Address at which it listens.
    pub fn local_address(&self) -> Result<SocketAddr> {
        self.listener.local_addr().wrap_err("asking for the address of a listener")
    }

    /// Next link.
    pub async fn accept(&mut self) -> Result<(Sender, Receiver)> {
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    sleep(ACCEPT_FAILURE_PAUSE).await;
                    return Err(error).wrap_err("accepting a link");
                }
            };
            match prepare(&stream, self.limits) {
                Ok(()) => return Ok(start(stream, peer, self.limits)),
                Err(error) => log::debug!("link with {peer}: gone before it was set up: {error}"),
            }
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Frames go out at once, and a connection whose bytes stay unacknowledged ends after the time of silence.
fn prepare(stream: &TcpStream, limits: LinkLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(limits.read_timeout))
}

fn start(stream: TcpStream, peer: SocketAddr, limits: LinkLimits) -> (Sender, Receiver) {
    let shared = Rc::new(Shared::new(peer, limits));
    let (read_half, write_half) = stream.into_split();
    tokio::task::spawn_local(writer::run(Rc::clone(&shared), write_half));
    (Sender::new(Rc::clone(&shared)), Receiver::new(shared, read_half))
}
