//! An item from its placement to its outcome: runs until its text is whole, then the scorer.

use crate::attempt::{self, RunEnd};
use crate::execution::{InRoom, hand_back};
use crate::item_progress::SharedProgress;
use crate::lease_table::{LeaseKey, LeaseStatus};
use crate::lease_terms::LeaseTerms;
use crate::metrics::Metric;
use crate::outbox::Outcome;
use crate::placement::placer::PlacementError;
use crate::placement::requirements::Requirements;
use crate::placement::reservation::Reservation;
use crate::scorer::{self, ScoreEnd};
use crate::shared::Shared;
use pebblepost_messages::batch::{Item, ItemOutcome, ItemResult, ResultState};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long to wait for the renewal of a lease before it is looked at again.
const VALIDITY_CHECK: Duration = Duration::from_millis(200);
/// Pauses after a run that did not end the text.
const SHORT_PAUSE: Duration = Duration::from_millis(10);
const FULL_PAUSE: Duration = Duration::from_millis(50);
const UNCLEAR_PAUSE: Duration = Duration::from_millis(200);
/// An item without a route is handed back after this time.
const NO_ROUTE_HOLD: Duration = Duration::from_millis(1000);
/// A transcriber that broke a run off is not chosen for this long.
const AVOID_AFTER_BREAK: Duration = Duration::from_millis(700);
/// After so many events that did not continue it, a text starts anew.
const MOST_UNEXPECTED_EVENTS: u32 = 2;

/// How the work on an item ended.
enum ItemEnd {
    /// Its text is whole, with the score if it has a scorer.
    Completed(String),
    /// Given up.
    DeadLetter,
    /// Handed back, since the proxy stops or knows no route.
    Returned,
    /// The lease is over: nothing is said.
    Abandoned,
}

/// Runs an item to its outcome.
pub(crate) async fn run(
    shared: Rc<Shared>, key: LeaseKey, terms: Rc<LeaseTerms>, item: Item, progress: SharedProgress,
    place: Option<Reservation>, mut room: InRoom,
) {
    let work = ItemWork { shared: &shared, key, terms: &terms, item: &item, progress: &progress };
    let end = match work.make_text(place).await {
        None => {
            room.text_is_whole();
            work.score().await
        }
        Some(end) => end,
    };
    let result = match end {
        ItemEnd::Completed(score) => completed(&item, &progress, score),
        ItemEnd::DeadLetter => {
            log::debug!("item {} is given up", item.id);
            ItemResult { id: item.id.clone(), state: ResultState::DeadLetter, ..ItemResult::default() }
        }
        ItemEnd::Returned => return hand_back(&shared, key, &item.id),
        ItemEnd::Abandoned => {
            shared.leases.borrow_mut().release(key, &item.id);
            return;
        }
    };
    let taken = shared.leases.borrow_mut().release(key, &item.id);
    if let Some(taken) = taken {
        let outcome = ItemOutcome::Finished(result);
        let (store_group, lease) = (taken.store_group, taken.lease);
        shared.outbox.push(Outcome { store_group, job: taken.job, lease, outcome });
    }
}

fn completed(item: &Item, progress: &SharedProgress, score: String) -> ItemResult {
    let partial = progress.borrow().text.partial();
    ItemResult {
        id: item.id.clone(),
        state: ResultState::Completed,
        message: partial.message,
        versions: partial.versions,
        score,
    }
}

/// Work on one item.
struct ItemWork<'a> {
    shared: &'a Rc<Shared>,
    key: LeaseKey,
    terms: &'a LeaseTerms,
    item: &'a Item,
    progress: &'a SharedProgress,
}

