//! The rules of the agreed state: each test fails without the rule that it names.

use pebblepost_fleet::follower::{Follower, LocalDrainError, ProposalOutcome, UpdateError};
use pebblepost_fleet::leader::{HeartbeatOutcome, Sessions};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::state::{MAX_LOGGED_KEYS, MAX_OPERATIONS, MAX_RESULTS, MAX_WORKERS};
use pebblepost_fleet::value::{MemberInfo, Presence, Role, Worker};
use pebblepost_fleet::{
    Action, Command, CommandResult, IncarnationId, Key, Name, Operation, Precondition, Rejection, RequestId,
    State, Text,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;
use std::time::Duration;

fn name(text: &str) -> Name {
    text.parse().expect("a sound name")
}

/// A state, and the number of the next request.
#[derive(Default)]
struct Desk {
    state: State,
    next: u64,
}

impl Desk {
    fn command(&mut self, act: Action) -> Command {
        self.next += 1;
        Command {
            id: RequestId(7, self.next),
            issued_by: name("op"),
            issued_at_ms: 1_000 + self.next,
            action: act,
        }
    }

    fn ask(&mut self, act: Action) -> CommandResult {
        let command = self.command(act);
        self.state.apply(&command)
    }

    fn change(&mut self, ops: Vec<Operation>, expect: Vec<Precondition>) -> CommandResult {
        self.ask(Action::Change { operations: ops, preconditions: expect, reason: Text::default() })
    }

    fn join(&mut self, member: &str, life: u64) -> CommandResult {
        let card = MemberInfo {
            role: Role::Dispatcher,
            version: Text::default(),
            address: None,
            zone: Text::default(),
            ready: true,
        };
        self.ask(Action::Join { member: name(member), incarnation_id: IncarnationId(0, life), info: card })
    }

    fn drained(&self, worker: &str) -> bool {
        self.state.get(&Key::Drain(name(worker))).is_some()
    }
}

fn drain(worker: &str) -> Operation {
    Operation::Drain(name(worker))
}

fn key(text: &str) -> Key {
    text.parse().expect("a sound key")
}

fn worker() -> Worker {
    let dial = Some("127.0.0.1:9".parse().expect("an address"));
    Worker { address: dial, slots: 2, ..Worker::default() }
}

#[test]
fn a_precondition_that_no_longer_holds_refuses_all_of_it() {
    let mut desk = Desk::default();
    let first = desk.change(vec![drain("a")], vec![]).expect("nothing against it").revision;
    let expect = |revision| vec![Precondition { key: key("drain/a"), revision }];
    // Another changes it in between.
    desk.change(vec![Operation::Undrain(name("a"))], vec![]).expect("nothing against it");
    let refused = desk.change(vec![drain("b"), drain("a")], expect(first));
    assert_eq!(
        refused,
        Err(Rejection::Conflict { key: key("drain/a"), expected: first, found: 0, state_revision: 2 })
    );
    assert!(!desk.drained("b"), "all or nothing");
    assert!(desk.change(vec![drain("b"), drain("a")], expect(0)).is_ok());
    assert!(desk.drained("a") && desk.drained("b"));
}

#[test]
fn a_request_asked_again_is_applied_once_and_answered_alike() {
    let mut desk = Desk::default();
    let asked = desk.command(Action::Change {
        operations: vec![drain("a")],
        preconditions: vec![],
        reason: Text::default(),
    });
    let first = desk.state.apply(&asked);
    desk.change(vec![Operation::Undrain(name("a"))], vec![]).expect("nothing against it");
    // The answer was lost, and the request comes again late: it must not bring the mark back.
    assert_eq!(desk.state.apply(&asked), first);
    assert!(!desk.drained("a"));
    for n in 0..MAX_RESULTS {
        assert!(desk.change(vec![drain(&format!("w{n}"))], vec![]).is_ok());
    }
    assert!(serde_json::to_string(&desk.state).expect("text").matches("\"Ok\"").count() <= MAX_RESULTS);
}

#[test]
fn what_makes_no_sense_is_refused_and_changes_nothing() {
    let mut desk = Desk::default();
    let set = |name_: &str, value| vec![Operation::SetSetting(name(name_), value)];
    let many = (0..=MAX_OPERATIONS).map(|n| drain(&n.to_string())).collect();
    let cases = [
        vec![],
        many,
        vec![drain("a"), Operation::Undrain(name("a"))],
        set("faktory.heartbeat_s", 0.0),
        set("faktory.heartbeat_s", f64::NAN),
        set("caps.sendCap", 2.0),
    ];
    for ops in cases {
        let text = format!("{ops:?}");
        let refused = desk.change(ops, vec![]);
        assert!(matches!(refused, Err(Rejection::Invalid { .. })), "{}", &text[..text.len().min(80)]);
    }
    assert_eq!(desk.state.revision(), 0);
    for bad in ["", "x/y", "drain/", "drain/a\nb", &format!("drain/{}", "x".repeat(201))] {
        assert!(bad.parse::<Key>().is_err(), "{bad}");
    }
    assert!(
        serde_json::from_str::<Operation>(r#"{"drain":""}"#).is_err(),
        "a name is checked where it is read"
    );
}

#[test]
fn all_that_an_asker_can_fill_has_an_end() {
    let mut desk = Desk::default();
    let mut known = 0;
    while known < MAX_WORKERS {
        let some = MAX_OPERATIONS.min(MAX_WORKERS - known);
        let ops =
            (known..known + some).map(|n| Operation::PutWorker(name(&n.to_string()), worker())).collect();
        assert!(desk.change(ops, vec![]).is_ok());
        known += some;
    }
    let full = desk.change(vec![Operation::PutWorker(name("more"), worker())], vec![]);
    assert_eq!(full, Err(Rejection::Full { resource: "workers".to_owned(), capacity: MAX_WORKERS }));
    let again = Worker { slots: 3, ..worker() };
    assert!(
        desk.change(vec![Operation::PutWorker(name("1"), again)], vec![]).is_ok(),
        "one that is there may change"
    );
    let logged: usize = desk.state.history().map(|c| c.items.len()).sum();
    assert!(logged <= MAX_LOGGED_KEYS, "{logged}");
    assert_eq!(desk.state.changes_after(0, 10), None, "compacted: a snapshot is wanted");
    let last = desk.state.revision() - 1;
    assert_eq!(desk.state.changes_after(last, 10).map(|c| c.len()), Some(1));
    assert_eq!(desk.state.changes_after(last + 2, 10), None, "a revision that this state does not have");
}

#[test]
fn a_mark_keeps_its_first_author_and_a_change_of_nothing_makes_no_revision() {
    let mut desk = Desk::default();
    desk.change(vec![drain("a")], vec![]).expect("nothing against it");
    let before = desk.state.get(&key("drain/a")).cloned();
    assert_eq!(
        desk.change(vec![drain("a"), Operation::Undrain(name("b"))], vec![]).map(|d| d.revision),
        Ok(1)
    );
    assert_eq!(desk.state.get(&key("drain/a")).cloned(), before);
}

#[test]
fn a_new_life_ends_the_old_session_and_the_old_life_does_not_come_back() {
    let mut desk = Desk::default();
    let session = |answer: CommandResult| answer.expect("nothing against it").session.expect("a join");
    let old = session(desk.join("n0", 1));
    let new = session(desk.join("n0", 2));
    assert!(new > old);
    let leave = |session| Action::Leave { member: name("n0"), session };
    assert_eq!(desk.ask(leave(old)), Err(Rejection::SessionEnded { member: name("n0"), session: old }));
    // A process that was paused since before the restart wakes up.
    assert_eq!(desk.join("n0", 1), Err(Rejection::Superseded { member: name("n0"), incarnation: 2 }));
    let again = session(desk.join("n0", 2));
    assert!(again > new, "the same life may begin again after it was lost");
    assert_eq!(desk.state.member(&name("n0")).map(|m| m.incarnation), Some(2));
    let dismiss = || vec![Operation::RemoveMember(name("n0"))];
    assert!(matches!(desk.change(dismiss(), vec![]), Err(Rejection::Invalid { .. })), "it is there");
    assert!(desk.ask(leave(again)).is_ok());
    assert!(desk.change(dismiss(), vec![]).is_ok());
    assert_eq!(desk.state.member(&name("n0")), None);
}

#[test]
fn a_session_ends_for_the_member_before_it_ends_for_the_leader() {
    let (ttl, mut desk) = (SessionTtl(Duration::from_secs(10)), Desk::default());
    assert!(ttl.for_member() < ttl.for_leader().mul_f64(0.95), "rates may differ by a twentieth each way");
    let session = desk.join("n0", 1).expect("nothing against it").session.expect("a join");
    let mut leader = Sessions::new(ttl);
    let at = Duration::from_secs_f64;
    // A leader that has just come knows of no beat: it counts from its own beginning.
    assert_eq!(leader.expired(at(100.0), &desk.state), []);
    assert_eq!(leader.expired(at(110.4), &desk.state), []);
    assert_eq!(
        leader.record_heartbeat(at(110.4), &desk.state, &name("n0"), session, None),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(
        leader.record_heartbeat(at(110.4), &desk.state, &name("n0"), session + 1, None),
        HeartbeatOutcome::SessionEnded
    );
    assert_eq!(leader.expired(at(120.8), &desk.state), []);
    let overdue = leader.expired(at(121.0), &desk.state);
    assert_eq!(overdue, [Action::ExpireSession { member: name("n0"), session }]);
    // Its answer comes late: meanwhile the member has joined again.
    let fresh = desk.join("n0", 1).expect("nothing against it").session.expect("a join");
    assert!(desk.ask(overdue[0].clone()).is_err(), "an old session's end does not end the new one");
    assert_eq!(
        leader.record_heartbeat(at(121.0), &desk.state, &name("n0"), fresh, None),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(desk.state.member(&name("n0")).map(|m| m.presence), Some(Presence::Present));
}

/// A dispatcher that asks for a drain while it is cut off, and what the group did meanwhile.
fn cut_off(meanwhile: &[Operation]) -> (Desk, Follower, CommandResult) {
    let (mut desk, mut follower) = (Desk::default(), Follower::default());
    desk.change(vec![drain("other")], vec![]).expect("nothing against it");
    follower.apply_snapshot(Duration::ZERO, desk.state.snapshot()).expect("newer");
    follower.drain(name("a"), RequestId(9, 9), name("op"), 5, Text::default()).expect("room");
    for op in meanwhile {
        desk.change(vec![op.clone()], vec![]).expect("nothing against it");
    }
    let offer = follower.next_proposal().expect("a local drain");
    let answer = desk.state.apply(&offer);
    (desk, follower, answer)
}

#[test]
fn a_local_drain_holds_at_once_and_without_a_gap_until_it_is_agreed() {
    let (desk, mut follower, answer) = cut_off(&[]);
    let marks = |f: &Follower| f.drained_workers().into_iter().map(|n| n.to_string()).collect::<Vec<_>>();
    assert_eq!(marks(&follower), ["a", "other"]);
    assert_eq!(follower.record_result(RequestId(9, 9), &answer), ProposalOutcome::Accepted);
    assert_eq!(marks(&follower), ["a", "other"], "the copy does not have it yet, the local mark holds");
    assert_eq!(follower.next_proposal(), None);
    assert_eq!(follower.undrain(&name("a")), Err(LocalDrainError::Replicated));
    let news = desk.state.changes_after(follower.revision(), 10).expect("not compacted");
    follower.apply_changes(Duration::ZERO, &news).expect("no gap");
    assert_eq!(marks(&follower), ["a", "other"]);
    assert_eq!(follower.local_drains().count(), 0);
}

#[test]
fn the_group_wins_where_it_decided_about_that_drain_meanwhile() {
    let (desk, mut follower, answer) =
        cut_off(&[drain("a"), Operation::Undrain(name("a")), drain("b"), drain("a")]);
    assert!(matches!(answer, Err(Rejection::Conflict { .. })));
    assert_eq!(follower.record_result(RequestId(9, 9), &answer), ProposalOutcome::Overruled);
    assert!(follower.drained_workers().contains(&name("a")), "the group's own mark is not here yet");
    follower.apply_snapshot(Duration::ZERO, desk.state.snapshot()).expect("newer");
    assert_eq!(follower.local_drains().count(), 0);
    assert!(follower.drained_workers().contains(&name("a")), "the group's own mark");
    let (desk, _, answer) = cut_off(&[drain("b")]);
    assert!(answer.is_ok() && desk.drained("a"), "what it decided about others is no matter");
}

#[test]
fn a_copy_takes_no_gap_and_does_not_go_back() {
    let (mut desk, mut follower) = (Desk::default(), Follower::default());
    let now = Duration::ZERO;
    desk.change(vec![drain("a")], vec![]).expect("nothing against it");
    let old = desk.state.snapshot();
    for worker in ["b", "c"] {
        desk.change(vec![drain(worker)], vec![]).expect("nothing against it");
    }
    let news = desk.state.changes_after(1, 10).expect("not compacted");
    assert_eq!(follower.apply_changes(now, &news), Err(UpdateError::Gap { found: 2, own: 0 }));
    assert_eq!(follower.age(now), None);
    follower.apply_snapshot(now, desk.state.snapshot()).expect("newer");
    assert_eq!(follower.apply_snapshot(now, old), Err(UpdateError::Stale { found: 1, own: 3 }));
    assert!(follower.confirm(now, 4).is_err(), "it missed something");
    assert_eq!(follower.age(Duration::from_secs(3)), Some(Duration::from_secs(3)));
    assert_eq!(follower.drained_workers().len(), 3);
}

#[test]
fn a_backup_brings_back_what_was_agreed_and_no_number_goes_back() {
    let mut desk = Desk::default();
    desk.change(vec![drain("a"), Operation::PutWorker(name("w"), worker())], vec![])
        .expect("nothing against it");
    let old = desk.join("n0", 1).expect("nothing against it").session.expect("a join");
    let backup = desk.state.snapshot();
    let mut follower = Follower::default();
    desk.change(vec![Operation::Undrain(name("a")), drain("b")], vec![]).expect("nothing against it");
    follower.apply_snapshot(Duration::ZERO, desk.state.snapshot()).expect("newer");
    // In the group that goes on, and in a new one that has lost everything.
    let mut fresh = Desk { next: 1_000, ..Desk::default() };
    for desk in [&mut desk, &mut fresh] {
        let mut follower = follower.clone();
        let before = desk.state.revision();
        let done = desk.ask(Action::Restore(backup.clone())).expect("a sound backup");
        assert!(done.revision > before.max(backup.revision));
        assert!(desk.drained("a") && !desk.drained("b"));
        assert_eq!(desk.state.changes_after(follower.revision(), 10), None, "all take the whole state");
        follower.apply_snapshot(Duration::ZERO, desk.state.snapshot()).expect("no number goes back");
        assert!(follower.drained_workers().contains(&name("a")));
        let new = desk.join("n0", 2).expect("nothing against it").session.expect("a join");
        assert!(new > old && desk.state.member(&name("n0")).is_some_and(|m| m.incarnation == 2));
        assert!(desk.join("n0", 1).is_err(), "the old life is remembered");
    }
    let mut bad = backup;
    let entry = bad.entries.remove(&key("drain/a")).expect("it is there");
    bad.entries.insert(key("worker/a"), entry);
    let before = desk.state.clone();
    assert!(matches!(desk.ask(Action::Restore(bad)), Err(Rejection::Invalid { .. })));
    assert_eq!(desk.state.snapshot(), before.snapshot(), "nothing lost");
}

#[test]
fn a_keepers_number_belongs_to_its_first_disk_for_ever() {
    let mut desk = Desk::default();
    let admit = |keeper, disk| Action::AdmitReplica { replica: keeper, disk };
    desk.state.register_replicas([(1, 11), (2, 22)]);
    assert!(desk.ask(admit(2, 22)).is_ok() && desk.ask(admit(3, 33)).is_ok());
    // The second was left out since; its number does not come free.
    desk.state.register_replicas([(1, 11), (3, 33)]);
    desk.state = serde_json::from_str(&serde_json::to_string(&desk.state).expect("text")).expect("the same");
    for (keeper, disk) in [(2, 23), (3, 34)] {
        assert!(matches!(desk.ask(admit(keeper, disk)), Err(Rejection::Invalid { .. })), "{keeper}");
    }
    desk.state.register_replicas([(2, 23)]);
    assert!(desk.ask(admit(2, 23)).is_err(), "the first one stays");
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::with_cases(60) })]

    /// Whatever is asked, in whatever batches a follower hears of it, and wherever a keeper starts anew from a
    /// snapshot: all end with the same.
    #[test]
    fn followers_and_restored_keepers_end_as_the_state_does(
        steps in prop::collection::vec((0_u8..7, 0_u8..5, 0_u64..4, any::<bool>()), 1..60),
    ) {
        let (mut desk, mut follower) = (Desk::default(), Follower::default());
        let mut model: BTreeMap<String, bool> = BTreeMap::new();
        for (what, who, life, listens) in steps {
            let worker = name(&who.to_string());
            match what {
                0 | 1 => {
                    prop_assert!(desk.change(vec![Operation::Drain(worker.clone())], vec![]).is_ok());
                    model.insert(worker.to_string(), true);
                }
                2 => {
                    prop_assert!(desk.change(vec![Operation::Undrain(worker.clone())], vec![]).is_ok());
                    model.remove(worker.as_str());
                }
                3 => drop(desk.join(&who.to_string(), life)),
                4 => drop(desk.ask(Action::ExpireSession { member: worker, session: life })),
                5 => drop(desk.change(vec![Operation::PutWorker(worker, worker_with(life))], vec![])),
                _ => {
                    let text = serde_json::to_string(&desk.state).expect("text");
                    let restored: State = serde_json::from_str(&text).expect("the same");
                    prop_assert_eq!(&restored, &desk.state);
                    desk.state = restored;
                }
            }
            if listens {
                let news = desk.state.changes_after(follower.revision(), 3).expect("not compacted");
                prop_assert!(follower.apply_changes(Duration::ZERO, &news).is_ok());
            }
        }
        while follower.revision() < desk.state.revision() {
            let news = desk.state.changes_after(follower.revision(), 3).expect("not compacted");
            prop_assert!(follower.apply_changes(Duration::ZERO, &news).is_ok());
        }
        prop_assert_eq!(follower.copy(), &desk.state.snapshot());
        let marks: Vec<String> = follower.drained_workers().into_iter().map(|n| n.to_string()).collect();
        prop_assert_eq!(marks, model.into_keys().collect::<Vec<_>>());
    }
}

fn worker_with(slots: u64) -> Worker {
    Worker { slots: slots as u32, ..worker() }
}
