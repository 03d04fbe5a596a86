//! pebblepost is a dispatcher daemon that sends requests and queued jobs to workers, as decided by [`pebblepost_dispatch`].
//!
//! The daemon runs one event loop on one thread. Its layers, from the bottom up:
//!
//! - Sockets and timers: [`net`] and [`timer_queue`].
//! - State: the requests in flight in the [`engine`], and the known workers in the [`discovery::registry`].
//! - Protocols: [`front`], [`workers`] and [`discovery::watch`].
//! - The [`daemon`], which routes events between these modules.
//!
//! The fleet agent ([`fleet_agent`]) runs on a thread of its own. `docs/daemon.md` follows a request through the daemon.
//!
//! The same program also runs a replica of the fleet store ([`store_replica`]) and the operators' commands for the store
//! ([`operator`]).

pub mod buffer;
pub mod checksummed_file;
pub mod clock;
pub mod config;
pub mod connection_key;
pub mod connection_role;
pub mod context;
pub mod daemon;
pub mod discovery;
pub mod engine;
pub mod fleet_agent;
pub mod front;
pub mod http;
pub mod name_hash;
pub mod net;
pub mod operator;
pub mod store_replica;
pub mod timer;
pub mod timer_queue;
pub mod unanswered_probes;
pub mod workers;
