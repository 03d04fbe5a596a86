//! The loop that passes events to the store and carries out its outputs.

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

/// Capacity of the queue of events; a task that finds it full waits.
const EVENT_QUEUE_CAPACITY: usize = 32;
/// Most queued events that are handled in one turn.
const MAX_EVENTS_PER_TURN: usize = 64;
/// Time for the last messages to be sent before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// What wakes the loop up.
enum Wake {
    Event(Event),
    Control(ControlEvent),
    Disk(Completion),
    Tick,
    Terminate,
    ReloadSettings,
}

/// What the loop waits for.
struct Inputs {
    events: mpsc::Receiver<Event>,
    control_events: mpsc::Receiver<ControlEvent>,
    completions: mpsc::UnboundedReceiver<Completion>,
    terminate: Signal,
    hang_up: Signal,
}

impl Inputs {
    async fn next(&mut self, next_tick: Instant) -> Wake {
        tokio::select! {
            Some(event) = self.events.recv() => Wake::Event(event),
            Some(event) = self.control_events.recv() => Wake::Control(event),
            Some(completion) = self.completions.recv() => Wake::Disk(completion),
            () = sleep_until(next_tick) => Wake::Tick,
            Some(()) = self.terminate.recv() => Wake::Terminate,
            Some(()) = self.hang_up.recv() => Wake::ReloadSettings,
        }
    }

    /// An event of a link or of the disk that is queued already.
    fn try_next(&mut self) -> Option<Wake> {
        if let Ok(event) = self.events.try_recv() {
            return Some(Wake::Event(event));
        }
        self.completions.try_recv().ok().map(Wake::Disk)
    }
}

/// The loop.
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
    /// Starts the tasks round the loop; to be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// If the signal handlers or the listener can't be set up.
    pub(super) async fn start(
        settings: &Settings, store: Store, disk: Disk, completions: mpsc::UnboundedReceiver<Completion>,
    ) -> Result<EventLoop> {
        let terminate = signal(SignalKind::terminate()).wrap_err("awaiting SIGTERM")?;
        let hang_up = signal(SignalKind::hangup()).wrap_err("awaiting SIGHUP")?;
        let listener = inbound_links::listen(listen_address(settings)).await?;
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        spawn_local(inbound_links::accept(listener, sender));
        let subscription = Subscription::new(settings);
        let (subscriber, announcement) = (subscription.clone(), store.announcement());
        let on_connect = move || vec![subscriber.message(), announcement.clone()];
        let (control, control_events) =
            ControlClient::start(settings.control_links(), CONTROL_LINK_LIMITS, on_connect);
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

    /// Runs until a graceful shutdown after SIGTERM is over.
    pub(super) async fn run(mut self) {
        loop {
            let wake = self.inputs.next(self.timers.next_tick()).await;
            self.handle(wake);
            self.handle_queued_events();
            self.run_due_timers();
            self.carry_out_outputs();
            if self.timers.is_shut_down(|| self.store.is_in_sync_replica()) {
                sleep(FLUSH_TIME).await;
                log::info!("storage machine stopped");
                return;
            }
        }
    }

    /// The store's time.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn handle(&mut self, wake: Wake) {
        match wake {
            Wake::Event(event) => self.handle_event(event),
            Wake::Control(event) => self.handle_control(event),
            Wake::Disk(completion) => self.handle_completion(completion),
            Wake::Tick => {}
            Wake::Terminate => self.start_shutdown(),
            Wake::ReloadSettings => self.reload_settings(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Opened(link, sender) => {
                self.inbound_links.opened(link, sender);
                self.store.handle_link_opened(link);
            }
            Event::Received(link, message) => self.store.handle_message(now, link, message),
            Event::Closed(link) => {
                self.inbound_links.closed(link);
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
                if let Some(ticket) = self.journal.synced(ticket) {
                    let now = self.now();
                    self.store.handle_synced(now, ticket);
                }
            }
            Completion::WriteFailed(reason) => log::debug!("disk rejects writes reason={reason}"),
        }
    }

    fn handle_queued_events(&mut self) {
        for _ in 0..MAX_EVENTS_PER_TURN {
            let Some(wake) = self.inputs.try_next() else { return };
            self.handle(wake);
        }
    }

    fn run_due_timers(&mut self) {
        let now = Instant::now();
        if self.timers.is_tick_due(now, self.store.has_replicas()) {
            let store_now = self.now();
            self.store.tick(store_now);
            self.timers.ticked(now, self.store.has_replicas());
        }
        if self.timers.take_keep_alive(now) {
            self.inbound_links.keep_alive();
            self.peer_links.keep_alive();
        }
        if self.timers.take_reload(now, self.control.is_connected()) {
            self.reload_settings();
        }
    }

    fn carry_out_outputs(&mut self) {
        if self.journal.is_checkpoint_due() {
            log::debug!("checkpoint due");
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
            Ok(settings) => self.control.add_seeds(&settings.control_links()),
            Err(error) => log::warn!("settings not reloaded error={error:#}"),
        }
    }
}
