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
    let mut agreed = 1_u64;
    // The one that leads, and then one that follows: ten more writes, and there is no room. How many changes that takes
    // depends on how many come in one write, so they are made until it has ended.
    for (round, full) in [leader, (leader + 1) % 3].into_iter().enumerate() {
        keepers.kill(full);
        keepers.run_with(full, Stdio::piped(), &[("FAILPOINTS", "disk_write=10*off->return")]);
        within(LIMIT, "it ends", || {
            keepers.fleet_until(&["drain", &format!("w-{round}-{agreed}")]);
            agreed += 1;
            let child = keepers.running[full].as_mut().expect("started");
            child.try_wait().expect("a child").map(drop)
        });
        let said = keepers.ends(full);
        assert!(said.contains("keeper.redb") && said.contains("No space left"), "{said}");
        keepers.fleet_until(&["drain", &format!("after-{round}")]);
        agreed += 1;
        // There is room again: it has all that was agreed.
        keepers.run(full);
        within(LIMIT, "it has caught up", || (keepers.look().1[full] == agreed).then_some(()));
    }
    let state = keepers.fleet_until(&["show"]);
    assert_eq!(state.matches("drain/").count(), agreed as usize);
}
