//! Figures of a release trial, and the violations found in it.

use super::maintenance::{find_work_during_maintenance, max_concurrent_windows};
use super::outages::{last_outage_delays_s, max_concurrent_outages, voluntary_outages};
use super::plan::DisruptionBudget;
use super::rollout::ReleaseCounts;
use super::trial::Trial;
use crate::checker::rules::Violation;
use crate::clients::Outcome;
use crate::dispatcher::ZONES;
use crate::quantile::{median, nearest_rank, quantile};
use crate::run::RunResult;
use crate::supervisor::{Outage, OutageCause, VersionDefect};
use crate::sync::lock;
use serde::Serialize;
use std::collections::BTreeMap;

/// Figures of a release trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Releases started.
    pub releases: usize,
    /// Completed releases: all members run the version and no permit is left.
    pub completed: usize,
    /// Defective releases that their drivers halted and that were rolled back completely.
    pub rolled_back: usize,
    /// Maximum number of dispatchers that ran one defective version, whatever its defect.
    pub bad_version_reached: usize,
    /// Maximum number of dispatchers that ran one version that crashes.
    pub crashing_reached: usize,
    /// Maximum number of dispatchers that ran one version that refuses requests.
    pub refusing_reached: usize,
    /// Releases that a driver halted. Each is rolled back.
    pub halted: usize,
    /// Permits granted to dispatchers, counted from the changes of the replicated state.
    pub grants: usize,
    /// Permits granted to workers, counted in the same way.
    pub grants_to_workers: usize,
    /// Grants after which more members were unavailable, for whatever reason, than a budget allows.
    pub grants_over_budget: usize,
    /// Halts by an operator during a release.
    pub halts: usize,
    /// Outages of dispatchers that exited by themselves, each under a permit.
    pub went: usize,
    /// Maximum number of concurrent outages under permits.
    pub max_out_dispatchers: usize,
    /// The same maximum within one zone.
    pub max_out_in_zone: usize,
    /// Disruption budget of the whole fleet.
    pub budget_dispatchers: u32,
    /// Disruption budget of each zone.
    pub budget_in_zone: u32,
    /// Time for which outages under permits exceeded a budget, of the fleet or of a zone.
    pub over_budget_ms: f64,
    /// Maximum number of concurrent outages, for whatever reason.
    pub max_out_for_any_reason: usize,
    /// Permits left once all faults are over.
    pub stuck_permits: usize,
    /// Number of times a worker was switched off under a permit.
    pub workers_off: usize,
    /// Maximum number of workers that were switched off at the same time.
    pub max_out_workers: usize,
    /// Disruption budget of the workers.
    pub budget_workers: u32,
    /// Median time from the request for a worker's permit until it could be switched off.
    pub off_after_p50_ms: f64,
    /// 99th percentile of the same time.
    pub off_after_p99_ms: f64,
    /// Attempts that arrived at a worker while it was switched off, and jobs that kept running there and were served.
    pub work_while_off: usize,
    /// Time from the acknowledgement of a halt to the start of the last outage that begins during it: 99th percentile
    /// over the halts.
    pub halt_p99_ms: f64,
    /// Share of the requests that were served.
    pub served_share: f64,
    /// Share of the requests that were rejected at each attempt.
    pub refused_share: f64,
    /// Share of the requests without a complete response.
    pub lost_share: f64,
    /// Median duration of outages of dispatchers that exited by themselves.
    pub out_itself_p50_ms: f64,
    /// Median duration of outages caused by injected faults.
    pub out_ordered_p50_ms: f64,
    /// Number of kills of the operator's program, as a driver or for a single request.
    pub drivers_killed: usize,
    /// Faults of replicas and dispatchers, by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Rules that dispatchers broke, grants over budget and processes that exited with an error.
    pub rules_broken: usize,
}

/// Outages under permits, compared with the budget.
struct BudgetUse {
    most: usize,
    most_in_zone: usize,
    /// Time for which outages exceeded the budget of the fleet or of a zone, in seconds; the longest of these.
    over_s: f64,
}

impl BudgetUse {
    fn of(permitted: &[&Outage], budget: DisruptionBudget) -> Self {
        let (most, over_s) = max_concurrent_outages(permitted, budget.total as usize);
        let in_zone = |zone: usize| {
            let outages = permitted.iter().copied();
            let of_zone: Vec<&Outage> =
                outages.filter(|outage| outage.dispatcher % ZONES.len() == zone).collect();
            max_concurrent_outages(&of_zone, budget.per_zone as usize)
        };
        let zones: Vec<(usize, f64)> = (0..ZONES.len()).map(in_zone).collect();
        Self {
            most,
            most_in_zone: zones.iter().map(|(most, _)| *most).max().unwrap_or(0),
            over_s: zones.iter().map(|(_, over_s)| *over_s).fold(over_s, f64::max),
        }
    }
}

