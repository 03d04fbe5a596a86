//! A simulated fleet of transcribers with a clock of its own, for the planner's property tests.

pub mod digest;

use digest::Digest;
use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use pebblepost_rollout::{Order, OrderAnswer, PlanOutput, Planner, Reported};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
/// Pause between the planner's ticks.
const TICK: Duration = Duration::from_millis(50);
/// Reports show the state this long ago.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time between announcements.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// The caller gives an answer up after this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// For so long after trouble at a transcriber, its load doesn't count towards the limit.
const TROUBLE_COUNTS: Duration = Duration::from_secs(3);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// One answer in so many is lost, after the transcriber acted; 0 for none.
    pub lost_answers: u64,
    /// A transcriber crashes about this often.
    pub crash_every: Option<Duration>,
    /// A transcriber hangs about this often.
    pub hang_every: Option<Duration>,
}

/// A fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    pub transcribers: usize,
    pub models: usize,
    pub load: Duration,
}

/// SplitMix64.
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
    left: Duration,
}

#[derive(Debug)]
struct Engine {
    id: String,
    zone: String,
    versions: BTreeMap<String, u64>,
    load: Option<Load>,
    sequence: u64,
    next_beat: Duration,
    hangs_until: Duration,
    last_trouble: Duration,
    /// Past states, for lagging reports.
    past: VecDeque<(Duration, bool, BTreeMap<String, u64>)>,
}

#[derive(Debug)]
enum Event {
    Announce(Instance),
    OrderArrives(Order),
    OrderAnswered(Order, OrderAnswer),
    AskArrives(String),
    Reported(String, Option<Reported>),
}

