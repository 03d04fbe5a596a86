//! Releases under faults: real dispatchers that are restarted one version after another, by drivers that are doubled and
//! killed, while replicas and dispatchers fail. What is judged is only what was seen from outside.
//!
//! * [`plan`], [`summary`]: what a trial is asked to consist of, and what came of it
//! * [`run`]: a trial as a whole
//! * [`operators`]: what operators ask of the store; [`maintenance`]: workers that are switched off by permits
//! * [`outages`]: judges the outages that the supervisor saw; [`grant_audit`]: judges the grants against their budgets

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
