//! Requests to one replica, and retries until something works.

use super::connection::Connection;
use anyhow::Result;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// A replica must answer within this.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Sends a message to one replica and returns its reply.
pub(super) async fn query(address: SocketAddr, message: &Value) -> Result<Value> {
    let work = async {
        let mut connection = Connection::open(address).await?;
        connection.send(message).await?;
        connection.receive().await
    };
    Ok(timeout(REPLY_TIMEOUT, work).await??)
}

/// Retries until it works or the time is over.
///
/// # Errors
///
/// The last one, once the time is over.
pub async fn retry_until<T>(limit: Duration, mut work: impl AsyncFnMut() -> Result<T>) -> Result<T> {
    let end = Instant::now() + limit;
    loop {
        match work().await {
            Ok(found) => return Ok(found),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}
