//! Membership of the control group: its bootstrap, the known control nodes, and the choice of witnesses.
//!
//! Owns what this node knows of its peers. Changes of the witness set are only proposed here; the epoch register
//! decides on them.

pub mod bootstrap;
mod message;
mod peers;
pub mod witnesses;

pub use message::{PeerMessage, PeerPayload};
pub use peers::{PeerStatus, Peers, members_of};
