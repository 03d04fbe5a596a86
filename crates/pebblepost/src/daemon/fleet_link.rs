//! The link between the event loop and the fleet agent, which applies the agreed state and reports what has been applied.

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

/// Interval between reports of the attempts in flight at drained workers and of the state of the workers.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The fleet agent, and the state that the event loop reports to it.
pub(super) struct FleetLink {
    agent: FleetAgent,
    /// The agreed revision that is applied once the pending inputs are processed.
    applied_revision: u64,
    /// Whether a report is due at the end of this iteration of the event loop.
    report_due: bool,
    probes: UnansweredProbes,
    /// Heartbeat time-out and reservation time of the Faktory front from the operator's file. They apply where the fleet has no
    /// agreed setting.
    pub(super) configured_timeouts: Option<(Duration, Duration)>,
}

impl FleetLink {
    pub(super) fn new(agent: FleetAgent, configured_timeouts: Option<(Duration, Duration)>) -> Self {
        Self {
            agent,
            applied_revision: 0,
            report_due: false,
            probes: UnansweredProbes::default(),
            configured_timeouts,
        }
    }

    /// Registers the pipe by which the agent notifies the event loop of updates.
    pub(super) fn watch(&self, net: &Sockets) -> io::Result<()> {
        self.agent.wake.set_nonblocking(true)?;
        net.watch_signal(Signal::Fleet, &self.agent.wake)
    }

    /// Returns the address at which the agent accepts operators of this machine.
    pub(super) fn control_address(&self) -> Option<SocketAddr> {
        self.agent.control_address
    }

    /// Returns the line about the fleet for the body of responses to health checks.
    pub(super) fn status_line(&self) -> String {
        self.agent.status_line()
    }

    pub(super) fn set_ready(&self, ready: bool) {
        self.agent.set_ready(ready);
    }

    /// Schedules the timer of the next periodic report.
    pub(super) fn schedule_report(&self, context: &mut Context) {
        context.net.timers.schedule(context.net.now + REPORT_INTERVAL, Timer::FleetReport);
    }

    /// Makes a report due at the end of this iteration.
    pub(super) fn request_report(&mut self) {
        self.report_due = true;
    }

    /// Records the results of the probes among the inputs for the engine.
    pub(super) fn record_probes(&mut self, now: Time, inputs: &[Input]) {
        for input in inputs {
            if let Input::Probed { worker, status, .. } = input {
                self.probes.record(now, *worker, *status);
            }
        }
    }

    /// Takes the newest view, which is applied once the pending inputs are processed.
    pub(super) fn take_view(&mut self) -> Arc<FleetView> {
        let view = self.agent.view();
        self.applied_revision = view.revision;
        self.report_due = true;
        view
    }

    /// Empties the pipe by which the agent notifies the event loop. Each update writes one byte, but only the newest view is
    /// needed.
    pub(super) fn drain_notifications(&self) {
        while matches!((&self.agent.wake).read(&mut [0; 64]), Ok(1..)) {}
    }

    /// Reports the request counts and, if a report is due, the applied revision, the drained workers with attempts in flight
    /// and the state of the workers.
    pub(super) fn report(&mut self, context: &Context, engine: &Engine) {
        self.agent.set_request_counts(engine.request_counts());
        if !std::mem::take(&mut self.report_due) {
            return;
        }
        let registry = &context.registry;
        let busy_workers = engine.workers_with_attempts_in_flight(&registry.drained_workers()).into_iter();
        let busy_workers = busy_workers.filter_map(|worker| registry.drained_name(worker)?.parse().ok());
        self.agent.report_applied(self.applied_revision, busy_workers.collect());
        let warm_up_time = engine.settings().warm_up_time;
        if let Some(observations) = registry.observations(context.net.now, warm_up_time, &self.probes) {
            self.agent.set_observations(observations);
        }
    }
}
