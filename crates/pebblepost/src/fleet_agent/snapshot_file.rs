//! The snapshot of the agreed state in the file `fleet.copy`, which preserves that state across restarts.

use super::shared::{Shared, lock};
use crate::checksummed_file;
use pebblepost_fleet::follower::Follower;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

/// Minimum time between two writes of the snapshot.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the snapshot; `None` if the file does not exist.
///
/// # Errors
///
/// If the file cannot be read or is damaged.
pub(super) fn load(path: &Path) -> io::Result<Option<Follower>> {
    match checksummed_file::read(path) {
        Ok(body) => Ok(Some(serde_json::from_str(&body)?)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Writes the snapshot whenever the agreed state changes. The writes run on a blocking thread, so that they do not delay the
/// agent's other tasks. Without a path it waits forever.
pub(super) async fn run(shared: &Shared, path: Option<&Path>) {
    let Some(path) = path else { return std::future::pending().await };
    loop {
        shared.changed.notified().await;
        let snapshot = lock(&shared.follower).clone();
        let (revision, newest_drain) = (snapshot.revision(), snapshot.newest_drain_revision());
        let file = path.to_owned();
        let write = move || checksummed_file::replace(&file, &serde_json::to_string(&snapshot)?);
        match tokio::task::spawn_blocking(write).await {
            // A newly saved drain mark may be reported as applied from now on, so this is reported immediately.
            Ok(Ok(())) if shared.persisted_revision.swap(revision, Ordering::Relaxed) < newest_drain => {
                shared.report_due.notify_one();
            }
            Ok(Err(error)) => {
                (shared.log)(&format!("fleet.copy: cannot write the snapshot {}: {error}", path.display()))
            }
            _ => {}
        }
        sleep(MIN_WRITE_INTERVAL).await;
    }
}
