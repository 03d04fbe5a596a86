//! State shared by the tasks of a runner.

use crate::execution::Room;
use crate::lease_table::LeaseTable;
use crate::load_table::LoadTable;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::random::Random;
use crate::scorer::ScorerLimits;
use crate::store_links::StoreLinks;
use pebblepost_configuration::Configuration;
use pebblepost_feed::FeedState;
use pebblepost_messages::feed::{Instance, InstanceState};
use pebblepost_settings::Settings;
use pebblepost_transcriber::Client;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// State shared by the tasks of a runner.
pub(crate) struct Shared {
    pub(crate) node: String,
    pub(crate) zone: String,
    pub(crate) client: Client,
    pub(crate) feed: Rc<RefCell<FeedState>>,
    pub(crate) links: StoreLinks,
    pub(crate) leases: RefCell<LeaseTable>,
    pub(crate) load: RefCell<LoadTable>,
    pub(crate) outbox: Outbox,
    pub(crate) room: Room,
    pub(crate) scorer_limits: ScorerLimits,
    pub(crate) random: Random,
    pub(crate) counts: Metrics,
    /// No new work is begun.
    pub(crate) stopping: Cell<bool>,
    /// The feed, a link to a store or a lease has changed.
    pub(crate) changed: Notify,
}

impl Shared {
    pub(crate) fn new(
        settings: &Settings, client: Client, feed: Rc<RefCell<FeedState>>, random: Random,
    ) -> Rc<Shared> {
        Rc::new(Shared {
            node: settings.node_name.clone(),
            zone: settings.zone.clone(),
            client,
            feed,
            links: StoreLinks::default(),
            leases: RefCell::default(),
            load: RefCell::default(),
            outbox: Outbox::default(),
            room: Room::default(),
            scorer_limits: ScorerLimits::default(),
            random,
            counts: Metrics::default(),
            stopping: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Acts on a change of the feed.
    pub(crate) fn feed_changed(self: &Rc<Self>) {
        self.links.follow_feed(self);
        {
            let feed = self.feed.borrow();
            let is_known = |id: &str| is_present(feed.instance(id));
            self.load.borrow_mut().retain(is_known);
        }
        self.room.feed_changed();
        self.changed.notify_waiters();
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.feed.borrow().configuration().cloned()
    }

    /// Whether a transcriber takes new requests, at this moment.
    pub(crate) fn is_ready(&self, instance: &str) -> bool {
        let feed = self.feed.borrow();
        feed.instance(instance).is_some_and(|instance| instance.state == InstanceState::Ready)
    }

    /// Waits for a change, or for this long.
    pub(crate) async fn wait_for_change(&self, most: Duration) {
        // Either end of the wait has the caller look again.
        let _ = tokio::time::timeout(most, self.changed.notified()).await;
    }
}

fn is_present(instance: Option<&Instance>) -> bool {
    instance.is_some_and(|instance| instance.state != InstanceState::Gone)
}
