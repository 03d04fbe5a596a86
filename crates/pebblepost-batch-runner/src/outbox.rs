//! Outcomes of items on their way to the stores.
//!
//! Those that end close together go out together. What was sent is kept for a while: the link may
//! be lost before the store has it, or the store may lose it with its primary. A result that is
//! sent twice does no harm.

use crate::shared::Shared;
use pebblepost_messages::batch::{ItemOutcome, ToStore};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Outcomes are gathered for this long.
const GATHER: Duration = Duration::from_millis(5);
/// What was sent is kept for this long.
const KEEP: Duration = Duration::from_secs(6);
/// Most bytes kept of what was sent.
const MOST_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// The outcome of one item.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) store_group: u32,
    pub(crate) job: String,
    pub(crate) lease: u64,
    pub(crate) outcome: ItemOutcome,
}

#[derive(Default)]
struct State {
    waiting: Vec<Outcome>,
    sent: VecDeque<(Instant, Outcome)>,
    sent_bytes: usize,
}

/// Outcomes on their way.
#[derive(Default)]
pub(crate) struct Outbox {
    state: RefCell<State>,
    wake: Notify,
}

/// Outcomes that go out in one message, by group, job and lease.
type Messages = BTreeMap<(u32, String, u64), Vec<Outcome>>;

impl Outbox {
    /// Adds an outcome.
    pub(crate) fn push(&self, outcome: Outcome) {
        self.state.borrow_mut().waiting.push(outcome);
        self.wake.notify_one();
    }

    /// What was sent lately for these groups goes out again.
    pub(crate) fn send_again(&self, concerns: impl Fn(u32) -> bool) {
        let state = &mut *self.state.borrow_mut();
        let sent = std::mem::take(&mut state.sent);
        for (at, outcome) in sent {
            if concerns(outcome.store_group) {
                state.sent_bytes = state.sent_bytes.saturating_sub(bytes_of(&outcome));
                state.waiting.push(outcome);
            } else {
                state.sent.push_back((at, outcome));
            }
        }
        if !state.waiting.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Sends what can be sent.
    pub(crate) fn flush(&self, shared: &Shared) {
        let waiting = std::mem::take(&mut self.state.borrow_mut().waiting);
        let mut messages = Messages::new();
        for outcome in waiting {
            let key = (outcome.store_group, outcome.job.clone(), outcome.lease);
            messages.entry(key).or_default().push(outcome);
        }
        for ((store_group, job, lease), outcomes) in messages {
            let sent = shared.links.to_primary(store_group).is_some_and(|link| {
                let outcomes = outcomes.iter().map(|outcome| outcome.outcome.clone()).collect();
                link.send(&ToStore::Outcomes { store_group, job, lease, outcomes })
            });
            self.note(outcomes, sent);
        }
        self.forget_old();
    }

    /// Whether all was sent.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.borrow().waiting.is_empty()
    }

    fn note(&self, outcomes: Vec<Outcome>, sent: bool) {
        let state = &mut *self.state.borrow_mut();
        if !sent {
            state.waiting.extend(outcomes);
            return;
        }
        let now = Instant::now();
        // What was handed back may be leased to us anew: that is not said twice.
        let finished =
            outcomes.into_iter().filter(|outcome| matches!(outcome.outcome, ItemOutcome::Finished(_)));
        for outcome in finished {
            state.sent_bytes += bytes_of(&outcome);
            state.sent.push_back((now, outcome));
        }
    }

    fn forget_old(&self) {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        while let Some((at, outcome)) = state.sent.front() {
            if now < *at + KEEP && state.sent_bytes <= MOST_KEPT_BYTES {
                break;
            }
            state.sent_bytes = state.sent_bytes.saturating_sub(bytes_of(outcome));
            state.sent.pop_front();
        }
    }
}

fn bytes_of(outcome: &Outcome) -> usize {
    const FIXED: usize = 128;
    match &outcome.outcome {
        ItemOutcome::Finished(result) => FIXED + result.message.len() + result.score.len(),
        ItemOutcome::Returned { partial, .. } => FIXED + partial.message.len(),
    }
}

/// Starts the task that sends outcomes.
pub(crate) fn start(shared: Rc<Shared>) {
    tokio::task::spawn_local(async move {
        loop {
            shared.outbox.wake.notified().await;
            sleep(GATHER).await;
            shared.outbox.flush(&shared);
        }
    });
}
