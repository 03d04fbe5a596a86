//! Tests of the planner: reactions to single events, version lags, and simulated fleets.

mod fleet;
mod planner;
mod simulation;
mod version_lag;
