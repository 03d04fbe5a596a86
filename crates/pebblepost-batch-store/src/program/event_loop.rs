//! The event loop, which passes inputs to the store and executes its outputs.

use super::event::Event;
use super::inbound_links::{self, InboundLinks};
use super::journal::Journal;
use super::peer_links::PeerLinks;
use super::settings::listen_address;
use super::subscription::Subscription;
use super::timers::Timers;
use crate::store::{Store, StoreOutput};
use eyre::{Result, WrapErr};
use pebblepost_link::control_client::{CONTROL_LINK_LIMITS, ControlClient, ControlEvent, ControlSender};
use pebblepost_messages::control::FromControl;
use pebblepost_ring::{Completion, Disk};
use pebblepost_settings::Settings;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Capacity of the event queue. A task that sends to a full queue waits.
const EVENT_QUEUE_CAPACITY: usize = 32;
/// Maximum number of queued events handled in one turn, in addition to the input that started it.
const MAX_EVENTS_PER_TURN: usize = 64;
/// Time allowed for sending the last messages before the process exits.
const SHUTDOWN_FLUSH_TIME: Duration = Duration::from_millis(50);

/// An input that starts a turn of the loop.
enum Input {
    Event(Event),
    Control(ControlEvent),
    Disk(Completion),
    Tick,
    Terminate,
    ReloadSettings,
}

/// The sources of inputs.
struct Inputs {
    events: mpsc::Receiver<Event>,
    control_events: mpsc::Receiver<ControlEvent>,
    completions: mpsc::UnboundedReceiver<Completion>,
    terminate: Signal,
    hang_up: Signal,
}

impl Inputs {
    async fn next(&mut self, next_tick: Instant) -> Input {
        tokio::select! {
            Some(event) = self.events.recv() => Input::Event(event),
            Some(event) = self.control_events.recv() => Input::Control(event),
            Some(completion) = self.completions.recv() => Input::Disk(completion),
            () = sleep_until(next_tick) => Input::Tick,
            Some(()) = self.terminate.recv() => Input::Terminate,
            Some(()) = self.hang_up.recv() => Input::ReloadSettings,
        }
    }

    /// Returns an event of a link or of the disk, if one is already queued.
    fn try_next(&mut self) -> Option<Input> {
        if let Ok(event) = self.events.try_recv() {
            return Some(Input::Event(event));
        }
        self.completions.try_recv().ok().map(Input::Disk)
    }
}

/// The event loop of a storage machine.
pub(super) struct EventLoop {
    store: Store,
    started_at: Instant,
    inputs: Inputs,
    journal: Journal,
    inbound_links: InboundLinks,
    peer_links: PeerLinks,
    subscription: Subscription,
    control: ControlSender,
    timers: Timers,
}

impl EventLoop {
    /// Starts the listener, the control client and the tasks that serve links.
    ///
    /// Must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers or the listener cannot be set up.
    pub(super) async fn start(
        settings: &Settings, store: Store, disk: Disk, completions: mpsc::UnboundedReceiver<Completion>,
    ) -> Result<EventLoop> {
        let terminate = signal(SignalKind::terminate()).wrap_err("installing the SIGTERM handler")?;
        let hang_up = signal(SignalKind::hangup()).wrap_err("installing the SIGHUP handler")?;
        let listener = inbound_links::listen(listen_address(settings)).await?;
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        spawn_local(inbound_links::accept_links(listener, sender));
        let subscription = Subscription::new(settings);
        let (subscriber, announcement) = (subscription.clone(), store.announcement());
        let on_connect = move || vec![subscriber.message(), announcement.clone()];
        let (control, control_events) =
            ControlClient::start(settings.control_link_addresses(), CONTROL_LINK_LIMITS, on_connect);
        let now = Instant::now();
        Ok(EventLoop {
            peer_links: PeerLinks::new(store.member().clone()),
            store,
            started_at: now,
            inputs: Inputs { events, control_events, completions, terminate, hang_up },
            journal: Journal::new(disk),
            inbound_links: InboundLinks::default(),
            subscription,
            control,
            timers: Timers::new(now),
        })
    }

