//! Executes leased batch items at transcribers, and serves the HTTP calls of batch jobs, inside a proxy.
//!
//! Modules, from the lowest layer up. Each module uses only modules above it in this list:
//!
//! * Foundations: [`random`], [`metrics`], `identity`, `feed_view`, `change_signal`, `shutdown`, `text_blocks` and
//!   [`encoded_items`] (items of a submission in the encoding of the messages).
//! * State: [`text`] and [`item_progress`] (progress of an item), [`lease_table`] and `lease_terms` (validity and
//!   terms of leases), [`load_table`] (load of the transcribers), `capacity` (limit of items in flight).
//! * Decisions: [`placement`] (which transcriber executes a request).
//! * Links: `store` (connections to the stores, outcomes to be sent).
//! * Input and output: [`execution`] (attempts, retries, scorer calls, shutdown), [`job`] (the HTTP interface), and
//!   `store_events`, which handles the messages of the stores.
//! * `runner` builds the components, connects them and starts their tasks.
//!
//! The crate stores the leases and the items in flight of one proxy in memory only. Jobs, items and results are
//! stored by the stores, and the feed's state belongs to the proxy. The crate never changes a configuration and
//! never grants a lease.
//!
//! All tasks run on a current-thread `tokio` runtime (`spawn_local`), so the shared state and the futures are not `Send`.

mod capacity;
mod change_signal;
pub mod encoded_items;
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
mod text_blocks;

pub use job::JobBody;
pub use runner::BatchRunner;
