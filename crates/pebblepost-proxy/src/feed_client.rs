//! The link to the agent of this machine, from which the feed comes.

use crate::context::{Applied, Context};
use eyre::{Result, WrapErr, bail};
use log::{debug, info};
use pebblepost_link::{LinkLimits, Sender, connect};
use pebblepost_messages::feed::{FeedBatch, FeedReply};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 64 << 20,
    max_queued_bytes: 1 << 20,
    connect_timeout: Duration::from_secs(1),
    // The agent shares this machine: its end resets the connection.
    read_timeout: Duration::from_secs(3600),
};
/// First and longest pause before the agent is called again.
const PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(200));

/// Keeps the link to the agent for as long as the process runs.
pub(crate) async fn run(context: Rc<Context>) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, context.settings.agent_link_port()));
    let (first, longest) = PAUSES;
    let mut pause = first;
    loop {
        let mut received = false;
        if let Err(error) = follow(&context, address, &mut received).await {
            debug!("the feed of the agent ended: {error:#}");
        }
        if received {
            info!("the agent at {address} is gone; what it told holds");
            pause = first;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(longest);
    }
}

/// Takes the feed in until the link ends.
async fn follow(context: &Context, address: SocketAddr, received: &mut bool) -> Result<()> {
    let (sender, mut receiver) = connect(address, LINK_LIMITS)
        .await
        .wrap_err_with(|| format!("connecting to the agent at {address}"))?;
    loop {
        let batch: FeedBatch = receiver
            .receive()
            .await
            .wrap_err_with(|| format!("reading the feed of the agent at {address}"))?;
        *received = true;
        if context.apply(&batch.updates) == Applied::Gap {
            sender.close();
            bail!("a patch of the agent at {address} builds on a configuration that is not held");
        }
        acknowledge(context, &sender, batch.sequence);
    }
}

fn acknowledge(context: &Context, sender: &Sender, sequence: u64) {
    let generation = context.configuration().map_or(0, |configuration| configuration.generation());
    sender.send(&FeedReply::Acknowledge { sequence, generation });
}
