//! Event loop of the agent: handles events of the control link and of the proxy's connection, and
//! signals.

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

/// Keep-alive interval of the connection to the proxy. It can be long because both ends run on the same
/// machine.
const PROXY_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(60);
/// Time between the end of the agent and the platform's SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_secs(1);

/// Parameters with which an agent is started.
pub struct AgentOptions {
    /// Name of this machine.
    pub node: String,
    /// Zone of this machine.
    pub zone: String,
    /// Internal addresses of control processes, to which the agent connects first.
    pub control_addresses: Vec<SocketAddr>,
    /// Time between SIGTERM and the platform's SIGKILL.
    pub shutdown_grace: Duration,
    /// Reads the settings again and returns their control addresses; empty if they can't be read.
    pub read_control_addresses: Box<dyn Fn() -> Vec<SocketAddr>>,
}

/// Relays the feed to the proxy that is connected to `listener`; a new connection replaces the former
/// one.
///
/// Returns after [`Signal::Terminate`], as soon as no proxy is connected, but at the latest one second
/// before the grace period is over.
///
/// # Panics
/// Panics outside of a `LocalSet`.
pub async fn serve(options: AgentOptions, listener: Listener, signals: mpsc::Receiver<Signal>) {
    let subscribed_generation = Rc::new(Cell::new(0));
    let subscribe = subscription(&options, Rc::clone(&subscribed_generation));
    let (control, control_events) =
        ControlClient::start(options.control_addresses.clone(), CONTROL_LINK_LIMITS, subscribe);
    let now = Instant::now();
    let agent = Agent {
        control,
        subscribed_generation,
        feed: FeedState::default(),
        proxy: None,
        acknowledgements: Acknowledgements::default(),
        keep_alive_at: now + PROXY_KEEP_ALIVE_INTERVAL,
        settings_reload: SettingsReload::new(options.read_control_addresses, now),
        shutdown_deadline: None,
        shutdown_grace: options.shutdown_grace,
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
    /// Configuration generation of the next subscription; 0 requests a full configuration.
    subscribed_generation: Rc<Cell<u64>>,
    feed: FeedState,
    proxy: Option<ProxyConnection>,
    acknowledgements: Acknowledgements,
    keep_alive_at: Instant,
    settings_reload: SettingsReload,
    /// Time by which the agent ends; `None` before SIGTERM.
    shutdown_deadline: Option<Instant>,
    shutdown_grace: Duration,
}

impl Agent {
    async fn run(
        mut self, mut control: mpsc::Receiver<ControlEvent>, mut proxies: mpsc::Receiver<ProxyEvent>,
        mut signals: mpsc::Receiver<Signal>,
    ) {
        while !self.is_finished() {
            // Events of the control link take precedence, so that an acknowledgement is only sent over the
            // link over which its batch was received.
            tokio::select! {
                biased;
                Some(event) = control.recv() => self.on_control(event),
                Some(event) = proxies.recv() => self.on_proxy(event),
                Some(signal) = signals.recv() => self.on_signal(signal),
                () = sleep_until(self.next_timer()) => self.on_timer(Instant::now()),
            }
        }
        log::info!("agent stopped");
    }

    fn on_control(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Connected(address) => {
                log::info!("control plane connected primary={address}");
                self.acknowledgements = Acknowledgements::default();
            }
            ControlEvent::Disconnected => {
                log::info!("control plane link lost, last configuration stays in force");
                self.settings_reload.postpone(Instant::now());
            }
            ControlEvent::Message(FromControl::Feed(batch)) => self.on_batch(batch),
            ControlEvent::Message(other) => {
                log::debug!("unexpected message from the control plane ignored: {other:?}")
            }
        }
    }

    fn on_batch(&mut self, batch: FeedBatch) {
        let FeedBatch { sequence, mut updates } = batch;
        let changes = self.feed.apply_all(&updates);
        if changes.configuration_changed {
            self.subscribed_generation.set(self.feed.generation());
        }
        if changes.resync_needed {
            log::info!("patch is based on an unknown configuration, requesting a full one");
            updates.retain(|update| !matches!(update, FeedUpdate::Configuration(_)));
            self.subscribed_generation.set(0);
            self.control.reconnect();
        }
        self.acknowledgements.record_received(sequence);
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
                self.acknowledgements.record_no_proxy(Instant::now());
            }
            ProxyEvent::Reply(..) | ProxyEvent::Closed(_) => {}
        }
    }

    fn on_reply(&mut self, reply: &FeedReply) {
        let FeedReply::Acknowledge { sequence, generation } = *reply;
        if let Some(control_sequence) = self.acknowledgements.record_proxy_acknowledgement(sequence) {
            self.acknowledge(control_sequence, generation);
        }
    }

    fn on_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Terminate => {
                log::info!("shutdown requested, draining until the proxy disconnects");
                let grace = self.shutdown_grace.saturating_sub(SIGKILL_MARGIN);
                self.shutdown_deadline.get_or_insert(Instant::now() + grace);
            }
            Signal::Reload => self.reload_settings(),
        }
    }

    fn on_timer(&mut self, now: Instant) {
        if let Some(control_sequence) = self.acknowledgements.take_due_without_proxy(now) {
            self.acknowledge(control_sequence, self.feed.generation());
        }
        if now >= self.keep_alive_at {
            self.keep_alive_at = now + PROXY_KEEP_ALIVE_INTERVAL;
            if let Some(proxy) = &self.proxy {
                proxy.keep_alive();
            }
        }
        if now >= self.settings_reload.next_at() && !self.control.is_connected() {
            self.reload_settings();
        }
    }

    /// Sends updates to the proxy. A proxy that has no snapshot yet gets the whole state instead, once a
    /// configuration is known.
    fn forward(&mut self, updates: Vec<FeedUpdate>) {
        let is_configured = self.feed.configuration().is_some();
        match &mut self.proxy {
            Some(proxy) if proxy.has_snapshot() => {
                self.acknowledgements.record_forwarded(proxy.send(updates))
            }
            Some(proxy) if is_configured => {
                let sequence = proxy.send_snapshot(self.feed.snapshot());
                self.acknowledgements.record_forwarded(sequence);
            }
            _ => self.acknowledgements.record_no_proxy(Instant::now()),
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

    fn is_finished(&self) -> bool {
        self.shutdown_deadline.is_some_and(|deadline| self.proxy.is_none() || Instant::now() >= deadline)
    }
}
