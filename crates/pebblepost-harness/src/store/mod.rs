//! The agreed store under faults: real keepers, desks that change and read, and a judge that knows only what they saw.
//!
//! [`group`] runs the keepers and lets faults happen, [`desk`] speaks to them in frames of its own, [`witness`] writes
//! down what was asked and answered, [`verdict`] judges that, [`run`] puts them together.
//! [`herd`] has many dispatchers come back at once, [`serving`] measures what all of it does to the clients of dispatchers.

pub mod desk;
pub mod group;
pub mod herd;
pub mod run;
pub mod serving;
pub mod verdict;
pub mod witness;
