//! What stands at the keys, and what a follower is given.

use crate::command::{Card, RequestId, Role, Worker};
use crate::lease::Lease;
use crate::name::{Key, Kind, Name, Text};
use crate::permit::{Budget, Permit, Release, Roll, Standing};
use crate::sight::Sight;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What stands at a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A drain mark: who set it, when by that one's clock, and why.
    Drain {
        /// Who.
        by: Name,
        /// Unix time in milliseconds.
        at_ms: u64,
        /// Why.
        why: Text,
    },
    /// A worker.
    Worker(Worker),
    /// A setting's value.
    Setting(f64),
    /// A member.
    Member(Member),
    /// How many may be out at once.
    Budget(Budget),
    /// Nothing more goes out: who said so, when by that one's clock, and why.
    Halt {
        /// Who.
        by: Name,
        /// Unix time in milliseconds.
        at_ms: u64,
        /// Why.
        why: Text,
    },
    /// A release.
    Release(Release),
    /// A task and its holder.
    Lease(Lease),
    /// A permit.
    Permit(Permit),
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Member {
    /// What it says of itself.
    pub card: Card,
    /// Counts its lives, from 1.
    pub incarnation: u64,
    /// Its session: a number that no session had before.
    pub session: u64,
    /// Whether that goes on.
    pub presence: Presence,
    /// Its last report in this session.
    #[serde(default)]
    pub reports: u64,
    /// The present life, and those before it, the last first.
    pub(super) lives: VecDeque<RequestId>,
}

impl Member {
    /// The present life.
    pub fn life(&self) -> Option<RequestId> {
        self.lives.front().copied()
    }

    /// Whether it dispatches.
    pub fn is_dispatcher(&self) -> bool {
        self.card.role == Role::Dispatcher
    }

    /// Whether it cannot be counted on: not there, of unknown state, or not ready.
    pub(super) fn is_out(&self) -> bool {
        self.presence != Presence::Here || !self.card.ready
    }
}

/// Whether a member is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Its session goes on.
    Here,
    /// It ended its session.
    Left,
    /// It was not heard for too long.
    Lost,
}

/// A value and the revision at which it was set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Entry {
    /// The value.
    pub value: Value,
    /// The revision.
    pub revision: u64,
}

/// What one command changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: u64,
    /// Who asked for it.
    pub by: Name,
    /// When, by that one's clock.
    pub at_ms: u64,
    /// Why.
    pub why: Text,
    /// The keys, and what stands there now; `None`: nothing.
    pub items: Vec<(Key, Option<Value>)>,
}

/// The whole state at a revision, for a follower.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// All keys.
    pub entries: BTreeMap<Key, Entry>,
}

impl Snapshot {
    /// All of one kind, and how they stand.
    pub fn roll(&self, kind: Kind) -> Roll<'_> {
        roll(&self.entries, kind)
    }
}

/// All of one kind, and how they stand.
pub(super) fn roll(entries: &BTreeMap<Key, Entry>, kind: Kind) -> Roll<'_> {
    let mut roll = Roll {
        halted: entries.contains_key(&Key::Halt(kind)),
        budget: match entries.get(&Key::Budget(kind)).map(|e| &e.value) {
            Some(Value::Budget(budget)) => Some(*budget),
            _ => None,
        },
        release: match entries.get(&Key::Release(kind)).map(|e| &e.value) {
            Some(Value::Release(release)) => Some(release),
            _ => None,
        },
        ..Roll::default()
    };
    let stands = |zone, out| Standing { zone, kind: "", out, version: "", permit: None };
    for (key, entry) in entries {
        match (kind, key, &entry.value) {
            (Kind::Dispatcher, Key::Member(name), Value::Member(m)) if m.card.role == Role::Dispatcher => {
                let version = m.card.version.as_str();
                let standing = Standing { version, ..stands(m.card.zone.as_str(), m.is_out()) };
                roll.all.insert(name, standing);
            }
            (Kind::Worker, Key::Drain(name), _) => {
                roll.all.insert(name, stands("", true));
            }
            (Kind::Worker, Key::Worker(name), Value::Worker(worker)) => {
                let standing = roll.all.entry(name).or_insert(stands("", false));
                (standing.zone, standing.kind) = (worker.zone.as_str(), worker.kind.as_str());
                standing.out |= worker.sight.is_some_and(|sight| sight != Sight::Ready);
            }
            (_, Key::Permit(subject), Value::Permit(permit)) if subject.kind == kind => {
                let standing = roll.all.entry(&subject.name).or_insert(stands("", false));
                standing.out |= permit.granted.is_some();
                standing.permit = Some(permit);
            }
            _ => {}
        }
    }
    roll
}
