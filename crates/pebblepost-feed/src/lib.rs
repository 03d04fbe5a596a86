//! State of the data plane, built from the updates of the feed.
//!
//! A [`FeedState`] is held by every program that receives the feed (proxies, agents, stores, standby control
//! processes) and by the control primary that publishes it. The state is monotonic: an older configuration,
//! announcement, epoch or version is ignored.
//!
//! The crate does no I/O and reads no clock. `pebblepost-messages` defines the messages.

mod changes;
pub mod compression;
mod instance_table;
mod state;

pub use changes::FeedChanges;
pub use state::FeedState;
