//! Executes one item from its first attempt to its outcome: attempts until the text is complete, then scorer calls
//! until the text is scored.
//!
//! This module decides about retries and their backoff, and when an item becomes a dead letter. Nothing is sent
//! while the lease is not valid.

use crate::capacity::{Capacity, CapacityPermit};
use crate::change_signal::ChangeSignal;
use crate::execution::attempt::{AttemptOutcome, AttemptRunner};
use crate::execution::blocked_items::{BlockedItems, BlockedRequest};
use crate::execution::outcomes::OutcomeReporter;
use crate::execution::scorer::{ScorerClient, ScorerOutcome};
use crate::item_progress::SharedProgress;
use crate::lease_table::{LeaseKey, LeaseStatus, LeaseTable};
use crate::lease_terms::LeaseTerms;
use crate::metrics::{Metric, Metrics};
use crate::placement::placer::{MAX_PLACEMENT_WAIT, PlacementError, Placer};
use crate::placement::requirements::Requirements;
use crate::placement::reservation::Reservation;
use crate::random::Random;
use crate::shutdown::ShutdownFlag;
use pebblepost_messages::batch::{Item, ItemResult, ResultState};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval at which the status of an expired lease is checked while its renewal is awaited.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Backoff after an attempt that did not complete the text, unless its outcome has a backoff of its own.
const RETRY_BACKOFF: Duration = Duration::from_millis(10);
/// Backoff after [`AttemptOutcome::Rejected`].
const REJECTED_BACKOFF: Duration = Duration::from_millis(50);
/// Backoff after [`AttemptOutcome::Unknown`] and [`AttemptOutcome::TextTooLong`].
const UNKNOWN_BACKOFF: Duration = Duration::from_millis(200);
/// Bounds of the backoff between scorer calls, which doubles after each call.
const INITIAL_SCORER_BACKOFF: Duration = Duration::from_millis(20);
const MAX_SCORER_BACKOFF: Duration = Duration::from_millis(400);
/// Time after which a complete text without a score is returned to its store, if other items need its place.
const MAX_SCORE_WAIT: Duration = Duration::from_secs(2);
/// Interval at which it is checked after that whether other items need the place.
const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a transcriber is ejected after it interrupted an attempt or could not be reached.
const EJECTION_AFTER_INTERRUPTION: Duration = Duration::from_millis(700);
/// Number of unexpected events after which a text is discarded and generated from the start.
const UNEXPECTED_EVENTS_BEFORE_RESTART: u32 = 2;

/// A leased item that is in flight.
pub(crate) struct ItemTask {
    pub(crate) key: LeaseKey,
    pub(crate) terms: Rc<LeaseTerms>,
    pub(crate) item: Item,
    pub(crate) progress: SharedProgress,
}

impl ItemTask {
    /// Counts a failed attempt. Returns whether the route allows no further attempt.
    fn count_failed_attempt(&self) -> bool {
        let mut progress = self.progress.borrow_mut();
        progress.failed_attempts += 1;
        progress.failed_attempts >= self.terms.job.max_attempts.max(1)
    }

    /// Counts a failed scorer call. Returns whether neither the scorer's route nor the job's route allows a further
    /// call.
    fn count_failed_scorer_attempt(&self, max_attempts: u32) -> bool {
        let mut progress = self.progress.borrow_mut();
        progress.failed_scorer_attempts += 1;
        progress.failed_scorer_attempts >= max_attempts.max(self.terms.job.max_attempts).max(1)
    }

    fn completed_result(&self, score: String) -> ItemResult {
        let partial = self.progress.borrow().text.partial();
        ItemResult {
            id: self.item.id.clone(),
            state: ResultState::Completed,
            message: partial.message,
            versions: partial.versions,
            score,
        }
    }

    fn dead_letter_result(&self) -> ItemResult {
        ItemResult { id: self.item.id.clone(), state: ResultState::DeadLetter, ..ItemResult::default() }
    }
}

/// Reason why an item ends without a score.
#[derive(Clone, Debug)]
enum UnscoredOutcome {
    /// The item cannot be completed, or not in time.
    DeadLetter,
    /// The item is returned to its store, because the proxy is shutting down.
    Returned,
    /// The item is returned to its store, because this request of it cannot be sent at present.
    Blocked(BlockedRequest),
    /// The lease has ended, so nothing is reported.
    Abandoned,
}

/// Executes items, and reports their outcomes.
pub(crate) struct ItemExecutor {
    pub(crate) leases: Rc<RefCell<LeaseTable>>,
    pub(crate) placer: Rc<Placer>,
    pub(crate) attempts: AttemptRunner,
    pub(crate) scorers: ScorerClient,
    pub(crate) outcomes: Rc<OutcomeReporter>,
    pub(crate) blocked: Rc<BlockedItems>,
    pub(crate) capacity: Rc<Capacity>,
    pub(crate) random: Rc<Random>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) shutdown: Rc<ShutdownFlag>,
    pub(crate) changes: Rc<ChangeSignal>,
}

