//! Accepts connections of clients, no more at once than the process has file descriptors for.

use super::connection::{self, ConnectionContext};
use log::warn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Backoff after a failed accept, such as one for want of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Descriptors that are not sockets.
const RESERVED_DESCRIPTORS: usize = 200;
/// Clients may take one part in this many of the descriptors; the rest is for transcribers and
/// links.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;

/// Accepts connections and counts those that are open.
#[derive(Debug)]
pub(crate) struct Server {
    max_connections: usize,
    permits: Arc<Semaphore>,
}

impl Server {
    /// A server without connections; `max_descriptors` is the limit of the process.
    pub(crate) fn new(max_descriptors: usize) -> Server {
        let max_connections =
            (max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / CLIENT_DESCRIPTORS_DIVISOR).max(1);
        Server { max_connections, permits: Arc::new(Semaphore::new(max_connections)) }
    }

    /// Accepts connections until the shutdown closes the listener.
    pub(crate) async fn accept(&self, listener: TcpListener, context: Rc<ConnectionContext>) {
        let mut closing = pin!(context.shutdown.closing());
        loop {
            // At the limit, new connections wait in the listener's backlog.
            let accept = async {
                let permit = self.permits.clone().acquire_owned().await.map_err(io::Error::other)?;
                Ok::<_, io::Error>((listener.accept().await?.0, permit))
            };
            let accepted = tokio::select! {
                () = closing.as_mut() => return,
                accepted = accept => accepted,
            };
            match accepted {
                Ok((stream, permit)) => {
                    context.metrics.update(|counts| counts.connections += 1);
                    tokio::task::spawn_local(connection::serve(stream, context.clone(), permit));
                }
                Err(error) => {
                    warn!("client connection not accepted: {error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until every connection is closed.
    pub(crate) async fn all_closed(&self) {
        let all = u32::try_from(self.max_connections).unwrap_or(u32::MAX);
        // Fails only if the semaphore is closed, which it never is.
        let _ = self.permits.acquire_many(all).await;
    }
}
