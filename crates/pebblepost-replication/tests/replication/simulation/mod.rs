//! A deterministic simulation of a replicated group: seeded network, clocks, disks and faults.

pub mod checker;
pub mod disk;
pub mod faults;
pub mod list_machine;
pub mod machines;
pub mod network;
pub mod outputs;
pub mod process;
pub mod random;
pub mod repeated_loss;
pub mod report;
pub mod transcript;
pub mod violation;
pub mod witness_change;
pub mod world;

use pebblepost_replication::guards::{RegisterGuards, ReplicaGuards};
use pebblepost_replication::record::Tolerance;
use pebblepost_replication::replica::ReplicaSettings;
use std::time::Duration;
use violation::Violation;

/// Parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of machines at the start, all members of the initial configuration.
    pub machines: usize,
    /// Number of machines that may be lost at once.
    pub tolerance: usize,
    pub plan: Plan,
    pub register_guards: RegisterGuards,
    pub replica_guards: ReplicaGuards,
    /// Caller error: a wiped machine comes back under the identity of its old disk.
    pub wiped_machine_keeps_disk_identity: bool,
}

/// The faults of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Any number of machines are stopped, frozen or partitioned at any time. Over the whole schedule,
    /// at most as many disks as tolerated are lost.
    Random,
    /// At most as many machines as tolerated are lost at once, where a machine counts as lost until
    /// 4.5 s after its return. Disks are lost and machines are replaced repeatedly.
    Tolerated,
    /// The targets of the group change, in addition to the faults of `Random` without lost disks.
    Targets,
    /// Faults are injected when the configuration changes: when a record is proposed or chosen, a
    /// joiner is proposed or a witness is replaced. No disks are lost. There is one spare machine.
    Transitions,
    /// The next disks are lost as soon as the group counts as repaired.
    SecondLoss,
    /// Machines that missed changes come back while the machines that hold them are down.
    StaleMinority,
}

impl Options {
    pub fn new(machines: usize, tolerance: usize, plan: Plan) -> Self {
        Self {
            machines,
            tolerance,
            plan,
            register_guards: RegisterGuards::default(),
            replica_guards: ReplicaGuards::default(),
            wiped_machine_keeps_disk_identity: false,
        }
    }
}

/// Returns the settings of the simulated group.
pub fn settings(tolerance: usize) -> ReplicaSettings {
    ReplicaSettings {
        tolerance: Tolerance { machines: tolerance, zones: 0, regions: 0 },
        heartbeat_interval: Duration::from_millis(100),
        lease: Duration::from_millis(500),
        election_timeout: Duration::from_millis(600),
        max_replica_lag: Duration::from_millis(600),
        write_timeout: Duration::from_millis(400),
        max_log_bytes: 600,
    }
}

/// Runs one schedule.
pub fn run(options: Options, seed: u64) -> Result<world::Summary, Violation> {
    let mut world = world::World::new(options, seed);
    world.run()
}

/// Runs many schedules, and panics at the first that violates a rule.
pub fn run_all(options: Options, first_seed: u64, count: u64) {
    let mut acknowledged = 0;
    for seed in first_seed..first_seed + count {
        match run(options, seed) {
            Ok(summary) => acknowledged += summary.acknowledged,
            Err(violation) => panic!("{options:?}, seed {seed}: {violation}"),
        }
    }
    assert!(acknowledged > count * 10, "only {acknowledged} acknowledged in {count} schedules");
}

/// Returns the first of `count` seeds that violates a safety rule, and the violation.
pub fn first_violation(options: Options, first_seed: u64, count: u64) -> Option<(u64, Violation)> {
    (first_seed..first_seed + count).find_map(|seed| {
        let violation = run(options, seed).err().filter(Violation::is_safety);
        violation.map(|violation| (seed, violation))
    })
}
