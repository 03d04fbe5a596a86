//! Reservation of a slot at a transcriber for one request.

use crate::load_table::{LastActivity, LoadTable};
use crate::placement::candidates::ProbedCandidate;
use pebblepost_transcriber::{ResponseHead, Target};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A reserved slot, counted as one of the proxy's own requests at the transcriber until it is dropped.
pub(crate) struct Reservation {
    loads: Rc<RefCell<LoadTable>>,
    pub(crate) target: Target,
    /// Name of the transcriber's service.
    pub(crate) backend: String,
    /// Version of the required model that the transcriber reported.
    pub(crate) version: Option<u64>,
    last_activity: LastActivity,
    reserved_at: Instant,
    /// Signals that the attempt has started. Dropped without a signal if no attempt starts.
    start_sender: Cell<Option<oneshot::Sender<()>>>,
}

impl Reservation {
    /// Reserves `slots` slots at the probed transcriber and returns one reservation for each.
    pub(crate) fn reserve(
        loads: &Rc<RefCell<LoadTable>>, probed: &ProbedCandidate, slots: u32,
    ) -> Vec<Reservation> {
        let now = Instant::now();
        let target = &probed.candidate.target;
        let last_activity = loads.borrow_mut().last_activity(&target.instance);
        let reserve_one = || {
            loads.borrow_mut().start_request(&target.instance, now);
            Reservation {
                loads: loads.clone(),
                target: target.clone(),
                backend: probed.candidate.backend.clone(),
                version: probed.version,
                last_activity: last_activity.clone(),
                reserved_at: now,
                start_sender: Cell::new(None),
            }
        };
        (0..slots).map(|_| reserve_one()).collect()
    }

    /// Returns a receiver that resolves when the attempt on this reservation starts, or fails if the reservation is
    /// dropped before that. A second call replaces the first receiver.
    pub(crate) fn started(&self) -> oneshot::Receiver<()> {
        let (start_sender, start_receiver) = oneshot::channel();
        self.start_sender.set(Some(start_sender));
        start_receiver
    }

    /// Signals that the transcriber has sent the head of the stream and therefore executes the attempt.
    pub(crate) fn notify_started(&self) {
        if let Some(start_sender) = self.start_sender.take() {
            // The receiver may have timed out and been dropped.
            let _ = start_sender.send(());
        }
    }

    /// Records that the transcriber sent bytes.
    pub(crate) fn record_activity(&self) {
        self.last_activity.record(Instant::now());
    }

    /// Returns whether the transcriber sent anything within the last `time`.
    pub(crate) fn was_active_within(&self, time: Duration, now: Instant) -> bool {
        self.last_activity.is_within(time, now)
    }

    /// Records the load in the head of a response, if it states one.
    pub(crate) fn record_load(&self, head: &ResponseHead) {
        if let Some(load) = &head.load {
            self.loads.borrow_mut().record_answer(&self.target.instance, load, Instant::now());
        }
    }

    /// Ejects the transcriber for `time`.
    pub(crate) fn eject(&self, time: Duration) {
        self.loads.borrow_mut().eject(&self.target.instance, Instant::now() + time);
    }

    /// Discards the transcriber's last report, which has proved stale.
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
