//! Finding a transcriber for a group of items or for a scorer's call: random probes, and a hold
//! while all are full.

use crate::candidates::{Candidate, Candidates};
use crate::item_run::LeaseTerms;
use crate::load_table::LastHeard;
use crate::metrics::Metric;
use crate::placement::choice::{MAX_PROBES, ProbedLoad, QueueLimit, choose};
use crate::probing::ProbedCandidate;
use crate::shared::Shared;
use pebblepost_transcriber::Target;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// How long a request is held while all are full.
const LEAST_HOLD: Duration = Duration::from_millis(50);
const MOST_HOLD: Duration = Duration::from_millis(100);
/// So long before its results are due, an item may go into a longer queue.
const URGENT_BEFORE_DUE: Duration = Duration::from_secs(6);
/// Length of that queue, in parts in a hundred of the slots.
const URGENT_QUEUE_PERCENT: u32 = 50;
/// Length of the queue that any item may go into: the transcriber has the next text at hand when a slot opens, where a
/// proxy that waits comes back later.
const QUEUE_PERCENT: u32 = 34;
/// Scorer's calls are short: this much of a queue is no harm.
const SCORER_QUEUE_PERCENT: u32 = 50;

/// What a request needs of its transcriber.
#[derive(Clone, Copy)]
pub(crate) struct Need<'a> {
    pub(crate) hostname: &'a str,
    pub(crate) path: &'a str,
    /// Model that must be held; empty for none.
    pub(crate) model: &'a str,
    pub(crate) min_version: u64,
    pub(crate) is_text: bool,
    pub(crate) due_at: Instant,
    pub(crate) expires_at: Instant,
}

impl<'a> Need<'a> {
    /// What the text of an item needs.
    pub(crate) fn of_text(terms: &'a LeaseTerms, path: &'a str) -> Need<'a> {
        Need {
            hostname: &terms.job.hostname,
            path,
            model: &terms.model,
            min_version: terms.versions.min_version,
            is_text: true,
            due_at: terms.due_at,
            expires_at: terms.expires_at,
        }
    }

    fn queueing(&self, now: Instant) -> QueueLimit {
        match self.is_text {
            false => QueueLimit::PercentOfSlots(SCORER_QUEUE_PERCENT),
            true if now + URGENT_BEFORE_DUE >= self.due_at => {
                QueueLimit::PercentOfSlots(URGENT_QUEUE_PERCENT)
            }
            true => QueueLimit::PercentOfSlots(QUEUE_PERCENT),
        }
    }
}

/// Whether a place was found.
pub(crate) enum Placed {
    /// One place or more, for as many items.
    At(Vec<Place>),
    /// No route of the configuration in force takes the request.
    NoRoute,
    /// The proxy stops.
    Stopped,
    /// The time of the item is over.
    Expired,
}

/// A place at a transcriber; counted among our requests there until it is dropped.
pub(crate) struct Place {
    shared: Rc<Shared>,
    pub(crate) target: Target,
    pub(crate) backend: String,
    /// Version of the model that the transcriber reported.
    pub(crate) version: Option<u64>,
    /// When anything came from the transcriber last.
    pub(crate) last_heard: LastHeard,
    started: Instant,
    /// Told once a run has begun here; dropped untold where none does.
    begun: Cell<Option<oneshot::Sender<()>>>,
}

impl Place {
    /// Tells when a run at this place has begun; an error if the place is given up before.
    pub(crate) fn watch_beginning(&self) -> oneshot::Receiver<()> {
        let (begun, beginning) = oneshot::channel();
        self.begun.set(Some(begun));
        beginning
    }

    /// The head of an answer has come: the run has begun.
    pub(crate) fn has_begun(&self) {
        if let Some(begun) = self.begun.take() {
            // Whoever watched may have lost patience.
            let _ = begun.send(());
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut load = self.shared.load.borrow_mut();
        load.end_request(&self.target.instance, self.started, Instant::now());
    }
}

impl Shared {
    /// Finds a transcriber for up to this many items; waits while there is none.
    pub(crate) async fn find_place(self: &Rc<Self>, need: &Need<'_>, items: u32) -> Placed {
        let mut tries = 0;
        loop {
            let now = Instant::now();
            if now >= need.expires_at {
                return Placed::Expired;
            }
            if need.is_text && self.stopping.get() {
                return Placed::Stopped;
            }
            match self.candidates(need, tries) {
                Candidates::NoRoute => return Placed::NoRoute,
                Candidates::Of(candidates) if candidates.is_empty() => {
                    self.counts.increment(Metric::NoCandidateBackoffs)
                }
                Candidates::Of(candidates) => {
                    let places = self.probe_and_choose(need, candidates, items).await;
                    if !places.is_empty() {
                        return Placed::At(places);
                    }
                    self.counts.increment(Metric::FullBackoffs);
                    tries += 1;
                }
            }
            sleep(self.random.duration_between(LEAST_HOLD, MOST_HOLD)).await;
        }
    }

    /// Whether a request may still go to its place, at this moment.
    pub(crate) fn is_still_right(&self, place: &Place, need: &Need<'_>) -> bool {
        let Some(configuration) = self.configuration() else { return false };
        let names_backend = configuration.route(need.hostname, need.path).is_some_and(|route| {
            route.backends.iter().any(|(name, weight)| *name == place.backend && *weight > 0)
        });
        names_backend && self.is_ready(&place.target.instance)
    }

    /// Probes one candidate, and another if the first has too little room.
    async fn probe_and_choose(
        self: &Rc<Self>, need: &Need<'_>, candidates: Vec<Candidate>, items: u32,
    ) -> Vec<Place> {
        let mut probed: Vec<ProbedCandidate> = Vec::with_capacity(MAX_PROBES);
        for candidate in candidates {
            if probed.len() >= MAX_PROBES {
                break;
            }
            let Some(found) = self.probe(need, candidate).await else { continue };
            let accepts = found.probed.accepts(items);
            probed.push(found);
            if accepts {
                break;
            }
        }
        let loads: Vec<ProbedLoad> = probed.iter().map(|found| found.probed).collect();
        match choose(&loads, items, need.queueing(Instant::now()), &self.random) {
            Some(choice) => self.reserve(&probed[choice.index], choice.items),
            None => Vec::new(),
        }
    }

    fn reserve(self: &Rc<Self>, found: &ProbedCandidate, items: u32) -> Vec<Place> {
        let now = Instant::now();
        let last_heard = self.load.borrow_mut().last_heard(&found.candidate.target.instance);
        let place = || {
            self.load.borrow_mut().start_request(&found.candidate.target.instance, now);
            Place {
                shared: self.clone(),
                target: found.candidate.target.clone(),
                backend: found.candidate.backend.clone(),
                version: found.version,
                last_heard: last_heard.clone(),
                started: now,
                begun: Cell::new(None),
            }
        };
        (0..items).map(|_| place()).collect()
    }
}
