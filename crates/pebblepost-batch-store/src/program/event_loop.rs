//! The loop that hands events to the store and carries out what it returns.

use super::configuration::listen_address;
use super::event::Event;
use super::feed::Feed;
use super::links::{self, Links};
use super::peers::Peers;
use crate::store::{Store, StoreOutput};
use eyre::{Result, WrapErr};
use pebblepost_link::control_client::{CONTROL_LINK_LIMITS, ControlClient, ControlEvent, ControlSender};
use pebblepost_messages::control::FromControl;
use pebblepost_ring::{Completion, Disk};
use pebblepost_settings::Settings;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Pause between ticks while the store holds anything.
const BUSY_TICK: Duration = Duration::from_millis(50);
/// Pause between ticks of a store that holds nothing.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// How often unused links get a sign of life.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// How often the settings are read again while the control plane is not found: they may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);
/// Messages that may wait for the loop.
const MOST_WAITING_EVENTS: usize = 32;
/// Messages taken in one turn.
const MOST_EVENTS_A_TURN: usize = 64;
/// A checkpoint is due after so many bytes, or after a share of the ring if that is less.
const CHECKPOINT_BYTES: u64 = 64 * 1024 * 1024;
const CHECKPOINT_SHARE: u64 = 4;
const LEAST_CHECKPOINT_BYTES: u64 = 4 * 1024 * 1024;
/// Time for others to take this machine's place, after SIGTERM.
const MOST_LEAVING: Duration = Duration::from_millis(1_300);
/// Time for the last messages to go out.
const LAST_MESSAGES: Duration = Duration::from_millis(50);

/// What wakes the loop.
enum Wake {
    Event(Event),
    Control(ControlEvent),
    Disk(Completion),
    Tick,
    Stop,
    SettingsChanged,
}

/// The loop.
pub(super) struct EventLoop {
    store: Store,
    started: Instant,
    disk: Disk,
    /// Writes that are not on disk: the disk's ticket and the store's.
    writes: VecDeque<(u64, u64)>,
    /// Ticket of a checkpoint that is not on disk.
    checkpoint: Option<u64>,
    links: Links,
    peers: Peers,
    feed: Feed,
    control: ControlSender,
    events: mpsc::Receiver<Event>,
    control_events: mpsc::Receiver<ControlEvent>,
    completions: mpsc::UnboundedReceiver<Completion>,
    terminate: Signal,
    hang_up: Signal,
    next_tick: Instant,
    next_keep_alive: Instant,
    reload_at: Instant,
    leaving_until: Option<Instant>,
}

impl EventLoop {
    /// Starts the tasks around the loop; within a `LocalSet`.
    pub(super) async fn start(
        settings: &Settings, store: Store, disk: Disk, completions: mpsc::UnboundedReceiver<Completion>,
    ) -> Result<EventLoop> {
        let terminate = signal(SignalKind::terminate()).wrap_err("awaiting SIGTERM")?;
        let hang_up = signal(SignalKind::hangup()).wrap_err("awaiting SIGHUP")?;
        let listener = links::listen(listen_address(settings)).await?;
        let (sender, events) = mpsc::channel(MOST_WAITING_EVENTS);
        spawn_local(links::accept(listener, sender));
        let feed = Feed::new(settings);
        let (subscriber, announcement) = (feed.clone(), store.announcement());
        let on_connect = move || vec![subscriber.subscription(), announcement.clone()];
        let (control, control_events) =
            ControlClient::start(settings.control_links(), CONTROL_LINK_LIMITS, on_connect);
        let now = Instant::now();
        Ok(EventLoop {
            peers: Peers::new(store.member().clone()),
            store,
            started: now,
            disk,
            writes: VecDeque::new(),
            checkpoint: None,
            links: Links::default(),
            feed,
            control,
            events,
            control_events,
            completions,
            terminate,
            hang_up,
            next_tick: now,
            next_keep_alive: now + KEEP_ALIVE,
            reload_at: now + RELOAD_PERIOD,
            leaving_until: None,
        })
    }

    /// Runs until SIGTERM.
    pub(super) async fn run(mut self) -> Result<()> {
        loop {
            let wake = self.wake().await;
            self.handle(wake);
            self.take_waiting_events();
            self.tick_when_due();
            self.carry_out_all();
            if self.has_left() {
                sleep(LAST_MESSAGES).await;
                log::info!("stopped");
                return Ok(());
            }
        }
    }

    async fn wake(&mut self) -> Wake {
        tokio::select! {
            Some(event) = self.events.recv() => Wake::Event(event),
            Some(event) = self.control_events.recv() => Wake::Control(event),
            Some(completion) = self.completions.recv() => Wake::Disk(completion),
            () = sleep_until(self.next_tick) => Wake::Tick,
            Some(()) = self.terminate.recv() => Wake::Stop,
            Some(()) = self.hang_up.recv() => Wake::SettingsChanged,
        }
    }

