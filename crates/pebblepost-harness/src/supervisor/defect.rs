//! Defective versions of the dispatchers' program, by how their names begin.

use std::time::Duration;

/// A version that crashes does so this long after each of its starts.
pub(super) const CRASHES_AFTER: Duration = Duration::from_secs(2);

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionDefect {
    /// `crashes`: it crashes soon after each of its starts.
    Crashes,
    /// `refuses`: its configuration makes it refuse a good part of what it could serve.
    Refuses,
}

impl VersionDefect {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Crashes, Self::Refuses];

    /// How the names of versions with it begin.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crashes => "crashes",
            Self::Refuses => "refuses",
        }
    }

    /// The defect of a version; `None`: it has none.
    pub fn of(version: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|defect| version.starts_with(defect.name()))
    }
}
