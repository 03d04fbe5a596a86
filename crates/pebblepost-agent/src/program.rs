//! The agent's loop.

use crate::acknowledgements::Acknowledgements;
use crate::proxy_link::{ProxyEvent, ProxyLink, listen};
use crate::signals::Signal;
use pebblepost_feed::FeedState;
use pebblepost_link::Listener;
use pebblepost_link::control_client::{CONTROL_LINK_LIMITS, ControlClient, ControlEvent, ControlSender};
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::feed::{FeedBatch, FeedReply, FeedUpdate};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// How often a proxy is sent a sign of life. Both ends share a machine, so that it need not be often.
const PROXY_KEEP_ALIVE: Duration = Duration::from_secs(60);
/// How often the settings are read while the control plane is not found.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);
/// How long before the platform's SIGKILL the agent ends by itself.
const GRACE_MARGIN: Duration = Duration::from_secs(1);

/// What an agent is given.
pub struct AgentOptions {
    /// Name of the machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Internal addresses of control processes.
    pub control: Vec<SocketAddr>,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Reads the addresses of the present settings; none if they can't be read.
    pub reload: Box<dyn Fn() -> Vec<SocketAddr>>,
}

/// Feeds the proxies that connect to `listener`, one after the other. Returns after [`Signal::Terminate`]: once no
/// proxy is connected, or a second before the grace is over.
pub async fn serve(options: AgentOptions, listener: Listener, signals: mpsc::Receiver<Signal>) {
    let subscribed_generation = Rc::new(Cell::new(0));
    let subscribe = subscription(&options, Rc::clone(&subscribed_generation));
    let (control, control_events) =
        ControlClient::start(options.control.clone(), CONTROL_LINK_LIMITS, subscribe);
    let now = Instant::now();
    let agent = Agent {
        control,
        subscribed_generation,
        feed: FeedState::default(),
        proxy: None,
        acknowledgements: Acknowledgements::default(),
        keep_alive_at: now + PROXY_KEEP_ALIVE,
        reload_at: now + RELOAD_PERIOD,
        end_at: None,
        grace: options.grace,
        reload: options.reload,
    };
    agent.run(control_events, listen(listener), signals).await;
}

fn subscription(options: &AgentOptions, generation: Rc<Cell<u64>>) -> impl Fn() -> Vec<ToControl> + 'static {
    let (node, zone) = (options.node.clone(), options.zone.clone());
    move || {
        vec![ToControl::Subscribe {
            node: node.clone(),
            zone: zone.clone(),
            role: SubscriberRole::Agent,
            generation: generation.get(),
        }]
    }
}

struct Agent {
    control: ControlSender,
    /// Version named by the next subscription; 0 asks for the whole configuration.
    subscribed_generation: Rc<Cell<u64>>,
    feed: FeedState,
    proxy: Option<ProxyLink>,
    acknowledgements: Acknowledgements,
    keep_alive_at: Instant,
    reload_at: Instant,
    end_at: Option<Instant>,
    grace: Duration,
    reload: Box<dyn Fn() -> Vec<SocketAddr>>,
}

impl Agent {
    async fn run(
        mut self, mut control: mpsc::Receiver<ControlEvent>, mut proxies: mpsc::Receiver<ProxyEvent>,
        mut signals: mpsc::Receiver<Signal>,
    ) {
        while !self.has_ended() {
            // Events of the control link go first: an acknowledgement never goes to a link other than its batch's.
            tokio::select! {
                biased;
                Some(event) = control.recv() => self.on_control(event),
                Some(event) = proxies.recv() => self.on_proxy(event),
                Some(signal) = signals.recv() => self.on_signal(signal),
                () = sleep_until(self.next_timer()) => self.on_timer(Instant::now()),
            }
        }
        log::info!("agent: ended");
    }

