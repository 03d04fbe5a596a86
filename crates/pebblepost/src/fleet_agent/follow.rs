//! Following the changes of the agreed state.

use super::retry::backoff;
use super::shared::{Shared, lock};
use crate::config::FleetConfig;
use pebblepost_fleet_store::client::Client;
use pebblepost_fleet_store::protocol::Response;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A watch brings something every half second; silent for this long, it has failed.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Follows all changes, at one replica after another.
pub(super) async fn run(shared: &Shared, config: &FleetConfig) {
    if config.replicas.is_empty() {
        return std::future::pending().await;
    }
    let mut client = Client::new(config.replicas.clone());
    let mut failures = 0;
    loop {
        let from = lock(&shared.follower).revision();
        if let Ok(mut stream) = client.open_watch(from, failures > 0).await {
            while let Ok(Ok(Some(response))) = timeout(MAX_SILENCE, stream.receive::<Response>()).await {
                let now = shared.now();
                let applied = shared.update(|follower| match response {
                    Response::Snapshot(snapshot) => follower.apply_snapshot(now, snapshot),
                    Response::Changes(changes) => follower.apply_changes(now, &changes),
                    Response::UpToDate(revision) => follower.confirm(now, revision),
                    _ => Ok(()),
                });
                // A replica that is behind, or has lost its position: another one is asked.
                if let Err(error) = applied {
                    (shared.log)(&format!("fleet: {error}"));
                    break;
                }
                failures = 0;
            }
        }
        failures += 1;
        sleep(backoff(failures)).await;
    }
}
