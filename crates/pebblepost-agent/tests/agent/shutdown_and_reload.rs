//! Shutdown on SIGTERM, and reload of the settings on SIGHUP and without a control link.

use crate::harness::{Harness, full_configuration, listener};
use pebblepost_agent::Signal;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

#[tokio::test]
async fn shuts_down_at_once_without_a_proxy() {
    let exchange = async {
        let mut harness = Harness::start(Vec::new(), Vec::new);
        harness.signals.send(Signal::Terminate).await.unwrap();
        (&mut harness.agent).await.unwrap();
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn shuts_down_a_second_before_the_grace_period_ends_if_the_proxy_stays() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut harness = Harness::start(vec![address], Vec::new);
        let control = harness.control(&mut control_listener).await;
        let mut proxy = harness.proxy("proxy").await;
        control.feed(&mut harness, 1, vec![full_configuration(5)]);
        proxy.expect(&mut harness).await;
        tokio::time::pause();
        let start = Instant::now();
        harness.signals.send(Signal::Terminate).await.unwrap();
        (&mut harness.agent).await.unwrap();
        let elapsed = start.elapsed();
        assert!((7000..7010).contains(&elapsed.as_millis()), "{elapsed:?}");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn reload_adds_control_addresses_without_ending_the_agent() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut harness = Harness::start(Vec::new(), move || vec![address]);
        harness.signals.send(Signal::Reload).await.unwrap();
        harness.control(&mut control_listener).await;
        assert!(!harness.agent.is_finished());
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn settings_are_reloaded_while_there_is_no_link_to_the_control_plane() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        tokio::time::pause();
        let start = Instant::now();
        let mut harness = Harness::start(Vec::new(), move || vec![address]);
        harness.control(&mut control_listener).await;
        assert!(start.elapsed() >= Duration::from_secs(2));
    };
    LocalSet::new().run_until(exchange).await;
}
