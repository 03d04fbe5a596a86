//! Batch runner of one proxy: builds the components, connects them and starts their tasks.

use crate::capacity::Capacity;
use crate::change_signal::ChangeSignal;
use crate::execution::attempt::AttemptRunner;
use crate::execution::blocked_items::BlockedItems;
use crate::execution::graceful_shutdown::GracefulShutdown;
use crate::execution::item::ItemExecutor;
use crate::execution::lease::LeaseExecutor;
use crate::execution::outcomes::OutcomeReporter;
use crate::execution::scorer::ScorerClient;
use crate::execution::work_requests::WorkRequester;
use crate::feed_view::FeedView;
use crate::identity::ProxyIdentity;
use crate::job::JobBody;
use crate::job::api::{self, JobApi};
use crate::lease_table::LeaseTable;
use crate::load_table::LoadTable;
use crate::metrics::Metrics;
use crate::placement::candidates::CandidateSelector;
use crate::placement::placer::Placer;
use crate::placement::probing::Prober;
use crate::random::Random;
use crate::shutdown::ShutdownFlag;
use crate::store::links::StoreLinks;
use crate::store::outbox::Outbox;
use crate::store_events::StoreEvents;
use pebblepost_configuration::Route;
use pebblepost_feed::FeedState;
use pebblepost_memory::{BlockBuffer, MemoryBudget};
use pebblepost_settings::Settings;
use pebblepost_transcriber::Client;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Batch runner of one proxy. Cheap to clone; clones share all state.
#[derive(Clone)]
pub struct BatchRunner {
    components: Rc<Components>,
}

/// Components that the public functions of the runner use.
struct Components {
    feed: FeedView,
    loads: Rc<RefCell<LoadTable>>,
    capacity: Rc<Capacity>,
    changes: Rc<ChangeSignal>,
    metrics: Rc<Metrics>,
    store_events: Rc<StoreEvents>,
    job_api: JobApi,
    graceful_shutdown: GracefulShutdown,
}

impl fmt::Debug for BatchRunner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BatchRunner").finish_non_exhaustive()
    }
}

impl BatchRunner {
    /// Starts the runner's tasks with `spawn_local`: links to the stores that the feed names, requests for work, and
    /// the outbox.
    ///
    /// `memory` bounds the answers to reads; submissions bring their reservation with them.
    ///
    /// The proxy must apply its feed updates to `feed` and call [`BatchRunner::feed_changed`] after each change.
    ///
    /// # Panics
    /// Panics outside a `tokio` `LocalSet`.
    pub fn start(
        settings: &Settings, client: Client, feed: Rc<RefCell<FeedState>>, memory: MemoryBudget,
    ) -> BatchRunner {
        BatchRunner::start_with_random(settings, client, feed, Random::default(), memory)
    }

    /// Like [`BatchRunner::start`], but with the caller's random number generator. A seeded generator makes a run
    /// repeatable.
    pub fn start_with_random(
        settings: &Settings, client: Client, feed: Rc<RefCell<FeedState>>, random: Random,
        memory: MemoryBudget,
    ) -> BatchRunner {
        let state = State::new(settings, client, FeedView::new(feed), random, memory);
        let outcomes =
            Rc::new(OutcomeReporter { leases: state.leases.clone(), outbox: state.outbox.clone() });
        let executor = state.lease_executor(&outcomes);
        let work_requester = WorkRequester {
            links: state.links.clone(),
            capacity: state.capacity.clone(),
            blocked: executor.blocked.clone(),
            shutdown: state.shutdown.clone(),
        };
        spawn_local(state.outbox.clone().run(state.links.clone()));
        spawn_local(work_requester.run());
        let runner = BatchRunner { components: Rc::new(state.into_components(executor, outcomes)) };
        runner.feed_changed();
        runner
    }

    /// Updates links, loads, capacity and waiting tasks after a change of the feed's state.
    pub fn feed_changed(&self) {
        let components = &self.components;
        components.store_events.apply_feed_change(&components.feed.state());
        components.loads.borrow_mut().retain(|id| components.feed.is_present(id), Instant::now());
        components.capacity.feed_changed();
        components.changes.notify();
    }

    /// Returns whether a path is that of a call about a submitted job (`/lots/ID`, `/items/ID`).
    pub fn is_job_call(path: &str) -> bool {
        api::is_job_call(path)
    }

    /// Answers a call: a `POST` under the prefix of a `rollout` route (with `route` given), or a call about a
    /// submitted job, for any host. The body of the request must be complete.
    pub async fn answer(
        &self, route: Option<&Route>, request: http::Request<BlockBuffer>,
    ) -> http::Response<JobBody> {
        self.components.job_api.answer(route, request).await
    }

