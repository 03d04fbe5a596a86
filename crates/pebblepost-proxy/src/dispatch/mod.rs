//! Decisions on requests, and the attempts that follow from them.

mod attempts;
mod call;
mod events;
mod policy;
mod service;
mod sticky;
mod ticket;
mod verdict;
mod workers;

pub(crate) use events::EventBody;
pub(crate) use policy::RoutePolicy;

use crate::answer;
use crate::context::Context;
use crate::request::{RequestHead, WholeBody};
use attempts::Ending;
use call::{Call, Settled};
use http::Response;
use pebblepost_configuration::{Configuration, Route, RouteKind};
use pebblepost_feed::FeedState;
use pebblepost_messages::feed::Instance;
use pebblepost_transcriber::Client;
use rand::RngExt;
use service::Service;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The services that requests are sent to.
#[derive(Debug)]
pub(crate) struct Services {
    client: Client,
    zone: String,
    nodes: Cell<u32>,
    services: RefCell<HashMap<String, Rc<Service>>>,
}

impl Services {
    /// None yet. `zone`: of this machine.
    pub(crate) fn new(client: Client, zone: &str) -> Services {
        Services { client, zone: zone.to_owned(), nodes: Cell::new(1), services: RefCell::default() }
    }

    /// A configuration came: services that its routes name and that are not known yet are started.
    pub(crate) fn configure(&self, feed: &FeedState, configuration: &Configuration) {
        for route in configuration.routes().iter().filter(|route| route.kind != RouteKind::Rollout) {
            for (backend, _) in &route.backends {
                self.start(feed, backend, &RoutePolicy::of(route));
            }
        }
    }

    fn start(&self, feed: &FeedState, backend: &str, policy: &RoutePolicy) {
        if self.services.borrow().contains_key(backend) {
            return;
        }
        let (client, seed) = (self.client.clone(), rand::rng().random());
        let service = Service::start(backend, policy, &self.zone, self.nodes.get(), seed, client);
        for instance in feed.instances().filter(|instance| instance.backend == backend) {
            service.update(instance);
        }
        self.services.borrow_mut().insert(backend.to_owned(), service);
    }

    /// A transcriber was announced anew.
    pub(crate) fn update(&self, instance: &Instance) {
        let service = self.services.borrow().get(&instance.backend).cloned();
        if let Some(service) = service {
            service.update(instance);
        }
    }

    /// The number of proxies has changed.
    pub(crate) fn set_nodes(&self, nodes: u32) {
        if self.nodes.replace(nodes) != nodes {
            self.services.borrow().values().for_each(|service| service.set_nodes(nodes));
        }
    }

    /// The service for a request: by weighted random choice, among those with transcribers if
    /// there are any.
    fn choose(&self, route: &Route) -> Option<Rc<Service>> {
        let services = self.services.borrow();
        if let [(only, _)] = route.backends.as_slice() {
            return services.get(only).cloned();
        }
        let split = || route.backends.iter().filter(|(_, weight)| *weight > 0);
        let known = |name: &String| services.get(name);
        let ready = |name: &String| known(name).is_some_and(|service| service.any_ready());
        let chosen = weighted(split().filter(|(name, _)| ready(name)));
        let chosen = chosen.or_else(|| weighted(split()));
        chosen.and_then(known).cloned()
    }
}

/// A random name, by weight.
fn weighted<'a>(split: impl Iterator<Item = &'a (String, u64)> + Clone) -> Option<&'a String> {
    let total: u64 = split.clone().map(|(_, weight)| *weight).fold(0, u64::saturating_add);
    if total == 0 {
        return None;
    }
    let mut draw = rand::rng().random_range(0..total);
    for (name, weight) in split {
        if draw < *weight {
            return Some(name);
        }
        draw -= weight;
    }
    None
}

/// Sends a request on and answers it. `deadline`: when its client must have the answer.
pub(crate) async fn dispatch(
    context: &Rc<Context>, route: &Route, head: RequestHead, body: WholeBody, deadline: Instant,
) -> Response<answer::Payload> {
    let policy = RoutePolicy::of(route);
    let Some(service) = context.services.choose(route) else {
        context.counters.count(|counts| counts.refused += 1);
        return answer::refused(policy.target_latency);
    };
    let key = if policy.sticky { sticky::key(&head.headers) } else { 0 };
    let method = head.method.clone();
    let mut call = Call::new(service, policy, head, body, key, deadline);
    let settled = call.settle().await;
    let counters = &context.counters;
    match settled {
        Settled::Answer(whole) | Settled::Ended(Ending::Failure(whole)) => {
            counters.count(|counts| counts.answered += 1);
            answer::of_transcriber(whole, &method)
        }
        Settled::Stream(stream) => {
            counters.count(|counts| counts.answered += 1);
            let head = stream.head.clone();
            answer::of_stream(head, EventBody::new(context.clone(), call, stream))
        }
        Settled::Ended(Ending::Refused(after)) => {
            counters.count(|counts| counts.refused += 1);
            answer::refused(after)
        }
        Settled::Ended(Ending::Unknown(status)) => {
            counters.count(|counts| counts.failed += 1);
            answer::own(status)
        }
    }
}
