//! Commands of worker processes: fetches, acknowledgements and heartbeats; and the delivery of jobs to them.

use super::protocol::{DEFAULT_QUEUE, OK_REPLY, QUIET_REPLY, bulk_string};
use super::session::Waiting;
use super::workers::{QueueWorker, Reservation};
use super::{Faktory, end_attempts, send_error, session, set_waiting};
use crate::context::Context;
use crate::engine::{AttemptId, Input};
use crate::net::ConnectionKey;
use pebblepost_dispatch::api::{KindId, ReportField, Status, WorkerId, WorkerState};
use serde_json::Value;
use std::time::Duration;

/// A `FETCH` for which no job arrives is answered after this time.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Backlog reported for a worker without a pending fetch. Such a worker cannot queue jobs, so a job sent to it would be
/// rejected and use up one of its attempts. With this backlog the decision module holds the job and probes again.
const NO_CAPACITY_BACKLOG_JOBS: f32 = 1_000.0;

impl Faktory {
    /// Handles `FETCH`: the connection waits for a job from one of the named queues. Unknown queues are ignored.
    pub(super) fn fetch(
        &mut self, context: &mut Context, key: ConnectionKey, wid: Option<String>, names: &str,
    ) {
        let Some(wid) = wid else { return send_error(context, key, "only workers with a wid fetch") };
        let names = if names.trim().is_empty() { DEFAULT_QUEUE } else { names };
        let queues: Vec<usize> =
            names.split_ascii_whitespace().filter_map(|name| self.queue_index(name)).collect();
        let Some(process) = self.workers.get_mut(&wid) else { return };
        process.fetching.push(key);
        if process.state == WorkerState::Ready {
            self.register_queues(context, &wid, &queues);
        }
        context.net.set_deadline(key, Some(FETCH_TIMEOUT));
        set_waiting(context, key, Waiting::Job(queues));
    }

    /// Registers the process with the engine as a worker of each queue from which it fetches for the first time.
    fn register_queues(&mut self, context: &mut Context, wid: &str, queues: &[usize]) {
        let mut changed = false;
        for queue in queues {
            let is_registered = self.workers.get(wid).is_some_and(|process| process.ids.contains_key(queue));
            if !is_registered {
                let config = &self.config.queues[*queue];
                let host = format!("{wid}/{}", config.name);
                let id = context.registry.register(&host, KindId(config.kind), WorkerState::Ready);
                self.workers.register(id, wid, *queue);
                changed = true;
            }
        }
        if changed {
            context.inputs.push(context.registry.membership());
        }
    }

    /// Answers a probe of a worker; its pending fetches count as its free slots.
    ///
    /// Returns `false` if the worker does not belong to this front end.
    pub fn probe(&mut self, context: &mut Context, id: WorkerId) -> bool {
        let Some(QueueWorker { wid, queue }) = self.workers.by_id(id) else { return false };
        let (status, report) = match self.workers.get(wid) {
            Some(process) => {
                let free = process.fetching.iter().filter(|key| fetches_from(context, **key, *queue)).count();
                let value = |field: &ReportField| match field {
                    ReportField::FreeSlots => free as f32,
                    ReportField::Queue if free == 0 => NO_CAPACITY_BACKLOG_JOBS,
                    _ => 0.0,
                };
                (Status::Ok, self.report_fields.iter().map(value).collect())
            }
            None => (Status::ConnectFailed, Vec::new()),
        };
        context.inputs.push(Input::Probed { worker: id, status, latency: Duration::ZERO, report });
        true
    }

    /// Delivers a job to one of the worker's pending fetches.
    ///
    /// Returns `false` if the worker does not belong to this front end. If the worker cannot take the job, the attempt fails.
    pub fn deliver(&mut self, context: &mut Context, attempt: AttemptId, id: WorkerId) -> bool {
        let Some(QueueWorker { wid, queue }) = self.workers.by_id(id).cloned() else { return false };
        let job = self.jobs.get_mut(attempt.request);
        let (Some(process), Some(job)) = (self.workers.get_mut(&wid), job) else {
            context.inputs.push(Input::attempt_failed(attempt, Status::ConnectFailed));
            return true;
        };
        // The engine sends no jobs to a draining worker. A fetch that was pending when the drain began gets no job.
        let can_take = process.state == WorkerState::Ready
            && job.queue == queue
            && !process.reservations.contains_key(&job.jid);
        let position = process.fetching.iter().position(|key| can_take && fetches_from(context, *key, queue));
        let Some(connection) = position.map(|position| process.fetching.remove(position)) else {
            context.inputs.push(Input::attempt_failed(attempt, Status::Full));
            return true;
        };
        job.delivered = true;
        let expires = context.net.now + job.reserve_for;
        process.reservations.insert(job.jid.clone(), Reservation { attempt, connection, expires });
        let payload = bulk_string(&job.payload);
        context.net.set_deadline(connection, None);
        set_waiting(context, connection, Waiting::Nothing);
        context.inputs.push(Input::Started(attempt));
        context.net.send(connection, &payload);
        true
    }

