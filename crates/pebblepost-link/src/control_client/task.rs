//! The client task, which connects to the primary and reads its messages.

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

/// One connection to a control node.
struct Connection {
    sender: Sender,
    receiver: Receiver,
    assembler: FeedAssembler,
    outcome: Outcome,
}

/// Information about a control node that one connection to it gave.
#[derive(Clone, Copy, Default)]
struct Outcome {
    /// Whether the node was the primary.
    was_primary: bool,
    /// Whether the node named the primary in a redirect.
    named_primary: bool,
}

impl<F: Fn() -> Vec<ToControl>> Task<F> {
    /// Connects to one endpoint after the other and never returns.
    ///
    /// A redirect is followed without backoff, but not two in a row. Two nodes that name each other as primary would
    /// otherwise make the client spin.
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
                log::debug!("control connection failed: {error:#}");
                return Outcome::default();
            }
        };
        for message in (self.on_connect)() {
            sender.send(&message);
        }
        let assembler = FeedAssembler::default();
        let mut connection = Connection { sender, receiver, assembler, outcome: Outcome::default() };
        match self.read_messages(&mut connection).await {
            Ok(()) => {
                log::debug!("control link closed after a redirect or undecodable updates address={address}")
            }
            Err(error) => log::debug!("control link closed: {error:#}"),
        }
        self.state.borrow_mut().link = None;
        connection.outcome
    }

    /// Reads messages until the link is closed. Returns `Ok` after a redirect or after updates that cannot be
    /// decoded.
    async fn read_messages(&self, connection: &mut Connection) -> Result<(), LinkError> {
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
                    log::warn!(
                        "control link closed, updates could not be decoded peer={}: {error}",
                        connection.sender.peer()
                    );
                    return Ok(());
                }
            }
        }
    }

    /// Stores the members and the primary from a redirect. Returns whether it names a primary.
    fn apply_redirect(&self, primary: Option<&str>, members: &[String]) -> bool {
        let endpoints = &mut self.state.borrow_mut().endpoints;
        endpoints.add_members(members);
        let primary = primary.and_then(|address| address.parse().ok());
        if let Some(address) = primary {
            endpoints.set_redirect_target(address);
        }
        primary.is_some()
    }

    /// Handles a message that is not a redirect. Only the primary sends such messages.
    async fn handle(&self, connection: &mut Connection, message: FromControl) {
        if !connection.outcome.was_primary {
            connection.outcome.was_primary = true;
            self.emit_connected(connection).await;
        }
        match message {
            FromControl::KeepAlive => {}
            FromControl::Members(members) => self.state.borrow_mut().endpoints.add_members(&members),
            other => self.emit(ControlEvent::Message(other)).await,
        }
    }

    /// Makes the link usable and emits its `Connected` event, without an await point in between. Otherwise a program
    /// could send over the new link a message that was meant for the previous one, before it has handled the event.
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
