//! The latency target of the only job class, within which a request counts as answered in time.

/// Latency target of a job with no work, in seconds.
pub const BASE_LATENCY_TARGET_S: f64 = 0.6;
/// Number of seconds by which each second of a job's work extends its latency target.
pub const LATENCY_TARGET_PER_WORK_S: f64 = 2.0;
/// Time after which a client gives up a request, in seconds.
pub const DEADLINE_S: f64 = 6.0;

/// Returns the latency target of a job, in seconds. `work` is in seconds at speed 1.
pub fn latency_target_s(work: f64) -> f64 {
    (BASE_LATENCY_TARGET_S + LATENCY_TARGET_PER_WORK_S * work).min(DEADLINE_S)
}
