//! Reservations for large jobs: which part of a worker is held free for one until it starts.
//!
//! Owns the reservations of one node. It never chooses the worker of a job, retries or rejects, and reads no
//! clock.
//!
//! The method is EASY backfill (Lifka, "The ANL/IBM SP scheduling system", 1995) with one reservation for
//! each large job: small jobs go on using a worker as long as they leave what is reserved free by the time
//! the large one starts. Dispatchers share nothing, so a reservation binds only the jobs of its own node;
//! what others do shows in reports.
//!
//! Units: slots as workers report them, times on the caller's clock.

pub use crate::api::{InvalidSetting, ReservationSettings};
use crate::api::{RequestId, Time};
use crate::forecast::WorkerForecast;

/// Reservations kept at once, whatever a flood of large jobs asks for.
const MAX_RESERVATIONS: usize = 64;

/// A part of a worker that is reserved for a large job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The job.
    pub request: RequestId,
    /// The worker, by its index.
    pub worker: usize,
    /// Reserved slots.
    pub slots: f64,
    /// When the job is expected to start.
    pub expected_start: Time,
    /// From when on the job would be late.
    pub latest_start: Time,
    /// When the job is expected to end.
    pub expected_end: Time,
}

/// What a large job asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReservationRequest {
    /// The job.
    pub request: RequestId,
    /// Slots that it takes.
    pub slots: f64,
    /// Slots of all workers that might serve it.
    pub fleet_slots: f64,
}

/// The reservations of one node.
#[derive(Clone, Debug)]
pub struct Reservations {
    max_reserved_fraction: f64,
    reservations: Vec<Reservation>,
}

impl Reservations {
    /// No reservation. `max_reserved_fraction`: see [`ReservationSettings`].
    pub fn new(max_reserved_fraction: f64) -> Self {
        Self { max_reserved_fraction, reservations: Vec::new() }
    }

    /// The reservation of a job.
    pub fn get(&self, request: RequestId) -> Option<&Reservation> {
        self.reservations.iter().find(|reservation| reservation.request == request)
    }

    /// Jobs that hold a part of a worker, the one that has to start first in front.
    pub fn holders(&self, worker: usize) -> Vec<RequestId> {
        let mut here: Vec<&Reservation> =
            self.reservations.iter().filter(|reservation| reservation.worker == worker).collect();
        here.sort_by_key(|reservation| (reservation.latest_start, reservation.request));
        here.iter().map(|reservation| reservation.request).collect()
    }

    /// Whether anything is reserved at a worker.
    pub fn has_any_at(&self, worker: usize) -> bool {
        self.reservations.iter().any(|reservation| reservation.worker == worker)
    }

    /// Releases a job's reservation.
    pub fn release(&mut self, request: RequestId) {
        self.reservations.retain(|reservation| reservation.request != request);
    }

    /// Releases all reservations at workers that can no longer serve them; returns whose they were.
    pub fn release_where(&mut self, lost: impl Fn(usize) -> bool) -> Vec<RequestId> {
        let released = self
            .reservations
            .iter()
            .filter(|reservation| lost(reservation.worker))
            .map(|reservation| reservation.request)
            .collect();
        self.reservations.retain(|reservation| !lost(reservation.worker));
        released
    }

    /// Reserves slots for a large job where it is expected to end first, among the workers where it starts no
    /// later than `latest_start` says. `None`: there is no such worker, or too much is reserved already.
    pub fn reserve(
        &mut self, now: Time, job: ReservationRequest, forecasts: &[WorkerForecast],
        latest_start: impl Fn(&WorkerForecast) -> Time,
    ) -> Option<Reservation> {
        let ReservationRequest { request, slots, fleet_slots } = job;
        self.release(request);
        self.reservations.retain(|reservation| reservation.latest_start >= now);
        let reserved: f64 = self.reservations.iter().map(|reservation| reservation.slots).sum();
        let limit = (self.max_reserved_fraction * fleet_slots).max(slots);
        if self.reservations.len() >= MAX_RESERVATIONS || reserved + slots > limit {
            return None;
        }
        let offers = forecasts.iter().filter_map(|forecast| {
            let worker = forecast.worker;
            // Behind those that hold a part of it already.
            let expected_start = forecast.expected_start(now, slots + self.slots_at(worker, request))?;
            let latest_start = latest_start(forecast);
            let expected_end = expected_start + forecast.run_time;
            (expected_start <= latest_start).then_some(Reservation {
                request,
                worker,
                slots,
                expected_start,
                latest_start,
                expected_end,
            })
        });
        let best = offers.min_by_key(|offer| (offer.expected_end, offer.worker))?;
        self.reservations.push(best);
        Some(best)
    }

    /// Whether another job may take `slots` at a worker for `forecast.run_time`: it ends, or leaves what is
    /// reserved free, early enough. Early enough is half of what a large job can wait beyond its expected
    /// start, as reports, hints and other dispatchers may be wrong. A reservation past its latest start does
    /// not count.
    pub fn allows(&self, now: Time, request: RequestId, slots: f64, forecast: &WorkerForecast) -> bool {
        let mut binding: Vec<&Reservation> =
            self.reservations.iter().filter(|reservation| reservation.worker == forecast.worker).collect();
        binding.retain(|reservation| reservation.request != request && reservation.latest_start >= now);
        binding.sort_by_key(|reservation| (reservation.expected_start, reservation.request));
        let mut wanted = slots;
        binding.iter().all(|reservation| {
            wanted += reservation.slots;
            let from = reservation.expected_start.max(now);
            let limit = from + reservation.latest_start.since(from) / 2;
            now + forecast.run_time <= limit
                || forecast.expected_start(now, wanted).is_some_and(|start| start <= limit)
        })
    }

    /// Slots reserved at a worker, without those of `except`.
    fn slots_at(&self, worker: usize, except: RequestId) -> f64 {
        let others = self
            .reservations
            .iter()
            .filter(|reservation| reservation.worker == worker && reservation.request != except);
        others.map(|reservation| reservation.slots).sum()
    }
}