/// A fleet under a planner.
#[derive(Debug)]
pub struct Simulation {
    pub now: Duration,
    pub planner: Planner,
    pub orders: usize,
    pub asks: usize,
    pub loads: usize,
    pub most_loading: usize,
    /// When each version first and last came to be held.
    pub held_times: BTreeMap<(String, u64), (Duration, Duration)>,
    pub faults: Faults,
    /// All that the planner puts out, and when it wants to be called next.
    pub digest: Digest,
    shape: FleetShape,
    random: Random,
    engines: Vec<Engine>,
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
            asks: 0,
            loads: 0,
            most_loading: 0,
            held_times: BTreeMap::new(),
            faults,
            digest: Digest::default(),
            shape,
            random: Random(seed),
            engines: Vec::new(),
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
            let engine = simulation.start(format!("zone-{}", number % 3), versions.clone());
            simulation.engines.push(engine);
        }
        simulation
    }

    /// Names a version.
    pub fn name_version(&mut self, model: &str, generation: u64, single_version: bool) {
        self.named.insert(model.to_owned(), generation);
        self.planner.name_version(self.now, model, generation, single_version);
        self.carry_out();
    }

    /// Lets time pass.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every transcriber holds the newest versions; panics after `most`.
    pub fn run_until_current(&mut self, most: Duration) -> Duration {
        let start = self.now;
        while !self.is_current() {
            assert!(self.now < start + most, "not current after {most:?}: {:?}", self.engines);
            self.step();
        }
        self.now - start
    }

    /// Transcribers that are to hold the newest version of each model: all of them, unless more than two models share
    /// them.
    pub fn wanted_each(&self) -> usize {
        let count = self.engines.len();
        count.min((2 * count).div_ceil(self.named.len().max(1)))
    }

    /// Whether as many transcribers hold the newest version of each model as are to.
    pub fn is_current(&self) -> bool {
        let wanted = self.wanted_each();
        self.named.iter().all(|(model, generation)| {
            let holds = |engine: &&Engine| engine.versions.get(model) == Some(generation);
            self.engines.iter().filter(holds).count() >= wanted
        })
    }

    fn step(&mut self) {
        self.now += STEP;
        self.make_trouble();
        self.advance_loads();
        self.beat();
        self.deliver();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
            self.planner.tick(self.now);
            let wake_in = self.planner.next_wake(self.now).map(|at| at.saturating_sub(self.now).as_millis());
            self.digest
                .number(wake_in.map_or(u64::MAX, |millis| u64::try_from(millis).expect("a short run")));
        }
        self.carry_out();
        self.remember();
    }

    fn start(&mut self, zone: String, versions: BTreeMap<String, u64>) -> Engine {
        self.starts += 1;
        Engine {
            id: format!("i-{}", self.starts),
            zone,
            versions,
            load: None,
            sequence: 0,
            next_beat: self.now,
            hangs_until: Duration::ZERO,
            last_trouble: Duration::ZERO,
            past: VecDeque::new(),
        }
    }

    fn happens(&mut self, every: Option<Duration>) -> bool {
        let Some(every) = every else { return false };
        let steps = u64::try_from(every.as_millis() / STEP.as_millis()).expect("short");
        self.random.below(steps) == 0
    }

    fn make_trouble(&mut self) {
        if self.happens(self.faults.crash_every) {
            let index = self.random.below(self.engines.len() as u64) as usize;
            let gone = self.announcement(index, InstanceState::Gone);
            let (zone, versions) = (self.engines[index].zone.clone(), self.engines[index].versions.clone());
            self.unanswered.remove(&gone.id);
            let delay = Duration::from_millis(self.random.below(2000));
            self.schedule(delay, Event::Announce(gone));
            self.engines[index] = self.start(zone, versions);
        }
        if self.happens(self.faults.hang_every) {
            let index = self.random.below(self.engines.len() as u64) as usize;
            let length = Duration::from_millis(500 + self.random.below(5000));
            self.engines[index].hangs_until = self.now + length;
        }
        for engine in &mut self.engines {
            if engine.hangs_until > self.now {
                engine.last_trouble = self.now;
            }
        }
    }

    fn advance_loads(&mut self) {
        let loading = self.engines.iter().filter(|engine| engine.load.is_some()).count();
        let cheap = self.shape.transcribers.div_ceil(3);
        let slowdown = if loading > cheap { (loading - cheap + 1) as u32 } else { 1 };
        let mut judged = 0;
        for engine in &mut self.engines {
            let Some(load) = &mut engine.load else { continue };
            let calm = engine.last_trouble.is_zero() || self.now > engine.last_trouble + TROUBLE_COUNTS;
            judged += usize::from(calm);
            load.left = load.left.saturating_sub(STEP / slowdown);
            if load.left.is_zero() {
                let times = self
                    .held_times
                    .entry((load.model.clone(), load.generation))
                    .or_insert((self.now, self.now));
                times.1 = self.now;
                engine.versions.insert(load.model.clone(), load.generation);
                engine.load = None;
            }
        }
        self.most_loading = self.most_loading.max(judged);
        assert!(judged <= cheap, "{judged} loads at once at {:?}", self.now);
    }

    fn announcement(&self, index: usize, state: InstanceState) -> Instance {
        let engine = &self.engines[index];
        let models = engine
            .versions
            .iter()
            .map(|(model, generation)| ModelVersion { model: model.clone(), generation: *generation });
        Instance {
            id: engine.id.clone(),
            backend: "service".to_owned(),
            address: format!("{}:1", engine.id),
            zone: engine.zone.clone(),
            slots: 12,
            state,
            models: models.collect(),
            sequence: engine.sequence,
            ..Instance::default()
        }
    }

    fn beat(&mut self) {
        for index in 0..self.engines.len() {
            if self.now < self.engines[index].next_beat || self.now < self.engines[index].hangs_until {
                continue;
            }
            self.engines[index].next_beat = self.now + HEARTBEAT;
            self.engines[index].sequence += 1;
            let announcement = self.announcement(index, InstanceState::Ready);
            let delay = Duration::from_millis(self.random.below(600));
            self.schedule(delay, Event::Announce(announcement));
        }
    }

    fn remember(&mut self) {
        for engine in &mut self.engines {
            engine.past.push_back((self.now, engine.load.is_some(), engine.versions.clone()));
            while engine.past.front().is_some_and(|(at, ..)| *at + REPORT_LAG < self.now) {
                engine.past.pop_front();
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
                    self.planner.order_answered(self.now, &order, answer);
                }
                Event::AskArrives(instance) => self.ask_arrives(instance),
                Event::Reported(instance, report) => self.planner.reported(self.now, &instance, report),
            }
            self.carry_out();
        }
    }

    /// Hands an announcement on as the registry does: never one of an incarnation that has ended.
    fn announce(&mut self, instance: &Instance) {
        let lives = self.engines.iter().any(|engine| engine.id == instance.id);
        if lives || instance.state == InstanceState::Gone {
            self.planner.instance(self.now, instance);
        }
    }

    fn carry_out(&mut self) {
        for output in self.planner.take_outputs() {
            self.digest.output(self.now, &output);
            match output {
                PlanOutput::Send(order) => {
                    self.orders += 1;
                    let newest = self.named.get(&order.model);
                    assert_eq!(newest, Some(&order.generation), "an order of a version passed over");
                    assert!(self.unanswered.insert(order.instance.clone()), "two orders at once: {order:?}");
                    let delay = self.network_delay();
                    self.schedule(delay, Event::OrderArrives(order));
                }
                PlanOutput::Ask { instance, .. } => {
                    self.asks += 1;
                    let delay = self.network_delay();
                    self.schedule(delay, Event::AskArrives(instance));
                }
                PlanOutput::Holds { instance, model, generation } => {
                    let engine = self.engines.iter().find(|engine| engine.id == instance);
                    let held = engine.and_then(|engine| engine.versions.get(&model)).copied();
                    assert!(held.is_none_or(|held| held >= generation), "{instance} holds {held:?}");
                }
            }
        }
    }

    fn network_delay(&mut self) -> Duration {
        Duration::from_millis(1 + self.random.below(10))
    }

    fn engine_index(&self, instance: &str) -> Option<usize> {
        self.engines.iter().position(|engine| engine.id == instance)
    }

    fn is_lost(&mut self) -> bool {
        self.faults.lost_answers > 0 && self.random.below(self.faults.lost_answers) == 0
    }

    fn order_arrives(&mut self, order: Order) {
        let index = self.engine_index(&order.instance);
        let hangs = index.is_none_or(|index| self.engines[index].hangs_until > self.now);
        let Some(index) = index.filter(|_| !hangs) else {
            return self.schedule(CALL_TIMEOUT, Event::OrderAnswered(order, OrderAnswer::Unknown));
        };
        let engine = &mut self.engines[index];
        let answer = if engine.versions.get(&order.model) == Some(&order.generation) {
            OrderAnswer::AlreadyHolds
        } else if engine.load.is_some() {
            OrderAnswer::Conflict
        } else {
            let first = self.loaded.insert((engine.id.clone(), order.model.clone(), order.generation));
            assert!(first, "a second load: {order:?}");
            self.loads += 1;
            let left = self.shape.load;
            engine.load = Some(Load { model: order.model.clone(), generation: order.generation, left });
            OrderAnswer::UnderWay
        };
        if self.is_lost() {
            engine_trouble(&mut self.engines[index], self.now);
            self.schedule(CALL_TIMEOUT, Event::OrderAnswered(order, OrderAnswer::Unknown));
        } else {
            let delay = self.network_delay();
            self.schedule(delay, Event::OrderAnswered(order, answer));
        }
    }

    fn ask_arrives(&mut self, instance: String) {
        let index = self.engine_index(&instance);
        let hangs = index.is_none_or(|index| self.engines[index].hangs_until > self.now);
        let Some(index) = index.filter(|_| !hangs && !self.is_lost()) else {
            return self.schedule(CALL_TIMEOUT, Event::Reported(instance, None));
        };
        let report = self.engines[index].past.front().map(|(_, busy, versions)| Reported {
            busy: *busy,
            models: versions.clone().into_iter().collect(),
            running: 0,
        });
        let delay = self.network_delay();
        self.schedule(delay, Event::Reported(instance, report));
    }
}

fn engine_trouble(engine: &mut Engine, now: Duration) {
    engine.last_trouble = now;
}

/// Name of a simulated model.
pub fn model_name(number: usize) -> String {
    format!("model-{number}")
}
