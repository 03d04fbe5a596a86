//! The state of the cluster as the proxy's feed reported it last.
//!
//! A read-only view: the proxy owns the state and folds the feed into it.

use pebblepost_configuration::Configuration;
use pebblepost_feed::FeedState;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// A view of the feed's state; cheap to clone.
#[derive(Clone)]
pub(crate) struct FeedView {
    state: Rc<RefCell<FeedState>>,
}

impl FeedView {
    pub(crate) fn new(state: Rc<RefCell<FeedState>>) -> FeedView {
        FeedView { state }
    }

    /// The state itself; must not be held over an await point.
    pub(crate) fn state(&self) -> Ref<'_, FeedState> {
        self.state.borrow()
    }

    /// The configuration in force, if one has come.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state().configuration().cloned()
    }

    /// Whether a transcriber takes new requests.
    pub(crate) fn is_ready(&self, instance: &str) -> bool {
        self.state().instance(instance).is_some_and(is_ready)
    }

    /// Whether a transcriber is known and not gone.
    pub(crate) fn is_present(&self, instance: &str) -> bool {
        self.state().instance(instance).is_some_and(|instance| instance.state != InstanceState::Terminated)
    }

    /// Proxies that share the transcribers with this one, itself included.
    pub(crate) fn proxy_count(&self) -> u32 {
        self.state().proxy_count()
    }

    /// Newest version of a model that is named anywhere; 0 for none.
    pub(crate) fn named_version(&self, model: &str) -> u64 {
        self.state().named_version(model)
    }

    /// A percentage of this proxy's share of the ready slots of some services, rounded up.
    pub(crate) fn fair_share_of_slots(&self, percent: u64, is_service: impl Fn(&str) -> bool) -> u32 {
        let state = self.state();
        let slots: u64 = state
            .instances()
            .filter(|instance| is_ready(instance) && is_service(&instance.backend))
            .map(|instance| u64::from(instance.slots))
            .sum();
        let share = (slots * percent).div_ceil(100 * u64::from(state.proxy_count()));
        u32::try_from(share).unwrap_or(u32::MAX)
    }
}

fn is_ready(instance: &Instance) -> bool {
    instance.state == InstanceState::Ready
}
