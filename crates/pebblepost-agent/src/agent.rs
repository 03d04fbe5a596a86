//! The agent's event loop: events of the control link, of the proxy's connection, and signals.

use crate::acknowledgements::Acknowledgements;
use crate::proxy_connection::{ConnectionId, ProxyConnection, ProxyEvent, listen};
use crate::settings_reload::SettingsReload;
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

/// Keep-alive interval of the connection to the proxy. Both ends share a machine, so that a long one
/// is enough.
const PROXY_KEEP_ALIVE: Duration = Duration::from_secs(60);
/// The agent ends this long before the platform's SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_secs(1);

/// What an agent is started with.
pub struct AgentOptions {
    /// Name of the machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Internal addresses of control processes.
    pub control: Vec<SocketAddr>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Reads the addresses of the present settings; none if they can't be read.
    pub reload: Box<dyn Fn() -> Vec<SocketAddr>>,
}

/// Sends the feed to the proxies that connect to `listener`, one after the other. Returns after
/// [`Signal::Terminate`]: once no proxy is connected, or a second before the grace period is over.
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
        settings_reload: SettingsReload::new(options.reload, now),
        shutdown_deadline: None,
        grace: options.grace,
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
    /// Generation of the configuration named by the next subscription; 0 asks for a full one.
    subscribed_generation: Rc<Cell<u64>>,
    feed: FeedState,
    proxy: Option<ProxyConnection>,
    acknowledgements: Acknowledgements,
    keep_alive_at: Instant,
    settings_reload: SettingsReload,
    /// Set by SIGTERM.
    shutdown_deadline: Option<Instant>,
    grace: Duration,
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
        log::info!("ended");
    }

    fn on_control(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Connected(address) => {
                log::info!("control plane connected primary={address}");
                self.acknowledgements = Acknowledgements::default();
            }
            ControlEvent::Disconnected => {
                log::info!("control plane link lost, configuration stays in force");
                self.settings_reload.postpone(Instant::now());
            }
            ControlEvent::Message(FromControl::Feed(batch)) => self.on_batch(batch),
            ControlEvent::Message(other) => log::debug!("unexpected message of the control plane: {other:?}"),
        }
    }

    fn on_batch(&mut self, batch: FeedBatch) {
        let FeedBatch { sequence, mut updates } = batch;
        let changes = self.feed.apply_all(&updates);
        if changes.configuration_changed {
            self.subscribed_generation.set(self.feed.generation());
        }
        if changes.resync_needed {
            log::info!("patch on an unknown configuration, asking for a full one");
            updates.retain(|update| !matches!(update, FeedUpdate::Configuration(_)));
            self.subscribed_generation.set(0);
            self.control.reconnect();
        }
        self.acknowledgements.received(sequence);
        self.forward(updates);
    }

    fn on_proxy(&mut self, event: ProxyEvent) {
        match event {
            ProxyEvent::Connected(id, sender) => {
                log::info!("proxy connected");
                if let Some(former) = self.proxy.replace(ProxyConnection::new(id, sender)) {
                    former.close();
                }
                self.forward(Vec::new());
            }
            ProxyEvent::Reply(id, reply) if self.is_current(id) => self.on_reply(&reply),
            ProxyEvent::Closed(id) if self.is_current(id) => {
                log::info!("proxy disconnected");
                self.proxy = None;
                self.acknowledgements.no_proxy(Instant::now());
            }
            ProxyEvent::Reply(..) | ProxyEvent::Closed(_) => {}
        }
    }

    fn on_reply(&mut self, reply: &FeedReply) {
        let FeedReply::Acknowledge { sequence, generation } = *reply;
        if let Some(control_sequence) = self.acknowledgements.acknowledged_by_proxy(sequence) {
            self.acknowledge(control_sequence, generation);
        }
    }

    fn on_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Terminate => {
                log::info!("draining until the proxy ends");
                let grace = self.grace.saturating_sub(GRACE_MARGIN);
                self.shutdown_deadline.get_or_insert(Instant::now() + grace);
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
        if now >= self.settings_reload.next_at() && !self.control.is_connected() {
            self.reload_settings();
        }
    }

    /// Sends updates to the proxy. One without a snapshot gets the whole state instead, as soon as
    /// there is a configuration.
    fn forward(&mut self, updates: Vec<FeedUpdate>) {
        let is_configured = self.feed.configuration().is_some();
        match &mut self.proxy {
            Some(proxy) if proxy.has_snapshot() => self.acknowledgements.forwarded(proxy.send(updates)),
            Some(proxy) if is_configured => {
                let sequence = proxy.send_snapshot(self.feed.snapshot());
                self.acknowledgements.forwarded(sequence);
            }
            _ => self.acknowledgements.no_proxy(Instant::now()),
        }
    }

    fn acknowledge(&self, sequence: u64, generation: u64) {
        self.control.send(&ToControl::Reply(FeedReply::Acknowledge { sequence, generation }));
    }

    fn reload_settings(&mut self) {
        let addresses = self.settings_reload.read(Instant::now());
        self.control.add_seeds(&addresses);
    }

    fn is_current(&self, id: ConnectionId) -> bool {
        self.proxy.as_ref().is_some_and(|proxy| proxy.id() == id)
    }

    fn next_timer(&self) -> Instant {
        let reload_at = (!self.control.is_connected()).then_some(self.settings_reload.next_at());
        [self.acknowledgements.due_without_proxy(), reload_at, self.shutdown_deadline]
            .into_iter()
            .flatten()
            .fold(self.keep_alive_at, Instant::min)
    }

    fn has_ended(&self) -> bool {
        self.shutdown_deadline.is_some_and(|deadline| self.proxy.is_none() || Instant::now() >= deadline)
    }
}
