//! A simulated fleet of transcribers with a simulated clock, for the property tests of the planner.

pub mod digest;

use digest::Digest;
use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use pebblepost_rollout::{LoadOrder, OrderOutcome, PlanOutput, Planner, TranscriberReport};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
/// Time between two ticks of the planner.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Age of the state that a report shows.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time between two announcements of a transcriber.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1200);
/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after a fault of a transcriber for which its load does not count towards the limit on concurrent loads.
const FAULT_GRACE: Duration = Duration::from_secs(3);

/// Rates of the injected faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// One answer in this many is lost after the transcriber has acted on the request; 0 for none.
    pub lost_answers: u64,
    /// Mean time between two crashes of a transcriber in the fleet.
    pub crash_every: Option<Duration>,
    /// Mean time between two hangs of a transcriber in the fleet.
    pub hang_every: Option<Duration>,
}

/// Size of a fleet and duration of its loads.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    pub transcribers: usize,
    pub models: usize,
    /// Time that a load takes if not too many run concurrently.
    pub load: Duration,
}

/// A SplitMix64 generator.
#[derive(Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}

#[derive(Clone, Debug)]
struct Load {
    model: String,
    generation: u64,
    remaining: Duration,
}

#[derive(Debug)]
struct SimulatedTranscriber {
    id: String,
    zone: String,
    versions: BTreeMap<String, u64>,
    load: Option<Load>,
    sequence: u64,
    next_heartbeat: Duration,
    hangs_until: Duration,
    last_fault: Duration,
    /// Time, whether a load was in progress, and loaded versions of past steps, from which reports are made.
    history: VecDeque<(Duration, bool, BTreeMap<String, u64>)>,
}

#[derive(Debug)]
enum Event {
    Announce(Instance),
    OrderArrives(LoadOrder),
    OrderAnswered(LoadOrder, OrderOutcome),
    PollArrives(String),
    Reported(String, Option<TranscriberReport>),
}

/// A planner and the fleet that it controls.
#[derive(Debug)]
pub struct Simulation {
    pub now: Duration,
    pub planner: Planner,
    pub orders: usize,
    pub polls: usize,
    pub loads: usize,
    pub most_loading: usize,
    /// Times at which each version of a model was first and last loaded.
    pub load_times: BTreeMap<(String, u64), (Duration, Duration)>,
    pub faults: Faults,
    /// Digest of the outputs of the planner and of the wake times that it returns.
    pub digest: Digest,
    shape: FleetShape,
    random: Random,
    transcribers: Vec<SimulatedTranscriber>,
    events: BTreeMap<(Duration, u64), Event>,
    event_number: u64,
    named: BTreeMap<String, u64>,
    loaded: BTreeSet<(String, String, u64)>,
    unanswered: BTreeSet<String>,
    starts: u64,
    next_tick: Duration,
}

