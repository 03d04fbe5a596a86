//! Tests of the rules of the replicated state. Each test fails without the rule in its name.

use pebblepost_fleet::follower::{Follower, LocalDrainError, ProposalOutcome, UpdateError};
use pebblepost_fleet::leader::{HeartbeatOutcome, Sessions};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::state::{MAX_LOGGED_KEYS, MAX_OPERATIONS_PER_COMMAND, MAX_STORED_RESULTS, MAX_WORKERS};
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
    text.parse().expect("a valid name")
}

/// A replicated state, with the number of the last request.
#[derive(Default)]
struct Fleet {
    state: State,
    last_request: u64,
}

impl Fleet {
    fn command(&mut self, action: Action) -> Command {
        self.last_request += 1;
        Command {
            id: RequestId(7, self.last_request),
            issued_by: name("op"),
            issued_at_ms: 1_000 + self.last_request,
            action,
        }
    }

    fn apply(&mut self, action: Action) -> CommandResult {
        let command = self.command(action);
        self.state.apply(&command)
    }

    fn change(&mut self, operations: Vec<Operation>, preconditions: Vec<Precondition>) -> CommandResult {
        self.apply(Action::Change { operations, preconditions, reason: Text::default() })
    }

    fn join(&mut self, member: &str, incarnation: u64) -> CommandResult {
        let info = MemberInfo {
            role: Role::Dispatcher,
            version: Text::default(),
            address: None,
            zone: Text::default(),
            ready: true,
        };
        self.apply(Action::Join { member: name(member), incarnation_id: IncarnationId(0, incarnation), info })
    }

    fn drained(&self, worker: &str) -> bool {
        self.state.get(&Key::Drain(name(worker))).is_some()
    }
}

fn drain(worker: &str) -> Operation {
    Operation::Drain(name(worker))
}

fn key(text: &str) -> Key {
    text.parse().expect("a valid key")
}

fn worker() -> Worker {
    let address = Some("127.0.0.1:9".parse().expect("an address"));
    Worker { address, slots: 2, ..Worker::default() }
}

#[test]
fn rejects_the_whole_command_when_a_precondition_fails() {
    let mut fleet = Fleet::default();
    let first = fleet.change(vec![drain("a")], vec![]).expect("the command is accepted").revision;
    let expect = |revision| vec![Precondition { key: key("drain/a"), revision }];
    // Another command changes the key first.
    fleet.change(vec![Operation::Undrain(name("a"))], vec![]).expect("the command is accepted");
    let rejected = fleet.change(vec![drain("b"), drain("a")], expect(first));
    assert_eq!(
        rejected,
        Err(Rejection::Conflict { key: key("drain/a"), expected: first, found: 0, state_revision: 2 })
    );
    assert!(!fleet.drained("b"), "the whole command is rejected");
    assert!(fleet.change(vec![drain("b"), drain("a")], expect(0)).is_ok());
    assert!(fleet.drained("a") && fleet.drained("b"));
}

#[test]
fn applies_a_retried_request_once_and_repeats_its_result() {
    let mut fleet = Fleet::default();
    let request = fleet.command(Action::Change {
        operations: vec![drain("a")],
        preconditions: vec![],
        reason: Text::default(),
    });
    let first = fleet.state.apply(&request);
    fleet.change(vec![Operation::Undrain(name("a"))], vec![]).expect("the command is accepted");
    // The result was lost and the retry is late: it must not set the drain mark again.
    assert_eq!(fleet.state.apply(&request), first);
    assert!(!fleet.drained("a"));
    for n in 0..MAX_STORED_RESULTS {
        assert!(fleet.change(vec![drain(&format!("w{n}"))], vec![]).is_ok());
    }
    assert!(
        serde_json::to_string(&fleet.state).expect("serializes to JSON").matches("\"Ok\"").count()
            <= MAX_STORED_RESULTS
    );
}

