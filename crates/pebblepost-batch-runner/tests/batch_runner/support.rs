//! Fake stores and transcribers over loopback, and a runner between them.

use bytes::Bytes;
use pebblepost_batch_runner::BatchRunner;
use pebblepost_batch_runner::JobBody;
use pebblepost_batch_runner::random::Random;
use pebblepost_feed::FeedState;
use pebblepost_link::{LinkLimits, Listener, Sender};
use pebblepost_memory::{BlockBuffer, MemoryBudget};
use pebblepost_messages::batch::{
    FromStore, Item, JobTerms, LeasedItem, STORE_GROUPS, Scorer, ToStore, WorkLease,
};
use pebblepost_messages::feed::{
    ConfigurationUpdate, FeedUpdate, Instance, InstanceState, ModelVersion, StoreGroup,
};
use pebblepost_messages::{DiskId, Member};
use pebblepost_settings::Settings;
use pebblepost_transcriber::{Client, ClientLimits};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

const SETTINGS: &str = "node_name='edge-1'\nip='127.0.0.1'\nzone='z'\nport_range=[7000,7003]\n";
const CONFIGURATION: &str = r#"{"generation":7,"routes":[
 {"name":"r-lots","hostname":"h.example","path_prefix":"/lot/","kind":"rollout","timeout_ms":6000,
  "target_latency_ms":500,"priority":1,"backend":"models","max_attempts":2,"queue_ttl_s":40.0,
  "run_deadline_ms":4500,"single_version":SINGLE},
 {"name":"r-score","hostname":"h.example","path_prefix":"/score/","kind":"idempotent","timeout_ms":1500,
  "target_latency_ms":150,"priority":2,"backend":"scorers","max_attempts":2}],
 "services":[{"name":"models","health_path":"/healthz","max_conns":150},
  {"name":"scorers","health_path":"/healthz","max_conns":96}]}"#;

pub const LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 1 << 24,
    max_queued_bytes: 1 << 24,
    connect_timeout: Duration::from_secs(1),
    read_timeout: Duration::from_secs(30),
};

/// Interval at which a store that does not read checks whether it may.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Runs a test on a current-thread runtime with a `LocalSet`.
pub fn run<F: Future<Output = ()>>(test: F) {
    run_within(Duration::from_secs(20), test);
}

/// Like [`run`], but with a time limit by the runtime's clock.
pub fn run_within<F: Future<Output = ()>>(limit: Duration, test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(limit, test).await.expect("test timed out");
    });
}

/// A store whose side of the links is controlled by the test.
pub struct FakeStore {
    pub address: SocketAddr,
    links: mpsc::UnboundedReceiver<StoreEnd>,
    is_reading: Rc<Cell<bool>>,
}

/// The store's end of one link.
pub struct StoreEnd {
    pub sender: Sender,
    /// Outcomes received before the announcement of leases.
    pub outcomes_before_leases: Vec<ToStore>,
    messages: mpsc::UnboundedReceiver<ToStore>,
}

impl FakeStore {
    pub fn start() -> FakeStore {
        let mut listener = Listener::bind("127.0.0.1:0".parse().unwrap(), LINK_LIMITS).unwrap();
        let address = listener.local_address().unwrap();
        let (accepted, links) = mpsc::unbounded_channel();
        let is_reading = Rc::new(Cell::new(true));
        let may_read = is_reading.clone();
        tokio::task::spawn_local(async move {
            while let Ok((sender, mut receiver)) = listener.accept().await {
                let (read, messages) = mpsc::unbounded_channel();
                let may_read = may_read.clone();
                if accepted.send(StoreEnd { sender, outcomes_before_leases: Vec::new(), messages }).is_err() {
                    return;
                }
                tokio::task::spawn_local(async move {
                    while let Ok(message) = receiver.receive::<ToStore>().await {
                        if read.send(message).is_err() {
                            return;
                        }
                        while !may_read.get() {
                            sleep(READ_CHECK_INTERVAL).await;
                        }
                    }
                });
            }
        });
        FakeStore { address, links, is_reading }
    }

    /// Makes the store stop reading after the next message, or read again.
    pub fn set_reading(&self, is_reading: bool) {
        self.is_reading.set(is_reading);
    }

