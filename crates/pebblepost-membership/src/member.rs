//! Members and what is said about them.

use std::net::SocketAddrV4;

/// Longest name of a member.
pub const MOST_NAME_BYTES: usize = 64;
/// Longest payload of a member.
pub const MOST_PAYLOAD_BYTES: usize = 64;

/// A process that takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique name, at most 64 bytes. A restarted process keeps it.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddrV4,
    /// Anything the caller wants others to know (role, zone), at most 64 bytes.
    pub payload: Vec<u8>,
    /// Rises with each life of the process, and when it refutes its own death.
    pub incarnation: u64,
}

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers, or is said to.
    Alive,
    /// It did not answer; it can still refute this.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl MemberState {
    /// The member may take part: alive or only suspected.
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

/// A piece of news: a member and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Update {
    pub(crate) member: Member,
    pub(crate) state: MemberState,
}

impl Update {
    /// The news replaces other news about the same member.
    pub(crate) fn supersedes(&self, other: &Update) -> bool {
        (self.member.incarnation, self.state) > (other.member.incarnation, other.state)
    }
}
