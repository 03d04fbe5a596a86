//! When a worker may be switched off: every dispatcher's word, in its present session, about the present drain.

use pebblepost_fleet::follower::Follower;
use pebblepost_fleet::heartbeat::{HeartbeatReport, MAX_BUSY_WORKERS, RequestCounts};
use pebblepost_fleet::leader::{Sessions, UnconfirmedReason, drain_status, majority_update, request_totals};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::value::{MAX_DIFF_ENTRIES, MemberInfo, Role, WorkerObservation, WorkerStatus};
use pebblepost_fleet::{
    Action, Budget, Command, IncarnationId, Limit, Name, Operation, RequestId, State, Subject, SubjectKind,
    Text,
};
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

fn name(text: &str) -> Name {
    text.parse().expect("a sound name")
}

struct Desk {
    state: State,
    heard: Sessions,
    next: u64,
}

impl Desk {
    fn act(&mut self, act: Action) -> u64 {
        self.next += 1;
        let command =
            Command { id: RequestId(1, self.next), issued_by: name("o"), issued_at_ms: 0, action: act };
        let done = self.state.apply(&command).expect("nothing against it");
        done.session.unwrap_or(done.revision)
    }

    fn op(&mut self, op: Operation) -> u64 {
        self.act(Action::Change {
            operations: vec![op],
            preconditions: Vec::new(),
            reason: "a test".parse().expect("sound"),
        })
    }

    fn joins(&mut self, member: &str, life: u64) -> u64 {
        let card = MemberInfo {
            role: Role::Dispatcher,
            version: "1".parse().expect("sound"),
            address: None,
            zone: Default::default(),
            ready: true,
        };
        self.act(Action::Join { member: name(member), incarnation_id: IncarnationId(2, life), info: card })
    }

    /// What a member with this copy tells of the workers that it sees.
    fn sees(&mut self, member: &str, session: u64, copy: &Follower, seen: &[(&str, WorkerStatus)]) {
        let text = |t: &str| t.parse::<Text>().expect("sound");
        let one = |sight| WorkerObservation { zone: text("x"), machine_type: text("k"), status: sight };
        let differs = copy.diff_observations(&seen.iter().map(|(w, sight)| (name(w), one(*sight))).collect());
        let doing = HeartbeatReport { worker_diff: differs, ..HeartbeatReport::default() };
        self.heard.record_heartbeat(NOW, &self.state, &name(member), session, Some(doing));
    }

    /// Has done what most tell, if there is anything.
    fn settles(&mut self) -> bool {
        let act = majority_update(&self.state, &self.heard);
        act.into_iter().map(|act| self.act(act)).count() > 0
    }

    fn copy(&self) -> Follower {
        let mut copy = Follower::default();
        copy.apply_snapshot(NOW, self.state.snapshot()).expect("newer");
        copy
    }

    fn beats(&mut self, member: &str, session: u64, acts_by: u64, busy: &[&str]) {
        let busy: BTreeSet<Name> = busy.iter().map(|w| name(w)).collect();
        let counts = RequestCounts { answered: 10, succeeded: 9 };
        let differs = Default::default();
        self.heard.record_heartbeat(
            NOW,
            &self.state,
            &name(member),
            session,
            Some(HeartbeatReport {
                applied_revision: acts_by,
                busy_workers: busy,
                requests: counts,
                worker_diff: differs,
            }),
        );
    }

    fn waits_for(&self) -> Vec<(String, UnconfirmedReason)> {
        let off = drain_status(&self.state, &self.heard, &name("w"));
        assert_eq!(off.is_complete(), off.granted_at_revision.is_some() && off.unconfirmed.is_empty());
        off.unconfirmed.into_iter().map(|(name, why)| (name.to_string(), why)).collect()
    }
}

