//! Replies of the Faktory work protocol, and the proof of the password.

use crate::engine::FinalResponse;
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Version of the protocol that is spoken.
pub(super) const PROTOCOL_VERSION: u64 = 2;
/// How often the password is hashed.
pub(super) const HASH_ITERATIONS: u32 = 1_500;
/// Longest command, in bytes.
pub(super) const MAX_COMMAND_BYTES: usize = 64 * 1024;

/// The queue of commands that name none.
pub(super) const DEFAULT_QUEUE: &str = "default";

/// The reply to a command that succeeded.
pub(super) const OK: &[u8] = b"+OK\r\n";
/// The reply to a fetch that found no job.
pub(super) const NO_JOB: &[u8] = b"$-1\r\n";
/// The reply to a heartbeat of a worker that has to drain.
pub(super) const QUIET: &[u8] = b"$17\r\n{\"state\":\"quiet\"}\r\n";

/// The hash that proves knowledge of the password.
pub fn password_hash(password: &str, salt: &str, iterations: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}").as_bytes());
    for _ in 1..iterations {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A bulk string of RESP.
pub(super) fn bulk_string(bytes: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// The error reply with this text.
pub(super) fn error(text: &str) -> String {
    format!("-ERR {text}\r\n")
}

/// The reply to a push, when it is given.
///
/// A rejected job that came back within the deduplication window, of which `window_left` remains, would only get the same
/// reply again, so its producer is asked to stay away for the rest of it.
pub(super) fn push_reply(response: &FinalResponse, window_left: Duration) -> String {
    match response {
        FinalResponse::Served(_) => "+OK\r\n".to_owned(),
        FinalResponse::Rejected(after) => {
            error(&format!("refused, come back in {:.3} s", window_left.max(*after).as_secs_f64()))
        }
        FinalResponse::Failed => error("failed, the job may have run"),
    }
}
