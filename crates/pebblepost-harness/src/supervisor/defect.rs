//! Simulated defects of versions of the dispatchers' program. The prefix of a version's name selects its defect.

use std::time::Duration;

/// Time after each start at which a version with [`VersionDefect::Crashes`] crashes.
pub(super) const CRASH_DELAY: Duration = Duration::from_secs(2);

/// A defect of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionDefect {
    /// The program crashes soon after each start. Prefix `crashes`.
    Crashes,
    /// The configuration makes the program reject a large part of the requests that it could serve. Prefix `refuses`.
    RejectsRequests,
}

impl VersionDefect {
    /// All defects.
    pub const ALL: [Self; 2] = [Self::Crashes, Self::RejectsRequests];

    /// Returns the prefix of the names of versions with this defect.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crashes => "crashes",
            Self::RejectsRequests => "refuses",
        }
    }

    /// Returns the defect of a version, or `None` if it has none.
    pub fn of(version: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|defect| version.starts_with(defect.name()))
    }
}
