//! Reservations for large jobs: slots of a worker that are kept free for a job until it starts.
//!
//! Owns the reservations of one dispatcher. Never retries or rejects a job, and reads no clock.
//!
//! The method is EASY backfill (Lifka, "The ANL/IBM SP scheduling system", 1995) with one reservation for
//! each large job: small jobs keep using a worker as long as they leave the reserved slots free by the time
//! the large job starts. Dispatchers share no state, so a reservation binds only the jobs of its own
//! dispatcher; the jobs of others show in load reports.
//!
//! Units: slots as workers report them, times on the caller's clock.

pub use crate::api::{InvalidSetting, ReservationSettings};
use crate::api::{RequestId, Time};
use crate::forecast::WorkerForecast;

/// Maximum number of reservations at once, however many large jobs arrive.
const MAX_RESERVATIONS: usize = 64;

/// Slots of a worker that are reserved for a large job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The job.
    pub request: RequestId,
    /// Index of the worker.
    pub worker: usize,
    /// Reserved slots.
    pub slots: f64,
    /// When the job is expected to start.
    pub expected_start: Time,
    /// Latest start at which the job is still in time.
    pub latest_start: Time,
    /// When the job is expected to end.
    pub expected_end: Time,
}

/// Reservation that a large job asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReservationRequest {
    /// The job.
    pub request: RequestId,
    /// Slots that the job takes.
    pub slots: f64,
    /// Slots of all workers that might serve the job.
    pub fleet_slots: f64,
}

/// Reservations of one dispatcher.
#[derive(Clone, Debug)]
pub struct Reservations {
    max_reserved_fraction: f64,
    reservations: Vec<Reservation>,
}

impl Reservations {
    /// Creates an empty set. For `max_reserved_fraction` see [`ReservationSettings`].
    pub fn new(max_reserved_fraction: f64) -> Self {
        Self { max_reserved_fraction, reservations: Vec::new() }
    }

    /// Returns the reservation of a job.
    pub fn get(&self, request: RequestId) -> Option<&Reservation> {
        self.reservations.iter().find(|reservation| reservation.request == request)
    }

    /// Returns the jobs with a reservation at a worker, the one with the earliest latest start first.
    pub fn holders(&self, worker: usize) -> Vec<RequestId> {
        let mut here: Vec<&Reservation> =
            self.reservations.iter().filter(|reservation| reservation.worker == worker).collect();
        here.sort_by_key(|reservation| (reservation.latest_start, reservation.request));
        here.iter().map(|reservation| reservation.request).collect()
    }

    /// Returns whether anything is reserved at a worker.
    pub fn has_any_at(&self, worker: usize) -> bool {
        self.reservations.iter().any(|reservation| reservation.worker == worker)
    }

    /// Releases a job's reservation.
    pub fn release(&mut self, request: RequestId) {
        self.reservations.retain(|reservation| reservation.request != request);
    }

    /// Releases all reservations at the workers for which `lost` is true. Returns the jobs that held them.
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

    /// Reserves slots for a large job at the worker where it is expected to end first, among those where it
    /// starts no later than `latest_start`. Returns `None` if there is no such worker or too much is reserved
    /// already. An earlier reservation of the job is released in any case.
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
            // The job starts after those that hold a reservation at the worker already.
            let expected_start =
                forecast.expected_start(now, slots + self.reserved_slots_at(worker, request))?;
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

    /// Returns whether another job may take `slots` at a worker for `forecast.run_time`: it ends, or leaves
    /// the reserved slots free, early enough. That is within half of the time that a large job can wait
    /// beyond its expected start, because reports, hints and the forecast of other dispatchers may be wrong.
    /// A reservation past its latest start does not count.
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

    /// Returns the slots reserved at a worker, without those of `except`.
    fn reserved_slots_at(&self, worker: usize, except: RequestId) -> f64 {
        let others = self
            .reservations
            .iter()
            .filter(|reservation| reservation.worker == worker && reservation.request != except);
        others.map(|reservation| reservation.slots).sum()
    }
}
