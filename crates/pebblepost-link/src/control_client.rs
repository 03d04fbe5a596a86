//! A link to the control primary that is found, kept and found again.
//!
//! Agents and storage machines use it. It answers redirects, remembers the members of the control plane,
//! sends keep-alives, and hands everything else out as events.

use crate::candidates::Candidates;
use crate::{LinkLimits, Receiver, Sender, connect};
use eyre::{Result, eyre};
use pebblepost_messages::control::{FromControl, ToControl};
use std::cell::RefCell;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep};

/// Limits that fit links to the control plane. A snapshot holds the whole configuration, of which the control
/// plane takes up to 33 MiB.
pub const CONTROL_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 48 * 1024 * 1024,
    max_queued_bytes: 48 * 1024 * 1024,
    connect_timeout: Duration::from_millis(400),
    read_timeout: Duration::from_millis(1500),
};

/// How often a keep-alive is sent.
pub const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(500);

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
const MOST_WAITING_EVENTS: usize = 16;

/// What became of the link, and what came over it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A link to the primary at this address is up: it has answered with something other than a redirect.
    Connected(SocketAddr),
    /// A message of the primary; keep-alives, redirects and lists of members are not handed out.
    Message(FromControl),
    /// The link is lost; another one is being looked for.
    Lost,
}

/// The sending side; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlSender {
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
struct State {
    candidates: Candidates,
    link: Option<Sender>,
}

impl ControlSender {
    /// Sends a message to the primary. False if there is no link to it now.
    pub fn send(&self, message: &ToControl) -> bool {
        self.state.borrow().link.as_ref().is_some_and(|link| link.send(message))
    }

    /// Whether there is a link to the primary.
    pub fn is_connected(&self) -> bool {
        self.state.borrow().link.as_ref().is_some_and(|link| !link.is_closed())
    }

    /// Gives up the link, if there is one, and connects anew.
    pub fn reconnect(&self) {
        if let Some(link) = &self.state.borrow().link {
            link.close();
        }
    }

    /// Adds seeds of newer settings to the addresses that are tried.
    pub fn add_candidates(&self, seeds: &[SocketAddr]) {
        self.state.borrow_mut().candidates.add_seeds(seeds);
    }
}

/// Finds the control primary and keeps a link to it.
#[derive(Debug)]
pub struct ControlClient;

impl ControlClient {
    /// Starts looking for the primary, on the caller's `LocalSet`. What `on_connect` returns is sent first on
    /// each new connection (`Subscribe` foremost). It ends when the receiver of events is dropped.
    pub fn start(
        candidates: Vec<SocketAddr>, limits: LinkLimits, on_connect: impl Fn() -> Vec<ToControl> + 'static,
    ) -> (ControlSender, mpsc::Receiver<ControlEvent>) {
        let candidates = Candidates::new(candidates, random());
        let state = Rc::new(RefCell::new(State { candidates, link: None }));
        let (events, receiver) = mpsc::channel(MOST_WAITING_EVENTS);
        let task = Task { state: Rc::clone(&state), events: events.clone(), limits, on_connect };
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = events.closed() => {}
                () = task.run() => {}
            }
        });
        (ControlSender { state }, receiver)
    }
}

struct Task<F> {
    state: Rc<RefCell<State>>,
    events: mpsc::Sender<ControlEvent>,
    limits: LinkLimits,
    on_connect: F,
}

/// How a connection ended.
struct Ended {
    was_primary: bool,
    redirected: bool,
    error: eyre::Report,
}

impl<F: Fn() -> Vec<ToControl>> Task<F> {
    async fn run(&self) {
        let mut pause = FIRST_PAUSE;
        let mut follow_at_once = true;
        loop {
            let next = self.state.borrow_mut().candidates.next();
            if let Some(address) = next {
                let ended = self.try_address(address).await;
                log::debug!("control plane: {:#}", ended.error);
                if ended.was_primary {
                    self.hand_out(ControlEvent::Lost).await;
                    pause = FIRST_PAUSE;
                    follow_at_once = true;
                }
                if ended.redirected && follow_at_once {
                    follow_at_once = false;
                    continue;
                }
            }
            sleep(with_jitter(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn try_address(&self, address: SocketAddr) -> Ended {
        let (sender, receiver) = match connect(address, self.limits).await {
            Ok(link) => link,
            Err(error) => return Ended { was_primary: false, redirected: false, error },
        };
        for message in (self.on_connect)() {
            sender.send(&message);
        }
        let mut connection = Connection { sender, receiver, was_primary: false, redirected: false };
        let error = match self.serve(&mut connection).await {
            Ok(()) => eyre!("link with {address}: redirected"),
            Err(error) => error,
        };
        self.state.borrow_mut().link = None;
        Ended { was_primary: connection.was_primary, redirected: connection.redirected, error }
    }

    /// Reads until the link ends, or until a redirect (`Ok`).
    async fn serve(&self, connection: &mut Connection) -> Result<()> {
        let mut keep_alive = interval_at(Instant::now() + KEEP_ALIVE_PERIOD, KEEP_ALIVE_PERIOD);
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
                connection.redirected = self.follow(primary.as_deref(), &members);
                return Ok(());
            }
            self.take(connection, message).await;
        }
    }

    /// Notes where the primary is. False if nobody knows.
    fn follow(&self, primary: Option<&str>, members: &[String]) -> bool {
        let candidates = &mut self.state.borrow_mut().candidates;
        candidates.learn(members);
        let primary = primary.and_then(|text| text.parse().ok());
        if let Some(address) = primary {
            candidates.prefer(address);
        }
        primary.is_some()
    }

    async fn take(&self, connection: &mut Connection, message: FromControl) {
        if !connection.was_primary {
            connection.was_primary = true;
            self.announce(connection).await;
        }
        match message {
            FromControl::KeepAlive => {}
            FromControl::Members(members) => self.state.borrow_mut().candidates.learn(&members),
            other => self.hand_out(ControlEvent::Message(other)).await,
        }
    }

    /// The link serves senders from the moment on at which its event can be received, so that what was meant for
    /// the one before is not sent over it by a program that takes events first.
    async fn announce(&self, connection: &Connection) {
        if let Ok(permit) = self.events.reserve().await {
            self.state.borrow_mut().link = Some(connection.sender.clone());
            permit.send(ControlEvent::Connected(connection.sender.peer()));
        }
    }

    async fn hand_out(&self, event: ControlEvent) {
        // A closed channel ends the task.
        self.events.send(event).await.ok();
    }
}

struct Connection {
    sender: Sender,
    receiver: Receiver,
    was_primary: bool,
    redirected: bool,
}

/// Between half the pause and all of it.
fn with_jitter(pause: Duration) -> Duration {
    const STEPS: u64 = 1024;
    let step = u32::try_from(random() % STEPS).unwrap_or(0);
    pause / 2 + pause / 2 * step / STEPS as u32
}

fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}
