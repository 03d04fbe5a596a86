//! Queue of the dispatcher's commands for one request, which the request's task carries out.

use pebblepost_dispatch::api::WorkerId;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Command of the dispatcher for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Send the request to a worker.
    Send(WorkerId),
    /// Make no further attempt.
    GiveUp {
        /// Delay after which the client may retry, if the dispatcher advises one.
        retry_after: Option<Duration>,
    },
}

/// Commands for one request that were not carried out yet.
///
/// Only one task may wait for commands: the queue keeps a single waker.
#[derive(Debug, Default)]
pub(super) struct CommandQueue {
    commands: RefCell<VecDeque<Command>>,
    waker: RefCell<Option<Waker>>,
}

impl CommandQueue {
    /// Adds a command and wakes the request's task.
    pub(super) fn push(&self, command: Command) {
        self.commands.borrow_mut().push_back(command);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits for the next command and takes it out. Cancelling the wait loses no command.
    pub(super) async fn next(&self) -> Command {
        poll_fn(|context| match self.commands.borrow_mut().pop_front() {
            Some(command) => Poll::Ready(command),
            None => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        })
        .await
    }

    /// Takes out all commands.
    pub(super) fn drain(&self) -> VecDeque<Command> {
        std::mem::take(&mut *self.commands.borrow_mut())
    }
}
