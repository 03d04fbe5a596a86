//! Backends by name, and the choice of a backend for a route.

use super::backend::{Backend, BackendParameters};
use super::route_policy::RoutePolicy;
use pebblepost_configuration::{Configuration, Route, RouteKind};
use pebblepost_feed::FeedState;
use pebblepost_messages::feed::Instance;
use pebblepost_transcriber::Client;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Backends to which requests are forwarded. A backend is kept, with the estimates that its dispatcher
/// has learned, when no route names it any longer.
#[derive(Debug)]
pub(crate) struct Backends {
    client: Client,
    zone: String,
    proxy_count: Cell<u32>,
    by_name: RefCell<HashMap<String, Rc<Backend>>>,
}

impl Backends {
    /// Creates an empty set of backends. `zone` is the zone of this machine.
    pub(crate) fn new(client: Client, zone: &str) -> Backends {
        Backends { client, zone: zone.to_owned(), proxy_count: Cell::new(1), by_name: RefCell::default() }
    }

    /// Starts each backend that a route of the configuration names and that does not exist yet.
    pub(crate) fn configure(&self, feed: &FeedState, configuration: &Configuration) {
        for route in configuration.routes().iter().filter(|route| route.kind != RouteKind::Rollout) {
            for (backend, _) in &route.backends {
                self.start(feed, backend, &RoutePolicy::new(route));
            }
        }
    }

    fn start(&self, feed: &FeedState, name: &str, first_route: &RoutePolicy) {
        if self.by_name.borrow().contains_key(name) {
            return;
        }
        let parameters = BackendParameters {
            name,
            first_route,
            zone: &self.zone,
            proxy_count: self.proxy_count.get(),
            seed: rand::rng().random(),
        };
        let backend = Backend::start(parameters, self.client.clone());
        for instance in feed.instances().filter(|instance| instance.backend == name) {
            backend.update_instance(instance);
        }
        self.by_name.borrow_mut().insert(name.to_owned(), backend);
    }

    /// Applies the state of an instance to its backend.
    pub(crate) fn update_instance(&self, instance: &Instance) {
        let backend = self.by_name.borrow().get(&instance.backend).cloned();
        if let Some(backend) = backend {
            backend.update_instance(instance);
        }
    }

    /// Sets the number of proxies that share the backends.
    pub(crate) fn set_proxy_count(&self, proxy_count: u32) {
        if self.proxy_count.replace(proxy_count) != proxy_count {
            self.by_name.borrow().values().for_each(|backend| backend.set_proxy_count(proxy_count));
        }
    }

    /// Chooses the backend for a request, at random by weight among those with a ready worker, or among
    /// all of the route if none has one. Returns `None` if no backend can be chosen.
    pub(super) fn choose(&self, route: &Route) -> Option<Rc<Backend>> {
        let by_name = self.by_name.borrow();
        if let [(only, _)] = route.backends.as_slice() {
            return by_name.get(only).cloned();
        }
        let weighted = || route.backends.iter().filter(|(_, weight)| *weight > 0);
        let known = |name: &String| by_name.get(name);
        let is_ready = |name: &String| known(name).is_some_and(|backend| backend.has_ready_worker());
        let chosen = choose_weighted(weighted().filter(|(name, _)| is_ready(name)));
        let chosen = chosen.or_else(|| choose_weighted(weighted()));
        chosen.and_then(known).cloned()
    }
}

/// Chooses a name at random by weight. Returns `None` if the weights add up to zero.
fn choose_weighted<'a>(names: impl Iterator<Item = &'a (String, u64)> + Clone) -> Option<&'a String> {
    let total: u64 = names.clone().map(|(_, weight)| *weight).fold(0, u64::saturating_add);
    if total == 0 {
        return None;
    }
    let mut draw = rand::rng().random_range(0..total);
    for (name, weight) in names {
        if draw < *weight {
            return Some(name);
        }
        draw -= weight;
    }
    None
}
