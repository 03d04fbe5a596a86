//! Front end for the Faktory work protocol, version 2: producers push jobs, workers fetch them.
//!
//! A worker's pending `FETCH` commands count as its free slots and are the load report that a probe returns. `PUSH` is
//! answered with the job's single final response. A duplicate push within [`DEDUPLICATION_WINDOW`] does not run and gets the
//! response to the first. Each queue has its own request class and worker kind, so the engine sees a worker process that
//! fetches from two queues as two workers, which share the same slots.
//!
//! This module owns the jobs and the worker processes; the engine decides which worker gets a job.

mod consumers;
mod jobs;
mod producers;
mod protocol;
pub(crate) mod session;
mod workers;

pub use jobs::DEDUPLICATION_WINDOW;
pub use protocol::password_hash;

use crate::config::FaktoryConfig;
use crate::connection_role::ConnectionRole;
use crate::context::Context;
use crate::engine::{AttemptId, Input};
use crate::net::ConnectionKey;
use crate::timer::Timer;
use jobs::JobTable;
use pebblepost_dispatch::api::{ReportField, Status};
use protocol::{HASH_ITERATIONS, MAX_COMMAND_BYTES, OK_REPLY, PROTOCOL_VERSION, bulk_string};
use serde_json::{Value, json};
use session::{Session, Waiting};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;
use workers::WorkerTable;

/// A connection that has not sent a valid `HELLO` within this time is closed.
const HELLO_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the check for expired workers, reservations and responses.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Front end for the Faktory work protocol.
#[derive(Debug)]
pub struct Faktory {
    config: FaktoryConfig,
    report_fields: Vec<ReportField>,
    workers: WorkerTable,
    jobs: JobTable,
}

impl Faktory {
    /// Creates the front end and schedules the first expiry check.
    pub fn new(context: &mut Context, config: FaktoryConfig, report_fields: Vec<ReportField>) -> Self {
        schedule_expiry(context);
        Self { config, report_fields, workers: WorkerTable::default(), jobs: JobTable::default() }
    }

    /// Sets the time after which a silent worker counts as lost, and the default reservation time of jobs pushed from now on.
    pub fn set_timeouts(&mut self, heartbeat: Duration, reserve_for: Duration) {
        (self.config.heartbeat, self.config.reserve_for) = (heartbeat, reserve_for);
    }

    /// Handles a new connection. In this protocol the server sends the first message.
    pub fn on_open(&mut self, context: &mut Context, key: ConnectionKey) {
        let greeting = match &self.config.password {
            None => json!({"v": PROTOCOL_VERSION}),
            Some(_) => {
                let random = || RandomState::new().hash_one(0);
                let salt = format!("{:016x}{:016x}", random(), random());
                if let Some(session) = session(context, key) {
                    session.salt.clone_from(&salt);
                }
                json!({"v": PROTOCOL_VERSION, "i": HASH_ITERATIONS, "s": salt})
            }
        };
        context.net.set_deadline(key, Some(HELLO_TIMEOUT));
        context.net.send(key, format!("+HI {greeting}\r\n").as_bytes());
    }

