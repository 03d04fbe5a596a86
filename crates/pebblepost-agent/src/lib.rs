//! Agent beside each proxy: keeps the link to the control plane.
//!
//! It subscribes to the feed of the control primary, folds it, passes it on to the proxy of its machine over
//! loopback, and acknowledges it once the proxy has it in force. While the control plane is away the proxy keeps
//! what it has, and a proxy that starts anew gets all that is known.

mod acknowledgements;
mod program;
mod proxy_link;
mod signals;

pub use program::{AgentOptions, serve};
pub use signals::Signal;

use eyre::{Result, WrapErr};
use pebblepost_link::control_client::CONTROL_LINK_LIMITS;
use pebblepost_link::{LinkLimits, Listener};
use pebblepost_settings::Settings;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Limits of the link to the proxy, which takes what comes over the link to the control plane. Both ends share a
/// machine, so that an end is seen without a silence.
const PROXY_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: CONTROL_LINK_LIMITS.max_frame_bytes,
    max_queued_bytes: CONTROL_LINK_LIMITS.max_queued_bytes,
    connect_timeout: Duration::from_secs(1),
    read_timeout: Duration::from_secs(3600),
};
const BIND_PAUSE: Duration = Duration::from_millis(200);

/// Runs the program until SIGTERM.
pub fn run(settings: Settings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the runtime of the agent")?;
    runtime.block_on(LocalSet::new().run_until(run_until_terminated(settings)))
}

async fn run_until_terminated(settings: Settings) -> Result<()> {
    let signals = signals::listen()?;
    let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, settings.agent_link_port()))).await;
    let options = AgentOptions {
        node: settings.node_name.clone(),
        zone: settings.zone.clone(),
        control: settings.control_links(),
        grace: settings.bounds.shutdown_grace,
        reload: Box::new(read_control_links),
    };
    serve(options, listener, signals).await;
    Ok(())
}

/// Listens for the proxy; tries again while the port is taken, as by an agent that is just ending.
async fn bind(address: SocketAddr) -> Listener {
    loop {
        match Listener::bind(address, PROXY_LINK_LIMITS) {
            Ok(listener) => return listener,
            Err(error) => log::warn!("{error:#}; trying again"),
        }
        sleep(BIND_PAUSE).await;
    }
}

fn read_control_links() -> Vec<SocketAddr> {
    match Settings::from_environment() {
        Ok(settings) => settings.control_links(),
        Err(error) => {
            log::warn!("settings are kept as they were: {error:#}");
            Vec::new()
        }
    }
}
