//! Publication of the feed: configuration, instances, store groups and named versions are sent to agents, storage nodes
//! and standbys.
//!
//! Owns the subscriptions of a primary: what was sent to each subscriber and what it has acknowledged. It holds a
//! copy of the published data; the sources (replicated state and registry) are changed elsewhere.

mod pending;
mod publisher;
mod subscriptions;

pub use pending::Urgency;
pub use publisher::{FeedAction, FeedPublisher, PublishedConfiguration, PublishedPatch, SharedUpdates};
pub use subscriptions::{ConnectionId, SubscriberStatus};