    /// Drops the reservation of an abandoned attempt. The worker is not notified: the protocol has no message for that.
    pub fn abandon(&mut self, attempt: AttemptId) {
        for process in self.workers.processes_mut() {
            process.reservations.retain(|_, reservation| reservation.attempt != attempt);
        }
    }

    /// Handles `ACK` and `FAIL`. They are ignored, apart from the reply, if the worker no longer has a reservation for the job.
    pub(super) fn finish_job(
        &mut self, context: &mut Context, key: ConnectionKey, wid: Option<String>, json: &Value,
        status: Status,
    ) {
        let Some(jid) = json.get("jid").and_then(Value::as_str) else {
            return send_error(context, key, "jid is missing");
        };
        let process = wid.and_then(|wid| self.workers.get_mut(&wid));
        if let Some(reservation) = process.and_then(|process| process.reservations.remove(jid)) {
            context.inputs.push(Input::attempt_failed(reservation.attempt, status));
        }
        context.net.send(key, OK_REPLY);
    }

    /// Handles `BEAT`. A process that reports `quiet` or `terminate` is marked as draining.
    pub(super) fn heartbeat(
        &mut self, context: &mut Context, key: ConnectionKey, wid: Option<String>, json: &Value,
    ) {
        let sent_wid = json.get("wid").and_then(Value::as_str).map(str::to_owned).or(wid);
        let Some(wid) = sent_wid.filter(|wid| self.workers.contains(wid)) else {
            return send_error(context, key, "unknown worker");
        };
        if let Some(process) = self.workers.get_mut(&wid) {
            process.last_seen = context.net.now;
        }
        if let Some("quiet" | "terminate") = json.get("current_state").and_then(Value::as_str) {
            self.set_state(context, &wid, WorkerState::Draining);
        }
        // An operator's drain mark reaches the worker as the protocol's `quiet` state.
        let is_drained = self.workers.get(&wid).is_some_and(|process| {
            process.state == WorkerState::Ready
                && !process.ids.is_empty()
                && process.ids.values().all(|id| context.registry.is_drained(*id))
        });
        context.net.send(key, if is_drained { QUIET_REPLY } else { OK_REPLY });
    }

    /// Records that a worker process is draining or gone, and passes the new membership to the engine in the same iteration
    /// of the event loop.
    fn set_state(&mut self, context: &mut Context, wid: &str, state: WorkerState) {
        let Some(process) = self.workers.get_mut(wid).filter(|process| process.state != state) else {
            return;
        };
        process.state = state;
        let ids = process.ids.clone();
        for (queue, id) in &ids {
            let queue = &self.config.queues[*queue];
            context.registry.register(&format!("{wid}/{}", queue.name), KindId(queue.kind), state);
            if state == WorkerState::Gone {
                self.workers.unregister(*id);
            }
        }
        if !ids.is_empty() {
            context.inputs.push(context.registry.membership());
        }
        let state = if state == WorkerState::Gone { "gone" } else { "draining" };
        (context.log)(&format!("faktory: worker={wid} state={state}"));
    }

    /// Removes a lost worker process. Its attempts end with `status`, since the jobs it had fetched may have run.
    pub(super) fn remove_worker(&mut self, context: &mut Context, wid: &str, status: Status) {
        self.set_state(context, wid, WorkerState::Gone);
        if let Some(mut process) = self.workers.remove(wid) {
            end_attempts(context, process.end_reservations(|_| true), status);
        }
        // If the process comes back, it opens a new connection and registers as a new worker.
        for key in context.net.keys() {
            if session(context, key).is_some_and(|session| session.wid.as_deref() == Some(wid)) {
                context.net.close(key);
            }
        }
    }

    /// Handles the end of a worker's connection. Jobs fetched on it are lost; with its last connection the process is removed.
    pub(super) fn on_worker_connection_closed(
        &mut self, context: &mut Context, key: ConnectionKey, wid: &str,
    ) {
        let Some(process) = self.workers.get_mut(wid) else { return };
        process.connections -= 1;
        process.fetching.retain(|fetching| *fetching != key);
        let attempts = process.end_reservations(|reservation| reservation.connection == key);
        let was_last = process.connections == 0;
        end_attempts(context, attempts, Status::Reset);
        if was_last {
            self.remove_worker(context, wid, Status::Reset);
        }
    }
}

fn fetches_from(context: &mut Context, key: ConnectionKey, queue: usize) -> bool {
    session(context, key).is_some_and(|session| session.fetches_from(queue))
}
