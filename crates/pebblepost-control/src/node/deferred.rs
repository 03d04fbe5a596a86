//! Messages and requests that arrive while no primary is known. They are held back for a short time, so that they can
//! be served or redirected as soon as there is one.

use super::events::RequestId;
use crate::api::HttpRequest;
use crate::feed::ConnectionId;
use pebblepost_messages::control::ToControl;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which the messages of a link are deferred. It is short because this node itself may be partitioned from the
/// others.
const LINK_DEFERRAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an HTTP request is deferred. A caller tries another node after one second without a response, and a
/// takeover takes less.
const REQUEST_DEFERRAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of deferred requests from which on no registrations are deferred. Transcribers repeat them, so the remaining
/// capacity is reserved for other requests.
const MAX_DEFERRED_REQUESTS_FOR_REGISTRATION: usize = 256;
/// Limit on deferred HTTP requests.
const MAX_DEFERRED_REQUESTS: usize = 512;

#[derive(Debug)]
struct Deferred<T> {
    payload: T,
    since: Duration,
}

/// Messages of agents and storage nodes by link, and HTTP requests, that wait for a primary.
#[derive(Debug, Default)]
pub(super) struct DeferredRequests {
    links: BTreeMap<ConnectionId, Deferred<Vec<ToControl>>>,
    requests: BTreeMap<RequestId, Deferred<HttpRequest>>,
}

impl DeferredRequests {
    /// Defers a message of a link. The time limit of a link runs from its first deferred message.
    pub(super) fn defer_message(&mut self, now: Duration, connection: ConnectionId, message: ToControl) {
        let first = || Deferred { payload: Vec::new(), since: now };
        self.links.entry(connection).or_insert_with(first).payload.push(message);
    }

    /// Defers an HTTP request. The caller has to check [`Self::has_capacity`] first.
    pub(super) fn defer_request(&mut self, now: Duration, id: RequestId, request: HttpRequest) {
        self.requests.insert(id, Deferred { payload: request, since: now });
    }

    /// Returns whether there is capacity to defer this HTTP request.
    pub(super) fn has_capacity(&self, request: &HttpRequest) -> bool {
        let max = if request.is_registration() {
            MAX_DEFERRED_REQUESTS_FOR_REGISTRATION
        } else {
            MAX_DEFERRED_REQUESTS
        };
        self.requests.len() < max
    }

    /// Drops the messages of a closed link.
    pub(super) fn remove_link(&mut self, connection: ConnectionId) {
        self.links.remove(&connection);
    }

    /// Returns whether messages of a link are deferred. Nothing may be sent on such a link, because the other end
    /// would take it for the primary's response.
    pub(super) fn contains_link(&self, connection: ConnectionId) -> bool {
        self.links.contains_key(&connection)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.links.is_empty() && self.requests.is_empty()
    }

    /// Removes and returns the messages of all links if `release_all` is set, otherwise of those that have reached
    /// their time limit.
    pub(super) fn take_links(
        &mut self, now: Duration, release_all: bool,
    ) -> Vec<(ConnectionId, Vec<ToControl>)> {
        take(&mut self.links, now, LINK_DEFERRAL_TIMEOUT, release_all)
    }

    /// Removes and returns all HTTP requests if `release_all` is set, otherwise those that have reached their time
    /// limit.
    pub(super) fn take_requests(
        &mut self, now: Duration, release_all: bool,
    ) -> Vec<(RequestId, HttpRequest)> {
        take(&mut self.requests, now, REQUEST_DEFERRAL_TIMEOUT, release_all)
    }
}

fn take<K: Ord + Copy, T>(
    waiting: &mut BTreeMap<K, Deferred<T>>, now: Duration, max_wait: Duration, release_all: bool,
) -> Vec<(K, T)> {
    let is_due = |deferred: &Deferred<T>| release_all || now.saturating_sub(deferred.since) >= max_wait;
    let due = waiting.extract_if(.., |_, deferred| is_due(deferred));
    due.map(|(key, deferred)| (key, deferred.payload)).collect()
}
