//! Listening sockets.

use crate::error::ProxyError;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Listens on an address of the settings. `key` is the key of the setting, which errors name.
///
/// # Errors
/// Returns [`ProxyError::MissingAddress`] if there is no address, and [`ProxyError::Listen`] if it
/// can't be bound.
pub(crate) fn listen(address: Option<SocketAddr>, key: &'static str) -> Result<TcpListener, ProxyError> {
    let address = address.ok_or(ProxyError::MissingAddress { key })?;
    bind(address).map_err(|source| ProxyError::Listen { address, key, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Connections of a previous process at this address may still be in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
