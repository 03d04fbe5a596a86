//! Releases under faults: real dispatchers that are restarted one version after another, by drivers that are doubled and
//! killed, while keepers and dispatchers break; and a judge that knows only what was seen from outside.
//!
//! [`office`] is where operators ask, [`hands`] switch workers off by permits and judge what comes to these, [`witness`] judges the
//! outages that the supervisor saw, [`scribe`] the grants, [`run`] puts all together.

pub mod hands;
pub mod office;
pub mod run;
pub mod scribe;
pub mod witness;
