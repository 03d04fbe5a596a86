//! A dispatcher's copy of the agreed state, and what was asked of it while it was cut off.
//!
//! A drain asked for here is honoured at once and marked *local*. When the group is reached again it is offered, with
//! the revision that the drain's key had when it was asked for as precondition. So **the group wins** where it has decided
//! anything about that worker's drain meanwhile (that decision may be newer, and it stands in the history); otherwise
//! the drain becomes agreed. Either way the local mark goes only once this copy has what the group decided: between the two
//! there is no moment without a mark.

use crate::command::{Act, Answer, Command, Expect, Op, Refusal, RequestId};
use crate::name::{Key, Kind, Name, Subject, Text};
use crate::sight::{Different, MAX_DIFFERENT, Seen};
use crate::state::{Change, Entry, Snapshot, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// Most local marks.
pub const MAX_LOCAL: usize = 1_024;

/// A drain that was asked for here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Local {
    /// The same each time that it is offered.
    pub id: RequestId,
    /// Who asked.
    pub by: Name,
    /// When, by this machine's clock, in Unix time in milliseconds.
    pub at_ms: u64,
    /// Why.
    pub why: Text,
    /// The key's revision here when it was asked.
    pub seen: u64,
    /// The revision at which the group took it, or had decided otherwise; the mark stays until the copy is there.
    pub taken: Option<u64>,
}

/// Why news cannot be taken in.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unfit {
    /// They do not follow on this copy: a snapshot is wanted.
    #[error("changes from revision {found} do not follow on {ours}")]
    Gap {
        /// First revision of the news.
        found: u64,
        /// Revision of this copy.
        ours: u64,
    },
    /// They are older than this copy.
    #[error("a snapshot of revision {found} is older than {ours}")]
    Old {
        /// Revision of the news.
        found: u64,
        /// Revision of this copy.
        ours: u64,
    },
}

/// Why a request to this dispatcher alone is refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotHere {
    /// There is no room for more local marks.
    #[error("no room for more local drains: at most {MAX_LOCAL}")]
    Full,
    /// The drain is agreed, so only the group takes it back.
    #[error("the drain is agreed by the group; take it back there")]
    Agreed,
    /// No drain mark of that name.
    #[error("no drain mark of that name")]
    Unknown,
}

/// What became of a drain that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// The group has it.
    Taken,
    /// The group had decided about it meanwhile: that holds, once it is in the copy.
    Overruled,
    /// The group cannot take it now; it stays local.
    Refused,
    /// It was none of ours any more.
    Unknown,
}

/// The copy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Follower {
    copy: Snapshot,
    local: BTreeMap<Name, Local>,
    /// When the keepers last said that this copy is what they have; not kept over a restart.
    #[serde(skip)]
    heard: Option<Duration>,
}

impl Follower {
    /// The revision of the copy.
    pub fn revision(&self) -> u64 {
        self.copy.revision
    }

