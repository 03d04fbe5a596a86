//! Decoding of untrusted messages.

use crate::FrameError;
use nanoserde::DeBin;
use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind};

thread_local! {
    static DECODING: Cell<bool> = const { Cell::new(false) };
}

/// Whether this thread is decoding a message: a panic is caught then and ends only the link. For programs whose
/// panic hook ends the process.
pub fn is_decoding() -> bool {
    DECODING.get()
}

/// Decodes one message that fills the whole frame.
///
/// `nanoserde` trusts the lengths in its input and may panic on an invalid one, which must not end the process.
///
/// # Errors
///
/// The message is incomplete, names an impossible length, or is shorter than the frame.
pub fn decode<M: DeBin>(frame: &[u8]) -> Result<M, FrameError> {
    let length_bytes = frame.len();
    let mut offset = 0;
    DECODING.set(true);
    let outcome = catch_unwind(AssertUnwindSafe(|| M::de_bin(&mut offset, frame)));
    DECODING.set(false);
    let message = outcome
        .map_err(|_| FrameError::ImpossibleLength { length_bytes })?
        .map_err(|error| FrameError::Undecodable { length_bytes, error })?;
    if offset == length_bytes {
        Ok(message)
    } else {
        Err(FrameError::TrailingBytes { length_bytes, trailing_bytes: length_bytes - offset })
    }
}
