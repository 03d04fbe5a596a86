//! How long callers are without an acknowledgement when the primary fails.
//!
//! `cargo test -p pebblepost-control --test control failover_times -- --nocapture` prints the table.

use crate::support::callers::Caller;
use crate::support::cluster::Cluster;
use crate::support::random::Random;
use pebblepost_control::node::Input;
use rstest::rstest;
use std::time::Duration;

const CALLERS: usize = 1;
const RUNS: u64 = 40;
const STEP: Duration = Duration::from_millis(5);
/// A process that was killed starts again after this time.
const RESTART: Duration = Duration::from_millis(500);
/// How long other faults last, and callers are watched.
const FAULT: Duration = Duration::from_secs(6);

/// What happens to the primary.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Its process is killed and started again.
    Kill,
    /// Its machine loses power for some seconds.
    Power,
    /// Its process stands still for some seconds.
    Freeze,
    /// It is cut off from the other control processes; callers still reach it.
    Cut,
    /// No write of its disk ends.
    HangingDisk,
    /// It is told to end, and started again.
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
            Fault::HangingDisk => cluster.hang_disk(primary, FAULT),
            Fault::Terminate => cluster.input(primary, Input::Terminate),
        }
    }

    /// Carries the fault on; `elapsed` is the time since it began.
    fn go_on(self, cluster: &mut Cluster, primary: usize, elapsed: Duration) {
        let has_handed_over = || !cluster.node(primary).is_primary();
        match self {
            Fault::Kill if elapsed >= RESTART && !cluster.is_up(primary) => cluster.start(primary),
            Fault::Terminate if cluster.is_up(primary) && elapsed < RESTART && has_handed_over() => {
                cluster.kill(primary);
            }
            Fault::Terminate if elapsed >= RESTART && !cluster.is_up(primary) => cluster.start(primary),
            _ => {}
        }
    }
}

/// The longest time without any acknowledgement around the fault.
fn outage(fault: Fault, seed: u64) -> Duration {
    let mut random = Random(seed);
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_secs(2) + Duration::from_millis(random.below(300)));
    let mut callers: Vec<Caller> = (0..CALLERS).map(|number| Caller::new(number, cluster.now)).collect();
    let warm_up = cluster.now + Duration::from_secs(1);
    let mut began: Option<(usize, Duration)> = None;
    let mut last_acknowledged = Duration::ZERO;
    let mut longest = Duration::ZERO;
    while cluster.now < warm_up + FAULT {
        if began.is_none() && cluster.now >= warm_up {
            let primary = cluster.primary();
            fault.begin(&mut cluster, primary);
            began = Some((primary, cluster.now));
        }
        if let Some((primary, at)) = began {
            let elapsed = cluster.now - at;
            fault.go_on(&mut cluster, primary, elapsed);
        }
        cluster.run(STEP);
        for caller in &mut callers {
            if caller.act(&mut cluster, &mut random) {
                if began.is_some() {
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
fn callers_get_an_acknowledgement_again(
    #[case] fault: Fault, #[case] median_limit_ms: u64, #[case] worst_limit_ms: u64,
) {
    let mut outages: Vec<Duration> = (1..=RUNS).map(|seed| outage(fault, seed)).collect();
    outages.sort();
    let (median, worst) = (outages[outages.len() / 2], outages[outages.len() - 1]);
    println!("{fault:?}: median {} ms, worst {} ms of {RUNS}", median.as_millis(), worst.as_millis());
    assert!(median <= Duration::from_millis(median_limit_ms), "median {median:?}");
    assert!(worst <= Duration::from_millis(worst_limit_ms), "worst {worst:?}");
}
