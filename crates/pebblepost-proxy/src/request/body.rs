//! Reads request bodies into memory, within the limits and the memory budget.

use super::memory::{MemoryBudget, MemoryReservation};
use super::rejection::Rejection;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pebblepost_configuration::Limits;

/// Maximum buffer that is allocated before the bytes arrive, whatever length a client announces.
const MAX_PREALLOCATED_BYTES: usize = 1 << 20;

/// A complete body and its memory reservation, which is released when the body is dropped.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    /// Content of the body.
    pub(crate) bytes: Bytes,
    _reservation: MemoryReservation,
}

/// Reads a body to its end.
///
/// # Errors
/// Returns [`Rejection::BodyTooLarge`] if the body exceeds the limit, [`Rejection::NoMemory`] if it
/// exceeds the memory budget, and [`Rejection::Malformed`] if it breaks off or no bytes arrive within
/// the idle time-out.
pub(crate) async fn read_body(
    mut body: Incoming, limits: &Limits, memory: &MemoryBudget,
) -> Result<BufferedBody, Rejection> {
    let mut reservation = memory.empty_reservation();
    let announced = body.size_hint().lower();
    if announced > limits.max_body_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let announced = announced as usize;
    if !reservation.grow_to(announced) {
        return Err(Rejection::NoMemory);
    }
    // Most bodies arrive in one frame, which is used without a copy.
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    loop {
        let next = tokio::time::timeout(limits.idle_timeout, body.frame()).await;
        let Some(frame) = next.map_err(|_| Rejection::Malformed)? else { break };
        let Ok(data) = frame.map_err(|_| Rejection::Malformed)?.into_data() else { continue };
        let total = first.len() + rest.len() + data.len();
        if total > limits.max_body_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        if !reservation.grow_to(total) {
            return Err(Rejection::NoMemory);
        }
        if first.is_empty() && rest.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.reserve(announced.clamp(total, total.max(MAX_PREALLOCATED_BYTES)));
            rest.extend_from_slice(&std::mem::take(&mut first));
        }
        rest.extend_from_slice(&data);
    }
    let bytes = if rest.is_empty() { first } else { rest.freeze() };
    Ok(BufferedBody { bytes, _reservation: reservation })
}
