//! Program of the core machines.
//!
//! Everything but [`program`], its tasks and [`http`] is without I/O: [`core`] takes what happened and says
//! what has to be done.
//!
//! * [`state`], [`command`], [`history`]: the replicated control state and its log's entries.
//! * [`registry`], [`announcement`], [`departures`]: registrations of transcribers.
//! * [`feed_server`]: the feed to agents, storage machines and standbys.
//! * [`placement`], [`stores`]: groups of batch jobs on storage machines.
//! * [`orders`]: orders to transcribers.
//! * [`founding`], [`peers`], [`witnesses`]: the control group itself.
//! * [`api`]: calls and answers of the HTTP interface.

pub mod api;
pub mod feed;
pub mod hash;
pub mod http;
pub mod load_order;
pub mod membership;
pub mod node;
pub mod program;
pub mod registry;
mod shell;
pub mod state;
pub mod storage;
pub mod tasks;

pub use program::run;
