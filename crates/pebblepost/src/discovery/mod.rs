//! The list of workers from discovery, and the watch that keeps it up to date.
//!
//! [`registry`] owns the state of each worker and decides what of it is reported to the engine. [`watch`] keeps a call to
//! discovery open and does not interpret the lists that it receives. Neither decides which worker a request is sent to.

pub(crate) mod call;
mod endpoint_list;
pub mod registry;
pub mod watch;
