//! Binding of the two listening addresses. A previous process may still hold them, so binding is retried.

use super::error::ControlError;
use super::link_tasks::LINK_LIMITS;
use pebblepost_link::Listener;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Limit on the attempts to bind an address.
const MAX_BIND_ATTEMPTS: u32 = 100;
/// Delay between attempts.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limit on the connections that wait to be accepted. After a restart of all control nodes thousands of transcribers
/// connect at once, and the operating system of a client retries a connection that found the backlog full only after
/// seconds.
const HTTP_LISTEN_BACKLOG: u32 = 4096;

/// Binds the address for links.
///
/// # Errors
/// If the address can't be bound after [`MAX_BIND_ATTEMPTS`].
pub(super) async fn bind_links(address: SocketAddr) -> Result<Listener, ControlError> {
    for _ in 1..MAX_BIND_ATTEMPTS {
        match Listener::bind(address, LINK_LIMITS) {
            Ok(listener) => return Ok(listener),
            Err(error) => log::debug!("link address not bound: {error:#}"),
        }
        sleep(BIND_RETRY_DELAY).await;
    }
    Listener::bind(address, LINK_LIMITS).map_err(|error| ControlError::BindLinks(error.into()))
}

/// Binds the address of the HTTP interface.
///
/// # Errors
/// If the address can't be bound after [`MAX_BIND_ATTEMPTS`].
pub(super) async fn bind_http(address: SocketAddr) -> Result<TcpListener, ControlError> {
    for _ in 1..MAX_BIND_ATTEMPTS {
        match listen(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => log::debug!("HTTP address not bound address={address} error={error}"),
        }
        sleep(BIND_RETRY_DELAY).await;
    }
    listen(address).map_err(|source| ControlError::BindHttp { address, source })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(HTTP_LISTEN_BACKLOG)
}
