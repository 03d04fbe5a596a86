//! Tasks that call transcribers: load orders and load reports.

use super::event::{Event, EventSender};
use crate::node::Input;
use bytes::Bytes;
use pebblepost_rollout::{LoadOrder, OrderOutcome, TranscriberReport};
use pebblepost_transcriber::{Client, ClientError, Target};
use std::time::Duration;
use tokio::time::Instant;

/// Time for the whole exchange of a load order or of a load report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a load order to a transcriber and reports the answer.
///
/// An order that can't be written by `send_by`, when the lease ends, is not sent at all, as another process may hold the
/// lease by then.
pub async fn send_order(
    client: Client, order: LoadOrder, body: Vec<u8>, send_by: Instant, events: EventSender,
) {
    let target = target(&order.instance, &order.address).filter(|_| Instant::now() < send_by);
    let answer = match target {
        Some(target) => match client.order(&target, Bytes::from(body), send_by, CALL_TIMEOUT).await {
            Ok(status) => order_answer(status.as_u16()),
            Err(ClientError::NotSent) => OrderOutcome::Rejected,
            Err(_) => OrderOutcome::Unknown,
        },
        None => OrderOutcome::Rejected,
    };
    log::debug!("load order answered instance={} answer={answer:?}", order.instance);
    // The loop may have ended.
    events.send(Event::Input(Input::OrderAnswered { order, answer })).await.ok();
}

/// Fetches a transcriber's load report and reports it.
pub async fn fetch_load_report(client: Client, instance: String, address: String, events: EventSender) {
    let report = match target(&instance, &address) {
        Some(target) => client.load_report(&target, CALL_TIMEOUT).await.ok().flatten(),
        None => None,
    };
    let report = report.map(|load| TranscriberReport {
        is_loading: load.order_in_progress,
        models: load.models,
        running: load.running,
    });
    // The loop may have ended.
    events.send(Event::Input(Input::LoadReported { instance, report })).await.ok();
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
