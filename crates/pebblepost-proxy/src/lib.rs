//! Data plane: connections of clients, routing, dispatch to transcribers, attempts and streams.
//!
//! | module | owns |
//! | --- | --- |
//! | `connections`, `activity` | connections of clients and their deadlines |
//! | `handler`, `request`, `response` | one request, from its head to its response |
//! | `dispatch` | backends, the decision module's state for each, attempts and streams |
//! | `feed` | configuration and instances, as the agent of this machine sends them |
//! | `readiness`, `shutdown`, `signals` | readiness, and the way from SIGTERM to the end |
//! | `metrics`, `resource_limits`, `listener` | counts, limits of the machine, sockets |
//!
//! The proxy keeps nothing on disk and never talks to the control plane itself. Everything runs on
//! one thread (`spawn_local`).

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

/// Runs the program until SIGTERM.
///
/// # Errors
/// If the proxy can't start.
pub fn run(settings: Settings) -> Result<(), ProxyError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ProxyError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        let mut signals = Signals::listen()?;
        let proxy = Proxy::start(settings)?;
        proxy.run_until_terminated(&mut signals).await;
        Ok(())
    })
}
