//! Every decision of a pebblepost_dispatch node. Interface (settings, events, actions): `src/api.rs`.
//! The mechanism is Van Houdt's preventive probing: a random first probe precedes each job; a
//! worker with fewer than L busy slots and room for the job gets it; otherwise d-1 more random
//! workers are probed and the fewest-busy of all d gets it, ties broken at random. What departs
//! from that is marked `Exception` here and listed with its condition in `docs/design.md`.

#![allow(clippy::too_many_arguments)] // The caller's out-list and the clock go everywhere.

use crate::affinity::{self, KeyPopularity, RecentKeys};
use crate::api::*;
use crate::estimators::{
    DurationEstimate, EWMA_GAIN, EventRate, KindEstimate, QueueWait, TenantUsage, from_seconds, seconds,
    update_mean,
};
use crate::forecast::{SlotRelease, WorkerForecast};
use crate::job_size::{JobSizes, TypicalJob};
use crate::outlier_detection::OutlierDetector;
use crate::reservation::{ReservationRequest, Reservations};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

const D: usize = 2; // d: two choices bring most of the gain, and probes are priced.
const DRAWS: usize = 8; // Random draws tried in a pool before it is taken to hold nobody eligible.
const USES_PER_CONNECTION: f64 = 4.0; // The spread is such that each connection is used this often.
const MIN_SPREAD: f64 = 8.0; // Smallest spread: as many as are probed for a job, with one in four failing.
/// Times `fall` that the rate of own draws looks back: counts at a quiet node, yet follows a crowd.
const CROWD_MEMORY: u32 = 4;
const AWAY_PART: f64 = 0.25; // Part of a cold worker's budget for nodes of other zones: they draw seldom.
const LIKELY: f64 = 1.6; // Speed of a cold worker, in the least it may have: 1.2 to 2.1 were traced.
const LEVELS: usize = 16; // Levels of load told apart: up to half as many free slots, or as many waiting.
const MOST_HOLDS: u32 = 16; // Rounds of probes for a large job that holds a part of a worker.

/// L for K slots: the paper's optimum at load 0.8 (its figure 3).
fn threshold(k: f64) -> f64 {
    k - [8.0, 34.0].iter().filter(|from| k >= **from).count() as f64
}

/// Rule of placement: a property of the class, whatever the state of the workers it leaves.
fn permits(class: &Class, worker: &Worker) -> bool {
    class.kind.is_none_or(|k| k == worker.kind)
        && class.only_kinds.as_ref().is_none_or(|kinds| kinds.contains(&worker.kind))
        && class.only_zones.as_ref().is_none_or(|zones| zones.contains(&worker.zone))
}

#[derive(Clone, Copy, Debug)]
enum Asker {
    Request(RequestId, u32),       // A request, in this turn of its.
    Check(f64),                    // Nobody: do reports show by now an attempt that found this many jobs?
    Silence(RequestId, AttemptNo), // Nobody: is there room, though this attempt has not started?
}

#[derive(Debug, Default)]
struct Worker {
    id: WorkerId,
    zone: ZoneId,
    kind: KindId,
    cell: CellId,
    state: WorkerState,
    name: u64, // The same at every node.
    started: Option<Time>,
    /// How often its connections broke or were refused since it was last heard, and from when on.
    down: (u32, Time),
    rank: u64, // Place in this node's own seeded order of workers.
    k: f64,    // Largest free figures seen: K, and the memory units.
    k_memory: f64,
    free: f64,
    memory: f64,
    queue: f64,
    inflight: f64,
    reports: u32,
    reported: Time,
    /// Own attempts that are out: when sent, slots, whether known to have started, when expected to end.
    own: Vec<(Time, f64, bool, Time)>,
    waits: QueueWait,
    recent_keys: RecentKeys,
    idle: VecDeque<Time>,    // Since when its connections have been idle, oldest first.
    probes: VecDeque<Asker>, // Who waits for each probe that is out, oldest first.
    outliers: OutlierDetector,
}

impl Worker {
    /// Slots and jobs of own attempts that a report as old as `lag` cannot have counted.
    fn unseen(&self, lag: Duration) -> (f64, f64) {
        let from = self.reported - lag;
        let new = self.own.iter().rev().take_while(|(sent, ..)| *sent > from);
        new.fold((0.0, 0.0), |(slots, jobs), (_, s, ..)| (slots + s, jobs + 1.0))
    }

    /// Own jobs that hold slots: those that wait do as well, unless others may pass them (`in_order`).
    fn holding(&self, in_order: bool) -> impl Iterator<Item = SlotRelease> {
        self.own
            .iter()
            .filter(move |o| in_order || o.2 || o.1 <= 1.0)
            .map(|o| SlotRelease { at: o.3, slots: o.1 })
    }

    fn failed(&mut self, now: Time, status: Status) {
        if matches!(status, Status::ConnectFailed | Status::Reset) {
            self.down = (self.down.0 + 1, if self.down.0 == 0 { now } else { self.down.1 });
        }
    }

