//! Permits to take a dispatcher or worker out of service, and the disruption budgets that limit how many are
//! unavailable at once.

use crate::name::{IncarnationId, Name, Text};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use thiserror::Error;

/// Added before a fraction of a total is rounded down, so that 10% of 30 is 3 in spite of rounding errors.
const ROUNDING_MARGIN: f64 = 1e-9;

/// A limit, as a count or as a fraction of a total.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// A count.
    Count(u32),
    /// A fraction of the total, 0 to 1, rounded down.
    #[serde(rename = "share")]
    Fraction(f64),
}

/// A string is not a valid [`Limit`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ParseLimitError {
    /// The string is not a count.
    #[error("{text:?} is neither a count nor a percentage: {cause}")]
    Count {
        /// Rejected string.
        text: String,
        /// Error of the number parser.
        cause: ParseIntError,
    },
    /// The string ends in `%` and is not a percentage.
    #[error("{text:?} is neither a count nor a percentage: {cause}")]
    Percentage {
        /// Rejected string.
        text: String,
        /// Error of the number parser.
        cause: ParseFloatError,
    },
    /// The percentage is out of range.
    #[error("percentage {0:?} is not between 0% and 100%")]
    OutOfRange(String),
}

impl Limit {
    /// Returns the limit as a count out of `total`.
    pub fn resolve(self, total: usize) -> usize {
        match self {
            Self::Count(count) => count as usize,
            Self::Fraction(fraction) => (total as f64 * fraction.clamp(0.0, 1.0) + ROUNDING_MARGIN) as usize,
        }
    }

    /// Returns whether the limit is a count, or a fraction between 0 and 1.
    pub fn is_valid(self) -> bool {
        !matches!(self, Self::Fraction(fraction) if !(0.0..=1.0).contains(&fraction))
    }
}

impl FromStr for Limit {
    type Err = ParseLimitError;

    /// Parses a count such as `3` or a percentage such as `10%`.
    fn from_str(text: &str) -> Result<Self, ParseLimitError> {
        let owned = || text.to_owned();
        let limit = match text.strip_suffix('%') {
            Some(percentage) => percentage
                .parse()
                .map(|percent: f64| Self::Fraction(percent / 100.0))
                .map_err(|cause| ParseLimitError::Percentage { text: owned(), cause })?,
            None => text
                .parse()
                .map(Self::Count)
                .map_err(|cause| ParseLimitError::Count { text: owned(), cause })?,
        };
        if limit.is_valid() { Ok(limit) } else { Err(ParseLimitError::OutOfRange(owned())) }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Count(count) => write!(f, "{count}"),
            Self::Fraction(fraction) => write!(f, "{}%", fraction * 100.0),
        }
    }
}

/// A disruption budget: how many dispatchers, or how many workers, may be unavailable at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Maximum number unavailable in the fleet.
    #[serde(rename = "most")]
    pub max_unavailable: Limit,
    /// Maximum number unavailable in each zone; if `None`, only the fleet's limit applies.
    #[serde(rename = "most_in_zone", default)]
    pub max_unavailable_per_zone: Option<Limit>,
    /// Maximum number unavailable of each machine type; if `None`, only the fleet's limit applies.
    #[serde(rename = "most_in_kind", default)]
    pub max_unavailable_per_machine_type: Option<Limit>,
    /// Minimum number available in each zone.
    #[serde(rename = "least_in_zone", default)]
    pub min_available_per_zone: u32,
}

impl Budget {
    /// Returns whether all limits are valid.
    pub fn is_valid(&self) -> bool {
        [Some(self.max_unavailable), self.max_unavailable_per_zone, self.max_unavailable_per_machine_type]
            .into_iter()
            .flatten()
            .all(Limit::is_valid)
    }

    /// Returns how many may be unavailable in a zone of `total`.
    pub(crate) fn zone_limit(&self, total: usize) -> usize {
        let limit = self.max_unavailable_per_zone.map_or(usize::MAX, |limit| limit.resolve(total));
        limit.min(total.saturating_sub(self.min_available_per_zone as usize))
    }

    /// Returns how many of `total` machines of one type may be unavailable.
    pub(crate) fn machine_type_limit(&self, total: usize) -> usize {
        self.max_unavailable_per_machine_type.map_or(usize::MAX, |limit| limit.resolve(total))
    }
}

/// A permit to be taken out of service, requested or granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    /// Operator or member that requested the permit.
    #[serde(rename = "by")]
    pub requested_by: Name,
    /// Wall clock of the requester, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub requested_at_ms: u64,
    /// Reason given with the request.
    #[serde(rename = "why")]
    pub reason: Text,
    /// Whether the request is granted before those that are not urgent. The budget applies to it as well.
    pub urgent: bool,
    /// Version with which a dispatcher has to return; any if empty.
    #[serde(rename = "want")]
    pub version: Text,
    /// Revision of the request, which orders equally urgent requests.
    #[serde(rename = "asked")]
    pub requested_at_revision: u64,
    /// Revision of the grant, or `None` while the permit waits. Only the return of the subject or a forced
    /// completion by an operator ends a granted permit.
    #[serde(rename = "granted")]
    pub granted_at_revision: Option<u64>,
    /// Incarnation of the dispatcher that has to end.
    #[serde(rename = "life")]
    pub incarnation_id: Option<IncarnationId>,
}

impl Permit {
    /// Returns whether the permit is granted.
    pub fn is_granted(&self) -> bool {
        self.granted_at_revision.is_some()
    }
}
