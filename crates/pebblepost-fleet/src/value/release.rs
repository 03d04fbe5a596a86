//! A release: all dispatchers change to a version, wave by wave.

use super::permit::Limit;
use crate::name::{Name, Text};
use serde::{Deserialize, Serialize};

/// A release in progress. How many dispatchers have reached its version is a rule of the state as well: a
/// faulty version never gets past its wave, whoever drives the release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The version that all dispatchers get.
    #[serde(rename = "want")]
    pub version: Text,
    /// The version that is given up, in a rollback.
    #[serde(rename = "from")]
    pub rolled_back_version: Option<Text>,
    /// How many dispatchers may have the version in each wave, those of earlier waves included.
    pub waves: Vec<Limit>,
    /// The present wave, counted from 0.
    #[serde(rename = "wave")]
    pub current_wave: u32,
    /// The order of zones, those not named last: no dispatcher goes while one of an earlier zone waits.
    #[serde(rename = "zones", default)]
    pub zone_order: Vec<Text>,
    /// Who began it.
    #[serde(rename = "by")]
    pub begun_by: Name,
    /// That issuer's wall clock, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub begun_at_ms: u64,
}

impl Release {
    /// How many of that total may have the version in the present wave. At least one, or a wave of a small
    /// fraction would never end.
    pub fn wave_limit(&self, total: usize) -> usize {
        let wave = (self.current_wave as usize).min(self.waves.len().saturating_sub(1));
        self.waves.get(wave).map_or(total, |limit| limit.resolve(total).max(1))
    }

    /// The position of a zone in the order of zones.
    pub(crate) fn zone_position(&self, zone: &str) -> usize {
        self.zone_order.iter().position(|listed| listed.as_str() == zone).unwrap_or(self.zone_order.len())
    }

    /// Whether the present wave is the last one.
    pub fn is_last_wave(&self) -> bool {
        self.current_wave as usize + 1 >= self.waves.len()
    }

    /// Whether it is a rollback.
    pub fn is_rollback(&self) -> bool {
        self.rolled_back_version.is_some()
    }
}
