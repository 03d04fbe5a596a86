//! State shared by the tasks of a runner.

use crate::change_signal::ChangeSignal;
use crate::execution::Room;
use crate::feed_view::FeedView;
use crate::lease_table::LeaseTable;
use crate::load_table::LoadTable;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::placement::candidates::CandidateSelector;
use crate::placement::placer::Placer;
use crate::placement::probing::Prober;
use crate::random::Random;
use crate::scorer::ScorerLimits;
use crate::shutdown::ShutdownFlag;
use crate::store_links::StoreLinks;
use pebblepost_feed::FeedState;
use pebblepost_settings::Settings;
use pebblepost_transcriber::Client;
use std::cell::RefCell;
use std::rc::Rc;

/// State shared by the tasks of a runner.
pub(crate) struct Shared {
    pub(crate) node: String,
    pub(crate) zone: String,
    pub(crate) client: Client,
    pub(crate) feed: FeedView,
    pub(crate) links: StoreLinks,
    pub(crate) leases: RefCell<LeaseTable>,
    pub(crate) loads: Rc<RefCell<LoadTable>>,
    pub(crate) placer: Placer,
    pub(crate) outbox: Outbox,
    pub(crate) room: Room,
    pub(crate) scorer_limits: ScorerLimits,
    pub(crate) random: Rc<Random>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) shutdown: Rc<ShutdownFlag>,
    pub(crate) changes: ChangeSignal,
}

impl Shared {
    pub(crate) fn new(
        settings: &Settings, client: Client, feed: Rc<RefCell<FeedState>>, random: Random,
    ) -> Rc<Shared> {
        let feed = FeedView::new(feed);
        let loads: Rc<RefCell<LoadTable>> = Rc::default();
        let random = Rc::new(random);
        let metrics: Rc<Metrics> = Rc::default();
        let shutdown: Rc<ShutdownFlag> = Rc::default();
        let selector = CandidateSelector {
            feed: feed.clone(),
            loads: loads.clone(),
            random: random.clone(),
            node: settings.node_name.clone(),
            zone: settings.zone.clone(),
        };
        let prober = Prober { client: client.clone(), feed: feed.clone(), loads: loads.clone() };
        let placer = Placer {
            feed: feed.clone(),
            selector,
            prober,
            random: random.clone(),
            metrics: metrics.clone(),
            shutdown: shutdown.clone(),
        };
        Rc::new(Shared {
            node: settings.node_name.clone(),
            zone: settings.zone.clone(),
            client,
            feed,
            links: StoreLinks::default(),
            leases: RefCell::default(),
            loads,
            placer,
            outbox: Outbox::default(),
            room: Room::default(),
            scorer_limits: ScorerLimits::default(),
            random,
            metrics,
            shutdown,
            changes: ChangeSignal::default(),
        })
    }

    /// Acts on a change of the feed.
    pub(crate) fn feed_changed(self: &Rc<Self>) {
        self.links.follow_feed(self);
        self.loads.borrow_mut().retain(|id| self.feed.is_present(id));
        self.room.feed_changed();
        self.changes.notify();
    }
}
