//! The request counts of all dispatchers, from which the driver of a release compares versions.

use super::Sessions;
use crate::heartbeat::RequestCounts;
use crate::name::{IncarnationId, Name, Text};
use crate::state::State;
use crate::value::Presence;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The requests of one incarnation of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRequests {
    /// Id of the incarnation.
    #[serde(rename = "life")]
    pub incarnation_id: IncarnationId,
    /// Version of the dispatcher.
    pub version: Text,
    /// Counts of its requests.
    #[serde(rename = "counts")]
    pub requests: RequestCounts,
}

/// Returns the requests of all members that are present and have reported.
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
