//! The replicated store under faults: real replicas, clients that change and read the state, and a consistency check
//! that uses only what the clients observed.
//!
//! * [`cluster`]: the replicas as processes, the relays between them, and the injection of faults
//! * [`connection`], [`client`]: the store's protocol, and a client that implements it
//! * [`history`] and [`consistency`]: the operations of the clients, and the check of their consistency
//! * [`plan`], [`run`]: the parameters of a trial, and the trial as a whole
//! * [`mass_restart`]: many dispatchers that restart at the same time
//! * [`client_impact`]: how failures of replicas affect the clients of dispatchers
//!
//! This module does not use the store's own code: it implements the protocol from its documentation.

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
