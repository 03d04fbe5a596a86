//! Encodes a submission item by item, so that the job need not be in memory as a whole.

use super::encoded_job::EncodedJob;
use super::job::Job;
use super::message::ToStore;
use nanoserde::SerBin;

/// Encodes the beginning of a [`ToStore::Submit`] up to its first item. The message is complete when `item_count` encoded
/// items follow. Items of `job` are ignored.
pub fn encode_submission_head(call: u64, store_group: u32, job: &Job, item_count: u64) -> Vec<u8> {
    let without_items = Job { items: Vec::new(), ..job.clone() };
    let message = ToStore::Submit { call, store_group, job: EncodedJob::new(&without_items) };
    let mut head = message.serialize_bin();
    // The items come last, behind their number.
    head.truncate(head.len() - size_of::<u64>());
    item_count.ser_bin(&mut head);
    head
}
