//! Outcomes of items on their way to the stores.
//!
//! Owns the outcomes that wait to be sent, batched for a few milliseconds, and a copy of those sent lately: the link
//! may be lost before the store has them, or the store may lose them with its primary. Sending an outcome twice is
//! idempotent.

use crate::store::links::StoreLinks;
use pebblepost_messages::batch::{ItemOutcome, ToStore};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// How long outcomes are gathered into one message.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// How long a sent outcome is retained.
const SENT_RETENTION: Duration = Duration::from_secs(6);
/// Most bytes of sent outcomes that are retained.
const MAX_SENT_BYTES: usize = 16 * 1024 * 1024;
/// What an outcome takes beside its text and score, roughly.
const FIXED_OUTCOME_BYTES: usize = 128;

/// The lease under which an item was executed. Its outcomes go out in one message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OutcomeKey {
    pub(crate) store_group: u32,
    pub(crate) job: String,
    pub(crate) lease: u64,
}

/// The outcome of one item.
#[derive(Clone, Debug)]
pub(crate) struct LeasedOutcome {
    pub(crate) key: OutcomeKey,
    pub(crate) outcome: ItemOutcome,
}

impl LeasedOutcome {
    fn size_bytes(&self) -> usize {
        match &self.outcome {
            ItemOutcome::Finished(result) => FIXED_OUTCOME_BYTES + result.message.len() + result.score.len(),
            ItemOutcome::Returned { partial, .. } => FIXED_OUTCOME_BYTES + partial.message.len(),
        }
    }
}

struct SentOutcome {
    sent_at: Instant,
    outcome: LeasedOutcome,
}

#[derive(Default)]
struct State {
    pending: Vec<LeasedOutcome>,
    sent: VecDeque<SentOutcome>,
    sent_bytes: usize,
}

/// Outcomes on their way to the stores.
#[derive(Default)]
pub(crate) struct Outbox {
    state: RefCell<State>,
    wake: Notify,
}

impl Outbox {
    /// Sends pending outcomes whenever there are any; never returns.
    pub(crate) async fn run(self: Rc<Self>, links: Rc<StoreLinks>) {
        loop {
            self.wake.notified().await;
            sleep(BATCH_DELAY).await;
            self.flush(&links);
        }
    }

    /// Adds an outcome.
    pub(crate) fn push(&self, outcome: LeasedOutcome) {
        self.state.borrow_mut().pending.push(outcome);
        self.wake.notify_one();
    }

    /// Makes the retained outcomes of these store groups pending again.
    pub(crate) fn resend(&self, is_concerned: impl Fn(u32) -> bool) {
        let state = &mut *self.state.borrow_mut();
        for sent in std::mem::take(&mut state.sent) {
            if is_concerned(sent.outcome.key.store_group) {
                state.sent_bytes = state.sent_bytes.saturating_sub(sent.outcome.size_bytes());
                state.pending.push(sent.outcome);
            } else {
                state.sent.push_back(sent);
            }
        }
        if !state.pending.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Sends what can be sent now; what can't stays pending.
    pub(crate) fn flush(&self, links: &StoreLinks) {
        let pending = std::mem::take(&mut self.state.borrow_mut().pending);
        let mut messages: BTreeMap<OutcomeKey, Vec<LeasedOutcome>> = BTreeMap::new();
        for outcome in pending {
            messages.entry(outcome.key.clone()).or_default().push(outcome);
        }
        for (key, outcomes) in messages {
            let is_sent = links.primary_link(key.store_group).is_some_and(|link| {
                let OutcomeKey { store_group, job, lease } = key;
                let outcomes = outcomes.iter().map(|outcome| outcome.outcome.clone()).collect();
                link.send(&ToStore::Outcomes { store_group, job, lease, outcomes })
            });
            match is_sent {
                true => self.retain_sent(outcomes),
                false => self.state.borrow_mut().pending.extend(outcomes),
            }
        }
        self.drop_old();
    }

    /// Whether nothing is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.borrow().pending.is_empty()
    }

    /// Retains finished items. Returned ones are not sent twice: they may be leased to this proxy anew by then.
    fn retain_sent(&self, outcomes: Vec<LeasedOutcome>) {
        let state = &mut *self.state.borrow_mut();
        let sent_at = Instant::now();
        let is_finished = |outcome: &LeasedOutcome| matches!(outcome.outcome, ItemOutcome::Finished(_));
        for outcome in outcomes.into_iter().filter(is_finished) {
            state.sent_bytes += outcome.size_bytes();
            state.sent.push_back(SentOutcome { sent_at, outcome });
        }
    }

    fn drop_old(&self) {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        while let Some(oldest) = state.sent.front() {
            if now < oldest.sent_at + SENT_RETENTION && state.sent_bytes <= MAX_SENT_BYTES {
                break;
            }
            state.sent_bytes = state.sent_bytes.saturating_sub(oldest.outcome.size_bytes());
            state.sent.pop_front();
        }
    }
}
