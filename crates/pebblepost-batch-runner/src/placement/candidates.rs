//! Selects the transcribers that may take a request, and the order in which they are probed.
//!
//! Reads the feed and the load table without changing them, and draws random numbers.

use crate::feed_view::FeedView;
use crate::identity::ProxyIdentity;
use crate::load_table::LoadTable;
use crate::placement::choice::{MAX_LOCAL_PROBES, ProbedLoad};
use crate::placement::requirements::Requirements;
use crate::placement::subset::{SubsetSize, rendezvous_hash, retain_subset};
use crate::random::Random;
use pebblepost_messages::feed::{Instance, InstanceState};
use pebblepost_transcriber::Target;
use std::cell::RefCell;
use std::rc::Rc;
use thiserror::Error;
use tokio::time::Instant;

/// No route in the current configuration matches the request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no route matches the request")]
pub(crate) struct NoRoute;

/// A transcriber that may take the request.
pub(crate) struct Candidate {
    pub(crate) target: Target,
    pub(crate) backend: String,
    pub(crate) slots: u32,
}

/// A candidate with its load, as reported or probed.
pub(crate) struct ProbedCandidate {
    pub(crate) candidate: Candidate,
    pub(crate) load: ProbedLoad,
    /// Version of the required model that the transcriber reported.
    pub(crate) version: Option<u64>,
}

/// A service of a route with its traffic weight.
#[derive(Clone, Copy)]
struct WeightedService<'a> {
    name: &'a str,
    /// Greater than 0.
    weight: u64,
}

/// A candidate with the properties that determine its position in the order.
struct RankedCandidate {
    candidate: Candidate,
    /// The transcriber is known to hold the model at an allowed version.
    is_serving: bool,
    is_remote: bool,
    rendezvous_hash: u64,
}

/// Selects the candidates for the placements of one proxy.
pub(crate) struct CandidateSelector {
    pub(crate) feed: FeedView,
    pub(crate) loads: Rc<RefCell<LoadTable>>,
    pub(crate) random: Rc<Random>,
    pub(crate) identity: Rc<ProxyIdentity>,
}

impl CandidateSelector {
    /// Returns the candidates of one service of the request's route, in the order in which they are probed.
    ///
    /// The service is drawn at random by weight. A service without candidates is skipped; the result is empty if no
    /// service has any, or if no configuration has arrived yet. `full_rounds` is the number of earlier rounds in
    /// which every probed transcriber was full.
    ///
    /// # Errors
    /// No route matches the request.
    pub(crate) fn select(
        &self, requirements: &Requirements<'_>, full_rounds: u32,
    ) -> Result<Vec<Candidate>, NoRoute> {
        let Some(configuration) = self.feed.configuration() else { return Ok(Vec::new()) };
        let route = configuration.route(requirements.hostname, requirements.path).ok_or(NoRoute)?;
        let mut services: Vec<WeightedService<'_>> = route
            .backends
            .iter()
            .filter(|(_, weight)| *weight > 0)
            .map(|(name, weight)| WeightedService { name, weight: *weight })
            .collect();
        while let Some(index) = self.draw_by_weight(&services) {
            let service = services.swap_remove(index);
            let candidates = self.candidates_of(service.name, requirements, full_rounds);
            if !candidates.is_empty() {
                return Ok(candidates);
            }
        }
        Ok(Vec::new())
    }

