//! pebblepost: a dispatcher on real sockets around the decisions of [`pebblepost_dispatch`].
//!
//! One thread runs one event loop ([`daemon`]). From the bottom up: the sockets and timers ([`net`], [`timer_queue`]); the
//! engine with the requests in flight ([`engine`]) and the workers known ([`discovery::registry`]); the protocols that use
//! both ([`front`], [`workers`], [`discovery::watch`]); and the daemon that routes events between them. The fleet agent
//! ([`fleet_agent`]) is a thread of its own. `docs/daemon.md` follows a request through the daemon.
//!
//! The same program runs a replica of the fleet store ([`store_replica`]) and the operators' commands for it ([`operator`]).

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
