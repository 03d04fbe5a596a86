//! The figures of a release trial, and what was found to be wrong.

use super::maintenance::{most_off, work_while_off};
use super::outages::{by_permit, late_after, most_at_once};
use super::rollout::ReleaseCounts;
use super::trial::Trial;
use crate::clients::Outcome;
use crate::dispatcher::ZONES;
use crate::run::Played;
use crate::supervisor::{Outage, OutageCause, VersionDefect};
use crate::sync::lock;
use serde::Serialize;
use std::collections::BTreeMap;

/// The figures of a release trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Releases begun, and those of them that came to an end: all members of the version, no permit left.
    pub releases: usize,
    /// See `releases`.
    pub completed: usize,
    /// Those that were bad, halted by their drivers, and taken back to the end.
    pub rolled_back: usize,
    /// The most dispatchers that ever ran one bad version, of any kind, that crashes, and that refuses.
    pub bad_version_reached: usize,
    /// See `bad_version_reached`.
    pub crashing_reached: usize,
    /// See `bad_version_reached`.
    pub refusing_reached: usize,
    /// Those that a driver halted; each is taken back.
    pub halted: usize,
    /// Permits granted, as the keepers tell of their changes, to dispatchers and to workers.
    pub grants: usize,
    /// See `grants`.
    pub grants_to_workers: usize,
    /// Grants after which more were out, for whatever reason, than a budget allows.
    pub grants_over_budget: usize,
    /// Halts made by hand in the middle of one.
    pub halts: usize,
    /// Dispatchers that ended themselves, each by a permit.
    pub went: usize,
    /// The most of them that were out at once, in the fleet and in a zone.
    pub max_out_dispatchers: usize,
    /// See `max_out_dispatchers`.
    pub max_out_in_zone: usize,
    /// What the budget allows.
    pub budget_dispatchers: u32,
    /// See `budget_dispatchers`.
    pub budget_in_zone: u32,
    /// How long more were out by a permit than that, in the fleet or in a zone.
    pub over_budget_ms: f64,
    /// The most that were out at once for whatever reason.
    pub max_out_for_any_reason: usize,
    /// Permits that are left once all faults are over.
    pub stuck_permits: usize,
    /// How often a worker was switched off by a permit, and the most at once.
    pub workers_off: usize,
    /// See `workers_off`.
    pub max_out_workers: usize,
    /// What the budget allows.
    pub budget_workers: u32,
    /// From the request for a worker's permit until it might be switched off: median and 99th percentile.
    pub off_after_p50_ms: f64,
    /// See `off_after_p50_ms`.
    pub off_after_p99_ms: f64,
    /// Jobs that came to a worker, or ran on there, while it was switched off.
    pub work_while_off: usize,
    /// How long after a halt was acknowledged the last one went: 99th percentile of the halts.
    pub halt_p99_ms: f64,
    /// Part of the clients' requests that was served.
    pub served_share: f64,
    /// Parts that were refused, and lost: no whole answer came.
    pub refused_share: f64,
    /// See `refused_share`.
    pub lost_share: f64,
    /// How long a dispatcher was out that ended by itself, and one that was ended by an order: medians.
    pub out_itself_p50_ms: f64,
    /// See `out_itself_p50_ms`.
    pub out_ordered_p50_ms: f64,
    /// Drivers that were killed.
    pub drivers_killed: usize,
    /// Faults of the keepers by kind, and orders to dispatchers.
    pub faults: BTreeMap<&'static str, usize>,
    /// Rules of the dispatchers that were broken, and processes that ended by an error.
    pub rules_broken: usize,
}

