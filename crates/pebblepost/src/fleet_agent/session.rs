//! The session of this process with the fleet store: joining, heartbeats, reports of readiness, and proposals of local drains.

use super::retry::{REQUEST_TIMEOUT, backoff};
use super::shared::{Shared, lock};
use crate::config::FleetConfig;
use pebblepost_fleet::follower::ProposalOutcome;
use pebblepost_fleet::value::MemberInfo;
use pebblepost_fleet::{Action, Rejection};
use pebblepost_fleet_store::client::{Client, new_command};
use pebblepost_fleet_store::protocol::{Request, Response};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::timeout;

/// Interval of a member's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps a session open and proposes local drains to the store group. Waits forever without replicas, or once another process
/// has taken over the name.
pub(super) async fn run(shared: &Shared, config: &FleetConfig, info: MemberInfo) {
    if config.replicas.is_empty() {
        return std::future::pending().await;
    }
    let client = Client::new(config.replicas.clone());
    let mut session =
        FleetSession { shared, client, info, state: SessionState::default(), consecutive_failures: 0 };
    loop {
        if session.advance().await == SessionStatus::Superseded {
            return std::future::pending().await;
        }
        let joined = session.state.session.is_some();
        if joined {
            session.propose_local_drains().await;
        }
        let delay = if joined { HEARTBEAT_INTERVAL } else { backoff(session.consecutive_failures) };
        let _ = timeout(delay, shared.report_due.notified()).await;
    }
}

/// Whether this process may continue to hold a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionStatus {
    Continue,
    /// Another process has joined under the name of this one.
    Superseded,
}

/// The state of the session as known to this process.
#[derive(Debug, Default)]
struct SessionState {
    /// Number of the session; `None` if there is none.
    session: Option<u64>,
    /// Sequence number of the last report of readiness in the session.
    last_report: u64,
    /// The readiness known to the fleet store; `None` if it is uncertain.
    reported_ready: Option<bool>,
}

struct FleetSession<'a> {
    shared: &'a Shared,
    client: Client,
    info: MemberInfo,
    state: SessionState,
    /// Number of consecutive attempts to join that failed.
    consecutive_failures: u32,
}

impl FleetSession<'_> {
    /// Joins, reports readiness or sends a heartbeat, whichever is due.
    async fn advance(&mut self) -> SessionStatus {
        match self.state.session {
            None => return self.join().await,
            Some(session) if self.state.reported_ready != Some(self.is_ready()) => {
                self.report_readiness(session).await;
            }
            Some(session) => self.heartbeat(session).await,
        }
        SessionStatus::Continue
    }

    fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Relaxed)
    }

    async fn join(&mut self) -> SessionStatus {
        self.info.ready = self.is_ready();
        let member = self.shared.member.clone();
        let (info, incarnation_id) = (self.info.clone(), member.incarnation);
        let join = Action::Join { member: member.name.clone(), incarnation_id, info };
        match self.client.submit(&new_command(member.name, join), REQUEST_TIMEOUT).await {
            Ok(Ok(applied)) => {
                let reported_ready = Some(self.info.ready);
                self.state = SessionState { session: applied.session, last_report: 0, reported_ready };
                self.consecutive_failures = 0;
            }
            Ok(Err(rejection @ Rejection::Superseded { .. })) => {
                // The process continues to serve and to follow the agreed state.
                (self.shared.log)(&format!("fleet: session lost; not joining again: {rejection}"));
                return SessionStatus::Superseded;
            }
            Ok(Err(rejection)) => {
                (self.shared.log)(&format!("fleet: join rejected; retrying: {rejection}"));
                self.consecutive_failures += 1;
            }
            Err(_) => self.consecutive_failures += 1,
        }
        SessionStatus::Continue
    }

    async fn report_readiness(&mut self, session: u64) {
        let ready = self.is_ready();
        self.state.last_report += 1;
        let (member, sequence) = (self.shared.member.name.clone(), self.state.last_report);
        let report = Action::ReportReadiness { member: member.clone(), session, sequence, ready };
        self.state.reported_ready = None;
        match self.client.submit(&new_command(member, report), REQUEST_TIMEOUT).await {
            Ok(Ok(_)) => self.state.reported_ready = Some(ready),
            Ok(Err(_)) => self.state.session = None,
            // Whether the report was applied is unknown, so it is repeated.
            Err(_) => {}
        }
    }

    async fn heartbeat(&mut self, session: u64) {
        let (member, report) = (self.shared.member.name.clone(), Some(self.shared.heartbeat_report()));
        let heartbeat = Request::Heartbeat { member, session, report };
        if let Ok(Response::Heartbeat(false)) = self.client.request(&heartbeat, REQUEST_TIMEOUT).await {
            (self.shared.log)("fleet: session ended; joining again");
            self.state.session = None;
        }
    }

    /// Proposes the local drains to the store group, one after another. Stops at the first one that gets no response or that the
    /// group cannot apply now.
    async fn propose_local_drains(&mut self) {
        loop {
            let Some(command) = lock(&self.shared.follower).next_proposal() else { return };
            let Ok(answer) = self.client.submit(&command, REQUEST_TIMEOUT).await else { return };
            let outcome = self.shared.update(|follower| follower.record_result(command.id, &answer));
            match (outcome, answer) {
                (ProposalOutcome::Overruled, Err(rejection)) => {
                    (self.shared.log)(&format!(
                        "fleet: local drain overruled by the store group: {rejection}"
                    ));
                }
                (ProposalOutcome::Deferred, Err(rejection)) => {
                    // The drain stays local and is proposed again with the next heartbeat.
                    return (self.shared.log)(&format!(
                        "fleet: local drain not agreed yet; proposing it again: {rejection}"
                    ));
                }
                _ => {}
            }
        }
    }
}
