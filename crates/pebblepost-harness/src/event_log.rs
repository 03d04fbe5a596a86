//! What both sides saw, in one list with one clock: the clients, the workers and discovery write to it, the checker
//! and the report read it.

use crate::worker::model::ColdLoad;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// How an attempt ended at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Served.
    Done,
    /// Turned away or handed back: it never ran.
    NotRun,
    /// It failed, or the worker died with it.
    Failed,
}

/// A state of a worker as discovery tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Takes work; whether it has started lately.
    Ready {
        /// It has started lately.
        cold: bool,
    },
    /// Takes nothing new.
    Draining,
    /// Is no more.
    Gone,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's try went out to a dispatcher; it waits so many seconds.
    Requested {
        /// The id of the try.
        txn: String,
        /// The key of the job, the same for each try.
        key: String,
        /// To which dispatcher.
        dispatcher: usize,
        /// How long it waits.
        waits: f64,
    },
    /// The dispatcher answered, with this body.
    Responded {
        /// The id of the try.
        txn: String,
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The client left of its own accord, before its time was up.
    ClientCancelled {
        /// The id of the try.
        txn: String,
    },
    /// The connection ended with no whole answer.
    ConnectionClosed {
        /// The id of the try.
        txn: String,
    },
    /// Nothing had come when the client's time was up.
    TimedOut {
        /// The id of the try.
        txn: String,
    },
    /// An attempt's last byte arrived at a worker.
    AttemptArrived {
        /// The id of the try.
        txn: String,
        /// The key of the job.
        key: String,
        /// From which dispatcher.
        dispatcher: usize,
        /// At which worker.
        worker: usize,
    },
    /// That attempt ended there.
    AttemptEnded {
        /// The id of the try.
        txn: String,
        /// At which worker.
        worker: usize,
        /// How.
        end: AttemptEnd,
    },
    /// A worker got a request that no client sent.
    UnknownRequest {
        /// What it said it was.
        txn: String,
    },
    /// Discovery has this to tell of a worker from now on, whether or not it reaches anyone.
    Published {
        /// Of which worker.
        worker: usize,
        /// What.
        what: Availability,
    },
    /// Discovery wrote a worker's state to a dispatcher.
    Notified {
        /// To which dispatcher.
        dispatcher: usize,
        /// Of which worker.
        worker: usize,
        /// What.
        what: Availability,
    },
    /// A cold worker was sent more within the time in which it falls than ever before in this life.
    ColdLoadPeak {
        /// Which.
        worker: usize,
        /// What it was sent, and what it bears.
        load: ColdLoad,
    },
    /// A cold worker was sent more than it can bear.
    Overloaded {
        /// Which.
        worker: usize,
        /// When it had started.
        since: f64,
        /// The work that it was sent lately, by dispatcher.
        sent: Vec<(usize, f64)>,
    },
}

/// A thing seen, with when: seconds from the start.
pub type Entry = (f64, Event);

/// The list, of what one kind of run sees.
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

    /// Notes a thing as seen now.
    pub fn append(&self, event: T) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.push((self.now(), event)); // Timed under the lock, so that the list is in order.
    }

    /// All that was seen, in order.
    pub fn take(&self) -> Vec<(f64, T)> {
        std::mem::take(&mut *self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
