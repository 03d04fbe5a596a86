//! Link to the agent of this machine, which relays the feed.

use super::updater::{ApplyOutcome, FeedUpdater};
use log::{debug, info};
use pebblepost_link::{LinkLimits, connect};
use pebblepost_messages::feed::{FeedBatch, FeedReply};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 64 << 20,
    max_queued_bytes: 1 << 20,
    connect_timeout: Duration::from_secs(1),
    // The agent runs on the same machine, so the connection is reset when the agent ends; no short
    // read time-out is needed.
    read_timeout: Duration::from_secs(3600),
};
/// First backoff before a reconnection. It doubles after each attempt.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff before a reconnection.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Error of the link, boxed.
type LinkError = Box<dyn std::error::Error + Send + Sync>;

/// Reason for which the feed over one link ended.
#[derive(Debug, thiserror::Error)]
enum FeedEnd {
    #[error("cannot connect to the agent: {0:#}")]
    Connect(LinkError),
    #[error("receiving from the agent failed: {0:#}")]
    Receive(LinkError),
    #[error("patch is based on a configuration that this proxy does not have")]
    ResyncNeeded,
}

/// Maintains the link to the agent at `address`. Never returns.
pub(crate) async fn run(updater: Rc<FeedUpdater>, address: SocketAddr) {
    let mut backoff = MIN_RECONNECT_BACKOFF;
    loop {
        let mut received = false;
        let end = receive_feed(&updater, address, &mut received).await;
        debug!("feed ended agent={address}: {end}");
        if received {
            info!("agent link lost, configuration stays in force agent={address}");
            backoff = MIN_RECONNECT_BACKOFF;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
    }
}

/// Applies and acknowledges batches of the feed until the link ends. Sets `received` when the first
/// batch arrives.
async fn receive_feed(updater: &FeedUpdater, address: SocketAddr, received: &mut bool) -> FeedEnd {
    let (sender, mut receiver) = match connect(address, LINK_LIMITS).await {
        Ok(link) => link,
        Err(error) => return FeedEnd::Connect(error.into()),
    };
    loop {
        let batch: FeedBatch = match receiver.receive().await {
            Ok(batch) => batch,
            Err(error) => return FeedEnd::Receive(error.into()),
        };
        *received = true;
        if updater.apply(&batch.updates) == ApplyOutcome::ResyncNeeded {
            sender.close();
            return FeedEnd::ResyncNeeded;
        }
        let generation = updater.generation();
        sender.send(&FeedReply::Acknowledge { sequence: batch.sequence, generation });
    }
}
