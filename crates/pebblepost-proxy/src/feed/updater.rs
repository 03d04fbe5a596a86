//! Applies feed updates to every part of the proxy that depends on them.

use super::cache::FeedCache;
use crate::dispatch::Backends;
use crate::resource_limits::{DEFAULT_CONNECTIONS_PER_TRANSCRIBER, client_limits};
use log::{debug, info};
use pebblepost_batch_runner::BatchRunner;
use pebblepost_feed::FeedChanges;
use pebblepost_messages::feed::{FeedUpdate, InstanceState};
use pebblepost_settings::MachineLimits;
use pebblepost_transcriber::{Client, ClientLimits, Target};
use std::cell::RefCell;
use std::rc::Rc;

/// Result of applying feed updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The updates are in force.
    InForce,
    /// A patch is based on a configuration that this proxy does not have. The feed must be restarted
    /// with a snapshot. The other updates are in force.
    ResyncNeeded,
}

/// Applies feed updates to the cache, the backends, the client and the batch runner.
#[derive(Debug)]
pub(crate) struct FeedUpdater {
    cache: Rc<FeedCache>,
    backends: Rc<Backends>,
    client: Client,
    runner: BatchRunner,
    machine_limits: RefCell<MachineLimits>,
}

impl FeedUpdater {
    /// Creates an updater of these parts. `machine_limits` are those of the settings.
    pub(crate) fn new(
        cache: Rc<FeedCache>, backends: Rc<Backends>, client: Client, runner: BatchRunner,
        machine_limits: MachineLimits,
    ) -> FeedUpdater {
        FeedUpdater { cache, backends, client, runner, machine_limits: RefCell::new(machine_limits) }
    }

    /// Replaces the limits of the settings, which have been read again.
    pub(crate) fn set_machine_limits(&self, machine_limits: MachineLimits) {
        *self.machine_limits.borrow_mut() = machine_limits;
        self.client.set_limits(self.client_limits());
    }

    /// Applies updates. They are in force when this returns.
    pub(crate) fn apply(&self, updates: &[FeedUpdate]) -> ApplyOutcome {
        let mut applied = ApplyOutcome::InForce;
        for update in updates {
            let changes = self.cache.apply(update);
            if changes.resync_needed {
                applied = ApplyOutcome::ResyncNeeded;
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
            debug!("transcriber accepts no requests transcriber={id} state={:?}", instance.state);
            if let Ok(address) = instance.address.parse() {
                self.client.remove_target(&Target { instance: id.clone(), address });
            }
        }
        if let Some(configuration) = feed.configuration().filter(|_| changes.configuration_changed) {
            info!("configuration in force generation={}", configuration.generation());
            self.backends.configure(&feed, configuration);
        }
    }

    /// Returns the limits of the client. The connection limit is this proxy's share of the smallest
    /// number of connections that a service accepts.
    fn client_limits(&self) -> ClientLimits {
        let feed = self.cache.state();
        let services = feed.configuration().map(|configuration| configuration.services());
        let min_connections =
            services.and_then(|services| services.iter().map(|service| service.max_conns).min());
        let share = min_connections
            .map_or(DEFAULT_CONNECTIONS_PER_TRANSCRIBER, |connections| connections / feed.proxy_count());
        client_limits(&self.machine_limits.borrow(), share)
    }

    /// Returns the generation of the configuration in force; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.cache.configuration().map_or(0, |configuration| configuration.generation())
    }
}
