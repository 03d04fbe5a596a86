//! What the parts of the proxy share.

use crate::dispatch::Backends;
use crate::lifecycle::Lifecycle;
use crate::memory::MemoryBudget;
use crate::metrics::{Metrics, metrics_line};
use log::{debug, info};
use pebblepost_batch_runner::BatchRunner;
use pebblepost_configuration::{Configuration, Limits};
use pebblepost_feed::{FeedChanges, FeedState};
use pebblepost_messages::feed::{FeedUpdate, InstanceState};
use pebblepost_settings::{MachineLimits, Settings};
use pebblepost_transcriber::{Client, ClientLimits, Target};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Bounds on clients before the first configuration, which may allow much: nothing is turned away as too large by them
/// that a configuration would let in. What memory allows bounds the bodies.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 64 * 1024,
    max_body_bytes: usize::MAX,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// A transcriber's connection must come up in this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections to transcribers are kept so long.
const CLIENT_IDLE: Duration = Duration::from_secs(60);
/// Part of the memory that clients' bodies may take together.
const BODY_SHARE: u64 = 4;
/// Part of the memory that one answer of a transcriber may take.
const ANSWER_SHARE: u64 = 8;
/// Fewest connections to one transcriber.
const LEAST_CONNECTIONS: u32 = 2;
/// Connections to one transcriber before the configuration tells how many it takes.
const DEFAULT_CONNECTIONS: u32 = 16;

/// What came of updates of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// They are in force.
    InForce,
    /// A patch built on a configuration that is not held: the feed must be begun anew.
    Gap,
}

/// What the parts of the proxy share; one thread.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) feed: Rc<RefCell<FeedState>>,
    feed_seen: Cell<bool>,
    feed_changed: Notify,
    pub(crate) client: Client,
    pub(crate) backends: Backends,
    pub(crate) runner: BatchRunner,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) memory: MemoryBudget,
    pub(crate) lifecycle: Lifecycle,
}

impl Context {
    /// A proxy that knows its settings and nothing else; starts the batch runner's tasks.
    pub(crate) fn new(settings: Settings) -> Context {
        let feed = Rc::new(RefCell::new(FeedState::default()));
        let client = Client::new(client_limits(&settings.limits, DEFAULT_CONNECTIONS));
        let runner = BatchRunner::start(&settings, client.clone(), feed.clone());
        Context {
            backends: Backends::new(client.clone(), &settings.zone),
            memory: MemoryBudget::new(body_bytes(&settings.limits)),
            settings,
            feed,
            feed_seen: Cell::new(false),
            feed_changed: Notify::new(),
            client,
            runner,
            metrics: Rc::default(),
            lifecycle: Lifecycle::new(),
        }
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.feed.borrow().configuration().cloned()
    }

    /// The configuration in force, once there is one; `None` if none comes within `most`.
    pub(crate) async fn configuration_within(&self, most: Duration) -> Option<Arc<Configuration>> {
        let configured = async {
            loop {
                let changed = self.feed_changed.notified();
                if let Some(configuration) = self.configuration() {
                    return configuration;
                }
                changed.await;
            }
        };
        tokio::time::timeout(most, configured).await.ok()
    }

    /// Bounds on clients.
    pub(crate) fn limits(&self) -> Limits {
        self.feed.borrow().configuration().map_or(DEFAULT_LIMITS, |configuration| configuration.limits())
    }

    /// Whether it has all that it needs to serve.
    pub(crate) fn is_informed(&self) -> bool {
        self.feed_seen.get() && self.feed.borrow().configuration().is_some()
    }

    /// Takes updates of the feed in; when this returns, they are in force.
    pub(crate) fn apply(&self, updates: &[FeedUpdate]) -> Applied {
        let mut applied = Applied::InForce;
        for update in updates {
            let changes = self.feed.borrow_mut().apply(update);
            if changes.gap {
                applied = Applied::Gap;
            }
            self.take_changes(&changes);
        }
        self.feed_seen.set(true);
        self.backends.set_proxy_count(self.feed.borrow().proxy_count());
        self.client.set_limits(self.client_limits());
        self.runner.feed_changed();
        self.feed_changed.notify_waiters();
        applied
    }

    fn take_changes(&self, changes: &FeedChanges) {
        let feed = self.feed.borrow();
        for id in &changes.instances {
            let Some(instance) = feed.instance(id) else { continue };
            self.backends.update_instance(instance);
            if instance.state == InstanceState::Ready {
                continue;
            }
            debug!("transcriber {id} is {:?}", instance.state);
            if let Ok(address) = instance.address.parse() {
                self.client.close_idle(&Target { instance: id.clone(), address });
            }
        }
        if let Some(configuration) = feed.configuration().filter(|_| changes.configuration) {
            info!("configuration {} is in force", configuration.generation());
            self.backends.configure(&feed, configuration);
        }
    }

    /// Limits of the client: its share of what every transcriber takes.
    fn client_limits(&self) -> ClientLimits {
        let feed = self.feed.borrow();
        let services = feed.configuration().map(|configuration| configuration.services());
        let fewest = services.and_then(|services| services.iter().map(|service| service.max_conns).min());
        let each = fewest.map_or(DEFAULT_CONNECTIONS, |most| most / feed.proxy_count());
        client_limits(&self.settings.limits, each)
    }

    /// What this process has done, in one line of `name=value`.
    pub(crate) fn describe_counts(&self) -> String {
        metrics_line(self.metrics.get(), self.client.metrics(), self.runner.counts())
    }

    /// SIGHUP: takes over the limits of settings that were read anew.
    pub(crate) fn reload(&self, limits: &MachineLimits) {
        self.memory.set_most(body_bytes(limits));
    }
}

fn body_bytes(limits: &MachineLimits) -> usize {
    usize::try_from(limits.memory_bytes / BODY_SHARE).unwrap_or(usize::MAX)
}

fn client_limits(limits: &MachineLimits, connections: u32) -> ClientLimits {
    ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        max_connections_per_transcriber: connections.max(LEAST_CONNECTIONS) as usize,
        idle_timeout: CLIENT_IDLE,
        max_body_bytes: usize::try_from(limits.memory_bytes / ANSWER_SHARE).unwrap_or(usize::MAX),
    }
}
