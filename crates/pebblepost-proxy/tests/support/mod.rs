//! Runs a proxy in the test process, between raw clients and scripted transcribers.

pub mod client;
pub mod transcriber;

use client::Client;
use pebblepost_messages::feed::{ConfigurationUpdate, FeedUpdate, Instance, InstanceState};
use pebblepost_proxy::Proxy;
use pebblepost_settings::Settings;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use transcriber::{Reply, Script, SharedScript};

/// Routes of every kind on `h.example`, all served by `pages`.
pub const ROUTES: &str = r#"
{"name":"a","hostname":"h.example","path_prefix":"/pages/","kind":"idempotent","timeout_ms":1500,
 "target_latency_ms":100,"priority":2,"backend":"pages","max_attempts":3},
{"name":"b","hostname":"h.example","path_prefix":"/orders/","kind":"non_idempotent","timeout_ms":1500,
 "target_latency_ms":100,"priority":2,"backend":"pages","max_attempts":3},
{"name":"c","hostname":"h.example","path_prefix":"/live/","kind":"idempotent","streaming":true,
 "timeout_ms":5000,"target_latency_ms":100,"priority":2,"backend":"pages","max_attempts":3},
{"name":"d","hostname":"h.example","path_prefix":"/drafts/","kind":"idempotent","streaming":true,
 "resumable":true,"timeout_ms":5000,"target_latency_ms":100,"priority":2,"backend":"pages","max_attempts":3},
{"name":"e","hostname":"h.example","path_prefix":"/twice/","kind":"idempotent","timeout_ms":1500,
 "target_latency_ms":100,"priority":2,"backend":"pages","max_attempts":2}"#;

/// Limits of a configuration; the body limit is 64 bytes.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    pub max_header_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits { max_header_bytes: 2048, header_timeout_ms: 600, idle_timeout_ms: 2000 }
    }
}

/// Returns an update with a full configuration that has these routes.
pub fn configuration(generation: u64, routes: &str) -> FeedUpdate {
    full_configuration(generation, routes, ConnectionLimits::default())
}

/// Returns an update with a full configuration that has these limits, and the usual routes.
pub fn configuration_with_limits(generation: u64, limits: ConnectionLimits) -> FeedUpdate {
    full_configuration(generation, ROUTES, limits)
}

fn full_configuration(generation: u64, routes: &str, limits: ConnectionLimits) -> FeedUpdate {
    let ConnectionLimits { max_header_bytes, header_timeout_ms, idle_timeout_ms } = limits;
    let document = format!(
        r#"{{"generation":{generation},"routes":[{routes}],"services":[
        {{"name":"pages","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}},
        {{"name":"other","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}}],
        "limits":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":64,
        "header_timeout_ms":{header_timeout_ms},"idle_timeout_ms":{idle_timeout_ms}}}}}"#
    );
    FeedUpdate::Configuration(ConfigurationUpdate::Full { generation, document: document.into_bytes() })
}

/// Returns an update of these transcribers.
pub fn instances(instances: Vec<Instance>) -> FeedUpdate {
    FeedUpdate::Instances { complete: false, instances }
}

pub fn settings(grace_s: f64) -> Settings {
    // No agent listens at these ports: the tests apply the feed themselves.
    let text = format!(
        "node_name='edge-1'\nip='127.0.0.1'\nzone='here'\nport_range=[1,8]\n\
         [listen]\nfront='127.0.0.1:0'\nready='127.0.0.1:0'\n\
         [limits]\nmemory_mb=260\nmax_fds=4100\n[bounds]\ngrace_s={grace_s}\n"
    );
    Settings::parse(&text, "test").expect("valid settings")
}

/// A proxy and its transcribers.
pub struct ProxyFixture {
    pub proxy: Proxy,
    pub script: SharedScript,
    instances: Vec<Instance>,
    sequence: u64,
}