    fn on_control(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Connected(address) => {
                log::info!("control plane: fed by {address}");
                self.acknowledgements = Acknowledgements::default();
            }
            ControlEvent::Lost => {
                log::info!("control plane: link lost, what is known stays in force");
                self.reload_at = Instant::now() + RELOAD_PERIOD;
            }
            ControlEvent::Message(FromControl::Feed(batch)) => self.on_batch(batch),
            ControlEvent::Message(other) => log::debug!("control plane: not for an agent: {other:?}"),
        }
    }

    fn on_batch(&mut self, batch: FeedBatch) {
        let FeedBatch { sequence, mut updates } = batch;
        let changes = self.feed.apply_all(&updates);
        if changes.configuration {
            self.subscribed_generation.set(self.feed.generation());
        }
        if changes.gap {
            log::info!("control plane: a patch on another configuration; asking for the whole one");
            updates.retain(|update| !matches!(update, FeedUpdate::Configuration(_)));
            self.subscribed_generation.set(0);
            self.control.reconnect();
        }
        self.acknowledgements.received(sequence);
        self.pass_on(updates);
    }

    fn on_proxy(&mut self, event: ProxyEvent) {
        match event {
            ProxyEvent::Connected(number, sender) => {
                log::info!("proxy: connected");
                if let Some(former) = self.proxy.replace(ProxyLink::new(number, sender)) {
                    former.close();
                }
                self.pass_on(Vec::new());
            }
            ProxyEvent::Reply(number, reply) if self.is_current(number) => self.on_reply(&reply),
            ProxyEvent::Closed(number) if self.is_current(number) => {
                log::info!("proxy: gone");
                self.proxy = None;
                self.acknowledgements.without_proxy(Instant::now());
            }
            ProxyEvent::Reply(..) | ProxyEvent::Closed(_) => {}
        }
    }

    fn on_reply(&mut self, reply: &FeedReply) {
        let FeedReply::Acknowledge { sequence, generation } = *reply;
        if let Some(control_sequence) = self.acknowledgements.confirmed(sequence) {
            self.acknowledge(control_sequence, generation);
        }
    }

    fn on_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Terminate => {
                log::info!("agent: ending with its proxy");
                let left = self.grace.saturating_sub(GRACE_MARGIN);
                self.end_at.get_or_insert(Instant::now() + left);
            }
            Signal::Reload => self.reload_settings(),
        }
    }

    fn on_timer(&mut self, now: Instant) {
        if let Some(control_sequence) = self.acknowledgements.take_due(now) {
            self.acknowledge(control_sequence, self.feed.generation());
        }
        if now >= self.keep_alive_at {
            self.keep_alive_at = now + PROXY_KEEP_ALIVE;
            if let Some(proxy) = &self.proxy {
                proxy.keep_alive();
            }
        }
        if now >= self.reload_at && !self.control.is_connected() {
            self.reload_settings();
        }
    }

    /// Gives the proxy the updates; one that was given nothing yet gets all that is known, as soon as there is a
    /// configuration.
    fn pass_on(&mut self, updates: Vec<FeedUpdate>) {
        let known = self.feed.configuration().is_some();
        match &mut self.proxy {
            Some(proxy) if proxy.fed => self.acknowledgements.passed_on(proxy.send(updates)),
            Some(proxy) if known => {
                proxy.fed = true;
                self.acknowledgements.passed_on(proxy.send(self.feed.snapshot()));
            }
            _ => self.acknowledgements.without_proxy(Instant::now()),
        }
    }

    fn acknowledge(&self, sequence: u64, generation: u64) {
        self.control.send(&ToControl::Reply(FeedReply::Acknowledge { sequence, generation }));
    }

    fn reload_settings(&mut self) {
        self.reload_at = Instant::now() + RELOAD_PERIOD;
        self.control.add_candidates(&(self.reload)());
    }

    fn is_current(&self, number: u64) -> bool {
        self.proxy.as_ref().is_some_and(|proxy| proxy.number == number)
    }

    fn next_timer(&self) -> Instant {
        let reload_at = (!self.control.is_connected()).then_some(self.reload_at);
        [self.acknowledgements.due(), reload_at, self.end_at]
            .into_iter()
            .flatten()
            .fold(self.keep_alive_at, Instant::min)
    }

    fn has_ended(&self) -> bool {
        self.end_at.is_some_and(|end_at| self.proxy.is_none() || Instant::now() >= end_at)
    }
}