/// Describes the violations shown by outages, rules and workers.
fn findings(
    budget_use: &BudgetUse, crashes: &[&Outage], played: &RunResult, workers_out: usize, worker_budget: u32,
) -> Vec<String> {
    let mut found = Vec::new();
    if budget_use.over_s > 0.0 {
        let BudgetUse { most, over_s, .. } = budget_use;
        found.push(format!(
            "up to {most} dispatchers were out under permits; the budget was exceeded for {over_s:.3} s"
        ));
    }
    let crashed =
        |outage: &&Outage| format!("dispatcher {} crashed at {:.3} s", outage.dispatcher, outage.from);
    found.extend(crashes.iter().map(crashed));
    let violated = |broken: &Violation| format!("{:?} at {:.3}: {}", broken.rule, broken.at, broken.what);
    found.extend(played.violations.iter().map(violated));
    if workers_out > worker_budget as usize {
        found.push(format!("{workers_out} workers were switched off at once; budget {worker_budget}"));
    }
    found
}

/// Share of the requests whose outcome satisfies `hit`.
fn share(played: &RunResult, hit: fn(&Outcome) -> bool) -> f64 {
    let count = played.results.iter().filter(|result| hit(&result.outcome)).count();
    count as f64 / played.results.len().max(1) as f64
}

/// Median duration of the outages with this cause, in milliseconds.
fn median_outage_ms(outages: &[Outage], cause: OutageCause) -> f64 {
    let of_cause = outages.iter().filter(|outage| outage.cause == cause);
    median(&of_cause.map(|outage| outage.to - outage.from).collect::<Vec<_>>()) * 1e3
}

/// Computes the figures of a finished trial and appends its violations to those already in `found`.
pub(super) fn summarize(
    trial: &Trial, played: &RunResult, releases: ReleaseCounts, stuck_permits: usize,
    faults: BTreeMap<&'static str, usize>, mut found: Vec<String>,
) -> (Summary, Vec<String>) {
    let plan = &trial.plan;
    let outages = trial.supervisor.outages();
    let permitted = voluntary_outages(&outages);
    let budget_use = BudgetUse::of(&permitted, plan.budget);
    let crashes: Vec<&Outage> = outages.iter().filter(|outage| outage.cause == OutageCause::Crash).collect();
    let windows = lock(&trial.maintenance.windows).clone();
    let max_out_workers = max_concurrent_windows(&windows);
    found.extend(findings(&budget_use, &crashes, played, max_out_workers, plan.worker_budget));
    let audit = lock(&trial.audit).clone();
    found.extend(audit.over_budget.iter().cloned());
    let maintenance_violations =
        find_work_during_maintenance(&played.log, &windows, &trial.supervisor.exits());
    let waits_ms: Vec<f64> = windows.iter().map(|window| window.waited_s * 1e3).collect();
    let halts = lock(&trial.halts).clone();
    let reached = |defect| trial.supervisor.max_dispatchers_with(defect);
    let summary = Summary {
        workers_off: windows.len(),
        max_out_workers,
        budget_workers: plan.worker_budget,
        off_after_p50_ms: quantile(&waits_ms, 0.5),
        off_after_p99_ms: quantile(&waits_ms, 0.99),
        work_while_off: maintenance_violations.len(),
        releases: releases.started,
        completed: releases.completed,
        rolled_back: releases.rolled_back,
        bad_version_reached: VersionDefect::ALL.into_iter().map(reached).max().unwrap_or(0),
        crashing_reached: reached(VersionDefect::Crashes),
        refusing_reached: reached(VersionDefect::RejectsRequests),
        halted: releases.rolled_back,
        grants: audit.grants[0],
        grants_to_workers: audit.grants[1],
        grants_over_budget: audit.over_budget.len(),
        halts: halts.len(),
        went: permitted.len(),
        max_out_dispatchers: budget_use.most,
        max_out_in_zone: budget_use.most_in_zone,
        budget_dispatchers: plan.budget.total,
        budget_in_zone: plan.budget.per_zone,
        over_budget_ms: budget_use.over_s * 1e3,
        max_out_for_any_reason: max_concurrent_outages(&outages.iter().collect::<Vec<_>>(), 0).0,
        stuck_permits,
        halt_p99_ms: nearest_rank(&last_outage_delays_s(&permitted, &halts), 0.99) * 1e3,
        served_share: share(played, |outcome| matches!(outcome, Outcome::Served(_))),
        refused_share: share(played, |outcome| matches!(outcome, Outcome::Rejected)),
        lost_share: share(played, |outcome| matches!(outcome, Outcome::Lost)),
        out_itself_p50_ms: median_outage_ms(&outages, OutageCause::Voluntary),
        out_ordered_p50_ms: median_outage_ms(&outages, OutageCause::Injected),
        drivers_killed: *lock(&trial.operators.killed),
        faults,
        rules_broken: audit.over_budget.len() + played.violations.len() + crashes.len(),
    };
    found.extend(maintenance_violations);
    (summary, found)
}
