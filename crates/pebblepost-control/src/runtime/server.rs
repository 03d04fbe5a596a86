//! The program: sets up the disk, the listeners and the control node, and runs the event loop until SIGTERM.

use super::disk::{OpenedDisk, open_disk};
use super::driver::Driver;
use super::error::ControlError;
use super::http::HttpLimits;
use super::listen::{bind_http, bind_links};
use super::timers::Timers;
use super::{http_thread, link_tasks};
use crate::api::MAX_BODY_BYTES;
use crate::node::{ControlNode, Input};
use pebblepost_link::{Listener, Pacer};
use pebblepost_ring::{Completion, Disk};
use pebblepost_settings::{MachineLimits, Settings};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Capacity of the queue of HTTP requests.
const MAX_QUEUED_REQUESTS: usize = 256;
/// Capacity of the queue of events from links and from calls to transcribers.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Request bodies may use the memory of the process divided by this number, but at least one body of the largest size.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Percentage of the machine's network bandwidth that the feed may use.
const FEED_LINK_PERCENT: u64 = 60;

/// File descriptors reserved for the disk and the process itself.
const RESERVED_DESCRIPTORS: usize = 200;
/// Percentage of the other file descriptors for connections of HTTP requests. Each transcriber keeps one open to the
/// primary.
const REQUEST_DESCRIPTORS_PERCENT: usize = 62;
/// Percentage of the other file descriptors for load orders and load reports in progress. The same number of
/// connections may be idle for a short time. The remaining descriptors are for links.
const CALL_DESCRIPTORS_PERCENT: usize = 10;

/// Runs a control node until SIGTERM.
///
/// # Errors
/// If a required setting is missing, the disk can't be opened or read, or an address can't be bound.
pub fn run(settings: Settings) -> Result<(), ControlError> {
    let control_address =
        settings.control_address.ok_or(ControlError::MissingSetting { setting: "listen.control" })?;
    let (completed, completions) = mpsc::unbounded_channel();
    let OpenedDisk { disk, node_settings, recovered } = open_disk(&settings, control_address, completed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ControlError::StartRuntime)?;
    let ended = LocalSet::new().block_on(&runtime, async {
        let links = bind_links(SocketAddr::new(control_address.ip(), node_settings.link_port)).await?;
        let links = links.with_pacer(Pacer::new(feed_rate(settings.limits.link_bytes_per_second)));
        let http_listener = bind_http(control_address).await?;
        let start = Instant::now();
        let node = ControlNode::new(Duration::ZERO, node_settings, recovered);
        let http_limits = http_limits(&settings.limits);
        let max_calls = max_calls(settings.limits.max_file_descriptors);
        Server { start, node, disk, completions, links, http_listener, http_limits, max_calls }.serve().await
    });
    // Ends tasks that still wait for a peer.
    runtime.shutdown_background();
    ended
}

/// Returns the limit on connections of HTTP requests in a process that may open `max_descriptors` file descriptors.
pub fn max_request_connections(max_descriptors: usize) -> usize {
    (max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) * REQUEST_DESCRIPTORS_PERCENT / 100).max(1)
}

/// Returns the bandwidth that the feed may use, in bytes per second. The rest of the machine's bandwidth is for
/// replication, heartbeats and HTTP.
pub fn feed_rate(link_bytes_per_second: u64) -> u64 {
    link_bytes_per_second / 100 * FEED_LINK_PERCENT
}

/// Returns the limits of the HTTP server on a machine with the given limits.
pub fn http_limits(limits: &MachineLimits) -> HttpLimits {
    let memory = usize::try_from(limits.memory_bytes).unwrap_or(usize::MAX);
    HttpLimits {
        max_connections: max_request_connections(limits.max_file_descriptors),
        max_body_memory_bytes: (memory / BODY_MEMORY_DIVISOR).max(MAX_BODY_BYTES),
    }
}

/// Returns the limit on concurrent calls to transcribers in a process that may open `max_descriptors` file descriptors.
fn max_calls(max_descriptors: usize) -> usize {
    (max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) * CALL_DESCRIPTORS_PERCENT / 100).max(1)
}

struct Server {
    start: Instant,
    node: ControlNode,
    disk: Disk,
    completions: mpsc::UnboundedReceiver<Completion>,
    links: Listener,
    http_listener: TcpListener,
    http_limits: HttpLimits,
    /// Limit on concurrent calls to transcribers.
    max_calls: usize,
}

impl Server {
    async fn serve(self) -> Result<(), ControlError> {
        let Server { start, node, disk, mut completions, links, http_listener, http_limits, max_calls } =
            self;
        let mut terminate = listen_for(SignalKind::terminate(), "SIGTERM")?;
        let mut hangup = listen_for(SignalKind::hangup(), "SIGHUP")?;
        let (request_sender, mut requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
        http_thread::start(http_listener, request_sender, http_limits)?;
        spawn_local(link_tasks::accept_links(links, event_sender.clone()));
        let mut driver = Driver::new(start, node, disk, event_sender, max_calls);
        driver.execute_outputs();
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
                () = sleep_until(timers.shutdown_or_next_tick()), if timers.is_shutting_down() => return Ok(()),
                Some(completion) = completions.recv() => driver.handle_completion(completion),
                Some(event) = events.recv() => driver.handle_event(event),
                Some(incoming) = requests.recv() => driver.handle_request(incoming),
                () = sleep_until(wake) => {
                    driver.handle(Input::Tick);
                    if timers.schedule_next_tick(&driver) {
                        reload_settings(&mut driver);
                    }
                }
                _ = hangup.recv() => reload_settings(&mut driver),
            }
        }
    }
}

fn listen_for(kind: SignalKind, name: &'static str) -> Result<Signal, ControlError> {
    signal(kind).map_err(|source| ControlError::ListenForSignal { signal: name, source })
}

/// Reloads the settings file, which may name other seeds.
fn reload_settings(driver: &mut Driver) {
    match Settings::from_environment() {
        Ok(settings) => {
            log::debug!("settings reloaded seeds={}", settings.seeds.len());
            driver.handle(Input::SeedsChanged(settings.seeds));
        }
        Err(error) => log::warn!("settings not reloaded: {error:#}"),
    }
}
