//! Faults injected into dispatchers during a release trial: kills of one dispatcher, a zone or the fleet, and
//! suspensions.

use super::trial::Trial;
use crate::dispatcher::ZONES;
use crate::supervisor::ProcessFault;
use crate::sync::lock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::sleep;

/// Injects faults into dispatchers for as long as the future is polled, and counts them by name in `counts`.
pub(super) async fn inject_faults(trial: &Trial, counts: &Mutex<BTreeMap<&'static str, usize>>) {
    let mut rng = Pcg64Mcg::seed_from_u64(trial.plan.seed ^ 0xd15);
    loop {
        sleep(Duration::from_secs_f64(rng.random_range(3.0..9.0))).await;
        let (dispatcher, all) = (rng.random_range(0..trial.plan.dispatchers), 0..trial.plan.dispatchers);
        let zone = dispatcher % ZONES.len();
        let (fault, name, targets): (_, _, Vec<usize>) = match rng.random_range(0..18) {
            0..10 => (ProcessFault::Kill, "dispatcher_kill", vec![dispatcher]),
            10 => (ProcessFault::Kill, "zone_kill", all.filter(|n| n % ZONES.len() == zone).collect()),
            11 => (ProcessFault::Kill, "fleet_kill", all.collect()),
            // Suspensions are drawn both shorter and longer than a session of the store.
            _ => (ProcessFault::Pause(rng.random_range(0.5..6.0)), "dispatcher_pause", vec![dispatcher]),
        };
        targets.into_iter().for_each(|target| trial.supervisor.inject(target, fault));
        *lock(counts).entry(name).or_insert(0) += 1;
    }
}
