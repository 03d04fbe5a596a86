//! The `Priority` header of an item's request. Lower values are admitted first.

use std::time::Duration;

/// Priority that a transcriber assumes for a request without the header. Priority 0 is admitted first.
pub const DEFAULT_PRIORITY: u16 = 5;
/// Priority of the most urgent items on routes below the highest rank. These items come after other requests.
const LOWER_RANK_PRIORITY: u16 = 6;
/// An item moves one priority step ahead for each of these times that exceeds its time until due.
const URGENCY_STEPS: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(3)];

/// Returns the priority of an item from the rank of its route (0 is the highest) and the time until its results are
/// due.
pub fn priority(rank: u32, until_due: Duration) -> u16 {
    let steps_ahead = URGENCY_STEPS.iter().filter(|step| until_due < **step).count() as u16;
    match rank {
        0 => DEFAULT_PRIORITY - steps_ahead,
        _ => LOWER_RANK_PRIORITY + URGENCY_STEPS.len() as u16 - steps_ahead,
    }
}
