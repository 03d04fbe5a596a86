//! What a request needs of its transcriber.

use crate::lease_terms::LeaseTerms;
use crate::placement::choice::QueueLimit;
use pebblepost_messages::batch::Scorer;
use std::time::Duration;
use tokio::time::Instant;

/// Queue limit of a text, in percent of the slots: the transcriber has the next text at hand when a slot
/// opens, where a proxy that backs off would come back later.
const QUEUE_PERCENT: u32 = 34;
/// Queue limit of a text that is due within [`URGENT_BEFORE_DUE`].
const URGENT_QUEUE_PERCENT: u32 = 50;
const URGENT_BEFORE_DUE: Duration = Duration::from_secs(6);
/// Queue limit of a scorer's call. Calls are short, so that a queue costs little.
const SCORER_QUEUE_PERCENT: u32 = 50;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// The text of an item.
    Text,
    /// The call that scores a text.
    ScorerCall,
}

/// What a request needs of its transcriber.
#[derive(Clone, Copy)]
pub(crate) struct Requirements<'a> {
    pub(crate) kind: RequestKind,
    pub(crate) hostname: &'a str,
    pub(crate) path: &'a str,
    /// Model that must be loaded; empty for none.
    pub(crate) model: &'a str,
    pub(crate) min_version: u64,
    pub(crate) due_at: Instant,
    pub(crate) expires_at: Instant,
}

impl<'a> Requirements<'a> {
    /// Of the text of an item with this path.
    pub(crate) fn of_text(terms: &'a LeaseTerms, path: &'a str) -> Requirements<'a> {
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

    /// Of a scorer's call.
    pub(crate) fn of_scorer(terms: &LeaseTerms, scorer: &'a Scorer) -> Requirements<'a> {
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

    /// Whether the transcriber must hold a model at an allowed version.
    pub(crate) fn names_model(&self) -> bool {
        !self.model.is_empty()
    }

    /// How long a queue the request may join.
    pub(crate) fn queue_limit(&self, now: Instant) -> QueueLimit {
        let percent = match self.kind {
            RequestKind::ScorerCall => SCORER_QUEUE_PERCENT,
            RequestKind::Text if now + URGENT_BEFORE_DUE >= self.due_at => URGENT_QUEUE_PERCENT,
            RequestKind::Text => QUEUE_PERCENT,
        };
        QueueLimit::PercentOfSlots(percent)
    }
}
