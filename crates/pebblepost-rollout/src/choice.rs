//! Which transcriber loads which model next.

use crate::slack::ObservedSlack;
use crate::transcriber::Transcriber;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// One in so many transcribers of a service loads at once: more of them slow each other down.
const LOAD_SHARE: usize = 3;

/// Models for which a transcriber is to hold a version that serves their jobs, on average.
const MODELS_EACH: usize = 2;

/// A model's newest named version.
#[derive(Clone, Debug)]
pub(crate) struct NamedVersion {
    /// The version.
    pub(crate) generation: u64,
    /// Texts must be made under one version.
    pub(crate) single_version: bool,
    /// When it was named.
    pub(crate) named_at: Duration,
}

/// The transcriber and model to order next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Choice {
    /// Identity of the transcriber.
    pub(crate) instance: String,
    /// The model.
    pub(crate) model: String,
}

/// Loads of one service.
#[derive(Default)]
struct ServiceLoads<'a> {
    /// Transcribers that are ready and no newcomers.
    transcribers: usize,
    loading: usize,
    loading_in_zone: BTreeMap<&'a str, usize>,
    /// For each model, the transcribers that hold or load its newest version.
    current: BTreeMap<&'a str, usize>,
    /// For each model, the transcribers whose version serves its jobs, or will once it is loaded.
    serving: BTreeMap<&'a str, usize>,
    /// For each model, the ready transcribers that hold it.
    holders: BTreeMap<&'a str, usize>,
}

impl ServiceLoads<'_> {
    fn has_place(&self) -> bool {
        self.loading < self.transcribers.div_ceil(LOAD_SHARE).max(1)
    }

    /// Transcribers that are to serve the jobs of a model. Where several models share the transcribers, not each of
    /// them needs all: loads would keep them busy.
    fn wanted_serving(&self, model: &str) -> usize {
        let holders = self.holders.get(model).copied().unwrap_or(0);
        let models = self.holders.len().max(1);
        (holders * MODELS_EACH).div_ceil(models).min(holders)
    }

    /// Transcribers that are to hold the newest version of a model whose jobs allow versions so far behind: they
    /// take turns, unless it is the only model, whose loads disturb no other.
    fn wanted_current(&self, model: &str, slack: u64) -> usize {
        let turns = match self.holders.len() {
            0 | 1 => 1,
            _ => usize::try_from(slack + 1).unwrap_or(usize::MAX),
        };
        self.wanted_serving(model).div_ceil(turns)
    }
}

/// Whether a newer version of a model is named than the one held.
pub(crate) fn is_behind(named: &BTreeMap<String, NamedVersion>, model: &str, held: u64) -> bool {
    named.get(model).is_some_and(|newest| newest.generation > held)
}

/// Picks the next order, if there is a place for one. Transcribers whose version no longer serves the jobs of its model
/// come first. Then models of which the fewest transcribers serve the jobs, then the version named earliest; among the transcribers of a
/// model, the one furthest behind, then one in the zone with the fewest loads, then the least busy.
pub(crate) fn next(
    now: Duration, named: &BTreeMap<String, NamedVersion>, slacks: &BTreeMap<String, ObservedSlack>,
    transcribers: &BTreeMap<String, Transcriber>,
) -> Option<Choice> {
    let services = loads_of_services(now, named, slacks, transcribers);
    let mut best = None;
    for (instance, transcriber) in transcribers {
        if !may_be_ordered(now, transcriber) {
            continue;
        }
        let Some(loads) = services.get(transcriber.backend.as_str()).filter(|loads| loads.has_place()) else {
            continue;
        };
        let in_zone = loads.loading_in_zone.get(transcriber.zone.as_str()).copied().unwrap_or(0);
        for (model, held) in &transcriber.held {
            let Some(newest) = named.get(model).filter(|newest| newest.generation > *held) else { continue };
            let current = loads.current.get(model.as_str()).copied().unwrap_or(0);
            let behind = newest.generation - held;
            let slack = slack_of(slacks, model);
            let still_serves = behind <= slack;
            let serving = loads.serving.get(model.as_str()).copied().unwrap_or(0);
            let is_enough = match still_serves {
                true => current >= loads.wanted_current(model, slack),
                false => serving >= loads.wanted_serving(model),
            };
            if is_enough {
                continue;
            }
            let rank = (
                still_serves,
                serving,
                newest.named_at,
                Reverse(behind),
                in_zone,
                transcriber.running,
                instance,
                model,
            );
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
    }
    best.map(|(.., instance, model)| Choice { instance: instance.clone(), model: model.clone() })
}

fn slack_of(slacks: &BTreeMap<String, ObservedSlack>, model: &str) -> u64 {
    slacks.get(model).map_or(0, ObservedSlack::versions)
}

fn may_be_ordered(now: Duration, transcriber: &Transcriber) -> bool {
    transcriber.ready && transcriber.work.is_none() && now >= transcriber.not_until
}

fn loads_of_services<'a>(
    now: Duration, named: &BTreeMap<String, NamedVersion>, slacks: &BTreeMap<String, ObservedSlack>,
    transcribers: &'a BTreeMap<String, Transcriber>,
) -> BTreeMap<&'a str, ServiceLoads<'a>> {
    let mut services: BTreeMap<&str, ServiceLoads<'_>> = BTreeMap::new();
    for transcriber in transcribers.values() {
        let loads = services.entry(&transcriber.backend).or_default();
        loads.transcribers += usize::from(transcriber.ready && now >= transcriber.counts_from);
        let work = transcriber.work.as_ref().filter(|work| work.takes_place(now));
        if work.is_some() {
            loads.loading += 1;
            *loads.loading_in_zone.entry(&transcriber.zone).or_default() += 1;
        }
        // Those that leave take no new requests, whatever they hold.
        for (model, held) in transcriber.held.iter().filter(|_| transcriber.ready) {
            let Some(newest) = named.get(model) else { continue };
            *loads.holders.entry(model).or_default() += 1;
            let is_loading =
                work.is_some_and(|work| work.model == *model && work.generation == newest.generation);
            if *held >= newest.generation || is_loading {
                *loads.current.entry(model).or_default() += 1;
            }
            if held + slack_of(slacks, model) >= newest.generation || is_loading {
                *loads.serving.entry(model).or_default() += 1;
            }
        }
    }
    services
}
