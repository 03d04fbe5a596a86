//! The log of all events that are observable from outside the dispatchers, in one list with one clock. Clients, workers and
//! discovery append to it; the checker reads it.

use crate::worker::model::ColdLoad;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// How an attempt ended at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker completed the job.
    Done,
    /// The worker rejected or returned the job, so it did not run.
    NotRun,
    /// The job failed, or the worker crashed.
    Failed,
}

/// The availability of a worker, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The worker accepts jobs.
    Ready {
        /// Whether the worker has restarted recently.
        cold: bool,
    },
    /// The worker accepts no new jobs.
    Draining,
    /// The worker is no longer listed.
    Gone,
}

/// An observed event. Times are in seconds since the start of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client sent an attempt to a dispatcher.
    Requested {
        /// Id of the client's attempt.
        txn: String,
        /// Idempotency key, which all attempts of a request share.
        key: String,
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Time for which the client waits for the answer, in seconds.
        timeout_s: f64,
    },
    /// The dispatcher sent a complete answer.
    Responded {
        /// Id of the client's attempt.
        txn: String,
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
    /// The client disconnected before its deadline.
    ClientCancelled {
        /// Id of the client's attempt.
        txn: String,
    },
    /// The connection ended without a complete answer.
    ConnectionClosed {
        /// Id of the client's attempt.
        txn: String,
    },
    /// There was no answer at the client's deadline.
    TimedOut {
        /// Id of the client's attempt.
        txn: String,
    },
    /// A worker received the last byte of an attempt.
    AttemptArrived {
        /// Id of the client's attempt.
        txn: String,
        /// Idempotency key.
        key: String,
        /// Index of the dispatcher that sent it.
        dispatcher: usize,
        /// Index of the worker.
        worker: usize,
    },
    /// An attempt ended at a worker.
    AttemptEnded {
        /// Id of the client's attempt.
        txn: String,
        /// Index of the worker.
        worker: usize,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A worker received a request that no client sent.
    UnknownRequest {
        /// The id in the request.
        txn: String,
    },
    /// Discovery changed the availability that it lists for a worker, whether or not any dispatcher is notified.
    Published {
        /// Index of the worker.
        worker: usize,
        /// Its new availability.
        availability: Availability,
    },
    /// Discovery sent a worker's availability to a dispatcher.
    Notified {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Index of the worker.
        worker: usize,
        /// Its new availability.
        availability: Availability,
    },
    /// The load on a cold worker reached a new maximum since its start.
    ColdLoadPeak {
        /// Index of the worker.
        worker: usize,
        /// The load.
        load: ColdLoad,
    },
    /// A cold worker was overloaded and crashes.
    Overloaded {
        /// Index of the worker.
        worker: usize,
        /// Time of its start.
        since: f64,
        /// Dispatcher and amount, in seconds at speed 1, of each piece of work sent within the overload window.
        sent: Vec<(usize, f64)>,
    },
}

/// An event with its time, in seconds since the start of the log.
pub type Entry = (f64, Event);

/// The events of a run, in the order of their times.
#[derive(Debug)]
pub struct EventLog<T = Event> {
    start: Instant,
    list: Mutex<Vec<(f64, T)>>,
}

impl<T> Default for EventLog<T> {
    fn default() -> Self {
        Self { start: Instant::now(), list: Mutex::default() }
    }
}

impl<T> EventLog<T> {
    /// Returns the time since the start of the log, in seconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Returns the time at which the log was started.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Appends an event with the current time.
    pub fn append(&self, event: T) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that the list is ordered by time.
        list.push((self.now(), event));
    }

    /// Removes and returns all events, in the order of their times.
    pub fn take(&self) -> Vec<(f64, T)> {
        std::mem::take(&mut *self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
