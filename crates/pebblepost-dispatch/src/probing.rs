//! Probing: which worker is drawn next for a request.
//!
//! Owns no state; draws from the pools of the worker table with the node's generator.

use crate::affinity::{self, KeyPopularity, NO_KEY};
use crate::api::Time;
use crate::estimators::{from_seconds, seconds};
use crate::placement::Placement;
use crate::request_table::Request;
use crate::retry;
use crate::worker_table::{Locality, Pool};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Random draws tried in a pool before it is taken to hold nobody eligible.
const DRAWS: usize = 8;
/// The subset that draws come from is such that each connection is used this often.
const USES_PER_CONNECTION: f64 = 4.0;
/// Smallest subset: as many workers as are probed for a job, with one in four failing.
const MIN_SUBSET: f64 = 8.0;
/// Open connections that the price of connections is stated for.
const CONNECTIONS_PER_PRICE: f64 = 100.0;
/// A worker seen without capacity this fraction of a mean job ago has none now.
const FULL_FOR_JOBS: f64 = 0.03;

/// Draws workers for requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Draw<'a> {
    pub(crate) placement: Placement<'a>,
    pub(crate) popularity: &'a KeyPopularity,
    /// Requests a second that arrive at this node.
    pub(crate) arrivals_per_second: f64,
}

impl Draw<'_> {
    /// A random worker for a request, unhealthy ones left out as long as there are others.
    pub(crate) fn next(&self, request: &Request, from: Locality, random: &mut Pcg64Mcg) -> Option<usize> {
        let load = self.placement.load();
        let pool = load.workers.pool(request.class)?;
        if retry::is_bound_to_scope(load.settings, request) {
            return self.in_scope(request, pool, random);
        }
        let candidates = &pool[from];
        if candidates.is_empty() {
            return None;
        }
        let directed = self
            .reserved(request)
            .or_else(|| self.earliest_end(request, candidates))
            .or_else(|| self.by_key(request, pool));
        directed.or_else(|| self.at_random(request, candidates, random))
    }

    /// One of the workers that drop a repeat of what earlier attempts may have run.
    fn in_scope(&self, request: &Request, pool: &Pool, random: &mut Pcg64Mcg) -> Option<usize> {
        let fresh = pool.iter().filter(|worker| request.is_fresh(*worker));
        let group: Vec<usize> = fresh.filter(|worker| self.placement.is_eligible(request, *worker)).collect();
        (!group.is_empty()).then(|| group[random.random_range(0..group.len())])
    }

    /// Exception: a large job goes back to the worker that is reserved for it.
    fn reserved(&self, request: &Request) -> Option<usize> {
        let reservation = self.placement.reservations.get(request.id)?;
        let worker = reservation.worker;
        (request.drawn.is_empty() && request.is_fresh(worker)).then_some(worker)
    }

    /// Exception: the further probes for a large job go where it is expected to end first.
    fn earliest_end(&self, request: &Request, candidates: &[usize]) -> Option<usize> {
        if !request.is_large || request.drawn.is_empty() {
            return None;
        }
        let load = self.placement.load();
        let end = |worker: &usize| load.forecast(request, *worker).expected_end(load.now, request.slots);
        let full_since = self.full_since(request);
        let promising = candidates.iter().copied();
        promising.filter(|worker| self.is_promising(request, *worker, full_since)).min_by_key(end)
    }

    /// Exception: a job that is about something is drawn for in an order that its key gives all nodes.
    fn by_key(&self, request: &Request, pool: &Pool) -> Option<usize> {
        if request.key == NO_KEY {
            return None;
        }
        let load = self.placement.load();
        let rank = |index: &usize| {
            let worker = &load.workers[*index];
            let weight = load.service.kind(worker.kind).map_or(1.0, |kind| kind.slots.round().max(1.0));
            affinity::rank(request.key, worker.name, weight)
        };
        let full_since = self.full_since(request);
        let promising = pool.iter().filter(|worker| self.is_promising(request, *worker, full_since));
        let replicas = self.popularity.workers_per_key(request.key, pool.len());
        let first = affinity::first_by_rank(promising, replicas, rank);
        let locality = |worker: &usize| load.workers.locality(*worker, load.settings);
        first.into_iter().min_by_key(|worker| (locality(worker), rank(worker)))
    }

    fn at_random(&self, request: &Request, candidates: &[usize], random: &mut Pcg64Mcg) -> Option<usize> {
        let load = self.placement.load();
        let all = candidates.len();
        for (size, with_unhealthy) in [(self.subset_size(all), false), (all, false), (all, true)] {
            for _ in 0..DRAWS {
                let worker = candidates[random.random_range(0..size)];
                if request.is_fresh(worker)
                    && !load.is_too_small(worker, request.slots)
                    && (with_unhealthy || self.placement.is_healthy(request, worker))
                {
                    return Some(worker);
                }
            }
        }
        None
    }

    /// A worker reported to be full since then has no capacity now: a client that repeats at once goes on to
    /// others.
    fn full_since(&self, request: &Request) -> Time {
        let load = self.placement.load();
        if self.placement.admission.judges_by_waits(request) {
            load.now
        } else {
            load.now - from_seconds(FULL_FOR_JOBS * load.service.mean())
        }
    }

    /// Whether a worker is fresh, healthy, large enough and not known to be full.
    fn is_promising(&self, request: &Request, worker: usize, full_since: Time) -> bool {
        let load = self.placement.load();
        let is_full = || {
            load.workers[worker].reported_at > full_since && !load.has_capacity(worker, request.slots, 0.0)
        };
        self.placement.is_healthy(request, worker)
            && !load.is_too_small(worker, request.slots)
            && request.is_fresh(worker)
            && !is_full()
    }

    /// Exception: where handshakes are priced, draws come from the first workers of this node's order.
    pub(crate) fn subset_size(&self, workers: usize) -> usize {
        let settings = self.placement.load().settings;
        let prices = &settings.prices;
        if prices.handshake <= 0.0 {
            return workers;
        }
        let reused = self.arrivals_per_second * seconds(settings.keepalive) / USES_PER_CONNECTION;
        let connection_price =
            prices.connection * f64::from(settings.nodes) / (CONNECTIONS_PER_PRICE * workers.max(1) as f64);
        // Infinite where connections cost nothing.
        let affordable = prices.handshake / USES_PER_CONNECTION / connection_price;
        (reused.min(affordable).max(MIN_SUBSET) as usize).min(workers)
    }
}
