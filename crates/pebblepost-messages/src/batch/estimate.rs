//! Estimated memory of a batch job at a store, by which a store reserves memory before it decodes the job.

use super::job::{Item, Job};

/// Minimum estimate of an item, excluding its bodies.
const MIN_ITEM_BYTES: u64 = 4096;
/// Estimated memory of an item's structures.
const ITEM_STRUCTURE_BYTES: u64 = 512;
/// Estimated memory of a header's structures.
const HEADER_STRUCTURE_BYTES: u64 = 160;
/// Estimated number of simultaneous copies of a text: in the state, the log and a checkpoint.
const TEXT_COPIES: u64 = 3;

/// Adds up the estimated memory of one item.
#[derive(Clone, Copy, Debug)]
pub struct ItemEstimate {
    head_bytes: u64,
    body_bytes: u64,
}

impl Default for ItemEstimate {
    /// Creates the estimate of an item without texts.
    fn default() -> ItemEstimate {
        ItemEstimate { head_bytes: ITEM_STRUCTURE_BYTES, body_bytes: 0 }
    }
}

impl ItemEstimate {
    /// Adds an id, a path, or another text that is not a body.
    pub fn add_text(&mut self, bytes: u64) {
        self.head_bytes = self.head_bytes.saturating_add(TEXT_COPIES.saturating_mul(bytes));
    }

    /// Adds a header, apart from its name and value.
    pub fn add_header(&mut self) {
        self.head_bytes = self.head_bytes.saturating_add(HEADER_STRUCTURE_BYTES);
    }

    /// Adds the body of the item or of its scoring request.
    pub fn add_body(&mut self, bytes: u64) {
        self.body_bytes = self.body_bytes.saturating_add(TEXT_COPIES.saturating_mul(bytes));
    }

    /// Returns the estimate in bytes.
    pub fn bytes(&self) -> u64 {
        self.head_bytes.max(MIN_ITEM_BYTES).saturating_add(self.body_bytes)
    }
}

/// Estimates the memory of a pending item, in bytes. All of its texts count.
pub fn estimated_item_bytes(item: &Item) -> u64 {
    let mut estimate = ItemEstimate::default();
    for text in [&item.id, &item.path, &item.group] {
        estimate.add_text(text.len() as u64);
    }
    for (name, value) in &item.headers {
        estimate.add_header();
        estimate.add_text(name.len() as u64);
        estimate.add_text(value.len() as u64);
    }
    estimate.add_body(item.body.len() as u64);
    if let Some(scorer) = &item.scorer {
        for text in [&scorer.id, &scorer.hostname, &scorer.path] {
            estimate.add_text(text.len() as u64);
        }
        estimate.add_body(scorer.body.len() as u64);
    }
    estimate.bytes()
}

/// Estimates the memory of a job whose items are all pending, in bytes.
pub fn estimated_job_bytes(job: &Job) -> u64 {
    job.items.iter().map(estimated_item_bytes).sum()
}
