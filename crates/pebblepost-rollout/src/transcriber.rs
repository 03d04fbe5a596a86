//! What the planner knows about one transcriber, and the order that is under way there.

use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a transcriber without any answer no longer takes up a place among the loads.
pub(crate) const SILENCE: Duration = Duration::from_secs(2);
/// First report after an order was taken.
pub(crate) const FIRST_ASK: Duration = Duration::from_millis(350);
/// Pause between reports while an order is under way or in doubt.
pub(crate) const ASK_EVERY: Duration = Duration::from_millis(150);
/// Pause between reports of a silent transcriber.
pub(crate) const ASK_SILENT_EVERY: Duration = Duration::from_secs(1);
/// A report that was asked for less than this after an order may show the state before it.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(700);
/// An order that was taken is given up if reports still don't show it after this time.
pub(crate) const LOST_ORDER: Duration = Duration::from_secs(3);
/// First pause after an order was refused; doubled from there.
pub(crate) const REFUSED_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after a refusal.
pub(crate) const LONGEST_REFUSED_PAUSE: Duration = Duration::from_secs(3);
/// First pause after a higher fence token was seen; doubled from there.
pub(crate) const FENCED_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after a higher fence token was seen.
pub(crate) const LONGEST_FENCED_PAUSE: Duration = Duration::from_secs(5);

/// A newcomer counts towards the number of loads at once after this time: the incarnation that it
/// replaces may have crashed, and still be known.
pub(crate) const NEWCOMER: Duration = Duration::from_secs(3);

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Sent, not answered yet.
    Sending,
    /// Taken.
    UnderWay,
    /// Perhaps taken.
    Unclear,
    /// Not taken, as another order is under way.
    Conflicting,
    /// Not taken, as a higher fence token was seen.
    Fenced,
}

/// An order and what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// The model.
    pub(crate) model: String,
    /// The version.
    pub(crate) generation: u64,
    /// How far it has come.
    pub(crate) stage: Stage,
    /// When it was sent.
    pub(crate) sent_at: Duration,
    /// When the transcriber last answered anything; at first, when the order was sent.
    pub(crate) last_heard: Duration,
    /// When a report is to be asked for.
    pub(crate) next_ask: Duration,
    /// When the report that is awaited was asked for.
    pub(crate) asked_at: Option<Duration>,
}

impl Work {
    /// An order that is being sent.
    pub(crate) fn sending(now: Duration, model: &str, generation: u64) -> Work {
        Work {
            model: model.to_owned(),
            generation,
            stage: Stage::Sending,
            sent_at: now,
            last_heard: now,
            next_ask: now + SILENCE,
            asked_at: None,
        }
    }

    /// Whether the transcriber has not answered for so long that its place is free.
    pub(crate) fn silent(&self, now: Duration) -> bool {
        now >= self.last_heard + SILENCE
    }

    /// Whether it takes up a place among the loads of its service.
    pub(crate) fn takes_place(&self, now: Duration) -> bool {
        self.stage != Stage::Fenced && !self.silent(now)
    }

    /// Pause before the next report.
    pub(crate) fn ask_pause(&self, now: Duration) -> Duration {
        if self.silent(now) { ASK_SILENT_EVERY } else { ASK_EVERY }
    }

    /// When something has to be done about it: a report asked for, or its place freed.
    pub(crate) fn wake_at(&self, now: Duration) -> Duration {
        let ask = match self.asked_at {
            Some(asked_at) => asked_at + SILENCE,
            None => self.next_ask,
        };
        if self.silent(now) { ask } else { ask.min(self.last_heard + SILENCE) }
    }
}

/// A transcriber that has not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transcriber {
    /// Service.
    pub(crate) backend: String,
    /// Address.
    pub(crate) address: String,
    /// Zone.
    pub(crate) zone: String,
    /// It takes orders.
    pub(crate) ready: bool,
    /// Number of its newest announcement.
    pub(crate) sequence: u64,
    /// Versions that it surely holds; they never fall within one life.
    pub(crate) held: BTreeMap<String, u64>,
    /// Requests that ran, as last told.
    pub(crate) running: u32,
    /// From when on it counts towards the number of loads at once.
    pub(crate) counts_from: Duration,
    /// The order that is under way or in doubt.
    pub(crate) work: Option<Work>,
    /// No order before this time.
    pub(crate) not_until: Duration,
    /// Length of the last pause; zero after a success.
    pub(crate) pause: Duration,
}

impl Transcriber {
    /// Takes over what an announcement says, unless a later one has come already.
    pub(crate) fn announced(&mut self, instance: &Instance) {
        for held in &instance.models {
            self.raise(&held.model, held.generation);
        }
        if instance.sequence < self.sequence {
            return;
        }
        self.sequence = instance.sequence;
        self.backend.clone_from(&instance.backend);
        self.address.clone_from(&instance.address);
        self.zone.clone_from(&instance.zone);
        self.ready = instance.state == InstanceState::Ready;
    }

    /// Notes that a version is held; whether that is news.
    pub(crate) fn raise(&mut self, model: &str, generation: u64) -> bool {
        match self.held.get_mut(model) {
            Some(held) if *held >= generation => false,
            Some(held) => {
                *held = generation;
                true
            }
            None => {
                self.held.insert(model.to_owned(), generation);
                true
            }
        }
    }

    /// Makes the next pause longer, within bounds.
    pub(crate) fn lengthen_pause(&mut self, first: Duration, longest: Duration) -> Duration {
        self.pause = (self.pause * 2).clamp(first, longest);
        self.pause
    }
}
