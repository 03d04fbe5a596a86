//! Release trials under faults. Real dispatchers are restarted with one version after another while replicas and
//! dispatchers fail. Each release is driven by two drivers that are killed at random. The checks use only what is
//! observed from outside.
//!
//! * [`plan`], [`summary`]: the parameters and the figures of a trial
//! * [`run`]: a trial as a whole
//! * [`operators`]: requests of operators to the store; [`maintenance`]: workers that are switched off under permits
//! * [`outages`]: checks the outages that the supervisor observed; [`grant_audit`]: checks grants against their
//!   budgets

mod dispatcher_faults;
pub mod grant_audit;
pub mod maintenance;
pub mod operators;
pub mod outages;
pub mod plan;
mod progress;
mod rollout;
pub mod run;
pub mod summary;
mod trial;
