//! A stand-in for a transcriber: registers, reports, runs requests in its slots and queues a few more. It holds weights
//! of version 1; no version is named in these cases.

use crate::http::{Connection, Message, call_control, response};
use crate::record::Record;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What a transcriber does with the requests that it runs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of events of a text, three times as many where its path has `/long/`; 0 for a service without a model.
    pub events: u64,
    /// Time between two events, or for the whole answer of a service without a model.
    pub pace: Duration,
    /// Whether texts take 0.6 to 1.4 times as long, each its own time.
    pub spread: bool,
    pub slots: usize,
    pub queue: usize,
}

/// A request that was begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub begun_ms: u64,
    /// Time and status of the answer, once it was written whole; status 0 if the caller left before.
    pub ended: Option<(u64, u16)>,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    runs: Vec<Run>,
    runs_of: HashMap<String, usize>,
}

pub struct Transcriber {
    pub id: String,
    service: String,
    address: SocketAddr,
    plan: Plan,
    model: Option<String>,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Transcriber {
    pub fn start(
        id: &str, service: &str, model: Option<&str>, plan: Plan, controls: &[SocketAddr], record: &Arc<Record>,
    ) -> Arc<Transcriber> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let transcriber = Arc::new(Transcriber {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            plan,
            model: model.map(str::to_owned),
            state: Mutex::default(),
            record: record.clone(),
        });
        let (serving, controls) = (transcriber.clone(), controls.to_vec());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let transcriber = serving.clone();
                spawn(move || {
                    transcriber.serve(Connection::new(stream)).ok();
                });
            }
        });
        let beating = transcriber.clone();
        spawn(move || beating.beat(&controls));
        transcriber
    }

    /// Runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    fn models(&self) -> String {
        let entry = |name: &String| format!(r#"{{"name":"{name}","generation":1,"lora_adapters":[]}}"#);
        self.model.as_ref().map(entry).unwrap_or_default()
    }

    fn beat(&self, controls: &[SocketAddr]) {
        let path = format!("/instances/{}", self.id);
        for sequence in 1.. {
            let body = format!(
                r#"{{"backend":"{}","address":"{}","zone":"hakata-hall","generation":"v1","slots":{},"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{}],"sequence":{sequence}}}"#,
                self.service, self.address, self.plan.slots, self.models()
            );
            call_control(controls, "PUT", &path, &[], body.as_bytes());
            sleep(Duration::from_millis(1200));
        }
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(mut request) = connection.read_head()? {
            connection.read_body(&mut request, false)?;
            match request.path() {
                "/healthz" => connection.respond(200, &[("Instance-Id", &self.id)], b"ok")?,
                "/report" => connection.respond(200, &[("Content-Type", "application/json")], self.report().as_bytes())?,
                _ => self.run(&mut connection, &request)?,
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            r#"{{"stage":"both","models":[{}],"busy":false,"sequence":0,"waiting":{},"running":{},"kv_used":0,"kv_total":58545,"handles":0}}"#,
            self.models(), state.waiting, state.running
        )
    }

    fn load(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{},{},{}", state.running, state.waiting, self.plan.slots)
    }

    /// Takes a slot. `false` if the request was not run: the transcriber is full, or its caller has gone.
    fn take_slot(&self, connection: &mut Connection) -> io::Result<bool> {
        {
            let mut state = self.state.lock().unwrap();
            if state.running < self.plan.slots {
                state.running += 1;
                return Ok(true);
            }
            if state.waiting >= self.plan.queue {
                return Ok(false);
            }
            state.waiting += 1;
        }
        loop {
            sleep(Duration::from_millis(3));
            let is_gone = connection.is_closed();
            let mut state = self.state.lock().unwrap();
            if is_gone || state.running < self.plan.slots {
                state.waiting -= 1;
                if is_gone {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                state.running += 1;
                return Ok(true);
            }
        }
    }

    /// Runs a request and answers it.
    fn run(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let refuse = |connection: &mut Connection, status: u16| {
            let load = self.load();
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1"), ("Instance-Load", load.as_str())];
            connection.respond(status, &headers, b"")
        };
        if id.is_empty() {
            return refuse(connection, 400);
        }
        if request.header("target-instance").is_some_and(|target| target != self.id)
            || request.header("expect-version").is_some_and(|version| version != "1")
        {
            return refuse(connection, 421);
        }
        if !self.take_slot(connection)? {
            return refuse(connection, 503);
        }
        let (number, attempt) = {
            let mut state = self.state.lock().unwrap();
            let attempt = state.runs_of.entry(id.clone()).or_default();
            *attempt += 1;
            let attempt = *attempt;
            state.runs.push(Run { id: id.clone(), begun_ms: self.record.now(), ended: None });
            (state.runs.len() - 1, attempt)
        };
        self.record.add(format!("{} begins {id}, run {attempt}", self.id));
        let result = self.answer(connection, request, &id, number, attempt);
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        let status = match result {
            Ok(status) => status,
            Err(error) => {
                state.runs[number].ended = Some((self.record.now(), 0));
                drop(state);
                self.record.add(format!("{} drops {id}, run {attempt}: {error}", self.id));
                return Err(error);
            }
        };
        state.runs[number].ended = Some((self.record.now(), status));
        drop(state);
        self.record.add(format!("{} answered {id}, run {attempt}: {status}", self.id));
        Ok(())
    }

    fn answer(
        &self, connection: &mut Connection, request: &Message, id: &str, number: usize, attempt: usize,
    ) -> io::Result<u16> {
        let seal = format!("{}.{number:x}.{attempt}", self.id);
        let load = self.load();
        let headers = [("Request-Id", id), ("Response-Seal", &seal), ("Instance-Load", &load)];
        if self.model.is_none() {
            self.pause(connection, self.plan.pace)?;
            let bytes = response(200, &headers, b"scored");
            connection.write(&bytes)?;
            return Ok(200);
        }
        let after = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\n\
             Response-Seal: {seal}\r\nWeight-Versions: 1\r\nInstance-Load: {}\r\n\r\n",
            self.load()
        );
        connection.write(head.as_bytes())?;
        let percent = if self.plan.spread { 60 + (draw(id, 0) % 81) as u32 } else { 100 };
        let is_long = request.path().contains("/long/");
        for event in after + 1..=self.plan.events * if is_long { 3 } else { 1 } {
            self.pause(connection, self.plan.pace * percent / 100)?;
            let text = format!("id: {event}\ndata: {id} says {event}\n\n");
            connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")?;
        Ok(200)
    }

    /// Works for a time. Fails once the caller has gone.
    fn pause(&self, connection: &mut Connection, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep((until - Instant::now()).min(Duration::from_millis(10)));
            if connection.is_closed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        Ok(())
    }
}

/// A number that a run of a request always gets again.
fn draw(id: &str, attempt: usize) -> u64 {
    let bytes = id.bytes().chain((attempt as u64).to_le_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    hash >> 33
}