    /// The store's time.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn handle(&mut self, wake: Wake) {
        match wake {
            Wake::Event(event) => self.handle_event(event),
            Wake::Control(event) => self.handle_control(event),
            Wake::Disk(completion) => self.handle_completion(completion),
            Wake::Tick => {}
            Wake::Stop => self.leave(),
            Wake::SettingsChanged => self.read_settings(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Opened(link, sender) => {
                self.links.opened(link, sender);
                self.store.link_opened(link);
            }
            Event::Received(link, message) => self.store.receive(now, link, message),
            Event::Closed(link) => {
                self.links.closed(link);
                self.store.link_closed(link);
            }
        }
    }

    fn handle_control(&mut self, event: ControlEvent) {
        let now = self.now();
        match event {
            ControlEvent::Connected(address) => {
                log::info!("connected to the control plane at {address}");
                self.store.control_connected();
            }
            ControlEvent::Lost => log::info!("the link to the control plane is lost"),
            ControlEvent::Message(FromControl::Feed(batch)) => {
                let reply = self.feed.take(now, &batch, &mut self.store);
                self.control.send(&reply);
            }
            ControlEvent::Message(FromControl::GroupChanged { request, group, current, .. }) => {
                self.store.group_changed(now, request, group, &current);
            }
            ControlEvent::Message(_) => {}
        }
    }

    fn handle_completion(&mut self, completion: Completion) {
        let ticket = match completion {
            Completion::Synced(ticket) => ticket,
            Completion::Refusing(reason) => return log::debug!("the disk refuses writes: {reason}"),
        };
        if self.checkpoint.is_some_and(|checkpoint| checkpoint <= ticket) {
            self.checkpoint = None;
        }
        let mut synced = None;
        while let Some((_, stored)) = self.writes.pop_front_if(|(written, _)| *written <= ticket) {
            synced = Some(stored);
        }
        if let Some(stored) = synced {
            let now = self.now();
            self.store.synced(now, stored);
        }
    }

    fn take_waiting_events(&mut self) {
        for _ in 0..MOST_EVENTS_A_TURN {
            if let Ok(event) = self.events.try_recv() {
                self.handle_event(event);
            } else if let Ok(completion) = self.completions.try_recv() {
                self.handle_completion(completion);
            } else {
                return;
            }
        }
    }

    fn tick_when_due(&mut self) {
        let now = Instant::now();
        if self.store.has_replicas() {
            // It may have begun to hold something since the pause of an idle store began.
            self.next_tick = self.next_tick.min(now + BUSY_TICK);
        }
        if now >= self.next_tick {
            let time = self.now();
            self.store.tick(time);
            self.next_tick = now + if self.store.has_replicas() { BUSY_TICK } else { IDLE_TICK };
        }
        if now >= self.next_keep_alive {
            self.links.keep_alive();
            self.peers.keep_alive();
            self.next_keep_alive = now + KEEP_ALIVE;
        }
        if self.control.is_connected() {
            self.reload_at = now + RELOAD_PERIOD;
        } else if now >= self.reload_at {
            self.reload_at = now + RELOAD_PERIOD;
            self.read_settings();
        }
    }

    fn carry_out_all(&mut self) {
        self.checkpoint_when_due();
        for output in self.store.take_outputs(self.started.elapsed()) {
            match output {
                StoreOutput::Reply { link, message } => self.links.send(link, &message),
                StoreOutput::ToPeer { peer, message } => self.peers.send(&peer, &message),
                StoreOutput::ToControl(message) => drop(self.control.send(&message)),
                StoreOutput::Append { ticket, records } => {
                    let written = self.disk.append(records);
                    self.writes.push_back((written, ticket));
                }
                StoreOutput::Checkpoint { records } => self.checkpoint = Some(self.disk.checkpoint(records)),
            }
        }
    }

    fn checkpoint_when_due(&mut self) {
        let share = self.disk.capacity() / CHECKPOINT_SHARE;
        let most_bytes = share.clamp(LEAST_CHECKPOINT_BYTES, CHECKPOINT_BYTES);
        if self.checkpoint.is_none() && self.disk.bytes_since_checkpoint() > most_bytes {
            log::debug!("a checkpoint is due");
            self.store.checkpoint();
        }
    }

    fn leave(&mut self) {
        log::info!("stopping");
        let now = self.now();
        self.leaving_until.get_or_insert(Instant::now() + MOST_LEAVING);
        self.store.start_shutdown(now);
    }

    fn has_left(&self) -> bool {
        self.leaving_until.is_some_and(|until| Instant::now() >= until || !self.store.is_in_sync_replica())
    }

    fn read_settings(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => self.control.add_candidates(&settings.control_links()),
            Err(error) => log::warn!("reading the settings again: {error:#}"),
        }
    }
}
