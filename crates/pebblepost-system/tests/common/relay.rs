//! TCP relays, through which an edge machine with its own port range reaches the control nodes.
//!
//! All machines of a deployment use the same port range. In the tests they share one loopback address for
//! the agents, where only one agent can listen on each port. So each edge machine after the first has its
//! own port range, and relays forward the ports of that range to the control nodes.

use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Starts a relay that runs until the runtime ends.
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
