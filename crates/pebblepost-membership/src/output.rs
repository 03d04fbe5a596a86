//! The outputs of the membership protocol, for its caller.

use crate::member::{Member, MemberState};
use std::net::SocketAddrV4;

/// An action that the caller must carry out, or a change that it must know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddrV4,
        /// Bytes of the datagram, at most 1,200.
        datagram: Vec<u8>,
    },
    /// The state or the incarnation of another member has changed, and with it possibly its address or payload.
    MemberChanged {
        /// The member with its current incarnation, address and payload.
        member: Member,
        /// The current state of the member.
        state: MemberState,
    },
}
