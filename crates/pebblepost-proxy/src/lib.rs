//! Data plane: client connections, routing, decisions, attempts.
//!
//! * `front`: connections of clients; `handler`: one request from its head to its answer.
//! * `dispatch`: decisions by `pebblepost_dispatch`, attempts at transcribers, streams.
//! * `feed_client`: configuration and transcribers, as the agent of this machine passes them on.
//! * `ready`, `lifecycle`: readiness, and the way from SIGTERM to the end.

mod answer;
mod context;
mod dispatch;
mod feed_client;
mod front;
mod handler;
mod lifecycle;
mod memory;
mod metrics;
mod proxy;
mod ready;
mod request;
mod tracked_stream;

pub use context::Applied;
pub use metrics::ProxyMetrics;
pub use proxy::{Proxy, Signals};

use eyre::{Result, WrapErr};
use pebblepost_settings::Settings;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs the program until SIGTERM.
pub fn run(settings: Settings) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("starting the runtime")?;
    LocalSet::new().block_on(&runtime, async {
        let mut signals = Signals::listen()?;
        let proxy = Proxy::start(settings)?;
        proxy.run_until_terminated(&mut signals).await;
        Ok(())
    })
}
