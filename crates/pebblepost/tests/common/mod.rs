//! A daemon in a thread, and stand-ins for what it talks to, all on loopback.

#![expect(dead_code, reason = "each test file uses its part")]

pub mod replicas;
pub mod stopwatch;

use pebblepost::config;
use pebblepost::daemon::{Daemon, Signals};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

static FILES: AtomicU32 = AtomicU32::new(0);

/// A fresh path for a file of this test process.
pub fn path(name: &str) -> PathBuf {
    let n = FILES.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("pebblepost-{}-{n}-{name}", std::process::id()))
}

fn file(json: &Value) -> PathBuf {
    let path = path("config.json");
    std::fs::write(&path, json.to_string()).expect("a writable temporary folder");
    path
}

/// Holds a daemon's event loop between two turns, so that a test can prepare what the next turn finds. The loop reads the
/// configuration at a hangup signal, and is held there.
#[derive(Default)]
struct Gate {
    armed: AtomicBool,
    inside: (Mutex<bool>, Condvar),
}

impl Gate {
    fn pass(&self) {
        if self.armed.swap(false, Ordering::SeqCst) {
            let mut inside = self.inside.0.lock().expect("no panic");
            *inside = true;
            self.inside.1.notify_all();
            drop(self.inside.1.wait_while(inside, |inside| *inside).expect("no panic"));
        }
    }

    fn wait_inside(&self) {
        let inside = self.inside.0.lock().expect("no panic");
        drop(self.inside.1.wait_while(inside, |inside| !*inside).expect("no panic"));
    }

    fn open(&self) {
        *self.inside.0.lock().expect("no panic") = false;
        self.inside.1.notify_all();
    }
}

/// A running daemon. Dropped, it gets the stop signal and must end.
pub struct RunningDaemon {
    signal: UnixStream,
    hangup: UnixStream,
    gate: Arc<Gate>,
    thread: Option<JoinHandle<()>>,
    addresses: Vec<(ListenerKind, SocketAddr)>,
    /// Where its agent listens to operators.
    pub control: Option<SocketAddr>,
    files: Vec<PathBuf>,
}

impl RunningDaemon {
    pub fn start(platform: Option<Value>, operator: Option<Value>) -> Self {
        let platform = platform.map(|json| file(&json));
        let operator = operator.map(|json| file(&json));
        let (files, op) = (platform.clone(), operator.clone());
        let gate = Arc::new(Gate::default());
        let held = gate.clone();
        let read = move || {
            held.pass();
            let var =
                |name: &str| (name == "PROXY_CONFIG").then(|| files.as_ref()?.to_str().map(str::to_owned))?;
            config::read(var, op.as_deref())
        };
        let config = read().expect("a sound configuration");
        let (signal, stop) = UnixStream::pair().expect("a pair of sockets");
        let (hangup, reload) = UnixStream::pair().expect("a pair of sockets");
        let signals = Signals { stop, reload, read_config: Box::new(read) };
        let mut daemon = Daemon::new(config, signals, |_| {}).expect("free ports");
        let listeners =
            [ListenerKind::Platform, ListenerKind::Faktory, ListenerKind::AgentCheck, ListenerKind::Health];
        let addresses = listeners.iter().filter_map(|kind| Some((*kind, daemon.address(*kind)?))).collect();
        let control = daemon.control_address();
        let thread = std::thread::spawn(move || daemon.run().expect("no fault of the poller"));
        Self {
            signal,
            hangup,
            gate,
            thread: Some(thread),
            addresses,
            control,
            files: platform.into_iter().chain(operator).collect(),
        }
    }

    pub fn address(&self, listener: ListenerKind) -> SocketAddr {
        self.addresses.iter().find(|(kind, _)| *kind == listener).expect("an open listener").1
    }

    pub fn connect(&self, listener: ListenerKind) -> Wire {
        Wire::new(TcpStream::connect(self.address(listener)).expect("a listener"))
    }

    pub fn stop(&mut self) {
        let _ = self.signal.write_all(b"x");
    }

    /// Replaces the platform's configuration, the first of the files, and has the daemon read it.
    pub fn reload(&mut self, text: &str) {
        std::fs::write(&self.files[0], text).expect("a writable folder");
        let _ = self.hangup.write_all(b"x");
    }

    /// Holds the loop while `meanwhile` runs; the next turn finds all that it has caused.
    pub fn hold(&mut self, meanwhile: impl FnOnce(&mut Self)) {
        self.gate.armed.store(true, Ordering::SeqCst);
        let _ = self.hangup.write_all(b"x");
        self.gate.wait_inside();
        meanwhile(self);
        self.gate.open();
    }

    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    pub fn wait(&mut self) {
        self.thread.take().expect("not yet waited for").join().expect("no panic");
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "the daemon panicked");
        }
        self.files.iter().for_each(|f| drop(std::fs::remove_file(f)));
    }
}

