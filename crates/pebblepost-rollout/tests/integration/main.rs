//! Tests of the planner: single exchanges, version lags, and simulated fleets.

mod fleet;
mod planner;
mod simulation;
mod version_lag;
