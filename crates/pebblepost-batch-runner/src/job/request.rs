//! Parses the JSON body of a submitted batch job and encodes its items on the way, so that neither the whole text nor
//! the whole job in decoded form is in memory besides the encoded items.
//!
//! Only the format of the job is checked. The store decides whether to accept the job.

pub use super::error::{FieldError, ItemError, JobError};
use super::item_parser::parse_item;
use super::json_fields::{JsonFields, ReadError};
use crate::encoded_items::{EncodedItems, ItemEncoder};
use pebblepost_memory::BlockBuffer;
use pebblepost_messages::batch::{Job, JobTerms, MAX_ENCODED_JOB_BYTES};
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use tokio::task::yield_now;

/// Maximum length of the text that is parsed before other tasks of the thread run, except for a single longer item.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// A submitted job.
#[derive(Debug)]
pub struct SubmittedJob {
    /// The job without its items.
    pub job: Job,
    /// Items of the job.
    pub items: EncodedItems,
}

/// Parses the body of a submitted job. Unknown fields are ignored.
///
/// Yields to other tasks of the thread after each 64 KiB of text, but not within an item.
///
/// All memory that the job takes meanwhile is reserved by the buffer's reservation, which remains with the items.
///
/// # Errors
/// The body is nested too deeply or not a JSON object, a required field is missing, a field is invalid, or two items
/// have the same id; or there is no memory for the job.
pub async fn parse(id: &str, terms: JobTerms, body: BlockBuffer) -> Result<SubmittedJob, JobError> {
    let mut json = JsonFields::new(body);
    let mut job = Job { id: id.to_owned(), terms, ..Job::default() };
    if !json.enter_object().map_err(of_job)? {
        return Err(JobError::NotAnObject);
    }
    let mut items = None;
    while let Some(name) = json.next_name().map_err(of_job)? {
        match name.as_str() {
            "requests" => items = parse_items(&mut json).await?,
            name => parse_field(&mut json, &mut job, name).map_err(of_job)?,
        }
    }
    let memory = json.finish().map_err(of_job)?;
    let items = items.ok_or(JobError::RequestsNotAnArray)?;
    if items.len() + job.model.len() > MAX_ENCODED_JOB_BYTES {
        return Err(JobError::TooLarge);
    }
    let job_bytes = items.memory_bytes() + job.model.len();
    let reservation = memory.finish(job_bytes).map_err(JobError::OutOfMemory)?;
    Ok(SubmittedJob { job, items: items.finish(reservation) })
}

fn of_job(error: ReadError) -> JobError {
    error.into_job_error(JobError::Field)
}

fn parse_field(json: &mut JsonFields, job: &mut Job, name: &str) -> Result<(), ReadError> {
    match name {
        "step" => job.step = json.unsigned_integer("step")?,
        "model" => job.model = json.text("model")?,
        "min_version" => job.min_version = json.unsigned_integer("min_version")?,
        "desired" => {
            job.desired_groups = u32::try_from(json.unsigned_integer("desired")?).unwrap_or(u32::MAX);
        }
        _ => json.skip()?,
    }
    Ok(())
}

/// Parses and encodes the list of items. Returns `None` if it is not an array.
async fn parse_items(json: &mut JsonFields) -> Result<Option<ItemEncoder>, JobError> {
    json.memory.discard_items();
    if !json.enter_array().map_err(of_job)? {
        return Ok(None);
    }
    let mut encoder = ItemEncoder::default();
    let mut ids = IdSet::default();
    let mut position = 0;
    let mut turn_start = json.memory.unread_bytes();
    while json.has_element().map_err(of_job)? {
        let id = parse_item(json, &mut encoder, position)?;
        json.memory.add_id().map_err(JobError::OutOfMemory)?;
        if !ids.insert(&id) {
            return Err(JobError::Item { position, cause: ItemError::DuplicateId });
        }
        if encoder.len() > MAX_ENCODED_JOB_BYTES {
            return Err(JobError::TooLarge);
        }
        json.memory.finish_item(encoder.memory_bytes()).map_err(JobError::OutOfMemory)?;
        position += 1;
        if turn_start - json.memory.unread_bytes() >= MAX_BYTES_PER_TURN {
            yield_now().await;
            turn_start = json.memory.unread_bytes();
        }
    }
    Ok(Some(encoder))
}

/// Ids of the items so far, as pairs of keyed hashes, which take less memory than the ids.
#[derive(Default)]
struct IdSet {
    first: RandomState,
    second: RandomState,
    seen: HashSet<(u64, u64)>,
}

impl IdSet {
    /// Adds an id. Returns false if it was there already.
    fn insert(&mut self, id: &str) -> bool {
        self.seen.insert((self.first.hash_one(id), self.second.hash_one(id)))
    }
}
