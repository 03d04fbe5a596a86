//! The thread of the HTTP server.
//!
//! Thousands of transcribers send heartbeats to a primary. Served on the thread of the event loop they would delay
//! the heartbeats of the replication, and a busy primary would lose its lease. With two threads the scheduler of the
//! operating system gives the event loop its share of processor time regardless of the load on the HTTP server.

use super::error::ControlError;
use super::http::{HttpLimits, RequestSender, serve};
use std::thread;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Name of the thread as shown by debuggers.
const THREAD_NAME: &str = "http";
/// Stack size of the thread. The tasks of the server are allocated on the heap.
const STACK_BYTES: usize = 512 * 1024;

/// Starts the server on its own thread, which runs until the process exits.
///
/// # Errors
/// If the listener can't be moved to the new runtime, or the thread or its runtime can't be started.
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
