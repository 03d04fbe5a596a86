//! Calls to the control plane over HTTP: follows redirects, and moves on after failures.

use super::error::refused;
use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use http::header::{CONTENT_TYPE, HOST, IF_MATCH, LOCATION};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long a command tries.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a round in which nobody answered.
const PAUSE: Duration = Duration::from_millis(200);
const MOST_REDIRECTS: usize = 3;
const MOST_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// The header `If-Match`.
    pub if_match: Option<u64>,
    /// Body, JSON.
    pub body: Bytes,
}

impl Call {
    /// A call that only reads.
    pub fn get(path: &str) -> Call {
        Call { method: Method::GET, path: path.to_owned(), if_match: None, body: Bytes::new() }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    location: Option<String>,
}

impl Answer {
    /// The answer if it is a 2xx; otherwise an error with the exit code for it.
    pub fn accepted(self, what: &str) -> Result<Answer> {
        if self.status.is_success() {
            return Ok(self);
        }
        let reason = String::from_utf8_lossy(&self.body).into_owned();
        if self.status.is_client_error() {
            return Err(refused(format!("{what}: refused with {}: {reason}", self.status)));
        }
        bail!("{what}: answered {}: {reason}", self.status)
    }
}

/// Sends a call to the first address that gives a clear answer; the same call may be sent again.
pub async fn send(addresses: &[SocketAddr], call: &Call) -> Result<Answer> {
    let deadline = Instant::now() + PATIENCE;
    let mut last_failure = eyre!("no address to call");
    while Instant::now() < deadline {
        for address in addresses {
            match send_to(*address, call).await {
                Ok(answer) if is_clear(answer.status) => return Ok(answer),
                Ok(answer) => last_failure = eyre!("{address} answered {}", answer.status),
                Err(error) => last_failure = error,
            }
        }
        sleep(PAUSE).await;
    }
    Err(last_failure.wrap_err(format!("{} {}: no clear answer in {PATIENCE:?}", call.method, call.path)))
}

/// Whether an answer says what became of the call.
fn is_clear(status: StatusCode) -> bool {
    let again = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    !status.is_server_error() && !status.is_redirection() && !again.contains(&status)
}

/// Sends a call to one address, and on to where it is redirected.
async fn send_to(address: SocketAddr, call: &Call) -> Result<Answer> {
    let mut next = address;
    for _ in 0..=MOST_REDIRECTS {
        let exchanged = timeout(CALL_TIMEOUT, exchange(next, call)).await;
        let answer = exchanged.map_err(|_| eyre!("{next} did not answer in {CALL_TIMEOUT:?}"))??;
        match &answer.location {
            Some(location) if answer.status == StatusCode::TEMPORARY_REDIRECT => {
                next = redirect_target(location).wrap_err_with(|| format!("redirect from {next}"))?;
            }
            _ => return Ok(answer),
        }
    }
    bail!("{address} led to more than {MOST_REDIRECTS} redirects")
}

fn redirect_target(location: &str) -> Result<SocketAddr> {
    let uri: Uri = location.parse().wrap_err_with(|| format!("reading Location {location}"))?;
    let authority = uri.authority().ok_or_else(|| eyre!("Location {location} names no address"))?;
    authority.as_str().parse().wrap_err_with(|| format!("reading the address in Location {location}"))
}

async fn exchange(address: SocketAddr, call: &Call) -> Result<Answer> {
    let stream = TcpStream::connect(address)
        .await
        .wrap_err_with(|| format!("connecting to the control at {address}"))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .wrap_err_with(|| format!("starting HTTP with {address}"))?;
    let driver = tokio::task::spawn_local(connection);
    let answer = request(&mut sender, address, call).await;
    driver.abort();
    answer.wrap_err_with(|| format!("calling {} {} at {address}", call.method, call.path))
}

async fn request(
    sender: &mut hyper::client::conn::http1::SendRequest<Full<Bytes>>, address: SocketAddr, call: &Call,
) -> Result<Answer> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json");
    if let Some(version) = call.if_match {
        request = request.header(IF_MATCH, version);
    }
    let response = sender.send_request(request.body(Full::new(call.body.clone()))?).await?;
    let (head, body) = response.into_parts();
    let location = head.headers.get(LOCATION).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = Limited::new(body, MOST_BODY_BYTES).collect().await.map_err(|error| eyre!("{error}"))?;
    Ok(Answer { status: head.status, body: body.to_bytes(), location })
}