    /// Returns the counters since the start.
    pub fn metrics(&self) -> &Metrics {
        &self.components.metrics
    }

    /// Shuts down gracefully: takes no new work, and returns unfinished items with their text so far to their
    /// stores. Returns when done, or after `limit`.
    pub async fn shut_down(&self, limit: Duration) {
        self.components.graceful_shutdown.run(limit).await;
    }
}

/// State that the components share, created before them.
struct State {
    memory: MemoryBudget,
    client: Client,
    feed: FeedView,
    identity: Rc<ProxyIdentity>,
    random: Rc<Random>,
    metrics: Rc<Metrics>,
    shutdown: Rc<ShutdownFlag>,
    changes: Rc<ChangeSignal>,
    loads: Rc<RefCell<LoadTable>>,
    leases: Rc<RefCell<LeaseTable>>,
    capacity: Rc<Capacity>,
    links: Rc<StoreLinks>,
    outbox: Rc<Outbox>,
}

impl State {
    fn new(
        settings: &Settings, client: Client, feed: FeedView, random: Random, memory: MemoryBudget,
    ) -> State {
        let identity =
            Rc::new(ProxyIdentity { node: settings.node_name.clone(), zone: settings.zone.clone() });
        let random = Rc::new(random);
        State {
            client,
            memory,
            capacity: Rc::new(Capacity::new(feed.clone())),
            feed,
            links: Rc::new(StoreLinks::new(identity.clone(), random.clone())),
            identity,
            random,
            metrics: Rc::default(),
            shutdown: Rc::default(),
            changes: Rc::default(),
            loads: Rc::default(),
            leases: Rc::default(),
            outbox: Rc::default(),
        }
    }

    fn prober(&self) -> Prober {
        Prober { client: self.client.clone(), feed: self.feed.clone(), loads: self.loads.clone() }
    }

    fn placer(&self, prober: Rc<Prober>) -> Placer {
        let selector = CandidateSelector {
            feed: self.feed.clone(),
            loads: self.loads.clone(),
            random: self.random.clone(),
            identity: self.identity.clone(),
        };
        Placer {
            feed: self.feed.clone(),
            selector,
            prober,
            random: self.random.clone(),
            metrics: self.metrics.clone(),
            shutdown: self.shutdown.clone(),
        }
    }

    fn blocked_items(&self, placer: Rc<Placer>) -> BlockedItems {
        BlockedItems {
            feed: self.feed.clone(),
            placer,
            links: self.links.clone(),
            capacity: self.capacity.clone(),
            random: self.random.clone(),
            watches: RefCell::default(),
            releases: Cell::default(),
        }
    }

    fn lease_executor(&self, outcomes: &Rc<OutcomeReporter>) -> Rc<LeaseExecutor> {
        let prober = Rc::new(self.prober());
        let placer = Rc::new(self.placer(prober.clone()));
        let blocked = Rc::new(self.blocked_items(placer.clone()));
        let scorers =
            ScorerClient::new(self.client.clone(), self.feed.clone(), placer.clone(), self.metrics.clone());
        let items = ItemExecutor {
            leases: self.leases.clone(),
            placer: placer.clone(),
            attempts: AttemptRunner { client: self.client.clone(), prober },
            scorers,
            outcomes: outcomes.clone(),
            blocked: blocked.clone(),
            capacity: self.capacity.clone(),
            random: self.random.clone(),
            metrics: self.metrics.clone(),
            shutdown: self.shutdown.clone(),
            changes: self.changes.clone(),
        };
        Rc::new(LeaseExecutor {
            leases: self.leases.clone(),
            capacity: self.capacity.clone(),
            placer,
            items: Rc::new(items),
            blocked,
            outcomes: outcomes.clone(),
            metrics: self.metrics.clone(),
            shutdown: self.shutdown.clone(),
        })
    }

    fn into_components(self, executor: Rc<LeaseExecutor>, outcomes: Rc<OutcomeReporter>) -> Components {
        let store_events = StoreEvents {
            links: self.links.clone(),
            leases: self.leases.clone(),
            outbox: self.outbox.clone(),
            capacity: self.capacity.clone(),
            blocked: executor.blocked.clone(),
            executor,
            changes: self.changes.clone(),
        };
        let graceful_shutdown = GracefulShutdown {
            flag: self.shutdown,
            changes: self.changes.clone(),
            leases: self.leases,
            outcomes,
            outbox: self.outbox,
            links: self.links.clone(),
        };
        Components {
            feed: self.feed,
            loads: self.loads,
            capacity: self.capacity,
            metrics: self.metrics,
            store_events: Rc::new(store_events),
            job_api: JobApi { links: self.links, changes: self.changes.clone(), memory: self.memory },
            graceful_shutdown,
            changes: self.changes,
        }
    }
}
