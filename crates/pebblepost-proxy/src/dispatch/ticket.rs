//! A request as the decisions know it: what they ask for, and how its attempts ended.

use super::service::Service;
use pebblepost_dispatch::api::{AttemptNo, Event, Report, RequestId, Status, WorkerId};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// What the decisions ask for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Send it to a transcriber.
    Send(WorkerId),
    /// No further attempt; how long the client should stay away, where that is advised.
    GiveUp(Option<Duration>),
}

/// Commands for one request that were not carried out yet.
#[derive(Debug, Default)]
pub(super) struct Commands {
    queue: RefCell<VecDeque<Command>>,
    waker: RefCell<Option<Waker>>,
}

impl Commands {
    /// Adds a command and wakes the request.
    pub(super) fn push(&self, command: Command) {
        self.queue.borrow_mut().push_back(command);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    async fn next(&self) -> Command {
        poll_fn(|context| match self.queue.borrow_mut().pop_front() {
            Some(command) => Poll::Ready(command),
            None => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        })
        .await
    }
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    number: AttemptNo,
    worker: WorkerId,
    sent: Instant,
}

/// A request that was handed to the decisions. Dropping it tells them that nothing more is owed.
#[derive(Debug)]
pub(super) struct Ticket {
    service: Rc<Service>,
    id: RequestId,
    commands: Rc<Commands>,
    sends: u8,
    open: Option<OpenAttempt>,
}

impl Ticket {
    /// A request that the decisions were told of.
    pub(super) fn new(service: Rc<Service>, id: RequestId, commands: Rc<Commands>) -> Ticket {
        Ticket { service, id, commands, sends: 0, open: None }
    }

    /// The next command; gives up at the deadline whatever the decisions say.
    pub(super) async fn command(&mut self, deadline: Instant) -> Command {
        let next = tokio::time::timeout_at(deadline, self.commands.next()).await;
        let command = next.unwrap_or(Command::GiveUp(None));
        if let Command::Send(worker) = command {
            self.note_send(worker);
        }
        command
    }

    fn note_send(&mut self, worker: WorkerId) {
        self.service.count_in_flight(worker, true);
        self.open = Some(OpenAttempt { number: AttemptNo(self.sends), worker, sent: Instant::now() });
        self.sends = self.sends.saturating_add(1);
    }

    /// Tells how the attempt that is out ended; `closed`: the request needs no other.
    pub(super) fn end(&mut self, status: Status, report: Report, closed: bool) {
        let Some(OpenAttempt { number, worker, sent }) = self.open.take() else { return };
        self.service.count_in_flight(worker, false);
        let latency = sent.elapsed();
        self.service.tell(Event::Outcome {
            id: self.id,
            attempt: number,
            worker,
            status,
            latency,
            closed,
            report,
        });
    }

    /// Tells that the attempt's stream has begun: it belongs to the client now.
    pub(super) fn stream_opened(&mut self) {
        if let Some(OpenAttempt { number, .. }) = self.open {
            self.service.tell(Event::StreamOpened { id: self.id, attempt: number });
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(Status::Cancelled, Report::new(), true);
        self.service.tell(Event::ClientGone { id: self.id });
        // Sends that were decided on and not carried out.
        let left = std::mem::take(&mut *self.commands.queue.borrow_mut());
        for command in left {
            if let Command::Send(worker) = command {
                self.note_send(worker);
                self.end(Status::Moot, Report::new(), true);
            }
        }
        self.service.forget(self.id);
    }
}
