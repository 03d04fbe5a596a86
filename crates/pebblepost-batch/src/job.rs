//! A stored batch job with its pending items, its results and its estimated memory.
//!
//! Each result keeps its position, so that readers can continue from an offset. A job changes only when
//! [`crate::state`] applies a committed entry.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::batch::{
    Item, ItemResult, Job, ResultPage, estimated_item_bytes, estimated_job_bytes,
};
use std::collections::HashMap;

/// Estimated memory of a result, excluding its texts and versions.
const RESULT_OVERHEAD_BYTES: u64 = 256;
/// Estimated number of simultaneous copies of a result's text: in the state, a checkpoint and the ring.
const RESULT_COPIES: u64 = 3;
/// Estimated size of a result in a page, excluding its text and score.
const PAGE_ENTRY_OVERHEAD_BYTES: usize = 200;

/// The part of a job that is written to snapshots. The binary form is stored: fields must keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
struct JobRecord {
    submitted_at_ms: u64,
    has_ended: bool,
    item_count: u64,
    /// Items that have a result keep only their id and sample group. The list is empty once the job has
    /// ended.
    job: Job,
    results: Vec<ItemResult>,
}

/// A stored batch job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredJob {
    record: JobRecord,
    /// Indices of the items without a result, by item id.
    pending: HashMap<String, usize>,
    estimated_bytes: u64,
}

impl StoredJob {
    /// Creates a job that was accepted at the store group's time `submitted_at_ms`.
    pub(crate) fn new(submitted_at_ms: u64, job: Job) -> StoredJob {
        let item_count = job.items.len() as u64;
        let pending = index_items(&job.items);
        let estimated_bytes = estimated_job_bytes(&job);
        let record = JobRecord { submitted_at_ms, has_ended: false, item_count, job, results: Vec::new() };
        StoredJob { record, pending, estimated_bytes }
    }

    /// Returns the id of the job.
    pub fn id(&self) -> &str {
        &self.record.job.id
    }

    /// Returns the job as submitted, except that items with a result keep only their id and sample
    /// group, and that a job that has ended has no items.
    pub fn job(&self) -> &Job {
        &self.record.job
    }

    /// Returns the store group's time at which the job was accepted, in milliseconds.
    pub fn submitted_at_ms(&self) -> u64 {
        self.record.submitted_at_ms
    }

    /// Returns whether the owner of the job has ended it.
    pub fn has_ended(&self) -> bool {
        self.record.has_ended
    }

    /// Returns the number of submitted items.
    pub fn item_count(&self) -> u64 {
        self.record.item_count
    }

    /// Returns the results so far, in the order of their positions.
    pub fn results(&self) -> &[ItemResult] {
        &self.record.results
    }

    /// Returns whether no further result can be appended, because the job has ended or every item has a
    /// result.
    pub fn is_complete(&self) -> bool {
        self.record.has_ended || self.pending.is_empty()
    }

    /// Returns the index of an item by its id, or `None` if the item is unknown or has a result, or the
    /// job has ended.
    pub fn pending_index(&self, item: &str) -> Option<usize> {
        self.pending.get(item).copied()
    }

    /// Returns the item at an index, if it has no result.
    pub fn pending_item(&self, index: usize) -> Option<&Item> {
        let item = self.record.job.items.get(index)?;
        (self.pending.get(&item.id) == Some(&index)).then_some(item)
    }

    /// Returns results from position `start` on.
    ///
    /// The page contains at least one result if there is one, and further results while their
    /// estimated total size stays within `max_bytes`.
    pub fn page(&self, start: u64, max_bytes: usize) -> ResultPage {
        let first = usize::try_from(start).unwrap_or(usize::MAX).min(self.record.results.len());
        let rest = &self.record.results[first..];
        let mut bytes = 0_usize;
        let fitting = rest.iter().take_while(|result| {
            let is_first = bytes == 0;
            bytes = bytes.saturating_add(estimated_page_bytes(result));
            is_first || bytes <= max_bytes
        });
        let results = fitting.cloned().collect();
        ResultPage { total: self.record.item_count, start, results }
    }

    /// Returns the estimated memory of the job in bytes.
    pub fn estimated_bytes(&self) -> u64 {
        self.estimated_bytes
    }

    /// Appends a result at the next position.
    ///
    /// The result is ignored if the job has ended, the item is unknown, or the item already has a result:
    /// the first result of an item is final.
    pub(crate) fn append_result(&mut self, result: ItemResult) {
        if self.record.has_ended {
            return;
        }
        let Some(index) = self.pending.remove(&result.id) else { return };
        let item = &mut self.record.job.items[index];
        self.estimated_bytes =
            self.estimated_bytes.saturating_sub(estimated_item_bytes(item)) + estimated_result_bytes(&result);
        let (id, group) = (std::mem::take(&mut item.id), std::mem::take(&mut item.group));
        *item = Item { id, group, ..Item::default() };
        self.record.results.push(result);
    }

    /// Ends the job and drops its items.
    pub(crate) fn end(&mut self) {
        self.record.has_ended = true;
        self.record.job.items = Vec::new();
        self.pending = HashMap::new();
        self.estimated_bytes = self.record.results.iter().map(estimated_result_bytes).sum();
    }

    /// Appends the encoded job to a snapshot.
    pub(crate) fn write(&self, snapshot: &mut Vec<u8>) {
        self.record.ser_bin(snapshot);
    }

    /// Decodes a job from a snapshot at `offset` and advances `offset` past it.
    pub(crate) fn read(offset: &mut usize, snapshot: &[u8]) -> Result<StoredJob, DeBinErr> {
        let record = JobRecord::de_bin(offset, snapshot)?;
        let mut pending = index_items(&record.job.items);
        for result in &record.results {
            pending.remove(&result.id);
        }
        let item_bytes = |index: &usize| estimated_item_bytes(&record.job.items[*index]);
        let items: u64 = pending.values().map(item_bytes).sum();
        let results: u64 = record.results.iter().map(estimated_result_bytes).sum();
        Ok(StoredJob { record, pending, estimated_bytes: items + results })
    }
}

fn estimated_result_bytes(result: &ItemResult) -> u64 {
    let text_bytes = result.id.len() + result.message.len() + result.score.len();
    let versions_bytes = size_of_val(result.versions.as_slice());
    RESULT_OVERHEAD_BYTES + RESULT_COPIES * (text_bytes + versions_bytes) as u64
}

fn estimated_page_bytes(result: &ItemResult) -> usize {
    PAGE_ENTRY_OVERHEAD_BYTES + result.message.len() + result.score.len()
}

/// Maps item ids to indices. If several items share an id, the first one is used.
fn index_items(items: &[Item]) -> HashMap<String, usize> {
    let mut indices = HashMap::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        indices.entry(item.id.clone()).or_insert(index);
    }
    indices
}
