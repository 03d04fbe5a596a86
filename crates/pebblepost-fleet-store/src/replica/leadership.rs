//! The tasks of the leader. It keeps the sessions of the members, ends expired sessions, and commits the
//! state of workers that a majority of the dispatchers observes.

use super::{REQUEST_TIMEOUT, Replica};
use crate::client::new_command;
use crate::clock::elapsed_since;
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

/// Interval between checks of the sessions and observations.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The sessions that a replica keeps as the leader of one term.
pub(super) struct LeaderSessions {
    /// The term of the leadership. A new term starts without any sessions.
    term: u64,
    sessions: Sessions,
}

impl Replica {
    /// Periodically commits the due actions while this replica is the leader. Never returns.
    pub(super) async fn run_leader_tasks(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            for action in self.due_actions() {
                // An error or timeout is ignored: the action is due again at the next check.
                let write = self.raft.client_write(new_command(self.name.clone(), action));
                let _ = timeout(REQUEST_TIMEOUT, write).await;
            }
        }
    }

    /// Returns the ends of expired sessions and the updates observed by a majority. Empty unless this replica
    /// is the leader.
    fn due_actions(&self) -> Vec<Action> {
        let now = elapsed_since(self.started_at);
        let due = self.with_sessions(|sessions| {
            let state = self.state_machine.read();
            let mut due = sessions.expire_sessions(now, &state);
            due.extend(majority_worker_update(&state, sessions));
            due
        });
        due.unwrap_or_default()
    }

    /// Records a heartbeat. Only the leader accepts heartbeats. A replica that wrongly believes that it is
    /// the leader extends no session, because only the actual leader can end a session.
    pub(super) fn heartbeat(&self, member: &Name, session: u64, report: Option<HeartbeatReport>) -> Response {
        let now = elapsed_since(self.started_at);
        let outcome = self.with_sessions(|sessions| {
            sessions.record_heartbeat(now, &self.state_machine.read(), member, session, report)
        });
        match outcome {
            Some(outcome) => Response::Heartbeat(outcome == HeartbeatOutcome::Renewed),
            None => self.not_leader_response(),
        }
    }

    /// Reads the progress of a worker's drain. The sessions are read linearizably. What a member has
    /// confirmed stays true.
    pub(super) async fn drain_status(&self, worker: &Name) -> Response {
        if let Err(response) = self.ensure_linearizable().await {
            return response;
        }
        let status =
            self.with_sessions(|sessions| drain_status(&self.state_machine.read(), sessions, worker));
        status.map_or_else(|| self.not_leader_response(), Response::DrainStatus)
    }

    /// Reads the request totals from the dispatchers' reports to this leader. They are for information only,
    /// so the read is not linearizable.
    pub(super) fn request_totals(&self) -> Response {
        let totals = self.with_sessions(|sessions| request_totals(&self.state_machine.read(), sessions));
        totals.map_or_else(|| self.not_leader_response(), Response::RequestTotals)
    }

    /// Returns the current term if this replica believes that it is the leader.
    pub(super) fn leader_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.current_leader == Some(self.config.id)).then_some(metrics.current_term)
    }

    /// Returns the response to a request that only the leader serves.
    fn not_leader_response(&self) -> Response {
        Response::NotLeader(self.raft.metrics().borrow().current_leader)
    }

    /// Calls `access` with the sessions of the current term. Returns `None` if this replica is not the
    /// leader.
    fn with_sessions<T>(&self, access: impl FnOnce(&mut Sessions) -> T) -> Option<T> {
        let term = self.leader_term()?;
        let mut kept = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.as_ref().is_none_or(|kept| kept.term != term) {
            let sessions = Sessions::new(SessionTtl(self.config.session_ttl));
            *kept = Some(LeaderSessions { term, sessions });
        }
        kept.as_mut().map(|kept| access(&mut kept.sessions))
    }
}
