//! SWIM membership without I/O or clock.
//!
//! The caller hands in the time and the datagrams received, and sends what
//! [`Membership::take_outputs`] returns. Each period a member probes one other, directly and, if no
//! acknowledgement comes, through some others; a member that answers neither is suspected and,
//! unless it refutes this with a higher incarnation, declared dead. Updates are piggybacked on the
//! probes' datagrams. Terms are those of the SWIM paper (Das, Gupta, Motivala 2002).
//!
//! * `member`, `settings`, `output`: the types that cross the border.
//! * `member_table`, `gossip`, `probe_state`, `exchange_state`: state, each with the rules that need
//!   nothing else.
//! * `membership`: holds the state together; `probing`, `suspicion`, `exchange` and `protocol` are
//!   its decisions, by concern.
//! * `message`, `codec`: the datagrams. The codec is written by hand, as `nanoserde` reserves memory
//!   for any length that a datagram claims.

mod codec;
mod exchange;
mod exchange_state;
mod gossip;
mod member;
mod member_table;
mod membership;
mod message;
mod output;
mod probe_state;
mod probing;
mod protocol;
mod settings;
mod suspicion;

pub use member::{Member, MemberState};
pub use membership::Membership;
pub use output::Output;
pub use settings::Settings;
