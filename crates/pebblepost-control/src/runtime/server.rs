//! The program: opens the disk, listens, and runs the loop until SIGTERM.

use super::driver::Driver;
use super::error::ControlError;
use super::listen::{bind_http, bind_links};
use super::{http, link_tasks};
use crate::membership::bootstrap::{bootstrap_disk, identity_to_format};
use crate::node::{ControlNode, Input, NodeSettings};
use crate::state::disk_record::RecoveredState;
use pebblepost_link::Listener;
use pebblepost_messages::DiskId;
use pebblepost_ring::{Completion, Disk};
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Tick interval of a primary, and while none is known.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Tick interval of a standby, whose timers are coarser.
const STANDBY_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a primary takes to hand over after SIGTERM.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time to write the last messages after a hand-over.
const FLUSH_TIME: Duration = Duration::from_millis(30);
/// Capacity of the queue of HTTP requests.
const MAX_QUEUED_REQUESTS: usize = 256;
/// Capacity of the queue of events of links and calls.
const MAX_QUEUED_EVENTS: usize = 1024;
/// How often the settings are reloaded while no primary is known: the file may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Numerator and denominator of the fraction of the configured disk space that the log may take.
const DISK_FRACTION: (u64, u64) = (3, 4);

/// File descriptors for the disk and the process itself.
const RESERVED_DESCRIPTORS: usize = 200;
/// Percentage of the other descriptors for connections of HTTP requests: each transcriber keeps one to the primary. As
/// many may be open to transcribers, for orders and reports, and links need some.
const REQUEST_DESCRIPTORS_PERCENT: usize = 50;

/// Runs a control process until SIGTERM.
///
/// # Errors
/// If a required setting is missing, the disk can't be opened or read, or an address can't be bound.
pub fn run(settings: Settings) -> Result<(), ControlError> {
    let control_address =
        settings.listen_control.ok_or(ControlError::MissingSetting { setting: "listen.control" })?;
    let (completed, completions) = mpsc::unbounded_channel();
    let OpenedDisk { disk, node_settings, recovered } = open_disk(&settings, control_address, completed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ControlError::StartRuntime)?;
    let ended = LocalSet::new().block_on(&runtime, async {
        let links = bind_links(SocketAddr::new(control_address.ip(), node_settings.link_port)).await?;
        let http_listener = bind_http(control_address).await?;
        let start = Instant::now();
        let node = ControlNode::new(Duration::ZERO, node_settings, recovered);
        let max_connections = max_request_connections(settings.limits.max_fds);
        Server { start, node, disk, completions, links, http_listener, max_connections }.serve().await
    });
    // Tasks that still wait for a peer end with the runtime.
    runtime.shutdown_background();
    ended
}

/// Most connections of HTTP requests in a process that may have `max_descriptors`.
pub fn max_request_connections(max_descriptors: usize) -> usize {
    (max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) * REQUEST_DESCRIPTORS_PERCENT / 100).max(1)
}

struct OpenedDisk {
    disk: Disk,
    node_settings: NodeSettings,
    recovered: RecoveredState,
}

fn open_disk(
    settings: &Settings, control_address: SocketAddr, completions: mpsc::UnboundedSender<Completion>,
) -> Result<OpenedDisk, ControlError> {
    let path = settings.data_dir.as_ref().ok_or(ControlError::MissingSetting { setting: "data_dir" })?;
    let (numerator, denominator) = DISK_FRACTION;
    let max_bytes = settings.limits.disk_bytes / denominator * numerator;
    let identity = identity_to_format(settings).map(|disk| disk.0);
    let completed = Box::new(move |completion| {
        // The loop may have ended.
        completions.send(completion).ok();
    });
    let (disk, opened) = Disk::open(path, max_bytes, identity, completed)
        .map_err(|error| ControlError::OpenDisk { path: path.clone(), source: error.into() })?;
    let recovered = RecoveredState::decode(&opened.records)
        .map_err(|source| ControlError::DecodeRecords { path: path.clone(), source })?;
    let disk_id = DiskId(opened.identity);
    // Only a disk that was formatted at the first start of the whole system has this identity. If nothing was written
    // to it since, it still bootstraps, also after a restart.
    let may_bootstrap =
        settings.seeds.contains(&control_address) && disk_id == bootstrap_disk(control_address);
    log::info!("disk opened disk={:016x} new={} records={}", disk_id.0, opened.fresh, opened.records.len());
    let random_seed = disk_id.0 ^ u64::from(std::process::id());
    let node_settings = NodeSettings::new(settings, control_address, disk_id, may_bootstrap, random_seed);
    Ok(OpenedDisk { disk, node_settings, recovered })
}

