//! A deterministic simulation of a replicated group: seeded network, clocks, disks and faults.

#![allow(dead_code)]

pub mod checker;
pub mod disk;
pub mod faults;
pub mod machine;
pub mod process;
pub mod random;
pub mod repair;
pub mod report;
pub mod transcript;
pub mod world;

use pebblepost_replication::guards::{RegisterGuards, ReplicaGuards};
use pebblepost_replication::record::Tolerance;
use pebblepost_replication::replica::ReplicaSettings;
use std::time::Duration;

/// What a schedule is played with.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Machines at the start, all founders.
    pub machines: usize,
    /// Machines that may be lost at once.
    pub tolerance: usize,
    pub plan: Plan,
    pub register_guards: RegisterGuards,
    pub replica_guards: ReplicaGuards,
    /// Fault of the caller: a wiped machine comes back under its old identity.
    pub wiped_keeps_identity: bool,
}

/// Which faults a schedule has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Any number of machines stops, freezes or is cut off at any time; at most as many disks as
    /// are to be borne are lost over the whole schedule.
    Wild,
    /// At most as many machines as are to be borne are lost at once, each counting 4.5 s after
    /// its return; disks are lost and machines are replaced again and again.
    Borne,
    /// The wanted holders of the group change, beside the faults of `Wild` without lost disks.
    Targets,
    /// Faults strike at the moments when the group changes: records proposed, records chosen,
    /// joiners added, witnesses replaced. No disks are lost; one spare machine is there.
    Ambush,
    /// The next disks are lost in the moment in which the group holds itself to be repaired.
    SecondLoss,
    /// Machines that missed changes come back while those that hold them are gone.
    Behind,
}

impl Options {
    pub fn new(machines: usize, tolerance: usize, plan: Plan) -> Self {
        Self {
            machines,
            tolerance,
            plan,
            register_guards: RegisterGuards::default(),
            replica_guards: ReplicaGuards::default(),
            wiped_keeps_identity: false,
        }
    }
}

/// The timing of the simulated group.
pub fn settings(tolerance: usize) -> ReplicaSettings {
    ReplicaSettings {
        tolerance: Tolerance { machines: tolerance, zones: 0, regions: 0 },
        beacon: Duration::from_millis(100),
        lease: Duration::from_millis(500),
        grace: Duration::from_millis(600),
        most_lag: Duration::from_millis(600),
        most_own_write: Duration::from_millis(400),
        kept_bytes: 600,
    }
}

/// Plays one schedule; what was broken, if anything.
pub fn play(options: Options, seed: u64) -> Result<world::Summary, String> {
    let mut world = world::World::new(options, seed);
    world.run()
}

/// Plays many schedules and panics at the first that breaks something.
pub fn play_all(options: Options, first_seed: u64, count: u64) {
    let mut acknowledged = 0;
    for seed in first_seed..first_seed + count {
        match play(options, seed) {
            Ok(summary) => acknowledged += summary.acknowledged,
            Err(broken) => panic!("{options:?}, seed {seed}: {broken}"),
        }
    }
    assert!(acknowledged > count * 10, "only {acknowledged} acknowledged in {count} schedules");
}

/// The first seed of so many that breaks a safety rule.
pub fn first_broken(options: Options, first_seed: u64, count: u64) -> Option<(u64, String)> {
    (first_seed..first_seed + count).find_map(|seed| {
        let broken = play(options, seed).err().filter(|broken| !broken.contains(world::LIVENESS));
        broken.map(|broken| (seed, broken))
    })
}
