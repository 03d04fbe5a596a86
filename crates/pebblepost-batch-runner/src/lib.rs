//! Executes leased batch items at transcribers, and answers the calls of batch jobs, inside a proxy.
//!
//! Modules, from below. Each `use`s only those above it in this list:
//!
//! * Foundations: [`random`], [`metrics`], `identity`, `feed_view`, `change_signal`, `shutdown`.
//! * State: [`text`] and [`item_progress`] (what is known of an item), [`lease_table`] and `lease_terms` (what may be
//!   sent), [`load_table`] (load of the transcribers), `capacity` (items in flight).
//! * Decisions: [`placement`] (which transcriber takes a request).
//! * Links: `store` (connections to the stores, outcomes on their way).
//! * Input and output: [`execution`] (attempts, retries, scorers, shutdown), [`job`] (the HTTP face), and
//!   `store_events`, which acts on the messages of the stores.
//! * `runner` builds the parts, connects them and starts their tasks.
//!
//! Owns the leases and the items in flight of one proxy, nothing on disk: jobs, items and results are the stores', the
//! feed's state is the proxy's. Never changes a configuration and never gives a lease.
//!
//! Everything runs on a current-thread `tokio` runtime (`spawn_local`), so nothing here is `Send`.

mod capacity;
mod change_signal;
pub mod execution;
mod feed_view;
mod identity;
pub mod item_progress;
pub mod job;
pub mod lease_table;
mod lease_terms;
pub mod load_table;
pub mod metrics;
pub mod placement;
pub mod random;
mod runner;
mod shutdown;
mod store;
mod store_events;
pub mod text;

pub use runner::BatchRunner;
