//! Members and updates about them.

use std::net::SocketAddrV4;

/// Longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest payload of a member, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;

/// A process that takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique name, at most 64 bytes. A restarted process keeps it.
    pub name: String,
    /// Address at which it receives datagrams.
    pub address: SocketAddrV4,
    /// Anything that the caller wants others to know (role, zone), at most 64 bytes.
    pub payload: Vec<u8>,
    /// Rises with each start of the process, and when it refutes a suspicion.
    pub incarnation: u64,
}

/// The state of a member, as another one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers, or an update says so.
    Alive,
    /// It did not acknowledge a probe; it can still refute this.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It has left by itself.
    Left,
}

impl MemberState {
    /// Whether the member may take part: alive or only suspected.
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
    /// Whether it replaces another update about the same member.
    pub(crate) fn supersedes(&self, other: &Update) -> bool {
        (self.member.incarnation, self.state) > (other.member.incarnation, other.state)
    }
}
