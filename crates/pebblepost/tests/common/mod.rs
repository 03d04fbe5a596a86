//! Runs a daemon in a thread, with stand-ins for its peers, all on loopback.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

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

/// Returns a path for a temporary file that no other test uses.
pub fn temp_path(name: &str) -> PathBuf {
    let n = FILES.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("pebblepost-{}-{n}-{name}", std::process::id()))
}

fn write_config_file(json: &Value) -> PathBuf {
    let path = temp_path("config.json");
    std::fs::write(&path, json.to_string()).expect("a writable temporary folder");
    path
}

/// Blocks a daemon's event loop between two turns, so that a test can prepare the events of the next turn. The loop rereads
/// its configuration at a reload signal; the gate blocks it in that read.
#[derive(Default)]
struct Gate {
    armed: AtomicBool,
    held: (Mutex<bool>, Condvar),
}

impl Gate {
    fn wait_if_armed(&self) {
        if self.armed.swap(false, Ordering::SeqCst) {
            let mut held = self.held.0.lock().expect("no thread has panicked");
            *held = true;
            self.held.1.notify_all();
            drop(self.held.1.wait_while(held, |held| *held).expect("no thread has panicked"));
        }
    }

    fn wait_until_held(&self) {
        let held = self.held.0.lock().expect("no thread has panicked");
        drop(self.held.1.wait_while(held, |held| !*held).expect("no thread has panicked"));
    }

    fn release(&self) {
        *self.held.0.lock().expect("no thread has panicked") = false;
        self.held.1.notify_all();
    }
}

/// A daemon that runs in a thread of the test. Dropping it sends the stop signal and waits for the thread.
///
/// # Panics
///
/// The drop panics if the daemon panicked, unless the test is already panicking.
pub struct RunningDaemon {
    stop_signal: UnixStream,
    reload_signal: UnixStream,
    gate: Arc<Gate>,
    thread: Option<JoinHandle<()>>,
    addresses: Vec<(ListenerKind, SocketAddr)>,
    /// The address at which the daemon's agent accepts operator commands.
    pub control_address: Option<SocketAddr>,
    config_files: Vec<PathBuf>,
}

impl RunningDaemon {
    /// Starts a daemon with the platform's and the operator's configuration, each written to a temporary file.
    pub fn start(platform: Option<Value>, operator: Option<Value>) -> Self {
        let platform = platform.map(|json| write_config_file(&json));
        let operator = operator.map(|json| write_config_file(&json));
        let (files, op) = (platform.clone(), operator.clone());
        let gate = Arc::new(Gate::default());
        let loop_gate = gate.clone();
        let read = move || {
            loop_gate.wait_if_armed();
            let var =
                |name: &str| (name == "PROXY_CONFIG").then(|| files.as_ref()?.to_str().map(str::to_owned))?;
            config::read(var, op.as_deref())
        };
        let config = read().expect("a valid configuration");
        let (stop_signal, stop) = UnixStream::pair().expect("a pair of sockets");
        let (reload_signal, reload) = UnixStream::pair().expect("a pair of sockets");
        let signals = Signals { stop, reload, read_config: Box::new(read) };
        let mut daemon = Daemon::new(config, signals, |_| {}).expect("free ports");
        let listeners =
            [ListenerKind::Platform, ListenerKind::Faktory, ListenerKind::AgentCheck, ListenerKind::Health];
        let addresses = listeners.iter().filter_map(|kind| Some((*kind, daemon.address(*kind)?))).collect();
        let control_address = daemon.control_address();
        let thread = std::thread::spawn(move || daemon.run().expect("the event loop runs without an error"));
        Self {
            stop_signal,
            reload_signal,
            gate,
            thread: Some(thread),
            addresses,
            control_address,
            config_files: platform.into_iter().chain(operator).collect(),
        }
    }

    pub fn address(&self, listener: ListenerKind) -> SocketAddr {
        self.addresses.iter().find(|(kind, _)| *kind == listener).expect("an open listener").1
    }

    pub fn connect(&self, listener: ListenerKind) -> Connection {
        Connection::new(TcpStream::connect(self.address(listener)).expect("a listener"))
    }

    /// Sends the stop signal.
    pub fn stop(&mut self) {
        let _ = self.stop_signal.write_all(b"x");
    }

    /// Overwrites the platform's configuration, which is the first of the files, and sends the reload signal.
    pub fn reload(&mut self, text: &str) {
        std::fs::write(&self.config_files[0], text).expect("a writable directory");
        let _ = self.reload_signal.write_all(b"x");
    }

