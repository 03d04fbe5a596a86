//! Listening sockets.

use crate::error::ProxyError;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Listens at an address of the settings; `key` is its key there.
///
/// # Errors
/// [`ProxyError::MissingAddress`] without an address, [`ProxyError::Listen`] if the address can't
/// be bound.
pub(crate) fn listen(address: Option<SocketAddr>, key: &'static str) -> Result<TcpListener, ProxyError> {
    let address = address.ok_or(ProxyError::MissingAddress { key })?;
    bind(address).map_err(|source| ProxyError::Listen { address, key, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // The process before may have had connections at this address a moment ago.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
