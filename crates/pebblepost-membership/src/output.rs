//! What the membership asks its caller to do.

use crate::member::{Member, MemberState};
use std::net::SocketAddrV4;

/// Something to be done by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddrV4,
        /// Its bytes, at most 1,200.
        datagram: Vec<u8>,
    },
    /// The state, incarnation or address of another member has changed.
    Changed {
        /// The member as it is now known.
        member: Member,
        /// Its state.
        state: MemberState,
    },
}