    /// Accepts the next link, checks its hello message and returns its announcement of leases.
    pub async fn accept(&mut self) -> (StoreEnd, ToStore) {
        let mut end = self.links.recv().await.unwrap();
        let hello = end.next().await;
        assert_eq!(hello, ToStore::ProxyHello { node: "edge-1".to_owned(), zone: "z".to_owned() });
        let mut announced = end.next().await;
        while matches!(announced, ToStore::Outcomes { .. }) {
            end.outcomes_before_leases.push(announced);
            announced = end.next().await;
        }
        (end, announced)
    }
}

impl StoreEnd {
    /// Returns the next message, or `None` if the link is closed.
    pub async fn receive(&mut self) -> Option<ToStore> {
        self.messages.recv().await
    }

    /// Returns the next message that is not a keep-alive.
    pub async fn next(&mut self) -> ToStore {
        loop {
            let message = self.messages.recv().await.expect("the link was closed");
            if message != ToStore::KeepAlive {
                return message;
            }
        }
    }

    /// Answers `count` keep-alives, which arrive every 500 ms.
    pub async fn keep_alive(&mut self, count: usize) {
        let mut answered = 0;
        while answered < count {
            let message = self.messages.recv().await.expect("the link was closed");
            if message == ToStore::KeepAlive {
                self.sender.send(&FromStore::KeepAlive);
                answered += 1;
            }
        }
    }

    /// Returns all messages until the link is closed.
    pub async fn remaining_messages(&mut self) -> Vec<ToStore> {
        let mut messages = Vec::new();
        while let Some(message) = self.messages.recv().await {
            messages.push(message);
        }
        messages
    }

    /// Returns the next outcomes message. Other messages are ignored.
    pub async fn outcomes(&mut self) -> ToStore {
        loop {
            let message = self.next().await;
            if matches!(message, ToStore::Outcomes { .. }) {
                return message;
            }
        }
    }

    /// Waits for a request for work, answers it with `leases` and returns the requested number of items.
    pub async fn grant_work(&mut self, leases: Vec<WorkLease>) -> u32 {
        loop {
            if let ToStore::RequestWork { max_items } = self.next().await {
                self.sender.send(&FromStore::Work(leases));
                return max_items;
            }
        }
    }
}

/// A request received by a fake transcriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenRequest {
    pub transcriber: String,
    pub text: String,
}

impl SeenRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// Reaction of a fake transcriber to a request.
pub enum Reply {
    /// Writes bytes and keeps the connection open.
    Write(Vec<u8>),
    /// Writes bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Writes bytes and waits for the peer to close the connection.
    WriteAndHang(Vec<u8>),
}

type Handler = Rc<RefCell<dyn FnMut(&SeenRequest) -> Reply>>;

/// Fake transcribers that share a record of their requests, without those for load reports.
#[derive(Clone)]
pub struct Transcribers {
    pub seen: Rc<RefCell<Vec<SeenRequest>>>,
    closings: mpsc::UnboundedSender<String>,
    records_reports: bool,
}

impl Transcribers {
    pub fn new() -> (Transcribers, mpsc::UnboundedReceiver<String>) {
        let (closings, closed) = mpsc::unbounded_channel();
        let transcribers = Transcribers { seen: Rc::default(), closings, records_reports: false };
        (transcribers, closed)
    }

    /// Creates a record that includes the requests for load reports.
    pub fn recording_reports() -> (Transcribers, mpsc::UnboundedReceiver<String>) {
        let (transcribers, closed) = Transcribers::new();
        (Transcribers { records_reports: true, ..transcribers }, closed)
    }

