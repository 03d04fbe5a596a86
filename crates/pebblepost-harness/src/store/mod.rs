//! The agreed store under faults: real replicas, clients that change and read, and a judge that knows only what they saw.
//!
//! * [`cluster`]: the replicas as processes, the relays between them, and the faults that are injected
//! * [`client`]: a client of the store's wire protocol
//! * [`history`] and [`consistency`]: what clients asked and were answered, and whether one copy would have answered so
//! * [`run`]: all of these together
//! * [`mass_restart`]: many dispatchers that come back at once
//! * [`client_impact`]: what replicas that fail do to the clients of dispatchers
//!
//! It never uses the store's own code: the protocol is spoken from its description.

pub mod client;
pub mod client_impact;
pub mod cluster;
pub mod consistency;
pub mod history;
pub mod mass_restart;
pub mod run;
