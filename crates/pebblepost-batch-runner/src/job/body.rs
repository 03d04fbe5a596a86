//! Bodies of the responses to the calls of batch jobs.

use super::result_page::LargeResult;
use bytes::Bytes;
use pebblepost_memory::MemoryReservation;

/// Size of the chunks in which a body is sent.
pub(super) const CHUNK_BYTES: usize = 64 * 1024;

/// Body of a response, with the memory reserved for it. It is sent in chunks, so that the reservation lasts until a slow
/// client has taken most of it.
#[derive(Debug, Default)]
pub struct JobBody {
    content: Content,
    _reservation: Option<MemoryReservation>,
}

#[derive(Debug)]
enum Content {
    Bytes(Bytes),
    LargeResult(Box<LargeResult>),
}

impl Default for Content {
    fn default() -> Content {
        Content::Bytes(Bytes::new())
    }
}

impl From<Bytes> for JobBody {
    /// Creates a small body, for which no memory is reserved.
    fn from(bytes: Bytes) -> JobBody {
        JobBody { content: Content::Bytes(bytes), _reservation: None }
    }
}

impl JobBody {
    pub(super) fn reserved(bytes: Bytes, reservation: MemoryReservation) -> JobBody {
        JobBody { content: Content::Bytes(bytes), _reservation: Some(reservation) }
    }

    pub(super) fn large_result(result: LargeResult, reservation: MemoryReservation) -> JobBody {
        JobBody { content: Content::LargeResult(Box::new(result)), _reservation: Some(reservation) }
    }

    /// Returns the number of bytes that [`JobBody::next_chunk`] has not returned yet.
    pub fn remaining_bytes(&self) -> u64 {
        match &self.content {
            Content::Bytes(bytes) => bytes.len() as u64,
            Content::LargeResult(result) => result.remaining_bytes(),
        }
    }

    /// Returns the next chunk, or `None` at the end.
    pub fn next_chunk(&mut self) -> Option<Bytes> {
        match &mut self.content {
            Content::Bytes(bytes) if bytes.is_empty() => None,
            Content::Bytes(bytes) => Some(bytes.split_to(bytes.len().min(CHUNK_BYTES))),
            Content::LargeResult(result) => result.next_chunk(),
        }
    }
}
