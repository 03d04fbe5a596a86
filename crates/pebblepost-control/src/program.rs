//! The program: settings, disk, listeners, links, signals, and the loop around [`Core`].

use crate::core::{Core, CoreSettings, Input};
use crate::disk_record::RecoveredRecords;
use crate::founding::{founder_disk, identity_to_format};
use crate::http;
use crate::shell::Shell;
use crate::tasks;
use eyre::{Result, WrapErr, eyre};
use pebblepost_link::{LinkLimits, Listener};
use pebblepost_messages::DiskId;
use pebblepost_ring::Disk;
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

/// How often time is told to the core of a primary, and while there is none.
const TICK: Duration = Duration::from_millis(50);
/// How often time is told to the core of a standby, which has less to do in time.
const STANDBY_TICK: Duration = Duration::from_millis(100);
/// Longest time that a primary takes to hand over after SIGTERM.
const HAND_OVER_TIME: Duration = Duration::from_millis(700);
/// Time for the last messages after a hand-over.
const LAST_WRITES: Duration = Duration::from_millis(30);
/// Calls that wait to be taken up.
const MOST_WAITING_CALLS: usize = 256;
/// Events of links and orders that wait to be taken up.
const MOST_WAITING_EVENTS: usize = 1024;
/// How often the settings are read again while no primary is known: the file may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);
/// Attempts to listen at an address that a former process may still hold.
const BIND_ATTEMPTS: u32 = 100;
/// Pause between them.
const BIND_PAUSE: Duration = Duration::from_millis(50);

/// Descriptors that the disk and the process itself need.
const RESERVED_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that connections of calls may take, in hundredths: each
/// transcriber keeps one to the primary. As many may be open to transcribers, for orders and
/// reports, and links need some.
const CALLS_SHARE: usize = 50;

/// Limits of links that other programs open, and of those to other control processes.
pub const LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 48 * 1024 * 1024,
    max_queued_bytes: 64 * 1024 * 1024,
    connect_timeout: Duration::from_millis(400),
    read_timeout: Duration::from_millis(2500),
};

/// Runs the program until SIGTERM.
pub fn run(settings: Settings) -> Result<()> {
    let control = settings.listen_control.ok_or_else(|| eyre!("settings: listen.control is missing"))?;
    let (completions_in, completions) = mpsc::unbounded_channel();
    let (disk, core_settings, recovered) = open_disk(&settings, control, completions_in)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the runtime")?;
    let ended = LocalSet::new().block_on(&runtime, async {
        let link_address = SocketAddr::new(control.ip(), core_settings.link_port);
        let links = listen_for_links(link_address).await?;
        let calls_listener = listen_for_calls(control).await?;
        let start = Instant::now();
        let core = Core::new(Duration::ZERO, core_settings, recovered);
        let most_calls = most_connections_of_calls(settings.limits.max_fds);
        serve(Serving { start, core, disk, completions, links, calls_listener, most_calls }).await
    });
    // Tasks that still wait for a peer end with the runtime.
    runtime.shutdown_background();
    ended
}

/// Most connections of calls in a process that may have so many descriptors.
pub fn most_connections_of_calls(max_fds: usize) -> usize {
    (max_fds.saturating_sub(RESERVED_DESCRIPTORS) * CALLS_SHARE / 100).max(1)
}

type Completions = mpsc::UnboundedReceiver<pebblepost_ring::Completion>;

fn open_disk(
    settings: &Settings, control: SocketAddr, completions: mpsc::UnboundedSender<pebblepost_ring::Completion>,
) -> Result<(Disk, CoreSettings, RecoveredRecords)> {
    let folder = settings.data_dir.as_ref().ok_or_else(|| eyre!("settings: data_dir is missing"))?;
    let most_bytes = settings.limits.disk_bytes / 4 * 3;
    let identity = identity_to_format(settings).map(|disk| disk.0);
    let completed = Box::new(move |completion| {
        // The loop has ended: nobody waits any more.
        completions.send(completion).ok();
    });
    let (disk, opened) = Disk::open(folder, most_bytes, identity, completed)
        .wrap_err_with(|| format!("opening the disk at {}", folder.display()))?;
    let recovered = RecoveredRecords::read(&opened.records)
        .map_err(|error| eyre!("reading the records at {}: {error}", folder.display()))?;
    let disk_id = DiskId(opened.identity);
    // Only a disk that was formatted at the first start of the whole system has this identity. If
    // nothing was written to it since, it still founds, also after a restart.
    let founder = settings.seeds.contains(&control) && disk_id == founder_disk(control);
    log::info!(
        "disk {:016x}: {}{} records",
        disk_id.0,
        if opened.fresh { "new, " } else { "" },
        opened.records.len()
    );
    let random = disk_id.0 ^ u64::from(std::process::id());
    Ok((disk, CoreSettings::new(settings, control, disk_id, founder, random), recovered))
}