impl ItemExecutor {
    /// Executes an item and reports its outcome. The first attempt uses the reservation, if there is one.
    pub(crate) async fn execute(
        self: Rc<Self>, task: ItemTask, reservation: Option<Reservation>, mut permit: CapacityPermit,
    ) {
        match self.complete_and_score(&task, reservation, &mut permit).await {
            Ok(score) => self.outcomes.finish(task.key, task.completed_result(score)),
            Err(UnscoredOutcome::DeadLetter) => {
                log::debug!("item became a dead letter item={}", task.item.id);
                self.outcomes.finish(task.key, task.dead_letter_result());
            }
            Err(UnscoredOutcome::Returned) => self.outcomes.return_item(task.key, &task.item.id),
            Err(UnscoredOutcome::Blocked(request)) => {
                self.blocked.block(&task.terms, request);
                self.outcomes.return_item(task.key, &task.item.id);
            }
            Err(UnscoredOutcome::Abandoned) => self.outcomes.abandon(task.key, &task.item.id),
        }
    }

    /// Completes the text and returns its score, which is empty for an item without a scorer.
    async fn complete_and_score(
        &self, task: &ItemTask, reservation: Option<Reservation>, permit: &mut CapacityPermit,
    ) -> Result<String, UnscoredOutcome> {
        self.complete_text(task, reservation, permit).await?;
        permit.release_text();
        self.score(task, permit).await
    }

    /// Makes attempts until the text is complete.
    async fn complete_text(
        &self, task: &ItemTask, mut reservation: Option<Reservation>, permit: &CapacityPermit,
    ) -> Result<(), UnscoredOutcome> {
        let requirements = Requirements::for_text(&task.terms, &task.item.path);
        let mut unexpected_events = 0;
        let mut waiting_since = Instant::now();
        loop {
            if self.lease_status(task.key) != LeaseStatus::Valid {
                // Others may take the slot and the place meanwhile.
                drop(reservation.take());
                self.wait_until_lease_is_valid(task.key, permit).await?;
                waiting_since = Instant::now();
            }
            let Some(current) = reservation.take() else {
                reservation = self.place(&requirements, waiting_since + MAX_PLACEMENT_WAIT).await?;
                continue;
            };
            if !self.placer.is_still_allowed(&current, &requirements) {
                continue;
            }
            self.metrics.increment(Metric::Attempts);
            let outcome = self.attempts.run(&task.terms, &task.item, &current, &task.progress).await;
            if outcome == AttemptOutcome::Complete {
                return Ok(());
            }
            let instance = &current.target.instance;
            log::debug!("attempt ended item={} instance={instance} outcome={outcome:?}", task.item.id);
            if count_attempt_and_check_final(outcome, task) {
                return Err(UnscoredOutcome::DeadLetter);
            }
            if outcome == AttemptOutcome::UnexpectedEvent {
                unexpected_events += 1;
                if unexpected_events >= UNEXPECTED_EVENTS_BEFORE_RESTART {
                    task.progress.borrow_mut().text.clear();
                    unexpected_events = 0;
                }
            }
            self.record_retry(outcome, task, &current);
            if is_not_executed(outcome) {
                if waiting_since.elapsed() >= MAX_PLACEMENT_WAIT {
                    let path = task.item.path.clone();
                    return Err(UnscoredOutcome::Blocked(BlockedRequest::Execution { path }));
                }
            } else {
                waiting_since = Instant::now();
            }
            // The slot is released before the backoff.
            drop(current);
            sleep(backoff_after(outcome)).await;
        }
    }

    async fn place(
        &self, requirements: &Requirements<'_>, give_up_at: Instant,
    ) -> Result<Option<Reservation>, UnscoredOutcome> {
        match self.placer.place(requirements, 1, Some(give_up_at)).await {
            Ok(mut reservations) => Ok(reservations.pop()),
            Err(PlacementError::Expired) => Err(UnscoredOutcome::DeadLetter),
            Err(PlacementError::ShuttingDown) => Err(UnscoredOutcome::Returned),
            Err(PlacementError::NoRoute(_) | PlacementError::NoPlace) => {
                // Another proxy may know the route, or reach a transcriber.
                let path = requirements.path.to_owned();
                Err(UnscoredOutcome::Blocked(BlockedRequest::Placement { path }))
            }
        }
    }

