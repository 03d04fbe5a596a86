//! One HTTP/1.1 call on a new connection.

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, path: impl Into<String>) -> Call {
        Call { method, path: path.into(), ..Call::default() }
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Call {
        self.headers.push((name, value.into()));
        self
    }

    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Call {
        self.body = body.into();
        self
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> simd_json::OwnedValue {
        simd_json::to_owned_value(&mut self.body.to_vec()).expect("an answer in JSON")
    }
}

/// Sends a call; an error says why there is no whole answer.
pub async fn send(address: SocketAddr, call: &Call) -> Result<Answer, String> {
    let exchanged = timeout(CALL_TIMEOUT, exchange(address, call)).await;
    exchanged.map_err(|_| format!("{address}: no answer in {CALL_TIMEOUT:?}"))?
}

async fn exchange(address: SocketAddr, call: &Call) -> Result<Answer, String> {
    let describe = |error: &dyn std::fmt::Display| format!("{address}: {error}");
    let stream = TcpStream::connect(address).await.map_err(|error| describe(&error))?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| describe(&error))?;
    let driver = tokio::task::spawn_local(connection);
    let mut request = Request::builder().method(call.method).uri(&call.path);
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    if !call.headers.iter().any(|(name, _)| *name == "Host") {
        request = request.header("Host", address.to_string());
    }
    let request =
        request.body(Full::new(Bytes::from(call.body.clone()))).map_err(|error| describe(&error))?;
    let response = sender.send_request(request).await.map_err(|error| describe(&error))?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| describe(&error))?.to_bytes();
    driver.abort();
    Ok(Answer { status: head.status.as_u16(), headers: head.headers, body })
}

/// Sends a call to the control plane: follows redirects twice.
pub async fn send_following(address: SocketAddr, call: &Call) -> Result<Answer, String> {
    let mut next = address;
    for _ in 0..3 {
        let answer = send(next, call).await?;
        if answer.status != 307 {
            return Ok(answer);
        }
        let location = answer.header("Location").unwrap_or_default().to_owned();
        let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
        next = authority.parse().map_err(|_| format!("{next}: Location {location:?}"))?;
    }
    Err(format!("{address}: too many redirects"))
}
