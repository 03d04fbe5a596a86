//! Violations of the rules that the simulation checks.

use std::fmt;

/// The violation of a rule by a schedule.
#[derive(Clone, Debug)]
pub enum Violation {
    /// Something happened that must never happen.
    Safety(String),
    /// Something did not happen in time.
    Liveness(String),
}

impl Violation {
    /// Adds the time at which the violation was found.
    pub fn at(self, milliseconds: u64) -> Self {
        match self {
            Self::Safety(description) => Self::Safety(format!("at {milliseconds} ms: {description}")),
            Self::Liveness(description) => Self::Liveness(format!("at {milliseconds} ms: {description}")),
        }
    }

    pub fn is_safety(&self) -> bool {
        matches!(self, Self::Safety(_))
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Safety(description) => write!(f, "safety: {description}"),
            Self::Liveness(description) => write!(f, "liveness: {description}"),
        }
    }
}
