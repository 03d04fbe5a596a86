//! Builds the parts of the proxy, starts their tasks, and shuts them down.

use crate::connections::{ConnectionContext, Server};
use crate::dispatch::Backends;
use crate::error::ProxyError;
use crate::feed::{ApplyOutcome, FeedCache, FeedUpdater, run_agent_link};
use crate::handler::RequestHandler;
use crate::listener::listen;
use crate::metrics::{Metrics, ProxyMetrics, metrics_line};
use crate::readiness::Readiness;
use crate::resource_limits::{DEFAULT_CONNECTIONS_PER_TRANSCRIBER, client_limits, request_body_budget_bytes};
use crate::shutdown::Shutdown;
use crate::signals::{ReceivedSignal, Signals};
use log::{info, warn};
use pebblepost_batch_runner::BatchRunner;
use pebblepost_memory::MemoryBudget;
use pebblepost_messages::feed::FeedUpdate;
use pebblepost_settings::Settings;
use pebblepost_transcriber::Client;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after SIGTERM until the platform sends no more connections. The platform needs two failed
/// readiness checks, which it makes once per second.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2800);
/// Time between the end of the process and the platform's SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(500);
/// Time between the last response deadline and the end of the process.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which the metrics are logged.
const METRICS_LOG_INTERVAL: Duration = Duration::from_secs(15);

/// A proxy that runs on the caller's `LocalSet`.
#[derive(Debug)]
pub struct Proxy {
    server: Rc<Server>,
    updater: Rc<FeedUpdater>,
    memory: MemoryBudget,
    reporter: MetricsReporter,
    runner: BatchRunner,
    shutdown: Rc<Shutdown>,
    shutdown_grace: Duration,
    client_address: SocketAddr,
    ready_address: SocketAddr,
}

impl Proxy {
    /// Opens the listeners and spawns all tasks on the caller's `LocalSet`.
    ///
    /// # Errors
    /// Returns an error if the settings lack an address or a listener can't be opened.
    ///
    /// # Panics
    /// Panics outside of a `LocalSet`.
    pub fn start(settings: Settings) -> Result<Proxy, ProxyError> {
        let ready_listener = listen(settings.readiness_address, "listen.ready")?;
        let client_listener = listen(settings.client_address, "listen.front")?;
        let client_address = client_listener.local_addr().map_err(ProxyError::LocalAddress)?;
        let ready_address = ready_listener.local_addr().map_err(ProxyError::LocalAddress)?;
        let server = Rc::new(Server::new(settings.limits.max_file_descriptors));

        let feed = Rc::new(FeedCache::default());
        let client = Client::new(client_limits(&settings.limits, DEFAULT_CONNECTIONS_PER_TRANSCRIBER));
        let memory = MemoryBudget::new(request_body_budget_bytes(&settings.limits));
        let runner = BatchRunner::start(&settings, client.clone(), feed.shared_state(), memory.clone());
        let backends = Rc::new(Backends::new(client.clone(), &settings.zone));
        let metrics = Rc::new(Metrics::default());
        let shutdown = Rc::new(Shutdown::new());
        let agent_address = SocketAddr::from((Ipv4Addr::LOCALHOST, settings.agent_link_port()));
        let reporter =
            MetricsReporter { metrics: metrics.clone(), client: client.clone(), runner: runner.clone() };
        let updater = Rc::new(FeedUpdater::new(
            feed.clone(),
            backends.clone(),
            client,
            runner.clone(),
            settings.limits.clone(),
        ));
        let handler = Rc::new(RequestHandler {
            feed: feed.clone(),
            backends,
            runner: runner.clone(),
            memory: memory.clone(),
            metrics: metrics.clone(),
            shutdown: shutdown.clone(),
        });
        let connections =
            Rc::new(ConnectionContext { handler, feed: feed.clone(), shutdown: shutdown.clone(), metrics });

        tokio::task::spawn_local(Readiness::new(feed, shutdown.clone()).serve(ready_listener));
        tokio::task::spawn_local(run_agent_link(updater.clone(), agent_address));
        tokio::task::spawn_local(reporter.clone().run());
        let accepting = server.clone();
        tokio::task::spawn_local(async move { accepting.accept(client_listener, connections).await });
        info!("serving clients={client_address} readiness={ready_address}");
        Ok(Proxy {
            server,
            updater,
            memory,
            reporter,
            runner,
            shutdown,
            shutdown_grace: settings.bounds.shutdown_grace,
            client_address,
            ready_address,
        })
    }

    /// Returns the address at which clients connect.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Returns the address of the readiness endpoint.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Applies feed updates as if the agent had sent them. They are in force when this returns.
    pub fn apply(&self, updates: &[FeedUpdate]) -> ApplyOutcome {
        self.updater.apply(updates)
    }

    /// Returns the counters since the start of the proxy.
    pub fn metrics(&self) -> ProxyMetrics {
        self.reporter.metrics.get()
    }

    /// Runs until SIGTERM, then shuts down gracefully. SIGHUP reloads the settings; during the shutdown
    /// it is ignored.
    pub async fn run_until_terminated(&self, signals: &mut Signals) {
        while signals.next().await != ReceivedSignal::Terminate {
            self.reload();
        }
        let mut shutdown = std::pin::pin!(self.shut_down());
        loop {
            tokio::select! {
                () = shutdown.as_mut() => return,
                () = signals.hang_up() => {}
            }
        }
    }

    /// Reads the settings again and applies their memory limit. Other settings need a restart.
    fn reload(&self) {
        match Settings::from_environment() {
            Ok(settings) => {
                self.memory.set_limit(request_body_budget_bytes(&settings.limits));
                self.updater.set_machine_limits(settings.limits);
                info!("settings reloaded, memory limits applied");
            }
            Err(error) => warn!("settings not reloaded, previous settings stay in force: {error:#}"),
        }
    }

    /// Shuts down gracefully within the grace period of the settings.
    ///
    /// Readiness checks fail at once. New connections are accepted until the platform has had time to
    /// notice that; then requests in flight are completed. Requests still in flight at the end of the
    /// grace period are abandoned.
    pub async fn shut_down(&self) {
        let grace = self.shutdown_grace;
        let end = Instant::now() + grace.saturating_sub(SIGKILL_MARGIN);
        info!("draining grace={:?}", grace.saturating_sub(SIGKILL_MARGIN));
        self.shutdown.begin_draining(end - RESPONSE_MARGIN.min(grace / 4));
        let runner = async {
            let timeout = grace.saturating_sub(SIGKILL_MARGIN + RESPONSE_MARGIN);
            self.runner.shut_down(timeout).await;
        };
        let connections = async {
            tokio::time::sleep(READINESS_PROPAGATION_TIME.min(grace / 2)).await;
            self.shutdown.begin_closing();
            self.server.wait_until_all_closed().await;
        };
        let all = async { tokio::join!(runner, connections) };
        if tokio::time::timeout_at(end, all).await.is_err() {
            warn!("grace period over, requests in flight are abandoned");
        }
        info!("{}", self.reporter.line());
        info!("proxy stopped");
    }
}

/// Logs the metrics of the proxy, of its client and of the batch runner.
#[derive(Clone, Debug)]
struct MetricsReporter {
    metrics: Rc<Metrics>,
    client: Client,
    runner: BatchRunner,
}

impl MetricsReporter {
    fn line(&self) -> String {
        metrics_line(self.metrics.get(), self.client.metrics(), self.runner.metrics())
    }

    async fn run(self) {
        loop {
            tokio::time::sleep(METRICS_LOG_INTERVAL).await;
            info!("{}", self.line());
        }
    }
}
