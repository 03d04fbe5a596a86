//! State of the cluster as last reported by the proxy's feed.
//!
//! The view is read-only: the proxy owns the state and applies the feed updates to it.

use pebblepost_configuration::Configuration;
use pebblepost_feed::FeedState;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// View of the feed's state. Cheap to clone.
#[derive(Clone)]
pub(crate) struct FeedView {
    state: Rc<RefCell<FeedState>>,
}

impl FeedView {
    pub(crate) fn new(state: Rc<RefCell<FeedState>>) -> FeedView {
        FeedView { state }
    }

    /// Returns the state. The guard must not be held across an await point, because the proxy mutably borrows the
    /// state to apply updates.
    pub(crate) fn state(&self) -> Ref<'_, FeedState> {
        self.state.borrow()
    }

    /// Returns the current configuration, or `None` if none has arrived yet.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state().configuration().cloned()
    }

    /// Returns whether a transcriber accepts new requests.
    pub(crate) fn is_ready(&self, instance: &str) -> bool {
        self.state().instance(instance).is_some_and(is_ready)
    }

    /// Returns whether a transcriber is known and not terminated.
    pub(crate) fn is_present(&self, instance: &str) -> bool {
        self.state().instance(instance).is_some_and(|instance| instance.state != InstanceState::Terminated)
    }

    /// Returns the number of proxies that share the transcribers, including this one.
    pub(crate) fn proxy_count(&self) -> u32 {
        self.state().proxy_count()
    }

    /// Returns the newest version of a model that the feed names anywhere, or 0 if there is none.
    pub(crate) fn named_version(&self, model: &str) -> u64 {
        self.state().named_version(model)
    }

    /// Returns a percentage of this proxy's share of the ready slots of the selected services, rounded up.
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
