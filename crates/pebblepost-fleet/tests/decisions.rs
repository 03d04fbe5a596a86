//! Decisions pinned by digests of whole seeded runs with random commands, heartbeats, followers, and the
//! driver and simulation of a release. A digest covers what is written out (JSON, error texts, numbers) and
//! its order, but no names of Rust items.

use pebblepost_fleet::follower::Follower;
use pebblepost_fleet::heartbeat::HeartbeatReport;
use pebblepost_fleet::leader::{
    HeartbeatOutcome, Sessions, drain_status, majority_worker_update, request_totals,
};
use pebblepost_fleet::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::simulation::{ReleasePlan, simulate};
use pebblepost_fleet::value::Presence;
use pebblepost_fleet::{Action, Command, Limit, Name, RequestId, State, SubjectKind};
use pebblepost_stable_hash::Fnv1a;
use serde::Serialize;
use std::time::Duration;

/// A digest of decisions in their JSON or text form.
#[derive(Default)]
struct Digest(Fnv1a);

impl Digest {
    fn text(&mut self, text: &str) {
        self.0.update(text.as_bytes());
        self.0.update(&[0]);
    }

    fn json<T: Serialize>(&mut self, value: &T) {
        self.text(&serde_json::to_string(value).expect("serializes to JSON"));
    }
}