#[test]
fn rejects_invalid_commands_without_any_effect() {
    let mut fleet = Fleet::default();
    let set = |name_: &str, value| vec![Operation::SetSetting(name(name_), value)];
    let many = (0..=MAX_OPERATIONS_PER_COMMAND).map(|n| drain(&n.to_string())).collect();
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
        let rejected = fleet.change(ops, vec![]);
        assert!(matches!(rejected, Err(Rejection::Invalid { .. })), "{}", &text[..text.len().min(80)]);
    }
    assert_eq!(fleet.state.revision(), 0);
    for bad in ["", "x/y", "drain/", "drain/a\nb", &format!("drain/{}", "x".repeat(201))] {
        assert!(bad.parse::<Key>().is_err(), "{bad}");
    }
    assert!(
        serde_json::from_str::<Operation>(r#"{"drain":""}"#).is_err(),
        "names are validated when they are deserialized"
    );
}

#[test]
fn bounds_the_number_of_keys_and_the_log() {
    let mut fleet = Fleet::default();
    let mut known = 0;
    while known < MAX_WORKERS {
        let some = MAX_OPERATIONS_PER_COMMAND.min(MAX_WORKERS - known);
        let ops =
            (known..known + some).map(|n| Operation::PutWorker(name(&n.to_string()), worker())).collect();
        assert!(fleet.change(ops, vec![]).is_ok());
        known += some;
    }
    let full = fleet.change(vec![Operation::PutWorker(name("more"), worker())], vec![]);
    assert_eq!(full, Err(Rejection::Full { resource: "workers".to_owned(), capacity: MAX_WORKERS }));
    let again = Worker { slots: 3, ..worker() };
    assert!(
        fleet.change(vec![Operation::PutWorker(name("1"), again)], vec![]).is_ok(),
        "an existing worker can be replaced at full capacity"
    );
    let logged: usize = fleet.state.history().map(|change| change.items.len()).sum();
    assert!(logged <= MAX_LOGGED_KEYS, "{logged}");
    assert_eq!(fleet.state.changes_after(0, 10), None, "the changes were compacted, so a snapshot is needed");
    let last = fleet.state.revision() - 1;
    assert_eq!(fleet.state.changes_after(last, 10).map(|changes| changes.len()), Some(1));
    assert_eq!(fleet.state.changes_after(last + 2, 10), None, "the state never had that revision");
}

#[test]
fn a_drain_mark_keeps_its_first_issuer_and_a_command_without_effect_creates_no_revision() {
    let mut fleet = Fleet::default();
    fleet.change(vec![drain("a")], vec![]).expect("the command is accepted");
    let before = fleet.state.get(&key("drain/a")).cloned();
    assert_eq!(
        fleet.change(vec![drain("a"), Operation::Undrain(name("b"))], vec![]).map(|outcome| outcome.revision),
        Ok(1)
    );
    assert_eq!(fleet.state.get(&key("drain/a")).cloned(), before);
}

#[test]
fn a_new_incarnation_ends_the_old_session_and_the_old_one_cannot_rejoin() {
    let mut fleet = Fleet::default();
    let session = |result: CommandResult| {
        result.expect("the command is accepted").session.expect("a join returns a session")
    };
    let old = session(fleet.join("n0", 1));
    let new = session(fleet.join("n0", 2));
    assert!(new > old);
    let leave = |session| Action::Leave { member: name("n0"), session };
    assert_eq!(fleet.apply(leave(old)), Err(Rejection::SessionEnded { member: name("n0"), session: old }));
    // The process of the old incarnation was paused during the restart and resumes.
    assert_eq!(fleet.join("n0", 1), Err(Rejection::Superseded { member: name("n0"), incarnation: 2 }));
    let again = session(fleet.join("n0", 2));
    assert!(again > new, "the same incarnation may join again");
    assert_eq!(fleet.state.member(&name("n0")).map(|member| member.incarnation), Some(2));
    let remove = || vec![Operation::RemoveMember(name("n0"))];
    assert!(
        matches!(fleet.change(remove(), vec![]), Err(Rejection::Invalid { .. })),
        "the member is present"
    );
    assert!(fleet.apply(leave(again)).is_ok());
    assert!(fleet.change(remove(), vec![]).is_ok());
    assert_eq!(fleet.state.member(&name("n0")), None);
}