impl ItemWork<'_> {
    /// Runs the item until its text is whole (`None`) or its work is over.
    async fn make_text(&self, mut place: Option<Reservation>) -> Option<ItemEnd> {
        let need = Requirements::of_text(self.terms, &self.item.path);
        let mut unexpected_events = 0;
        loop {
            let Some(next) = place.take() else {
                place = match self.shared.placer.place(&need, 1).await {
                    Ok(mut places) => places.pop(),
                    Err(PlacementError::Expired) => return Some(ItemEnd::DeadLetter),
                    Err(PlacementError::ShuttingDown) => return Some(ItemEnd::Returned),
                    Err(PlacementError::NoRoute(_)) => {
                        // Our configuration may be an old one: another proxy may know better.
                        sleep(NO_ROUTE_HOLD).await;
                        return Some(ItemEnd::Returned);
                    }
                };
                continue;
            };
            if let Some(end) = self.wait_until_valid().await {
                return Some(end);
            }
            if !self.shared.placer.is_still_allowed(&next, &need) {
                continue;
            }
            self.shared.metrics.increment(Metric::Attempts);
            let end = attempt::run(self.shared, self.terms, self.item, &next, self.progress).await;
            if end != RunEnd::Whole {
                log::debug!("item {} at {}: {end:?}", self.item.id, next.target.instance);
            }
            if end == RunEnd::UnexpectedEvent {
                unexpected_events += 1;
                if unexpected_events >= MOST_UNEXPECTED_EVENTS {
                    self.progress.borrow_mut().text.clear();
                    unexpected_events = 0;
                }
            }
            match end {
                RunEnd::Whole => return None,
                RunEnd::Impossible => return Some(ItemEnd::DeadLetter),
                RunEnd::Failed if self.has_failed_too_often() => return Some(ItemEnd::DeadLetter),
                _ => {}
            }
            self.note_end(end, &next);
            // The place is free again before the pause.
            drop(next);
            sleep(pause_after(end)).await;
        }
    }

    /// Metrics a failed attempt; whether there were as many as the route allows.
    fn has_failed_too_often(&self) -> bool {
        let mut progress = self.progress.borrow_mut();
        progress.failed_attempts += 1;
        progress.failed_attempts >= self.terms.job.max_attempts.max(1)
    }

    fn note_end(&self, end: RunEnd, place: &Reservation) {
        self.shared.metrics.increment(match end {
            RunEnd::NotTaken => Metric::AttemptsRejected,
            RunEnd::VersionMoved => Metric::AttemptsVersionMismatch,
            RunEnd::NotSent => Metric::AttemptsNotSent,
            RunEnd::Broken => Metric::AttemptsInterrupted,
            RunEnd::Failed => Metric::AttemptsFailed,
            _ => Metric::AttemptsOther,
        });
        match end {
            RunEnd::VersionMoved => place.invalidate_report(),
            RunEnd::NotTaken => place.invalidate_report(),
            RunEnd::WrongVersion => self.progress.borrow_mut().text.clear(),
            RunEnd::Broken | RunEnd::NotSent => {
                place.eject(AVOID_AFTER_BREAK);
            }
            _ => {}
        }
    }

    /// Waits until something of the lease may be sent; the end if that never comes.
    async fn wait_until_valid(&self) -> Option<ItemEnd> {
        loop {
            let validity = self.shared.leases.borrow().status(self.key, Instant::now());
            match validity {
                LeaseStatus::Valid => return None,
                LeaseStatus::Ended => return Some(ItemEnd::Abandoned),
                LeaseStatus::Expired if self.shared.shutdown.is_set() => return Some(ItemEnd::Returned),
                LeaseStatus::Expired => self.shared.changes.wait(VALIDITY_CHECK).await,
            }
        }
    }

    /// Calls the scorer of a whole text until it has a score or is given up.
    async fn score(&self) -> ItemEnd {
        let Some(call) = &self.item.scorer else { return ItemEnd::Completed(String::new()) };
        let mut pause = scorer::FIRST_PAUSE;
        loop {
            if let Some(end) = self.wait_until_valid().await {
                return end;
            }
            if Instant::now() >= self.terms.expires_at {
                return ItemEnd::DeadLetter;
            }
            let is_valid = || {
                let validity = self.shared.leases.borrow().status(self.key, Instant::now());
                validity == LeaseStatus::Valid
            };
            match scorer::call(self.shared, call, self.terms, is_valid).await {
                ScoreEnd::Score(score) => return ItemEnd::Completed(score),
                ScoreEnd::Failed { max_attempts } => {
                    let mut progress = self.progress.borrow_mut();
                    progress.failed_scorer_attempts += 1;
                    let most = max_attempts.max(self.terms.job.max_attempts).max(1);
                    if progress.failed_scorer_attempts >= most {
                        return ItemEnd::DeadLetter;
                    }
                }
                ScoreEnd::Retry => {
                    sleep(self.shared.random.duration_between(pause / 2, pause)).await;
                    pause = (pause * 2).min(scorer::LONGEST_PAUSE);
                }
            }
        }
    }
}

fn pause_after(end: RunEnd) -> Duration {
    match end {
        RunEnd::NotTaken => FULL_PAUSE,
        RunEnd::Unclear => UNCLEAR_PAUSE,
        _ => SHORT_PAUSE,
    }
}
