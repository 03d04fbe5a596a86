//! The figures of a release trial, and what was found to be wrong.

use super::maintenance::{most_off, work_while_off};
use super::outages::{by_permit, late_after, most_at_once};
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

/// The figures of a release trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Releases begun.
    pub releases: usize,
    /// Those of them that were completed: all members of the version, no permit left.
    pub completed: usize,
    /// Those that were defective, halted by their drivers, and rolled back to the end.
    pub rolled_back: usize,
    /// The most dispatchers that ever ran one defective version, of any kind.
    pub bad_version_reached: usize,
    /// The same of versions that crash.
    pub crashing_reached: usize,
    /// The same of versions that refuse requests.
    pub refusing_reached: usize,
    /// Releases that a driver halted; each is rolled back.
    pub halted: usize,
    /// Permits granted to dispatchers, by the changes of the agreed state.
    pub grants: usize,
    /// The same to workers.
    pub grants_to_workers: usize,
    /// Grants after which more were out, for whatever reason, than a budget allows.
    pub grants_over_budget: usize,
    /// Halts by an operator in the middle of a release.
    pub halts: usize,
    /// Outages of dispatchers that ended by themselves, each by a permit.
    pub went: usize,
    /// The most of them that were out at once.
    pub max_out_dispatchers: usize,
    /// The same in a zone.
    pub max_out_in_zone: usize,
    /// What the budget allows in all.
    pub budget_dispatchers: u32,
    /// What it allows in a zone.
    pub budget_in_zone: u32,
    /// How long more were out by a permit than that, in the fleet or in a zone.
    pub over_budget_ms: f64,
    /// The most that were out at once for whatever reason.
    pub max_out_for_any_reason: usize,
    /// Permits left once all faults are over.
    pub stuck_permits: usize,
    /// How often a worker was switched off by a permit.
    pub workers_off: usize,
    /// See `workers_off`.
    pub max_out_workers: usize,
    /// What the budget allows in all.
    pub budget_workers: u32,
    /// From the request for a worker's permit until it could be switched off: median.
    pub off_after_p50_ms: f64,
    /// The same: 99th percentile.
    pub off_after_p99_ms: f64,
    /// Jobs that arrived at a worker, or ran on there, while it was switched off.
    pub work_while_off: usize,
    /// From the acknowledgement of a halt to the last outage that begins during it: 99th percentile of the halts.
    pub halt_p99_ms: f64,
    /// Share of the requests that were served.
    pub served_share: f64,
    /// Share that was rejected at each attempt.
    pub refused_share: f64,
    /// Share without a complete answer.
    pub lost_share: f64,
    /// Median time for which a dispatcher was out that ended by itself.
    pub out_itself_p50_ms: f64,
    /// The same of one with an injected fault.
    pub out_ordered_p50_ms: f64,
    /// Drivers that were killed.
    pub drivers_killed: usize,
    /// Faults of replicas and dispatchers, by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Rules of the dispatchers that were broken, and processes that ended by an error.
    pub rules_broken: usize,
}

/// Outages by permits, against the budget.
struct BudgetUse {
    most: usize,
    most_in_zone: usize,
    /// How long more were out than the budget allows, in all or in a zone.
    over_s: f64,
}

impl BudgetUse {
    fn of(by_permit: &[&Outage], budget: DisruptionBudget) -> Self {
        let (most, over_s) = most_at_once(by_permit, budget.total as usize);
        let in_zone = |zone: usize| {
            let outages = by_permit.iter().copied();
            let of_zone: Vec<&Outage> =
                outages.filter(|outage| outage.dispatcher % ZONES.len() == zone).collect();
            most_at_once(&of_zone, budget.per_zone as usize)
        };
        let zones: Vec<(usize, f64)> = (0..ZONES.len()).map(in_zone).collect();
        Self {
            most,
            most_in_zone: zones.iter().map(|(most, _)| *most).max().unwrap_or(0),
            over_s: zones.iter().map(|(_, over_s)| *over_s).fold(over_s, f64::max),
        }
    }
}

