//! Retries: whether a request may get another attempt, and where, by the rules of its class.
//!
//! Owns no state. An attempt that may have run limits the next ones to the deduplication window and to the
//! workers that share it.

use crate::api::{DeduplicationScope, Idempotency, Settings, Time};
use crate::request_table::{FirstRun, Phase, Request};
use crate::worker_table::WorkerTable;

/// Returns whether another attempt is allowed.
pub(crate) fn may_send(settings: &Settings, now: Time, request: &Request) -> bool {
    has_attempts_left(settings, request)
        && request.phase != Phase::Answered
        && now < request.deadline
        && (!request.is_in_flight() || settings.hedging_enabled)
        && may_repeat(settings, now, request)
}

/// Returns whether the limit on attempts permits another one.
pub(crate) fn has_attempts_left(settings: &Settings, request: &Request) -> bool {
    (request.attempts.len() as u32) < settings.max_attempts
}

/// Returns whether another attempt does no harm if earlier ones have run.
pub(crate) fn may_repeat(settings: &Settings, now: Time, request: &Request) -> bool {
    let possible_run = || {
        let attempt = request.attempt_in_flight()?;
        Some(FirstRun { worker: attempt.worker, sent: attempt.sent })
    };
    match (settings.classes[request.class].idempotency, request.first_run.or_else(possible_run)) {
        (Idempotency::Idempotent, _) | (_, None) => true,
        (Idempotency::NonIdempotent, Some(_)) => false,
        (Idempotency::Deduplicated { window, .. }, Some(first)) => now < first.sent + window,
    }
}

/// Returns whether earlier attempts limit the next ones to the workers of a zone or a cell.
pub(crate) fn is_bound_to_scope(settings: &Settings, request: &Request) -> bool {
    use DeduplicationScope::{Cell, Zone};
    let scoped = matches!(
        settings.classes[request.class].idempotency,
        Idempotency::Deduplicated { scope: Zone | Cell, .. }
    );
    scoped && (request.first_run.is_some() || request.is_in_flight())
}

/// Returns whether a worker drops a repeat of what earlier attempts may have run.
pub(crate) fn is_in_scope(
    settings: &Settings, workers: &WorkerTable, request: &Request, worker: usize,
) -> bool {
    let Idempotency::Deduplicated { scope, .. } = settings.classes[request.class].idempotency else {
        return true;
    };
    let in_flight = || request.attempt_in_flight().map(|attempt| attempt.worker);
    let Some(first) = request.first_run.map(|first| first.worker).or_else(in_flight) else { return true };
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => workers[worker].zone == workers[first].zone,
        DeduplicationScope::Cell => workers[worker].cell == workers[first].cell,
    }
}