pub(super) fn judge(
    trial: &Trial, played: &Played, releases: ReleaseCounts, stuck_permits: usize,
    faults: BTreeMap<&'static str, usize>, mut found: Vec<String>,
) -> (Summary, Vec<String>) {
    let plan = &trial.plan;
    let outages = trial.supervisor.outages();
    let asked = by_permit(&outages);
    let (most, over) = most_at_once(&asked, plan.budget.total as usize);
    let in_zone = |zone: usize| {
        let of: Vec<&Outage> = asked.iter().copied().filter(|o| o.dispatcher % ZONES.len() == zone).collect();
        most_at_once(&of, plan.budget.per_zone as usize)
    };
    let zones: Vec<(usize, f64)> = (0..ZONES.len()).map(in_zone).collect();
    let over = zones.iter().map(|(_, over)| *over).fold(over, f64::max);
    if over > 0.0 {
        found.push(format!("{most} were out by permits, for {over:.3} s more than the budget allows"));
    }
    let crash = |o: &&Outage| matches!(o.cause, OutageCause::Crash);
    found.extend(
        outages.iter().filter(crash).map(|o| format!("dispatcher {} crashed at {:.3}", o.dispatcher, o.from)),
    );
    found.extend(played.violations.iter().map(|b| format!("{:?} at {:.3}: {}", b.rule, b.at, b.what)));
    let switched_off = lock(&trial.maintenance.switched_off).clone();
    let most_off = most_off(&switched_off);
    if most_off > plan.worker_budget as usize {
        found.push(format!("{most_off} workers were off at once"));
    }
    let worked = work_while_off(&played.log, &switched_off, &trial.supervisor.exits());
    let mut waited_s: Vec<f64> = switched_off.iter().map(|o| o.waited_s * 1e3).collect();
    waited_s.sort_by(f64::total_cmp);
    let waited_s = |part: f64| waited_s.get((waited_s.len() as f64 * part) as usize).copied().unwrap_or(0.0);
    let audit = lock(&trial.audit).clone();
    found.extend(audit.over.iter().cloned());
    let halts = lock(&trial.halts).clone();
    let mut late = late_after(&asked, &halts);
    late.sort_by(f64::total_cmp);
    let p99 = late.get((late.len() as f64 * 0.99).ceil() as usize - usize::from(!late.is_empty()));
    let share = |hit: fn(&Outcome) -> bool| {
        let count = played.results.iter().filter(|f| hit(&f.outcome)).count();
        count as f64 / played.results.len().max(1) as f64
    };
    let median_out = |cause: OutageCause| {
        let mut all: Vec<f64> = outages.iter().filter(|o| o.cause == cause).map(|o| o.to - o.from).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(0.0) * 1e3
    };
    let reached = |defect| trial.supervisor.max_dispatchers_with(defect);
    let work_while_off = worked.len();
    found.extend(worked);
    let summary = Summary {
        workers_off: switched_off.len(),
        max_out_workers: most_off,
        budget_workers: plan.worker_budget,
        off_after_p50_ms: waited_s(0.5),
        off_after_p99_ms: waited_s(0.99),
        work_while_off,
        releases: releases.begun,
        completed: releases.completed,
        rolled_back: releases.rolled_back,
        bad_version_reached: VersionDefect::ALL.into_iter().map(reached).max().unwrap_or(0),
        crashing_reached: reached(VersionDefect::Crashes),
        refusing_reached: reached(VersionDefect::Refuses),
        halted: releases.rolled_back,
        grants: audit.grants[0],
        grants_to_workers: audit.grants[1],
        grants_over_budget: audit.over.len(),
        halts: halts.len(),
        went: asked.len(),
        max_out_dispatchers: most,
        max_out_in_zone: zones.iter().map(|(most, _)| *most).max().unwrap_or(0),
        budget_dispatchers: plan.budget.total,
        budget_in_zone: plan.budget.per_zone,
        over_budget_ms: over * 1e3,
        max_out_for_any_reason: most_at_once(&outages.iter().collect::<Vec<_>>(), 0).0,
        stuck_permits,
        halt_p99_ms: p99.copied().unwrap_or(0.0) * 1e3,
        served_share: share(|o| matches!(o, Outcome::Served(_))),
        refused_share: share(|o| matches!(o, Outcome::Refused)),
        lost_share: share(|o| matches!(o, Outcome::Lost)),
        out_itself_p50_ms: median_out(OutageCause::Voluntary),
        out_ordered_p50_ms: median_out(OutageCause::Injected),
        drivers_killed: *lock(&trial.operators.killed),
        faults,
        rules_broken: audit.over.len() + played.violations.len() + outages.iter().filter(crash).count(),
    };
    (summary, found)
}
