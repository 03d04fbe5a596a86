//! The feed of the control plane, as the agent of this machine passes it on.
//!
//! `cache` owns what the feed has delivered, `updater` brings updates into force, `agent_link`
//! receives and acknowledges them.

mod agent_link;
mod cache;
mod updater;

pub(crate) use cache::FeedCache;
pub use updater::ApplyOutcome;
pub(crate) use updater::FeedUpdater;

pub(crate) use agent_link::run as run_agent_link;
