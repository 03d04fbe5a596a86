//! A TCP relay between one client process and one server process. It forwards bytes both ways and can hold, delay, throttle
//! or reset them. Held bytes are not lost: they are forwarded once the fault is over, as TCP would retransmit them.

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
    /// Forwards them.
    #[default]
    #[serde(rename = "passes")]
    Forwarding,
    /// Holds those towards the target; replies pass.
    #[serde(rename = "holds_there")]
    RequestsHeld,
    /// Holds those from the target; requests pass.
    #[serde(rename = "holds_back")]
    RepliesHeld,
    /// Holds both directions.
    #[serde(rename = "cut")]
    Partitioned,
    /// Forwards them so many milliseconds later, in each direction.
    #[serde(rename = "late")]
    Delayed(u64),
    /// Forwards so many bytes a second in each direction.
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
    /// ConnectionCounts how often all connections were to be reset.
    resets: u64,
}

/// A relay; its connections end with it.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
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
    /// If no listener can be bound there.
    pub async fn open(at: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((at, 0)).await?;
        let (address, state, bytes_forwarded) =
            (listener.local_addr()?, watch::Sender::default(), Arc::default());
        let task = tokio::spawn(run(listener, target, state.subscribe(), Arc::clone(&bytes_forwarded)));
        Ok(Self { address, state, bytes_forwarded, task })
    }

    /// Sets the state of the link, for open connections as well.
    pub fn set(&self, link: LinkState) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Resets all connections, also in the middle of a frame.
    pub fn reset(&self) {
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

async fn run(
    listener: TcpListener, target: SocketAddr, state: watch::Receiver<RelayState>,
    bytes_forwarded: Arc<AtomicU64>,
) {
    let mut open = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    open.spawn(forward_connection(client, target, state.clone(), bytes_forwarded.clone()));
                }
            }
            Some(_) = open.join_next() => {}
        }
    }
}

/// Has the connection reset rather than closed, as by a machine that restarts.
fn reset_connection(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn forward_connection(
    mut client: TcpStream, target: SocketAddr, state: watch::Receiver<RelayState>,
    bytes_forwarded: Arc<AtomicU64>,
) {
    let initial_resets = state.borrow().resets;
    // While partitioned the server does not see a connection that is accepted here.
    let through = async {
        let mut state = state.clone();
        let _ = state.wait_for(|state| !state.link.holds_bytes(true)).await;
        TcpStream::connect(target).await
    };
    let server = tokio::select! {
        server = through => server,
        _ = until_reset(state.clone(), initial_resets) => return reset_connection(&client),
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
            _ = until_reset(state.clone(), initial_resets) => true,
        }
    };
    if reset {
        reset_connection(&client);
        reset_connection(&server);
    }
}

async fn until_reset(mut state: watch::Receiver<RelayState>, initial_resets: u64) {
    // An error: the relay itself has gone, and its connections with it.
    let _ = state.wait_for(|state| state.resets != initial_resets).await;
}

/// Forwards bytes in one direction until the end of the stream, and then the end itself unless the link holds it back.
async fn copy_bytes(
    mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut state: watch::Receiver<RelayState>,
    towards_target: bool, bytes_forwarded: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read_bytes = from.read(&mut buffer).await.unwrap_or(0);
        // A state set while this waited for bytes applies to these bytes already.
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
            // Counted before the write: whoever has read a byte must find it counted.
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