    /// Handles received bytes, including commands buffered while a reply was pending.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) {
        while let Some(connection) = context.net.get(key) {
            let ConnectionRole::Faktory(session) = &connection.role else { return };
            if session.waiting != Waiting::Nothing {
                break; // Pipelined commands stay buffered until the reply is sent.
            }
            let end = connection.input.data().iter().position(|byte| *byte == b'\n');
            if end.unwrap_or(connection.input.len()) > MAX_COMMAND_BYTES {
                return self.close_with(context, key, &protocol::error_reply("command too long"));
            }
            let Some(end) = end else { break };
            let line = connection.input.data()[..end].trim_ascii().to_vec();
            connection.input.consume(end + 1);
            self.on_command(context, key, &line);
        }
        context.net.update_interest(key);
    }

    /// Handles the end of a connection.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        self.detach(context, key);
        context.net.close(key);
    }

    /// Handles an expired deadline: replies to a fetch for which no job arrived, or closes a connection without `HELLO`.
    pub fn on_deadline(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(session) = session(context, key) else { return };
        if !matches!(session.waiting, Waiting::Job(_)) {
            return self.on_closed(context, key);
        }
        let wid = session.wid.clone();
        if let Some(process) = wid.and_then(|wid| self.workers.get_mut(&wid)) {
            process.fetching.retain(|fetching| *fetching != key);
        }
        set_waiting(context, key, Waiting::Nothing);
        context.net.set_deadline(key, None);
        context.net.send(key, protocol::NO_JOB_REPLY);
        self.on_data(context, key);
    }

    /// Removes workers whose heartbeat timed out, expired reservations, and responses outside the deduplication window.
    pub fn expire(&mut self, context: &mut Context) {
        let now = context.net.now;
        schedule_expiry(context);
        for wid in self.workers.expired(now, self.config.heartbeat) {
            self.remove_worker(context, &wid, Status::Timeout);
        }
        for process in self.workers.processes_mut() {
            let attempts = process.end_reservations(|reservation| now >= reservation.expires);
            end_attempts(context, attempts, Status::Timeout);
        }
        self.jobs.expire(now);
    }

    fn on_command(&mut self, context: &mut Context, key: ConnectionKey, line: &[u8]) {
        let Ok(line) = std::str::from_utf8(line) else {
            return send_error(context, key, "command is not valid UTF-8");
        };
        let (verb, arguments) = line.split_once(' ').unwrap_or((line, ""));
        let Some(session) = session(context, key) else { return };
        let (is_greeted, wid) = (session.is_greeted, session.wid.clone());
        if !is_greeted && verb != "HELLO" {
            return self.close_with(context, key, &protocol::error_reply("say HELLO first"));
        }
        if let Some(process) = wid.as_ref().and_then(|wid| self.workers.get_mut(wid)) {
            process.last_seen = context.net.now;
        }
        match verb {
            "HELLO" if is_greeted => send_error(context, key, "HELLO was said"),
            "END" => self.close_with(context, key, "+OK\r\n"),
            "INFO" => self.info(context, key),
            "FETCH" => self.fetch(context, key, wid, arguments),
            "HELLO" | "PUSH" | "ACK" | "FAIL" | "BEAT" => {
                let json = serde_json::from_str::<Value>(arguments).ok().filter(Value::is_object);
                let Some(json) = json else {
                    return send_error(context, key, "malformed JSON, an object is wanted");
                };
                match verb {
                    "HELLO" => self.hello(context, key, &json),
                    "PUSH" => self.push(context, key, &json, arguments),
                    "ACK" => self.finish_job(context, key, wid, &json, Status::Ok),
                    "FAIL" => self.finish_job(context, key, wid, &json, Status::Error),
                    _ => self.heartbeat(context, key, wid, &json),
                }
            }
            _ => send_error(context, key, "unknown command"),
        }
    }

    fn hello(&mut self, context: &mut Context, key: ConnectionKey, json: &Value) {
        if json.get("v").and_then(Value::as_u64) != Some(PROTOCOL_VERSION) {
            let reply = protocol::error_reply("version 2 of the protocol is spoken here");
            return self.close_with(context, key, &reply);
        }
        let Some(session) = session(context, key) else { return };
        if let Some(password) = &self.config.password {
            let presented_hash = json.get("pwdhash").and_then(Value::as_str).unwrap_or("");
            if presented_hash != password_hash(password, &session.salt, HASH_ITERATIONS) {
                return self.close_with(context, key, &protocol::error_reply("invalid password"));
            }
        }
        session.is_greeted = true;
        let wid = json.get("wid").and_then(Value::as_str).filter(|wid| !wid.is_empty());
        session.wid = wid.map(str::to_owned);
        context.net.set_deadline(key, None);
        if let Some(wid) = wid {
            self.workers.connect(wid.to_owned(), context.net.now);
        }
        context.net.send(key, OK_REPLY);
    }

    fn info(&mut self, context: &mut Context, key: ConnectionKey) {
        let queues: Vec<&str> = self.config.queues.iter().map(|queue| queue.name.as_str()).collect();
        let info = json!({
            "server": {"description": "pebblepost", "faktory_version": "2",
                       "connections": context.net.connection_count()},
            "faktory": {"queues": queues, "workers": self.workers.len(), "free_slots": self.workers.fetching(),
                        "running": self.workers.reserved(), "total_enqueued": self.jobs.pending(),
                        "total_pushed": self.jobs.pushed(), "total_processed": self.jobs.served()},
        });
        context.net.send(key, &bulk_string(info.to_string().as_bytes()));
    }

    /// Removes the connection from all state, sends a last reply and closes it.
    fn close_with(&mut self, context: &mut Context, key: ConnectionKey, reply: &str) {
        self.detach(context, key);
        context.net.send(key, reply.as_bytes());
        context.net.close_gracefully(key);
    }

    /// Removes all references to a connection: its pending push or fetch, and its worker process.
    fn detach(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(session) = session(context, key) else { return };
        let (wid, waiting) = (session.wid.take(), std::mem::take(&mut session.waiting));
        if waiting == Waiting::Response {
            self.on_producer_closed(context, key);
        }
        if let Some(wid) = wid {
            self.on_worker_connection_closed(context, key, &wid);
        }
    }

    fn queue_index(&self, name: &str) -> Option<usize> {
        self.config.queues.iter().position(|queue| queue.name == name)
    }
}

fn schedule_expiry(context: &mut Context) {
    context.net.timers.schedule(context.net.now + EXPIRY_INTERVAL, Timer::FaktoryExpiry);
}

fn session(context: &mut Context, key: ConnectionKey) -> Option<&mut Session> {
    match context.net.role(key) {
        Some(ConnectionRole::Faktory(session)) => Some(session),
        _ => None,
    }
}

fn set_waiting(context: &mut Context, key: ConnectionKey, waiting: Waiting) {
    if let Some(session) = session(context, key) {
        session.waiting = waiting;
    }
}

fn send_error(context: &mut Context, key: ConnectionKey, text: &str) {
    context.net.send(key, protocol::error_reply(text).as_bytes());
}

fn end_attempts(context: &mut Context, attempts: Vec<AttemptId>, status: Status) {
    let ended = attempts.into_iter().map(|attempt| Input::attempt_failed(attempt, status));
    context.inputs.extend(ended);
}
