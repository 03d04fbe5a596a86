//! The reasons for which the driver halts a release.

use crate::name::Text;
use std::time::Duration;
use thiserror::Error;

/// The reason why a release has to halt. Its text is stored in the history.
#[derive(Clone, Debug, Error, PartialEq)]
pub(super) enum HaltReason {
    /// Dispatchers with the new version have crashed.
    #[error("{crashes} crashes of dispatchers with version {version}")]
    Crashes { crashes: u64, version: Text },
    /// The wave was not complete within its time limit.
    #[error("wave {wave} is not back within {timeout:?}")]
    WaveTimeout { wave: u32, timeout: Duration },
    /// The new version has a lower success rate.
    #[error("the new version serves {new:.3} of its requests, the old one {old:.3}")]
    LowerSuccessRate { new: f64, old: f64 },
    /// The new version has answered no requests, while the old one has answered enough.
    #[error("the new version answers nothing, the old one {old_answers} requests")]
    NoAnswers { old_answers: u64 },
    /// Not all present dispatchers have reported their requests.
    #[error("not all dispatchers that are there are heard by the keepers")]
    MissingReports,
}
