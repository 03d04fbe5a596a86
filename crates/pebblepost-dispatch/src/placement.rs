//! Placement: selects which of the probed workers gets a job.
//!
//! Owns no state. The mechanism is Van Houdt's preventive probing ("Load balancing with power of d choices
//! and preventive probing"): a random first probe precedes each job; a worker with fewer than L busy slots
//! and capacity for the job gets it; otherwise d-1 more random workers are probed and the least busy of all d
//! gets it, ties broken at random. Deviations from that are marked `Exception` and listed with their
//! conditions in `docs/dispatch.md`.

use crate::admission::Admission;
use crate::api::{Time, WorkerState};
use crate::forecast::WorkerForecast;
use crate::load::LoadModel;
use crate::request_table::{Attempt, Request};
use crate::reservation::{ReservationRequest, Reservations};
use crate::retry;

/// Number of workers compared in one round, the parameter d of the mechanism. Two choices bring most of the
/// gain, and probes have a price.
pub(crate) const WORKERS_PER_ROUND: usize = 2;
/// Maximum number of probe rounds in which a large job may hold a reservation.
const MAX_RESERVED_ROUNDS: u32 = 16;
/// Numbers of slots from which on L is the number of slots less one, and less two: the optimum at load 0.8
/// (figure 3 of the paper).
const THRESHOLD_STEP_SLOTS: [f64; 2] = [8.0, 34.0];

/// Returns L for a worker with this many slots.
fn busy_threshold(slots: f64) -> f64 {
    slots - THRESHOLD_STEP_SLOTS.iter().filter(|step| slots >= **step).count() as f64
}

/// Cost of a placement; the lowest is best. Late placements cost more than any in time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Cost {
    is_late: bool,
    load: f64,
}

/// View of a dispatcher's state that selects workers for requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) admission: Admission<'a>,
    pub(crate) reservations: &'a Reservations,
}

