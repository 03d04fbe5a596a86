//! Load orders that cannot be sent before the lease of the primary ends.

use pebblepost_control::node::Input;
use pebblepost_control::runtime::{
    Event,
    transcriber_tasks::{TranscriberCalls, send_order},
};
use pebblepost_rollout::{LoadMode, LoadOrder, OrderOutcome};
use pebblepost_transcriber::{Client, ClientLimits};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

fn limits() -> ClientLimits {
    ClientLimits {
        connect_timeout: Duration::from_secs(1),
        max_connections_per_transcriber: 2,
        idle_timeout: Duration::from_secs(1),
        max_body_bytes: 1024,
    }
}

#[test]
fn order_is_not_sent_after_its_deadline() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address").to_string();
        let order = LoadOrder {
            instance: "i-1".into(),
            address,
            model: "m".into(),
            generation: 2,
            mode: LoadMode::Wait,
        };
        let (events, mut received) = mpsc::channel(1);
        let lease_end = Instant::now().checked_sub(Duration::from_millis(1)).expect("an instant in the past");
        let permits = Rc::new(Semaphore::new(1));
        let calls = TranscriberCalls { client: Client::new(limits()), permits, events };
        send_order(calls, order, b"{}".to_vec(), lease_end).await;
        match received.recv().await {
            Some(Event::Input(Input::OrderAnswered { answer, .. })) => {
                assert_eq!(answer, OrderOutcome::Rejected);
            }
            _ => panic!("expected an OrderAnswered input"),
        }
        let connected = poll_fn(|context| Poll::Ready(listener.poll_accept(context).is_ready())).await;
        assert!(!connected, "the transcriber was called after the deadline of the order");
    });
}