impl Simulation {
    pub fn new(shape: FleetShape, faults: Faults, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now: Duration::ZERO,
            planner: Planner::new(Duration::ZERO),
            orders: 0,
            polls: 0,
            loads: 0,
            most_loading: 0,
            load_times: BTreeMap::new(),
            faults,
            digest: Digest::default(),
            shape,
            random: Random(seed),
            transcribers: Vec::new(),
            events: BTreeMap::new(),
            event_number: 0,
            named: BTreeMap::new(),
            loaded: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            starts: 0,
            next_tick: Duration::ZERO,
        };
        let versions: BTreeMap<String, u64> =
            (0..shape.models).map(|number| (model_name(number), 1)).collect();
        for number in 0..shape.transcribers {
            let transcriber = simulation.start(format!("zone-{}", number % 3), versions.clone());
            simulation.transcribers.push(transcriber);
        }
        simulation
    }

    pub fn name_version(&mut self, model: &str, generation: u64, single_version: bool) {
        self.named.insert(model.to_owned(), generation);
        self.planner.set_named_version(self.now, model, generation, single_version);
        self.apply_outputs();
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the fleet has converged and returns the time taken. Panics after `max_duration`.
    pub fn run_until_converged(&mut self, max_duration: Duration) -> Duration {
        let start = self.now;
        while !self.has_converged() {
            assert!(
                self.now < start + max_duration,
                "not converged after {max_duration:?}: {:?}",
                self.transcribers
            );
            self.step();
        }
        self.now - start
    }

    /// Returns how many transcribers are to load the newest version of each model: all of them, unless more than two
    /// models share them.
    pub fn target_per_model(&self) -> usize {
        let count = self.transcribers.len();
        count.min((2 * count).div_ceil(self.named.len().max(1)))
    }

    /// Whether at least the target number of transcribers have loaded the newest version of each model.
    pub fn has_converged(&self) -> bool {
        let target = self.target_per_model();
        self.named.iter().all(|(model, generation)| {
            let holds =
                |transcriber: &&SimulatedTranscriber| transcriber.versions.get(model) == Some(generation);
            self.transcribers.iter().filter(holds).count() >= target
        })
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        self.advance_loads();
        self.send_heartbeats();
        self.deliver();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK_PERIOD;
            self.planner.tick(self.now);
            let wake_in = self.planner.next_wake(self.now).map(|at| at.saturating_sub(self.now).as_millis());
            self.digest
                .add_number(wake_in.map_or(u64::MAX, |millis| u64::try_from(millis).expect("a short run")));
        }
        self.apply_outputs();
        self.record_states();
    }

    fn start(&mut self, zone: String, versions: BTreeMap<String, u64>) -> SimulatedTranscriber {
        self.starts += 1;
        SimulatedTranscriber {
            id: format!("i-{}", self.starts),
            zone,
            versions,
            load: None,
            sequence: 0,
            next_heartbeat: self.now,
            hangs_until: Duration::ZERO,
            last_fault: Duration::ZERO,
            history: VecDeque::new(),
        }
    }

    fn occurs(&mut self, every: Option<Duration>) -> bool {
        let Some(every) = every else { return false };
        let steps = u64::try_from(every.as_millis() / STEP.as_millis()).expect("short");
        self.random.below(steps) == 0
    }

    fn inject_faults(&mut self) {
        if self.occurs(self.faults.crash_every) {
            let index = self.random.below(self.transcribers.len() as u64) as usize;
            let terminated = self.announcement(index, InstanceState::Terminated);
            let (zone, versions) =
                (self.transcribers[index].zone.clone(), self.transcribers[index].versions.clone());
            self.unanswered.remove(&terminated.id);
            let delay = Duration::from_millis(self.random.below(2000));
            self.schedule(delay, Event::Announce(terminated));
            self.transcribers[index] = self.start(zone, versions);
        }
        if self.occurs(self.faults.hang_every) {
            let index = self.random.below(self.transcribers.len() as u64) as usize;
            let length = Duration::from_millis(500 + self.random.below(5000));
            self.transcribers[index].hangs_until = self.now + length;
        }
        for transcriber in &mut self.transcribers {
            if transcriber.hangs_until > self.now {
                transcriber.last_fault = self.now;
            }
        }
    }

    fn advance_loads(&mut self) {
        let loading = self.transcribers.iter().filter(|transcriber| transcriber.load.is_some()).count();
        let max_full_speed_loads = self.shape.transcribers.div_ceil(3);
        let slowdown =
            if loading > max_full_speed_loads { (loading - max_full_speed_loads + 1) as u32 } else { 1 };
        let mut counted = 0;
        for transcriber in &mut self.transcribers {
            let Some(load) = &mut transcriber.load else { continue };
            let is_faultless =
                transcriber.last_fault.is_zero() || self.now > transcriber.last_fault + FAULT_GRACE;
            counted += usize::from(is_faultless);
            load.remaining = load.remaining.saturating_sub(STEP / slowdown);
            if load.remaining.is_zero() {
                let times = self
                    .load_times
                    .entry((load.model.clone(), load.generation))
                    .or_insert((self.now, self.now));
                times.1 = self.now;
                transcriber.versions.insert(load.model.clone(), load.generation);
                transcriber.load = None;
            }
        }
        self.most_loading = self.most_loading.max(counted);
        assert!(
            counted <= max_full_speed_loads,
            "{counted} concurrent loads at {:?}, the limit is {max_full_speed_loads}",
            self.now
        );
    }

    fn announcement(&self, index: usize, state: InstanceState) -> Instance {
        let transcriber = &self.transcribers[index];
        let models = transcriber
            .versions
            .iter()
            .map(|(model, generation)| ModelVersion { model: model.clone(), generation: *generation });
        Instance {
            id: transcriber.id.clone(),
            backend: "service".to_owned(),
            address: format!("{}:1", transcriber.id),
            zone: transcriber.zone.clone(),
            slots: 12,
            state,
            models: models.collect(),
            sequence: transcriber.sequence,
            ..Instance::default()
        }
    }

    fn send_heartbeats(&mut self) {
        for index in 0..self.transcribers.len() {
            if self.now < self.transcribers[index].next_heartbeat
                || self.now < self.transcribers[index].hangs_until
            {
                continue;
            }
            self.transcribers[index].next_heartbeat = self.now + HEARTBEAT_PERIOD;
            self.transcribers[index].sequence += 1;
            let announcement = self.announcement(index, InstanceState::Ready);
            let delay = Duration::from_millis(self.random.below(600));
            self.schedule(delay, Event::Announce(announcement));
        }
    }

    fn record_states(&mut self) {
        for transcriber in &mut self.transcribers {
            transcriber.history.push_back((
                self.now,
                transcriber.load.is_some(),
                transcriber.versions.clone(),
            ));
            while transcriber.history.front().is_some_and(|(at, ..)| *at + REPORT_LAG < self.now) {
                transcriber.history.pop_front();
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_number += 1;
        self.events.insert((self.now + delay, self.event_number), event);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Event::Announce(instance) => self.announce(&instance),
                Event::OrderArrives(order) => self.order_arrives(order),
                Event::OrderAnswered(order, answer) => {
                    self.unanswered.remove(&order.instance);
                    self.planner.handle_order_outcome(self.now, &order, answer);
                }
                Event::PollArrives(instance) => self.poll_arrives(instance),
                Event::Reported(instance, report) => self.planner.handle_report(self.now, &instance, report),
            }
            self.apply_outputs();
        }
    }

    /// Passes an announcement to the planner as the registry does: a terminated instance is not announced again.
    fn announce(&mut self, instance: &Instance) {
        let is_running = self.transcribers.iter().any(|transcriber| transcriber.id == instance.id);
        if is_running || instance.state == InstanceState::Terminated {
            self.planner.handle_instance_update(self.now, instance);
        }
    }

    fn apply_outputs(&mut self) {
        for output in self.planner.take_outputs() {
            self.digest.add_output(self.now, &output);
            match output {
                PlanOutput::SendOrder(order) => {
                    self.orders += 1;
                    let newest = self.named.get(&order.model);
                    assert_eq!(
                        newest,
                        Some(&order.generation),
                        "an order for a version that is not the newest: {order:?}"
                    );
                    assert!(
                        self.unanswered.insert(order.instance.clone()),
                        "an order while another is unanswered: {order:?}"
                    );
                    let delay = self.network_delay();
                    self.schedule(delay, Event::OrderArrives(order));
                }
                PlanOutput::FetchLoadReport { instance, .. } => {
                    self.polls += 1;
                    let delay = self.network_delay();
                    self.schedule(delay, Event::PollArrives(instance));
                }
                PlanOutput::VersionLoaded { instance, model, generation } => {
                    let transcriber = self.transcribers.iter().find(|transcriber| transcriber.id == instance);
                    let loaded =
                        transcriber.and_then(|transcriber| transcriber.versions.get(&model)).copied();
                    assert!(
                        loaded.is_none_or(|loaded| loaded >= generation),
                        "{instance} has loaded {loaded:?}, reported as loaded: {generation}"
                    );
                }
            }
        }
    }

    fn network_delay(&mut self) -> Duration {
        Duration::from_millis(1 + self.random.below(10))
    }

    fn transcriber_index(&self, instance: &str) -> Option<usize> {
        self.transcribers.iter().position(|transcriber| transcriber.id == instance)
    }

    fn draws_answer_loss(&mut self) -> bool {
        self.faults.lost_answers > 0 && self.random.below(self.faults.lost_answers) == 0
    }

    fn order_arrives(&mut self, order: LoadOrder) {
        let index = self.transcriber_index(&order.instance);
        let is_unreachable = index.is_none_or(|index| self.transcribers[index].hangs_until > self.now);
        let Some(index) = index.filter(|_| !is_unreachable) else {
            return self.schedule(CALL_TIMEOUT, Event::OrderAnswered(order, OrderOutcome::Unknown));
        };
        let transcriber = &mut self.transcribers[index];
        let answer = if transcriber.versions.get(&order.model) == Some(&order.generation) {
            OrderOutcome::AlreadyLoaded
        } else if transcriber.load.is_some() {
            OrderOutcome::Conflict
        } else {
            let first = self.loaded.insert((transcriber.id.clone(), order.model.clone(), order.generation));
            assert!(first, "a second load of the same version: {order:?}");
            self.loads += 1;
            let remaining = self.shape.load;
            transcriber.load =
                Some(Load { model: order.model.clone(), generation: order.generation, remaining });
            OrderOutcome::Accepted
        };
        if self.draws_answer_loss() {
            record_fault(&mut self.transcribers[index], self.now);
            self.schedule(CALL_TIMEOUT, Event::OrderAnswered(order, OrderOutcome::Unknown));
        } else {
            let delay = self.network_delay();
            self.schedule(delay, Event::OrderAnswered(order, answer));
        }
    }

    fn poll_arrives(&mut self, instance: String) {
        let index = self.transcriber_index(&instance);
        let is_unreachable = index.is_none_or(|index| self.transcribers[index].hangs_until > self.now);
        let Some(index) = index.filter(|_| !is_unreachable && !self.draws_answer_loss()) else {
            return self.schedule(CALL_TIMEOUT, Event::Reported(instance, None));
        };
        let report =
            self.transcribers[index].history.front().map(|(_, is_loading, versions)| TranscriberReport {
                is_loading: *is_loading,
                models: versions.clone().into_iter().collect(),
                running: 0,
            });
        let delay = self.network_delay();
        self.schedule(delay, Event::Reported(instance, report));
    }
}

fn record_fault(transcriber: &mut SimulatedTranscriber, now: Duration) {
    transcriber.last_fault = now;
}

pub fn model_name(number: usize) -> String {
    format!("model-{number}")
}
