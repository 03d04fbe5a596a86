//! Load reports for the dispatcher. Their fields are in the order of `report_fields` in the
//! dispatcher's settings: free slots, queue length.

use pebblepost_dispatch::api::Report;
use pebblepost_transcriber::Load;

/// Returns the report of a transcriber that reported its load. `known_slots` gives its number of
/// slots if the load lacks it.
pub(super) fn from_load(load: &Load, known_slots: impl FnOnce() -> u32) -> Report {
    let slots = load.slots.unwrap_or_else(known_slots).max(1);
    if load.load_order_in_progress {
        // Until its load order is done, the transcriber rejects every request that it has not started.
        return vec![0.0, slots as f32];
    }
    vec![slots.saturating_sub(load.running) as f32, load.waiting as f32]
}

/// Returns the report of a transcriber that reports no load, estimated from this proxy's attempts in
/// flight there.
pub(super) fn from_in_flight(slots: u32, in_flight: u32) -> Report {
    vec![slots.max(1).saturating_sub(in_flight) as f32, 0.0]
}

/// Returns the report of a transcriber without load.
pub(super) fn idle(slots: u32) -> Report {
    vec![slots as f32, 0.0]
}