/// What the outages, the rules and the workers show to be wrong, in words.
fn findings(
    budget_use: &BudgetUse, crashes: &[&Outage], played: &RunResult, workers_out: usize, worker_budget: u32,
) -> Vec<String> {
    let mut found = Vec::new();
    if budget_use.over_s > 0.0 {
        let BudgetUse { most, over_s, .. } = budget_use;
        found.push(format!("{most} were out by permits, for {over_s:.3} s more than the budget allows"));
    }
    let crashed =
        |outage: &&Outage| format!("dispatcher {} crashed at {:.3}", outage.dispatcher, outage.from);
    found.extend(crashes.iter().map(crashed));
    let violated = |broken: &Violation| format!("{:?} at {:.3}: {}", broken.rule, broken.at, broken.what);
    found.extend(played.violations.iter().map(violated));
    if workers_out > worker_budget as usize {
        found.push(format!("{workers_out} workers were off at once"));
    }
    found
}

/// Share of the requests with such an outcome.
fn share(played: &RunResult, hit: fn(&Outcome) -> bool) -> f64 {
    let count = played.results.iter().filter(|result| hit(&result.outcome)).count();
    count as f64 / played.results.len().max(1) as f64
}

/// Median time for which dispatchers were out for this cause, in milliseconds.
fn median_outage_ms(outages: &[Outage], cause: OutageCause) -> f64 {
    let of_cause = outages.iter().filter(|outage| outage.cause == cause);
    median(&of_cause.map(|outage| outage.to - outage.from).collect::<Vec<_>>()) * 1e3
}

/// The figures of a trial that is over, and what was found. `found` has what was found before.
pub(super) fn judge(
    trial: &Trial, played: &RunResult, releases: ReleaseCounts, stuck_permits: usize,
    faults: BTreeMap<&'static str, usize>, mut found: Vec<String>,
) -> (Summary, Vec<String>) {
    let plan = &trial.plan;
    let outages = trial.supervisor.outages();
    let permitted = by_permit(&outages);
    let budget_use = BudgetUse::of(&permitted, plan.budget);
    let crashes: Vec<&Outage> = outages.iter().filter(|outage| outage.cause == OutageCause::Crash).collect();
    let switched_off = lock(&trial.maintenance.switched_off).clone();
    let max_out_workers = most_off(&switched_off);
    found.extend(findings(&budget_use, &crashes, played, max_out_workers, plan.worker_budget));
    let audit = lock(&trial.audit).clone();
    found.extend(audit.over.iter().cloned());
    let worked = work_while_off(&played.log, &switched_off, &trial.supervisor.exits());
    let waits_ms: Vec<f64> = switched_off.iter().map(|window| window.waited_s * 1e3).collect();
    let halts = lock(&trial.halts).clone();
    let reached = |defect| trial.supervisor.max_dispatchers_with(defect);
    let summary = Summary {
        workers_off: switched_off.len(),
        max_out_workers,
        budget_workers: plan.worker_budget,
        off_after_p50_ms: quantile(&waits_ms, 0.5),
        off_after_p99_ms: quantile(&waits_ms, 0.99),
        work_while_off: worked.len(),
        releases: releases.begun,
        completed: releases.completed,
        rolled_back: releases.rolled_back,
        bad_version_reached: VersionDefect::ALL.into_iter().map(reached).max().unwrap_or(0),
        crashing_reached: reached(VersionDefect::Crashes),
        refusing_reached: reached(VersionDefect::RejectsRequests),
        halted: releases.rolled_back,
        grants: audit.grants[0],
        grants_to_workers: audit.grants[1],
        grants_over_budget: audit.over.len(),
        halts: halts.len(),
        went: permitted.len(),
        max_out_dispatchers: budget_use.most,
        max_out_in_zone: budget_use.most_in_zone,
        budget_dispatchers: plan.budget.total,
        budget_in_zone: plan.budget.per_zone,
        over_budget_ms: budget_use.over_s * 1e3,
        max_out_for_any_reason: most_at_once(&outages.iter().collect::<Vec<_>>(), 0).0,
        stuck_permits,
        halt_p99_ms: nearest_rank(&late_after(&permitted, &halts), 0.99) * 1e3,
        served_share: share(played, |outcome| matches!(outcome, Outcome::Served(_))),
        refused_share: share(played, |outcome| matches!(outcome, Outcome::Rejected)),
        lost_share: share(played, |outcome| matches!(outcome, Outcome::Lost)),
        out_itself_p50_ms: median_outage_ms(&outages, OutageCause::Voluntary),
        out_ordered_p50_ms: median_outage_ms(&outages, OutageCause::Injected),
        drivers_killed: *lock(&trial.operators.killed),
        faults,
        rules_broken: audit.over.len() + played.violations.len() + crashes.len(),
    };
    found.extend(worked);
    (summary, found)
}