    /// How long ago the keepers last confirmed this copy; `None`: not in this life.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_sub(heard))
    }

    /// The keepers say that nothing has changed since this revision.
    pub fn confirmed(&mut self, now: Duration, revision: u64) -> Result<(), Unfit> {
        if revision != self.copy.revision {
            return Err(Unfit::Gap { found: revision, ours: self.copy.revision });
        }
        self.heard = Some(now);
        Ok(())
    }

    /// Takes in the whole state.
    pub fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) -> Result<(), Unfit> {
        if snapshot.revision < self.copy.revision {
            return Err(Unfit::Old { found: snapshot.revision, ours: self.copy.revision });
        }
        self.copy = snapshot;
        self.settle(now);
        Ok(())
    }

    /// Takes in changes, which must follow on this copy without a gap; those that it has already are passed over.
    pub fn take_changes(&mut self, now: Duration, changes: &[Change]) -> Result<(), Unfit> {
        for change in changes.iter().filter(|c| c.revision > self.copy.revision).collect::<Vec<_>>() {
            if change.revision != self.copy.revision + 1 {
                return Err(Unfit::Gap { found: change.revision, ours: self.copy.revision });
            }
            for (key, value) in &change.items {
                match value {
                    Some(value) => {
                        let entry = Entry { value: value.clone(), revision: change.revision };
                        self.copy.entries.insert(key.clone(), entry);
                    }
                    None => {
                        self.copy.entries.remove(key);
                    }
                }
            }
            self.copy.revision = change.revision;
        }
        self.settle(now);
        Ok(())
    }

    fn settle(&mut self, now: Duration) {
        self.heard = Some(now);
        let revision = self.copy.revision;
        self.local.retain(|_, local| local.taken.is_none_or(|taken| taken > revision));
    }

    fn key_revision(&self, worker: &Name) -> u64 {
        self.copy.entries.get(&Key::Drain(worker.clone())).map_or(0, |e| e.revision)
    }

    /// A drain is asked for here. It holds from now on.
    pub fn drain(
        &mut self, worker: Name, id: RequestId, by: Name, at_ms: u64, why: Text,
    ) -> Result<(), NotHere> {
        if self.local.contains_key(&worker) {
            return Ok(());
        }
        if self.local.len() >= MAX_LOCAL {
            return Err(NotHere::Full);
        }
        let seen = self.key_revision(&worker);
        self.local.insert(worker, Local { id, by, at_ms, why, seen, taken: None });
        Ok(())
    }

    /// A local drain is taken back here. One that is agreed, or may be by now, only the group takes back.
    pub fn undrain(&mut self, worker: &Name) -> Result<(), NotHere> {
        let agreed = self.key_revision(worker) != 0;
        match self.local.get(worker) {
            Some(local) if local.taken.is_none() && !agreed => {
                self.local.remove(worker);
                Ok(())
            }
            None if !agreed => Err(NotHere::Unknown),
            _ => Err(NotHere::Agreed),
        }
    }

    /// The next local drain to offer to the group.
    pub fn offer(&self) -> Option<Command> {
        let (worker, local) = self.local.iter().find(|(_, local)| local.taken.is_none())?;
        let expect = vec![Expect { key: Key::Drain(worker.clone()), revision: local.seen }];
        let ops = vec![Op::Drain(worker.clone())];
        let act = Act::Change { ops, expect, why: local.why.clone() };
        Some(Command { id: local.id, by: local.by.clone(), at_ms: local.at_ms, act })
    }

    /// What the group answered to an offer.
    pub fn offered(&mut self, id: RequestId, answer: &Answer) -> Offered {
        let Some(worker) = self.local.iter().find(|(_, l)| l.id == id).map(|(w, _)| w.clone()) else {
            return Offered::Unknown;
        };
        // Either way the group has decided; the mark holds until this copy has what it decided.
        let (decided, became) = match answer {
            Ok(done) => (done.revision, Offered::Taken),
            Err(Refusal::Conflict { at, .. }) => (*at, Offered::Overruled),
            // There may be room later.
            Err(_) => return Offered::Refused,
        };
        if decided <= self.copy.revision {
            self.local.remove(&worker);
        } else if let Some(local) = self.local.get_mut(&worker) {
            local.taken = Some(decided);
        }
        became
    }

    /// Workers with a drain mark, agreed or local.
    pub fn drained(&self) -> BTreeSet<&Name> {
        let agreed = self.copy.entries.keys().filter_map(|key| match key {
            Key::Drain(worker) => Some(worker),
            _ => None,
        });
        agreed.chain(self.local.keys()).collect()
    }

    /// The revision of the newest agreed drain mark.
    pub fn newest_mark(&self) -> u64 {
        let marks = self.copy.entries.iter().take_while(|(key, _)| matches!(key, Key::Drain(_)));
        marks.map(|(_, entry)| entry.revision).max().unwrap_or(0)
    }

    /// Workers whose drain is local.
    pub fn local(&self) -> impl Iterator<Item = (&Name, &Local)> {
        self.local.iter()
    }

    /// The revision at which this life of a dispatcher was permitted to end, if it was.
    pub fn permitted(&self, dispatcher: &Name, life: RequestId) -> Option<u64> {
        let subject = Subject { kind: Kind::Dispatcher, name: dispatcher.clone() };
        match &self.copy.entries.get(&Key::Permit(subject))?.value {
            // One for a life before this one is none for this one, however old the copy is.
            Value::Permit(permit) if permit.life == Some(life) => permit.granted,
            _ => None,
        }
    }

    /// What a dispatcher that sees these workers has to tell of them.
    pub fn differs(&self, seen: &BTreeMap<Name, Seen>) -> Different {
        let agreed = |name: &Name| match self.copy.entries.get(&Key::Worker(name.clone())).map(|e| &e.value) {
            Some(Value::Worker(worker)) => worker.seen(),
            _ => None,
        };
        let new = seen.iter().filter(|(name, now)| agreed(name).as_ref() != Some(*now));
        let mut different: Different = new.map(|(name, now)| (name.clone(), Some(now.clone()))).collect();
        let gone = self.copy.entries.iter().filter_map(|(key, entry)| match (key, &entry.value) {
            (Key::Worker(name), Value::Worker(w)) if w.seen().is_some() && !seen.contains_key(name) => {
                Some(name)
            }
            _ => None,
        });
        different.extend(gone.map(|name| (name.clone(), None)));
        if let Some(beyond) = different.keys().nth(MAX_DIFFERENT).cloned() {
            different.split_off(&beyond);
        }
        different
    }

    /// A setting's agreed value.
    pub fn setting(&self, name: &str) -> Option<f64> {
        match self.copy.entries.get(&Key::Setting(name.parse().ok()?))?.value {
            Value::Setting(value) => Some(value),
            _ => None,
        }
    }

    /// The copy.
    pub fn copy(&self) -> &Snapshot {
        &self.copy
    }
}
