//! Selection of the transcriber and the model to load next.
//!
//! The selection is a pure function of [`PlacementState`]. It counts, for each service, the concurrent loads and the
//! transcribers that serve each model, and then ranks the loads that are possible.

use crate::named_versions::NamedVersions;
use crate::transcriber::Transcriber;
use crate::version_lag::VersionLags;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Divisor for the limit on concurrent loads: at most one in this many transcribers of a service loads at the same
/// time. More concurrent loads slow each other down.
const CONCURRENT_LOADS_DIVISOR: usize = 3;

/// Target for the number of models whose jobs a transcriber serves with its loaded versions, on average.
const MODELS_PER_TRANSCRIBER: usize = 2;

/// A load for which an order is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Instance id of the transcriber.
    pub(crate) instance: String,
    pub(crate) model: String,
}

/// The input of the selection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementState<'a> {
    pub(crate) now: Duration,
    pub(crate) versions: &'a NamedVersions,
    pub(crate) lags: &'a VersionLags,
    /// Transcribers by instance id.
    pub(crate) transcribers: &'a BTreeMap<String, Transcriber>,
}

/// Counts over the transcribers of one service.
#[derive(Default)]
struct ServiceCounts<'a> {
    /// Ready transcribers from which the limit on concurrent loads is computed.
    counted_transcribers: usize,
    /// Transcribers whose pending order occupies a slot.
    loading: usize,
    loading_by_zone: BTreeMap<&'a str, usize>,
    by_model: BTreeMap<&'a str, ModelCounts>,
}

/// Counts over the ready transcribers of one service that have loaded a model.
#[derive(Clone, Copy, Default)]
struct ModelCounts {
    transcribers: usize,
    /// Transcribers that have loaded the newest version or are loading it.
    current: usize,
    /// Transcribers whose loaded version is recent enough for the jobs of the model, or that are loading the newest.
    serving: usize,
}

/// Rank of a possible load. The load with the lowest rank is selected; earlier fields take precedence.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    /// Whether the loaded version is recent enough for the jobs of the model. Transcribers whose version is too old
    /// come first.
    still_serves: bool,
    /// Number of transcribers that serve the jobs of the model.
    serving: usize,
    /// Time at which the newest version of the model was named.
    named_at: Duration,
    /// Number of versions behind the newest one. The transcriber with the largest lag comes first.
    lag: Reverse<u64>,
    /// Number of loads in the zone of the transcriber.
    loading_in_zone: usize,
    /// Number of requests that the transcriber is running.
    running_requests: u32,
    instance: &'a str,
    model: &'a str,
}

impl ServiceCounts<'_> {
    fn has_free_slot(&self) -> bool {
        self.loading < self.counted_transcribers.div_ceil(CONCURRENT_LOADS_DIVISOR).max(1)
    }

    fn model(&self, model: &str) -> ModelCounts {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Returns how many transcribers are to serve the jobs of a model.
    ///
    /// If more than two models share the transcribers, only a part of them serves each model. Otherwise the loads for
    /// all models would keep the transcribers busy.
    fn target_serving(&self, model: &str) -> usize {
        let transcribers = self.model(model).transcribers;
        let models = self.by_model.len().max(1);
        (transcribers * MODELS_PER_TRANSCRIBER).div_ceil(models).min(transcribers)
    }

    /// Returns how many transcribers are to have the newest version of a model whose jobs allow this lag.
    ///
    /// The transcribers take turns in loading new versions. If the service has a single model, all of them load every
    /// version, because the loads disturb no other model.
    fn target_current(&self, model: &str, allowed_lag: u64) -> usize {
        let turns = match self.by_model.len() {
            0 | 1 => 1,
            _ => usize::try_from(allowed_lag + 1).unwrap_or(usize::MAX),
        };
        self.target_serving(model).div_ceil(turns)
    }
}

impl<'a> PlacementState<'a> {
    /// Returns the load to order next, or `None` if no load is needed or no slot is free.
    pub(crate) fn next_placement(&self) -> Option<Placement> {
        let services = self.count_services();
        let mut best: Option<Rank<'_>> = None;
        for (instance, transcriber) in self.transcribers {
            if !transcriber.accepts_order(self.now) {
                continue;
            }
            let service = services.get(transcriber.backend.as_str());
            let Some(service) = service.filter(|service| service.has_free_slot()) else { continue };
            for (model, loaded) in &transcriber.loaded {
                let rank = self.rank(service, instance, transcriber, model, *loaded);
                let Some(rank) = rank else { continue };
                if best.as_ref().is_none_or(|best| rank < *best) {
                    best = Some(rank);
                }
            }
        }
        best.map(|best| Placement { instance: best.instance.to_owned(), model: best.model.to_owned() })
    }

    /// Returns the rank of a load, or `None` if it is not needed: the loaded version is the newest one, or enough
    /// transcribers serve the model.
    fn rank(
        &self, service: &ServiceCounts<'_>, instance: &'a str, transcriber: &Transcriber, model: &'a str,
        loaded: u64,
    ) -> Option<Rank<'a>> {
        let newest = self.versions.newer_than(model, loaded)?;
        let counts = service.model(model);
        let lag = newest.generation - loaded;
        let allowed_lag = self.lags.allowed(model);
        let still_serves = lag <= allowed_lag;
        let is_enough = match still_serves {
            true => counts.current >= service.target_current(model, allowed_lag),
            false => counts.serving >= service.target_serving(model),
        };
        if is_enough {
            return None;
        }
        Some(Rank {
            still_serves,
            serving: counts.serving,
            named_at: newest.named_at,
            lag: Reverse(lag),
            loading_in_zone: service.loading_by_zone.get(transcriber.zone.as_str()).copied().unwrap_or(0),
            running_requests: transcriber.running_requests,
            instance,
            model,
        })
    }

    fn count_services(&self) -> BTreeMap<&'a str, ServiceCounts<'a>> {
        let mut services: BTreeMap<&str, ServiceCounts<'_>> = BTreeMap::new();
        for transcriber in self.transcribers.values() {
            let service = services.entry(&transcriber.backend).or_default();
            let is_counted = transcriber.is_ready && self.now >= transcriber.counts_from;
            service.counted_transcribers += usize::from(is_counted);
            let loading =
                transcriber.pending_order.as_ref().filter(|pending| pending.occupies_slot(self.now));
            if loading.is_some() {
                service.loading += 1;
                *service.loading_by_zone.entry(&transcriber.zone).or_default() += 1;
            }
            if !transcriber.is_ready {
                // A draining transcriber accepts no new requests, so it serves none of its loaded models.
                continue;
            }
            for (model, loaded) in &transcriber.loaded {
                let Some(newest) = self.versions.get(model) else { continue };
                let is_loading = loading.is_some_and(|pending| {
                    pending.model == *model && pending.generation == newest.generation
                });
                let serves = loaded + self.lags.allowed(model) >= newest.generation;
                let counts = service.by_model.entry(model).or_default();
                counts.transcribers += 1;
                counts.current += usize::from(*loaded >= newest.generation || is_loading);
                counts.serving += usize::from(serves || is_loading);
            }
        }
        services
    }
}
