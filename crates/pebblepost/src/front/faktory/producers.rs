//! Commands of producers: pushes, and the responses to them.

use super::jobs::{DuplicatePush, Job};
use super::protocol::DEFAULT_QUEUE;
use super::session::Waiting;
use super::{Faktory, send_error, set_waiting};
use crate::context::Context;
use crate::engine::{FinalResponse, Input, Request};
use crate::net::ConnectionKey;
use pebblepost_dispatch::api::{ClassId, RequestId, TenantId};
use serde_json::Value;
use std::time::Duration;

/// Permitted values of a job's `reserve_for`, in seconds.
const RESERVE_FOR_RANGE_S: std::ops::RangeInclusive<f64> = 0.001..=86_400.0;

/// A job as parsed from a push.
struct PushedJob<'a> {
    deduplication_key: String,
    jid: &'a str,
    /// Index of the job's queue in the configuration.
    queue: usize,
    reserve_for: Duration,
}

impl Faktory {
    /// Handles `PUSH`: passes a new job to the engine, or handles the push as a duplicate.
    ///
    /// While the node drains, new jobs are rejected, but duplicates still get their response.
    pub(super) fn push(&mut self, context: &mut Context, key: ConnectionKey, json: &Value, payload: &str) {
        let pushed = match self.parse_job(json) {
            Ok(pushed) => pushed,
            Err(error) => return send_error(context, key, error),
        };
        let now = context.net.now;
        match self.jobs.handle_duplicate(&pushed.deduplication_key, key, now) {
            Some(DuplicatePush::Reply(reply)) => return context.net.send(key, reply.as_bytes()),
            Some(DuplicatePush::Wait) => return set_waiting(context, key, Waiting::Response),
            None => {}
        }
        if context.is_draining() {
            return send_error(context, key, "refused, come back in 1.000 s");
        }
        let id = context.next_request_id();
        let queue = &self.config.queues[pushed.queue];
        let request = Request {
            class: ClassId(queue.class),
            time_left: queue.deadline,
            repeat: false,
            slots: 1.0,
            memory: 0.0,
            work: None,
            key: 0,
            tenant: TenantId(0),
        };
        let job = Job {
            deduplication_key: pushed.deduplication_key,
            jid: pushed.jid.to_owned(),
            payload: payload.as_bytes().to_vec(),
            queue: pushed.queue,
            reserve_for: pushed.reserve_for,
            delivered: false,
        };
        self.jobs.insert(id, job, key, now);
        set_waiting(context, key, Waiting::Response);
        context.inputs.push(Input::Request(id, request));
    }

    /// Parses a job and resolves its queue.
    ///
    /// # Errors
    ///
    /// Fails with the text of the error reply if a field is missing or malformed, or the queue is unknown.
    fn parse_job<'a>(&self, json: &'a Value) -> Result<PushedJob<'a>, &'static str> {
        let text = |name: &str| json.get(name).and_then(Value::as_str).filter(|text| !text.is_empty());
        let arguments = json.get("args").and_then(Value::as_array);
        let (Some(jid), Some(_), Some(_)) = (text("jid"), text("jobtype"), arguments) else {
            return Err("a job needs jid, jobtype and args");
        };
        if json.get("at").is_some_and(|at| !at.is_null() && at != "") {
            return Err("jobs for later are not taken here");
        }
        let queue = self.queue_index(text("queue").unwrap_or(DEFAULT_QUEUE)).ok_or("unknown queue")?;
        let reserve_for = match json.get("reserve_for") {
            None | Some(Value::Null) => self.config.reserve_for,
            Some(value) => {
                let seconds = value.as_f64().filter(|seconds| RESERVE_FOR_RANGE_S.contains(seconds));
                Duration::from_secs_f64(seconds.ok_or("bad reserve_for")?)
            }
        };
        let custom_key = self.config.key.as_ref().and_then(|key| json.pointer("/custom")?.get(key));
        let deduplication_key = custom_key.map_or_else(|| format!("jid {jid}"), |key| format!("key {key}"));
        Ok(PushedJob { deduplication_key, jid, queue, reserve_for })
    }

    /// Sends the final response to all producers that wait for the job.
    ///
    /// Returns `false` if the job does not belong to this front end.
    pub fn respond(&mut self, context: &mut Context, id: RequestId, response: FinalResponse) -> bool {
        if !self.jobs.contains(id) {
            return false;
        }
        let now = context.net.now;
        let Some(response) = self.jobs.respond(id, response, now) else { return true };
        for key in response.waiting {
            set_waiting(context, key, Waiting::Nothing);
            context.net.send(key, response.reply.as_bytes());
            if let Some(connection) = context.net.get(key) {
                connection.idle_since = Some(now);
            }
            self.on_data(context, key);
        }
        true
    }

    /// Handles the disconnection of a producer that waits for a response.
    ///
    /// The engine is notified unless another producer waits for the response or the job was already delivered to a worker.
    pub(super) fn on_producer_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        if let Some(id) = self.jobs.remove_producer(key) {
            context.inputs.push(Input::ClientDisconnected(id));
        }
    }
}
