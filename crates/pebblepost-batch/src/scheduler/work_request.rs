//! A proxy's request for work.

use pebblepost_messages::batch::UnsendableItems;
use std::collections::BTreeSet;

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

    /// Returns the ids of the jobs with items that the proxy cannot send.
    pub(super) fn jobs_with_unsendable_items(&self) -> BTreeSet<String> {
        self.unsendable.iter().map(|items| items.job.clone()).collect()
    }
}
