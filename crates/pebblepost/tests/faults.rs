//! Disk failures and clock errors of the fleet store's replicas. Needs the feature `faults`.

mod common;

use common::replicas::{LIMIT, Replicas};
use common::{RunningDaemon, platform_config, wait_for};
use serde_json::json;
use std::process::Stdio;
use std::time::Duration;

/// Fails the disk of the leader, then that of a follower. Each failing replica must stop with an error that names its file,
/// and the others must lose no committed change and keep committing.
fn check_disk_failure(subnet: u8, failpoint: &str, expected_error: &str) {
    let mut replicas = Replicas::start(subnet);
    replicas.fleet_command_until_success(&["drain", "a"]);
    let (leader, _) = replicas.leader_and_revisions();
    let mut committed = 1_u64;
    // The number of changes until the disk fails depends on how many go into one write, so changes are made until the
    // replica has stopped.
    for (round, failing) in [leader, (leader + 1) % 3].into_iter().enumerate() {
        replicas.kill(failing);
        replicas.start_replica_with(failing, Stdio::piped(), &[("FAILPOINTS", failpoint)]);
        wait_for(LIMIT, "the replica with the failing disk did not stop", || {
            replicas.fleet_command_until_success(&["drain", &format!("w-{round}-{committed}")]);
            committed += 1;
            let child = replicas.running[failing].as_mut().expect("a running replica");
            child.try_wait().expect("a child").map(drop)
        });
        let errors = replicas.wait_for_failure(failing);
        assert!(errors.contains("keeper.redb") && errors.contains(expected_error), "{errors}");
        replicas.fleet_command_until_success(&["drain", &format!("after-{round}")]);
        committed += 1;
        // With a working disk the replica catches up.
        replicas.start_replica(failing);
        wait_for(LIMIT, "the restarted replica did not catch up", || {
            (replicas.leader_and_revisions().1[failing] == committed).then_some(())
        });
    }
    let state = replicas.fleet_command_until_success(&["show"]);
    assert_eq!(state.matches("drain/").count(), committed as usize);
}

#[test]
fn a_full_disk_stops_one_replica_and_the_others_lose_no_data() {
    check_disk_failure(6, "disk_write=10*off->return", "No space left");
}

#[test]
fn a_failed_disk_sync_stops_one_replica_and_the_others_lose_no_data() {
    check_disk_failure(10, "disk_sync=60*off->return", "Input/output error");
}

/// Restarts all replicas with clocks that are an hour ahead and run at `rate` times the real speed.
fn restart_with_clock_rate(replicas: &mut Replicas, rate: &str) {
    for n in 0..3 {
        replicas.kill(n);
        let clocks = [("PEBBLEPOST_FAULT_CLOCK_RATE", rate), ("PEBBLEPOST_FAULT_CLOCK_JUMP_S", "3600")];
        replicas.start_replica_with(n, Stdio::null(), &clocks);
    }
    replicas.leader_and_revisions();
}

#[test]
fn clock_error_within_bounds_expires_no_session_and_a_far_faster_clock_does() {
    let mut replicas = Replicas::start(7);
    restart_with_clock_rate(&mut replicas, "1.05");
    let fleet = json!({"keepers": replicas.addresses_json()});
    let mut config = platform_config(&[], None);
    config["name"] = json!("a");
    let _node = RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})));
    let wait_for_session = |replicas: &Replicas| {
        wait_for(LIMIT, "the dispatcher did not become a member", || {
            let members = replicas.fleet_command_until_success(&["members"]);
            let words =
                members.lines().find(|line| line.contains("here life"))?.split("session ").nth(1)?.to_owned();
            words.split(' ').next()?.parse::<u64>().ok()
        })
    };
    let first = wait_for_session(&replicas);
    // Twice the session's time to live, by the replicas' clocks.
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(
        wait_for_session(&replicas),
        first,
        "a session expired with clocks an hour ahead and 5 % fast"
    );
    restart_with_clock_rate(&mut replicas, "60");
    wait_for(LIMIT, "the session, 0.05 s long by the fast clocks, did not expire", || {
        replicas.fleet_command_until_success(&["members"]).contains("lost life").then_some(())
    });
}
