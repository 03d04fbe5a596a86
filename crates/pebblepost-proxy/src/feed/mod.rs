//! Feed of the control plane, relayed by the agent of this machine.
//!
//! `agent_link` receives updates and acknowledges them, `updater` applies them, and `cache` holds the
//! resulting state.

mod agent_link;
mod cache;
mod updater;

pub(crate) use cache::FeedCache;
pub use updater::ApplyOutcome;
pub(crate) use updater::FeedUpdater;

pub(crate) use agent_link::run as run_agent_link;
