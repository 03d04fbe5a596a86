//! Ids of clients' attempts: the number of the arrival and that of the attempt, in hexadecimal.

/// The id of a client's attempt.
pub fn attempt_id(arrival: usize, attempt: u32) -> String {
    format!("tx{arrival:08x}{attempt:02x}")
}

/// The number of the arrival that an id was made for.
pub fn arrival_of(id: &str) -> Option<usize> {
    usize::from_str_radix(id.get(2..10)?, 16).ok()
}
