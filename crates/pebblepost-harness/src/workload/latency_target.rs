//! When a request counts as answered in time: the target of the one class of jobs.

/// Latency target of a job without work, in seconds.
pub const BASE_LATENCY_TARGET_S: f64 = 0.6;
/// By how many seconds each second of a job's own running time extends its target.
pub const LATENCY_TARGET_PER_WORK: f64 = 2.0;
/// Clients give up after so many seconds.
pub const DEADLINE_S: f64 = 6.0;

/// The latency target of a job with so much work, in seconds.
pub fn latency_target_s(work: f64) -> f64 {
    (BASE_LATENCY_TARGET_S + LATENCY_TARGET_PER_WORK * work).min(DEADLINE_S)
}
