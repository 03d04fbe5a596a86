//! The proxy: its listeners and tasks, and its end.

use crate::context::{Applied, Context};
use crate::front::Front;
use crate::metrics::ProxyMetrics;
use crate::{feed_client, ready};
use eyre::{OptionExt, Result, WrapErr};
use log::{info, warn};
use pebblepost_messages::feed::FeedUpdate;
use pebblepost_settings::Settings;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// After SIGTERM the platform needs two misses of its question each second to notice.
const NOTICE: Duration = Duration::from_millis(2800);
/// The process ends this much ahead of SIGKILL.
const END_MARGIN: Duration = Duration::from_millis(500);
/// How often the counts are written to the log.
const COUNTS_EVERY: Duration = Duration::from_secs(15);
/// Requests have their answer this much ahead of the process's end.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// The signals that the process acts by, none of which ends it by itself once this exists.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Listens for the signals.
    pub fn listen() -> Result<Signals> {
        let terminate = signal(SignalKind::terminate()).wrap_err("listening for SIGTERM")?;
        let hang_up = signal(SignalKind::hangup()).wrap_err("listening for SIGHUP")?;
        Ok(Signals { terminate, hang_up })
    }
}

/// A proxy that runs on the caller's `LocalSet`.
#[derive(Debug)]
pub struct Proxy {
    context: Rc<Context>,
    front: Rc<Front>,
    front_address: SocketAddr,
    ready_address: SocketAddr,
}

impl Proxy {
    /// Listens, and starts all tasks (`spawn_local`).
    pub fn start(settings: Settings) -> Result<Proxy> {
        let ready = listen(settings.listen_ready, "listen.ready")?;
        let front_listener = listen(settings.listen_front, "listen.front")?;
        let (front_address, ready_address) = (front_listener.local_addr()?, ready.local_addr()?);
        let front = Rc::new(Front::new(settings.limits.max_fds));
        let context = Rc::new(Context::new(settings));
        tokio::task::spawn_local(ready::serve(ready, context.clone()));
        tokio::task::spawn_local(feed_client::run(context.clone()));
        tokio::task::spawn_local(log_counts(context.clone()));
        let (accepting, shared) = (front.clone(), context.clone());
        tokio::task::spawn_local(async move { accepting.accept(front_listener, shared).await });
        info!("serving clients at {front_address}, readiness at {ready_address}");
        Ok(Proxy { context, front, front_address, ready_address })
    }

    /// Where clients connect.
    pub fn front_address(&self) -> SocketAddr {
        self.front_address
    }

    /// Where readiness is asked for.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Takes updates of the feed in, as those that come from the agent.
    pub fn apply(&self, updates: &[FeedUpdate]) -> Applied {
        self.context.apply(updates)
    }

    /// Counts since the start.
    pub fn metrics(&self) -> ProxyMetrics {
        self.context.metrics.get()
    }

    /// Runs until SIGTERM and through the end that follows. SIGHUP: reads the settings anew.
    pub async fn run_until_terminated(&self, signals: &mut Signals) {
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => break,
                _ = signals.hang_up.recv() => self.reload(),
            }
        }
        let stop = self.stop();
        let mut stop = std::pin::pin!(stop);
        loop {
            tokio::select! {
                () = stop.as_mut() => return,
                _ = signals.hang_up.recv() => {}
            }
        }
    }

    fn reload(&self) {
        match Settings::from_environment() {
            Ok(settings) => {
                self.context.reload(&settings.limits);
                info!("settings read anew");
            }
            Err(error) => warn!("the settings stay as they were: {error:#}"),
        }
    }

    /// Ends: not ready at once, still serving until the platform has noticed, then finishing what
    /// is under way, all inside the grace of the settings.
    pub async fn stop(&self) {
        let started = Instant::now();
        let grace = self.context.settings.bounds.shutdown_grace;
        let end = started + grace.saturating_sub(END_MARGIN);
        info!("ending: not ready, done within {:?}", grace.saturating_sub(END_MARGIN));
        self.context.lifecycle.leave(end - ANSWER_MARGIN.min(grace / 4));
        let runner = async {
            let most = grace.saturating_sub(END_MARGIN + ANSWER_MARGIN);
            self.context.runner.stop(most).await;
        };
        let front = async {
            tokio::time::sleep(NOTICE.min(grace / 2)).await;
            self.context.lifecycle.close();
            self.front.ended().await;
        };
        let all = async { tokio::join!(runner, front) };
        if tokio::time::timeout_at(end, all).await.is_err() {
            warn!("ended with requests under way");
        }
        info!("{}", self.context.describe_counts());
        info!("ended");
    }
}

/// Writes the counts to the log now and then.
async fn log_counts(context: Rc<Context>) {
    loop {
        tokio::time::sleep(COUNTS_EVERY).await;
        info!("{}", context.describe_counts());
    }
}

/// Listens with a long queue; the address may have been in use a moment ago.
fn listen(address: Option<SocketAddr>, key: &str) -> Result<TcpListener> {
    let address = address.ok_or_eyre(format!("the settings have no {key}"))?;
    let bind = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    bind().wrap_err_with(|| format!("listening at {address} ({key})"))
}
