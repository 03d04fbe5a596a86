//! Tests of what the leader derives from heartbeats: the progress of a drain, request totals and the majority
//! of observations.

use pebblepost_fleet::follower::Follower;
use pebblepost_fleet::heartbeat::{HeartbeatReport, MAX_BUSY_WORKERS, RequestCounts};
use pebblepost_fleet::leader::{
    Sessions, UnconfirmedReason, drain_status, majority_worker_update, request_totals,
};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::value::{MAX_WORKER_DIFF_ENTRIES, MemberInfo, Role, WorkerObservation, WorkerStatus};
use pebblepost_fleet::{
    Action, Budget, Command, IncarnationId, Limit, Name, Operation, RequestId, State, Subject, SubjectKind,
    Text,
};
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

struct Fleet {
    state: State,
    sessions: Sessions,
    last_request: u64,
}

impl Fleet {
    fn apply(&mut self, action: Action) -> u64 {
        self.last_request += 1;
        let command =
            Command { id: RequestId(1, self.last_request), issued_by: name("o"), issued_at_ms: 0, action };
        let outcome = self.state.apply(&command).expect("the command is accepted");
        outcome.session.unwrap_or(outcome.revision)
    }

    fn change(&mut self, operation: Operation) -> u64 {
        self.apply(Action::Change {
            operations: vec![operation],
            preconditions: Vec::new(),
            reason: "a test".parse().expect("a valid string"),
        })
    }

    fn join(&mut self, member: &str, incarnation: u64) -> u64 {
        let info = MemberInfo {
            role: Role::Dispatcher,
            version: "1".parse().expect("a valid string"),
            address: None,
            zone: Default::default(),
            ready: true,
        };
        self.apply(Action::Join { member: name(member), incarnation_id: IncarnationId(2, incarnation), info })
    }

    /// Reports a member's observations of workers as differences from its copy.
    fn observe(&mut self, member: &str, session: u64, copy: &Follower, observed: &[(&str, WorkerStatus)]) {
        let text = |text: &str| text.parse::<Text>().expect("a valid string");
        let one = |status| WorkerObservation { zone: text("x"), machine_type: text("k"), status };
        let worker_diff = copy.diff_observations(
            &observed.iter().map(|(worker, status)| (name(worker), one(*status))).collect(),
        );
        let report = HeartbeatReport { worker_diff, ..HeartbeatReport::default() };
        self.sessions.record_heartbeat(NOW, &self.state, &name(member), session, Some(report));
    }

    /// Commits what a majority reports. Returns whether there was anything to change.
    fn commits_majority_update(&mut self) -> bool {
        let update = majority_worker_update(&self.state, &self.sessions);
        update.into_iter().map(|action| self.apply(action)).count() > 0
    }

    fn copy(&self) -> Follower {
        let mut copy = Follower::default();
        copy.apply_snapshot(NOW, self.state.snapshot()).expect("the snapshot is newer");
        copy
    }

    fn report(&mut self, member: &str, session: u64, applied_revision: u64, busy: &[&str]) {
        let busy: BTreeSet<Name> = busy.iter().map(|worker| name(worker)).collect();
        let counts = RequestCounts { answered: 10, succeeded: 9 };
        let worker_diff = Default::default();
        self.sessions.record_heartbeat(
            NOW,
            &self.state,
            &name(member),
            session,
            Some(HeartbeatReport { applied_revision, busy_workers: busy, requests: counts, worker_diff }),
        );
    }

    fn unconfirmed(&self) -> Vec<(String, UnconfirmedReason)> {
        let status = drain_status(&self.state, &self.sessions, &name("w"));
        assert_eq!(
            status.is_complete(),
            status.granted_at_revision.is_some() && status.unconfirmed.is_empty()
        );
        status.unconfirmed.into_iter().map(|(name, reason)| (name.to_string(), reason)).collect()
    }
}