struct Server {
    start: Instant,
    node: ControlNode,
    disk: Disk,
    completions: mpsc::UnboundedReceiver<Completion>,
    links: Listener,
    http_listener: TcpListener,
    /// Most connections of HTTP requests.
    max_connections: usize,
}

impl Server {
    async fn serve(self) -> Result<(), ControlError> {
        let Server { start, node, disk, mut completions, links, http_listener, max_connections } = self;
        let mut terminate = listen_for(SignalKind::terminate(), "SIGTERM")?;
        let mut hangup = listen_for(SignalKind::hangup(), "SIGHUP")?;
        let (request_sender, mut requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
        spawn_local(http::serve(http_listener, request_sender, max_connections));
        spawn_local(link_tasks::accept_links(links, event_sender.clone()));
        let mut driver = Driver::new(start, node, disk, event_sender);
        driver.carry_out();
        let mut timers = Timers::new();
        loop {
            timers.shorten_shutdown(&driver);
            let wake = timers.wake_at(&driver);
            tokio::select! {
                biased;
                _ = terminate.recv() => {
                    log::info!("shutting down signal=SIGTERM");
                    if !driver.is_primary() {
                        return Ok(());
                    }
                    driver.handle(Input::Terminate);
                    timers.start_shutdown();
                }
                () = sleep_until(timers.shutdown_or_tick()), if timers.is_shutting_down() => return Ok(()),
                Some(completion) = completions.recv() => driver.handle_completion(completion),
                Some(event) = events.recv() => driver.handle_event(event),
                Some(incoming) = requests.recv() => driver.handle_request(incoming),
                () = sleep_until(wake) => {
                    driver.handle(Input::Tick);
                    if timers.ticked(&driver) {
                        reload(&mut driver);
                    }
                }
                _ = hangup.recv() => reload(&mut driver),
            }
        }
    }
}

/// Timers of the loop.
struct Timers {
    next_tick: Instant,
    reload_at: Instant,
    /// When the process ends, once it shuts down.
    shutdown_at: Option<Instant>,
}

impl Timers {
    fn new() -> Timers {
        Timers {
            next_tick: Instant::now() + TICK_INTERVAL,
            reload_at: Instant::now() + RELOAD_INTERVAL,
            shutdown_at: None,
        }
    }

    fn start_shutdown(&mut self) {
        self.shutdown_at = Some(Instant::now() + HAND_OVER_TIMEOUT);
    }

    fn is_shutting_down(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// After the hand-over only the last messages have to be written.
    fn shorten_shutdown(&mut self, driver: &Driver) {
        if self.is_shutting_down() && !driver.is_primary() {
            self.shutdown_at = self.shutdown_at.map(|at| at.min(Instant::now() + FLUSH_TIME));
        }
    }

    fn shutdown_or_tick(&self) -> Instant {
        self.shutdown_at.unwrap_or(self.next_tick)
    }

    fn wake_at(&self, driver: &Driver) -> Instant {
        driver.due_at().map_or(self.next_tick, |due| due.min(self.next_tick))
    }

    /// Schedules the next tick; whether the settings should be reloaded.
    fn ticked(&mut self, driver: &Driver) -> bool {
        if Instant::now() >= self.next_tick {
            let is_standby = !driver.is_primary() && driver.knows_primary();
            let interval = if is_standby { STANDBY_TICK_INTERVAL } else { TICK_INTERVAL };
            self.next_tick = Instant::now() + interval;
        }
        let knows_primary = driver.knows_primary();
        let is_reload_due = !knows_primary && Instant::now() >= self.reload_at;
        if knows_primary || is_reload_due {
            self.reload_at = Instant::now() + RELOAD_INTERVAL;
        }
        is_reload_due
    }
}

fn listen_for(kind: SignalKind, name: &'static str) -> Result<Signal, ControlError> {
    signal(kind).map_err(|source| ControlError::ListenForSignal { signal: name, source })
}

/// Reloads the settings file: it may name other seeds.
fn reload(driver: &mut Driver) {
    match Settings::from_environment() {
        Ok(settings) => {
            log::debug!("settings reloaded seeds={}", settings.seeds.len());
            driver.handle(Input::SeedsChanged(settings.seeds));
        }
        Err(error) => log::warn!("settings not reloaded: {error:#}"),
    }
}
