//! Decoding of messages from untrusted bytes.

use crate::FrameError;
use nanoserde::DeBin;
use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind};

thread_local! {
    static DECODING: Cell<bool> = const { Cell::new(false) };
}

/// Returns whether this thread is decoding a message. A panic is then caught and closes only the link, so a panic
/// hook that ends the process must not do so.
pub fn is_decoding() -> bool {
    DECODING.get()
}

/// Decodes a message that takes up the whole frame.
///
/// `nanoserde` trusts the lengths in its input and may panic on an invalid one. The panic is caught, because invalid
/// input must not end the process.
///
/// # Errors
///
/// Fails if the message is incomplete, contains an invalid length, or is shorter than the frame.
pub fn decode<M: DeBin>(frame: &[u8]) -> Result<M, FrameError> {
    let length_bytes = frame.len();
    let mut offset = 0;
    DECODING.set(true);
    let outcome = catch_unwind(AssertUnwindSafe(|| M::de_bin(&mut offset, frame)));
    DECODING.set(false);
    let message = outcome
        .map_err(|_| FrameError::InvalidLength { length_bytes })?
        .map_err(|error| FrameError::Undecodable { length_bytes, error })?;
    if offset == length_bytes {
        Ok(message)
    } else {
        Err(FrameError::TrailingBytes { length_bytes, trailing_bytes: length_bytes - offset })
    }
}
