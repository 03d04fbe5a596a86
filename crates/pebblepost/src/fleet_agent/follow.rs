//! Follows the changes to the agreed state by a watch on a replica of the fleet store.

use super::retry::backoff;
use super::shared::{Shared, lock};
use crate::config::FleetConfig;
use pebblepost_fleet_store::client::Client;
use pebblepost_fleet_store::protocol::Response;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A watch that delivers nothing for this long has failed. A replica sends something every half second.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Follows all changes. If a watch fails, the next one is opened after a backoff, at another replica.
pub(super) async fn run(shared: &Shared, config: &FleetConfig) {
    if config.replicas.is_empty() {
        return std::future::pending().await;
    }
    let mut client = Client::new(config.replicas.clone());
    let mut consecutive_failures = 0;
    loop {
        let from = lock(&shared.follower).revision();
        if let Ok(mut stream) = client.open_watch(from, consecutive_failures > 0).await {
            while let Ok(Ok(Some(response))) =
                timeout(WATCH_SILENCE_TIMEOUT, stream.receive::<Response>()).await
            {
                let now = shared.now();
                let applied = shared.update(|follower| match response {
                    Response::Snapshot(snapshot) => follower.apply_snapshot(now, snapshot),
                    Response::Changes(changes) => follower.apply_changes(now, &changes),
                    Response::UpToDate(revision) => follower.confirm(now, revision),
                    _ => Ok(()),
                });
                // The replica lags behind or does not continue at the known revision, so another one is watched.
                if let Err(error) = applied {
                    (shared.log)(&format!(
                        "fleet: cannot apply an update of the store; trying another replica: {error}"
                    ));
                    break;
                }
                consecutive_failures = 0;
            }
        }
        consecutive_failures += 1;
        sleep(backoff(consecutive_failures)).await;
    }
}
