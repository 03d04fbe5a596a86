//! What comes while no primary is known: links of proxies' agents and storage machines, and calls, wait here for one,
//! for a while, so that they are served the moment it acts.

use super::{Core, RequestId};
use crate::api::HttpRequest;
use crate::feed::ConnectionId;
use pebblepost_messages::control::ToControl;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a link or a call waits before it is sent elsewhere: this process may be the one that is cut off.
const MOST_WAIT: Duration = Duration::from_millis(400);
/// Calls that wait at most; all further ones are answered at once.
const MOST_CALLS: usize = 256;

/// Something that waits for a primary.
#[derive(Debug)]
struct Early<T> {
    content: T,
    since: Duration,
}

/// Links, with what each of them said, and calls that wait for a primary.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    links: BTreeMap<ConnectionId, Early<Vec<ToControl>>>,
    calls: BTreeMap<RequestId, Early<HttpRequest>>,
}

impl Waiting {
    /// A link has ended.
    pub(super) fn closed(&mut self, connection: ConnectionId) {
        self.links.remove(&connection);
    }

    /// Whether a link waits. It is told nothing meanwhile: whatever it hears it takes for the primary's word.
    pub(super) fn holds(&self, connection: ConnectionId) -> bool {
        self.links.contains_key(&connection)
    }
}

impl Core {
    /// A program wants what only the acting primary gives: it is sent there, or waits until there is one.
    pub(super) fn redirect_or_hold(&mut self, now: Duration, connection: ConnectionId, message: ToControl) {
        let is_peer = self.connections.get(&connection).is_some_and(|known| known.peer.is_some());
        if is_peer || self.live_primary(now).is_some() {
            self.redirect(now, connection);
            return;
        }
        let new = || Early { content: Vec::new(), since: now };
        self.early.links.entry(connection).or_insert_with(new).content.push(message);
    }

    /// A call that only the acting primary answers: it is sent there, or waits until there is one.
    pub(super) fn answer_elsewhere_or_hold(&mut self, now: Duration, id: RequestId, call: &HttpRequest) {
        if self.live_primary(now).is_some() || self.early.calls.len() >= MOST_CALLS {
            self.answer_elsewhere(now, id, call);
            return;
        }
        self.early.calls.insert(id, Early { content: call.clone(), since: now });
    }

    /// Serves what waits, or sends it on, as soon as a primary is known.
    pub(super) fn settle_early(&mut self, now: Duration) {
        if self.early.links.is_empty() && self.early.calls.is_empty() {
            return;
        }
        let is_primary_known = self.is_acting(now) || self.live_primary(now).is_some();
        for (connection, messages) in take_over(&mut self.early.links, now, is_primary_known) {
            if self.is_acting(now) {
                messages.into_iter().for_each(|message| self.message(now, connection, message));
            } else {
                self.redirect(now, connection);
            }
        }
        for (id, call) in take_over(&mut self.early.calls, now, is_primary_known) {
            if self.is_acting(now) {
                self.call(now, id, &call);
            } else {
                self.answer_elsewhere(now, id, &call);
            }
        }
    }
}

/// Takes out what need not wait any more, all of it or what has waited long enough.
fn take_over<K: Ord + Copy, T>(waiting: &mut BTreeMap<K, Early<T>>, now: Duration, all: bool) -> Vec<(K, T)> {
    let is_over = |early: &Early<T>| all || now.saturating_sub(early.since) >= MOST_WAIT;
    let over = waiting.extract_if(.., |_, early| is_over(early));
    over.map(|(key, early)| (key, early.content)).collect()
}