/// A blocking connection of a stand-in, read by lines.
pub struct Wire(BufReader<TcpStream>);

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_secs(15))).expect("a sound time-out");
        stream.set_nodelay(true).expect("TCP");
        Self(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("an open connection");
    }

    /// Sends; `false` if the peer has closed.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// The next line without its end; empty at the end of the connection.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_owned()
    }

    /// Whether the peer closes within the read time-out, whatever it sends before.
    pub fn ends(&mut self) -> bool {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).is_ok()
    }

    /// A head's lines, and its body by its length.
    pub fn message(&mut self) -> (Vec<String>, String) {
        let mut head = Vec::new();
        loop {
            match self.line() {
                line if line.is_empty() => break,
                line => head.push(line),
            }
        }
        let length = header(&head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a whole body");
        (head, String::from_utf8(body).expect("text"))
    }

    /// All that comes until the end.
    pub fn read_to_end(&mut self, rest: &mut Vec<u8>) -> std::io::Result<usize> {
        self.0.read_to_end(rest)
    }

    /// The same connection, to be written from another thread.
    pub fn peer(&self) -> TcpStream {
        self.0.get_ref().try_clone().expect("a descriptor")
    }

    pub fn close(self) {
        let _ = self.0.get_ref().shutdown(std::net::Shutdown::Both);
    }
}

pub fn header(head: &[String], name: &str) -> Option<String> {
    let lines = head.iter().filter_map(|line| line.split_once(':'));
    lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned()).next()
}

/// Settings like the platform's, with one class.
pub fn settings() -> Value {
    json!({
        "instances": 1, "discovery": "ask", "tick": 2_000_000, "failureDomains": ["a", "b"], "kinds": ["m"],
        "locality": 0,
        "classes": [{"name": "render", "effect": "idempotency_key", "group": "all", "window": 10e9,
                     "deadline": 3e9, "onTime": 600e6, "worth": 1.0}],
        "caps": {"probing": true, "cancelling": true, "sendCap": 3, "mayDuplicate": true, "keepalive": 30e9,
                 "connectTimeout": 250e6, "maxRetryAfter": 2e9},
        "report": {"names": ["cpu", "err_rps", "x0"], "source": "pull"},
        "domain": {"reportX0": "free_slots", "tellsStart": true, "classStretch": 2.0},
        "invariants": {"stopSendingWithin": 500e6, "answerSlack": 8e6, "askWithin": 10e9, "coldFrom": 1.0}
    })
}

/// A configuration of the platform with these workers on the list.
pub fn platform(workers: &[SocketAddr], discovery: Option<SocketAddr>) -> Value {
    let host = |(i, dial): (usize, &SocketAddr)| {
        json!({"host": format!("s-{i}"), "dial": dial, "site": "a", "class": "m", "block": 0, "health": "ready",
               "share": 1.0, "born_ms": 0})
    };
    let hosts: Vec<Value> = workers.iter().enumerate().map(host).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256}, "known": {"seq": 1, "whole": true, "hosts": hosts}, "settings": settings()
    })
}

/// A worker that answers probes, and jobs as `job` says: it gets the connection after a job's head and body.
pub fn worker(job: impl Fn(&mut Wire, &[String]) + Send + Sync + Clone + 'static) -> SocketAddr {
    worker_while(|| true, job)
}

/// The same, but while `is_alive` is false it closes every connection without a response.
pub fn worker_while(
    is_alive: impl Fn() -> bool + Send + Sync + Clone + 'static,
    job: impl Fn(&mut Wire, &[String]) + Send + Sync + Clone + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (is_alive, job) = (is_alive.clone(), job.clone());
            std::thread::spawn(move || {
                let mut wire = Wire::new(stream);
                loop {
                    let (head, _) = wire.message();
                    match head.first().filter(|_| is_alive()) {
                        None => return,
                        Some(line) if line.starts_with("GET /status/load ") => {
                            let body = r#"{"util":0.1,"eps":0.0,"x0":4}"#;
                            wire.send(&format!(
                                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                                body.len()
                            ));
                        }
                        Some(_) => job(&mut wire, &head),
                    }
                }
            });
        }
    });
    address
}

/// The head of a job's answer, whose lines follow in chunks.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The end of an answer in chunks.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// Some bytes of a job's answer as a chunk.
pub fn chunk(wire: &mut Wire, text: &str) {
    wire.send(&format!("{:x}\r\n{text}\r\n", text.len()));
}

/// The lines of a job's answer, in chunks.
pub fn lines(wire: &mut Wire, lines: &[Value]) {
    wire.send(CHUNKED_HEAD);
    for line in lines {
        chunk(wire, &format!("{line}\n"));
    }
    wire.send(LAST_CHUNK);
}

pub fn post(txn: &str, extra: &str, body: &str) -> String {
    format!(
        "POST /api?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {txn}\r\nX-Lane: render\r\nX-Remaining-Ms: 2000\r\n\
         Idempotency-Key: k{txn}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn within<T>(limit: Duration, what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < limit, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
