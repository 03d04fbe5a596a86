//! The requests of all dispatchers, by which a release's driver compares versions.

use super::Sessions;
use crate::heartbeat::RequestCounts;
use crate::name::{IncarnationId, Name, Text};
use crate::state::State;
use crate::value::Presence;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The requests of one dispatcher in one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRequests {
    /// The incarnation.
    #[serde(rename = "life")]
    pub incarnation_id: IncarnationId,
    /// Its version.
    pub version: Text,
    /// The requests.
    #[serde(rename = "counts")]
    pub requests: RequestCounts,
}

/// The requests of all dispatchers that are present and have reported.
pub fn request_totals(state: &State, sessions: &Sessions) -> BTreeMap<Name, IncarnationRequests> {
    let present = state.members().filter(|(_, member)| member.presence == Presence::Present);
    present
        .filter_map(|(name, member)| {
            let requests = sessions.report(name, member.session)?.requests;
            let (incarnation_id, version) = (member.incarnation_id()?, member.info.version.clone());
            Some((name.clone(), IncarnationRequests { incarnation_id, version, requests }))
        })
        .collect()
}
