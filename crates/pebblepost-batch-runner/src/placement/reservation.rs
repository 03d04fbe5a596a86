//! A slot at a transcriber that is reserved for one request.

use crate::load_table::{LastHeard, LoadTable};
use crate::placement::candidates::ProbedCandidate;
use pebblepost_transcriber::{ResponseHead, Target};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A reserved slot. Counts among the proxy's own requests at the transcriber until it is dropped.
pub(crate) struct Reservation {
    loads: Rc<RefCell<LoadTable>>,
    pub(crate) target: Target,
    /// Service of the transcriber.
    pub(crate) backend: String,
    /// Version of the model that the transcriber reported.
    pub(crate) version: Option<u64>,
    last_heard: LastHeard,
    reserved_at: Instant,
    /// Sent when the attempt has started here; dropped unsent where none does.
    started: Cell<Option<oneshot::Sender<()>>>,
}

impl Reservation {
    /// Reserves this many slots.
    pub(crate) fn reserve(
        loads: &Rc<RefCell<LoadTable>>, probed: &ProbedCandidate, slots: u32,
    ) -> Vec<Reservation> {
        let now = Instant::now();
        let target = &probed.candidate.target;
        let last_heard = loads.borrow_mut().last_heard(&target.instance);
        let reserve_one = || {
            loads.borrow_mut().start_request(&target.instance, now);
            Reservation {
                loads: loads.clone(),
                target: target.clone(),
                backend: probed.candidate.backend.clone(),
                version: probed.version,
                last_heard: last_heard.clone(),
                reserved_at: now,
                started: Cell::new(None),
            }
        };
        (0..slots).map(|_| reserve_one()).collect()
    }

    /// Resolves when the attempt at this reservation has started; to an error if the reservation is dropped
    /// before.
    pub(crate) fn on_start(&self) -> oneshot::Receiver<()> {
        let (started, on_start) = oneshot::channel();
        self.started.set(Some(started));
        on_start
    }

    /// The head of a stream has come: the transcriber executes the attempt.
    pub(crate) fn signal_start(&self) {
        if let Some(started) = self.started.take() {
            // The receiver is gone if it has timed out.
            let _ = started.send(());
        }
    }

    /// Records that bytes came from the transcriber.
    pub(crate) fn record_heard(&self) {
        self.last_heard.record(Instant::now());
    }

    /// Whether the transcriber was heard from within this time.
    pub(crate) fn was_heard_within(&self, time: Duration, now: Instant) -> bool {
        self.last_heard.is_within(time, now)
    }

    /// Records the load that an answer carries.
    pub(crate) fn record_load(&self, head: &ResponseHead) {
        if let Some(load) = &head.load {
            self.loads.borrow_mut().record_answer(&self.target.instance, load, Instant::now());
        }
    }

    /// Ejects the transcriber for this long.
    pub(crate) fn eject(&self, time: Duration) {
        self.loads.borrow_mut().eject(&self.target.instance, Instant::now() + time);
    }

    /// The transcriber's last report has turned out stale.
    pub(crate) fn invalidate_report(&self) {
        self.loads.borrow_mut().invalidate_report(&self.target.instance);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut loads = self.loads.borrow_mut();
        loads.end_request(&self.target.instance, self.reserved_at, Instant::now());
    }
}