    /// Fraction of its capacity that a worker surely has: it grows at least evenly while it warms up.
    fn warmth(&self, now: Time, s: &Settings) -> f64 {
        let Some(start) = self.started.filter(|start| now < *start + s.warm_up_time) else { return 1.0 };
        s.cold_capacity + (1.0 - s.cold_capacity) * seconds(now.since(start)) / seconds(s.warm_up_time)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    First,      // The first probe is out.
    More(bool), // d-1 more are out; `true`: those of the spill to other zones.
    Placed,     // An attempt is out.
    #[default]
    Held, // QueueWait for a fresh round of probes.
    Done,       // Answered; kept until its attempts have ended.
}

#[derive(Debug, Default)]
struct Attempt {
    worker: usize,
    sent: Time,
    slots: f64,
    open: bool,
    started: Option<Time>,
    idle: Option<Duration>, // How long the connection may have been idle before; `None`: a new one.
    queued: bool,           // It found no free slot.
    level: usize,           // What the report said.
    found: f64,             // Jobs that it found there, by the report.
}

#[derive(Debug, Default)]
struct Request {
    class: usize,
    arrived: Time,
    deadline: Time,
    slots: f64,
    memory: f64,
    cost: f64, // Work, in mean jobs: by its hint where there is one, else by its class.
    tenant: usize,
    key: u64,          // What it is about, or 0.
    work: Option<f64>, // Its own work by its hint, in seconds, and whether that is large.
    large: bool,
    phase: Phase,
    turn: u32, // Counts phases, so that old timers and probe results are known as such.
    holds: u32,
    drawn: Vec<usize>,
    answered: Vec<usize>,
    refused: Vec<usize>, // Workers that have turned it away or did not answer its probe.
    attempts: Vec<Attempt>,
    ran: Option<(usize, Time)>, // First attempt that may have run: its worker and time.
}

impl Request {
    fn open(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Timer {
    Deadline,
    Turn,
    Ask,
    Check,
    Silence,
}

fn token(kind: Timer, extra: u32, id: u32) -> TimerToken {
    TimerToken((kind as u64) << 56 | u64::from(extra & 0xff_ffff) << 32 | u64::from(id))
}

/// The decisions of one node.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    rng: Pcg64Mcg,
    seed: u64,
    started: Time,
    workers: Vec<Worker>,
    index: HashMap<WorkerId, usize>,
    /// Ready workers in this node's order, at home and away, by class, and for any class last.
    pools: Vec<[Vec<usize>; 2]>,
    fleet: [f64; 2], // Ready workers at home, and away.
    requests: HashMap<RequestId, Request>,
    reservations: Reservations,
    job_sizes: JobSizes,
    /// Learned: share of workers probed away that have room, busy count of workers, own requests a second.
    room_share: f64,
    mean_busy: f64,
    arrivals: EventRate,
    /// Learned: own draws a second, at home and away; what machines of a kind are like.
    draws: [EventRate; 2],
    kinds: BTreeMap<KindId, KindEstimate>,
    mean_hint: f64,
    age: Duration, // Learned: age of reports, probe round trip and its spread, service time by class.
    checks: u32,
    round_trip: DurationEstimate,
    pub(crate) service: Vec<f64>,
    mean_service: f64,
    /// Learned: time from send to start and its spread, and how long connections outlive their last use.
    start_delay: DurationEstimate,
    idle_limit: Duration,
    queued: usize, // Own attempts that are out and found no free slot.
    /// Learned: share of own sends that went badly (full, or started late), by `level` of report, and of all.
    meaning: [f64; LEVELS],
    mean_meaning: f64,
    turned_away: f64, // Learned: share of own sends that were refused.
    shares: TenantUsage,
    popularity: KeyPopularity,
    subscribed: bool,
    asks: u32,
}

impl Dispatcher {
    /// A node that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        let service: Vec<f64> = settings.classes.iter().map(|c| seconds(c.latency_target)).collect();
        let mean_service = service.iter().sum::<f64>() / service.len().max(1) as f64;
        let tick = seconds(settings.tick);
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            seed,
            started: now,
            workers: Vec::new(),
            index: HashMap::new(),
            pools: Vec::new(),
            fleet: [0.0; 2],
            requests: HashMap::new(),
            reservations: Reservations::new(settings.reservations.max_reserved_fraction),
            job_sizes: JobSizes::new(settings.reservations),
            room_share: 1.0,
            mean_busy: 0.0,
            arrivals: EventRate::new(now),
            draws: [EventRate::new(now); 2],
            kinds: BTreeMap::new(),
            mean_hint: 0.0,
            // Between the youngest and the oldest that would matter, until evidence comes.
            age: from_seconds((tick * seconds(settings.overload_time)).sqrt()),
            checks: 0,
            round_trip: DurationEstimate { mean: 4.0 * tick, deviation: tick },
            service,
            mean_service,
            start_delay: DurationEstimate { mean: 4.0 * tick, deviation: tick },
            idle_limit: settings.keepalive,
            queued: 0,
            meaning: [0.0; LEVELS],
            mean_meaning: 0.0,
            turned_away: 0.0,
            subscribed: false,
            asks: 0,
            popularity: KeyPopularity::default(),
            shares: TenantUsage::new(settings.tenants.iter().map(|t| t.quota_share)),
            settings,
        }
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, entries } => self.members(now, kind, &entries, out),
            Event::Request { id, class, time_left, repeat, slots, memory, work, key, tenant } => {
                let needs = (f64::from(slots), f64::from(memory), work, key, usize::from(tenant.0));
                self.request(now, id, class, time_left, repeat, needs, out);
            }
            Event::Started { id, attempt } => self.has_started(now, id, attempt),
            Event::Progress { .. } => {}
            Event::StreamOpened { id, .. } => {
                // The stream belongs to the client: no deadline runs, its end closes the request.
                self.requests.get_mut(&id).into_iter().for_each(|r| r.phase = Phase::Done);
            }
            Event::Outcome { id, attempt, status, latency, closed, report, worker } => {
                let w = self.index.get(&worker).copied();
                w.into_iter().for_each(|w| self.report(now, w, &report));
                self.outcome(now, id, attempt, status, latency, closed, out);
                w.into_iter().for_each(|w| self.close_idle(w, out));
            }
            Event::Probed { worker, status, latency, report } => {
                self.probed(now, worker, status, latency, &report, out);
            }
            Event::ClientGone { id } => self.finish(id, None, out),
            Event::TimerDue { token } => self.timer(now, token, out),
        }
    }

    fn has_started(&mut self, now: Time, id: RequestId, no: AttemptNo) {
        let (late, class) = (now > self.in_time_until(id), self.requests.get(&id).map_or(0, |r| r.class));
        let Some(a) = self.attempt(id, no).filter(|a| a.open && a.started.is_none()) else { return };
        a.started = Some(now);
        let (level, w, sent, queued, idle) = (a.level, a.worker, a.sent, a.queued, a.idle);
        let ends = now + self.run(now, id, w);
        self.reservations.release(id);
        self.workers[w].waits.record_start(now, now.since(sent));
        self.workers[w].outliers.record_start(sent, class);
        self.workers[w].own.iter_mut().filter(|o| o.0 == sent).for_each(|o| (o.2, o.3) = (true, ends));
        if !queued {
            self.start_delay.record(seconds(now.since(sent)));
        }
        if idle.is_some_and(|idle| idle > self.idle_limit / 2) {
            self.idle_limit = self.idle_limit.mul_f64(1.0 + EWMA_GAIN).min(self.settings.keepalive);
        }
        self.learn_meaning(w, level, late);
    }

    /// A job has not started, though there is room: its connection, if idle before, is held to be lost,
    /// and no more of its class go there for now. One that may be repeated is called back and sent again.
    fn silent(&mut self, now: Time, id: RequestId, no: AttemptNo, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let a = r.attempts.get(usize::from(no.0)).filter(|a| a.open && a.started.is_none());
        let fits = |w: &Worker| w.free >= r.slots && w.queue < 1.0 && w.memory >= r.memory.min(w.k_memory);
        let Some(a) = a.filter(|a| fits(&self.workers[a.worker])) else { return };
        let more = (r.attempts.len() as u32) < self.settings.max_attempts && now < self.last_start(id);
        if self.settings.cancelling_enabled && self.may_repeat(now, r) && more && r.phase == Phase::Placed {
            out.push(Action::Cancel { id, attempt: no });
        }
        self.workers[a.worker].own.retain(|o| o.0 != a.sent); // It holds no slot there.
        self.workers[a.worker].outliers.record_missed_start(
            now,
            r.class,
            a.sent,
            self.settings.overload_time / 2,
        );
        let least = a.idle.map_or(self.idle_limit, |idle| idle / 2);
        self.idle_limit = self.idle_limit.min(least).max(self.settings.tick);
    }

    /// Exception: connections idle for longer than proved safe are closed first. How long this one was idle.
    fn refresh(&mut self, now: Time, w: usize, out: &mut Vec<Action>) -> Option<Duration> {
        let worker = &mut self.workers[w];
        while worker.idle.front().is_some_and(|since| *since + self.settings.keepalive <= now) {
            worker.idle.pop_front();
        }
        let oldest = now.since(*worker.idle.front()?);
        if oldest > self.idle_limit {
            worker.idle.clear();
            out.push(Action::CloseIdle { worker: worker.id });
            return None;
        }
        worker.idle.pop_back();
        Some(oldest)
    }

    fn attempt(&mut self, id: RequestId, no: AttemptNo) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(usize::from(no.0))
    }

    // ---- Request state machine: probing -> placed -> held -> done ----

    fn request(
        &mut self, now: Time, id: RequestId, class: ClassId, time_left: Duration, repeat: bool,
        (slots, memory, work, key, tenant): (f64, f64, Option<Duration>, u64, usize), out: &mut Vec<Action>,
    ) {
        let class = usize::from(class.0);
        if class >= self.settings.classes.len() || self.requests.contains_key(&id) {
            out.push(Action::Fail { id });
            return;
        }
        // Rate over the life of the node at first, then over its last connections' lifetime.
        let life = seconds(now.since(self.started).max(self.settings.tick));
        self.arrivals.record(now, life.min(seconds(self.settings.keepalive)), self.settings.tick);
        self.shares.record(tenant);
        self.popularity.record(key);
        let cost = self.cost(class, work);
        let slots = if slots > 0.0 { slots } else { 1.0 };
        let work = work.map(seconds).filter(|hint| *hint > 0.0);
        let typical =
            TypicalJob { service_seconds: self.mean_service, seconds_per_hinted_second: self.best_pace() };
        let large = self.job_sizes.record(work, slots, typical);
        let deadline = now + time_left;
        let request = Request {
            class,
            // A repeat counts from the client's first try, whose time it goes on using up.
            arrived: if repeat { deadline - self.settings.classes[class].deadline } else { now },
            deadline,
            slots,
            memory,
            cost,
            key,
            tenant,
            work,
            large,
            ..Request::default()
        };
        self.requests.insert(id, request);
        let at = deadline - self.settings.tick;
        out.push(Action::SetTimer { at, token: token(Timer::Deadline, 0, id.0) });
        let wide = |w: &usize| self.workers[*w].reports >= 2 && self.k_of_kind(*w) < slots;
        let too_large = self.pools.get(class).is_some_and(|p| p.iter().flatten().all(wide)) && slots > 1.0;
        if now >= self.last_start(id) || too_large {
            return self.give_up(id, out);
        }
        self.round(now, id, out);
    }

    /// Starts a round of probes with the random first one.
    fn round(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.turn += 1;
        r.drawn.clear();
        r.answered.clear();
        r.phase = Phase::First;
        if !self.settings.probing_enabled {
            // Exception: where probes are not allowed, d random workers are compared by own load.
            self.draw_many(now, id, D, false, out);
            return self.choose(now, id, out);
        }
        if self.draw_many(now, id, 1, false, out) == 0 && self.draw_many(now, id, 1, true, out) == 0 {
            return self.hold(now, id, out);
        }
        self.set_turn_timer(now, id, self.patience_for_probe(), out);
    }

    /// A probe is given up on after its usual round trip; its answer still counts if it comes later.
    fn patience_for_probe(&self) -> Duration {
        self.round_trip.upper_bound().max(2 * self.settings.tick)
    }

    fn set_turn_timer(&mut self, now: Time, id: RequestId, after: Duration, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get(&id) {
            let at = (now + after).min(r.deadline);
            out.push(Action::SetTimer { at, token: token(Timer::Turn, r.turn, id.0) });
        }
    }

    fn draw_many(&mut self, now: Time, id: RequestId, n: usize, away: bool, out: &mut Vec<Action>) -> usize {
        let mut got = 0;
        while got < n {
            let Some(w) = self.draw(now, id, away) else { return got };
            let span = seconds(
                now.since(self.started)
                    .clamp(self.settings.overload_time, CROWD_MEMORY * self.settings.overload_time),
            );
            let side = self.side(w);
            self.draws[side].record(now, span, self.settings.tick);
            let admitted = self.cold_admits(now, id, w); // Before the probe: a lot lost costs none.
            let Some(r) = self.requests.get_mut(&id) else { return got };
            if !admitted && self.settings.probing_enabled {
                r.refused.push(w);
                continue;
            }
            got += 1;
            r.drawn.push(w);
            if self.settings.probing_enabled {
                self.workers[w].probes.push_back(Asker::Request(id, r.turn));
                out.push(Action::Probe { worker: self.workers[w].id });
            } else {
                let list = if admitted { &mut r.answered } else { &mut r.refused };
                list.push(w);
            }
        }
        n
    }

    fn probe_result(
        &mut self, now: Time, id: RequestId, turn: u32, w: usize, ok: bool, out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.turn == turn) else { return };
        let (slots, memory) = (r.slots, r.memory);
        if ok {
            r.answered.push(w);
        } else {
            r.drawn.retain(|d| *d != w);
            r.refused.push(w);
            // Who takes no part in the choice says nothing of a crowd: another is probed in its place.
            if matches!(r.phase, Phase::More(_))
                && r.refused.len() <= 2 * D
                && self.draw_many(now, id, 1, false, out) == 0
            {
                self.draw_many(now, id, 1, true, out);
            }
        }
        let Some(r) = self.requests.get(&id) else { return };
        let (waiting, phase) = (r.drawn.len() > r.answered.len(), r.phase);
        if ok && self.side(w) == 1 {
            let room = self.room(now, w, slots, memory);
            update_mean(&mut self.room_share, f64::from(u8::from(room)), EWMA_GAIN);
        }
        match phase {
            Phase::First => {
                let below = ok && self.below_threshold(now, w, slots, memory);
                let held = ok && self.reservations.get(id).is_some();
                if (below || held) && self.eligible(now, id, w) && self.ends_in_time(now, id, w) {
                    return self.place(now, id, w, out);
                } else if held {
                    return self.hold(now, id, out);
                }
                self.reservations.release(id);
                self.more(now, id, out);
            }
            Phase::More(_) if !waiting => self.choose(now, id, out),
            _ => {}
        }
    }

    fn more(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.phase = Phase::More(false);
        let waiting = r.drawn.len() > r.answered.len();
        if self.draw_many(now, id, D - 1, false, out) == 0 && !waiting {
            return self.choose(now, id, out);
        }
        self.set_turn_timer(now, id, self.patience_for_probe(), out);
    }

    /// Old reports still tell busy workers from others, until many sends made on them are refused.
    fn misled(&self, w: usize) -> bool {
        self.stale(w) && self.turned_away > EWMA_GAIN
    }

    /// Own sends of this long before a report may be missing in it.
    fn lag(&self) -> Duration {
        self.age.mul_f64(1.5)
    }

    /// Free slots by the report, less what it cannot have counted; never more than own jobs leave.
    fn free(&self, w: usize) -> f64 {
        let worker = &self.workers[w];
        let own: f64 = worker.holding(self.settings.queues_in_order).map(|held| held.slots).sum();
        (worker.free - worker.unseen(self.lag()).0).min(worker.k - own)
    }

    fn busy(&self, w: usize) -> f64 {
        let worker = &self.workers[w];
        let (_, jobs) = worker.unseen(self.lag());
        let held = worker.own.len() as f64;
        match worker.reports {
            0 => held.max(self.mean_busy),
            1 => self.mean_busy,
            _ if worker.k > 0.0 => (worker.k - self.free(w) + worker.queue).max(held),
            _ => worker.inflight.max(worker.queue) + jobs,
        }
    }

    fn warm(&self, now: Time, w: usize) -> bool {
        self.workers[w].warmth(now, &self.settings) >= 1.0
    }

    /// Slots that a cold worker may fill: three times its share of K, or some of its cores would stand idle.
    fn usable(&self, now: Time, w: usize) -> f64 {
        let warmth = self.workers[w].warmth(now, &self.settings);
        let k = self.k_of_kind(w);
        if warmth < 1.0 { (k * (warmth * 3.0).min(1.0)).ceil().max(1.0) } else { k }
    }

    /// K of the worker or, as one that has just started may never have been seen free, of its kind.
    fn k_of_kind(&self, w: usize) -> f64 {
        let worker = &self.workers[w];
        self.kinds.get(&worker.kind).map_or(worker.k, |kind| kind.slots.max(worker.k))
    }

    fn room(&self, now: Time, w: usize, slots: f64, memory: f64) -> bool {
        let worker = &self.workers[w];
        let kept_back = (self.k_of_kind(w) - self.usable(now, w)).max(0.0);
        self.free(w) - kept_back >= slots
            && worker.queue < 1.0
            && (worker.k_memory <= 0.0 || worker.memory >= memory)
    }

    /// What a report says, as a level: free slots below the middle, waiting jobs above it.
    fn level(&self, w: usize) -> usize {
        let level = self.workers[w].queue - self.free(w) + LEVELS as f64 / 2.0;
        level.round().clamp(0.0, LEVELS as f64 - 1.0) as usize
    }

    /// Notes how a send on such a report went. What is seldom tried drifts back to the mean.
    fn learn_meaning(&mut self, w: usize, level: usize, bad: bool) {
        if !self.stale(w) {
            return;
        }
        let bad = f64::from(u8::from(bad));
        update_mean(&mut self.mean_meaning, bad, EWMA_GAIN);
        for (i, m) in self.meaning.iter_mut().enumerate() {
            let (seen, gain) =
                if i == level { (bad, EWMA_GAIN) } else { (self.mean_meaning, EWMA_GAIN * EWMA_GAIN) };
            update_mean(m, seen, gain);
        }
    }

    /// Fewer than L busy, and room for the job. Exception: misleading reports are read by what they turned
    /// out to mean (all rush to what looked idle); no worse than the mean will do.
    fn below_threshold(&self, now: Time, w: usize, slots: f64, memory: f64) -> bool {
        if self.misled(w) {
            return self.meaning[self.level(w)] <= self.mean_meaning;
        }
        let below = self.workers[w].reports < 2 || self.busy(w) < threshold(self.workers[w].k);
        self.room(now, w, slots, memory) && below
    }

    fn burden(&self, now: Time, id: RequestId, w: usize) -> f64 {
        let k = self.workers[w].k.max(1.0);
        match self.misled(w) {
            true => self.meaning[self.level(w)],
            false if self.busy(w) < k => self.busy(w).round() / k - 1.0,
            false => self.wait(now, id, w) + self.fetching(id, w),
        }
    }

    /// How long a job would wait, where that is not told: as those that started of late, and for own ones.
    fn queueing(&self, now: Time, w: usize) -> f64 {
        let worker = &self.workers[w];
        let waiting = worker.own.iter().find(|o| !o.2).map_or(Duration::ZERO, |o| now.since(o.0));
        let own = (worker.own.iter().filter(|o| !o.2).count() as f64 + 1.0) / self.k_of_kind(w).max(1.0);
        worker.waits.expected(now, waiting) + own * self.mean_service * self.pace(w)
    }

    /// Two jobs' time if a worker must fetch what the job is about: its own, and that of others in the store.
    fn fetching(&self, id: RequestId, w: usize) -> f64 {
        let kept = self.requests.get(&id).is_none_or(|r| self.workers[w].recent_keys.contains(r.key));
        if kept { 0.0 } else { 2.0 * self.mean_service }
    }

    /// Where in the fleet a job is expected to wait least.
    fn shortest(&self, now: Time, id: RequestId) -> Option<usize> {
        let r = self.requests.get(&id)?;
        let sound = |w: &usize| self.workers[*w].outliers.is_healthy(now, r.class) && !r.refused.contains(w);
        let open = self.pools.get(r.class)?.iter().flatten().copied().filter(sound);
        let open = open.filter(|w| self.eligible(now, id, *w));
        let cost = |w: &usize| self.queueing(now, *w) + self.fetching(id, *w);
        open.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Fewest busy of all probed; ties at random.
    fn choose(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (slots, memory, phase) = (r.slots, r.memory, r.phase);
        let answered = r.answered.clone().into_iter().filter(|w| self.eligible(now, id, *w));
        let burden = |w| (!self.ends_in_time(now, id, w), self.burden(now, id, w));
        let burdens: Vec<(usize, (bool, f64))> = answered.map(|w| (w, burden(w))).collect();
        let least = burdens.iter().map(|b| b.1).reduce(|a, b| if b < a { b } else { a });
        let ties: Vec<usize> = burdens.iter().filter(|b| Some(b.1) == least).map(|b| b.0).collect();
        let best = (!ties.is_empty()).then(|| ties[self.rng.random_range(0..ties.len())]);
        let free = |w| self.room(now, w, slots, memory) && !self.misled(w) || !self.settings.probing_enabled;
        let takes = |w: &usize| self.below_threshold(now, *w, slots, memory) || free(*w);
        let in_time = |w: &usize| self.warm(now, *w) || self.ends_in_time(now, id, *w);
        if let Some(w) = best.filter(takes).filter(in_time) {
            return self.place(now, id, w, out);
        }
        // Exception: all at home are full, by credible reports: more are probed away, fewer in a crowd. Where
        // late answers keep some worth, it queues instead where it is expected to wait least in the fleet.
        let by_waits = self.by_waits(id);
        let misled = best.is_some_and(|w| self.misled(w));
        if !misled && !by_waits && phase != (Phase::More(true)) {
            if let Some(r) = self.requests.get_mut(&id) {
                r.phase = Phase::More(true);
            }
            let more = if self.room_share > 0.5 { 3 } else { 1 };
            if self.draw_many(now, id, more, true, out) > 0 {
                return self.set_turn_timer(now, id, self.patience_for_probe(), out);
            }
        }
        let best = if by_waits { self.shortest(now, id).or(best) } else { best };
        if let Some(w) = best
            && (self.worth_queueing(now, id, w) || self.misled(w))
        {
            return self.place(now, id, w, out);
        }
        self.hold(now, id, out);
    }

    fn place(&mut self, now: Time, id: RequestId, w: usize, out: &mut Vec<Action>) {
        let queued = self.requests.get(&id).is_some_and(|r| !self.room(now, w, r.slots, r.memory));
        let (found, level) = (self.counted(w), self.level(w));
        let idle = self.refresh(now, w, out);
        let ends = now + from_seconds(self.wait(now, id, w)) + self.run(now, id, w);
        self.reservations.release(id);
        if queued {
            self.reserve(now, id, Some(w)); // What it waits for is not given away meanwhile.
        }
        let silence = self.start_delay.upper_bound().max(self.patience(id) / 4).max(2 * self.lag());
        let silence = silence + if queued { 2 * from_seconds(self.queueing(now, w)) } else { Duration::ZERO };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let worker = &mut self.workers[w];
        self.queued += usize::from(queued);
        worker.own.push((now, r.slots, false, ends));
        worker.recent_keys.record(r.key);
        r.turn += 1;
        r.phase = Phase::Placed;
        let no = r.attempts.len() as u32;
        let attempt = Attempt { worker: w, sent: now, slots: r.slots, open: true, ..Attempt::default() };
        r.attempts.push(Attempt { idle, queued, level, found, ..attempt });
        out.push(Action::Send { id, worker: worker.id, timeout: None });
        if self.settings.start_reported && self.settings.probing_enabled {
            out.push(Action::SetTimer { at: now + silence, token: token(Timer::Silence, no, id.0) });
        }
        // The age of reports is looked at with each of the first sends, then with some.
        self.checks += 1;
        if self.settings.probing_enabled && !queued && (self.checks <= 8 || self.checks.is_multiple_of(16)) {
            out.push(Action::SetTimer { at: now + self.age, token: token(Timer::Check, no, id.0) });
        }
    }

    /// Ends a round that found nobody. A large job looks again at what it holds. Others are refused at once.
    /// If no report came, a fresh round follows a pause, once; where late answers count, while there is time.
    fn hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let last = self.last_start(id);
        let base = self.patience(id).mul_f64(self.rng.random_range(0.1..0.2));
        let reserved = self.reserve(now, id, None);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let pause =
            reserved.map_or(base * (1 << r.holds.min(8)), |from| from.since(now).clamp(base / 8, base));
        let late_counts = self.settings.classes[r.class].late_value >= 1.0;
        let over = !late_counts && reserved.is_none() && (r.holds > 0 || !r.answered.is_empty());
        r.turn += 1;
        r.holds += 1;
        r.phase = Phase::Held;
        if over || now + pause >= last {
            return self.give_up(id, out);
        }
        self.set_turn_timer(now, id, pause, out);
    }

    /// Exception: a large job that nobody probed can take holds a part of a worker that will; from when on.
    fn reserve(&mut self, now: Time, id: RequestId, only: Option<usize>) -> Option<Time> {
        let r = self.requests.get(&id).filter(|r| r.large && r.holds < MOST_HOLDS)?;
        let pool = self.pools.get(r.class)?.iter().flatten().copied();
        let sound = |w: &usize| self.workers[*w].outliers.is_healthy(now, r.class) && !r.refused.contains(w);
        let known = |w: &usize| self.warm(now, *w) && self.workers[*w].reports >= 2;
        let known = pool.filter(sound).filter(known);
        let mut outlooks: Vec<WorkerForecast> = known.map(|w| self.outlook(now, id, w)).collect();
        let (slots, due, all) = (r.slots, self.due(id), outlooks.iter().map(|o| o.slots).sum());
        outlooks.retain(|o| only.is_none_or(|w| w == o.worker));
        let job = ReservationRequest { request: id, slots, fleet_slots: all };
        let held = self.reservations.reserve(now, job, &outlooks, |o| due - o.run_time);
        held.map(|held| held.expected_start)
    }

    /// Jobs that held a part of a worker look afresh: a slot came free there, or it can no longer serve them.
    fn wake(&mut self, now: Time, holders: Vec<RequestId>, out: &mut Vec<Action>) {
        for id in holders {
            if self.requests.get(&id).is_some_and(|r| r.phase == Phase::Held) {
                self.round(now, id, out);
            }
        }
    }

    fn outlook(&self, now: Time, id: RequestId, w: usize) -> WorkerForecast {
        let worker = &self.workers[w];
        let slots = self.usable(now, w);
        let free = self.free(w) - (self.k_of_kind(w) - slots).max(0.0);
        let own = worker.holding(self.settings.queues_in_order).collect();
        let (others, run) = (from_seconds(self.mean_service * self.pace(w)), self.run(now, id, w));
        // Not told how many wait: others as this node's here and in the mean, and two more in a small part.
        let here = worker.own.iter().filter(|o| !o.2).count() as f64;
        let mean = self.queued as f64 / (self.fleet[0] + self.fleet[1]).max(1.0);
        let n = f64::from(self.settings.nodes) - 1.0;
        let guess = n * mean / 2.0 + n.min(3.0) * here + 2.0 * n / (n + 10.0);
        let waiting = if self.tells_queue() { worker.queue } else { guess };
        let passed = |o: &&(Time, f64, bool, Time)| o.2 || o.1 > 1.0 && !self.settings.queues_in_order;
        let first = worker.own.iter().find(|o| !passed(o)).filter(|_| self.settings.start_reported);
        let waited = first.map_or(Duration::ZERO, |o| now.since(o.0));
        let in_order = self.settings.queues_in_order;
        WorkerForecast {
            worker: w,
            slots,
            free_slots: free,
            own_jobs: own,
            other_job_time: others,
            queued_slots: waiting,
            longest_wait: waited,
            queue_in_order: in_order,
            run_time: run,
        }
    }

    fn outcome(
        &mut self, now: Time, id: RequestId, no: AttemptNo, status: Status, latency: Duration, closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(no.0)).filter(|a| a.open) else { return };
        a.open = false;
        self.queued -= usize::from(a.queued);
        let (w, sent, slots, queued, level) = (a.worker, a.sent, a.slots, a.queued, a.level);
        // Service time counts from the start, or if that is not told, where a job did not have to wait.
        let took = a.started.map_or(latency, |at| now.since(at));
        let work = r.work.filter(|_| status == Status::Ok && a.started.is_some());
        if let (Some(work), Some(kind)) = (work, self.kinds.get_mut(&self.workers[a.worker].kind)) {
            kind.record_hinted_run(took, work);
        }
        let known = (a.started.is_some() || !queued).then_some(r.class);
        if status == Status::Full && !queued && !self.stale(w) {
            self.learn_age(false); // The report that showed room was old: look more often from here on.
            self.checks = 0;
        }
        let full = status == Status::Full;
        if (full || status == Status::Ok) && !queued && self.stale(w) {
            update_mean(&mut self.turned_away, f64::from(u8::from(full)), EWMA_GAIN);
        }
        if full || status == Status::Ok && !self.settings.start_reported {
            self.learn_meaning(w, level, full);
        }
        if status != Status::Moot {
            self.settle(now, w, sent, slots, known, status, took);
        } else {
            self.workers[w].own.retain(|o| (o.0, o.1) != (sent, slots));
        }
        self.reservations.release(id);
        self.wake(now, self.reservations.holders(w), out);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if closed || r.phase == Phase::Done {
            return self.finish(id, None, out);
        }
        if status == Status::Full {
            r.refused.push(w);
        }
        if !self.settings.never_ran(status) && r.ran.is_none_or(|(_, at)| sent < at) {
            r.ran = Some((w, sent));
        }
        if r.open() {
            return;
        }
        if status == Status::Moot || !self.may_send(now, id) || now >= self.last_start(id) {
            return self.give_up(id, out);
        }
        self.round(now, id, out);
    }

    fn settle(
        &mut self, now: Time, w: usize, sent: Time, slots: f64, class: Option<usize>, status: Status,
        latency: Duration,
    ) {
        let worker = &mut self.workers[w];
        if let Some(i) = worker.own.iter().position(|o| (o.0, o.1) == (sent, slots)) {
            worker.own.remove(i);
        }
        worker.failed(now, status);
        if matches!(status, Status::Ok | Status::Error | Status::Full) {
            worker.idle.push_back(now);
        }
        match status {
            Status::Ok => {
                worker.outliers.record_served_job();
                if let Some(class) = class {
                    let usual = self.service[class].max(f64::MIN_POSITIVE);
                    let kind = self.kinds.get_mut(&worker.kind);
                    kind.into_iter().for_each(|kind| {
                        update_mean(&mut kind.relative_service_time, seconds(latency) / usual, EWMA_GAIN)
                    });
                    update_mean(&mut self.service[class], seconds(latency), EWMA_GAIN);
                    update_mean(&mut self.mean_service, seconds(latency), EWMA_GAIN);
                }
            }
            Status::Error | Status::Timeout => self.strike(now, w),
            Status::Full | Status::ConnectFailed | Status::Reset | Status::Cancelled | Status::Moot => {}
        }
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let harmless = match self.settings.classes[r.class].idempotency {
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => {
                true
            }
            _ => r.ran.is_none() && !r.open(),
        };
        let advice = from_seconds(self.mean_service * self.rng.random_range(0.5..1.5));
        let retry_after =
            self.settings.retry_after_enabled.then_some(advice.min(self.settings.max_retry_after));
        let answer = if harmless { Action::Refuse { id, retry_after } } else { Action::Fail { id } };
        self.finish(id, Some(answer), out);
    }

    /// Ends a request: at most one answer, and its attempts are called back.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.phase != Phase::Done {
            out.extend(answer);
            let open =
                r.attempts.iter().enumerate().filter(|(_, a)| a.open && self.settings.cancelling_enabled);
            out.extend(open.map(|(no, _)| Action::Cancel { id, attempt: AttemptNo(no as u8) }));
        }
        r.phase = Phase::Done;
        if !r.open() {
            self.requests.remove(&id);
        }
        self.reservations.release(id);
    }

    /// Whether another attempt is allowed, by the rules of the request's class.
    fn may_send(&self, now: Time, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let more = (r.attempts.len() as u32) < self.settings.max_attempts && r.phase != Phase::Done;
        more && now < r.deadline && (!r.open() || self.settings.hedging_enabled) && self.may_repeat(now, r)
    }

    fn may_repeat(&self, now: Time, r: &Request) -> bool {
        let ran = r.ran.or_else(|| r.attempts.iter().find(|a| a.open).map(|a| (a.worker, a.sent)));
        match (self.settings.classes[r.class].idempotency, ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Deduplicated { window, .. }, Some((_, at))) => now < at + window,
        }
    }

    /// Whether `w` may get this request at this moment, by every rule. Held before every send.
    fn eligible(&self, now: Time, id: RequestId, w: usize) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let worker = &self.workers[w];
        let class = &self.settings.classes[r.class];
        let open = r.attempts.iter().find(|a| a.open).map(|a| a.worker);
        let in_group = match (class.idempotency, r.ran.map(|(f, _)| f).or(open)) {
            (Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. }, Some(f)) => {
                worker.zone == self.workers[f].zone
            }
            (Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. }, Some(f)) => {
                worker.cell == self.workers[f].cell
            }
            _ => true,
        };
        worker.state == WorkerState::Ready
            && in_group
            && permits(class, worker)
            && self.may_send(now, id)
            && (self.warm(now, w) || worker.reports > 0 && self.room(now, w, r.slots, 0.0))
            && (!self.reservations.any_at(w)
                || self.reservations.allows(now, id, r.slots, &self.outlook(now, id, w)))
    }

    /// A random worker of the kind and zone wanted, suspects left out as long as there are others.
    fn draw(&mut self, now: Time, id: RequestId, away: bool) -> Option<usize> {
        let r = self.requests.get(&id)?;
        let class = &self.settings.classes[r.class];
        let bound = r.ran.is_some() || r.open();
        let pool = self.pools.get(r.class)?;
        if bound
            && matches!(
                class.idempotency,
                Idempotency::Deduplicated { scope: DeduplicationScope::Zone | DeduplicationScope::Cell, .. }
            )
        {
            let fresh = |w: &usize| !r.drawn.contains(w) && !r.refused.contains(w);
            let all = pool.iter().flatten().copied();
            let group: Vec<usize> = all.filter(|w| fresh(w) && self.eligible(now, id, *w)).collect();
            return (!group.is_empty()).then(|| group[self.rng.random_range(0..group.len())]);
        }
        let pool = Some(&pool[usize::from(away)]).filter(|pool| !pool.is_empty())?;
        let fresh = |w: &usize| !r.drawn.contains(w) && !r.refused.contains(w);
        let wide = |w: &usize| self.workers[*w].reports < 2 || self.k_of_kind(*w) >= r.slots;
        // One seen without room a moment ago has none now: a client that repeats at once goes on to others.
        let from = if self.by_waits(id) { now } else { now - from_seconds(0.03 * self.mean_service) };
        let full = |w: &usize| self.workers[*w].reported > from && !self.room(now, *w, r.slots, 0.0);
        let well = |w: &usize| self.workers[*w].outliers.is_healthy(now, r.class) && wide(w);
        let sound = |w: &usize| well(w) && fresh(w) && !full(w);
        // Exception: a large job goes back to the worker held for it, then on to where it would end first.
        let held = self.reservations.get(id).map(|h| h.worker).filter(|w| r.drawn.is_empty() && fresh(w));
        let end = |w: &usize| self.outlook(now, id, *w).expected_end(now, r.slots);
        let more = r.large && !r.drawn.is_empty();
        let first = held.or_else(|| pool.iter().copied().filter(|w| more && sound(w)).min_by_key(end));
        // Exception: a job that is about something is drawn for in an order that its key gives all nodes.
        let weight =
            |w: usize| self.kinds.get(&self.workers[w].kind).map_or(1.0, |k| k.slots.round().max(1.0));
        let place = |w: &usize| affinity::rank(r.key, self.workers[*w].name, weight(*w));
        let keyed = || {
            let all = self.pools[r.class].iter().flatten().copied().filter(|w| r.key != 0 && sound(w));
            let near = self.popularity.replicas(r.key, self.pools[r.class].iter().map(Vec::len).sum());
            affinity::first_by_rank(all, near, place).into_iter().min_by_key(|w| (self.side(*w), place(w)))
        };
        if let Some(w) = first.or_else(keyed) {
            return Some(w);
        }
        for (size, suspects) in [(self.spread(pool.len()), false), (pool.len(), false), (pool.len(), true)] {
            for _ in 0..DRAWS {
                let w = pool[self.rng.random_range(0..size)];
                let taken = r.drawn.contains(&w) || r.refused.contains(&w);
                let narrow = self.workers[w].reports >= 2 && self.k_of_kind(w) < r.slots;
                if !taken && !narrow && (suspects || self.workers[w].outliers.is_healthy(now, r.class)) {
                    return Some(w);
                }
            }
        }
        None
    }

    /// Exception: where handshakes are priced, draws come from the first workers of an order of the node's.
    fn spread(&self, size: usize) -> usize {
        let prices = &self.settings.prices;
        if prices.handshake <= 0.0 {
            return size;
        }
        let reused = self.arrivals.per_second * seconds(self.settings.keepalive) / USES_PER_CONNECTION;
        let each = prices.connection * f64::from(self.settings.nodes) / (100.0 * size.max(1) as f64);
        let worth = prices.handshake / USES_PER_CONNECTION / each; // Infinite where they cost nothing.
        (reused.min(worth).max(MIN_SPREAD) as usize).min(size)
    }

    fn timer(&mut self, now: Time, timer: TimerToken, out: &mut Vec<Action>) {
        let id = RequestId(timer.0 as u32);
        let extra = (timer.0 >> 32) as u32 & 0xff_ffff;
        match timer.0 >> 56 {
            k if k == Timer::Deadline as u64 => {
                self.give_up(id, out);
            }
            k if k == Timer::Turn as u64 => self.turn_over(now, id, extra, out),
            k if k == Timer::Silence as u64 => self.look(id, AttemptNo(extra as u8), true, out),
            k if k == Timer::Check as u64 => self.look(id, AttemptNo(extra as u8), false, out),
            k if k == Timer::Ask as u64 && self.settings.discovery == Discovery::Poll && !self.subscribed => {
                out.push(Action::Watch);
            }
            _ => {}
        }
    }

    fn turn_over(&mut self, now: Time, id: RequestId, turn: u32, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.turn & 0xff_ffff == turn) else { return };
        match r.phase {
            Phase::First => {
                // A worker that was held for it and says nothing is lost to it; the others come next.
                r.refused.extend(self.reservations.get(id).map(|held| held.worker));
                self.reservations.release(id);
                self.more(now, id, out);
            }
            Phase::More(_) if r.answered.is_empty() => self.hold(now, id, out),
            Phase::More(_) => self.choose(now, id, out),
            Phase::Held => self.round(now, id, out),
            _ => {}
        }
    }

    // ---- Health: reports and their age, strikes ----

    fn report(&mut self, now: Time, w: usize, report: &[f32]) {
        if report.len() != self.settings.report_fields.len() || report.is_empty() {
            return;
        }
        let held_only = self.tells(ReportField::InFlight) && !self.tells(ReportField::Queue);
        let worker = &mut self.workers[w];
        for (field, value) in self.settings.report_fields.iter().zip(report) {
            let value = f64::from(*value).max(0.0);
            match field {
                ReportField::FreeSlots => {
                    worker.free = value.round();
                    worker.k = worker.k.max(worker.free);
                    let kind = self.kinds.entry(worker.kind).or_insert(KindEstimate::new(worker.k));
                    update_mean(&mut kind.slots, worker.k, EWMA_GAIN);
                }
                ReportField::FreeMemory => {
                    worker.memory = value;
                    worker.k_memory = worker.k_memory.max(value);
                }
                ReportField::Queue => worker.queue = value.round(),
                ReportField::InFlight => worker.inflight = value.round(),
                ReportField::Utilization | ReportField::Other => {}
            }
        }
        if held_only {
            worker.queue = (worker.inflight - (worker.k - worker.free)).round().max(0.0);
        }
        // The list tells of a restart seconds later. One broken connection is none: any may break.
        let (failures, since) = std::mem::take(&mut worker.down);
        if failures > 1 && now >= since + self.settings.overload_time {
            worker.started = worker.started.max(Some(now));
        }
        worker.reported = now;
        worker.reports = worker.reports.saturating_add(1);
        if worker.reports >= 2 {
            let busy = worker.k - worker.free + worker.queue;
            update_mean(&mut self.mean_busy, busy, EWMA_GAIN);
        }
    }

    fn tells_queue(&self) -> bool {
        self.tells(ReportField::Queue) || self.tells(ReportField::InFlight)
    }

    fn tells(&self, field: ReportField) -> bool {
        self.settings.report_fields.contains(&field)
    }

    /// Jobs held, by the last report.
    fn counted(&self, w: usize) -> f64 {
        let worker = &self.workers[w];
        if worker.inflight > 0.0 { worker.inflight } else { worker.k - worker.free + worker.queue }
    }

    /// The age of reports is the while after a send by which two in three jobs show (a staircase).
    fn learn_age(&mut self, shown: bool) {
        let age = self.age.mul_f64(if shown { 0.8 } else { 1.5 });
        self.age = age.clamp(self.settings.tick, self.settings.warm_up_time.max(self.settings.tick));
    }

    /// Reports are stale if a worker may have filled or emptied a slot since.
    fn stale(&self, w: usize) -> bool {
        seconds(self.age) * self.workers[w].k.max(1.0) > self.mean_service
    }

    fn probed(
        &mut self, now: Time, id: WorkerId, status: Status, latency: Duration, report: &[f32],
        out: &mut Vec<Action>,
    ) {
        let Some(&w) = self.index.get(&id) else { return };
        let worker = &mut self.workers[w];
        let (waiting, ok) = (worker.probes.pop_front(), status == Status::Ok);
        worker.failed(now, status);
        if ok {
            worker.outliers.record_answered_probe();
            self.report(now, w, report);
            self.round_trip.record(seconds(latency));
        } else if status != Status::Reset && worker.reported + latency <= now {
            // A broken connection says nothing, nor does a silent one of a worker heard since.
            worker.outliers.record_failed_probe(now);
        }
        self.close_idle(w, out);
        match waiting {
            Some(Asker::Request(id, turn)) => self.probe_result(now, id, turn, w, ok, out),
            Some(Asker::Silence(id, no)) if ok => self.silent(now, id, no, out),
            Some(Asker::Check(before)) if ok => self.learn_age(self.counted(w) > before),
            _ => {}
        }
    }

    /// Bad work: out of the draws for a cold worker's fall or two visits, if longer; doubled; jobs clear it.
    fn strike(&mut self, now: Time, w: usize) {
        let pool = self.pools.last().map_or(0, |p| self.spread(p[0].len()));
        let revisit =
            from_seconds(2.0 * pool as f64 / self.arrivals.per_second.max(0.1)).min(self.settings.keepalive);
        self.workers[w].outliers.record_failed_job(now, self.settings.overload_time.max(revisit));
    }

    /// Probes the worker of an attempt that is out: to learn the age of reports, or if it has not started.
    fn look(&mut self, id: RequestId, no: AttemptNo, silence: bool, out: &mut Vec<Action>) {
        let Some(a) = self.attempt(id, no).filter(|a| a.open && !(silence && a.started.is_some())) else {
            return;
        };
        let asker = if silence { Asker::Silence(id, no) } else { Asker::Check(a.found) };
        let w = a.worker;
        if self.workers[w].state == WorkerState::Ready {
            self.workers[w].probes.push_back(asker);
            out.push(Action::Probe { worker: self.workers[w].id });
        }
    }

    /// Whether a cold worker that was drawn takes part. All nodes may see the same free slot, so each draws
    /// lots for its even part of half of what pushes the worker over. A job that alone is half as much waits.
    fn cold_admits(&mut self, now: Time, id: RequestId, w: usize) -> bool {
        let warmth = self.workers[w].warmth(now, &self.settings);
        if warmth >= 1.0 {
            return true;
        }
        // Hints are rough, and many light jobs press as well: none counts as less than a mean one.
        let Some(cost) = self.requests.get(&id).map(|r| r.cost.max(1.0)) else { return false };
        let rate =
            warmth * self.k_of_kind(w).max(1.0) / (self.mean_service * self.pace(w)).max(f64::MIN_POSITIVE);
        let bearable = (0.5 * self.settings.overload_multiple * rate).max(0.5 / seconds(self.lag()));
        let side = self.side(w);
        let draws = self.draws[side].per_second / self.fleet[side].max(1.0);
        // Nodes stand where workers stand; those at home have most of the use of a worker.
        let nodes = f64::from(self.settings.nodes.max(1))
            * [self.fleet[0] / self.fleet.iter().sum::<f64>(), 1.0][side];
        let part = if self.fleet[1] > 0.0 { [1.0 - AWAY_PART, AWAY_PART][side] } else { 1.0 };
        let lot = part * bearable / (nodes * draws * cost).max(f64::MIN_POSITIVE);
        cost <= (bearable * seconds(self.settings.overload_time) / 2.0).max(1.0)
            && self.rng.random_bool(lot.clamp(0.0, 1.0))
    }

    /// Work of a request, in mean jobs.
    fn cost(&mut self, class: usize, work: Option<Duration>) -> f64 {
        let Some(hint) = work.map(seconds).filter(|hint| *hint > 0.0) else {
            return self.service[class] / self.mean_service.max(f64::MIN_POSITIVE);
        };
        let seen = if self.mean_hint > 0.0 { self.mean_hint } else { hint };
        self.mean_hint = seen + EWMA_GAIN * (hint - seen);
        hint / self.mean_hint
    }

    /// 0: at home, 1: away, where crossing is priced.
    fn side(&self, w: usize) -> usize {
        let priced = self.settings.prices.cross_zone > 0.0;
        usize::from(priced && self.workers[w].zone != self.settings.zone)
    }

    /// How long a request may wait and be in time: its aim, and what stretch leaves for half a mean job.
    fn patience(&self, id: RequestId) -> Duration {
        let Some(r) = self.requests.get(&id) else { return Duration::ZERO };
        let class = &self.settings.classes[r.class];
        let slack = seconds(class.latency_target);
        let whole = seconds(r.deadline.since(r.arrived));
        match r.work {
            // What its own work leaves, on a worker of usual speed.
            Some(work) => {
                from_seconds((slack + class.latency_stretch * work).min(whole) - work * self.best_pace())
            }
            None => {
                let slack = slack + 0.5 * (class.latency_stretch - 1.0).max(0.0) * self.service[r.class];
                from_seconds(slack).min(r.deadline.since(r.arrived) / 2)
            }
        }
    }

    /// A late answer keeps some worth, and workers tell of starts but not of their queues.
    fn by_waits(&self, id: RequestId) -> bool {
        self.late_value(id) > 0.0 && self.settings.start_reported && !self.tells_queue()
    }

    fn late_value(&self, id: RequestId) -> f64 {
        self.requests.get(&id).map_or(0.0, |r| self.settings.classes[r.class].late_value)
    }

    fn in_time_until(&self, id: RequestId) -> Time {
        self.requests.get(&id).map_or(Time(0), |r| r.arrived + self.patience(id))
    }

    /// From here on it is not worth starting: late or, where that keeps some worth, half its time gone.
    fn last_start(&self, id: RequestId) -> Time {
        let Some(r) = self.requests.get(&id) else { return Time(0) };
        r.arrived
            + if self.late_value(id) > 0.0 { r.deadline.since(r.arrived) / 2 } else { self.patience(id) }
    }

    /// How long a job would wait at a worker for its slots, in seconds.
    fn wait(&self, now: Time, id: RequestId, w: usize) -> f64 {
        let slots = self.requests.get(&id).map_or(1.0, |r| r.slots);
        let wait = |o: WorkerForecast| {
            o.expected_start(now, slots).map_or(f64::INFINITY, |at| seconds(at.since(now)))
        };
        if self.room(now, w, slots, 0.0) { 0.0 } else { wait(self.outlook(now, id, w)) }
    }

    /// Whether a request would end in time there, by its hint.
    fn ends_in_time(&self, now: Time, id: RequestId, w: usize) -> bool {
        let hinted = self.requests.get(&id).is_some_and(|r| r.work.is_some());
        !hinted || now + from_seconds(self.wait(now, id, w)) + self.run(now, id, w) <= self.due(id)
    }

    /// Time that a second of hinted work takes on the fastest kind of machine.
    fn best_pace(&self) -> f64 {
        self.kinds.values().map(KindEstimate::seconds_per_hinted_second).reduce(f64::min).unwrap_or(1.0)
    }

    /// Its kind's times as a multiple of what is usual.
    fn pace(&self, w: usize) -> f64 {
        self.kinds.get(&self.workers[w].kind).map_or(1.0, |kind| kind.relative_service_time)
    }

    /// How long a request would run there: by its hint, at the pace learned for the kind, slower while cold.
    fn run(&self, now: Time, id: RequestId, w: usize) -> Duration {
        let warm = (LIKELY * self.workers[w].warmth(now, &self.settings)).min(1.0);
        let per_hint =
            self.kinds.get(&self.workers[w].kind).map_or(1.0, KindEstimate::seconds_per_hinted_second);
        match self.requests.get(&id).and_then(|r| r.work) {
            Some(work) => from_seconds(work * per_hint / warm),
            None => from_seconds(self.mean_service * self.pace(w)),
        }
    }

    /// Until when an answer has full worth, by the request's hint.
    fn due(&self, id: RequestId) -> Time {
        let Some(r) = self.requests.get(&id) else { return Time(0) };
        let class = &self.settings.classes[r.class];
        r.deadline.min(
            r.arrived + class.latency_target + from_seconds(class.latency_stretch * r.work.unwrap_or(0.0)),
        )
    }

    fn worth_queueing(&self, now: Time, id: RequestId, w: usize) -> bool {
        if self.requests.get(&id).is_some_and(|r| r.work.is_some()) {
            return self.ends_in_time(now, id, w);
        }
        // By the waits seen; less for whoever is over its share.
        if self.by_waits(id) {
            let over = self.requests.get(&id).map_or(1.0, |r| self.shares.relative_usage(r.tenant));
            return self.queueing(now, w) * over <= seconds(self.patience(id));
        }
        let ahead = (self.busy(w) - self.workers[w].k + 1.0).max(0.0);
        let wait = self.wait(now, id, w);
        // Where a late answer keeps some worth, one job ahead is never too many.
        now + from_seconds(wait * if ahead > 1.0 { 2.0 } else { 1.0 }) <= self.in_time_until(id)
            || self.late_value(id) > 0.0 && ahead <= 1.0
    }

    // ---- Discovery ----

    fn members(&mut self, now: Time, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        let ask = self.settings.discovery == Discovery::Poll;
        match kind {
            ListKind::Failed => (self.subscribed, self.asks) = (false, self.asks + 1),
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Full => (self.subscribed, self.asks) = (ask, 0),
        }
        if ask && !self.subscribed {
            // All nodes may have to ask at once: spread by their number, backed off, within the stated time.
            let within = self.settings.max_discovery_interval.mul_f64(0.75);
            let part = f64::from(self.settings.nodes.max(3)) * f64::from(1 << self.asks.min(3)) / 40.0;
            let at = now + within.mul_f64(part.min(1.0) * self.rng.random_range(0.1..1.0));
            out.push(Action::SetTimer { at, token: token(Timer::Ask, 0, 0) });
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: std::collections::HashSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            for worker in self.workers.iter_mut().filter(|w| !listed.contains(&w.id)) {
                worker.state = WorkerState::Gone;
            }
        }
        for e in entries {
            let w = self.entry(e);
            self.close_idle(w, out);
        }
        if !matches!(kind, ListKind::Failed) {
            self.rebuild_pools();
        }
        let lost = |w: &Worker| w.state != WorkerState::Ready || w.warmth(now, &self.settings) < 1.0;
        let lost = self.reservations.release_where(|w| lost(&self.workers[w]));
        self.wake(now, lost, out);
    }

    fn entry(&mut self, e: &Entry) -> usize {
        let w = *self.index.entry(e.worker).or_insert_with(|| {
            // The place in this node's order: a hash of its seed and the worker's id.
            let rank = Pcg64Mcg::seed_from_u64(self.seed ^ u64::from(e.worker.0)).random();
            self.workers.push(Worker { id: e.worker, rank, ..Worker::default() });
            self.workers.len() - 1
        });
        let worker = &mut self.workers[w];
        (worker.zone, worker.kind, worker.cell) = (e.zone, e.kind, e.cell);
        (worker.state, worker.name) = (e.state, e.name);
        if e.started > worker.started {
            // A new process: what was held against the old one is gone with it.
            worker.started = e.started;
            (worker.outliers, worker.recent_keys, worker.waits) = Default::default();
        }
        w
    }

    /// Rule of closing on drains, where stated: at the notice, and whenever an attempt or a probe ends there.
    fn close_idle(&self, w: usize, out: &mut Vec<Action>) {
        let worker = &self.workers[w];
        if self.settings.close_idle_within.is_some() && worker.state == WorkerState::Draining {
            out.push(Action::CloseIdle { worker: worker.id });
        }
    }

    /// A class is drawn from the workers permitted to it only. If all are away, that is its home.
    pub(crate) fn rebuild_pools(&mut self) {
        let mut order: Vec<usize> = (0..self.workers.len()).collect();
        order.retain(|w| self.workers[*w].state == WorkerState::Ready);
        order.sort_by_key(|w| (self.workers[*w].rank, self.workers[*w].id));
        let home = |w: &usize| self.side(*w) == 0;
        let pool = |class: Option<&Class>| {
            let open = order.iter().filter(|w| class.is_none_or(|c| permits(c, &self.workers[**w])));
            let (home, away): (Vec<_>, Vec<_>) = open.copied().partition(home);
            if home.is_empty() { [away, home] } else { [home, away] }
        };
        let pools = self.settings.classes.iter().map(Some).chain([None]).map(pool).collect();
        let at_home = order.iter().filter(|w| home(w)).count();
        self.fleet = [at_home as f64, (order.len() - at_home) as f64];
        self.pools = pools;
    }
}
