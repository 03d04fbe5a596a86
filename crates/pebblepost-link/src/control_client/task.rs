//! The task that connects to the primary and reads its messages.

use super::assembler::FeedAssembler;
use super::backoff::Backoff;
use super::{ControlEvent, KEEP_ALIVE_INTERVAL, State};
use crate::{LinkError, LinkLimits, Receiver, Sender, connect};
use pebblepost_messages::control::{FromControl, ToControl};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep};

pub(super) struct Task<F> {
    pub(super) state: Rc<RefCell<State>>,
    pub(super) events: mpsc::Sender<ControlEvent>,
    pub(super) limits: LinkLimits,
    pub(super) on_connect: F,
}

/// One connection to a control process.
struct Connection {
    sender: Sender,
    receiver: Receiver,
    assembler: FeedAssembler,
    outcome: Outcome,
}

/// What a connection showed about its control process.
#[derive(Clone, Copy, Default)]
struct Outcome {
    /// It was the primary.
    was_primary: bool,
    /// It named the primary in a redirect.
    named_primary: bool,
}

impl<F: Fn() -> Vec<ToControl>> Task<F> {
    /// Connects to one endpoint after the other; never returns. A redirect is followed at once, but only one in a row:
    /// two processes that name each other must not make the client spin.
    pub(super) async fn run(&self) {
        let mut backoff = Backoff::new();
        let mut may_follow_redirect = true;
        loop {
            let next = self.state.borrow_mut().endpoints.next();
            if let Some(address) = next {
                let outcome = self.try_endpoint(address).await;
                if outcome.was_primary {
                    self.emit(ControlEvent::Disconnected).await;
                    backoff.reset();
                    may_follow_redirect = true;
                }
                if outcome.named_primary && may_follow_redirect {
                    may_follow_redirect = false;
                    continue;
                }
            }
            sleep(backoff.next_delay()).await;
        }
    }

    async fn try_endpoint(&self, address: SocketAddr) -> Outcome {
        let (sender, receiver) = match connect(address, self.limits).await {
            Ok(link) => link,
            Err(error) => {
                log::debug!("control link ended: {error:#}");
                return Outcome::default();
            }
        };
        for message in (self.on_connect)() {
            sender.send(&message);
        }
        let assembler = FeedAssembler::default();
        let mut connection = Connection { sender, receiver, assembler, outcome: Outcome::default() };
        match self.serve(&mut connection).await {
            Ok(()) => log::debug!("control link redirected address={address}"),
            Err(error) => log::debug!("control link ended: {error:#}"),
        }
        self.state.borrow_mut().link = None;
        connection.outcome
    }

    /// Reads until the link ends, or until a redirect or updates that can't be read (`Ok`).
    async fn serve(&self, connection: &mut Connection) -> Result<(), LinkError> {
        let mut keep_alive = interval_at(Instant::now() + KEEP_ALIVE_INTERVAL, KEEP_ALIVE_INTERVAL);
        keep_alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                biased;
                message = connection.receiver.receive::<FromControl>() => message?,
                _ = keep_alive.tick() => {
                    connection.sender.send(&ToControl::KeepAlive);
                    continue;
                }
            };
            if let FromControl::Redirect { primary, members } = message {
                connection.outcome.named_primary = self.apply_redirect(primary.as_deref(), &members);
                return Ok(());
            }
            match connection.assembler.receive(message) {
                Ok(Some(message)) => self.handle(connection, message).await,
                Ok(None) => {}
                Err(error) => {
                    log::warn!("control link closed peer={}: {error}", connection.sender.peer());
                    return Ok(());
                }
            }
        }
    }

    /// Remembers what a redirect says. Returns whether it names a primary.
    fn apply_redirect(&self, primary: Option<&str>, members: &[String]) -> bool {
        let endpoints = &mut self.state.borrow_mut().endpoints;
        endpoints.learn(members);
        let primary = primary.and_then(|address| address.parse().ok());
        if let Some(address) = primary {
            endpoints.set_named_primary(address);
        }
        primary.is_some()
    }

    /// Handles a message that is not a redirect: its sender is the primary.
    async fn handle(&self, connection: &mut Connection, message: FromControl) {
        if !connection.outcome.was_primary {
            connection.outcome.was_primary = true;
            self.emit_connected(connection).await;
        }
        match message {
            FromControl::KeepAlive => {}
            FromControl::Members(members) => self.state.borrow_mut().endpoints.learn(&members),
            other => self.emit(ControlEvent::Message(other)).await,
        }
    }

    /// The link becomes usable in the same step that makes its event receivable: a program that handles events first
    /// must not send over it what was meant for the previous link.
    async fn emit_connected(&self, connection: &Connection) {
        if let Ok(permit) = self.events.reserve().await {
            self.state.borrow_mut().link = Some(connection.sender.clone());
            permit.send(ControlEvent::Connected(connection.sender.peer()));
        }
    }

    async fn emit(&self, event: ControlEvent) {
        // Once the channel is closed, `ControlClient::start` drops this task.
        self.events.send(event).await.ok();
    }
}
