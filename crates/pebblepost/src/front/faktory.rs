//! The Faktory work protocol, version 2: producers push jobs, workers fetch them.
//!
//! A worker's parked `FETCH`es are its free slots, and the report that its probe gets. `PUSH` is answered
//! when the job's one final answer is there. A repeat within [`WINDOW`] runs nothing and gets the first
//! one's answer. Each queue has a class and a kind of workers of its own, so a worker process that fetches
//! from two queues is two workers to the core, with the same slots.

use crate::config::FaktoryConfig;
use crate::engine::{AttemptId, FinalResponse, Input, Request};
use crate::net::{ConnKey, Due, Role, Shared};
use pebblepost_dispatch::api::*;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// Within this time of a job's first push, a repeat runs nothing.
pub const WINDOW: Duration = Duration::from_secs(10);
/// A `FETCH` that finds no job is answered after this.
const FETCH_WAIT: Duration = Duration::from_secs(2);
/// A connection must say `HELLO` by then.
const HELLO_WAIT: Duration = Duration::from_secs(10);
/// Rounds of the password's hash.
const ROUNDS: u32 = 1_500;
/// Longest command.
const MAX_LINE: usize = 64 * 1024;
/// Jobs waiting at a worker with no fetch parked, as its report says. It has no waiting room, so a job sent there
/// would only be turned away and use up its attempts; told so, the decisions hold the job and probe again.
const NO_ROOM: f32 = 1_000.0;
/// How often silent workers and old answers are looked for.
const SWEEP: Duration = Duration::from_millis(500);

/// What a connection waits for.
#[derive(Debug, Default, PartialEq, Eq)]
enum Wait {
    #[default]
    Nothing,
    /// The answer to its push.
    FinalResponse,
    /// A job from one of these queues.
    Job(Vec<usize>),
}

/// A connection of a producer or worker.
#[derive(Debug, Default)]
pub struct Peer {
    greeted: bool,
    salt: String,
    wid: Option<String>,
    wait: Wait,
}

/// A job that a worker has fetched.
#[derive(Debug)]
struct Running {
    attempt: AttemptId,
    conn: ConnKey,
    until: Time,
}

/// A worker process.
#[derive(Debug)]
struct Worker {
    conns: usize,
    ids: BTreeMap<usize, WorkerId>,
    state: WorkerState,
    seen: Time,
    /// Its parked fetches, those that came first in front.
    parked: Vec<ConnKey>,
    running: HashMap<String, Running>,
}

#[derive(Debug)]
struct Job {
    key: String,
    jid: String,
    payload: Vec<u8>,
    queue: usize,
    reserve_for: Duration,
    delivered: bool,
}

/// A job's first push and what became of it.
#[derive(Debug)]
struct Recent {
    id: RequestId,
    first: Time,
    waiting: Vec<ConnKey>,
    answer: Option<FinalResponse>,
}

/// The front.
#[derive(Debug)]
pub struct Faktory {
    config: FaktoryConfig,
    fields: Vec<ReportField>,
    workers: HashMap<String, Worker>,
    by_id: HashMap<WorkerId, (String, usize)>,
    jobs: HashMap<RequestId, Job>,
    recent: HashMap<String, Recent>,
    pushed: u64,
    served: u64,
}

/// The hash that proves knowledge of the password.
pub fn password_hash(password: &str, salt: &str, rounds: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}").as_bytes());
    for _ in 1..rounds {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|b| format!("{b:02x}")).collect()
}

