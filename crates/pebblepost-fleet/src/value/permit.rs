//! Permits and disruption budgets: which dispatcher or worker may be taken out of service, and how many at
//! once.

use crate::name::{IncarnationId, Name, Text};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use thiserror::Error;

/// Added before a fraction of a total is rounded down, so that a tenth of thirty is three.
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

/// Why a text is no [`Limit`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ParseLimitError {
    /// It is no count.
    #[error("{text:?} is neither a count nor a percentage: {cause}")]
    Count {
        /// The text.
        text: String,
        /// What is wrong with it.
        cause: ParseIntError,
    },
    /// It ends in `%` and is no percentage.
    #[error("{text:?} is neither a count nor a percentage: {cause}")]
    Percentage {
        /// The text.
        text: String,
        /// What is wrong with it.
        cause: ParseFloatError,
    },
    /// It is a percentage out of range.
    #[error("{0:?} is not within 0% and 100%")]
    OutOfRange(String),
}

impl Limit {
    /// The limit as a count, for that total.
    pub fn resolve(self, total: usize) -> usize {
        match self {
            Self::Count(count) => count as usize,
            Self::Fraction(fraction) => (total as f64 * fraction.clamp(0.0, 1.0) + ROUNDING_MARGIN) as usize,
        }
    }

    /// Whether a fraction is within 0 and 1.
    pub fn is_valid(self) -> bool {
        !matches!(self, Self::Fraction(fraction) if !(0.0..=1.0).contains(&fraction))
    }
}

impl FromStr for Limit {
    type Err = ParseLimitError;

    /// `3` or `10%`.
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

/// A disruption budget: how many of one kind may be unavailable at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Limit over the fleet.
    #[serde(rename = "most")]
    pub max_unavailable: Limit,
    /// Limit for each zone; `None`: only that of the fleet applies.
    #[serde(rename = "most_in_zone", default)]
    pub max_unavailable_per_zone: Option<Limit>,
    /// Limit for each type of machine; `None`: only that of the fleet applies.
    #[serde(rename = "most_in_kind", default)]
    pub max_unavailable_per_machine_type: Option<Limit>,
    /// How many stay available in each zone.
    #[serde(rename = "least_in_zone", default)]
    pub min_available_per_zone: u32,
}

impl Budget {
    /// Whether all of its limits are valid.
    pub fn is_valid(&self) -> bool {
        [Some(self.max_unavailable), self.max_unavailable_per_zone, self.max_unavailable_per_machine_type]
            .into_iter()
            .flatten()
            .all(Limit::is_valid)
    }

    /// How many may be unavailable in a zone with that total.
    pub(crate) fn zone_limit(&self, total: usize) -> usize {
        let limit = self.max_unavailable_per_zone.map_or(usize::MAX, |limit| limit.resolve(total));
        limit.min(total.saturating_sub(self.min_available_per_zone as usize))
    }

    /// How many may be unavailable of a type of machine with that total.
    pub(crate) fn machine_type_limit(&self, total: usize) -> usize {
        self.max_unavailable_per_machine_type.map_or(usize::MAX, |limit| limit.resolve(total))
    }
}

/// A permit to be taken out of service, requested or granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    /// Who requested it.
    #[serde(rename = "by")]
    pub requested_by: Name,
    /// The requester's wall clock, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub requested_at_ms: u64,
    /// The reason.
    #[serde(rename = "why")]
    pub reason: Text,
    /// Served before requests that are not urgent, but never beyond the budget.
    pub urgent: bool,
    /// The version with which a dispatcher has to return; empty: any.
    #[serde(rename = "want")]
    pub version: Text,
    /// The revision of the request, which is its position among equally urgent ones.
    #[serde(rename = "asked")]
    pub requested_at_revision: u64,
    /// The revision of the grant. Only the subject's return, or an operator's force, ends a granted permit.
    #[serde(rename = "granted")]
    pub granted_at_revision: Option<u64>,
    /// The incarnation of the dispatcher that is to end.
    #[serde(rename = "life")]
    pub incarnation_id: Option<IncarnationId>,
}

impl Permit {
    /// Whether it is granted.
    pub fn is_granted(&self) -> bool {
        self.granted_at_revision.is_some()
    }
}
