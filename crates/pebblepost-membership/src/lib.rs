//! SWIM membership: failure detection and dissemination of member states.
//!
//! In each protocol period a member probes one other member directly. If no acknowledgement arrives, it asks some
//! other members to probe the same member. A member that answers neither is suspected, and declared dead unless it
//! refutes the suspicion with a higher incarnation. Updates are piggybacked on the datagrams of the probes. The terms
//! are those of the SWIM paper (Das, Gupta, Motivala 2002).
//!
//! The crate does no I/O and reads no clock. The caller passes in the time and the datagrams that it received, and
//! sends the datagrams that [`Membership::take_outputs`] returns.
//!
//! * `member`, `settings` and `output` define the types of the public interface.
//! * `member_table`, `gossip`, `probe_state` and `exchange_state` hold parts of the state, each with the rules that
//!   depend on this part alone.
//! * `membership` combines them. `probing`, `suspicion`, `exchange` and `protocol` implement the protocol on it.
//! * `message` and `codec` define the datagrams. The codec is written by hand because `nanoserde` reserves memory for
//!   any length that a datagram claims.

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