    /// Draws the index of a service by weight. Returns `None`, without drawing, if there is no service.
    fn draw_by_weight(&self, services: &[WeightedService<'_>]) -> Option<usize> {
        let total: u64 = services.iter().map(|service| service.weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = self.random.below(total);
        services.iter().position(|service| {
            let is_drawn = drawn < service.weight;
            drawn = drawn.saturating_sub(service.weight);
            is_drawn
        })
    }

    /// Returns the ready transcribers of a service that hold the model, reduced to this proxy's subset.
    ///
    /// Transcribers in the proxy's own zone come first, because traffic between zones is expensive. Each of the two
    /// parts is in random order. The result is empty while the feed names no allowed version and no transcriber is
    /// known to serve one.
    fn candidates_of(
        &self, backend: &str, requirements: &Requirements<'_>, full_rounds: u32,
    ) -> Vec<Candidate> {
        let mut ranked = self.ready_candidates(backend, requirements);
        let proxies = usize::try_from(self.feed.proxy_count()).unwrap_or(usize::MAX);
        let size = SubsetSize::new(ranked.len(), proxies).widened_after(full_rounds);
        ranked.sort_unstable_by_key(|ranked| (ranked.is_remote, ranked.rendezvous_hash));
        let serving = ranked.iter().filter(|ranked| ranked.is_serving).count();
        if serving == 0 {
            // One transcriber is probed nevertheless: it may have loaded the version before its announcement
            // arrives.
            let may_serve = self.feed.named_version(requirements.model) >= requirements.min_version;
            ranked.truncate(usize::from(may_serve));
        } else {
            retain_serving(&mut ranked, size, serving);
        }
        let local = ranked.iter().filter(|ranked| !ranked.is_remote).count();
        self.random.shuffle(&mut ranked[..local]);
        self.random.shuffle(&mut ranked[local..]);
        ranked.drain(local.min(MAX_LOCAL_PROBES)..local);
        ranked.into_iter().map(|ranked| ranked.candidate).collect()
    }

    fn ready_candidates(&self, backend: &str, requirements: &Requirements<'_>) -> Vec<RankedCandidate> {
        let now = Instant::now();
        let feed = self.feed.state();
        let loads = self.loads.borrow();
        let is_eligible = |instance: &&Instance| {
            instance.state == InstanceState::Ready
                && instance.backend == backend
                && !loads.is_ejected(&instance.id, now)
        };
        let instances = feed.instances().filter(is_eligible);
        instances.filter_map(|instance| self.rank(instance, requirements, &loads)).collect()
    }

    /// Returns the candidate for an instance, or `None` if it does not hold the model or its address is invalid.
    fn rank(
        &self, instance: &Instance, requirements: &Requirements<'_>, loads: &LoadTable,
    ) -> Option<RankedCandidate> {
        let announced = announced_version(instance, requirements.model)?;
        let known = announced.max(loads.version(&instance.id, requirements.model).unwrap_or(0));
        let address = instance.address.parse().ok()?;
        let target = Target { instance: instance.id.clone(), address };
        Some(RankedCandidate {
            candidate: Candidate { target, backend: instance.backend.clone(), slots: instance.slots },
            is_serving: known >= requirements.min_version,
            is_remote: instance.zone != self.identity.zone,
            rendezvous_hash: rendezvous_hash(&self.identity.node, &instance.id),
        })
    }
}

/// Retains the `serving` candidates that serve the model, reduced to a subset that contains about as many of them as
/// `size` states.
///
/// The set of transcribers that serve a model changes with every version. Subsetting all transcribers, not only the
/// serving ones, keeps the subset and therefore the open connections more stable.
fn retain_serving(ranked: &mut Vec<RankedCandidate>, size: SubsetSize, serving: usize) {
    let scaled = size.scaled_to_serving(ranked.len(), serving);
    let local = ranked.iter().filter(|ranked| !ranked.is_remote).count();
    let is_in_subset = |index: usize| match index < local {
        true => index < scaled.local,
        false => index - local < scaled.total - scaled.local.min(local),
    };
    let subset_serves =
        ranked.iter().enumerate().any(|(index, ranked)| ranked.is_serving && is_in_subset(index));
    let mut index = 0;
    ranked.retain(|ranked| {
        let retained = ranked.is_serving && (is_in_subset(index) || !subset_serves);
        index += 1;
        retained
    });
    retain_subset(ranked, size, |ranked| !ranked.is_remote);
}

/// Returns the version of a model that a transcriber announced, or `None` if it does not hold the model. If no model
/// is required, every transcriber qualifies.
fn announced_version(instance: &Instance, model: &str) -> Option<u64> {
    if model.is_empty() {
        return Some(u64::MAX);
    }
    instance.models.iter().find(|loaded| loaded.model == model).map(|loaded| loaded.generation)
}
