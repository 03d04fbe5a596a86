//! Membership of the control group: how it is bootstrapped, which control processes are known, which of them are
//! witnesses.
//!
//! Owns what this process knows of its peers. It decides nothing alone: changes of the witness set go through the
//! epoch register.

pub mod bootstrap;
mod message;
mod peers;
pub mod witnesses;

pub use message::{PeerMessage, PeerPayload};
pub use peers::{PeerStatus, Peers, members_of};
