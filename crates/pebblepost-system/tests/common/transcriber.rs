//! A fake transcriber, which registers itself, serves pages, scores and event streams, and executes load
//! orders.

use super::client::{ApiRequest, send_with_redirects};
use super::operator::MODEL;
use super::transcriber_state::{Execution, ReceivedOrder, TranscriberState};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess};
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Number of events in each stream.
pub const EVENTS_PER_STREAM: u64 = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const LOAD_DURATION: Duration = Duration::from_millis(200);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const RETRY_DELAY: Duration = Duration::from_millis(100);

type TranscriberResponse = Response<Either<Full<Bytes>, EventBody>>;

/// Body of an event stream.
#[derive(Debug)]
pub struct EventBody(mpsc::Receiver<Bytes>);

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|event| event.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// A running fake transcriber.
#[derive(Clone, Debug)]
pub struct Transcriber {
    pub address: SocketAddr,
    pub state: Rc<RefCell<TranscriberState>>,
}

/// Returns the data of an item's complete event stream, as in the field `message` of its result.
pub fn complete_text(item: &str) -> String {
    (1..=EVENTS_PER_STREAM).map(|event| event_data(item, event)).collect::<Vec<_>>().join("\n")
}

fn event_data(item: &str, event: u64) -> String {
    format!("{item} says {event}")
}

impl Transcriber {
    /// Starts a fake transcriber that registers itself at the control nodes.
    pub async fn start(
        id: String, service: &'static str, zone: &'static str, models: &[&str], controls: Vec<SocketAddr>,
    ) -> Transcriber {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let state = Rc::new(RefCell::new(TranscriberState::new(id, service, zone, models)));
        let transcriber = Transcriber { address, state };
        tokio::task::spawn_local(transcriber.clone().serve(listener));
        tokio::task::spawn_local(transcriber.clone().keep_registered(controls));
        transcriber
    }

    /// Returns the loaded version of the model, or 0 if the service has no model.
    pub fn generation(&self) -> u64 {
        self.state.borrow().models.get(MODEL).copied().unwrap_or(0)
    }

