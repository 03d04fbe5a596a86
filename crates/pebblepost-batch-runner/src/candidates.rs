//! Which transcribers may take a request, and in which order they are probed.

use crate::placement::choice::MAX_LOCAL_PROBES;
use crate::placement::subset::{self, SubsetSize, rendezvous_hash};
use crate::placing::Need;
use crate::shared::Shared;
use pebblepost_messages::feed::{Instance, InstanceState};
use pebblepost_transcriber::Target;
use tokio::time::Instant;

/// A transcriber that may take the request.
pub(crate) struct Candidate {
    pub(crate) target: Target,
    pub(crate) backend: String,
    pub(crate) slots: u32,
}

/// Candidates for one placement.
pub(crate) enum Candidates {
    /// These, in the order of their probes; empty if none is ready.
    Of(Vec<Candidate>),
    /// There is no route.
    NoRoute,
}

/// A candidate with what its place in the order depends on.
struct Found {
    candidate: Candidate,
    /// Its version of the model is not known to be allowed.
    is_old: bool,
    is_far: bool,
    affinity: u64,
}

impl Shared {
    /// Transcribers of a service that the configuration in force names for this request, which found all full so often.
    pub(crate) fn candidates(&self, need: &Need<'_>, tries: u32) -> Candidates {
        let Some(configuration) = self.configuration() else { return Candidates::Of(Vec::new()) };
        let Some(route) = configuration.route(need.hostname, need.path) else {
            return Candidates::NoRoute;
        };
        let mut backends: Vec<(&str, u64)> = route
            .backends
            .iter()
            .filter(|(_, weight)| *weight > 0)
            .map(|(name, weight)| (name.as_str(), *weight))
            .collect();
        while let Some(index) = self.weighted_pick(&backends) {
            let (backend, _) = backends.swap_remove(index);
            let candidates = self.ready_instances(backend, need, tries);
            if !candidates.is_empty() {
                return Candidates::Of(candidates);
            }
        }
        Candidates::Of(Vec::new())
    }

    fn weighted_pick(&self, backends: &[(&str, u64)]) -> Option<usize> {
        let total: u64 = backends.iter().map(|(_, weight)| weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = self.random.below(total);
        backends.iter().position(|(_, weight)| {
            let is_here = drawn < *weight;
            drawn = drawn.saturating_sub(*weight);
            is_here
        })
    }

    /// Ready transcribers of a service that hold the model, those first that are known to hold it
    /// at an allowed version; of these, this proxy's subset: a few of the own zone first, as bytes between zones are
    /// dear; each part in random order. None while no allowed version is named.
    fn ready_instances(&self, backend: &str, need: &Need<'_>, tries: u32) -> Vec<Candidate> {
        let mut found = self.find_ready(backend, need);
        let proxies = usize::try_from(self.feed.borrow().proxy_count()).unwrap_or(usize::MAX);
        let size = SubsetSize::new(found.len(), proxies).widened_after(tries);
        found.sort_unstable_by_key(|found| (found.is_far, found.affinity));
        let serving = found.iter().filter(|found| !found.is_old).count();
        if serving == 0 {
            let may_hold = self.feed.borrow().named_version(need.model) >= need.min_version;
            found.truncate(usize::from(may_hold));
        } else {
            keep_serving(&mut found, size, serving);
        }
        let near = found.iter().filter(|found| !found.is_far).count();
        self.random.shuffle(&mut found[..near]);
        self.random.shuffle(&mut found[near..]);
        found.drain(near.min(MAX_LOCAL_PROBES)..near);
        found.into_iter().map(|found| found.candidate).collect()
    }

    fn find_ready(&self, backend: &str, need: &Need<'_>) -> Vec<Found> {
        let now = Instant::now();
        let feed = self.feed.borrow();
        let load = self.load.borrow();
        let mut ready = Vec::new();
        for instance in feed.instances() {
            if instance.state != InstanceState::Ready || instance.backend != backend {
                continue;
            }
            if load.is_ejected(&instance.id, now) {
                continue;
            }
            let Some(announced) = announced_version(instance, need.model) else { continue };
            let known = announced.max(load.version(&instance.id, need.model).unwrap_or(0));
            let Ok(address) = instance.address.parse() else { continue };
            let is_far = instance.zone != self.zone;
            let affinity = rendezvous_hash(&self.node, &instance.id);
            let target = Target { instance: instance.id.clone(), address };
            let candidate = Candidate { target, backend: instance.backend.clone(), slots: instance.slots };
            ready.push(Found { candidate, is_old: known < need.min_version, is_far, affinity });
        }
        ready
    }
}

/// Keeps those that serve the request, `serving` of all, from a subset that holds about as many of them as `size` says.
/// Which transcribers serve a model changes with every version: a subset drawn from all changes less than one drawn from
/// them, and connections with it.
fn keep_serving(found: &mut Vec<Found>, size: SubsetSize, serving: usize) {
    let wide = size.scaled_to_serving(found.len(), serving);
    let near = found.iter().filter(|found| !found.is_far).count();
    let is_in_subset = |index: usize| match index < near {
        true => index < wide.local,
        false => index - near < wide.total - wide.local.min(near),
    };
    let any_serves = found.iter().enumerate().any(|(index, found)| !found.is_old && is_in_subset(index));
    let mut index = 0;
    found.retain(|found| {
        let keep = !found.is_old && (is_in_subset(index) || !any_serves);
        index += 1;
        keep
    });
    subset::retain_subset(found, size, |found| !found.is_far);
}

/// The version of a model that a transcriber announced; `None` if it holds no such model. Where no
/// model is needed, any version will do.
fn announced_version(instance: &Instance, model: &str) -> Option<u64> {
    if model.is_empty() {
        return Some(u64::MAX);
    }
    instance.models.iter().find(|held| held.model == model).map(|held| held.generation)
}
