//! What a dispatcher does, as it tells with its beats: how far it acts by what is agreed, at which drained workers it still has
//! attempts out, how its requests go, and what it sees of the workers. Like the beats themselves this is soft state at the
//! leader of the keepers and is not agreed: it would be a command from each dispatcher for each worker that goes.

use crate::name::Name;
use crate::sight::{Different, MAX_DIFFERENT};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Most workers that a dispatcher names as busy. With more it confirms nothing.
pub const MAX_BUSY: usize = 64;

/// What a dispatcher does now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Doing {
    /// All that is agreed up to this revision is in force there and, where it keeps a copy, kept.
    pub acts_by: u64,
    /// Workers with a drain mark at which it still has attempts out.
    pub busy: BTreeSet<Name>,
    /// How its requests went.
    pub counts: Counts,
    /// What it sees of the workers that differs from the agreed list.
    #[serde(default)]
    pub differs: Different,
}

impl Doing {
    /// With the lists bounded: busy workers that cannot be named in full are not confirmed at all.
    pub fn bounded(mut self) -> Self {
        if self.differs.len() > MAX_DIFFERENT {
            self.differs.clear();
        }
        match self.busy.len() {
            0..=MAX_BUSY => self,
            _ => Self { acts_by: 0, busy: BTreeSet::new(), ..self },
        }
    }
}

/// How a dispatcher's requests went, since its process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Counts {
    /// Final answers given.
    pub answered: u64,
    /// Those of them that were served.
    pub served: u64,
}
