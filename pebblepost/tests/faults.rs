//! A disk that is full in the middle of a group's work (the build with faults).

mod common;

use common::keepers::{Keepers, LIMIT};
use common::within;
use std::process::Stdio;

#[test]
fn a_full_disk_ends_one_keeper_by_name_and_the_others_lose_nothing_and_go_on() {
    let mut keepers = Keepers::start(6);
    keepers.fleet_until(&["drain", "a"]);
    let (leader, _) = keepers.look();
    // The one that leads, and then one that follows: forty more writes, and there is no room.
    for (round, full) in [leader, (leader + 1) % 3].into_iter().enumerate() {
        keepers.kill(full);
        keepers.run_with(full, Stdio::piped(), &[("FAILPOINTS", "disk_write=40*off->return")]);
        for n in 0..40 {
            keepers.fleet_until(&["drain", &format!("w-{round}-{n}")]);
        }
        let said = keepers.ends(full);
        assert!(said.contains("keeper.redb") && said.contains("No space left"), "{said}");
        keepers.fleet_until(&["drain", &format!("after-{round}")]);
        // There is room again: it has all that was agreed.
        keepers.run(full);
        let agreed = 1 + 41 * (round as u64 + 1);
        within(LIMIT, "it has caught up", || (keepers.look().1[full] == agreed).then_some(()));
    }
    let state = keepers.fleet_until(&["show"]);
    assert_eq!(state.matches("drain/").count(), 1 + 2 * 41);
}
