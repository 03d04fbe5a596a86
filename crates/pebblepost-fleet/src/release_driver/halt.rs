//! Why a driver halts a release.

use crate::name::Text;
use std::time::Duration;
use thiserror::Error;

/// Why a release has to halt. The text is the reason in the history.
#[derive(Clone, Debug, Error, PartialEq)]
pub(super) enum HaltReason {
    /// Dispatchers with the new version crash.
    #[error("{crashes} crashes of dispatchers with version {version}")]
    Crashes { crashes: u64, version: Text },
    /// The wave is not complete in time.
    #[error("wave {wave} is not back within {timeout:?}")]
    WaveTimeout { wave: u32, timeout: Duration },
    /// The new version has a lower success rate.
    #[error("the new version serves {new:.3} of its requests, the old one {old:.3}")]
    LowerSuccessRate { new: f64, old: f64 },
    /// The new version answers nothing.
    #[error("the new version answers nothing, the old one {old_answers} requests")]
    NoAnswers { old_answers: u64 },
    /// Not all dispatchers have reported their requests.
    #[error("not all dispatchers that are there are heard by the keepers")]
    MissingReports,
}
