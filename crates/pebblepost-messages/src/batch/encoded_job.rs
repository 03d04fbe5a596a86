//! A batch job in its encoded form, whose memory a store estimates before it decodes the job.
//!
//! The encoding is that of [`Job`]. A decoded job may take many times the memory of its encoding.

use super::estimate::{ItemEstimate, estimated_job_bytes};
use super::job::Job;
use nanoserde::{DeBin, DeBinErr, SerBin};

/// An encoded job, with its id and the estimated memory of the decoded job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EncodedJob {
    bytes: Vec<u8>,
    id: String,
    item_count: u64,
    estimated_bytes: u64,
}

impl EncodedJob {
    /// Encodes a job.
    pub fn new(job: &Job) -> EncodedJob {
        EncodedJob {
            bytes: job.serialize_bin(),
            id: job.id.clone(),
            item_count: job.items.len() as u64,
            estimated_bytes: estimated_job_bytes(job),
        }
    }

    /// Returns the id of the job.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the number of items.
    pub fn item_count(&self) -> u64 {
        self.item_count
    }

    /// Returns the estimated memory of the decoded job at a store, in bytes.
    pub fn estimated_bytes(&self) -> u64 {
        self.estimated_bytes
    }

    /// Decodes the job.
    ///
    /// # Errors
    /// The encoding is invalid, for instance because a text is not UTF-8.
    pub fn decode(&self) -> Result<Job, DeBinErr> {
        Job::deserialize_bin(&self.bytes)
    }
}

impl SerBin for EncodedJob {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        output.extend_from_slice(&self.bytes);
    }
}

impl DeBin for EncodedJob {
    /// Finds the end of the job and estimates its memory, without decoding it.
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<EncodedJob, DeBinErr> {
        let start = *offset;
        let mut walk = Walk { offset: start, bytes };
        let id = walk.text()?;
        walk.terms()?;
        walk.integer()?; // step
        walk.skip_text()?; // model
        walk.integer()?; // min_version
        walk.skip(size_of::<u32>() as u64)?; // desired_groups
        let item_count = walk.integer()?;
        let mut estimated_bytes = 0_u64;
        for _ in 0..item_count {
            estimated_bytes = estimated_bytes.saturating_add(walk.item()?.bytes());
        }
        *offset = walk.offset;
        let bytes = bytes[start..walk.offset].to_vec();
        Ok(EncodedJob { bytes, id, item_count, estimated_bytes })
    }
}

/// Walks through the fields of an encoded job in the order of their declaration.
struct Walk<'a> {
    offset: usize,
    bytes: &'a [u8],
}

impl Walk<'_> {
    fn skip(&mut self, length: u64) -> Result<(), DeBinErr> {
        let rest = self.bytes.len() - self.offset;
        match usize::try_from(length) {
            Ok(length) if length <= rest => {
                self.offset += length;
                Ok(())
            }
            _ => Err(DeBinErr::new(self.offset, usize::try_from(length).unwrap_or(usize::MAX), rest)),
        }
    }

    fn integer(&mut self) -> Result<u64, DeBinErr> {
        u64::de_bin(&mut self.offset, self.bytes)
    }

    fn text(&mut self) -> Result<String, DeBinErr> {
        let start = self.offset;
        self.skip_text()?;
        let mut offset = start;
        String::de_bin(&mut offset, self.bytes)
    }

    /// Skips a string or a byte vector and returns its length.
    fn skip_text(&mut self) -> Result<u64, DeBinErr> {
        let length = self.integer()?;
        self.skip(length)?;
        Ok(length)
    }

    fn terms(&mut self) -> Result<(), DeBinErr> {
        self.skip_text()?; // route
        self.skip_text()?; // hostname
        self.skip(2 * size_of::<u64>() as u64)?; // run_deadline_ms, queue_ttl_ms
        self.skip(2 * size_of::<u32>() as u64)?; // max_attempts, priority
        self.skip(size_of::<bool>() as u64) // single_version
    }

    fn item(&mut self) -> Result<ItemEstimate, DeBinErr> {
        let mut estimate = ItemEstimate::default();
        estimate.add_text(self.skip_text()?); // id
        estimate.add_text(self.skip_text()?); // path
        for _ in 0..self.integer()? {
            estimate.add_header();
            estimate.add_text(self.skip_text()?);
            estimate.add_text(self.skip_text()?);
        }
        estimate.add_body(self.skip_text()?);
        self.integer()?; // tokens
        estimate.add_text(self.skip_text()?); // group
        if u8::de_bin(&mut self.offset, self.bytes)? == 1 {
            for _ in 0..3 {
                estimate.add_text(self.skip_text()?); // id, hostname, path
            }
            estimate.add_body(self.skip_text()?);
        }
        Ok(estimate)
    }
}