#[test]
fn drain_is_complete_once_every_dispatcher_has_confirmed_it_and_has_nothing_in_flight() {
    let sessions = Sessions::new(SessionTtl(Duration::from_secs(10)));
    let mut fleet = Fleet { state: State::default(), sessions, last_request: 0 };
    let (first, second) = (fleet.join("a", 1), fleet.join("b", 2));
    let before = fleet.state.revision();
    let subject = Subject { kind: SubjectKind::Worker, name: name("w") };
    fleet.change(Operation::RequestPermit { subject, urgent: false, version: Default::default() });
    assert!(
        !drain_status(&fleet.state, &fleet.sessions, &name("w")).is_complete(),
        "the permit waits because there is no budget"
    );
    fleet.change(Operation::SetBudget(
        SubjectKind::Worker,
        Budget {
            max_unavailable: Limit::Count(1),
            max_unavailable_per_zone: None,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: 0,
        },
    ));
    let granted = fleet.state.revision();
    let two = |for_a, for_b| vec![("a".to_owned(), for_a), ("b".to_owned(), for_b)];
    assert_eq!(fleet.unconfirmed(), two(UnconfirmedReason::NoReport, UnconfirmedReason::NoReport));
    fleet.report("a", first, before, &[]);
    fleet.report("b", second, granted, &["v", "w"]);
    assert_eq!(fleet.unconfirmed(), two(UnconfirmedReason::StaleRevision(before), UnconfirmedReason::Busy));
    fleet.report("a", first, granted, &["v"]);
    fleet.report("b", second, granted, &[]);
    assert_eq!(fleet.unconfirmed(), []);
    // A heartbeat without a report keeps the previous report. A new session has no report, and an expired one
    // confirms nothing.
    fleet.sessions.record_heartbeat(NOW, &fleet.state, &name("a"), first, None);
    assert_eq!(fleet.unconfirmed(), []);
    let again = fleet.join("a", 3);
    assert_eq!(fleet.unconfirmed(), [("a".to_owned(), UnconfirmedReason::NoReport)]);
    fleet.report("a", first, granted, &[]);
    assert_eq!(
        fleet.unconfirmed(),
        [("a".to_owned(), UnconfirmedReason::NoReport)],
        "a heartbeat of an old session is ignored"
    );
    fleet.apply(Action::ExpireSession { member: name("a"), session: again });
    assert_eq!(fleet.unconfirmed(), [("a".to_owned(), UnconfirmedReason::Absent)]);
    fleet.change(Operation::RemoveMember(name("a")));
    assert_eq!(fleet.unconfirmed(), []);
    // A dispatcher with too many busy workers confirms nothing.
    let many: Vec<String> = (0..=MAX_BUSY_WORKERS).map(|n| format!("x{n}")).collect();
    fleet.report("b", second, granted, &many.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!(fleet.unconfirmed(), [("b".to_owned(), UnconfirmedReason::StaleRevision(0))]);
    let totals = request_totals(&fleet.state, &fleet.sessions);
    assert_eq!(totals.len(), 1, "only present members are counted");
    assert_eq!(totals[&name("b")].requests, RequestCounts { answered: 10, succeeded: 9 });
    // A new leader has no reports.
    fleet.sessions = Sessions::new(SessionTtl(Duration::from_secs(10)));
    assert_eq!(fleet.unconfirmed(), [("b".to_owned(), UnconfirmedReason::NoReport)]);
}

#[test]
fn workers_follow_the_majority_of_observations_and_a_single_dispatcher_changes_nothing() {
    let leader_sessions = Sessions::new(SessionTtl(Duration::from_secs(10)));
    let mut fleet = Fleet { state: State::default(), sessions: leader_sessions, last_request: 0 };
    let sessions: Vec<(&str, u64)> =
        ["a", "b", "c"].map(|member| (member, fleet.join(member, member.len() as u64))).to_vec();
    let (ready, out) = (
        [("v", WorkerStatus::Ready), ("w", WorkerStatus::Ready)],
        [("v", WorkerStatus::Ready), ("w", WorkerStatus::Unavailable)],
    );
    let none = fleet.copy();
    fleet.observe("a", sessions[0].1, &none, &ready);
    assert!(!fleet.commits_majority_update(), "one of three is not a majority");
    fleet.observe("b", sessions[1].1, &none, &ready);
    assert!(
        fleet.commits_majority_update() && !fleet.commits_majority_update(),
        "a committed change is not proposed again"
    );
    let budget = Budget {
        max_unavailable: Limit::Count(1),
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: None,
        min_available_per_zone: 0,
    };
    fleet.change(Operation::SetBudget(SubjectKind::Worker, budget));
    assert_eq!(
        (
            fleet.state.availability(SubjectKind::Worker).subjects.len(),
            fleet.state.availability(SubjectKind::Worker).unavailable_count()
        ),
        (2, 0)
    );
    // With the list in its copy no dispatcher has a difference to report. A single dispatcher that gets no
    // answer from w changes nothing.
    let copy = fleet.copy();
    for (member, session) in &sessions {
        fleet.observe(member, *session, &copy, &ready);
    }
    fleet.observe("c", sessions[2].1, &copy, &out);
    assert!(!fleet.commits_majority_update());
    fleet.observe("a", sessions[0].1, &copy, &out);
    assert!(fleet.commits_majority_update(), "two of three are a majority");
    // The unavailable worker w uses up the budget, so v waits until w is ready or gone.
    fleet.change(Operation::RequestPermit {
        subject: Subject { kind: SubjectKind::Worker, name: name("v") },
        urgent: true,
        version: Text::default(),
    });
    let granted = |fleet: &Fleet| {
        fleet.state.permits().filter(|(_, permit)| permit.granted_at_revision.is_some()).count()
    };
    let copy = fleet.copy();
    for (member, session) in &sessions {
        fleet.observe(member, *session, &copy, &[("v", WorkerStatus::Ready), ("w", WorkerStatus::WarmingUp)]);
    }
    assert!(
        fleet.commits_majority_update() && granted(&fleet) == 0,
        "a worker in slow start counts as unavailable"
    );
    // One of three dispatchers is lost and has no vote, so both of the others are needed for a majority.
    fleet.apply(Action::ExpireSession { member: name("c"), session: sessions[2].1 });
    let copy = fleet.copy();
    fleet.observe("a", sessions[0].1, &copy, &ready[..1]);
    assert!(!fleet.commits_majority_update());
    fleet.observe("b", sessions[1].1, &copy, &ready[..1]);
    assert!(fleet.commits_majority_update() && granted(&fleet) == 1, "w is gone");
    assert_eq!(fleet.state.worker_count(), 1);
    // A heartbeat lists a bounded number of workers, and all dispatchers list the same ones.
    let many: Vec<String> = (0..3 * MAX_WORKER_DIFF_ENTRIES).map(|n| format!("x{n:04}")).collect();
    let many: Vec<(&str, WorkerStatus)> =
        many.iter().map(|worker| (worker.as_str(), WorkerStatus::Ready)).collect();
    let mut rounds = 0;
    while fleet.state.worker_count() < many.len() {
        rounds += 1;
        assert!(rounds < 10, "all workers are reported within a few rounds");
        let copy = fleet.copy();
        fleet.observe("a", sessions[0].1, &copy, &many);
        fleet.observe("b", sessions[1].1, &copy, &many);
        fleet.commits_majority_update();
    }
    assert!(rounds >= 3, "{rounds}");
}