fn bulk(bytes: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// The reply to a push, at the time it is given. A rejected job that came back within the window would only
/// hear the same again, so it is told to stay away for the rest of it.
fn reply(answer: &FinalResponse, left: Duration) -> String {
    match answer {
        FinalResponse::Served(_) => "+OK\r\n".to_owned(),
        FinalResponse::Rejected(after) => {
            format!("-ERR refused, come back in {:.3} s\r\n", left.max(*after).as_secs_f64())
        }
        FinalResponse::Failed => "-ERR failed, the job may have run\r\n".to_owned(),
    }
}

impl Faktory {
    /// The front that the operator set up. It has the loop wake it now and then.
    pub fn new(s: &mut Shared, config: FaktoryConfig, fields: Vec<ReportField>) -> Self {
        s.net.timers.schedule(s.net.now + SWEEP, Due::Faktory);
        Self {
            config,
            fields,
            workers: HashMap::new(),
            by_id: HashMap::new(),
            jobs: HashMap::new(),
            recent: HashMap::new(),
            pushed: 0,
            served: 0,
        }
    }

    /// Changes the times after which workers and jobs are lost; for jobs, for those that come.
    pub fn set_times(&mut self, heartbeat: Duration, reserve_for: Duration) {
        (self.config.heartbeat, self.config.reserve_for) = (heartbeat, reserve_for);
    }

    /// A connection came: the server speaks first.
    pub fn on_open(&mut self, s: &mut Shared, key: ConnKey) {
        let hi = match &self.config.password {
            None => json!({"v": 2}),
            Some(_) => {
                let random = || RandomState::new().hash_one(0);
                let salt = format!("{:016x}{:016x}", random(), random());
                if let Some(Role::Faktory(peer)) = s.net.get(key).map(|c| &mut c.role) {
                    peer.salt.clone_from(&salt);
                }
                json!({"v": 2, "i": ROUNDS, "s": salt})
            }
        };
        s.net.set_deadline(key, Some(HELLO_WAIT));
        s.net.send(key, format!("+HI {hi}\r\n").as_bytes());
    }

    /// Bytes have come, or an answer made room for the next command.
    pub fn on_data(&mut self, s: &mut Shared, key: ConnKey) {
        while let Some(conn) = s.net.get(key) {
            let Role::Faktory(peer) = &conn.role else { return };
            if peer.wait != Wait::Nothing {
                break; // What was sent ahead waits.
            }
            let Some(end) = conn.input.data().iter().position(|b| *b == b'\n') else {
                if conn.input.len() > MAX_LINE {
                    self.end(s, key, "-ERR command too long\r\n");
                    return;
                }
                break;
            };
            if end > MAX_LINE {
                return self.end(s, key, "-ERR command too long\r\n");
            }
            let line = conn.input.data()[..end].trim_ascii().to_vec();
            conn.input.consume(end + 1);
            self.command(s, key, &line);
        }
        s.net.sync(key);
    }

    /// Says a last word; the connection is lost to both sides' state first.
    fn end(&mut self, s: &mut Shared, key: ConnKey, word: &str) {
        self.detach(s, key);
        s.net.send(key, word.as_bytes());
        s.net.close_gently(key);
    }

    fn error(s: &mut Shared, key: ConnKey, what: &str) {
        s.net.send(key, format!("-ERR {what}\r\n").as_bytes());
    }

    fn command(&mut self, s: &mut Shared, key: ConnKey, line: &[u8]) {
        let Ok(line) = std::str::from_utf8(line) else {
            return Self::error(s, key, "not UTF-8");
        };
        let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
        let Some(Role::Faktory(peer)) = s.net.get(key).map(|c| &c.role) else { return };
        let (greeted, wid) = (peer.greeted, peer.wid.clone());
        if !greeted && verb != "HELLO" {
            return self.end(s, key, "-ERR say HELLO first\r\n");
        }
        if let Some(worker) = wid.as_ref().and_then(|wid| self.workers.get_mut(wid)) {
            worker.seen = s.net.now;
        }
        let object = || serde_json::from_str::<Value>(rest).ok().filter(Value::is_object);
        match verb {
            "HELLO" if greeted => Self::error(s, key, "HELLO was said"),
            "END" => self.end(s, key, "+OK\r\n"),
            "INFO" => self.info(s, key),
            "FETCH" => self.fetch(s, key, wid, rest),
            "HELLO" | "PUSH" | "ACK" | "FAIL" | "BEAT" => {
                let Some(json) = object() else {
                    return Self::error(s, key, "malformed JSON, an object is wanted");
                };
                match verb {
                    "HELLO" => self.hello(s, key, &json),
                    "PUSH" => self.push(s, key, &json, rest),
                    "ACK" => self.acked(s, key, wid, &json, Status::Ok),
                    "FAIL" => self.acked(s, key, wid, &json, Status::Error),
                    _ => self.beat(s, key, wid, &json),
                }
            }
            _ => Self::error(s, key, "unknown command"),
        }
    }

    fn hello(&mut self, s: &mut Shared, key: ConnKey, json: &Value) {
        if json.get("v").and_then(Value::as_u64) != Some(2) {
            return self.end(s, key, "-ERR version 2 of the protocol is spoken here\r\n");
        }
        let Some(Role::Faktory(peer)) = s.net.get(key).map(|c| &mut c.role) else { return };
        if let Some(password) = &self.config.password {
            let proof = json.get("pwdhash").and_then(Value::as_str).unwrap_or("");
            if proof != password_hash(password, &peer.salt, ROUNDS) {
                return self.end(s, key, "-ERR invalid password\r\n");
            }
        }
        peer.greeted = true;
        peer.wid = json.get("wid").and_then(Value::as_str).filter(|w| !w.is_empty()).map(str::to_owned);
        let wid = peer.wid.clone();
        s.net.set_deadline(key, None);
        let now = s.net.now;
        if let Some(wid) = wid {
            let fresh = Worker {
                conns: 0,
                ids: BTreeMap::new(),
                state: WorkerState::Ready,
                seen: now,
                parked: Vec::new(),
                running: HashMap::new(),
            };
            let worker = self.workers.entry(wid).or_insert(fresh);
            (worker.conns, worker.seen) = (worker.conns + 1, now);
        }
        s.net.send(key, b"+OK\r\n");
    }

    fn info(&mut self, s: &mut Shared, key: ConnKey) {
        let parked: usize = self.workers.values().map(|w| w.parked.len()).sum();
        let running: usize = self.workers.values().map(|w| w.running.len()).sum();
        let queues: Vec<&str> = self.config.queues.iter().map(|q| q.name.as_str()).collect();
        let info = json!({
            "server": {"description": "pebblepost", "faktory_version": "2", "connections": s.net.load().0},
            "faktory": {"queues": queues, "workers": self.workers.len(), "free_slots": parked, "running": running,
                        "total_enqueued": self.jobs.len(), "total_pushed": self.pushed, "total_processed": self.served},
        });
        s.net.send(key, &bulk(info.to_string().as_bytes()));
    }

    // ---- Producers ----

    fn push(&mut self, s: &mut Shared, key: ConnKey, json: &Value, payload: &str) {
        let text = |name: &str| json.get(name).and_then(Value::as_str).filter(|t| !t.is_empty());
        let (Some(jid), Some(_), Some(_)) =
            (text("jid"), text("jobtype"), json.get("args").and_then(Value::as_array))
        else {
            return Self::error(s, key, "a job needs jid, jobtype and args");
        };
        if json.get("at").is_some_and(|at| !at.is_null() && at != "") {
            return Self::error(s, key, "jobs for later are not taken here");
        }
        let name = text("queue").unwrap_or("default");
        let Some(queue) = self.config.queues.iter().position(|q| q.name == name) else {
            return Self::error(s, key, "unknown queue");
        };
        let reserve_for = match json.get("reserve_for") {
            None | Some(Value::Null) => self.config.reserve_for,
            Some(v) => match v.as_f64().filter(|secs| (0.001..=86_400.0).contains(secs)) {
                Some(secs) => Duration::from_secs_f64(secs),
                None => return Self::error(s, key, "bad reserve_for"),
            },
        };
        let own_key = self.config.key.as_ref().and_then(|k| json.pointer("/custom")?.get(k));
        let repeat_key = own_key.map_or(format!("jid {jid}"), |k| format!("key {k}"));
        let now = s.net.now;
        if let Some(first) = self.recent.get_mut(&repeat_key)
            && (first.answer.is_none() || now < first.first + WINDOW)
        {
            match &first.answer {
                Some(answer) => {
                    let reply = reply(answer, (first.first + WINDOW).since(now));
                    s.net.send(key, reply.as_bytes());
                }
                None => {
                    first.waiting.push(key);
                    self.set_wait(s, key, Wait::FinalResponse);
                }
            }
            return;
        }
        if s.last_calls {
            return Self::error(s, key, "refused, come back in 1.000 s");
        }
        let id = s.next_id();
        let q = &self.config.queues[queue];
        let (class, time_left) = (ClassId(q.class), q.deadline);
        let request = Request {
            class,
            time_left,
            repeat: false,
            slots: 1.0,
            memory: 0.0,
            work: None,
            key: 0,
            tenant: TenantId(0),
        };
        let (jid, payload) = (jid.to_owned(), payload.as_bytes().to_vec());
        let job = Job { key: repeat_key.clone(), jid, payload, queue, reserve_for, delivered: false };
        self.jobs.insert(id, job);
        self.recent.insert(repeat_key, Recent { id, first: now, waiting: vec![key], answer: None });
        self.pushed += 1;
        self.set_wait(s, key, Wait::FinalResponse);
        s.inputs.push(Input::Request(id, request));
    }

    fn set_wait(&mut self, s: &mut Shared, key: ConnKey, wait: Wait) {
        if let Some(Role::Faktory(peer)) = s.net.get(key).map(|c| &mut c.role) {
            peer.wait = wait;
        }
    }

    /// Gives the final answer to all who pushed the job; `false`: it is not of this front.
    pub fn answer(&mut self, s: &mut Shared, id: RequestId, answer: FinalResponse) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return false };
        let Some(first) = self.recent.get_mut(&job.key) else { return true };
        self.served += u64::from(matches!(answer, FinalResponse::Served(_)));
        let reply = reply(&answer, (first.first + WINDOW).since(s.net.now));
        first.answer = Some(answer);
        let now = s.net.now;
        for key in std::mem::take(&mut first.waiting) {
            self.set_wait(s, key, Wait::Nothing);
            s.net.send(key, reply.as_bytes());
            if let Some(conn) = s.net.get(key) {
                conn.idle_since = Some(now);
            }
            self.on_data(s, key);
        }
        true
    }

    // ---- Workers ----

    fn fetch(&mut self, s: &mut Shared, key: ConnKey, wid: Option<String>, names: &str) {
        let Some(wid) = wid else { return Self::error(s, key, "only workers with a wid fetch") };
        let mut queues = Vec::new();
        let names = if names.trim().is_empty() { "default" } else { names };
        for name in names.split_ascii_whitespace() {
            queues.extend(self.config.queues.iter().position(|q| q.name == name));
        }
        let Some(worker) = self.workers.get_mut(&wid) else { return };
        let mut news = false;
        if worker.state == WorkerState::Ready {
            for queue in &queues {
                if !worker.ids.contains_key(queue) {
                    let host = format!("{wid}/{}", self.config.queues[*queue].name);
                    let kind = KindId(self.config.queues[*queue].kind);
                    let id = s.registry.enter(&host, kind, WorkerState::Ready);
                    worker.ids.insert(*queue, id);
                    self.by_id.insert(id, (wid.clone(), *queue));
                    news = true;
                }
            }
        }
        worker.parked.push(key);
        if news {
            s.inputs.push(s.registry.whole());
        }
        s.net.set_deadline(key, Some(FETCH_WAIT));
        self.set_wait(s, key, Wait::Job(queues));
    }

    /// What a probe of the worker finds: its parked fetches. `None`: not of this front.
    pub fn probe(&mut self, s: &mut Shared, id: WorkerId) -> bool {
        let Some((wid, queue)) = self.by_id.get(&id) else { return false };
        let (status, report) = match self.workers.get(wid) {
            Some(worker) => {
                let free = worker.parked.iter().filter(|key| Self::takes(s, **key, *queue)).count();
                let value = |f: &ReportField| match f {
                    ReportField::FreeSlots => free as f32,
                    ReportField::Queue if free == 0 => NO_ROOM,
                    _ => 0.0,
                };
                (Status::Ok, self.fields.iter().map(value).collect())
            }
            None => (Status::ConnectFailed, Vec::new()),
        };
        s.inputs.push(Input::Probed { worker: id, status, latency: Duration::ZERO, report });
        true
    }

    fn takes(s: &mut Shared, key: ConnKey, queue: usize) -> bool {
        let role = s.net.get(key).map(|c| &c.role);
        matches!(role, Some(Role::Faktory(Peer { wait: Wait::Job(queues), .. })) if queues.contains(&queue))
    }

    /// Hands a job to a parked fetch; `false`: the worker is not of this front.
    pub fn deliver(&mut self, s: &mut Shared, attempt: AttemptId, id: WorkerId) -> bool {
        let Some((wid, queue)) = self.by_id.get(&id).cloned() else { return false };
        let now = s.net.now;
        let end = |s: &mut Shared, status| s.inputs.push(Input::attempt_failed(attempt, status));
        let (Some(worker), Some(job)) = (self.workers.get_mut(&wid), self.jobs.get_mut(&attempt.request))
        else {
            end(s, Status::ConnectFailed);
            return true;
        };
        // The core does not send to a draining worker; a fetch parked before its drain stays without a job.
        let ready = worker.state == WorkerState::Ready
            && job.queue == queue
            && !worker.running.contains_key(&job.jid);
        let at = worker.parked.iter().position(|key| ready && Self::takes(s, *key, queue));
        let Some(conn) = at.map(|at| worker.parked.remove(at)) else {
            end(s, Status::Full);
            return true;
        };
        job.delivered = true;
        let until = now + job.reserve_for;
        worker.running.insert(job.jid.clone(), Running { attempt, conn, until });
        let payload = bulk(&job.payload);
        s.net.set_deadline(conn, None);
        self.set_wait(s, conn, Wait::Nothing);
        s.inputs.push(Input::Started(attempt));
        s.net.send(conn, &payload);
        true
    }

    /// An attempt has been given up. The worker is not told: the protocol has no word for that.
    pub fn give_up(&mut self, attempt: AttemptId) {
        for worker in self.workers.values_mut() {
            worker.running.retain(|_, r| r.attempt != attempt);
        }
    }

    /// `ACK` or `FAIL`. One for a job that is not with this worker any more is a late event, and dropped.
    fn acked(&mut self, s: &mut Shared, key: ConnKey, wid: Option<String>, json: &Value, status: Status) {
        let Some(jid) = json.get("jid").and_then(Value::as_str) else {
            return Self::error(s, key, "jid is missing");
        };
        let worker = wid.and_then(|wid| self.workers.get_mut(&wid));
        if let Some(running) = worker.and_then(|w| w.running.remove(jid)) {
            s.inputs.push(Input::attempt_failed(running.attempt, status));
        }
        s.net.send(key, b"+OK\r\n");
    }

    fn beat(&mut self, s: &mut Shared, key: ConnKey, wid: Option<String>, json: &Value) {
        let said = json.get("wid").and_then(Value::as_str).map(str::to_owned).or(wid);
        let Some(wid) = said.filter(|wid| self.workers.contains_key(wid)) else {
            return Self::error(s, key, "unknown worker");
        };
        if let Some(worker) = self.workers.get_mut(&wid) {
            worker.seen = s.net.now;
        }
        if let Some("quiet" | "terminate") = json.get("current_state").and_then(Value::as_str) {
            self.change(s, &wid, WorkerState::Draining);
        }
        // An operator's drain mark is passed on to the worker in the protocol's own word.
        let marked = self.workers.get(&wid).is_some_and(|w| {
            w.state == WorkerState::Ready
                && !w.ids.is_empty()
                && w.ids.values().all(|id| s.registry.is_marked(*id))
        });
        s.net.send(key, if marked { b"$17\r\n{\"state\":\"quiet\"}\r\n".as_slice() } else { b"+OK\r\n" });
    }

    /// Tells the core, in this turn, that a worker drains or is gone.
    fn change(&mut self, s: &mut Shared, wid: &str, state: WorkerState) {
        let Some(worker) = self.workers.get_mut(wid).filter(|w| w.state != state) else { return };
        worker.state = state;
        for (queue, id) in &worker.ids {
            let queue = &self.config.queues[*queue];
            s.registry.enter(&format!("{wid}/{}", queue.name), KindId(queue.kind), state);
            if state == WorkerState::Gone {
                self.by_id.remove(id);
            }
        }
        if !worker.ids.is_empty() {
            s.inputs.push(s.registry.whole());
        }
        (s.log)(&format!(
            "faktory: worker {wid} is {}",
            if state == WorkerState::Gone { "gone" } else { "draining" }
        ));
    }

    /// The worker is lost: what it had fetched may have run.
    fn lose(&mut self, s: &mut Shared, wid: &str, status: Status) {
        self.change(s, wid, WorkerState::Gone);
        if let Some(worker) = self.workers.remove(wid) {
            for (_, running) in worker.running {
                s.inputs.push(Input::attempt_failed(running.attempt, status));
            }
        }
        // Should it speak again, it starts with a new connection, as a new worker.
        for key in s.net.keys() {
            let role = s.net.get(key).map(|c| &c.role);
            if matches!(role, Some(Role::Faktory(peer)) if peer.wid.as_deref() == Some(wid)) {
                s.net.close(key);
            }
        }
    }

    /// Takes a connection out of all that refers to it.
    fn detach(&mut self, s: &mut Shared, key: ConnKey) {
        let Some(Role::Faktory(peer)) = s.net.get(key).map(|c| &mut c.role) else { return };
        let (wid, wait) = (peer.wid.take(), std::mem::take(&mut peer.wait));
        if wait == Wait::FinalResponse {
            self.producer_gone(s, key);
        }
        let Some((wid, worker)) = wid.and_then(|wid| self.workers.get_mut(&wid).map(|w| (wid, w))) else {
            return;
        };
        worker.conns -= 1;
        worker.parked.retain(|k| *k != key);
        let lost = |r: &Running| r.conn == key;
        let jids: Vec<String> =
            worker.running.iter().filter(|(_, r)| lost(r)).map(|(j, _)| j.clone()).collect();
        for running in jids.iter().filter_map(|jid| worker.running.remove(jid)) {
            s.inputs.push(Input::attempt_failed(running.attempt, Status::Reset));
        }
        if worker.conns == 0 {
            self.lose(s, &wid, Status::Reset);
        }
    }

    /// A producer left. The core is told unless somebody else waits for the answer, or a worker has had the
    /// job: then it goes on, so that the producer's own repeat finds what became of it.
    fn producer_gone(&mut self, s: &mut Shared, key: ConnKey) {
        let waits = |(k, r): (&String, &Recent)| r.waiting.contains(&key).then(|| (k.clone(), r.id));
        let Some((name, id)) = self.recent.iter().find_map(waits) else { return };
        let Some(first) = self.recent.get_mut(&name) else { return };
        first.waiting.retain(|k| *k != key);
        if first.waiting.is_empty() && self.jobs.get(&id).is_some_and(|job| !job.delivered) {
            self.jobs.remove(&id);
            self.recent.remove(&name);
            s.inputs.push(Input::ClientDisconnected(id));
        }
    }

    /// The connection ended.
    pub fn on_closed(&mut self, s: &mut Shared, key: ConnKey) {
        self.detach(s, key);
        s.net.close(key);
    }

    /// The connection's deadline: no job came for its fetch, or it never said `HELLO`.
    pub fn on_deadline(&mut self, s: &mut Shared, key: ConnKey) {
        let Some(Role::Faktory(peer)) = s.net.get(key).map(|c| &c.role) else { return };
        if !matches!(peer.wait, Wait::Job(_)) {
            return self.on_closed(s, key);
        }
        if let Some(worker) = peer.wid.clone().and_then(|wid| self.workers.get_mut(&wid)) {
            worker.parked.retain(|k| *k != key);
        }
        self.set_wait(s, key, Wait::Nothing);
        s.net.set_deadline(key, None);
        s.net.send(key, b"$-1\r\n");
        self.on_data(s, key);
    }

    /// Looks for workers that have fallen silent, jobs kept too long, and answers nobody can ask for again.
    pub fn sweep(&mut self, s: &mut Shared) {
        let now = s.net.now;
        s.net.timers.schedule(now + SWEEP, Due::Faktory);
        let heartbeat = self.config.heartbeat;
        let silent = |w: &Worker| now >= w.seen + heartbeat;
        let wids: Vec<String> =
            self.workers.iter().filter(|(_, w)| silent(w)).map(|(n, _)| n.clone()).collect();
        for wid in wids {
            self.lose(s, &wid, Status::Timeout);
        }
        for worker in self.workers.values_mut() {
            let late = |r: &Running| now >= r.until;
            let jids: Vec<String> =
                worker.running.iter().filter(|(_, r)| late(r)).map(|(j, _)| j.clone()).collect();
            for running in jids.iter().filter_map(|jid| worker.running.remove(jid)) {
                s.inputs.push(Input::attempt_failed(running.attempt, Status::Timeout));
            }
        }
        self.recent.retain(|_, r| r.answer.is_none() || now < r.first + WINDOW);
    }
}