    /// Registers the transcriber, and repeats the registration as its heartbeat.
    async fn keep_registered(self, controls: Vec<SocketAddr>) {
        let path = format!("/instances/{}", self.state.borrow().id);
        let mut next = 0;
        let mut preferred: Option<SocketAddr> = None;
        loop {
            let body = self.state.borrow_mut().next_registration(&self.address.to_string());
            let call =
                ApiRequest::new("PUT", path.clone()).header("Content-Type", "application/json").body(body);
            let control = preferred.unwrap_or(controls[next % controls.len()]);
            match send_with_redirects(control, &call).await {
                Ok(response) if (200..300).contains(&response.status) => {
                    self.state.borrow_mut().acknowledged += 1;
                    preferred = parse_heartbeat_address(&response.text());
                    sleep(HEARTBEAT_INTERVAL).await;
                }
                _ => {
                    preferred = None;
                    next += 1;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let transcriber = self.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(move |request| transcriber.clone().response(request));
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn response(self, request: Request<Incoming>) -> Result<TranscriberResponse, hyper::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let path = head.uri.path().to_owned();
        let response = match path.as_str() {
            "/healthz" => self.respond(200, &[("instance-id", self.id())], "ok"),
            "/report" => self.respond(
                200,
                &[("content-type", "application/json".into())],
                self.state.borrow().report(),
            ),
            "/order" => self.order(&body),
            _ => self.execute(&head.headers, path, body),
        };
        Ok(response)
    }

    fn id(&self) -> String {
        self.state.borrow().id.clone()
    }

    fn respond(
        &self, status: u16, headers: &[(&str, String)], body: impl Into<Bytes>,
    ) -> TranscriberResponse {
        let mut response = Response::builder().status(status);
        for (name, value) in headers {
            response = response.header(*name, value);
        }
        response.body(Either::Left(Full::new(body.into()))).expect("a response")
    }

    /// Rejects a request with the header that states that it was not executed.
    fn not_executed(&self, status: u16, request_id: &str) -> TranscriberResponse {
        let headers = [
            ("not-executed", "1".to_owned()),
            ("request-id", request_id.to_owned()),
            ("instance-id", self.id()),
        ];
        self.respond(status, &headers, "")
    }

    fn order(&self, body: &[u8]) -> TranscriberResponse {
        let order = parse_order(body);
        let status = match &order {
            Some(order) => self.accept_order(order),
            None => 400,
        };
        if let Some(mut order) = order {
            order.status = status;
            self.state.borrow_mut().orders.push(order);
        } else {
            let text = String::from_utf8_lossy(body).into_owned();
            self.state.borrow_mut().violations.push(format!("invalid load order: {text}"));
        }
        self.respond(status, &[], "")
    }

    /// Accepts or rejects a load order and returns the status of the response.
    fn accept_order(&self, order: &ReceivedOrder) -> u16 {
        let mut state = self.state.borrow_mut();
        if state.models.get(MODEL) == Some(&order.generation) {
            return 200;
        }
        if state.is_loading {
            return 409;
        }
        state.is_loading = true;
        state.orders_accepted += 1;
        tokio::task::spawn_local(self.clone().load(order.generation));
        202
    }

    /// Loads a version once all running streams have ended, as in mode `wait`.
    async fn load(self, generation: u64) {
        while self.state.borrow().running > 0 {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(LOAD_DURATION).await;
        let mut state = self.state.borrow_mut();
        state.models.insert(MODEL.to_owned(), generation);
        state.is_loading = false;
    }

    fn execute(&self, headers: &HeaderMap, path: String, body: Bytes) -> TranscriberResponse {
        let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let Some(request_id) = header("request-id") else { return self.not_executed(400, "") };
        if header("target-instance").is_some_and(|target| target != self.id()) {
            return self.not_executed(421, &request_id);
        }
        let version = self.state.borrow().models.get(MODEL).copied();
        let expected = header("expect-version").and_then(|text| text.parse::<u64>().ok());
        if expected.is_some_and(|expected| Some(expected) != version) {
            return self.not_executed(421, &request_id);
        }
        if self.state.borrow().is_loading {
            return self.not_executed(503, &request_id);
        }
        let last_event_id = header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let seal = self.state.borrow_mut().next_seal();
        let execution = Execution {
            request_id: request_id.clone(),
            path: path.clone(),
            body: body.to_vec(),
            last_event_id,
            received_at: Instant::now(),
            finished_at: None,
            seal: seal.clone(),
        };
        let number = {
            let mut state = self.state.borrow_mut();
            state.executions.push(execution);
            state.executions.len() - 1
        };
        let mut response_headers = vec![("request-id", request_id.clone()), ("response-seal", seal)];
        let Some(version) = version else {
            self.state.borrow_mut().executions[number].finished_at = Some(Instant::now());
            return self.respond(200, &response_headers, format!("response to {path}"));
        };
        response_headers.push(("content-type", "text/event-stream".to_owned()));
        response_headers.push(("weight-versions", version.to_string()));
        self.stream(number, request_id, last_event_id, &response_headers)
    }

    fn stream(
        &self, number: usize, item: String, after: u64, headers: &[(&str, String)],
    ) -> TranscriberResponse {
        let (sender, receiver) = mpsc::channel(1);
        self.state.borrow_mut().running += 1;
        tokio::task::spawn_local(self.clone().write_events(number, item, after, sender));
        let mut response = Response::builder().status(200);
        for (name, value) in headers {
            response = response.header(*name, value);
        }
        response.body(Either::Right(EventBody(receiver))).expect("a response")
    }

    async fn write_events(self, number: usize, item: String, after: u64, sender: mpsc::Sender<Bytes>) {
        let mut version = None;
        for event in after + 1..=EVENTS_PER_STREAM {
            sleep(EVENT_INTERVAL).await;
            let loaded = Some(self.generation());
            let mut text = String::new();
            if version != loaded {
                version = loaded;
                text.push_str(&format!("weight-versions: {}\n", self.generation()));
            }
            text.push_str(&format!("id: {event}\ndata: {}\n\n", event_data(&item, event)));
            if sender.send(Bytes::from(text)).await.is_err() {
                break;
            }
            if event == EVENTS_PER_STREAM {
                self.state.borrow_mut().executions[number].finished_at = Some(Instant::now());
            }
        }
        self.state.borrow_mut().running -= 1;
    }
}

/// Parses the address in the field `heartbeat_url` of the response to a registration.
fn parse_heartbeat_address(response: &str) -> Option<SocketAddr> {
    let value = simd_json::to_owned_value(&mut response.as_bytes().to_vec()).ok()?;
    let url = value.get("heartbeat_url")?.as_str()?;
    url.trim_start_matches("http://").split('/').next()?.parse().ok()
}

/// Parses a load order, or returns `None` if a field is missing or invalid.
fn parse_order(body: &[u8]) -> Option<ReceivedOrder> {
    let value = simd_json::to_owned_value(&mut body.to_vec()).ok()?;
    let is_known = value.get("op")?.as_str()? == "generation"
        && value.get("model")?.as_str()? == MODEL
        && ["wait", "retain", "truncate"].contains(&value.get("mode")?.as_str()?);
    is_known.then_some(())?;
    Some(ReceivedOrder {
        holder: value.get("holder")?.as_str()?.to_owned(),
        fence_token: value.get("fence_token")?.as_u64()?,
        generation: value.get("generation")?.as_u64()?,
        status: 0,
        received_at: Instant::now(),
    })
}
