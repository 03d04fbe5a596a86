//! The link between the event loop and the fleet store: what is agreed comes into force, and what is in force is reported.

use crate::context::Context;
use crate::engine::{Engine, Input};
use crate::fleet_agent::{FleetAgent, FleetView};
use crate::net::{Signal, Sockets};
use crate::timer::Timer;
use crate::unanswered_probes::UnansweredProbes;
use pebblepost_dispatch::api::Time;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the attempts in flight at drained workers and the state of the workers are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The fleet agent, and what the event loop has to report to it.
pub(super) struct FleetLink {
    agent: FleetAgent,
    /// The agreed revision that is in force once the inputs in hand are processed.
    applied_revision: u64,
    /// Whether a report is due after this turn.
    report_due: bool,
    probes: UnansweredProbes,
    /// Heartbeat time-out and reservation time of the Faktory front in the operator's file, in force where nothing is agreed.
    pub(super) default_timeouts: Option<(Duration, Duration)>,
}

impl FleetLink {
    pub(super) fn new(agent: FleetAgent, default_timeouts: Option<(Duration, Duration)>) -> Self {
        Self {
            agent,
            applied_revision: 0,
            report_due: false,
            probes: UnansweredProbes::default(),
            default_timeouts,
        }
    }

    /// Watches for updates of the agent.
    pub(super) fn watch(&self, net: &Sockets) -> io::Result<()> {
        self.agent.wake.set_nonblocking(true)?;
        net.watch_signal(Signal::Fleet, &self.agent.wake)
    }

    pub(super) fn control_address(&self) -> Option<SocketAddr> {
        self.agent.control_address
    }

    /// The body of responses to health checks.
    pub(super) fn status_line(&self) -> String {
        self.agent.status_line()
    }

    pub(super) fn set_ready(&self, ready: bool) {
        self.agent.set_ready(ready);
    }

    pub(super) fn schedule_report(&self, context: &mut Context) {
        context.net.timers.schedule(context.net.now + REPORT_INTERVAL, Timer::FleetReport);
    }

    /// Makes a report due after this turn.
    pub(super) fn request_report(&mut self) {
        self.report_due = true;
    }

    /// Records the results of probes among the inputs of a turn.
    pub(super) fn record_probes(&mut self, now: Time, inputs: &[Input]) {
        for input in inputs {
            if let Input::Probed { worker, status, .. } = input {
                self.probes.record(now, *worker, *status);
            }
        }
    }

    /// Takes the newest view, which is in force once the inputs in hand are processed.
    pub(super) fn take_view(&mut self) -> Arc<FleetView> {
        let view = self.agent.view();
        self.applied_revision = view.revision;
        self.report_due = true;
        view
    }

    /// Empties the pipe by which the agent notifies updates: one byte for each, while the newest view is what counts.
    pub(super) fn drain_notifications(&self) {
        while matches!((&self.agent.wake).read(&mut [0; 64]), Ok(1..)) {}
    }

    /// Reports what is in force by now, and what is in flight at drained workers.
    pub(super) fn report(&mut self, context: &Context, engine: &Engine) {
        self.agent.set_request_counts(engine.request_counts());
        if !std::mem::take(&mut self.report_due) {
            return;
        }
        let registry = &context.registry;
        let busy = engine.workers_with_attempts_in_flight(&registry.drained_workers()).into_iter();
        let busy = busy.filter_map(|worker| registry.drained_name(worker)?.parse().ok());
        self.agent.report_applied(self.applied_revision, busy.collect());
        let warm_up_time = engine.settings().warm_up_time;
        if let Some(observations) = registry.observations(context.net.now, warm_up_time, &self.probes) {
            self.agent.set_observations(observations);
        }
    }
}
