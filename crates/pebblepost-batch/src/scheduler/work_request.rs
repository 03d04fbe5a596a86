//! A proxy's request for work.

use crate::job::StoredJob;
use pebblepost_messages::batch::UnsendableItems;

/// A proxy's request for work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkRequest {
    /// Maximum number of items to lease. A few more are leased if that keeps a sample group whole.
    pub max_items: usize,
    /// Items that the proxy cannot send at present. They are not leased to it.
    pub unsendable: Vec<UnsendableItems>,
}

impl WorkRequest {
    /// Creates a request of a proxy that can send all items.
    pub fn new(max_items: usize) -> WorkRequest {
        WorkRequest { max_items, unsendable: Vec::new() }
    }

    /// Returns the beginnings of the paths of a job's items that the proxy cannot send.
    pub(super) fn unsendable_paths(&self, job: &str) -> Vec<&str> {
        let of_job = self.unsendable.iter().filter(|items| items.job == job);
        of_job.map(|items| items.path_prefix.as_str()).collect()
    }
}

/// Returns whether a pending item may be leased to a proxy that cannot send items whose path begins with one of the
/// prefixes.
pub(super) fn is_sendable(job: &StoredJob, item: usize, unsendable_paths: &[&str]) -> bool {
    let has_sendable_path = |path: &str| !unsendable_paths.iter().any(|prefix| path.starts_with(prefix));
    unsendable_paths.is_empty() || job.pending_item(item).is_some_and(|item| has_sendable_path(&item.path))
}