    /// Runs until the graceful shutdown that SIGTERM starts is complete.
    pub(super) async fn run(mut self) {
        loop {
            let input = self.inputs.next(self.timers.next_tick()).await;
            self.handle(input);
            self.handle_queued_events();
            self.handle_ready_requests();
            self.run_due_timers();
            self.execute_outputs();
            if self.timers.is_shutdown_complete(|| self.store.is_in_sync_replica()) {
                sleep(SHUTDOWN_FLUSH_TIME).await;
                log::info!("storage machine stopped");
                return;
            }
        }
    }

    /// Returns the time as passed to the store: the time since the loop was created.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Control(event) => self.handle_control(event),
            Input::Disk(completion) => self.handle_completion(completion),
            Input::Tick => {}
            Input::Terminate => self.start_shutdown(),
            Input::ReloadSettings => self.reload_settings(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Opened(link, sender) => {
                self.inbound_links.add(link, sender);
                self.store.handle_link_opened(link);
            }
            Event::Received(link, message) => {
                if let Some(message) = self.inbound_links.admit(link, message) {
                    self.store.handle_message(now, link, message);
                }
            }
            Event::Closed(link) => {
                self.inbound_links.remove(link);
                self.store.handle_link_closed(link);
            }
        }
    }

    fn handle_control(&mut self, event: ControlEvent) {
        let now = self.now();
        match event {
            ControlEvent::Connected(address) => {
                log::info!("connected to control plane address={address}");
                self.store.handle_control_connected();
            }
            ControlEvent::Disconnected => log::info!("link to control plane lost"),
            ControlEvent::Message(FromControl::Feed(batch)) => {
                let acknowledgement = self.subscription.apply(now, &batch, &mut self.store);
                self.control.send(&acknowledgement);
            }
            ControlEvent::Message(FromControl::GroupChanged { request, group, current, .. }) => {
                self.store.handle_epoch_change_answer(now, request, group, &current);
            }
            ControlEvent::Message(_) => {}
        }
    }

    fn handle_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Synced(ticket) => {
                if let Some(ticket) = self.journal.handle_synced(ticket) {
                    let now = self.now();
                    self.store.handle_synced(now, ticket);
                }
            }
            Completion::WriteFailed(reason) => log::debug!("disk write failed, retrying reason={reason}"),
        }
    }

    fn handle_queued_events(&mut self) {
        for _ in 0..MAX_EVENTS_PER_TURN {
            let Some(input) = self.inputs.try_next() else { return };
            self.handle(input);
        }
    }

    fn handle_ready_requests(&mut self) {
        let now = self.now();
        for (link, request) in self.inbound_links.take_ready_requests() {
            self.store.handle_message(now, link, request);
        }
    }

    fn run_due_timers(&mut self) {
        let now = Instant::now();
        if self.timers.is_tick_due(now, self.store.has_replicas()) {
            let store_now = self.now();
            self.store.tick(store_now);
            self.timers.record_tick(now, self.store.has_replicas());
        }
        if self.timers.start_keep_alive_if_due(now) {
            self.inbound_links.send_keep_alives();
            self.peer_links.send_keep_alives();
        }
        if self.timers.start_reload_if_due(now, self.control.is_connected()) {
            self.reload_settings();
        }
    }

    fn execute_outputs(&mut self) {
        if self.journal.is_checkpoint_due() {
            log::debug!("checkpoint of the store started");
            self.store.checkpoint();
        }
        for output in self.store.take_outputs(self.started_at.elapsed()) {
            match output {
                StoreOutput::Reply { link, message } => self.inbound_links.send(link, &message),
                StoreOutput::ToPeer { peer, message } => self.peer_links.send(&peer, &message),
                StoreOutput::ToControl(message) => drop(self.control.send(&message)),
                StoreOutput::Append { ticket, records } => self.journal.append(ticket, records),
                StoreOutput::Checkpoint { records } => self.journal.checkpoint(records),
            }
        }
    }

    fn start_shutdown(&mut self) {
        log::info!("graceful shutdown started");
        let now = self.now();
        self.timers.start_shutdown(Instant::now());
        self.store.start_shutdown(now);
    }

    fn reload_settings(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => self.control.add_seeds(&settings.control_link_addresses()),
            Err(error) => log::warn!("settings not reloaded error={error:#}"),
        }
    }
}
