//! Discovery: the list of workers, and the watch that keeps it up to date.
//!
//! [`registry`] owns what is known of each worker and decides what the engine learns of it; [`watch`] keeps a call to
//! discovery open and never interprets a list. Which worker a request goes to is not decided here.

pub(crate) mod call;
mod endpoint_list;
pub mod registry;
pub mod watch;
