//! Full disks and wrong clocks of the fleet store's replicas (with the feature `faults`).

mod common;

use common::replicas::{LIMIT, Replicas};
use common::{RunningDaemon, platform, within};
use serde_json::json;
use std::process::Stdio;
use std::time::Duration;

/// Fails the leader's disk, then a follower's: each replica stops and names its file, and the others lose nothing and go on.
fn fails(first: u8, failpoint: &str, says: &str) {
    let mut replicas = Replicas::start(first);
    replicas.fleet_until(&["drain", "a"]);
    let (leader, _) = replicas.leader_and_revisions();
    let mut agreed = 1_u64;
    // The leader, then a follower. How many changes it takes until the disk fails depends on how many go into one write, so
    // changes are made until the replica has stopped.
    for (round, bad) in [leader, (leader + 1) % 3].into_iter().enumerate() {
        replicas.kill(bad);
        replicas.run_with(bad, Stdio::piped(), &[("FAILPOINTS", failpoint)]);
        within(LIMIT, "it ends", || {
            replicas.fleet_until(&["drain", &format!("w-{round}-{agreed}")]);
            agreed += 1;
            let child = replicas.running[bad].as_mut().expect("started");
            child.try_wait().expect("a child").map(drop)
        });
        let said = replicas.ends(bad);
        assert!(said.contains("keeper.redb") && said.contains(says), "{said}");
        replicas.fleet_until(&["drain", &format!("after-{round}")]);
        agreed += 1;
        // The disk works again: the replica catches up.
        replicas.run(bad);
        within(LIMIT, "it has caught up", || {
            (replicas.leader_and_revisions().1[bad] == agreed).then_some(())
        });
    }
    let state = replicas.fleet_until(&["show"]);
    assert_eq!(state.matches("drain/").count(), agreed as usize);
}

#[test]
fn a_full_disk_ends_one_keeper_by_name_and_the_others_lose_nothing_and_go_on() {
    fails(6, "disk_write=10*off->return", "No space left");
}

#[test]
fn a_sync_that_fails_ends_one_keeper_by_name_and_the_others_lose_nothing_and_go_on() {
    fails(10, "disk_sync=60*off->return", "Input/output error");
}

/// Restarts all replicas with clocks of this rate, an hour ahead.
fn with_clocks(replicas: &mut Replicas, rate: &str) {
    for n in 0..3 {
        replicas.kill(n);
        let clocks = [("PEBBLEPOST_FAULT_CLOCK_RATE", rate), ("PEBBLEPOST_FAULT_CLOCK_JUMP_S", "3600")];
        replicas.run_with(n, Stdio::null(), &clocks);
    }
    replicas.leader_and_revisions();
}

#[test]
fn clocks_within_their_bounds_end_no_session_and_one_far_beyond_them_does() {
    let mut replicas = Replicas::start(7);
    with_clocks(&mut replicas, "1.05");
    let fleet = json!({"keepers": replicas.addresses_json()});
    let mut config = platform(&[], None);
    config["name"] = json!("a");
    let _node = RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})));
    let session = |replicas: &Replicas| {
        within(LIMIT, "it is a member", || {
            let members = replicas.fleet_until(&["members"]);
            let words =
                members.lines().find(|line| line.contains("here life"))?.split("session ").nth(1)?.to_owned();
            words.split(' ').next()?.parse::<u64>().ok()
        })
    };
    let first = session(&replicas);
    // Twice a session's lifetime, by the replicas' clocks.
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(session(&replicas), first, "a clock ahead by an hour and fast by a twentieth ended a session");
    with_clocks(&mut replicas, "60");
    within(LIMIT, "a session that lasts a twentieth of a second ends", || {
        replicas.fleet_until(&["members"]).contains("lost life").then_some(())
    });
}