async fn listen_for_links(address: SocketAddr) -> Result<Listener> {
    for _ in 1..BIND_ATTEMPTS {
        match Listener::bind(address, LINK_LIMITS) {
            Ok(listener) => return Ok(listener),
            Err(error) => log::debug!("{error:#}"),
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
    Ok(Listener::bind(address, LINK_LIMITS)?)
}

async fn listen_for_calls(address: SocketAddr) -> Result<TcpListener> {
    for _ in 1..BIND_ATTEMPTS {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) => log::debug!("listening at {address}: {error}"),
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening at {address}"))
}

struct Serving {
    start: Instant,
    core: Core,
    disk: Disk,
    completions: Completions,
    links: Listener,
    calls_listener: TcpListener,
    /// Most connections of calls.
    most_calls: usize,
}

async fn serve(serving: Serving) -> Result<()> {
    let Serving { start, core, disk, mut completions, links, calls_listener, most_calls } = serving;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("listening for SIGTERM")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("listening for SIGHUP")?;
    let (calls_in, mut calls) = mpsc::channel(MOST_WAITING_CALLS);
    let (events_in, mut events) = mpsc::channel(MOST_WAITING_EVENTS);
    spawn_local(http::serve(calls_listener, calls_in, most_calls));
    spawn_local(tasks::accept_links(links, events_in.clone()));
    let mut shell = Shell::new(start, core, disk, events_in);
    shell.carry_out();
    let mut next_tick = Instant::now() + TICK;
    let mut reload_at = Instant::now() + RELOAD_PERIOD;
    let mut end_at: Option<Instant> = None;
    loop {
        if end_at.is_some() && !shell.is_primary() {
            // What was sent last is on its way within this time.
            end_at = end_at.map(|end| end.min(Instant::now() + LAST_WRITES));
        }
        let wake = shell.due_at().map_or(next_tick, |due| due.min(next_tick));
        tokio::select! {
            biased;
            _ = terminate.recv() => {
                log::info!("SIGTERM: ending");
                if !shell.is_primary() {
                    return Ok(());
                }
                shell.handle(Input::Terminate);
                end_at = Some(Instant::now() + HAND_OVER_TIME);
            }
            () = sleep_until(end_at.unwrap_or(next_tick)), if end_at.is_some() => return Ok(()),
            Some(completion) = completions.recv() => shell.completed(completion),
            Some(event) = events.recv() => shell.event(event),
            Some(incoming) = calls.recv() => shell.call(incoming),
            () = sleep_until(wake) => {
                shell.handle(Input::Tick);
                if Instant::now() >= next_tick {
                    let is_idle = !shell.is_primary() && shell.knows_primary();
                    let pause = if is_idle { STANDBY_TICK } else { TICK };
                    next_tick = Instant::now() + pause;
                }
                if shell.knows_primary() {
                    reload_at = Instant::now() + RELOAD_PERIOD;
                } else if Instant::now() >= reload_at {
                    reload_at = Instant::now() + RELOAD_PERIOD;
                    reload(&mut shell);
                }
            }
            _ = hangup.recv() => reload(&mut shell),
        }
    }
}

/// The settings file has changed: newer seeds are further control processes to look for.
fn reload(shell: &mut Shell) {
    match Settings::from_environment() {
        Ok(settings) => {
            log::debug!("settings read again: {} seeds", settings.seeds.len());
            shell.handle(Input::Seeds(settings.seeds));
        }
        Err(error) => log::warn!("reading the settings again: {error:#}"),
    }
}
