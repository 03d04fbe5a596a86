//! Data plane: client connections, routing, dispatch to transcribers, attempts and streams.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connections`, `activity` | client connections and their deadlines |
//! | `handler`, `request`, `response` | one request, from its head to its response |
//! | `dispatch` | backends, the dispatcher of each backend, attempts and streams |
//! | `feed` | configuration and instances, received from the agent of this machine |
//! | `readiness`, `shutdown`, `signals` | readiness checks, signals and graceful shutdown |
//! | `metrics`, `resource_limits`, `listener` | counters, limits of the machine, listening sockets |
//!
//! The proxy stores nothing on disk and has no connection to the control plane: its agent relays the
//! feed. All tasks run on one thread (`spawn_local`).

mod activity;
mod connections;
mod dispatch;
mod error;
mod feed;
mod handler;
mod listener;
mod metrics;
mod proxy;
mod readiness;
mod request;
mod resource_limits;
mod response;
mod shutdown;
mod signals;

pub use error::ProxyError;
pub use feed::ApplyOutcome;
pub use metrics::ProxyMetrics;
pub use proxy::Proxy;
pub use signals::Signals;

use pebblepost_settings::Settings;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs the proxy until SIGTERM and through its graceful shutdown.
///
/// # Errors
/// Returns an error if the proxy can't start.
pub fn run(settings: Settings) -> Result<(), ProxyError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ProxyError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        let mut signals = Signals::listen()?;
        let proxy = Proxy::start(settings)?;
        proxy.run_until_terminated(&mut signals).await;
        Ok(())
    })
}
