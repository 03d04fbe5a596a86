//! The agreed store under faults: real replicas, clients that change and read, and a judge that knows only what they saw.
//!
//! * [`cluster`]: the replicas as processes, the relays between them, and the faults that are injected
//! * [`connection`], [`client`]: the store's protocol, and a client that speaks it
//! * [`history`] and [`consistency`]: what clients asked and were answered, and whether one copy would have answered so
//! * [`plan`], [`run`]: a trial, and all of these together
//! * [`mass_restart`]: many dispatchers that come back at once
//! * [`client_impact`]: what replicas that fail do to the clients of dispatchers
//!
//! It never uses the store's own code: the protocol is spoken from its description.

pub mod client;
pub mod client_impact;
pub mod cluster;
pub mod connection;
pub mod consistency;
mod follower;
pub mod history;
mod load;
pub mod mass_restart;
pub mod plan;
mod replacement;
pub mod retry;
pub mod run;