    /// Blocks the event loop between two turns while `meanwhile` runs. The next turn gets all events that `meanwhile` caused.
    pub fn hold_event_loop(&mut self, meanwhile: impl FnOnce(&mut Self)) {
        self.gate.armed.store(true, Ordering::SeqCst);
        let _ = self.reload_signal.write_all(b"x");
        self.gate.wait_until_held();
        meanwhile(self);
        self.gate.release();
    }

    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    pub fn join(&mut self) {
        self.thread
            .take()
            .expect("the daemon has not been joined before")
            .join()
            .expect("no thread has panicked");
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "the daemon panicked");
        }
        self.config_files.iter().for_each(|f| drop(std::fs::remove_file(f)));
    }
}

/// A blocking connection of a stand-in, read line by line with a time-out of 15 s.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_secs(15))).expect("a valid time-out");
        stream.set_nodelay(true).expect("TCP");
        Self(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("an open connection");
    }

    /// Sends `text`, or returns `false` if the peer has closed the connection.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Reads the next line, without its line end. Returns an empty line when the peer has closed or the read times out.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_owned()
    }

    /// Discards what the peer sends and returns whether it closes the connection before a read times out.
    pub fn wait_for_close(&mut self) -> bool {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).is_ok()
    }

    /// Reads the lines of a message head, and its body as given by `Content-Length`.
    pub fn read_message(&mut self) -> (Vec<String>, String) {
        let mut head = Vec::new();
        loop {
            match self.read_line() {
                line if line.is_empty() => break,
                line => head.push(line),
            }
        }
        let length = header(&head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a whole body");
        (head, String::from_utf8(body).expect("text"))
    }

    /// Reads until the peer closes.
    pub fn read_to_end(&mut self, rest: &mut Vec<u8>) -> std::io::Result<usize> {
        self.0.read_to_end(rest)
    }

    /// Returns a handle to the same socket, so that another thread can write to it.
    pub fn clone_stream(&self) -> TcpStream {
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

/// Returns settings in the platform's form, with one request class.
pub fn platform_settings() -> Value {
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

/// Returns a platform configuration whose endpoint list holds these workers.
pub fn platform_config(workers: &[SocketAddr], discovery: Option<SocketAddr>) -> Value {
    let host = |(i, dial): (usize, &SocketAddr)| {
        json!({"host": format!("s-{i}"), "dial": dial, "site": "a", "class": "m", "block": 0, "health": "ready",
               "share": 1.0, "born_ms": 0})
    };
    let hosts: Vec<Value> = workers.iter().enumerate().map(host).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256}, "known": {"seq": 1, "whole": true, "hosts": hosts}, "settings": platform_settings()
    })
}

/// Starts a worker that responds to probes and calls `job` for each other request, with the connection and the head of the
/// request, once its body has been read. Returns its address.
pub fn start_worker(job: impl Fn(&mut Connection, &[String]) + Send + Sync + Clone + 'static) -> SocketAddr {
    start_worker_while(|| true, job)
}

/// Starts a worker as [`start_worker`] does. While `is_alive` returns `false`, it closes every connection without a response.
pub fn start_worker_while(
    is_alive: impl Fn() -> bool + Send + Sync + Clone + 'static,
    job: impl Fn(&mut Connection, &[String]) + Send + Sync + Clone + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (is_alive, job) = (is_alive.clone(), job.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                loop {
                    let (head, _) = connection.read_message();
                    match head.first().filter(|_| is_alive()) {
                        None => return,
                        Some(line) if line.starts_with("GET /status/load ") => {
                            let body = r#"{"util":0.1,"eps":0.0,"x0":4}"#;
                            connection.send(&format!(
                                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                                body.len()
                            ));
                        }
                        Some(_) => job(&mut connection, &head),
                    }
                }
            });
        }
    });
    address
}

/// Head of a job's response, whose lines follow in chunks.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// End of a chunked response.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// Sends `text` as one chunk of a job's response.
pub fn send_chunk(connection: &mut Connection, text: &str) {
    connection.send(&format!("{:x}\r\n{text}\r\n", text.len()));
}

/// Sends a complete job response: the head, each line in a chunk of its own, and the last chunk.
pub fn send_lines(connection: &mut Connection, lines: &[Value]) {
    connection.send(CHUNKED_HEAD);
    for line in lines {
        send_chunk(connection, &format!("{line}\n"));
    }
    connection.send(LAST_CHUNK);
}

/// Returns a request of class `render` with 2 s left. `extra` holds further header lines, each with its line end.
pub fn job_request(txn: &str, extra: &str, body: &str) -> String {
    format!(
        "POST /api?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {txn}\r\nX-Lane: render\r\nX-Remaining-Ms: 2000\r\n\
         Idempotency-Key: k{txn}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Polls `check` every 5 ms until it returns a value.
///
/// # Panics
///
/// Panics with the message `what` if that takes longer than `limit`.
pub fn wait_for<T>(limit: Duration, what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < limit, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