    /// Records the effects of an attempt that will be retried on the metrics, on the state of its transcriber, and
    /// on the text.
    fn record_retry(&self, outcome: AttemptOutcome, task: &ItemTask, reservation: &Reservation) {
        self.metrics.increment(match outcome {
            AttemptOutcome::Rejected => Metric::AttemptsRejected,
            AttemptOutcome::VersionMismatch => Metric::AttemptsVersionMismatch,
            AttemptOutcome::NotSent => Metric::AttemptsNotSent,
            AttemptOutcome::Interrupted => Metric::AttemptsInterrupted,
            AttemptOutcome::Failed => Metric::AttemptsFailed,
            _ => Metric::AttemptsOther,
        });
        match outcome {
            AttemptOutcome::VersionMismatch | AttemptOutcome::Rejected => reservation.invalidate_report(),
            AttemptOutcome::VersionNotAllowed | AttemptOutcome::TextTooLong => {
                task.progress.borrow_mut().text.clear();
            }
            AttemptOutcome::Interrupted | AttemptOutcome::NotSent => {
                reservation.eject(EJECTION_AFTER_INTERRUPTION);
            }
            _ => {}
        }
    }

    /// Calls the scorer until it returns a score.
    async fn score(&self, task: &ItemTask, permit: &CapacityPermit) -> Result<String, UnscoredOutcome> {
        let Some(scorer) = &task.item.scorer else { return Ok(String::new()) };
        let mut backoff = INITIAL_SCORER_BACKOFF;
        let complete_since = Instant::now();
        loop {
            self.wait_until_lease_is_valid(task.key, permit).await?;
            if Instant::now() >= task.terms.expires_at {
                return Err(UnscoredOutcome::DeadLetter);
            }
            let is_lease_valid = || self.lease_status(task.key) == LeaseStatus::Valid;
            let gives_up = self.wait_until_place_is_needed(task, complete_since);
            match self.scorers.call(scorer, &task.terms, is_lease_valid, gives_up).await {
                ScorerOutcome::Scored(score) => return Ok(score),
                ScorerOutcome::Failed { max_attempts } => {
                    if task.count_failed_scorer_attempt(max_attempts) {
                        return Err(UnscoredOutcome::DeadLetter);
                    }
                }
                ScorerOutcome::Retry => {
                    if self.is_place_needed(task, complete_since) {
                        let (path, scorer) = (task.item.path.clone(), scorer.clone());
                        return Err(UnscoredOutcome::Blocked(BlockedRequest::ScorerCall { path, scorer }));
                    }
                    sleep(self.random.duration_between(backoff / 2, backoff)).await;
                    backoff = (backoff * 2).min(MAX_SCORER_BACKOFF);
                }
            }
        }
    }

    /// Returns whether other items need the place of an item that has long been complete but for its score.
    fn is_place_needed(&self, task: &ItemTask, complete_since: Instant) -> bool {
        let is_needed = || {
            self.capacity.is_item_limit_reached()
                || self.blocked.contains(&task.terms.job_id, &task.item.path)
        };
        complete_since.elapsed() >= MAX_SCORE_WAIT && is_needed()
    }

    async fn wait_until_place_is_needed(&self, task: &ItemTask, complete_since: Instant) {
        sleep_until(complete_since + MAX_SCORE_WAIT).await;
        while !self.is_place_needed(task, complete_since) {
            sleep(PLACE_CHECK_INTERVAL).await;
        }
    }

    /// Waits until requests under the lease may be sent. Meanwhile the item holds no place.
    ///
    /// # Errors
    /// The lease has ended, or it has expired while the proxy is shutting down.
    async fn wait_until_lease_is_valid(
        &self, key: LeaseKey, permit: &CapacityPermit,
    ) -> Result<(), UnscoredOutcome> {
        loop {
            match self.lease_status(key) {
                LeaseStatus::Valid => {
                    permit.resume();
                    return Ok(());
                }
                LeaseStatus::Ended => return Err(UnscoredOutcome::Abandoned),
                LeaseStatus::Expired if self.shutdown.is_set() => return Err(UnscoredOutcome::Returned),
                LeaseStatus::Expired => {
                    permit.suspend();
                    self.changes.wait(LEASE_CHECK_INTERVAL).await;
                }
            }
        }
    }

    fn lease_status(&self, key: LeaseKey) -> LeaseStatus {
        self.leases.borrow().status(key, Instant::now())
    }
}

/// Counts the attempt if it failed. Returns whether no further attempt follows.
fn count_attempt_and_check_final(outcome: AttemptOutcome, task: &ItemTask) -> bool {
    match outcome {
        AttemptOutcome::Unprocessable => true,
        AttemptOutcome::Failed => task.count_failed_attempt(),
        _ => false,
    }
}

/// Returns whether the transcriber did not execute the attempt, as far as is known.
fn is_not_executed(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::VersionMismatch | AttemptOutcome::NotSent)
}

fn backoff_after(outcome: AttemptOutcome) -> Duration {
    match outcome {
        AttemptOutcome::Rejected => REJECTED_BACKOFF,
        AttemptOutcome::Unknown | AttemptOutcome::TextTooLong => UNKNOWN_BACKOFF,
        _ => RETRY_BACKOFF,
    }
}
