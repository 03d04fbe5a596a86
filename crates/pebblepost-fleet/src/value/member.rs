//! Members of the fleet: dispatchers and replicas with their sessions and incarnations.

use crate::name::{IncarnationId, Text};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What a member says about itself when it joins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberInfo {
    /// Its role.
    pub role: Role,
    /// The version of its program.
    #[serde(default)]
    pub version: Text,
    /// Its address.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub zone: Text,
    /// Whether it accepts new clients; see [`Action::ReportReadiness`](crate::Action::ReportReadiness).
    #[serde(default)]
    pub ready: bool,
}

/// The role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It dispatches requests to workers.
    Dispatcher,
    /// It is a replica of the Raft group.
    #[serde(rename = "keeper")]
    Replica,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// What it says about itself.
    #[serde(rename = "card")]
    pub info: MemberInfo,
    /// Counts its incarnations, from 1.
    pub incarnation: u64,
    /// Its session: a number that no earlier session had.
    pub session: u64,
    /// Whether the session lasts.
    pub presence: Presence,
    /// The sequence number of its last readiness report in this session.
    #[serde(rename = "reports", default)]
    pub last_report_sequence: u64,
    /// The present incarnation and those before it, the latest first.
    #[serde(rename = "lives")]
    pub(crate) incarnation_ids: VecDeque<IncarnationId>,
}

impl Member {
    /// The id of the present incarnation.
    pub fn incarnation_id(&self) -> Option<IncarnationId> {
        self.incarnation_ids.front().copied()
    }

    /// Whether it is a dispatcher.
    pub fn is_dispatcher(&self) -> bool {
        self.info.role == Role::Dispatcher
    }

    /// Whether it is absent, of unknown state, or not ready.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.presence != Presence::Present || !self.info.ready
    }
}

/// Whether a member is present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Its session lasts.
    #[serde(rename = "here")]
    Present,
    /// It ended its session itself.
    Left,
    /// Its session expired without heartbeats.
    Lost,
}
