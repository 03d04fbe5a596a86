//! Publication of the feed: configuration, transcribers, groups and named versions, to agents, storage nodes and
//! standbys.
//!
//! Owns who subscribes, what was sent to whom and what was acknowledged, while this process is primary. It has a copy
//! of what is published; the sources (replicated state, registry) are changed elsewhere.

mod pending;
mod publisher;
mod subscriptions;

pub use pending::Urgency;
pub use publisher::{FeedAction, FeedPublisher, PublishedConfiguration, PublishedPatch, SharedUpdates};
pub use subscriptions::{ConnectionId, SubscriberStatus};
