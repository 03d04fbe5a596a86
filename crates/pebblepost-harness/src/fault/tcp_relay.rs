//! A TCP relay between a client process and a server process. It forwards bytes in both directions and can hold,
//! delay or throttle them, or reset the connections. Held bytes are not lost: they are forwarded once the fault is
//! over, as TCP would retransmit them.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What a relay does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Forwards bytes without delay.
    #[default]
    #[serde(rename = "passes")]
    Forwarding,
    /// Holds bytes towards the target; replies are forwarded.
    #[serde(rename = "holds_there")]
    RequestsHeld,
    /// Holds bytes from the target; requests are forwarded.
    #[serde(rename = "holds_back")]
    RepliesHeld,
    /// Holds bytes in both directions.
    #[serde(rename = "cut")]
    Partitioned,
    /// Delays each chunk of bytes by this many milliseconds, in each direction.
    #[serde(rename = "late")]
    Delayed(u64),
    /// Limits each direction to this many bytes per second.
    #[serde(rename = "trickles")]
    Throttled(u64),
}

impl LinkState {
    fn holds_bytes(self, towards_target: bool) -> bool {
        match self {
            Self::Partitioned => true,
            Self::RequestsHeld => towards_target,
            Self::RepliesHeld => !towards_target,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RelayState {
    link: LinkState,
    /// Number of times that all connections were reset. A change makes the open connections reset themselves.
    resets: u64,
}

/// A relay. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    state: watch::Sender<RelayState>,
    bytes_forwarded: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Listens on a free port of `at` and forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no listener can be bound to `at`.
    pub async fn open(at: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((at, 0)).await?;
        let (address, state, bytes_forwarded) =
            (listener.local_addr()?, watch::Sender::default(), Arc::default());
        let task = tokio::spawn(accept_connections(
            listener,
            target,
            state.subscribe(),
            Arc::clone(&bytes_forwarded),
        ));
        Ok(Self { address, state, bytes_forwarded, task })
    }

    /// Sets the state of the link. It also applies to open connections.
    pub fn set_link_state(&self, link: LinkState) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Resets all connections, even in the middle of a frame.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Bytes forwarded so far, in both directions.
    pub fn bytes_forwarded(&self) -> u64 {
        self.bytes_forwarded.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener, target: SocketAddr, state: watch::Receiver<RelayState>,
    bytes_forwarded: Arc<AtomicU64>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    connections.spawn(forward_connection(client, target, state.clone(), bytes_forwarded.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Makes the connection end with a reset instead of an orderly close, as after a restart of the machine.
fn reset_connection(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn forward_connection(
    mut client: TcpStream, target: SocketAddr, state: watch::Receiver<RelayState>,
    bytes_forwarded: Arc<AtomicU64>,
) {
    let initial_resets = state.borrow().resets;
    // While the link is partitioned, the server must not see a connection that the relay has accepted.
    let connect = async {
        let mut state = state.clone();
        let _ = state.wait_for(|state| !state.link.holds_bytes(true)).await;
        TcpStream::connect(target).await
    };
    let server = tokio::select! {
        server = connect => server,
        _ = wait_for_reset(state.clone(), initial_resets) => return reset_connection(&client),
    };
    let Ok(mut server) = server else { return reset_connection(&client) };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let reset = {
        let ((client_in, client_out), (server_in, server_out)) = (client.split(), server.split());
        tokio::select! {
            _ = async {
                tokio::join!(
                    copy_bytes(client_in, server_out, state.clone(), true, &bytes_forwarded),
                    copy_bytes(server_in, client_out, state.clone(), false, &bytes_forwarded)
                )
            } => false,
            _ = wait_for_reset(state.clone(), initial_resets) => true,
        }
    };
    if reset {
        reset_connection(&client);
        reset_connection(&server);
    }
}

async fn wait_for_reset(mut state: watch::Receiver<RelayState>, initial_resets: u64) {
    // An error means that the relay was dropped, and its connections with it.
    let _ = state.wait_for(|state| state.resets != initial_resets).await;
}

/// Forwards bytes in one direction until the end of the stream. The end itself is forwarded once the link no longer
/// holds bytes.
async fn copy_bytes(
    mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut state: watch::Receiver<RelayState>,
    towards_target: bool, bytes_forwarded: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read_bytes = from.read(&mut buffer).await.unwrap_or(0);
        // Reads the state after the bytes arrived: a state that was set during the wait already applies to them.
        let link = state.borrow_and_update().link;
        let chunk = match link {
            LinkState::Throttled(rate) => (rate / 20).clamp(1, 4_096) as usize,
            _ => buffer.len(),
        };
        for chunk in buffer[..read_bytes].chunks(chunk) {
            match link {
                LinkState::Delayed(ms) => sleep(Duration::from_millis(ms)).await,
                LinkState::Throttled(_) => sleep(Duration::from_millis(50)).await,
                _ => {}
            }
            if state.wait_for(|state| !state.link.holds_bytes(towards_target)).await.is_err() {
                return;
            }
            // Counted before the write, so that a peer that has read a byte always finds it in the count.
            bytes_forwarded.fetch_add(chunk.len() as u64, Ordering::Relaxed);
            if to.write_all(chunk).await.is_err() {
                bytes_forwarded.fetch_sub(chunk.len() as u64, Ordering::Relaxed);
                return;
            }
        }
        if read_bytes == 0 {
            let _ = state.wait_for(|state| !state.link.holds_bytes(towards_target)).await;
            let _ = to.shutdown().await;
            return;
        }
    }
}
