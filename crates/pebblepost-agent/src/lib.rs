//! Agent of a proxy: a sidecar that maintains the link to the control plane.
//!
//! The agent subscribes to the feed of the control primary, applies it to its own copy of the state,
//! forwards it to the proxy on the same machine over loopback, and acknowledges it once the proxy has it
//! in force. While the link to the control plane is down, the proxy keeps its last state, and a
//! restarted proxy gets a snapshot from the agent.
//!
//! `agent` is the event loop. `acknowledgements` and `proxy_connection` hold the state of the links to
//! the control plane and to the proxy; `settings_reload` reads the addresses of control processes. The
//! agent takes no part in handling requests and stores nothing on disk.

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

/// Limits of the link to the proxy. Its frames carry the feed, so they have the size limits of the link to
/// the control plane. Both ends run on the same machine, where a closed connection is detected without a
/// short read time-out.
const PROXY_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: CONTROL_LINK_LIMITS.max_frame_bytes,
    max_queued_bytes: CONTROL_LINK_LIMITS.max_queued_bytes,
    connect_timeout: Duration::from_secs(1),
    read_timeout: Duration::from_secs(3600),
};
/// Delay before another attempt to bind the port of the link to the proxy.
const BIND_BACKOFF: Duration = Duration::from_millis(200);

/// Runs the agent until SIGTERM and through its shutdown.
///
/// # Errors
/// Returns an error if the agent can't start.
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
        control_addresses: settings.control_link_addresses(),
        shutdown_grace: settings.bounds.shutdown_grace,
        read_control_addresses: Box::new(read_control_addresses),
    };
    serve(options, listener, signals).await;
    Ok(())
}

/// Listens for the proxy. Retries while the port is in use, for instance by a previous agent that is still
/// shutting down.
async fn bind(address: SocketAddr) -> Listener {
    loop {
        match Listener::bind(address, PROXY_LINK_LIMITS) {
            Ok(listener) => return listener,
            Err(error) => log::warn!("listener for the proxy not bound, retrying: {error:#}"),
        }
        sleep(BIND_BACKOFF).await;
    }
}

fn read_control_addresses() -> Vec<SocketAddr> {
    match Settings::from_environment() {
        Ok(settings) => settings.control_link_addresses(),
        Err(error) => {
            log::warn!("settings not reloaded, known control addresses stay in use: {error:#}");
            Vec::new()
        }
    }
}
