//! The thread of the HTTP server.
//!
//! Thousands of transcribers send heartbeats to a primary. Served on the loop's own thread they would make heartbeats of
//! the replication wait, and a primary that is busy would lose its lease by that. With two threads the system's scheduler
//! gives the loop its share of the processor whatever the other one has to do.

use super::error::ControlError;
use super::http::{HttpLimits, RequestSender, serve};
use std::thread;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Name of the thread, as debuggers show it.
const THREAD_NAME: &str = "http";
/// Stack of the thread. The server's tasks are on the heap.
const STACK_BYTES: usize = 512 * 1024;

/// Starts the server on a thread of its own, which ends with the process.
///
/// # Errors
/// If the listener can't be handed over, or the thread or its runtime can't be started.
pub(super) fn start(
    listener: TcpListener, requests: RequestSender, limits: HttpLimits,
) -> Result<(), ControlError> {
    let listener = listener.into_std().map_err(ControlError::StartHttp)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ControlError::StartRuntime)?;
    let run = move || {
        LocalSet::new().block_on(&runtime, async move {
            let served = match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, requests, limits).await,
                Err(error) => return log::error!("HTTP server not started error={error}"),
            };
            if let Err(error) = served {
                log::error!("HTTP server ended error={error}");
            }
        });
    };
    let thread = thread::Builder::new().name(THREAD_NAME.into()).stack_size(STACK_BYTES).spawn(run);
    thread.map(drop).map_err(ControlError::StartHttp)
}
