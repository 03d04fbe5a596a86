//! Accepts client connections, within the limit that follows from the process's file descriptors.

use super::connection::{self, ConnectionContext};
use log::warn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Delay after a failed accept, for instance when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// File descriptors that are set aside for other uses than sockets.
const RESERVED_DESCRIPTORS: usize = 200;
/// Divisor of the remaining file descriptors that gives the maximum number of client connections. The
/// rest is for connections to transcribers and links.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;

/// Accepts client connections and limits the number of open ones.
#[derive(Debug)]
pub(crate) struct Server {
    max_connections: usize,
    permits: Arc<Semaphore>,
}

impl Server {
    /// Creates a server without connections. `max_descriptors` is the file descriptor limit of the
    /// process.
    pub(crate) fn new(max_descriptors: usize) -> Server {
        let max_connections =
            (max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / CLIENT_DESCRIPTORS_DIVISOR).max(1);
        Server { max_connections, permits: Arc::new(Semaphore::new(max_connections)) }
    }

    /// Accepts connections until the shutdown begins to close, then closes the listener.
    pub(crate) async fn accept(&self, listener: TcpListener, context: Rc<ConnectionContext>) {
        let mut closing = pin!(context.shutdown.wait_until_closing());
        loop {
            // The permit comes first: at the limit, new connections wait in the listen backlog.
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
    pub(crate) async fn wait_until_all_closed(&self) {
        let all = u32::try_from(self.max_connections).unwrap_or(u32::MAX);
        // The semaphore is never closed, so this can't fail.
        let _ = self.permits.acquire_many(all).await;
    }
}
