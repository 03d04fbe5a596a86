//! The Faktory work protocol, version 2: producers push jobs, workers fetch them.
//!
//! A worker's pending `FETCH`es are its free slots and the load report that its probe gets. `PUSH` is answered with the
//! job's one final response. A repeat within [`DEDUPLICATION_WINDOW`] does not run and gets the first one's response. Each
//! queue has a class and a kind of workers of its own, so a worker process that fetches from two queues is two workers to
//! the engine, with the same slots.
//!
//! Owns the jobs and the worker processes; which worker gets a job is decided by the engine.

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
use protocol::{HASH_ITERATIONS, MAX_COMMAND_BYTES, OK, PROTOCOL_VERSION, bulk_string};
use serde_json::{Value, json};
use session::{Session, Waiting};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;
use workers::WorkerTable;

/// A connection has to say `HELLO` by then.
const HELLO_TIMEOUT: Duration = Duration::from_secs(10);
/// How often expired workers, reservations and responses are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// The Faktory front.
#[derive(Debug)]
pub struct Faktory {
    config: FaktoryConfig,
    report_fields: Vec<ReportField>,
    workers: WorkerTable,
    jobs: JobTable,
}

impl Faktory {
    /// A front without connections, which sets a timer to look for what has expired.
    pub fn new(context: &mut Context, config: FaktoryConfig, report_fields: Vec<ReportField>) -> Self {
        schedule_expiry(context);
        Self { config, report_fields, workers: WorkerTable::default(), jobs: JobTable::default() }
    }

    /// Changes the time after which a silent worker is lost, and that after which the reservations of future jobs expire.
    pub fn set_timeouts(&mut self, heartbeat: Duration, reserve_for: Duration) {
        (self.config.heartbeat, self.config.reserve_for) = (heartbeat, reserve_for);
    }

    /// A connection was accepted: the server speaks first.
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

    /// Processes received bytes, or commands that waited for a reply.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) {
        while let Some(connection) = context.net.get(key) {
            let ConnectionRole::Faktory(session) = &connection.role else { return };
            if session.waiting != Waiting::Nothing {
                break; // Pipelined commands wait.
            }
            let end = connection.input.data().iter().position(|byte| *byte == b'\n');
            if end.unwrap_or(connection.input.len()) > MAX_COMMAND_BYTES {
                return self.close_with(context, key, &protocol::error("command too long"));
            }
            let Some(end) = end else { break };
            let line = connection.input.data()[..end].trim_ascii().to_vec();
            connection.input.consume(end + 1);
            self.on_command(context, key, &line);
        }
        context.net.update_interest(key);
    }

    /// The connection ended.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        self.detach(context, key);
        context.net.close(key);
    }

    /// The connection's deadline: no job arrived for its fetch, or it did not say `HELLO`.
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
        context.net.send(key, protocol::NO_JOB);
        self.on_data(context, key);
    }

    /// Removes workers that have fallen silent, reservations kept too long, and responses that no repeat can ask for.
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
            return send_error(context, key, "not UTF-8");
        };
        let (verb, arguments) = line.split_once(' ').unwrap_or((line, ""));
        let Some(session) = session(context, key) else { return };
        let (greeted, wid) = (session.greeted, session.wid.clone());
        if !greeted && verb != "HELLO" {
            return self.close_with(context, key, &protocol::error("say HELLO first"));
        }
        if let Some(process) = wid.as_ref().and_then(|wid| self.workers.get_mut(wid)) {
            process.last_seen = context.net.now;
        }
        match verb {
            "HELLO" if greeted => send_error(context, key, "HELLO was said"),
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
                    "ACK" => self.end_job(context, key, wid, &json, Status::Ok),
                    "FAIL" => self.end_job(context, key, wid, &json, Status::Error),
                    _ => self.heartbeat(context, key, wid, &json),
                }
            }
            _ => send_error(context, key, "unknown command"),
        }
    }

    fn hello(&mut self, context: &mut Context, key: ConnectionKey, json: &Value) {
        if json.get("v").and_then(Value::as_u64) != Some(PROTOCOL_VERSION) {
            let reply = protocol::error("version 2 of the protocol is spoken here");
            return self.close_with(context, key, &reply);
        }
        let Some(session) = session(context, key) else { return };
        if let Some(password) = &self.config.password {
            let proof = json.get("pwdhash").and_then(Value::as_str).unwrap_or("");
            if proof != password_hash(password, &session.salt, HASH_ITERATIONS) {
                return self.close_with(context, key, &protocol::error("invalid password"));
            }
        }
        session.greeted = true;
        let wid = json.get("wid").and_then(Value::as_str).filter(|wid| !wid.is_empty());
        session.wid = wid.map(str::to_owned);
        context.net.set_deadline(key, None);
        if let Some(wid) = wid {
            self.workers.connect(wid.to_owned(), context.net.now);
        }
        context.net.send(key, OK);
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

    /// Sends a last reply and closes the connection, which is removed from all state first.
    fn close_with(&mut self, context: &mut Context, key: ConnectionKey, reply: &str) {
        self.detach(context, key);
        context.net.send(key, reply.as_bytes());
        context.net.close_gracefully(key);
    }

    /// Removes a connection from all that refers to it.
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
    context.net.send(key, protocol::error(text).as_bytes());
}

fn end_attempts(context: &mut Context, attempts: Vec<AttemptId>, status: Status) {
    let ended = attempts.into_iter().map(|attempt| Input::attempt_failed(attempt, status));
    context.inputs.extend(ended);
}
