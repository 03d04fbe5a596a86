//! Load reports for the dispatcher, in the order that its settings name: free slots, queue length.

use pebblepost_dispatch::api::Report;
use pebblepost_transcriber::Load;

/// The report of a transcriber that reported its load. `known_slots`: its slots, where the load does
/// not say them.
pub(super) fn from_load(load: &Load, known_slots: impl FnOnce() -> u32) -> Report {
    let slots = load.slots.unwrap_or_else(known_slots).max(1);
    if load.load_order_in_progress {
        // Until its order is done, it rejects whatever has not begun.
        return vec![0.0, slots as f32];
    }
    vec![slots.saturating_sub(load.running) as f32, load.waiting as f32]
}

/// The report of a transcriber that reports no load: what this proxy has in flight there.
pub(super) fn from_in_flight(slots: u32, in_flight: u32) -> Report {
    vec![slots.max(1).saturating_sub(in_flight) as f32, 0.0]
}

/// The report of a transcriber without load.
pub(super) fn unloaded(slots: u32) -> Report {
    vec![slots as f32, 0.0]
}