impl<'a> Placement<'a> {
    /// Returns the load model used for placement.
    pub(crate) fn load(&self) -> &LoadModel<'a> {
        &self.admission.load
    }

    /// Returns whether a worker may get a request now by all rules. Checked before every send.
    pub(crate) fn is_eligible(&self, request: &Request, index: usize) -> bool {
        let load = self.load();
        let worker = &load.workers[index];
        worker.state == WorkerState::Ready
            && retry::is_in_scope(load.settings, load.workers, request, index)
            && worker.is_permitted(&load.settings.classes[request.class])
            && retry::may_send(load.settings, load.now, request)
            && (load.is_warm(index) || worker.reports > 0 && load.has_capacity(index, request.slots, 0.0))
            && (!self.reservations.has_any_at(index) || self.leaves_reservations(request, index))
    }

    fn leaves_reservations(&self, request: &Request, worker: usize) -> bool {
        let load = self.load();
        let forecast = load.forecast(request, worker);
        self.reservations.allows(load.now, request.id, request.slots, &forecast)
    }

    /// Returns whether fewer than L slots are busy and the worker has capacity for the job. Exception: where
    /// reports mislead because all dispatchers send to workers that look idle, a report is judged by the
    /// outcome of earlier sends on such reports, which must be no worse than the mean.
    pub(crate) fn is_below_threshold(&self, request: &Request, index: usize) -> bool {
        let load = self.load();
        if load.is_misleading(index) {
            return load.report_reliability.is_no_worse_than_mean(load.level(index));
        }
        let worker = &load.workers[index];
        load.has_capacity(index, request.slots, request.memory)
            && (!worker.has_known_slots() || load.busy(index) < busy_threshold(worker.slots))
    }

    /// Returns whether the worker of the first probe gets a request. A request that holds a reservation there
    /// is exempt from the threshold.
    pub(crate) fn accepts_first(&self, request: &Request, worker: usize, is_reserved: bool) -> bool {
        (is_reserved || self.is_below_threshold(request, worker))
            && self.is_eligible(request, worker)
            && self.admission.ends_in_time(request, worker)
    }

    /// Returns the least busy eligible workers of all that were probed; several if they tie.
    pub(crate) fn least_busy(&self, request: &Request) -> Vec<usize> {
        let eligible = request.answered.iter().copied().filter(|worker| self.is_eligible(request, *worker));
        let costs: Vec<(usize, Cost)> = eligible.map(|worker| (worker, self.cost(request, worker))).collect();
        let least =
            costs.iter().map(|(_, cost)| *cost).reduce(|least, cost| if cost < least { cost } else { least });
        costs.iter().filter(|(_, cost)| Some(*cost) == least).map(|(worker, _)| *worker).collect()
    }

    /// Returns the busy slots as a fraction of all slots, less one, so that it is below 0; for full workers
    /// the expected wait in seconds.
    fn cost(&self, request: &Request, index: usize) -> Cost {
        let load = self.load();
        let is_late = !self.admission.ends_in_time(request, index);
        let slots = load.workers[index].slots.max(1.0);
        if load.is_misleading(index) {
            return Cost { is_late, load: load.report_reliability.failure_fraction(load.level(index)) };
        }
        let busy = load.busy(index);
        let load = if busy < slots {
            busy.round() / slots - 1.0
        } else {
            load.slot_wait(request, index) + load.fetch_time(request, index)
        };
        Cost { is_late, load }
    }

    /// Returns whether the least busy worker gets a request at once. A worker that is warming up must end it
    /// in time.
    pub(crate) fn accepts_least_busy(&self, request: &Request, worker: usize) -> bool {
        let load = self.load();
        let has_capacity = || {
            !load.settings.probing_enabled
                || load.has_capacity(worker, request.slots, request.memory) && !load.is_misleading(worker)
        };
        (self.is_below_threshold(request, worker) || has_capacity())
            && (load.is_warm(worker) || self.admission.ends_in_time(request, worker))
    }

    /// Returns the worker of the fleet where a request is expected to wait least.
    pub(crate) fn shortest_queue(&self, request: &Request) -> Option<usize> {
        let load = self.load();
        let eligible = load.workers.pool(request.class)?.iter().filter(|worker| {
            self.is_healthy(request, *worker)
                && !request.excluded.contains(worker)
                && self.is_eligible(request, *worker)
        });
        let wait = |worker: &usize| load.queue_wait(*worker) + load.fetch_time(request, *worker);
        eligible.min_by(|one, other| wait(one).total_cmp(&wait(other)))
    }

    /// Creates an attempt of a request at a worker, on a new connection.
    pub(crate) fn attempt(&self, request: &Request, worker: usize) -> Attempt {
        let load = self.load();
        Attempt {
            worker,
            sent: load.now,
            slots: request.slots,
            in_flight: true,
            started: None,
            connection_idle: None,
            queued: !load.has_capacity(worker, request.slots, request.memory),
            load_level: load.level(worker),
            reported_jobs: load.reported_jobs(worker),
        }
    }

    /// Returns whether a worker is not ejected for jobs of the request's class.
    pub(crate) fn is_healthy(&self, request: &Request, worker: usize) -> bool {
        let load = self.load();
        load.workers[worker].outliers.is_healthy(load.now, request.class)
    }

    /// Exception: a large job that none of the probed workers can take reserves slots of a worker. Returns
    /// `None` if the job is not large or has used up its rounds. `only` restricts the choice to the worker
    /// where the job is queued.
    pub(crate) fn reservation_plan(&self, request: &Request, only: Option<usize>) -> Option<ReservationPlan> {
        if !request.is_large || request.backoffs >= MAX_RESERVED_ROUNDS {
            return None;
        }
        let load = self.load();
        let candidates = load.workers.pool(request.class)?.iter().filter(|worker| {
            self.is_healthy(request, *worker)
                && !request.excluded.contains(worker)
                && load.is_warm(*worker)
                && load.workers[*worker].has_known_slots()
        });
        let mut forecasts: Vec<WorkerForecast> =
            candidates.map(|worker| load.forecast(request, worker)).collect();
        let fleet_slots = forecasts.iter().map(|forecast| forecast.slots).sum();
        forecasts.retain(|forecast| only.is_none_or(|worker| worker == forecast.worker));
        let job = ReservationRequest { request: request.id, slots: request.slots, fleet_slots };
        Some(ReservationPlan { job, forecasts, full_value_until: self.admission.full_value_until(request) })
    }
}

/// A large job and the forecasts of the workers that might serve it.
#[derive(Clone, Debug)]
pub(crate) struct ReservationPlan {
    pub(crate) job: ReservationRequest,
    pub(crate) forecasts: Vec<WorkerForecast>,
    pub(crate) full_value_until: Time,
}

impl ReservationPlan {
    /// Reserves slots of one of these workers. Returns the expected start of the job.
    pub(crate) fn reserve(&self, now: Time, reservations: &mut Reservations) -> Option<Time> {
        let latest_start = |forecast: &WorkerForecast| self.full_value_until - forecast.run_time;
        let reservation = reservations.reserve(now, self.job, &self.forecasts, latest_start);
        reservation.map(|reservation| reservation.expected_start)
    }
}