impl ProxyFixture {
    /// Starts a proxy with [`ROUTES`] and this many transcribers, which together send `replies` in order.
    pub async fn start(transcribers: usize, replies: Vec<Reply>) -> ProxyFixture {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.script.borrow_mut().replies = replies.into();
        fixture.proxy.apply(&[configuration(1, ROUTES)]);
        for index in 0..transcribers {
            fixture.add("pages", &format!("i-{index}")).await;
        }
        fixture
    }

    /// Starts a proxy without a configuration and without transcribers.
    pub fn bare(grace_s: f64) -> ProxyFixture {
        let script = Script { report: r#"{"waiting":0,"running":0}"#.to_owned(), ..Script::default() };
        ProxyFixture {
            proxy: Proxy::start(settings(grace_s)).expect("started"),
            script: Rc::new(RefCell::new(script)),
            instances: Vec::new(),
            sequence: 0,
        }
    }

    /// Starts a transcriber and announces it to the proxy.
    pub async fn add(&mut self, backend: &str, id: &str) {
        let address = transcriber::start(id, self.script.clone()).await;
        self.announce(backend, id, address);
    }

    /// Announces a transcriber to the proxy as ready.
    pub fn announce(&mut self, backend: &str, id: &str, address: SocketAddr) {
        self.sequence += 1;
        let instance = Instance {
            id: id.to_owned(),
            backend: backend.to_owned(),
            address: address.to_string(),
            zone: "here".to_owned(),
            slots: 4,
            state: InstanceState::Ready,
            sequence: self.sequence,
            ..Instance::default()
        };
        self.proxy.apply(&[instances(vec![instance.clone()])]);
        self.instances.push(instance);
    }

    /// Announces a new state of a transcriber to the proxy.
    pub fn set_state(&mut self, id: &str, state: InstanceState) {
        self.sequence += 1;
        let instance = self.instances.iter_mut().find(|instance| instance.id == id);
        let instance = instance.expect("an announced transcriber");
        (instance.state, instance.sequence) = (state, self.sequence);
        let instance = instance.clone();
        self.proxy.apply(&[instances(vec![instance])]);
    }

    pub async fn connect(&self) -> Client {
        Client::connect(self.proxy.client_address()).await
    }

    /// Sends one request on a new connection and returns the response.
    pub async fn exchange(&self, request: &str) -> String {
        let mut client = self.connect().await;
        client.write(request).await;
        client.response().await
    }

    /// Sends `GET /readyz` and returns the status line.
    pub async fn readyz(&self) -> String {
        let mut client = Client::connect(self.proxy.ready_address()).await;
        client.write("GET /readyz HTTP/1.1\nHost: edge\n\n").await;
        client.response().await.lines().next().expect("a status line").to_owned()
    }

    /// Takes out the log of the transcribers, one line per request or closed connection.
    pub fn log(&self) -> String {
        let lines = std::mem::take(&mut self.script.borrow_mut().log);
        lines.join("\n")
    }

    /// Waits until the log of the transcribers has `lines` lines.
    pub async fn wait_for_log_lines(&self, lines: usize) {
        while self.script.borrow().log.len() < lines {
            tokio::task::yield_now().await;
        }
    }
}

/// Returns a `GET` request with a deadline of 2 s.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\nHost: h.example\nRequest-Id: {id}\nDeadline-Ms: 2000\n\n")
}

/// Returns a `POST` request with a deadline of 2 s.
pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\nHost: h.example\nRequest-Id: {id}\nDeadline-Ms: 2000\n\
         Content-Length: {length}\n\n{body}"
    )
}

/// Runs a test on a single-threaded runtime, like the program.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Asserts that a transcript equals the approved one, apart from surrounding whitespace.
#[track_caller]
pub fn approve(received: &str, approved: &str) {
    let received = received.trim_end();
    let approved = approved.trim();
    assert!(received == approved, "received:\n{received}\n\napproved:\n{approved}\n");
}
