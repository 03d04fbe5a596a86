//! Reads request bodies into memory, within the limits and the memory budget.

use super::rejection::Rejection;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pebblepost_configuration::Limits;
use pebblepost_memory::{BlockBuffer, MemoryBudget, MemoryReservation};

/// A complete body in one piece and its memory reservation, which is released when the body is dropped.
#[derive(Debug)]
pub(crate) struct ContiguousBody {
    /// Content of the body.
    pub(crate) bytes: Bytes,
    _reservation: MemoryReservation,
}

impl From<BlockBuffer> for ContiguousBody {
    fn from(buffer: BlockBuffer) -> ContiguousBody {
        let (bytes, reservation) = buffer.into_bytes();
        ContiguousBody { bytes, _reservation: reservation }
    }
}

/// Reads a body to its end.
///
/// # Errors
/// Returns [`Rejection::BodyTooLarge`] if the body exceeds the limit, [`Rejection::NoMemory`] if it
/// exceeds the memory budget, and [`Rejection::Malformed`] if it breaks off or no bytes arrive within
/// the idle time-out.
pub(crate) async fn read_body(
    mut body: Incoming, limits: &Limits, memory: &MemoryBudget,
) -> Result<BlockBuffer, Rejection> {
    let mut buffer = BlockBuffer::new(memory.empty_reservation());
    let announced = body.size_hint().lower();
    if announced > limits.max_body_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    buffer.reserve(announced as usize).map_err(|_| Rejection::NoMemory)?;
    loop {
        let next = tokio::time::timeout(limits.idle_timeout, body.frame()).await;
        let Some(frame) = next.map_err(|_| Rejection::Malformed)? else { break };
        let Ok(data) = frame.map_err(|_| Rejection::Malformed)?.into_data() else { continue };
        if buffer.unread_bytes() + data.len() > limits.max_body_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        buffer.push(data).map_err(|_| Rejection::NoMemory)?;
    }
    Ok(buffer)
}
