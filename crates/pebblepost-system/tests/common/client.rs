//! An HTTP/1.1 client that sends each request on a new connection.

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A request.
#[derive(Clone, Debug, Default)]
pub struct ApiRequest {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl ApiRequest {
    pub fn new(method: &'static str, path: impl Into<String>) -> ApiRequest {
        ApiRequest { method, path: path.into(), ..ApiRequest::default() }
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> ApiRequest {
        self.headers.push((name, value.into()));
        self
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> ApiRequest {
        self.body = body.into();
        self
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl ApiResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> simd_json::OwnedValue {
        simd_json::to_owned_value(&mut self.body.to_vec()).expect("a JSON body")
    }
}

/// The reason why a request has no complete response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    #[error("{0}: no response in time")]
    TimedOut(SocketAddr),
    #[error("{address}: {cause}")]
    Failed { address: SocketAddr, cause: Box<dyn std::error::Error + Send + Sync> },
    #[error("{address}: invalid Location {location:?}")]
    BadRedirect { address: SocketAddr, location: String },
    #[error("{0}: too many redirects")]
    TooManyRedirects(SocketAddr),
}

/// Sends a request and reads the whole response.
pub async fn send(address: SocketAddr, call: &ApiRequest) -> Result<ApiResponse, RequestError> {
    send_within(address, call, REQUEST_TIMEOUT).await
}

/// Like [`send`], with another time limit.
pub async fn send_within(
    address: SocketAddr, call: &ApiRequest, limit: Duration,
) -> Result<ApiResponse, RequestError> {
    let exchanged = timeout(limit, exchange(address, call)).await;
    exchanged.map_err(|_| RequestError::TimedOut(address))?
}

async fn exchange(address: SocketAddr, call: &ApiRequest) -> Result<ApiResponse, RequestError> {
    let failed = |cause: Box<dyn std::error::Error + Send + Sync>| RequestError::Failed { address, cause };
    let stream = TcpStream::connect(address).await.map_err(|error| failed(error.into()))?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| failed(error.into()))?;
    let driver = tokio::task::spawn_local(connection);
    let mut request = Request::builder().method(call.method).uri(&call.path);
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    if !call.headers.iter().any(|(name, _)| *name == "Host") {
        request = request.header("Host", address.to_string());
    }
    let request = request.body(Full::new(call.body.clone())).map_err(|error| failed(error.into()))?;
    let response = sender.send_request(request).await.map_err(|error| failed(error.into()))?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| failed(error.into()))?.to_bytes();
    driver.abort();
    Ok(ApiResponse { status: head.status.as_u16(), headers: head.headers, body })
}

/// Sends a request to the control plane and follows up to two redirects.
pub async fn send_with_redirects(
    address: SocketAddr, call: &ApiRequest,
) -> Result<ApiResponse, RequestError> {
    let mut next = address;
    for _ in 0..3 {
        let response = send(next, call).await?;
        if response.status != 307 {
            return Ok(response);
        }
        let location = response.header("Location").unwrap_or_default().to_owned();
        let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
        next = authority
            .parse()
            .map_err(|_| RequestError::BadRedirect { address: next, location: location.clone() })?;
    }
    Err(RequestError::TooManyRedirects(address))
}
