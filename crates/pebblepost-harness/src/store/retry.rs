//! Requests to a single replica, and retries of an operation until it succeeds.

use super::connection::Connection;
use anyhow::Result;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Time limit for a replica to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Sends a message to one replica over a new connection and returns its reply.
pub(super) async fn query(address: SocketAddr, message: &Value) -> Result<Value> {
    let operation = async {
        let mut connection = Connection::open(address).await?;
        connection.send(message).await?;
        connection.receive().await
    };
    Ok(timeout(REPLY_TIMEOUT, operation).await??)
}

/// Retries an operation until it succeeds or `limit` has passed. The limit does not interrupt an attempt in progress.
///
/// # Errors
///
/// Returns the error of the last attempt if it fails after `limit`.
pub async fn retry_until<T>(limit: Duration, mut operation: impl AsyncFnMut() -> Result<T>) -> Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        match operation().await {
            Ok(found) => return Ok(found),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => sleep(RETRY_BACKOFF).await,
        }
    }
}
