//! Tasks that call transcribers: load orders and load reports.

use super::event::{Event, EventSender};
use crate::node::Input;
use bytes::Bytes;
use pebblepost_rollout::{LoadOrder, OrderOutcome, TranscriberReport};
use pebblepost_transcriber::{Client, ClientError, Target};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

/// Time limit for the whole exchange of a load order or a load report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Resources shared by calls to transcribers. The number of permits limits the concurrent calls, because each needs a
/// file descriptor.
#[derive(Clone, Debug)]
pub struct TranscriberCalls {
    /// HTTP client of the calls.
    pub client: Client,
    /// Permits for concurrent calls.
    pub permits: Rc<Semaphore>,
    /// Sender of the results to the event loop.
    pub events: EventSender,
}

impl TranscriberCalls {
    /// Waits until another call may start. Never returns `None`, because the semaphore is never closed.
    async fn permit(&self) -> Option<SemaphorePermit<'_>> {
        self.permits.acquire().await.ok()
    }
}

/// Sends a load order to a transcriber and reports its outcome to the event loop.
///
/// A load order that can't be written by `send_by`, the expiry of the lease, is not sent at all, because another node
/// may hold the lease after that.
pub async fn send_order(calls: TranscriberCalls, order: LoadOrder, body: Vec<u8>, send_by: Instant) {
    let _permit = calls.permit().await;
    let target = target(&order.instance, &order.address).filter(|_| Instant::now() < send_by);
    let answer = match target {
        Some(target) => {
            match calls.client.send_load_order(&target, Bytes::from(body), send_by, CALL_TIMEOUT).await {
                Ok(status) => order_answer(status.as_u16()),
                Err(ClientError::NotSent) => OrderOutcome::Rejected,
                Err(_) => OrderOutcome::Unknown,
            }
        }
        None => OrderOutcome::Rejected,
    };
    log::debug!("load order answered instance={} answer={answer:?}", order.instance);
    // The event loop may have ended.
    calls.events.send(Event::Input(Input::OrderAnswered { order, answer })).await.ok();
}

/// Fetches the load report of a transcriber and passes it to the event loop.
pub async fn fetch_load_report(calls: TranscriberCalls, instance: String, address: String) {
    let _permit = calls.permit().await;
    let report = match target(&instance, &address) {
        Some(target) => calls.client.request_load_report(&target, CALL_TIMEOUT).await.ok().flatten(),
        None => None,
    };
    let report = report.map(|load| TranscriberReport {
        is_loading: load.load_order_in_progress,
        models: load.models,
        running: load.running,
    });
    // The event loop may have ended.
    calls.events.send(Event::Input(Input::LoadReported { instance, report })).await.ok();
}

fn order_answer(status: u16) -> OrderOutcome {
    match status {
        200 => OrderOutcome::AlreadyLoaded,
        202 => OrderOutcome::Accepted,
        409 => OrderOutcome::Conflict,
        412 => OrderOutcome::Fenced,
        _ => OrderOutcome::Rejected,
    }
}

fn target(instance: &str, address: &str) -> Option<Target> {
    Some(Target { instance: instance.into(), address: address.parse().ok()? })
}
