//! Replies of the Faktory work protocol, and the password hash.

use crate::engine::FinalResponse;
use sha2::{Digest, Sha256};
use std::time::Duration;

/// The protocol version that this front end supports.
pub(super) const PROTOCOL_VERSION: u64 = 2;
/// Number of hash iterations that the greeting asks for.
pub(super) const HASH_ITERATIONS: u32 = 1_500;
/// Maximum length of a command line.
pub(super) const MAX_COMMAND_BYTES: usize = 64 * 1024;

/// The queue of commands that name no queue.
pub(super) const DEFAULT_QUEUE: &str = "default";

/// Reply to a command that succeeded.
pub(super) const OK_REPLY: &[u8] = b"+OK\r\n";
/// Reply to a fetch for which no job arrived.
pub(super) const NO_JOB_REPLY: &[u8] = b"$-1\r\n";
/// Reply to the heartbeat of a worker that must drain: it asks the worker to stop fetching.
pub(super) const QUIET_REPLY: &[u8] = b"$17\r\n{\"state\":\"quiet\"}\r\n";

/// Returns the salted, iterated SHA-256 hash, in hexadecimal, by which a client proves that it knows the password.
pub fn password_hash(password: &str, salt: &str, iterations: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}").as_bytes());
    for _ in 1..iterations {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Encodes bytes as a RESP bulk string.
pub(super) fn bulk_string(bytes: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Encodes an error reply with this text.
pub(super) fn error_reply(text: &str) -> String {
    format!("-ERR {text}\r\n")
}

/// Encodes the reply to a push.
///
/// A rejected job that is pushed again within the deduplication window would only get the same reply. The producer is
/// therefore asked to wait at least for `window_left`, the rest of that window.
pub(super) fn push_reply(response: &FinalResponse, window_left: Duration) -> String {
    match response {
        FinalResponse::Served(_) => "+OK\r\n".to_owned(),
        FinalResponse::Rejected(after) => {
            error_reply(&format!("refused, come back in {:.3} s", window_left.max(*after).as_secs_f64()))
        }
        FinalResponse::Failed => error_reply("failed, the job may have run"),
    }
}
