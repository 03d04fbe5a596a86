//! The `Priority` header of an item's request.

use std::time::Duration;

/// `Priority` that a transcriber assumes for a request without one. 0 is admitted first.
pub const DEFAULT_PRIORITY: u16 = 5;
/// `Priority` of the most urgent items on routes below the highest rank: behind other requests.
const LOWER_RANK_PRIORITY: u16 = 6;
/// Items that are due within each of these times go one step further ahead.
const URGENCY_STEPS: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(3)];

/// `Priority` of an item by the rank of its route (0 highest) and the time until its results are due.
pub fn priority(rank: u32, until_due: Duration) -> u16 {
    let steps_ahead = URGENCY_STEPS.iter().filter(|step| until_due < **step).count() as u16;
    match rank {
        0 => DEFAULT_PRIORITY - steps_ahead,
        _ => LOWER_RANK_PRIORITY + URGENCY_STEPS.len() as u16 - steps_ahead,
    }
}
