//! Probing: selects the next worker to probe for a request.
//!
//! Owns no state. Draws from the pools of the worker table with the dispatcher's random generator.

use crate::affinity::{self, KeyPopularity, NO_KEY};
use crate::api::Time;
use crate::estimators::{from_seconds, seconds};
use crate::placement::Placement;
use crate::request_table::Request;
use crate::retry;
use crate::worker_table::{Locality, Pool};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Number of random draws from a pool before it is taken to hold no eligible worker.
const MAX_RANDOM_DRAWS: usize = 8;
/// The subset of workers is sized such that each connection is used this often within its keep-alive time.
const TARGET_USES_PER_CONNECTION: f64 = 4.0;
/// Minimum size of the subset: as many workers as are probed for a job, with one in four failing.
const MIN_SUBSET_WORKERS: f64 = 8.0;
/// Number of open connections that the configured price of connections refers to.
const CONNECTIONS_PER_PRICE_UNIT: f64 = 100.0;
/// A report of no capacity counts for this fraction of a mean service time.
const FULL_REPORT_VALIDITY_SERVICE_TIMES: f64 = 0.03;

/// View of a dispatcher's state that draws workers for requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerSampler<'a> {
    pub(crate) placement: Placement<'a>,
    pub(crate) popularity: &'a KeyPopularity,
    /// Requests per second that arrive at this dispatcher.
    pub(crate) arrivals_per_second: f64,
}

impl WorkerSampler<'_> {
    /// Draws a random worker for a request. Unhealthy workers are drawn only if there are no others.
    pub(crate) fn draw(&self, request: &Request, from: Locality, random: &mut Pcg64Mcg) -> Option<usize> {
        let load = self.placement.load();
        let pool = load.workers.pool(request.class)?;
        if retry::is_bound_to_scope(load.settings, request) {
            return self.draw_in_scope(request, pool, random);
        }
        let candidates = &pool[from];
        if candidates.is_empty() {
            return None;
        }
        let preferred = self
            .reserved_worker(request)
            .or_else(|| self.worker_with_earliest_end(request, candidates))
            .or_else(|| self.preferred_by_key(request, pool));
        preferred.or_else(|| self.draw_at_random(request, candidates, random))
    }

    /// Draws one of the workers that drop a repeat of what earlier attempts may have run.
    fn draw_in_scope(&self, request: &Request, pool: &Pool, random: &mut Pcg64Mcg) -> Option<usize> {
        let untried = pool.iter().filter(|worker| request.is_untried(*worker));
        let eligible: Vec<usize> =
            untried.filter(|worker| self.placement.is_eligible(request, *worker)).collect();
        (!eligible.is_empty()).then(|| eligible[random.random_range(0..eligible.len())])
    }

    /// Exception: a large job is sent back to the worker with its reservation.
    fn reserved_worker(&self, request: &Request) -> Option<usize> {
        let reservation = self.placement.reservations.get(request.id)?;
        let worker = reservation.worker;
        (request.drawn.is_empty() && request.is_untried(worker)).then_some(worker)
    }

    /// Exception: further probes for a large job go to the worker where it is expected to end first.
    fn worker_with_earliest_end(&self, request: &Request, candidates: &[usize]) -> Option<usize> {
        if !request.is_large || request.drawn.is_empty() {
            return None;
        }
        let load = self.placement.load();
        let end = |worker: &usize| load.forecast(request, *worker).expected_end(load.now, request.slots);
        let full_report_cutoff = self.full_report_cutoff(request);
        let suitable = candidates
            .iter()
            .copied()
            .filter(|worker| self.is_suitable(request, *worker, full_report_cutoff));
        suitable.min_by_key(end)
    }

    /// Exception: workers for a job with a key are drawn in an order that the key gives at every dispatcher.
    fn preferred_by_key(&self, request: &Request, pool: &Pool) -> Option<usize> {
        if request.key == NO_KEY {
            return None;
        }
        let load = self.placement.load();
        let rank = |index: &usize| {
            let worker = &load.workers[*index];
            let weight = load.service.kind(worker.kind).map_or(1.0, |kind| kind.slots.round().max(1.0));
            affinity::rank(request.key, worker.name, weight)
        };
        let full_report_cutoff = self.full_report_cutoff(request);
        let suitable = pool.iter().filter(|worker| self.is_suitable(request, *worker, full_report_cutoff));
        let workers_per_key = self.popularity.workers_per_key(request.key, pool.len());
        let first = affinity::first_by_rank(suitable, workers_per_key, rank);
        let locality = |worker: &usize| load.workers.locality(*worker, load.settings);
        first.into_iter().min_by_key(|worker| (locality(worker), rank(worker)))
    }

    fn draw_at_random(
        &self, request: &Request, candidates: &[usize], random: &mut Pcg64Mcg,
    ) -> Option<usize> {
        let load = self.placement.load();
        let all = candidates.len();
        for (size, with_unhealthy) in [(self.subset_size(all), false), (all, false), (all, true)] {
            for _ in 0..MAX_RANDOM_DRAWS {
                let worker = candidates[random.random_range(0..size)];
                if request.is_untried(worker)
                    && !load.is_too_small(worker, request.slots)
                    && (with_unhealthy || self.placement.is_healthy(request, worker))
                {
                    return Some(worker);
                }
            }
        }
        None
    }

    /// Returns the time since when a report of no capacity still holds. It holds briefly, so that a client
    /// that repeats at once is passed on to other workers.
    fn full_report_cutoff(&self, request: &Request) -> Time {
        let load = self.placement.load();
        if self.placement.admission.uses_observed_waits(request) {
            load.now
        } else {
            load.now - from_seconds(FULL_REPORT_VALIDITY_SERVICE_TIMES * load.service.mean_seconds())
        }
    }

    /// Returns whether a worker is untried, healthy, large enough and not known to be full.
    fn is_suitable(&self, request: &Request, worker: usize, full_report_cutoff: Time) -> bool {
        let load = self.placement.load();
        let is_full = || {
            load.workers[worker].reported_at > full_report_cutoff
                && !load.has_capacity(worker, request.slots, 0.0)
        };
        self.placement.is_healthy(request, worker)
            && !load.is_too_small(worker, request.slots)
            && request.is_untried(worker)
            && !is_full()
    }

    /// Exception: where handshakes have a price, workers are drawn from the first ones in this dispatcher's
    /// order. Returns the number of these.
    pub(crate) fn subset_size(&self, workers: usize) -> usize {
        let settings = self.placement.load().settings;
        let prices = &settings.prices;
        if prices.handshake <= 0.0 {
            return workers;
        }
        let reused = self.arrivals_per_second * seconds(settings.keepalive) / TARGET_USES_PER_CONNECTION;
        let connection_price = prices.connection * f64::from(settings.nodes)
            / (CONNECTIONS_PER_PRICE_UNIT * workers.max(1) as f64);
        // Infinite where connections have no price.
        let affordable = prices.handshake / TARGET_USES_PER_CONNECTION / connection_price;
        (reused.min(affordable).max(MIN_SUBSET_WORKERS) as usize).min(workers)
    }
}
