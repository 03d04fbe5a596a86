//! Requests to the HTTP interface of the control plane: follows redirects, retries at other processes.

use super::error::rejected;
use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use http::header::{CONTENT_TYPE, HOST, IF_MATCH, LOCATION};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long a command retries.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after every address has failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_REDIRECTS: usize = 3;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A request; it may be sent more than once.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Value of the header `If-Match`.
    pub if_match: Option<u64>,
    /// JSON body.
    pub body: Bytes,
}

impl ApiRequest {
    /// A `GET` without body.
    pub fn get(path: &str) -> ApiRequest {
        ApiRequest { method: Method::GET, path: path.to_owned(), if_match: None, body: Bytes::new() }
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    location: Option<String>,
}

impl ApiResponse {
    /// The response if its status is 2xx. `what` was requested.
    ///
    /// # Errors
    /// With the exit code for rejections if the status is 4xx, without one otherwise.
    pub fn success(self, what: &str) -> Result<ApiResponse> {
        if self.status.is_success() {
            return Ok(self);
        }
        let reason = String::from_utf8_lossy(&self.body).into_owned();
        if self.status.is_client_error() {
            return Err(rejected(format!("{what}: refused with {}: {reason}", self.status)));
        }
        bail!("{what}: answered {}: {reason}", self.status)
    }
}

/// Sends a request to one address after the other until a response is conclusive.
///
/// # Errors
/// With the last failure, if there is none in time.
pub async fn send(addresses: &[SocketAddr], request: &ApiRequest) -> Result<ApiResponse> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    let mut last_failure = eyre!("no address to call");
    while Instant::now() < deadline {
        for address in addresses {
            match send_to(*address, request).await {
                Ok(response) if is_conclusive(response.status) => return Ok(response),
                Ok(response) => last_failure = eyre!("{address} answered {}", response.status),
                Err(error) => last_failure = error,
            }
        }
        sleep(RETRY_DELAY).await;
    }
    Err(last_failure
        .wrap_err(format!("{} {}: no clear answer in {RETRY_TIMEOUT:?}", request.method, request.path)))
}

/// Whether a status says what became of the request.
fn is_conclusive(status: StatusCode) -> bool {
    let retryable = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    !status.is_server_error() && !status.is_redirection() && !retryable.contains(&status)
}

/// Sends a request to one address and follows its redirects.
async fn send_to(address: SocketAddr, request: &ApiRequest) -> Result<ApiResponse> {
    let mut next = address;
    for _ in 0..=MAX_REDIRECTS {
        let exchanged = timeout(REQUEST_TIMEOUT, exchange(next, request)).await;
        let response = exchanged.map_err(|_| eyre!("{next} did not answer in {REQUEST_TIMEOUT:?}"))??;
        match &response.location {
            Some(location) if response.status == StatusCode::TEMPORARY_REDIRECT => {
                next = redirect_target(location).wrap_err_with(|| format!("redirect from {next}"))?;
            }
            _ => return Ok(response),
        }
    }
    bail!("{address} led to more than {MAX_REDIRECTS} redirects")
}

fn redirect_target(location: &str) -> Result<SocketAddr> {
    let uri: Uri = location.parse().wrap_err_with(|| format!("reading Location {location}"))?;
    let authority = uri.authority().ok_or_else(|| eyre!("Location {location} names no address"))?;
    authority.as_str().parse().wrap_err_with(|| format!("reading the address in Location {location}"))
}

async fn exchange(address: SocketAddr, request: &ApiRequest) -> Result<ApiResponse> {
    let stream = TcpStream::connect(address)
        .await
        .wrap_err_with(|| format!("connecting to the control at {address}"))?;
    let (mut sender, connection) =
        handshake(TokioIo::new(stream)).await.wrap_err_with(|| format!("starting HTTP with {address}"))?;
    let driver = tokio::task::spawn_local(connection);
    let response = send_over(&mut sender, address, request).await;
    driver.abort();
    response.wrap_err_with(|| format!("calling {} {} at {address}", request.method, request.path))
}

async fn send_over(
    sender: &mut SendRequest<Full<Bytes>>, address: SocketAddr, request: &ApiRequest,
) -> Result<ApiResponse> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json");
    if let Some(version) = request.if_match {
        builder = builder.header(IF_MATCH, version);
    }
    let response = sender.send_request(builder.body(Full::new(request.body.clone()))?).await?;
    let (head, body) = response.into_parts();
    let location = head.headers.get(LOCATION).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|error| eyre!("{error}"))?;
    Ok(ApiResponse { status: head.status, body: body.to_bytes(), location })
}
