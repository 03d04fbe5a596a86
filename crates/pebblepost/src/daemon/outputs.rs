//! Passes inputs to the engine and executes its outputs.

use super::Daemon;
use crate::engine::{Input, Output};
use crate::timer::Timer;
use pebblepost_dispatch::api::Status;

impl Daemon {
    /// Passes the pending inputs to the engine and executes its outputs. Then updates the readiness and sends reports to the fleet
    /// agent.
    pub(super) fn process_inputs(&mut self) {
        self.close_broken_connections();
        if !self.context.inputs.is_empty() {
            let mut inputs = std::mem::take(&mut self.context.inputs);
            if let Some(fleet) = &mut self.fleet {
                fleet.record_probes(self.context.net.now, &inputs);
            }
            let mut outputs = Vec::new();
            self.engine.process_inputs(self.context.net.now, &mut inputs, &mut outputs);
            for output in outputs {
                self.execute(output);
            }
            self.close_broken_connections();
        }
        let ready = self.status().is_ready();
        if ready != self.context.ready {
            self.context.ready = ready;
            (self.context.log)(if ready { "ready" } else { "not ready" });
            if let Some(fleet) = &self.fleet {
                fleet.set_ready(ready);
            }
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.report(&self.context, &self.engine);
        }
    }

    /// Handles connections that broke while output was written to them.
    fn close_broken_connections(&mut self) {
        while let Some(key) = self.context.net.broken.pop() {
            self.on_closed(key);
        }
    }

    fn execute(&mut self, output: Output) {
        let context = &mut self.context;
        let faktory = self.faktory.as_mut();
        match output {
            Output::Deliver { attempt, worker, time_left } => {
                if let Some(request) = self.platform.worker_request(attempt.request, time_left) {
                    self.workers.deliver(context, attempt, worker, &request);
                } else if !faktory.is_some_and(|faktory| faktory.deliver(context, attempt, worker)) {
                    context.inputs.push(Input::attempt_failed(attempt, Status::ConnectFailed));
                }
            }
            Output::Transmit { attempt, time_left } => {
                if let Some(request) = self.platform.worker_request(attempt.request, time_left) {
                    self.workers.transmit(context, attempt, &request);
                }
            }
            Output::Abandon(attempt) => {
                self.workers.abandon(context, attempt);
                if let Some(faktory) = faktory {
                    faktory.abandon(attempt);
                }
            }
            Output::Probe(worker) => {
                if !faktory.is_some_and(|faktory| faktory.probe(context, worker)) {
                    self.workers.probe(context, worker);
                }
            }
            Output::CloseIdle(worker) => self.workers.close_idle(context, worker),
            // Nothing to do: the watch is always open, so that changes take effect without waiting for the decision module.
            Output::Watch | Output::Fetch => {}
            Output::SetTimer(at, timer) => {
                context.net.timers.schedule(at, Timer::Engine(timer));
            }
            Output::Respond(id, response) => {
                if !self.platform.respond(context, id, &response)
                    && let Some(faktory) = faktory
                {
                    faktory.respond(context, id, response);
                }
            }
        }
    }
}
