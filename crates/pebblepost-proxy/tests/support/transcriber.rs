//! Simulated transcribers on loopback. They reply according to one shared script, report their load, and
//! log the requests that reach them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One step of a reply.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes text, in which `{id}` is replaced by the request's id.
    Write(String),
    /// Waits for this time.
    Pause(Duration),
    /// Resets the connection.
    Reset,
    /// Closes the connection.
    Close,
    /// Sends nothing until the other end closes the connection, and logs that.
    Silence,
}

pub type Reply = Vec<Step>;

/// Returns a complete response with `Content-Length`. `head` holds further header lines.
pub fn response(status: &str, head: &[&str], body: &str) -> Reply {
    let head: String = head.iter().map(|line| format!("{line}\r\n")).collect();
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\n{head}Content-Length: {length}\r\n\r\n{body}"
    ))]
}

/// Returns a successful response with a seal.
pub fn success(body: &str) -> Reply {
    response("200 OK", &["Response-Seal: seal.1"], body)
}

/// Returns a response with `Not-Executed`, which proves that the request did not run.
pub fn not_executed(status: &str) -> Reply {
    response(status, &["Not-Executed: 1"], "")
}

/// Returns the head of a stream and some of its events, without the end.
pub fn stream(events: &[&str]) -> Reply {
    let mut steps = vec![Step::Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal.1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            .to_owned(),
    )];
    steps.extend(events.iter().map(|event| chunk(event)));
    steps
}

/// Returns a chunk of a chunked body.
pub fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns the end of a chunked body.
pub fn last_chunk() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}

/// State that all transcribers of a test share.
#[derive(Debug, Default)]
pub struct Script {
    pub replies: VecDeque<Reply>,
    /// One line per request that reached them, and per connection closed during [`Step::Silence`].
    pub log: Vec<String>,
    /// Ids of the transcribers in the order in which requests first reached them.
    pub reached: Vec<String>,
    /// Body of `GET /report`.
    pub report: String,
    pub reports: usize,
    /// Ids of the transcribers that respond to nothing, not even to health checks.
    pub down: Vec<String>,
}

impl Script {
    /// Returns a name by the order of first requests, so that logs do not depend on the random choice among
    /// transcribers.
    fn name(&mut self, id: &str) -> String {
        let index = self.reached.iter().position(|known| known == id).unwrap_or_else(|| {
            self.reached.push(id.to_owned());
            self.reached.len() - 1
        });
        format!("t{}", index + 1)
    }

    /// Returns the id of the transcriber that requests reached first (0), second (1) and so on.
    pub fn id_of(&self, index: usize) -> String {
        self.reached[index].clone()
    }
}

pub type SharedScript = Rc<RefCell<Script>>;

/// Starts a transcriber and returns its address.
pub async fn start(id: &str, script: SharedScript) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let id = id.to_owned();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::task::spawn_local(serve(stream, id.clone(), script.clone()));
        }
    });
    address
}

/// A request that a transcriber received.
struct Received {
    line: String,
    head: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Received {
    fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

async fn serve(mut stream: TcpStream, id: String, script: SharedScript) {
    stream.set_nodelay(true).expect("set");
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        if script.borrow().down.contains(&id) {
            let _ = stream.read(&mut [0; 1]).await;
            return;
        }
        if request.line.starts_with("GET /report ") {
            let body = {
                let mut script = script.borrow_mut();
                script.reports += 1;
                script.report.clone()
            };
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(text.as_bytes()).await.expect("written");
            continue;
        }
        let reply = log_request(&script, &id, &request);
        let request_id = request.header("request-id").unwrap_or("").to_owned();
        if !send_reply(&mut stream, &id, &script, reply, &request_id).await {
            return;
        }
    }
}

/// Logs a request and takes the next reply of the script, or a success once the script is empty.
fn log_request(script: &SharedScript, id: &str, request: &Received) -> Reply {
    let mut script = script.borrow_mut();
    let name = script.name(id);
    let deadline = request.header("deadline-ms").map_or("without a deadline", |_| "with a deadline");
    let target = if request.header("target-instance") == Some(id) { "" } else { " for another instance" };
    let mut line = format!("{name} < {}", request.line.trim_end_matches(" HTTP/1.1"));
    for name in ["host", "request-id", "last-event-id", "connection", "content-type"] {
        if let Some(value) = request.header(name) {
            line.push_str(&format!(" {name}={value}"));
        }
    }
    line.push_str(&format!(" {deadline}{target}"));
    if !request.body.is_empty() {
        line.push_str(&format!(" body={}", String::from_utf8_lossy(&request.body)));
    }
    script.log.push(line);
    script.replies.pop_front().unwrap_or_else(|| success("by default"))
}

/// Sends a reply step by step. Returns false if the connection has ended.
async fn send_reply(
    stream: &mut TcpStream, id: &str, script: &SharedScript, reply: Reply, request_id: &str,
) -> bool {
    for step in reply {
        match step {
            Step::Write(text) => {
                let text = text.replace("{id}", request_id);
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return false;
                }
            }
            Step::Pause(pause) => tokio::time::sleep(pause).await,
            Step::Reset => {
                stream.set_zero_linger().expect("set");
                return false;
            }
            Step::Close => return false,
            Step::Silence => {
                let _ = stream.read(&mut [0; 1]).await;
                let name = script.borrow_mut().name(id);
                script.borrow_mut().log.push(format!("{name} < connection closed"));
                return false;
            }
        }
    }
    true
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Received> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = text.lines();
    let line = lines.next()?.to_owned();
    let split =
        |line: &str| line.split_once(": ").map(|(name, value)| (name.to_lowercase(), value.to_owned()));
    let head: Vec<(String, String)> = lines.filter_map(split).collect();
    let length = head.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(0, |(_, value)| value.parse().expect("a length"));
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(Received { line, head, body })
}
