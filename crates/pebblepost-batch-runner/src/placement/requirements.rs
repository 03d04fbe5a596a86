//! Requirements of a request on the transcriber that executes it.

use crate::lease_terms::LeaseTerms;
use crate::placement::choice::QueueLimit;
use pebblepost_messages::batch::Scorer;
use std::time::Duration;
use tokio::time::Instant;

/// Queue limit of a text, in percent of the slots. With a short queue the transcriber starts the next text as soon
/// as a slot becomes free, without waiting for a proxy that is backing off.
const MAX_QUEUE_PERCENT_OF_SLOTS: u32 = 34;
/// Queue limit, in percent of the slots, of a text that is due within [`URGENT_TIME_UNTIL_DUE`].
const URGENT_MAX_QUEUE_PERCENT_OF_SLOTS: u32 = 50;
const URGENT_TIME_UNTIL_DUE: Duration = Duration::from_secs(6);
/// Queue limit of a scorer call, in percent of the slots. Scorer calls are short, so queueing adds little latency.
const SCORER_MAX_QUEUE_PERCENT_OF_SLOTS: u32 = 50;

/// Kind of a request to a transcriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Generation of an item's text.
    Text,
    /// A scorer call for a complete text.
    ScorerCall,
}

/// Requirements of a request on the transcriber that executes it.
#[derive(Clone, Copy)]
pub(crate) struct Requirements<'a> {
    pub(crate) kind: RequestKind,
    pub(crate) hostname: &'a str,
    pub(crate) path: &'a str,
    /// Model that must be loaded; empty if none is required.
    pub(crate) model: &'a str,
    pub(crate) min_version: u64,
    pub(crate) due_at: Instant,
    pub(crate) expires_at: Instant,
}

impl<'a> Requirements<'a> {
    /// Returns the requirements of an item's text on a route path.
    pub(crate) fn for_text(terms: &'a LeaseTerms, path: &'a str) -> Requirements<'a> {
        Requirements {
            kind: RequestKind::Text,
            hostname: &terms.job.hostname,
            path,
            model: &terms.model,
            min_version: terms.versions.min_version,
            due_at: terms.due_at,
            expires_at: terms.expires_at,
        }
    }

    /// Returns the requirements of a scorer call. A scorer call requires no model.
    pub(crate) fn for_scorer_call(terms: &LeaseTerms, scorer: &'a Scorer) -> Requirements<'a> {
        Requirements {
            kind: RequestKind::ScorerCall,
            hostname: &scorer.hostname,
            path: &scorer.path,
            model: "",
            min_version: 0,
            due_at: terms.due_at,
            expires_at: terms.expires_at,
        }
    }

    /// Returns whether the transcriber must hold a model at an allowed version.
    pub(crate) fn requires_model(&self) -> bool {
        !self.model.is_empty()
    }

    /// Returns the limit of the queue that the request may join.
    pub(crate) fn queue_limit(&self, now: Instant) -> QueueLimit {
        let percent = match self.kind {
            RequestKind::ScorerCall => SCORER_MAX_QUEUE_PERCENT_OF_SLOTS,
            RequestKind::Text if now + URGENT_TIME_UNTIL_DUE >= self.due_at => {
                URGENT_MAX_QUEUE_PERCENT_OF_SLOTS
            }
            RequestKind::Text => MAX_QUEUE_PERCENT_OF_SLOTS,
        };
        QueueLimit::PercentOfSlots(percent)
    }
}