#[test]
fn a_worker_may_be_switched_off_once_every_dispatcher_has_confirmed_and_has_nothing_out_there() {
    let heard = Sessions::new(SessionTtl(Duration::from_secs(10)));
    let mut desk = Desk { state: State::default(), heard, next: 0 };
    let (a, b) = (desk.joins("a", 1), desk.joins("b", 2));
    let before = desk.state.revision();
    let subject = Subject { kind: SubjectKind::Worker, name: name("w") };
    desk.op(Operation::RequestPermit { subject, urgent: false, version: Default::default() });
    assert!(!drain_status(&desk.state, &desk.heard, &name("w")).is_complete(), "it waits for a budget");
    desk.op(Operation::SetBudget(
        SubjectKind::Worker,
        Budget {
            max_unavailable: Limit::Count(1),
            max_unavailable_per_zone: None,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: 0,
        },
    ));
    let granted = desk.state.revision();
    let two = |x, y| vec![("a".to_owned(), x), ("b".to_owned(), y)];
    assert_eq!(desk.waits_for(), two(UnconfirmedReason::NoReport, UnconfirmedReason::NoReport));
    desk.beats("a", a, before, &[]);
    desk.beats("b", b, granted, &["v", "w"]);
    assert_eq!(desk.waits_for(), two(UnconfirmedReason::StaleRevision(before), UnconfirmedReason::Busy));
    desk.beats("a", a, granted, &["v"]);
    desk.beats("b", b, granted, &[]);
    assert_eq!(desk.waits_for(), []);
    // A plain beat takes no word back; a new session has none, and one that is over is no word that nothing is sent.
    desk.heard.record_heartbeat(NOW, &desk.state, &name("a"), a, None);
    assert_eq!(desk.waits_for(), []);
    let again = desk.joins("a", 3);
    assert_eq!(desk.waits_for(), [("a".to_owned(), UnconfirmedReason::NoReport)]);
    desk.beats("a", a, granted, &[]);
    assert_eq!(
        desk.waits_for(),
        [("a".to_owned(), UnconfirmedReason::NoReport)],
        "an old session's beat is none"
    );
    desk.act(Action::ExpireSession { member: name("a"), session: again });
    assert_eq!(desk.waits_for(), [("a".to_owned(), UnconfirmedReason::Absent)]);
    desk.op(Operation::RemoveMember(name("a")));
    assert_eq!(desk.waits_for(), []);
    // One that cannot name all that it is busy with confirms nothing.
    let many: Vec<String> = (0..=MAX_BUSY_WORKERS).map(|n| format!("x{n}")).collect();
    desk.beats("b", b, granted, &many.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!(desk.waits_for(), [("b".to_owned(), UnconfirmedReason::StaleRevision(0))]);
    let tallies = request_totals(&desk.state, &desk.heard);
    assert_eq!(tallies.len(), 1, "those that are there");
    assert_eq!(tallies[&name("b")].requests, RequestCounts { answered: 10, succeeded: 9 });
    // Nobody's word is kept by a leader that has just come.
    desk.heard = Sessions::new(SessionTtl(Duration::from_secs(10)));
    assert_eq!(desk.waits_for(), [("b".to_owned(), UnconfirmedReason::NoReport)]);
}

#[test]
fn workers_are_listed_and_out_as_most_dispatchers_see_them_and_one_view_alone_changes_nothing() {
    let heard = Sessions::new(SessionTtl(Duration::from_secs(10)));
    let mut desk = Desk { state: State::default(), heard, next: 0 };
    let sessions: Vec<(&str, u64)> = ["a", "b", "c"].map(|m| (m, desk.joins(m, m.len() as u64))).to_vec();
    let (ready, out) = (
        [("v", WorkerStatus::Ready), ("w", WorkerStatus::Ready)],
        [("v", WorkerStatus::Ready), ("w", WorkerStatus::Unavailable)],
    );
    let none = desk.copy();
    desk.sees("a", sessions[0].1, &none, &ready);
    assert!(!desk.settles(), "one of three");
    desk.sees("b", sessions[1].1, &none, &ready);
    assert!(desk.settles() && !desk.settles(), "once: what is so already is not asked for again");
    let budget = Budget {
        max_unavailable: Limit::Count(1),
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: None,
        min_available_per_zone: 0,
    };
    desk.op(Operation::SetBudget(SubjectKind::Worker, budget));
    assert_eq!(
        (
            desk.state.availability(SubjectKind::Worker).subjects.len(),
            desk.state.availability(SubjectKind::Worker).unavailable()
        ),
        (2, 0)
    );
    // With the list in its copy none has anything to tell; one that alone gets no answer from w is not believed.
    let copy = desk.copy();
    for (member, session) in &sessions {
        desk.sees(member, *session, &copy, &ready);
    }
    desk.sees("c", sessions[2].1, &copy, &out);
    assert!(!desk.settles());
    desk.sees("a", sessions[0].1, &copy, &out);
    assert!(desk.settles(), "two of three");
    // The loss takes the place in the budget: v waits, until w is warm again, or is no more.
    desk.op(Operation::RequestPermit {
        subject: Subject { kind: SubjectKind::Worker, name: name("v") },
        urgent: true,
        version: Text::default(),
    });
    let granted = |desk: &Desk| desk.state.permits().filter(|(_, p)| p.granted_at_revision.is_some()).count();
    let copy = desk.copy();
    for (member, session) in &sessions {
        desk.sees(member, *session, &copy, &[("v", WorkerStatus::Ready), ("w", WorkerStatus::WarmingUp)]);
    }
    assert!(desk.settles() && granted(&desk) == 0, "a cold one is out as well");
    // Of three one is lost: it has no vote, and most of two are both.
    desk.act(Action::ExpireSession { member: name("c"), session: sessions[2].1 });
    let copy = desk.copy();
    desk.sees("a", sessions[0].1, &copy, &ready[..1]);
    assert!(!desk.settles());
    desk.sees("b", sessions[1].1, &copy, &ready[..1]);
    assert!(desk.settles() && granted(&desk) == 1, "w is no more");
    assert_eq!(desk.state.worker_count(), 1);
    // However many there are, a beat tells of so many, and all of the same.
    let many: Vec<String> = (0..3 * MAX_DIFF_ENTRIES).map(|n| format!("x{n:04}")).collect();
    let many: Vec<(&str, WorkerStatus)> = many.iter().map(|w| (w.as_str(), WorkerStatus::Ready)).collect();
    let mut rounds = 0;
    while desk.state.worker_count() < many.len() {
        rounds += 1;
        assert!(rounds < 10, "it comes to an end");
        let copy = desk.copy();
        desk.sees("a", sessions[0].1, &copy, &many);
        desk.sees("b", sessions[1].1, &copy, &many);
        desk.settles();
    }
    assert!(rounds >= 3, "{rounds}");
}
