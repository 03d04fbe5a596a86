//! Rules that every delivery has to pass, whatever the decision module asks for.

use super::request_table::{Attempt, TrackedRequest};
use pebblepost_dispatch::api::{
    AttemptNo, ClassId, DeduplicationScope, Entry, Idempotency, Settings, Time, WorkerId, WorkerState,
};
use std::collections::HashMap;

/// Workers by id, as last reported by discovery and the fronts.
pub(super) type WorkerEntries = HashMap<WorkerId, Entry>;

/// Whether the request may be delivered to the worker now, given its attempts other than `except`.
///
/// The worker has to be ready, the client has to wait still, a second copy in flight has to be allowed by the settings,
/// and a retry by the idempotency of the request's class.
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
    let first =
        others().filter(|attempt| attempt.open || attempt.may_have_run).min_by_key(|attempt| attempt.sent);
    let retry_allowed =
        first.is_none_or(|first| may_repeat(settings, workers, now, request.class, first, target));
    let hedge_allowed = settings.hedging_enabled || !others().any(|attempt| attempt.open);
    retry_allowed && hedge_allowed && !request.answered && now < request.deadline
}

/// Whether a class allows another attempt at `target` after `first`, which runs or may have run.
fn may_repeat(
    settings: &Settings, workers: &WorkerEntries, now: Time, class: ClassId, first: &Attempt, target: &Entry,
) -> bool {
    match settings.classes.get(usize::from(class.0)).map(|class| class.idempotency) {
        Some(Idempotency::Idempotent) => true,
        None | Some(Idempotency::NonIdempotent) => false,
        Some(Idempotency::Deduplicated { scope, window }) => {
            let same = |of: fn(&Entry) -> u16| workers.get(&first.worker).map(of) == Some(of(target));
            now < first.sent + window
                && match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => same(|entry| entry.zone.0),
                    DeduplicationScope::Cell => same(|entry| entry.cell.0),
                }
        }
    }
}
