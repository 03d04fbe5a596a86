//! The faults of one seed, and when they come.

use crate::common::cluster::Cluster;
use crate::common::operator;
use rand::RngExt;
use rand::rngs::StdRng;
use simd_json::prelude::ValueObjectAccessAsScalar;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Time that a machine with a disk has to catch up before the next fault of such a machine (`catch_up_s` in the settings).
const CATCH_UP: Duration = Duration::from_millis(4_500);
/// Maximum time for which a process is killed or frozen, in milliseconds.
const MAX_AWAY_MS: u64 = 2_500;
/// Faults of machines with a disk, one after the other.
const DISK_FAULTS: usize = 3;
/// Faults of proxies and changes of the configuration, at any time.
const OTHER_FAULTS: usize = 6;
/// Time limit of a call to the control nodes, which are tried again and again until then.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which the plan goes on although a change is not answered.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(1_500);

/// What happens to a process or to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill(ProcessName),
    Restart(ProcessName),
    Freeze(ProcessName),
    Thaw(ProcessName),
    /// Adds the route of further pages, or removes it.
    Change {
        generation: u64,
        with_more_pages: bool,
    },
}

/// Faults with the time at which they come, in this order.
#[derive(Debug)]
pub struct FaultPlan(Vec<(Duration, Fault)>);

/// A process of the cluster: its role and its number among those of the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProcessName {
    role: &'static str,
    number: usize,
}

impl FaultPlan {
    /// Draws the faults of a seed.
    pub fn draw(random: &mut StdRng) -> FaultPlan {
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(random.random_range(200..1_500));
        for _ in 0..DISK_FAULTS {
            let role = if random.random_range(0..3) == 0 { "control" } else { "store" };
            let process = ProcessName { role, number: random.random_range(0..3) };
            at = push_absence(&mut faults, random, at, process) + CATCH_UP;
        }
        let (end, mut generation, mut proxy_is_back_at) = (at, 1, Duration::ZERO);
        let mut times: Vec<Duration> =
            (0..OTHER_FAULTS).map(|_| end.mul_f64(random.random_range(0.0..1.0))).collect();
        times.sort_unstable();
        for at in times {
            if random.random_bool(0.5) {
                generation += random.random_range(1..4);
                faults.push((at, Fault::Change { generation, with_more_pages: random.random_bool(0.5) }));
            } else if at > proxy_is_back_at {
                let process = ProcessName { role: "proxy", number: random.random_range(0..2) };
                proxy_is_back_at = push_absence(&mut faults, random, at, process);
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        FaultPlan(faults)
    }

    /// Returns the time from the start until the last fault.
    pub fn duration(&self) -> Duration {
        self.0.last().map_or(Duration::ZERO, |(at, _)| *at)
    }

    /// Returns the number of changes of the configuration.
    pub fn changes(&self) -> usize {
        self.0.iter().filter(|(_, fault)| matches!(fault, Fault::Change { .. })).count()
    }

    /// Carries the faults out. Returns the number of changes of the configuration that were accepted.
    pub async fn run(&self, cluster: &mut Cluster) -> usize {
        let started_at = Instant::now();
        let mut accepted_changes = 0;
        for (at, fault) in &self.0 {
            sleep_until(started_at + *at).await;
            match *fault {
                Fault::Kill(name) => drop(cluster.kill(cluster.process(name.role, name.number))),
                Fault::Restart(name) => cluster.restart(cluster.process(name.role, name.number)),
                Fault::Freeze(name) => cluster.signal(cluster.process(name.role, name.number), "-STOP"),
                Fault::Thaw(name) => cluster.signal(cluster.process(name.role, name.number), "-CONT"),
                Fault::Change { generation, with_more_pages } => {
                    // A control node that is killed or frozen comes back by the plan, which must go on.
                    let change = change_configuration(cluster, generation, with_more_pages);
                    accepted_changes +=
                        usize::from(timeout(MAX_CHANGE_TIME, change).await.is_ok_and(|is_ok| is_ok));
                }
            }
        }
        accepted_changes
    }
}

/// Replaces the configuration in force, whatever its generation. Returns whether the change was accepted.
async fn change_configuration(cluster: &Cluster, generation: u64, with_more_pages: bool) -> bool {
    let controls = cluster.controls();
    let current = operator::read_configuration(&controls, CHANGE_TIMEOUT).await;
    let base = current.json().get_u64("generation").expect("a configuration");
    let document = operator::configuration(generation, with_more_pages);
    operator::put_configuration(&controls, base, &document, CHANGE_TIMEOUT).await.status == 200
}

/// Adds a kill or a freeze of a process, and its return. Returns when it is back.
fn push_absence(
    faults: &mut Vec<(Duration, Fault)>, random: &mut StdRng, at: Duration, process: ProcessName,
) -> Duration {
    let back_at = at + Duration::from_millis(random.random_range(100..MAX_AWAY_MS));
    let (begin, end) = match random.random_bool(0.6) {
        true => (Fault::Kill(process), Fault::Restart(process)),
        false => (Fault::Freeze(process), Fault::Thaw(process)),
    };
    faults.push((at, begin));
    faults.push((back_at, end));
    back_at
}
