//! The streams of changes to members and operators.

use super::{Replica, SEND_TIMEOUT};
use crate::connection::Connection;
use crate::protocol::Response;
use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// Interval of [`Response::UpToDate`] messages while there is no change.
const UP_TO_DATE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of changes in one message.
const MAX_CHANGES_PER_MESSAGE: usize = 64;

impl Replica {
    /// Sends all changes after a revision until the connection fails.
    ///
    /// There is no queue per watch. Each watch has a position in the bounded history of changes, and a watch
    /// that is too far behind gets the whole state.
    pub(super) async fn stream_changes(
        &self, mut connection: Connection, from_revision: u64,
    ) -> io::Result<()> {
        let mut revision = from_revision;
        let mut revisions = self.state_machine.subscribe();
        loop {
            revisions.mark_unchanged();
            let update = self.next_update(revision);
            let is_up_to_date = matches!(update, Response::UpToDate(_));
            match &update {
                Response::Changes(changes) => {
                    revision = changes.last().map_or(revision, |change| change.revision);
                }
                Response::Snapshot(snapshot) => revision = snapshot.revision,
                _ => {}
            }
            timeout(SEND_TIMEOUT, connection.send(&update))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            if is_up_to_date {
                // The timeout is no error: without a change the next message is `UpToDate` again.
                let _ = timeout(UP_TO_DATE_INTERVAL, revisions.changed()).await;
            }
        }
    }

    /// Returns the message that follows a revision.
    fn next_update(&self, revision: u64) -> Response {
        let state = self.state_machine.read();
        match state.changes_after(revision, MAX_CHANGES_PER_MESSAGE) {
            Some(changes) if changes.is_empty() => Response::UpToDate(revision),
            Some(changes) => Response::Changes(changes),
            None => Response::Snapshot(state.snapshot()),
        }
    }
}
