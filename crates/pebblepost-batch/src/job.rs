//! A batch job in custody.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::batch::{Item, ItemResult, Job, ResultPage};
use std::collections::HashMap;

/// What an item is estimated to take beside its body, in bytes.
const ITEM_OVERHEAD_BYTES: u64 = 4096;
/// Copies of a body that are estimated to exist at once: state, log, checkpoint.
const BODY_COPIES: u64 = 3;
/// What a result is estimated to take beside its text, in bytes.
const RESULT_OVERHEAD_BYTES: u64 = 256;
/// Copies of a listed text that are estimated to exist at once: state, checkpoint, ring.
const RESULT_COPIES: u64 = 3;

/// The part of a job that is kept in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
struct JobRecord {
    submitted_at_ms: u64,
    ended: bool,
    total: u64,
    /// Items that are listed keep only their id and group; empty once the job has ended.
    job: Job,
    results: Vec<ItemResult>,
}

/// A batch job in custody.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredJob {
    record: JobRecord,
    /// Index of each item that is not listed, by its id.
    unlisted: HashMap<String, usize>,
    /// Estimate of the bytes taken: of items not listed, and of results.
    held_bytes: u64,
}

impl StoredJob {
    /// A job just taken.
    pub(crate) fn new(submitted_at_ms: u64, job: Job) -> StoredJob {
        let total = job.items.len() as u64;
        let unlisted = index_of_items(&job.items);
        let held_bytes = job_bytes(&job);
        let record = JobRecord { submitted_at_ms, ended: false, total, job, results: Vec::new() };
        StoredJob { record, unlisted, held_bytes }
    }

    /// Id of the job.
    pub fn id(&self) -> &str {
        &self.record.job.id
    }

    /// The job; items that are listed keep only their id and group, and a job that has ended has
    /// no items any more.
    pub fn job(&self) -> &Job {
        &self.record.job
    }

    /// The group's time at which it was taken.
    pub fn submitted_at_ms(&self) -> u64 {
        self.record.submitted_at_ms
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.record.ended
    }

    /// Items of the job.
    pub fn total(&self) -> u64 {
        self.record.total
    }

    /// Results so far, by position.
    pub fn results(&self) -> &[ItemResult] {
        &self.record.results
    }

    /// Whether no result can be added any more.
    pub fn is_complete(&self) -> bool {
        self.record.ended || self.unlisted.is_empty()
    }

    /// Index of an item that is not listed yet, while the job is open.
    pub fn unlisted_index(&self, item: &str) -> Option<usize> {
        self.unlisted.get(item).copied()
    }

    /// Item at an index, if it is not listed yet.
    pub fn unlisted_item(&self, index: usize) -> Option<&Item> {
        let item = self.record.job.items.get(index)?;
        (self.unlisted.get(&item.id) == Some(&index)).then_some(item)
    }

    /// Results from a position on: at least one if there is one, more while their texts stay
    /// under `most_bytes` together.
    pub fn page(&self, start: u64, most_bytes: usize) -> ResultPage {
        let first = usize::try_from(start).unwrap_or(usize::MAX).min(self.record.results.len());
        let rest = &self.record.results[first..];
        let mut bytes = 0_usize;
        let fitting = rest.iter().take_while(|result| {
            let is_first = bytes == 0;
            bytes = bytes.saturating_add(page_bytes(result));
            is_first || bytes <= most_bytes
        });
        let results = fitting.cloned().collect();
        ResultPage { total: self.record.total, start, results }
    }

    /// Bytes that the job is estimated to take.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Lists a result at the next position; whether it was listed.
    pub(crate) fn list(&mut self, result: ItemResult) -> bool {
        if self.record.ended {
            return false;
        }
        let Some(index) = self.unlisted.remove(&result.id) else { return false };
        let item = &mut self.record.job.items[index];
        self.held_bytes = self.held_bytes.saturating_sub(item_bytes(item)) + result_bytes(&result);
        let (id, group) = (std::mem::take(&mut item.id), std::mem::take(&mut item.group));
        *item = Item { id, group, ..Item::default() };
        self.record.results.push(result);
        true
    }

    /// Ends the job and drops its items.
    pub(crate) fn end(&mut self) {
        self.record.ended = true;
        self.record.job.items = Vec::new();
        self.unlisted = HashMap::new();
        self.held_bytes = self.record.results.iter().map(result_bytes).sum();
    }

    /// Appends the job to a snapshot.
    pub(crate) fn write(&self, snapshot: &mut Vec<u8>) {
        self.record.ser_bin(snapshot);
    }

    /// Reads a job from a snapshot.
    pub(crate) fn read(offset: &mut usize, snapshot: &[u8]) -> Result<StoredJob, DeBinErr> {
        let record = JobRecord::de_bin(offset, snapshot)?;
        let mut unlisted = index_of_items(&record.job.items);
        for result in &record.results {
            unlisted.remove(&result.id);
        }
        let items: u64 = unlisted.values().map(|index| item_bytes(&record.job.items[*index])).sum();
        let results: u64 = record.results.iter().map(result_bytes).sum();
        Ok(StoredJob { record, unlisted, held_bytes: items + results })
    }
}

/// Bytes that a job is estimated to take while it is open.
pub fn job_bytes(job: &Job) -> u64 {
    job.items.iter().map(item_bytes).sum()
}

fn item_bytes(item: &Item) -> u64 {
    let scorer = item.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
    ITEM_OVERHEAD_BYTES + BODY_COPIES * (item.body.len() + scorer) as u64
}

fn result_bytes(result: &ItemResult) -> u64 {
    RESULT_OVERHEAD_BYTES + RESULT_COPIES * result.message.len() as u64
}

/// What a result adds to a page, roughly.
fn page_bytes(result: &ItemResult) -> usize {
    const FIELDS_BYTES: usize = 200;
    FIELDS_BYTES + result.message.len() + result.score.len()
}

/// Index of each item by its id; of several with one id, the first counts.
fn index_of_items(items: &[Item]) -> HashMap<String, usize> {
    let mut indices = HashMap::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        indices.entry(item.id.clone()).or_insert(index);
    }
    indices
}
