//! pebblepost: a dispatcher on real sockets around the decisions of [`pebblepost_dispatch`].
//!
//! `docs/architecture.md` tells the life of a request and who owns what.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod buffer;
pub mod checksummed_file;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod fleet_agent;
pub mod front;
pub mod health;
pub mod http;
pub mod name_hash;
pub mod net;
pub mod operator;
pub mod sight;
pub mod store_replica;
pub mod timer_queue;
pub mod turn;
pub mod workers;
