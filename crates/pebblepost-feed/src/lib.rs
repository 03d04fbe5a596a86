//! State of the data plane, folded from the updates of the feed.
//!
//! Every program that receives the feed (proxies, agents, stores, standby control processes) and the control
//! primary that publishes it hold a [`FeedState`]. The crate owns that state and the rules by which it changes: it
//! is monotonic, so an older configuration, announcement, epoch or version is ignored. It never does I/O and holds
//! no clock; the messages are those of `pebblepost-messages`.

mod changes;
pub mod compression;
mod instance_table;
mod state;

pub use changes::FeedChanges;
pub use state::FeedState;