    /// Starts a transcriber and returns its address.
    pub async fn start(&self, id: &str, handler: impl FnMut(&SeenRequest) -> Reply + 'static) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (transcribers, id) = (self.clone(), id.to_owned());
        let handler: Handler = Rc::new(RefCell::new(handler));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(transcribers.clone().serve(id.clone(), stream, handler.clone()));
            }
        });
        address
    }

    async fn serve(self, id: String, mut stream: TcpStream, handler: Handler) {
        while let Some(text) = read_request(&mut stream).await {
            let seen = SeenRequest { transcriber: id.clone(), text };
            if self.records_reports || !seen.text.starts_with("GET /report") {
                self.seen.borrow_mut().push(seen.clone());
            }
            let reply = (handler.borrow_mut())(&seen);
            let (bytes, keeps_connection, awaits_close) = match reply {
                Reply::Write(bytes) => (bytes, true, false),
                Reply::WriteAndClose(bytes) => (bytes, false, false),
                Reply::WriteAndHang(bytes) => (bytes, false, true),
            };
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
            if awaits_close {
                let mut buffer = [0; 64];
                while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
                let _ = self.closings.send(id.clone());
            }
            if !keeps_connection {
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        let mut buffer = [0; 1024];
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
    let length: usize = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |value| value.parse().unwrap());
    while bytes.len() < head_end + length {
        let mut buffer = [0; 1024];
        let read = stream.read(&mut buffer).await.ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
    }
    let text = String::from_utf8(bytes).unwrap();
    let lines = text.split("\r\n").map(|line| match line.strip_prefix("deadline-ms: ") {
        Some(value) if value.parse::<u64>().is_ok_and(|value| value > 0) => "deadline-ms: (left)",
        _ => line,
    });
    Some(lines.collect::<Vec<_>>().join("\n"))
}

/// Returns a response to `GET /report`.
pub fn load_report(version: u64, running: u32) -> Vec<u8> {
    load_report_with_order(version, running, false)
}

/// Returns a response to `GET /report`, with or without a load order in progress.
pub fn load_report_with_order(version: u64, running: u32, order_in_progress: bool) -> Vec<u8> {
    let body = format!(
        r#"{{"models":[{{"name":"daka","generation":{version}}}],"busy":{order_in_progress},"running":{running},"waiting":0}}"#
    );
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Returns the head of a stream.
pub fn stream_head(request_id: &str, version: u64) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\ncontent-type: text/event-stream\r\n\
         weight-versions: {version}\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the events from id `first` to `last` as chunks, with the data `dN`.
pub fn events(first: u64, last: u64) -> Vec<u8> {
    let chunk = |id| {
        let event = format!("id: {id}\ndata: d{id}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    };
    (first..=last).map(chunk).collect::<String>().into_bytes()
}

/// Returns one event as a chunk that changes the version.
pub fn event_with_version(id: u64, version: u64) -> Vec<u8> {
    let event = format!("weight-versions: {version}\nid: {id}\ndata: d{id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Returns a response without a body.
pub fn empty_response(status: u16, request_id: &str, header: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nrequest-id: {request_id}\r\n{header}content-length: 0\r\n\r\n")
        .into_bytes()
}

/// The runner under test, with its feed.
pub struct RunnerUnderTest {
    pub runner: BatchRunner,
    pub feed: Rc<RefCell<FeedState>>,
}

impl RunnerUnderTest {
    /// Starts a runner with a job route that does or does not require a single version.
    pub fn start(single_version: bool) -> RunnerUnderTest {
        let document = CONFIGURATION.replace("SINGLE", if single_version { "true" } else { "false" });
        RunnerUnderTest::start_with(&document, Random::default())
    }

    /// Starts a runner with this configuration.
    pub fn start_with(document: &str, random: Random) -> RunnerUnderTest {
        let settings = Settings::parse(SETTINGS, "local.toml").unwrap();
        let client = Client::new(ClientLimits {
            connect_timeout: Duration::from_millis(500),
            max_connections_per_transcriber: 8,
            idle_timeout: Duration::from_secs(10),
            max_body_bytes: 1 << 20,
        });
        let feed = Rc::new(RefCell::new(FeedState::default()));
        let update = ConfigurationUpdate::Full { generation: 7, document: document.as_bytes().to_vec() };
        assert!(feed.borrow_mut().apply(&FeedUpdate::Configuration(update)).configuration_changed);
        let runner = BatchRunner::start_with_random(
            &settings,
            client,
            feed.clone(),
            random,
            MemoryBudget::new(usize::MAX),
        );
        RunnerUnderTest { runner, feed }
    }

    pub fn apply(&self, update: FeedUpdate) {
        self.feed.borrow_mut().apply(&update);
        self.runner.feed_changed();
    }

    /// Makes this store the primary of all groups.
    pub fn set_primary(&self, address: SocketAddr, epoch: u64) {
        self.set_primaries(epoch, |_| address);
    }

    /// Sets the primary of each group.
    pub fn set_primaries(&self, epoch: u64, address_of: impl Fn(u32) -> SocketAddr) {
        let group = |group| {
            let address = address_of(group);
            let primary = Member {
                disk: DiskId(address.port().into()),
                node: "storage-1".to_owned(),
                address: address.to_string(),
                ..Member::default()
            };
            StoreGroup {
                group,
                epoch,
                primary: primary.clone(),
                in_sync: vec![primary.clone()],
                targets: vec![primary],
            }
        };
        self.apply(FeedUpdate::StoreGroups((0..STORE_GROUPS).map(group).collect()));
    }

    /// Announces a transcriber in the zone of the runner.
    pub fn announce(
        &self, id: &str, backend: &str, address: SocketAddr, state: InstanceState, sequence: u64,
    ) {
        self.announce_in("z", id, backend, address, state, sequence);
    }

    pub fn announce_in(
        &self, zone: &str, id: &str, backend: &str, address: SocketAddr, state: InstanceState, sequence: u64,
    ) {
        let models = match backend {
            "models" | "others" => vec![ModelVersion { model: "daka".to_owned(), generation: 1 }],
            _ => Vec::new(),
        };
        let instance = Instance {
            id: id.to_owned(),
            backend: backend.to_owned(),
            address: address.to_string(),
            zone: zone.to_owned(),
            slots: 8,
            state,
            slow_start_remaining_ms: 0,
            models,
            sequence,
        };
        self.apply(FeedUpdate::Instances { complete: false, instances: vec![instance] });
    }

    pub fn announce_ready(&self, id: &str, backend: &str, address: SocketAddr) {
        self.announce(id, backend, address, InstanceState::Ready, 1);
    }
}

/// Returns a request to the runner.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> http::Request<BlockBuffer> {
    let mut builder = http::Request::builder().method(method).uri(path).header("host", "h.example");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(body_buffer(body.as_bytes())).unwrap()
}

/// Size of the parts in which a body is received.
const NETWORK_CHUNK_BYTES: usize = 1000;

/// Returns a body in a buffer without a limit.
pub fn body_buffer(body: &[u8]) -> BlockBuffer {
    let mut buffer = BlockBuffer::new(MemoryBudget::new(usize::MAX).empty_reservation());
    for part in body.chunks(NETWORK_CHUNK_BYTES) {
        buffer.push(Bytes::copy_from_slice(part)).unwrap();
    }
    buffer
}

/// Returns the whole body of a response.
pub fn body_bytes(mut body: JobBody) -> Vec<u8> {
    let announced = body.remaining_bytes();
    let bytes: Vec<u8> = std::iter::from_fn(|| body.next_chunk()).flatten().collect();
    assert_eq!(bytes.len() as u64, announced);
    bytes
}

/// Returns a leased item, with or without a scorer.
pub fn leased(id: &str, scored: bool) -> LeasedItem {
    let scorer = scored.then(|| Scorer {
        id: format!("s-{id}"),
        hostname: "h.example".to_owned(),
        path: "/score/1".to_owned(),
        body: b"judge".to_vec(),
    });
    let item = Item {
        id: id.to_owned(),
        path: "/lot/3".to_owned(),
        headers: vec![("model".to_owned(), "daka".to_owned())],
        body: b"prompt".to_vec(),
        tokens: 10,
        group: "g".to_owned(),
        scorer,
    };
    LeasedItem { item, ..LeasedItem::default() }
}

/// Returns a lease of items of the job `job`.
pub fn lease(items: Vec<LeasedItem>, single_version: bool) -> WorkLease {
    WorkLease {
        lease: 5,
        store_group: 0,
        epoch: 1,
        job: "job".to_owned(),
        terms: JobTerms {
            route: "r-lots".to_owned(),
            hostname: "h.example".to_owned(),
            run_deadline_ms: 4500,
            queue_ttl_ms: 40_000,
            max_attempts: 2,
            priority: 1,
            single_version,
        },
        model: "daka".to_owned(),
        min_version: 1,
        due_in_ms: 4000,
        dead_letter_in_ms: 39_000,
        items,
    }
}
