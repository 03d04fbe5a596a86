//! Brings updates of the feed into force in every part of the proxy that depends on them.

use super::cache::FeedCache;
use crate::dispatch::Backends;
use crate::resource_limits::{DEFAULT_CONNECTIONS, client_limits};
use log::{debug, info};
use pebblepost_batch_runner::BatchRunner;
use pebblepost_feed::FeedChanges;
use pebblepost_messages::feed::{FeedUpdate, InstanceState};
use pebblepost_settings::MachineLimits;
use pebblepost_transcriber::{Client, ClientLimits, Target};
use std::rc::Rc;

/// What came of updates of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// They are in force.
    InForce,
    /// A patch builds on a configuration that this proxy does not have: the feed must be begun
    /// again.
    Gap,
}

/// Applies updates of the feed.
#[derive(Debug)]
pub(crate) struct FeedUpdater {
    cache: Rc<FeedCache>,
    backends: Rc<Backends>,
    client: Client,
    runner: BatchRunner,
    machine_limits: MachineLimits,
}

impl FeedUpdater {
    /// An updater of these parts. `machine_limits`: of the settings at the start.
    pub(crate) fn new(
        cache: Rc<FeedCache>, backends: Rc<Backends>, client: Client, runner: BatchRunner,
        machine_limits: MachineLimits,
    ) -> FeedUpdater {
        FeedUpdater { cache, backends, client, runner, machine_limits }
    }

    /// Applies updates; when this returns, they are in force.
    pub(crate) fn apply(&self, updates: &[FeedUpdate]) -> Applied {
        let mut applied = Applied::InForce;
        for update in updates {
            let changes = self.cache.apply(update);
            if changes.resync_needed {
                applied = Applied::Gap;
            }
            self.apply_changes(&changes);
        }
        self.cache.set_received();
        self.backends.set_proxy_count(self.cache.state().proxy_count());
        self.client.set_limits(self.client_limits());
        self.runner.feed_changed();
        self.cache.notify_changed();
        applied
    }

    fn apply_changes(&self, changes: &FeedChanges) {
        let feed = self.cache.state();
        for id in &changes.changed_instances {
            let Some(instance) = feed.instance(id) else { continue };
            self.backends.update_instance(instance);
            if instance.state == InstanceState::Ready {
                continue;
            }
            debug!("transcriber takes no requests transcriber={id} state={:?}", instance.state);
            if let Ok(address) = instance.address.parse() {
                self.client.remove_target(&Target { instance: id.clone(), address });
            }
        }
        if let Some(configuration) = feed.configuration().filter(|_| changes.configuration_changed) {
            info!("configuration in force generation={}", configuration.generation());
            self.backends.configure(&feed, configuration);
        }
    }

    /// Limits of the client: this proxy's share of the connections that every transcriber takes.
    fn client_limits(&self) -> ClientLimits {
        let feed = self.cache.state();
        let services = feed.configuration().map(|configuration| configuration.services());
        let fewest = services.and_then(|services| services.iter().map(|service| service.max_conns).min());
        let share = fewest.map_or(DEFAULT_CONNECTIONS, |connections| connections / feed.proxy_count());
        client_limits(&self.machine_limits, share)
    }

    /// Generation of the configuration in force; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.cache.configuration().map_or(0, |configuration| configuration.generation())
    }
}
