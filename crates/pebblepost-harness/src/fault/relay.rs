//! A TCP relay on one directed pair of processes: who opens connections and who accepts them. It carries bytes both ways
//! and can be told to hold, delay, trickle or break them. Bytes that are held are not lost: they go on once the fault is
//! over, late, as TCP's retransmissions would.

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

/// What a relay does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wire {
    /// Carries them.
    #[default]
    Passes,
    /// Holds those towards the accepting side; answers pass.
    HoldsThere,
    /// Holds those towards the opening side; requests pass.
    HoldsBack,
    /// Holds both.
    Cut,
    /// Carries them so many milliseconds later, each way.
    Late(u64),
    /// Carries so many bytes a second each way.
    Trickles(u64),
}

impl Wire {
    fn holds(self, there: bool) -> bool {
        match self {
            Self::Cut => true,
            Self::HoldsThere => there,
            Self::HoldsBack => !there,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Order {
    wire: Wire,
    /// Counts how often all connections were to be reset.
    resets: u64,
}

/// A relay; its connections end with it.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    order: watch::Sender<Order>,
    carried: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Opens one at an address of its own, towards `target`.
    pub async fn open(at: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((at, 0)).await?;
        let (address, order, carried) = (listener.local_addr()?, watch::Sender::default(), Arc::default());
        let task = tokio::spawn(run(listener, target, order.subscribe(), Arc::clone(&carried)));
        Ok(Self { address, order, carried, task })
    }

    /// From now on it does this.
    pub fn set(&self, wire: Wire) {
        self.order.send_modify(|order| order.wire = wire);
    }

    /// Resets all its connections, wherever in a frame they are.
    pub fn reset(&self) {
        self.order.send_modify(|order| order.resets += 1);
    }

    /// Bytes carried so far, both ways.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    listener: TcpListener, target: SocketAddr, order: watch::Receiver<Order>, carried: Arc<AtomicU64>,
) {
    let mut open = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((near, _)) = accepted {
                    open.spawn(carry(near, target, order.clone(), carried.clone()));
                }
            }
            Some(_) = open.join_next() => {}
        }
    }
}

/// A connection reset rather than closed, as a machine that restarts does.
fn break_off(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn carry(
    mut near: TcpStream, target: SocketAddr, order: watch::Receiver<Order>, carried: Arc<AtomicU64>,
) {
    let born = order.borrow().resets;
    // Behind a cut the other side hears nothing of a connection that comes up here, until the cut is over.
    let through = async {
        let mut order = order.clone();
        let _ = order.wait_for(|o| !o.wire.holds(true)).await;
        TcpStream::connect(target).await
    };
    let far = tokio::select! {
        far = through => far,
        _ = reset_since(order.clone(), born) => return break_off(&near),
    };
    let Ok(mut far) = far else { return break_off(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let reset = {
        let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
        tokio::select! {
            _ = async {
                tokio::join!(
                    pump(near_in, far_out, order.clone(), true, &carried),
                    pump(far_in, near_out, order.clone(), false, &carried)
                )
            } => false,
            _ = reset_since(order.clone(), born) => true,
        }
    };
    if reset {
        break_off(&near);
        break_off(&far);
    }
}

async fn reset_since(mut order: watch::Receiver<Order>, born: u64) {
    // An error: the relay itself has gone, and its connections with it.
    let _ = order.wait_for(|o| o.resets != born).await;
}

/// Carries bytes one way until the end; then the other side is told of it, unless the wire holds that too.
async fn pump(
    mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut order: watch::Receiver<Order>, there: bool,
    carried: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let got = from.read(&mut buffer).await.unwrap_or(0);
        // What the wire was told while it waited for bytes counts for these bytes already.
        let wire = order.borrow_and_update().wire;
        let piece = match wire {
            Wire::Trickles(rate) => (rate / 20).clamp(1, 4_096) as usize,
            _ => buffer.len(),
        };
        for piece in buffer[..got].chunks(piece) {
            match wire {
                Wire::Late(ms) => sleep(Duration::from_millis(ms)).await,
                Wire::Trickles(_) => sleep(Duration::from_millis(50)).await,
                _ => {}
            }
            if order.wait_for(|o| !o.wire.holds(there)).await.is_err() {
                return;
            }
            // Counted before the write: whoever has read a byte must find it counted.
            carried.fetch_add(piece.len() as u64, Ordering::Relaxed);
            if to.write_all(piece).await.is_err() {
                carried.fetch_sub(piece.len() as u64, Ordering::Relaxed);
                return;
            }
        }
        if got == 0 {
            let _ = order.wait_for(|o| !o.wire.holds(there)).await;
            let _ = to.shutdown().await;
            return;
        }
    }
}