/// A `splitmix64` generator, so that the numbers do not depend on the version of a crate.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % end
    }

    fn next_bool(&mut self) -> bool {
        self.below(2) == 0
    }

    fn worker(&mut self) -> String {
        format!("w{}", self.below(6))
    }

    fn dispatcher(&mut self) -> String {
        format!("d{}", self.below(5))
    }

    fn limit(&mut self) -> String {
        match self.below(3) {
            0 => format!(r#"{{"count":{}}}"#, self.below(4)),
            1 => r#"{"share":0.5}"#.to_owned(),
            _ => r#"{"share":1.0}"#.to_owned(),
        }
    }

    fn operation(&mut self, state: &State) -> String {
        let kind = if self.next_bool() { "dispatcher" } else { "worker" };
        let (worker, dispatcher, revision) = (self.worker(), self.dispatcher(), state.revision());
        let subject =
            if kind == "worker" { format!("worker/{worker}") } else { format!("dispatcher/{dispatcher}") };
        let granted = state
            .permit(&subject.parse().expect("a valid string"))
            .and_then(|permit| permit.granted_at_revision)
            .unwrap_or(1);
        match self.below(24) {
            0 => format!(r#"{{"drain":"{worker}"}}"#),
            1 => format!(r#"{{"undrain":"{worker}"}}"#),
            2 => format!(r#"{{"set":["faktory.heartbeat_s",{}]}}"#, self.below(5)),
            3 => r#"{"unset":"faktory.heartbeat_s"}"#.to_owned(),
            4 | 5 => {
                let zone = self.below(2);
                format!(r#"{{"know":["{worker}",{{"zone":"z{zone}","kind":"k{zone}","slots":4}}]}}"#)
            }
            6 => format!(r#"{{"forget":"{worker}"}}"#),
            7 => format!(r#"{{"dismiss":"{dispatcher}"}}"#),
            8..=10 => {
                let (most, zone, least) = (self.limit(), self.limit(), self.below(2));
                format!(
                    r#"{{"budget":["{kind}",{{"most":{most},"most_in_zone":{zone},"least_in_zone":{least}}}]}}"#
                )
            }
            11 => format!(r#"{{"halt":"{kind}"}}"#),
            12 => format!(r#"{{"resume":"{kind}"}}"#),
            13..=15 => format!(r#"{{"ask":{{"subject":"{subject}","urgent":{}}}}}"#, self.next_bool()),
            16 => format!(r#"{{"withdraw":"{subject}"}}"#),
            17 => format!(r#"{{"back":["{subject}",{granted}]}}"#),
            18 => format!(r#"{{"force":"{subject}"}}"#),
            19 | 20 => {
                let (version, wave) = (self.below(3), self.limit());
                format!(
                    r#"{{"release":{{"want":"v{version}","waves":[{wave},{{"share":1.0}}],"zones":["z1"]}}}}"#
                )
            }
            21 => format!(r#"{{"go_back":"v{}"}}"#, self.below(3)),
            22 => format!(r#"{{"advance":{}}}"#, self.below(2)),
            _ if self.next_bool() => r#""end_release""#.to_owned(),
            _ => format!(r#"{{"revoke":{{"task":"t0","fence":{revision},"to":"{dispatcher}"}}}}"#),
        }
    }

    fn action(&mut self, state: &State) -> String {
        let member = self.dispatcher();
        let session =
            state.member(&member.parse().expect("a valid string")).map_or(1, |member| member.session);
        let session = if self.below(8) == 0 { session + 1 } else { session };
        match self.below(20) {
            0..=3 => {
                let (life, version, zone) = (self.below(4), self.below(3), self.below(2));
                let ready = self.below(4) > 0;
                format!(
                    r#"{{"join":{{"member":"{member}","life":[1,{life}],"card":{{"role":"dispatcher","version":"v{version}","zone":"z{zone}","ready":{ready}}}}}}}"#
                )
            }
            4 => format!(
                r#"{{"report":{{"member":"{member}","session":{session},"number":{},"ready":{}}}}}"#,
                self.below(5),
                self.next_bool()
            ),
            5 => format!(r#"{{"leave":{{"member":"{member}","session":{session}}}}}"#),
            6 | 7 => format!(
                r#"{{"acquire":{{"member":"{member}","session":{session},"tasks":["t0","t{}"]}}}}"#,
                self.below(3)
            ),
            8 => format!(
                r#"{{"give_back":{{"member":"{member}","session":{session},"task":"t{}"}}}}"#,
                self.below(3)
            ),
            9 => format!(r#"{{"lapse":{{"member":"{member}","session":{}}}}}"#, session.saturating_sub(3)),
            10 => format!(
                r#"{{"sighted":{{"workers":{{"{}":{{"zone":"z0","kind":"k0","sight":"ready"}},"{}":null}}}}}}"#,
                self.worker(),
                self.worker()
            ),
            11 => format!(r#"{{"expire":{{"member":"{member}","session":{session}}}}}"#),
            12 => format!(r#"{{"admit":{{"keeper":{},"disk":{}}}}}"#, self.below(4), self.below(2)),
            13 if self.below(10) == 0 => {
                format!(
                    r#"{{"restore":{}}}"#,
                    serde_json::to_string(&state.snapshot()).expect("serializes to JSON")
                )
            }
            _ => {
                let operations: Vec<String> = (0..1 + self.below(2)).map(|_| self.operation(state)).collect();
                format!(r#"{{"change":{{"ops":[{}],"why":"because"}}}}"#, operations.join(","))
            }
        }
    }

    fn heartbeat(&mut self, state: &State) -> String {
        let acts_by = state.revision().saturating_sub(self.below(6));
        let busy = if self.next_bool() { format!(r#""{}""#, self.worker()) } else { String::new() };
        let answered = self.below(50);
        let served = answered - self.below(answered + 1) / 4;
        let sight = ["ready", "cold", "out"][self.below(3) as usize];
        format!(
            r#"{{"acts_by":{acts_by},"busy":[{busy}],"counts":{{"answered":{answered},"served":{served}}},"differs":{{"w9":{{"zone":"z0","kind":"k0","sight":"{sight}"}}}}}}"#
        )
    }
}

/// Runs a fleet, its leader, a follower and a driver for a number of steps. Returns the digest of all
/// decisions.
fn whole_run(seed: u64, steps: u64) -> u64 {
    let (mut digest, mut random, mut state) = (Digest::default(), RandomNumbers(seed), State::default());
    let mut sessions = Sessions::new(SessionTtl(Duration::from_secs(10)));
    let mut follower = Follower::default();
    let policy = ReleasePolicy {
        observation_time: Duration::from_secs(30),
        wave_timeout: Duration::from_secs(120),
        max_crashes: 2,
        max_success_rate_drop: 0.05,
        min_answers: 10,
    };
    let mut driver = ReleaseDriver::new(policy);
    for step in 0..steps {
        let now = Duration::from_millis(step * 700);
        let act: Action = serde_json::from_str(&random.action(&state)).expect("a command");
        let mut acts = vec![act];
        let members: Vec<(Name, u64)> = state
            .members()
            .filter(|_| random.below(3) > 0)
            .map(|(n, member)| (n.clone(), member.session))
            .collect();
        for (member, session) in members {
            let report: Option<HeartbeatReport> = random
                .next_bool()
                .then(|| serde_json::from_str(&random.heartbeat(&state)).expect("a heartbeat"));
            let renewed =
                sessions.record_heartbeat(now, &state, &member, session, report) == HeartbeatOutcome::Renewed;
            digest.json(&renewed);
        }
        acts.extend(sessions.expire_sessions(now, &state));
        acts.extend(majority_worker_update(&state, &sessions));
        digest.json(&acts);
        let requests = request_totals(&state, &sessions);
        digest.json(&requests);
        for worker in 0..6 {
            digest.json(&drain_status(
                &state,
                &sessions,
                &format!("w{worker}").parse().expect("a valid string"),
            ));
        }
        match driver.next_step(now, &state.snapshot(), &requests) {
            NextStep::Wait => digest.text("wait"),
            NextStep::Halted => digest.text("halted"),
            NextStep::Finished => digest.text("over"),
            NextStep::Propose { operation, reason: why } => {
                digest.json(&operation);
                digest.text(&why);
                acts.push(Action::Change {
                    operations: vec![operation],
                    preconditions: Vec::new(),
                    reason: Default::default(),
                });
            }
        }
        for (n, act) in acts.into_iter().enumerate() {
            let id = RequestId(step, n as u64);
            let by = "someone".parse().expect("a valid string");
            let answer = state.apply(&Command { id, issued_by: by, issued_at_ms: step, action: act });
            digest.json(&answer);
            if let Err(rejection) = &answer {
                digest.text(&rejection.to_string());
            }
        }
        follow(&mut follower, &state, &mut random, &mut digest, now);
        if step % 50 == 0 {
            dry_run(&state, &mut random, &mut digest);
        }
    }
    digest.json(&state);
    digest.json(&follower);
    let present = state.members().filter(|(_, member)| member.presence == Presence::Present).count();
    digest.json(&present);
    digest.0.finish()
}

fn follow(
    follower: &mut Follower, state: &State, random: &mut RandomNumbers, digest: &mut Digest, now: Duration,
) {
    let result = match random.below(4) {
        0 => follower.apply_snapshot(now, state.snapshot()),
        1 => follower.confirm(now, state.revision()),
        2 => match state.changes_after(follower.revision(), 64) {
            Some(changes) => follower.apply_changes(now, &changes),
            None => follower.apply_snapshot(now, state.snapshot()),
        },
        _ => Ok(()),
    };
    if let Err(error) = result {
        digest.text(&error.to_string());
    }
    let worker: Name = random.worker().parse().expect("a valid string");
    let (id, by) = (RequestId(7, state.revision()), "op".parse().expect("a valid string"));
    let local = match random.below(6) {
        0 => follower.drain(worker, id, by, 3, Default::default()),
        1 => follower.undrain(&worker),
        _ => Ok(()),
    };
    if let Err(error) = local {
        digest.text(&error.to_string());
    }
    if let Some(proposal) = follower.next_proposal() {
        digest.json(&proposal);
        let answer = state.clone().apply(&proposal);
        let _ = follower.record_result(proposal.id, &answer);
    }
    digest.json(&follower.drained_workers());
    digest.json(&follower.newest_drain_revision());
}

fn dry_run(state: &State, random: &mut RandomNumbers, digest: &mut Digest) {
    let waves = vec![Limit::Count(1 + random.below(2) as u32), Limit::Fraction(1.0)];
    let plan = ReleasePlan {
        version: "v9".parse().expect("a valid string"),
        waves,
        zone_order: Vec::new(),
        observation_time: Duration::from_secs(30),
        restart_time: Duration::from_secs(10),
    };
    match simulate(&state.snapshot(), &"op".parse().expect("a valid string"), &plan) {
        Ok(waves) => digest.json(&waves),
        Err(error) => digest.text(&error.to_string()),
    }
    for kind in [SubjectKind::Dispatcher, SubjectKind::Worker] {
        let availability = state.availability(kind);
        digest.json(&(
            availability.unavailable_count(),
            availability.reached_count(),
            availability.wave_is_complete(),
            availability.queue(),
            availability.select_grants(),
        ));
        for name in availability.subjects.keys() {
            digest.text(
                &availability
                    .check_grant(name)
                    .map_or_else(|waits| waits.to_string(), |()| "fits".to_owned()),
            );
            digest.json(&availability.impossible_reason(name).map(|reason| reason.to_string()));
        }
    }
}

#[test]
fn seeded_runs_match_the_approved_digests() {
    let digests: Vec<u64> = (1..=4).map(|seed| whole_run(seed, 600)).collect();
    assert_eq!(
        digests,
        [10165176791083327862, 11867723574236821670, 16223771237942195996, 2745492736546804235]
    );
}

/// The error texts shown to operators.
#[test]
fn error_texts_match_the_stored_texts() {
    let path = std::path::PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stored/error_texts.txt");
    let mut texts = Vec::new();
    for bad in ["", "x/y", "drain/", "drain/a\nb", &format!("drain/{}", "x".repeat(201)), "permit/x/y", "x"] {
        texts.push(bad.parse::<pebblepost_fleet::Key>().expect_err("not a valid key").to_string());
    }
    for bad in ["", "x", "101%", "-1%", "x%", "-1"] {
        texts.push(bad.parse::<Limit>().expect_err("not a valid limit").to_string());
    }
    for good in ["3", "10%", "100%"] {
        texts.push(good.parse::<Limit>().expect("a limit").to_string());
    }
    texts.extend(error_texts());
    assert_eq!(texts.join("\n"), std::fs::read_to_string(path).expect("the file is readable").trim_end());
}

fn error_texts() -> Vec<String> {
    use pebblepost_fleet::availability::WaitReason;
    use pebblepost_fleet::fencing::{FencingGuard, NotAuthorized};
    use pebblepost_fleet::follower::{LocalDrainError, UpdateError};
    use pebblepost_fleet::leader::UnconfirmedReason;
    let mut texts: Vec<String> = [
        UnconfirmedReason::StaleRevision(3),
        UnconfirmedReason::Busy,
        UnconfirmedReason::NoReport,
        UnconfirmedReason::Absent,
    ]
    .map(|reason| reason.to_string())
    .into();
    let waits = [
        WaitReason::NoBudget,
        WaitReason::Halted,
        WaitReason::FleetLimit(1),
        WaitReason::ZoneLimit(2),
        WaitReason::MachineTypeLimit(3),
        WaitReason::WaveLimit(4),
        WaitReason::ZoneOrder,
    ];
    texts.extend(waits.map(|reason| reason.to_string()));
    texts.extend(
        [NotAuthorized::NotHolder, NotAuthorized::Revoked, NotAuthorized::WouldExpire]
            .map(|error| error.to_string()),
    );
    texts.extend(
        [LocalDrainError::Full, LocalDrainError::Replicated, LocalDrainError::Unknown]
            .map(|error| error.to_string()),
    );
    texts.extend(
        [UpdateError::Gap { found: 1, own: 2 }, UpdateError::Stale { found: 1, own: 2 }]
            .map(|error| error.to_string()),
    );
    let (mut fence, task) = (FencingGuard::default(), "t".parse().expect("a valid string"));
    fence.check(&task, 4).expect("the first token is accepted");
    texts.push(fence.check(&task, 3).expect_err("an older token is rejected").to_string());
    texts
}
