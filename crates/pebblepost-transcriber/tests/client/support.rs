//! Scripted transcribers on loopback, and requests to them.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use pebblepost_transcriber::{Client, ClientLimits, OutgoingRequest, Target};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// One step of the script that a transcriber runs on a connection.
pub enum Step {
    /// Reads a complete request and records its text.
    Read,
    /// Reads the head of a request and leaves its body unread.
    ReadHead,
    /// Reads until the client closes or resets the connection, then sends the bytes to the test.
    ReadToEnd(oneshot::Sender<Vec<u8>>),
    /// Writes these bytes.
    Write(&'static [u8]),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Writes nothing until the client closes the connection, then notifies the test.
    AwaitClose(oneshot::Sender<()>),
    /// Waits for a signal of the test.
    Await(oneshot::Receiver<()>),
    /// Notifies the test that the previous steps are done.
    Notify(oneshot::Sender<()>),
}

/// A transcriber that runs one script for each connection that it accepts, in the order given.
pub struct ScriptedTranscriber {
    pub address: SocketAddr,
    requests: Rc<RefCell<Vec<String>>>,
}

impl ScriptedTranscriber {
    /// Binds a loopback port and starts accepting. Must run in a `LocalSet`.
    pub async fn start(scripts: Vec<Vec<Step>>) -> ScriptedTranscriber {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Rc::new(RefCell::new(Vec::new()));
        let record = requests.clone();
        tokio::task::spawn_local(async move {
            for script in scripts {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(run_script(stream, script, record.clone()));
            }
        });
        ScriptedTranscriber { address, requests }
    }

    pub fn target(&self) -> Target {
        Target { instance: "i-1".to_owned(), address: self.address }
    }

    /// The requests read so far, with the value of `Deadline-Ms` replaced.
    pub fn requests(&self) -> Vec<String> {
        self.requests.borrow().clone()
    }
}

async fn run_script(mut stream: TcpStream, script: Vec<Step>, record: Rc<RefCell<Vec<String>>>) {
    for step in script {
        match step {
            Step::Read => match read_request(&mut stream).await {
                Some(request) => record.borrow_mut().push(request),
                None => return,
            },
            Step::ReadHead => {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    head.push(stream.read_u8().await.unwrap());
                }
            }
            Step::ReadToEnd(notify) => {
                let mut bytes = Vec::new();
                // A reset ends the read as well.
                stream.read_to_end(&mut bytes).await.ok();
                let _ = notify.send(bytes);
                return;
            }
            Step::Write(bytes) => {
                if stream.write_all(bytes).await.is_err() {
                    return;
                }
            }
            Step::Close => return,
            Step::Reset => {
                stream.set_zero_linger().unwrap();
                return;
            }
            Step::AwaitClose(notify) => {
                let mut buffer = [0; 64];
                while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
                let _ = notify.send(());
                return;
            }
            Step::Await(signal) => {
                let _ = signal.await;
            }
            Step::Notify(notify) => {
                let _ = notify.send(());
            }
        }
    }
    // The connection stays open until the client closes it.
    let mut buffer = [0; 64];
    while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
}

/// Reads a head and a body delimited by `content-length`. Replaces the value of `deadline-ms`, which depends on time.
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
        match stream.read(&mut buffer).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => return None,
        }
    }
    let text = String::from_utf8(bytes).unwrap();
    let lines = text.split("\r\n").map(|line| match line.strip_prefix("deadline-ms: ") {
        Some(value) if value.parse::<u64>().is_ok_and(|value| value > 0) => "deadline-ms: (left)",
        _ => line,
    });
    Some(lines.collect::<Vec<_>>().join("\n"))
}

pub fn limits() -> ClientLimits {
    ClientLimits {
        connect_timeout: Duration::from_millis(500),
        max_connections_per_transcriber: 4,
        idle_timeout: Duration::from_secs(10),
        max_body_bytes: 1000,
    }
}

pub fn client() -> Client {
    Client::new(limits())
}

pub fn outgoing(id: &str) -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("ficu95.example"));
    headers.insert("request-id", HeaderValue::from_str(id).unwrap());
    headers.insert(HeaderName::from_static("model"), HeaderValue::from_static("daka"));
    OutgoingRequest {
        method: Method::POST,
        path: "/lohu930/2f?x=1".to_owned(),
        headers,
        body: Bytes::from_static(b"abc"),
        request_id: id.to_owned(),
        timeout: Duration::from_secs(5),
    }
}

/// Runs a test on a current-thread runtime with a `LocalSet`.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
