//! Ids of clients' attempts. An id holds the index of the arrival and the number of the attempt, in hexadecimal.

/// Returns the id of a client's attempt.
pub fn attempt_id(arrival: usize, attempt: u32) -> String {
    format!("tx{arrival:08x}{attempt:02x}")
}

/// Returns the index of the arrival in an id of [`attempt_id`], or `None` if `id` is malformed.
pub fn arrival_index(id: &str) -> Option<usize> {
    usize::from_str_radix(id.get(2..10)?, 16).ok()
}