#[test]
fn a_session_expires_at_the_member_before_it_expires_at_the_leader() {
    let (ttl, mut fleet) = (SessionTtl(Duration::from_secs(10)), Fleet::default());
    assert!(ttl.for_member() < ttl.for_leader().mul_f64(0.95), "each side applies a clock margin of 5%");
    let session =
        fleet.join("n0", 1).expect("the command is accepted").session.expect("a join returns a session");
    let mut leader = Sessions::new(ttl);
    let at = Duration::from_secs_f64;
    // A new leader has received no heartbeats, so it counts from its own start.
    assert_eq!(leader.expire_sessions(at(100.0), &fleet.state), []);
    assert_eq!(leader.expire_sessions(at(110.4), &fleet.state), []);
    assert_eq!(
        leader.record_heartbeat(at(110.4), &fleet.state, &name("n0"), session, None),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(
        leader.record_heartbeat(at(110.4), &fleet.state, &name("n0"), session + 1, None),
        HeartbeatOutcome::SessionEnded
    );
    assert_eq!(leader.expire_sessions(at(120.8), &fleet.state), []);
    let expired = leader.expire_sessions(at(121.0), &fleet.state);
    assert_eq!(expired, [Action::ExpireSession { member: name("n0"), session }]);
    // The command is applied late, after the member has joined again.
    let fresh =
        fleet.join("n0", 1).expect("the command is accepted").session.expect("a join returns a session");
    assert!(
        fleet.apply(expired[0].clone()).is_err(),
        "the expiry of an old session does not end the new one"
    );
    assert_eq!(
        leader.record_heartbeat(at(121.0), &fleet.state, &name("n0"), fresh, None),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(fleet.state.member(&name("n0")).map(|member| member.presence), Some(Presence::Present));
}

/// Requests a drain at a partitioned dispatcher and proposes it after the group has applied the operations.
fn propose_after_partition(group_operations: &[Operation]) -> (Fleet, Follower, CommandResult) {
    let (mut fleet, mut follower) = (Fleet::default(), Follower::default());
    fleet.change(vec![drain("other")], vec![]).expect("the command is accepted");
    follower.apply_snapshot(Duration::ZERO, fleet.state.snapshot()).expect("the snapshot is newer");
    follower.drain(name("a"), RequestId(9, 9), name("op"), 5, Text::default()).expect("capacity is left");
    for op in group_operations {
        fleet.change(vec![op.clone()], vec![]).expect("the command is accepted");
    }
    let proposal = follower.next_proposal().expect("a local drain");
    let result = fleet.state.apply(&proposal);
    (fleet, follower, result)
}

#[test]
fn a_local_drain_takes_effect_at_once_and_without_a_gap_until_it_is_replicated() {
    let (fleet, mut follower, result) = propose_after_partition(&[]);
    let drained = |f: &Follower| f.drained_workers().into_iter().map(|n| n.to_string()).collect::<Vec<_>>();
    assert_eq!(drained(&follower), ["a", "other"]);
    assert_eq!(follower.record_result(RequestId(9, 9), &result), ProposalOutcome::Accepted);
    assert_eq!(
        drained(&follower),
        ["a", "other"],
        "the local drain stays until the copy contains the replicated one"
    );
    assert_eq!(follower.next_proposal(), None);
    assert_eq!(follower.undrain(&name("a")), Err(LocalDrainError::Replicated));
    let changes = fleet.state.changes_after(follower.revision(), 10).expect("the log has the changes");
    follower.apply_changes(Duration::ZERO, &changes).expect("the changes follow the copy");
    assert_eq!(drained(&follower), ["a", "other"]);
    assert_eq!(follower.local_drains().count(), 0);
}

#[test]
fn the_groups_decision_overrules_a_local_drain() {
    let (fleet, mut follower, result) =
        propose_after_partition(&[drain("a"), Operation::Undrain(name("a")), drain("b"), drain("a")]);
    assert!(matches!(result, Err(Rejection::Conflict { .. })));
    assert_eq!(follower.record_result(RequestId(9, 9), &result), ProposalOutcome::Overruled);
    assert!(
        follower.drained_workers().contains(&name("a")),
        "the copy does not contain the group's drain mark yet"
    );
    follower.apply_snapshot(Duration::ZERO, fleet.state.snapshot()).expect("the snapshot is newer");
    assert_eq!(follower.local_drains().count(), 0);
    assert!(follower.drained_workers().contains(&name("a")), "the group's drain mark");
    let (fleet, _, result) = propose_after_partition(&[drain("b")]);
    assert!(result.is_ok() && fleet.drained("a"), "changes of other workers do not overrule the drain");
}

#[test]
fn a_follower_rejects_gaps_and_older_snapshots() {
    let (mut fleet, mut follower) = (Fleet::default(), Follower::default());
    let now = Duration::ZERO;
    fleet.change(vec![drain("a")], vec![]).expect("the command is accepted");
    let old = fleet.state.snapshot();
    for worker in ["b", "c"] {
        fleet.change(vec![drain(worker)], vec![]).expect("the command is accepted");
    }
    let changes = fleet.state.changes_after(1, 10).expect("the log has the changes");
    assert_eq!(follower.apply_changes(now, &changes), Err(UpdateError::Gap { found: 2, own: 0 }));
    assert_eq!(follower.age(now), None);
    follower.apply_snapshot(now, fleet.state.snapshot()).expect("the snapshot is newer");
    assert_eq!(follower.apply_snapshot(now, old), Err(UpdateError::Stale { found: 1, own: 3 }));
    assert!(follower.confirm(now, 4).is_err(), "the copy has missed a change");
    assert_eq!(follower.age(Duration::from_secs(3)), Some(Duration::from_secs(3)));
    assert_eq!(follower.drained_workers().len(), 3);
}

#[test]
fn a_restore_applies_the_backup_and_decreases_no_revision_or_session() {
    let mut fleet = Fleet::default();
    fleet
        .change(vec![drain("a"), Operation::PutWorker(name("w"), worker())], vec![])
        .expect("the command is accepted");
    let old =
        fleet.join("n0", 1).expect("the command is accepted").session.expect("a join returns a session");
    let backup = fleet.state.snapshot();
    let mut follower = Follower::default();
    fleet.change(vec![Operation::Undrain(name("a")), drain("b")], vec![]).expect("the command is accepted");
    follower.apply_snapshot(Duration::ZERO, fleet.state.snapshot()).expect("the snapshot is newer");
    // Once in the group that continues, and once in a new group without any state.
    let mut fresh = Fleet { last_request: 1_000, ..Fleet::default() };
    for fleet in [&mut fleet, &mut fresh] {
        let mut follower = follower.clone();
        let before = fleet.state.revision();
        let done = fleet.apply(Action::Restore(backup.clone())).expect("a valid backup");
        assert!(done.revision > before.max(backup.revision));
        assert!(fleet.drained("a") && !fleet.drained("b"));
        assert_eq!(fleet.state.changes_after(follower.revision(), 10), None, "followers need a snapshot");
        follower.apply_snapshot(Duration::ZERO, fleet.state.snapshot()).expect("the snapshot is newer");
        assert!(follower.drained_workers().contains(&name("a")));
        let new =
            fleet.join("n0", 2).expect("the command is accepted").session.expect("a join returns a session");
        assert!(new > old && fleet.state.member(&name("n0")).is_some_and(|member| member.incarnation == 2));
        assert!(fleet.join("n0", 1).is_err(), "a superseded incarnation stays superseded");
    }
    let mut bad = backup;
    let entry = bad.entries.remove(&key("drain/a")).expect("the member is present");
    bad.entries.insert(key("worker/a"), entry);
    let before = fleet.state.clone();
    assert!(matches!(fleet.apply(Action::Restore(bad)), Err(Rejection::Invalid { .. })));
    assert_eq!(fleet.state.snapshot(), before.snapshot(), "a rejected restore changes nothing");
}

#[test]
fn a_replica_number_belongs_permanently_to_its_first_disk() {
    let mut fleet = Fleet::default();
    let admit = |replica, disk| Action::AdmitReplica { replica, disk };
    fleet.state.register_replicas([(1, 11), (2, 22)]);
    assert!(fleet.apply(admit(2, 22)).is_ok() && fleet.apply(admit(3, 33)).is_ok());
    // The second replica has been removed since, but its number cannot be used again.
    fleet.state.register_replicas([(1, 11), (3, 33)]);
    fleet.state = serde_json::from_str(&serde_json::to_string(&fleet.state).expect("serializes to JSON"))
        .expect("the written state is read back");
    for (replica, disk) in [(2, 23), (3, 34)] {
        assert!(matches!(fleet.apply(admit(replica, disk)), Err(Rejection::Invalid { .. })), "{replica}");
    }
    fleet.state.register_replicas([(2, 23)]);
    assert!(fleet.apply(admit(2, 23)).is_err(), "the number keeps its first disk");
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::with_cases(60) })]

    /// All copies converge for any commands, batches of changes, and restarts from a snapshot at any point.
    #[test]
    fn followers_and_restored_replicas_converge_to_the_state(
        steps in prop::collection::vec((0_u8..7, 0_u8..5, 0_u64..4, any::<bool>()), 1..60),
    ) {
        let (mut fleet, mut follower) = (Fleet::default(), Follower::default());
        let mut expected: BTreeMap<String, bool> = BTreeMap::new();
        for (step, who, number, follows) in steps {
            let worker = name(&who.to_string());
            match step {
                0 | 1 => {
                    prop_assert!(fleet.change(vec![Operation::Drain(worker.clone())], vec![]).is_ok());
                    expected.insert(worker.to_string(), true);
                }
                2 => {
                    prop_assert!(fleet.change(vec![Operation::Undrain(worker.clone())], vec![]).is_ok());
                    expected.remove(worker.as_str());
                }
                3 => drop(fleet.join(&who.to_string(), number)),
                4 => drop(fleet.apply(Action::ExpireSession { member: worker, session: number })),
                5 => drop(fleet.change(vec![Operation::PutWorker(worker, worker_with(number))], vec![])),
                _ => {
                    let text = serde_json::to_string(&fleet.state).expect("serializes to JSON");
                    let restored: State = serde_json::from_str(&text).expect("the written state is read back");
                    prop_assert_eq!(&restored, &fleet.state);
                    fleet.state = restored;
                }
            }
            if follows {
                let changes = fleet.state.changes_after(follower.revision(), 3).expect("the log has the changes");
                prop_assert!(follower.apply_changes(Duration::ZERO, &changes).is_ok());
            }
        }
        while follower.revision() < fleet.state.revision() {
            let changes = fleet.state.changes_after(follower.revision(), 3).expect("the log has the changes");
            prop_assert!(follower.apply_changes(Duration::ZERO, &changes).is_ok());
        }
        prop_assert_eq!(follower.copy(), &fleet.state.snapshot());
        let drained: Vec<String> = follower.drained_workers().into_iter().map(|n| n.to_string()).collect();
        prop_assert_eq!(drained, expected.into_keys().collect::<Vec<_>>());
    }
}

fn worker_with(slots: u64) -> Worker {
    Worker { slots: slots as u32, ..worker() }
}
