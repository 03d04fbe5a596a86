//! Agent beside each proxy: keeps the link to the control plane.
//!
//! It subscribes to the feed of the control primary, folds it, forwards it to the proxy of its machine
//! over loopback, and acknowledges it once the proxy has it in force. Without a link to the control
//! plane the proxy keeps what it has, and a proxy that was restarted gets a snapshot.
//!
//! `agent` is the event loop; `acknowledgements` and `proxy_connection` own the state of the two ends,
//! `settings_reload` the addresses of control processes. The agent decides nothing about requests and
//! keeps nothing on disk.

mod acknowledgements;
mod agent;
mod error;
mod proxy_connection;
mod settings_reload;
mod signals;

pub use agent::{AgentOptions, serve};
pub use error::AgentError;
pub use signals::Signal;

use pebblepost_link::control_client::CONTROL_LINK_LIMITS;
use pebblepost_link::{LinkLimits, Listener};
use pebblepost_settings::Settings;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Limits of the link to the proxy, which carries what comes over the link to the control plane. Both
/// ends share a machine, so that a closed connection is seen without a read time-out.
const PROXY_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: CONTROL_LINK_LIMITS.max_frame_bytes,
    max_queued_bytes: CONTROL_LINK_LIMITS.max_queued_bytes,
    connect_timeout: Duration::from_secs(1),
    read_timeout: Duration::from_secs(3600),
};
/// Backoff after the port of the link could not be bound.
const BIND_BACKOFF: Duration = Duration::from_millis(200);

/// Runs the program until SIGTERM.
///
/// # Errors
/// If the agent can't start.
pub fn run(settings: Settings) -> Result<(), AgentError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(AgentError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(run_until_terminated(settings)))
}

async fn run_until_terminated(settings: Settings) -> Result<(), AgentError> {
    let signals = signals::listen()?;
    let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, settings.agent_link_port()))).await;
    let options = AgentOptions {
        node: settings.node_name.clone(),
        zone: settings.zone.clone(),
        control: settings.control_link_addresses(),
        grace: settings.bounds.shutdown_grace,
        reload: Box::new(read_control_links),
    };
    serve(options, listener, signals).await;
    Ok(())
}

/// Listens for the proxy; retries while the port is in use, as by an agent that is shutting down.
async fn bind(address: SocketAddr) -> Listener {
    loop {
        match Listener::bind(address, PROXY_LINK_LIMITS) {
            Ok(listener) => return listener,
            Err(error) => log::warn!("proxy link not bound, retrying: {error:#}"),
        }
        sleep(BIND_BACKOFF).await;
    }
}

fn read_control_links() -> Vec<SocketAddr> {
    match Settings::from_environment() {
        Ok(settings) => settings.control_link_addresses(),
        Err(error) => {
            log::warn!("settings not reloaded: {error:#}");
            Vec::new()
        }
    }
}
