//! Client of the control plane's HTTP interface. It follows redirects and retries at other control nodes.

use super::error::rejection;
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

/// Total time for a request with its retries.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for one request to one control node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the next round once every address has failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_REDIRECTS: usize = 3;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A request. [`send`] may send it more than once.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    pub method: Method,
    pub path: String,
    /// Generation sent in the header `If-Match`.
    pub if_match: Option<u64>,
    /// JSON body; may be empty.
    pub body: Bytes,
}

impl ApiRequest {
    /// Creates a `GET` request without a body.
    pub fn get(path: &str) -> ApiRequest {
        ApiRequest { method: Method::GET, path: path.to_owned(), if_match: None, body: Bytes::new() }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    pub status: StatusCode,
    pub body: Bytes,
    /// Value of the header `Location`.
    location: Option<String>,
}

impl ApiResponse {
    /// Returns the response if its status is 2xx. `operation` names the request in the error message.
    ///
    /// # Errors
    /// If the status is not 2xx. The error has the exit code for rejections if the status is 4xx.
    pub fn require_success(self, operation: &str) -> Result<ApiResponse> {
        if self.status.is_success() {
            return Ok(self);
        }
        let reason = String::from_utf8_lossy(&self.body).into_owned();
        if self.status.is_client_error() {
            return Err(rejection(format!("{operation}: rejected with {}: {reason}", self.status)));
        }
        bail!("{operation}: failed with {}: {reason}", self.status)
    }
}

/// Sends a request to one address after the other until a response is conclusive.
///
/// # Errors
/// If there is no conclusive response within [`RETRY_TIMEOUT`]. The error contains the last failure.
pub async fn send(addresses: &[SocketAddr], request: &ApiRequest) -> Result<ApiResponse> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    let mut last_failure = eyre!("no control address is given");
    while Instant::now() < deadline {
        for address in addresses {
            match send_to(*address, request).await {
                Ok(response) if is_conclusive(response.status) => return Ok(response),
                Ok(response) => last_failure = eyre!("{address} responded with {}", response.status),
                Err(error) => last_failure = error,
            }
        }
        sleep(RETRY_DELAY).await;
    }
    Err(last_failure.wrap_err(format!(
        "{} {}: no conclusive response within {RETRY_TIMEOUT:?}",
        request.method, request.path
    )))
}

/// Returns whether a status states the outcome of the request, so that no other address need be tried.
fn is_conclusive(status: StatusCode) -> bool {
    let retryable = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    !status.is_server_error() && !status.is_redirection() && !retryable.contains(&status)
}

/// Sends a request to one address and follows its redirects.
async fn send_to(address: SocketAddr, request: &ApiRequest) -> Result<ApiResponse> {
    let mut next = address;
    for _ in 0..=MAX_REDIRECTS {
        let exchanged = timeout(REQUEST_TIMEOUT, exchange(next, request)).await;
        let response = exchanged.map_err(|_| eyre!("{next}: no response within {REQUEST_TIMEOUT:?}"))??;
        match &response.location {
            Some(location) if response.status == StatusCode::TEMPORARY_REDIRECT => {
                next = parse_redirect_target(location)
                    .wrap_err_with(|| format!("following the redirect from {next}"))?;
            }
            _ => return Ok(response),
        }
    }
    bail!("{address}: more than {MAX_REDIRECTS} redirects")
}

/// Parses the address in the value of the header `Location`.
fn parse_redirect_target(location: &str) -> Result<SocketAddr> {
    let uri: Uri = location.parse().wrap_err_with(|| format!("invalid Location {location}"))?;
    let authority = uri.authority().ok_or_else(|| eyre!("Location {location} has no address"))?;
    authority.as_str().parse().wrap_err_with(|| format!("invalid address in Location {location}"))
}

/// Sends a request on a new connection and reads the whole response.
async fn exchange(address: SocketAddr, request: &ApiRequest) -> Result<ApiResponse> {
    let stream = TcpStream::connect(address)
        .await
        .wrap_err_with(|| format!("connecting to the control node at {address}"))?;
    let (mut sender, connection) =
        handshake(TokioIo::new(stream)).await.wrap_err_with(|| format!("HTTP handshake with {address}"))?;
    let driver = tokio::task::spawn_local(connection);
    let response = send_on_connection(&mut sender, address, request).await;
    driver.abort();
    response.wrap_err_with(|| format!("sending {} {} to {address}", request.method, request.path))
}

async fn send_on_connection(
    sender: &mut SendRequest<Full<Bytes>>, address: SocketAddr, request: &ApiRequest,
) -> Result<ApiResponse> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json");
    if let Some(generation) = request.if_match {
        builder = builder.header(IF_MATCH, generation);
    }
    let response = sender.send_request(builder.body(Full::new(request.body.clone()))?).await?;
    let (head, body) = response.into_parts();
    let location = head.headers.get(LOCATION).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|error| eyre!("{error}"))?;
    Ok(ApiResponse { status: head.status, body: body.to_bytes(), location })
}
