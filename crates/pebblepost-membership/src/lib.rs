//! SWIM membership without I/O or clock.
//!
//! The caller hands in the time and the datagrams received, and sends what
//! [`Membership::take_outputs`] returns. Each period a member probes one other, directly and, if
//! it stays silent, through some others; a member that answers neither is suspected and, unless it
//! refutes this with a higher incarnation, declared dead. News travels on the probes' datagrams.
//!
//! The codec is written by hand: nanoserde reserves memory for any length that a datagram claims.

mod codec;
mod gossip;
mod member;
mod membership;
mod message;
mod output;
mod probe;
mod settings;
mod table;

pub use member::{Member, MemberState};
pub use membership::Membership;
pub use output::Output;
pub use settings::Settings;
