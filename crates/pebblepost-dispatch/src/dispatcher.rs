//! The dispatcher: events in, actions out.
//!
//! Owns the state of a dispatcher, its random generator and its subscription to the membership. Passes each
//! event to the module concerned and makes no decision itself.

use crate::api::{Action, Class, ClassId, Entry, Event, ListKind, Settings, Time};
use crate::discovery::Subscription;
use crate::estimators::seconds;
use crate::node_state::{AttemptEnd, NodeState};
use crate::request_flow::RequestFlow;
use crate::request_table::{Arrival, Phase};
use crate::timers::Timer;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Decision module of one dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    state: NodeState,
    subscription: Subscription,
    random: Pcg64Mcg,
}

impl Dispatcher {
    /// Creates a dispatcher that has just started. The same settings, seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        Self {
            state: NodeState::new(settings, seed, now),
            subscription: Subscription::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Adds a class and returns its index. Existing classes and all learned estimates stay as they are.
    /// Returns `None` if there is no index left for another class.
    pub fn add_class(&mut self, class: Class) -> Option<ClassId> {
        let id = u16::try_from(self.state.settings.classes.len()).ok()?;
        self.state.service.add_class(class.latency_target);
        self.state.settings.classes.push(class);
        self.state.rebuild_pools();
        Some(ClassId(id))
    }

    /// Sets the number of dispatchers.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.state.settings.nodes = nodes;
    }

    /// Handles one event and appends the resulting actions in order. `now` must not be earlier than in the
    /// previous call.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Members { kind, entries } => self.members_changed(now, kind, &entries, actions),
            Event::Request { id, class, time_left, repeat, slots, memory, work, key, tenant } => {
                let arrival = Arrival {
                    id,
                    class: usize::from(class.0),
                    tenant: usize::from(tenant.0),
                    time_left,
                    is_retry: repeat,
                    slots: if slots > 0.0 { f64::from(slots) } else { 1.0 },
                    memory: f64::from(memory),
                    work: work.map(seconds).filter(|hint| *hint > 0.0),
                    key,
                };
                self.flow(now, actions).request_arrived(&arrival);
            }
            Event::Started { id, attempt } => self.state.record_start(now, id, attempt),
            Event::Progress { .. } => {}
            Event::StreamOpened { id, .. } => {
                // The client reads the stream from now on: no deadline applies, and the end of the stream
                // closes the request.
                if let Some(request) = self.state.requests.get_mut(id) {
                    request.phase = Phase::Answered;
                }
            }
            Event::Outcome { id, attempt, status, latency, closed, report, worker } => {
                let worker = self.state.workers.index_of(worker);
                if let Some(worker) = worker {
                    self.state.record_report(now, worker, &report);
                }
                let mut flow = self.flow(now, actions);
                flow.attempt_ended(&AttemptEnd { request: id, attempt, status, latency, closed });
                if let Some(worker) = worker {
                    flow.close_idle_if_draining(worker);
                }
            }
            Event::Probed { worker, status, latency, report } => {
                if let Some(worker) = self.state.workers.index_of(worker) {
                    self.flow(now, actions).probe_ended(worker, status, latency, &report);
                }
            }
            Event::ClientGone { id } => self.flow(now, actions).finish(id, None),
            Event::TimerDue { token } => {
                if let Some(timer) = Timer::from_token(token) {
                    self.timer_due(now, timer, actions);
                }
            }
        }
    }

    fn flow<'a>(&'a mut self, now: Time, actions: &'a mut Vec<Action>) -> RequestFlow<'a> {
        RequestFlow { now, state: &mut self.state, random: &mut self.random, actions }
    }

    fn timer_due(&mut self, now: Time, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::RequestDeadline(request) => self.flow(now, actions).reject(request),
            Timer::StepTimeout { request, step } => self.flow(now, actions).step_timed_out(request, step),
            Timer::StartCheck { request, attempt } => self.flow(now, actions).check_start(request, attempt),
            Timer::ReportAgeCheck { request, attempt } => {
                self.flow(now, actions).check_report_age(request, attempt);
            }
            Timer::DiscoveryPoll => {
                if self.subscription.must_poll(&self.state.settings) {
                    actions.push(Action::Watch);
                }
            }
        }
    }

    fn members_changed(&mut self, now: Time, kind: ListKind, entries: &[Entry], actions: &mut Vec<Action>) {
        self.subscription.record(&self.state.settings, kind);
        if self.subscription.must_poll(&self.state.settings) {
            let at = self.subscription.next_poll(&self.state.settings, now, &mut self.random);
            actions.push(Action::SetTimer { at, token: Timer::DiscoveryPoll.token() });
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.state.workers.remove_unlisted(entries);
        }
        for entry in entries {
            let worker = self.state.update_worker(entry);
            self.flow(now, actions).close_idle_if_draining(worker);
        }
        if kind != ListKind::Failed {
            self.state.rebuild_pools();
        }
        let holders = self.state.release_lost_reservations(now);
        self.flow(now, actions).restart_backed_off(holders);
    }
}
