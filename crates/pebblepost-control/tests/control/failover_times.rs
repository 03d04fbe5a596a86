//! Outage of callers when the primary fails: the longest time without an acknowledged request.
//!
//! `cargo test -p pebblepost-control --test control failover_times -- --nocapture` prints the table.

use crate::support::callers::Caller;
use crate::support::cluster::Cluster;
use crate::support::random::Random;
use pebblepost_control::node::Input;
use rstest::rstest;
use std::time::Duration;

const CALLERS: usize = 1;
const SEEDS: u64 = 40;
/// Interval at which callers act; the resolution of the measured outage.
const STEP: Duration = Duration::from_millis(5);
/// Time after which a process that was killed or terminated is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Duration of the other faults, and of the observation of callers.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// A fault of the primary.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Its process is killed and started again.
    Kill,
    /// Its machine loses power: the process ends, and the machine does not answer.
    Power,
    /// Its process is suspended.
    Freeze,
    /// It is isolated from the other control processes; callers still reach it.
    Cut,
    /// No write to its disk becomes durable.
    HangingDisk,
    /// It is terminated gracefully, and started again.
    Terminate,
}

impl Fault {
    fn begin(self, cluster: &mut Cluster, primary: usize) {
        match self {
            Fault::Kill => cluster.kill(primary),
            Fault::Power => {
                cluster.set_partitioned(primary, true);
                cluster.kill(primary);
            }
            Fault::Freeze => cluster.suspend(primary),
            Fault::Cut => cluster.isolate(primary),
            Fault::HangingDisk => cluster.hang_disk(primary, OBSERVATION_TIME),
            Fault::Terminate => cluster.input(primary, Input::Terminate),
        }
    }

    /// Ends or restarts the process where the fault asks for it; `elapsed` is the time since the fault began.
    fn advance(self, cluster: &mut Cluster, primary: usize, elapsed: Duration) {
        let has_handed_over = || !cluster.node(primary).is_primary();
        match self {
            Fault::Kill if elapsed >= RESTART_DELAY && !cluster.is_up(primary) => cluster.start(primary),
            Fault::Terminate if cluster.is_up(primary) && elapsed < RESTART_DELAY && has_handed_over() => {
                cluster.kill(primary);
            }
            Fault::Terminate if elapsed >= RESTART_DELAY && !cluster.is_up(primary) => cluster.start(primary),
            _ => {}
        }
    }
}

/// Runs callers through the fault and returns the longest time between two acknowledgements since it began.
fn outage(fault: Fault, seed: u64) -> Duration {
    let mut random = Random(seed);
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(2) + Duration::from_millis(random.below(300)));
    let mut callers: Vec<Caller> = (0..CALLERS).map(|number| Caller::new(number, cluster.now)).collect();
    let warm_up = cluster.now + Duration::from_secs(1);
    let mut fault_began: Option<(usize, Duration)> = None;
    let mut last_acknowledged = Duration::ZERO;
    let mut longest = Duration::ZERO;
    while cluster.now < warm_up + OBSERVATION_TIME {
        if fault_began.is_none() && cluster.now >= warm_up {
            let primary = cluster.primary();
            fault.begin(&mut cluster, primary);
            fault_began = Some((primary, cluster.now));
        }
        if let Some((primary, began_at)) = fault_began {
            let elapsed = cluster.now - began_at;
            fault.advance(&mut cluster, primary, elapsed);
        }
        cluster.run(STEP);
        for caller in &mut callers {
            if caller.act(&mut cluster, &mut random) {
                if fault_began.is_some() {
                    longest = longest.max(cluster.now - last_acknowledged);
                }
                last_acknowledged = cluster.now;
            }
        }
    }
    longest
}

#[rstest]
#[case::kill(Fault::Kill, 1_000, 1_500)]
#[case::power(Fault::Power, 1_500, 2_500)]
#[case::freeze(Fault::Freeze, 1_500, 2_500)]
#[case::cut(Fault::Cut, 1_500, 2_500)]
#[case::hanging_disk(Fault::HangingDisk, 1_500, 2_500)]
#[case::terminate(Fault::Terminate, 500, 1_000)]
fn callers_are_acknowledged_again_within_the_outage_limits(
    #[case] fault: Fault, #[case] median_limit_ms: u64, #[case] worst_limit_ms: u64,
) {
    let mut outages: Vec<Duration> = (1..=SEEDS).map(|seed| outage(fault, seed)).collect();
    outages.sort();
    let (median, worst) = (outages[outages.len() / 2], outages[outages.len() - 1]);
    println!("{fault:?}: median {} ms, worst {} ms of {SEEDS}", median.as_millis(), worst.as_millis());
    assert!(
        median <= Duration::from_millis(median_limit_ms),
        "median outage {median:?}, limit {median_limit_ms} ms"
    );
    assert!(
        worst <= Duration::from_millis(worst_limit_ms),
        "longest outage {worst:?}, limit {worst_limit_ms} ms"
    );
}
