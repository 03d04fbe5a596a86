//! Outcomes of items that are being sent to the stores.
//!
//! The outbox stores the pending outcomes, which are batched for a few milliseconds, and a copy of recently sent
//! ones: the link may be lost before the store has received them, or the store may lose them together with its
//! primary. Sending an outcome twice is idempotent.

use crate::store::links::StoreLinks;
use pebblepost_messages::batch::{ItemOutcome, ToStore};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Time for which outcomes are collected before they are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Time for which a sent outcome is retained.
const SENT_OUTCOME_RETENTION: Duration = Duration::from_secs(6);
/// Maximum size of the retained sent outcomes.
const MAX_RETAINED_SENT_BYTES: usize = 16 * 1024 * 1024;
/// Approximate size of an outcome apart from its text and score.
const OUTCOME_OVERHEAD_BYTES: usize = 128;
/// Maximum size of the outcomes of a message with more than one.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The lease under which an item was executed. The pending outcomes of a lease are sent together, up to
/// [`MAX_MESSAGE_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OutcomeKey {
    pub(crate) store_group: u32,
    pub(crate) job: String,
    pub(crate) lease: u64,
}

/// Outcome of one item, with the lease under which it was executed.
#[derive(Clone, Debug)]
pub(crate) struct LeasedOutcome {
    pub(crate) key: OutcomeKey,
    pub(crate) outcome: ItemOutcome,
}

impl LeasedOutcome {
    fn size_bytes(&self) -> usize {
        match &self.outcome {
            ItemOutcome::Finished(result) => {
                OUTCOME_OVERHEAD_BYTES + result.message.len() + result.score.len()
            }
            ItemOutcome::Returned { partial, .. } => OUTCOME_OVERHEAD_BYTES + partial.message.len(),
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

/// Outcomes that are being sent to the stores.
#[derive(Default)]
pub(crate) struct Outbox {
    state: RefCell<State>,
    wake: Notify,
}

impl Outbox {
    /// Sends pending outcomes whenever there are any. Never returns.
    pub(crate) async fn run(self: Rc<Self>, links: Rc<StoreLinks>) {
        loop {
            self.wake.notified().await;
            sleep(BATCH_DELAY).await;
            self.flush(&links);
        }
    }

    /// Adds an outcome to be sent.
    pub(crate) fn push(&self, outcome: LeasedOutcome) {
        self.state.borrow_mut().pending.push(outcome);
        self.wake.notify_one();
    }

    /// Makes the retained outcomes of the affected store groups pending again.
    pub(crate) fn resend(&self, is_affected: impl Fn(u32) -> bool) {
        let state = &mut *self.state.borrow_mut();
        for sent in std::mem::take(&mut state.sent) {
            if is_affected(sent.outcome.key.store_group) {
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

    /// Sends the pending outcomes whose primary is connected. The others stay pending. While a link is congested, the
    /// rest of its outcomes waits, and another flush follows.
    pub(crate) fn flush(&self, links: &StoreLinks) {
        let pending = std::mem::take(&mut self.state.borrow_mut().pending);
        let mut by_lease: BTreeMap<OutcomeKey, Vec<LeasedOutcome>> = BTreeMap::new();
        for outcome in pending {
            by_lease.entry(outcome.key.clone()).or_default().push(outcome);
        }
        let messages = by_lease
            .into_iter()
            .flat_map(|(key, outcomes)| split(outcomes).into_iter().map(move |part| (key.clone(), part)));
        for (key, outcomes) in messages {
            let link = links.primary_link(key.store_group);
            if link.as_ref().is_some_and(|link| link.is_congested()) {
                self.wake.notify_one();
            }
            let is_sent = link
                .filter(|link| !link.is_congested())
                .is_some_and(|link| link.send(&outcomes_message(key, &outcomes)));
            match is_sent {
                true => self.retain_sent(outcomes),
                false => self.state.borrow_mut().pending.extend(outcomes),
            }
        }
        self.drop_old();
    }

    /// Returns whether no outcome is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.borrow().pending.is_empty()
    }

    /// Retains the outcomes of finished items. Returned items are not sent twice, because they may have been leased
    /// to this proxy again by then.
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
            if now < oldest.sent_at + SENT_OUTCOME_RETENTION && state.sent_bytes <= MAX_RETAINED_SENT_BYTES {
                break;
            }
            state.sent_bytes = state.sent_bytes.saturating_sub(oldest.outcome.size_bytes());
            state.sent.pop_front();
        }
    }
}

fn outcomes_message(key: OutcomeKey, outcomes: &[LeasedOutcome]) -> ToStore {
    let OutcomeKey { store_group, job, lease } = key;
    let outcomes = outcomes.iter().map(|outcome| outcome.outcome.clone()).collect();
    ToStore::Outcomes { store_group, job, lease, outcomes }
}

/// Splits outcomes into parts of at most [`MAX_MESSAGE_BYTES`], or of a single outcome.
fn split(outcomes: Vec<LeasedOutcome>) -> Vec<Vec<LeasedOutcome>> {
    let mut parts: Vec<Vec<LeasedOutcome>> = Vec::new();
    let mut bytes = 0;
    for outcome in outcomes {
        bytes += outcome.size_bytes();
        match parts.last_mut().filter(|_| bytes <= MAX_MESSAGE_BYTES) {
            Some(part) => part.push(outcome),
            None => {
                bytes = outcome.size_bytes();
                parts.push(vec![outcome]);
            }
        }
    }
    parts
}
