//! Members, their states, and updates about them.

use std::net::SocketAddrV4;

/// Largest length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Largest length of a member's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;

/// A process that takes part in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique name of at most 64 bytes. A process keeps its name when it restarts.
    pub name: String,
    /// Address at which the process receives datagrams.
    pub address: SocketAddrV4,
    /// Data that the caller wants other members to know (role, zone), at most 64 bytes.
    pub payload: Vec<u8>,
    /// Incarnation number. It increases with each start of the process and with each suspicion that it refutes.
    pub incarnation: u64,
}

/// The state of a member as another member knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers probes, or an update says that it does.
    Alive,
    /// The member did not acknowledge a probe, but can still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member has left on its own.
    Left,
}

impl MemberState {
    /// Returns whether the member still counts as part of the group: it is alive or suspected.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }

    pub(crate) fn code(self) -> u8 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        }
    }

    pub(crate) fn from_code(code: u8) -> Option<MemberState> {
        match code {
            0 => Some(MemberState::Alive),
            1 => Some(MemberState::Suspect),
            2 => Some(MemberState::Dead),
            3 => Some(MemberState::Left),
            _ => None,
        }
    }
}

/// An update: a member and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Update {
    pub(crate) member: Member,
    pub(crate) state: MemberState,
}

impl Update {
    /// Returns whether this update replaces another one about the same member.
    ///
    /// A higher incarnation takes precedence; under the same incarnation, the later state in the order of
    /// [`MemberState`] does.
    pub(crate) fn supersedes(&self, other: &Update) -> bool {
        (self.member.incarnation, self.state) > (other.member.incarnation, other.state)
    }
}
