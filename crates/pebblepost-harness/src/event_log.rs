//! What was seen from outside the dispatchers, in one list with one clock: clients, workers and discovery append to it, the
//! checker reads it.

use crate::worker::model::ColdLoad;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// How an attempt ended at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Served.
    Done,
    /// Rejected or returned: it never ran.
    NotRun,
    /// It failed, or the worker crashed.
    Failed,
}

/// The availability of a worker, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Takes work; whether it has started lately.
    Ready {
        /// It has started lately.
        cold: bool,
    },
    /// Takes nothing new.
    Draining,
    /// Not listed any more.
    Gone,
}

/// Something that was seen. Times are seconds from the start of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's attempt went out to a dispatcher.
    Requested {
        /// Id of the client's attempt.
        txn: String,
        /// Idempotency key, the same for each attempt of a request.
        key: String,
        /// To which dispatcher.
        dispatcher: usize,
        /// Seconds for which the client waits.
        waits: f64,
    },
    /// The dispatcher answered.
    Responded {
        /// Id of the client's attempt.
        txn: String,
        /// Status.
        status: u16,
        /// Body.
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
    /// An attempt's last byte arrived at a worker.
    AttemptArrived {
        /// Id of the client's attempt.
        txn: String,
        /// Idempotency key.
        key: String,
        /// From which dispatcher.
        dispatcher: usize,
        /// At which worker.
        worker: usize,
    },
    /// That attempt ended there.
    AttemptEnded {
        /// Id of the client's attempt.
        txn: String,
        /// At which worker.
        worker: usize,
        /// How.
        end: AttemptEnd,
    },
    /// A worker got a request that no client sent.
    UnknownRequest {
        /// The id that it gave.
        txn: String,
    },
    /// Discovery lists a worker as this from now on, whether or not that reaches anyone.
    Published {
        /// Of which worker.
        worker: usize,
        /// Its availability.
        availability: Availability,
    },
    /// Discovery wrote a worker's availability to a dispatcher.
    Notified {
        /// To which dispatcher.
        dispatcher: usize,
        /// Of which worker.
        worker: usize,
        /// Its availability.
        availability: Availability,
    },
    /// The load on a cold worker is the highest since its start.
    ColdLoadPeak {
        /// Which.
        worker: usize,
        /// The load.
        load: ColdLoad,
    },
    /// A cold worker was overloaded and crashes.
    Overloaded {
        /// Which.
        worker: usize,
        /// When it had started.
        since: f64,
        /// Work that it was sent lately, by dispatcher.
        sent: Vec<(usize, f64)>,
    },
}

/// An event with its time, in seconds from the start.
pub type Entry = (f64, Event);

/// The list of events of a run.
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
    /// Seconds from the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The start itself.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Appends an event, at the present time.
    pub fn append(&self, event: T) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.push((self.now(), event)); // Timed under the lock, so that the list is in order.
    }

    /// Takes all events, in their order.
    pub fn take(&self) -> Vec<(f64, T)> {
        std::mem::take(&mut *self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
