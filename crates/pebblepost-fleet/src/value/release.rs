//! Releases: all dispatchers change to a version, in waves.

use super::permit::Limit;
use crate::name::{Name, Text};
use serde::{Deserialize, Serialize};

/// A release in progress. The state itself limits how many dispatchers reach the version in each wave, so a
/// faulty version never gets past its wave, whichever process drives the release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Version to which all dispatchers change.
    #[serde(rename = "want")]
    pub version: Text,
    /// Version that a rollback replaces; `None` unless this is a rollback.
    #[serde(rename = "from")]
    pub rolled_back_version: Option<Text>,
    /// Number of dispatchers that may have the version in each wave, those of earlier waves included.
    pub waves: Vec<Limit>,
    /// Present wave, counted from 0.
    #[serde(rename = "wave")]
    pub current_wave: u32,
    /// Order of zones; zones that are not listed come last. No dispatcher gets a permit while one of an
    /// earlier zone waits.
    #[serde(rename = "zones", default)]
    pub zone_order: Vec<Text>,
    /// Operator or member that began the release.
    #[serde(rename = "by")]
    pub begun_by: Name,
    /// Wall clock of the issuer, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub begun_at_ms: u64,
}

impl Release {
    /// Returns how many of `total` dispatchers may have the version in the present wave. The limit is at
    /// least one: otherwise a wave of a small fraction would never end.
    pub fn wave_limit(&self, total: usize) -> usize {
        let wave = (self.current_wave as usize).min(self.waves.len().saturating_sub(1));
        self.waves.get(wave).map_or(total, |limit| limit.resolve(total).max(1))
    }

    /// Returns the position of a zone in the order of zones.
    pub(crate) fn zone_position(&self, zone: &str) -> usize {
        self.zone_order.iter().position(|listed| listed.as_str() == zone).unwrap_or(self.zone_order.len())
    }

    /// Returns whether the present wave is the last one.
    pub fn is_last_wave(&self) -> bool {
        self.current_wave as usize + 1 >= self.waves.len()
    }

    /// Returns whether the release is a rollback.
    pub fn is_rollback(&self) -> bool {
        self.rolled_back_version.is_some()
    }
}
