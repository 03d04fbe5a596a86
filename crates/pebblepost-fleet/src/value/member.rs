//! Members of the fleet: dispatchers and replicas with their sessions and incarnations.

use crate::name::{IncarnationId, Text};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Information that a member reports about itself when it joins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberInfo {
    /// Role of the member.
    pub role: Role,
    /// Version of its program.
    #[serde(default)]
    pub version: Text,
    /// Address of the member, if it has one.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Zone of the member; empty if it has none.
    #[serde(default)]
    pub zone: Text,
    /// Whether the member accepts new clients; see
    /// [`Action::ReportReadiness`](crate::Action::ReportReadiness).
    #[serde(default)]
    pub ready: bool,
}

/// The role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Dispatches requests to workers.
    Dispatcher,
    /// Is a replica of the Raft group.
    #[serde(rename = "keeper")]
    Replica,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// What the member reported when it joined, with its readiness as last reported.
    #[serde(rename = "card")]
    pub info: MemberInfo,
    /// Number of the present incarnation, counted from 1.
    pub incarnation: u64,
    /// Number of its session, which no earlier session had.
    pub session: u64,
    /// Whether the session is still valid.
    pub presence: Presence,
    /// Sequence number of the last readiness report in this session; 0 if there was none.
    #[serde(rename = "reports", default)]
    pub last_report_sequence: u64,
    /// Ids of the present incarnation and earlier ones, the latest first.
    #[serde(rename = "lives")]
    pub(crate) incarnation_ids: VecDeque<IncarnationId>,
}

impl Member {
    /// Returns the id of the present incarnation.
    pub fn incarnation_id(&self) -> Option<IncarnationId> {
        self.incarnation_ids.front().copied()
    }

    /// Returns whether the member is a dispatcher.
    pub fn is_dispatcher(&self) -> bool {
        self.info.role == Role::Dispatcher
    }

    /// Returns whether the member left, is lost, or is not ready.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.presence != Presence::Present || !self.info.ready
    }
}

/// State of a member's session: valid, or the way in which it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The session is valid.
    #[serde(rename = "here")]
    Present,
    /// The member ended its session itself.
    Left,
    /// The session expired without heartbeats.
    Lost,
}
