//! What arrives while no primary is known waits here for a short time, so that it is served as soon as there is one.

use super::events::RequestId;
use crate::api::HttpRequest;
use crate::feed::ConnectionId;
use pebblepost_messages::control::ToControl;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest wait of a link: this process may be the one that is partitioned.
const MAX_LINK_WAIT: Duration = Duration::from_millis(400);
/// Longest wait of an HTTP request: a caller goes elsewhere after a second of silence, and a takeover takes less.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(800);
/// Most registrations of transcribers that wait. They come again, so they leave room for others.
const MAX_REGISTRATIONS: usize = 256;
/// Most HTTP requests that wait.
const MAX_REQUESTS: usize = 512;

#[derive(Debug)]
struct Deferred<T> {
    content: T,
    since: Duration,
}

/// Links of agents and storage nodes with their messages, and HTTP requests, that wait for a primary.
#[derive(Debug, Default)]
pub(super) struct DeferredRequests {
    links: BTreeMap<ConnectionId, Deferred<Vec<ToControl>>>,
    requests: BTreeMap<RequestId, Deferred<HttpRequest>>,
}

impl DeferredRequests {
    /// Defers a message of a link.
    pub(super) fn defer_message(&mut self, now: Duration, connection: ConnectionId, message: ToControl) {
        let first = || Deferred { content: Vec::new(), since: now };
        self.links.entry(connection).or_insert_with(first).content.push(message);
    }

    /// Defers an HTTP request. There has to be capacity.
    pub(super) fn defer_request(&mut self, now: Duration, id: RequestId, request: HttpRequest) {
        self.requests.insert(id, Deferred { content: request, since: now });
    }

    /// Whether another HTTP request may be deferred.
    pub(super) fn has_capacity(&self, request: &HttpRequest) -> bool {
        let max = if request.is_registration() { MAX_REGISTRATIONS } else { MAX_REQUESTS };
        self.requests.len() < max
    }

    /// A link was closed.
    pub(super) fn disconnected(&mut self, connection: ConnectionId) {
        self.links.remove(&connection);
    }

    /// Whether a link waits. Nothing may be sent on it meanwhile: it would pass for the primary's response.
    pub(super) fn contains_link(&self, connection: ConnectionId) -> bool {
        self.links.contains_key(&connection)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.links.is_empty() && self.requests.is_empty()
    }

    /// Takes the links that need not wait any more: all of them, or those that have waited long enough.
    pub(super) fn take_links(&mut self, now: Duration, all: bool) -> Vec<(ConnectionId, Vec<ToControl>)> {
        take(&mut self.links, now, MAX_LINK_WAIT, all)
    }

    /// Takes the HTTP requests that need not wait any more: all of them, or those that have waited long enough.
    pub(super) fn take_requests(&mut self, now: Duration, all: bool) -> Vec<(RequestId, HttpRequest)> {
        take(&mut self.requests, now, MAX_REQUEST_WAIT, all)
    }
}

fn take<K: Ord + Copy, T>(
    waiting: &mut BTreeMap<K, Deferred<T>>, now: Duration, max_wait: Duration, all: bool,
) -> Vec<(K, T)> {
    let is_due = |deferred: &Deferred<T>| all || now.saturating_sub(deferred.since) >= max_wait;
    let due = waiting.extract_if(.., |_, deferred| is_due(deferred));
    due.map(|(key, deferred)| (key, deferred.content)).collect()
}
