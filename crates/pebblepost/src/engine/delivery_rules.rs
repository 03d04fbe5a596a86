//! Rules that the engine enforces for every delivery, independently of the decision module.

use super::request_table::{Attempt, TrackedRequest};
use pebblepost_dispatch::api::{
    AttemptNo, ClassId, DeduplicationScope, Entry, Idempotency, Settings, Time, WorkerId, WorkerState,
};
use std::collections::HashMap;

/// Workers by id, in the state last reported by discovery or a front.
pub(super) type WorkerEntries = HashMap<WorkerId, Entry>;

/// Returns whether the request may be delivered to the worker now, given its attempts other than `except`.
///
/// All of these have to hold:
///
/// - The worker is ready.
/// - The request is not answered, and its deadline has not passed.
/// - If another attempt is in flight, the settings allow hedged attempts.
/// - If another attempt is in flight or may have run, the idempotency of the request's class allows a retry at this
///   worker.
pub(super) fn may_deliver(
    settings: &Settings, workers: &WorkerEntries, now: Time, request: &TrackedRequest, worker: WorkerId,
    except: Option<AttemptNo>,
) -> bool {
    let Some(target) = workers.get(&worker).filter(|entry| entry.state == WorkerState::Ready) else {
        return false;
    };
    let except = except.map(|number| usize::from(number.0));
    let others = || {
        let numbered = request.attempts.iter().enumerate();
        numbered.filter(|(number, _)| Some(*number) != except).map(|(_, attempt)| attempt)
    };
    let first = others()
        .filter(|attempt| attempt.in_flight || attempt.may_have_run)
        .min_by_key(|attempt| attempt.sent_at);
    let retry_allowed =
        first.is_none_or(|first| may_retry(settings, workers, now, request.class, first, target));
    let hedge_allowed = settings.hedging_enabled || !others().any(|attempt| attempt.in_flight);
    retry_allowed && hedge_allowed && !request.answered && now < request.deadline
}

/// Returns whether the class allows another attempt at `target` after `first`, which is in flight or may have run.
///
/// A deduplicated class allows it within the deduplication window of the first attempt, at workers in the same
/// deduplication scope. An unknown class counts as not idempotent.
fn may_retry(
    settings: &Settings, workers: &WorkerEntries, now: Time, class: ClassId, first: &Attempt, target: &Entry,
) -> bool {
    match settings.classes.get(usize::from(class.0)).map(|class| class.idempotency) {
        Some(Idempotency::Idempotent) => true,
        None | Some(Idempotency::NonIdempotent) => false,
        Some(Idempotency::Deduplicated { scope, window }) => {
            let is_same =
                |domain: fn(&Entry) -> u16| workers.get(&first.worker).map(domain) == Some(domain(target));
            now < first.sent_at + window
                && match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => is_same(|entry| entry.zone.0),
                    DeduplicationScope::Cell => is_same(|entry| entry.cell.0),
                }
        }
    }
}
