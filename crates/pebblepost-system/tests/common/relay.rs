//! Relays TCP connections, so that a machine with a port range of its own reaches others.
//!
//! All machines of a deployment have the same ports; here they share one loopback, on which only
//! one agent can listen at each port. Edge machines after the first have ranges of their own, and
//! find the control processes at the ports of their range through relays.

use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Starts a relay; it runs until the runtime ends.
pub async fn start(listen: SocketAddr, target: SocketAddr) {
    let listener =
        TcpListener::bind(listen).await.unwrap_or_else(|error| panic!("relay at {listen}: {error}"));
    tokio::task::spawn_local(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                if let Ok(mut server) = TcpStream::connect(target).await {
                    let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
                }
            });
        }
    });
}
