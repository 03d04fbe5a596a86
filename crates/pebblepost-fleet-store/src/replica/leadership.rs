//! What a replica does while it leads: it keeps the sessions of members, ends those that expire, and commits
//! what a majority of the dispatchers observes of workers.

use super::{REQUEST_TIMEOUT, Replica};
use crate::client::command;
use crate::clock::since;
use crate::protocol::Response;
use pebblepost_fleet::heartbeat::HeartbeatReport;
use pebblepost_fleet::leader::{
    HeartbeatOutcome, Sessions, drain_status, majority_worker_update, request_totals,
};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::{Action, Name};
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The interval at which sessions and observations are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The sessions that a leader keeps.
pub(super) struct LeaderSessions {
    /// The term in which it leads: the leader of a new term begins without any sessions.
    term: u64,
    sessions: Sessions,
}

impl Replica {
    /// Commits what is due, at an interval, while this replica leads.
    pub(super) async fn lead(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            for action in self.due_actions() {
                // What fails is due again at the next check.
                let write = self.raft.client_write(command(self.name.clone(), action));
                let _ = timeout(REQUEST_TIMEOUT, write).await;
            }
        }
    }

    fn due_actions(&self) -> Vec<Action> {
        let now = since(self.started_at);
        let due = self.with_sessions(|sessions| {
            let state = self.state_machine.read();
            let mut due = sessions.expire_sessions(now, &state);
            due.extend(majority_worker_update(&state, sessions));
            due
        });
        due.unwrap_or_default()
    }

    /// Takes in a heartbeat. It counts at the leader only; a replica that wrongly believes that it leads
    /// extends nothing, as only the real leader can have a session ended.
    pub(super) fn heartbeat(&self, member: &Name, session: u64, report: Option<HeartbeatReport>) -> Response {
        let now = since(self.started_at);
        let outcome = self.with_sessions(|sessions| {
            sessions.record_heartbeat(now, &self.state_machine.read(), member, session, report)
        });
        match outcome {
            Some(outcome) => Response::Heartbeat(outcome == HeartbeatOutcome::Renewed),
            None => self.not_leader(),
        }
    }

    /// The progress of a worker's drain. The sessions are read linearizably; what each member has confirmed
    /// stays true.
    pub(super) async fn drain_status(&self, worker: &Name) -> Response {
        if let Err(not_read) = self.ensure_linearizable().await {
            return not_read;
        }
        let status =
            self.with_sessions(|sessions| drain_status(&self.state_machine.read(), sessions, worker));
        status.map_or_else(|| self.not_leader(), Response::DrainStatus)
    }

    /// The requests of all dispatchers, as far as this leader has reports: an indication that needs no
    /// linearizable read.
    pub(super) fn request_totals(&self) -> Response {
        let totals = self.with_sessions(|sessions| request_totals(&self.state_machine.read(), sessions));
        totals.map_or_else(|| self.not_leader(), Response::RequestTotals)
    }

    /// The term in which this replica leads, if it believes that it does.
    pub(super) fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.current_leader == Some(self.config.id)).then_some(metrics.current_term)
    }

    fn not_leader(&self) -> Response {
        Response::NotLeader(self.raft.metrics().borrow().current_leader)
    }

    /// Works on the sessions of the present term; `None`: this replica does not lead.
    fn with_sessions<T>(&self, work: impl FnOnce(&mut Sessions) -> T) -> Option<T> {
        let term = self.leading_term()?;
        let mut kept = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.as_ref().is_none_or(|kept| kept.term != term) {
            let sessions = Sessions::new(SessionTtl(self.config.session_ttl));
            *kept = Some(LeaderSessions { term, sessions });
        }
        kept.as_mut().map(|kept| work(&mut kept.sessions))
    }
}
