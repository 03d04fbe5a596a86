//! The agent's signals and ends.

use crate::scene::{Scene, listener, whole};
use pebblepost_agent::Signal;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

#[tokio::test]
async fn without_a_proxy_the_end_comes_at_once() {
    let exchange = async {
        let mut scene = Scene::start(Vec::new(), Vec::new);
        scene.signals.send(Signal::Terminate).await.unwrap();
        (&mut scene.agent).await.unwrap();
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_proxy_that_stays_is_left_a_second_before_the_grace_is_over() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut scene = Scene::start(vec![address], Vec::new);
        let control = scene.control(&mut control_listener).await;
        let mut proxy = scene.proxy("proxy").await;
        control.feed(&mut scene, 1, vec![whole(5)]);
        proxy.expect(&mut scene).await;
        tokio::time::pause();
        let start = Instant::now();
        scene.signals.send(Signal::Terminate).await.unwrap();
        (&mut scene.agent).await.unwrap();
        let elapsed = start.elapsed();
        assert!((7000..7010).contains(&elapsed.as_millis()), "{elapsed:?}");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_reload_ends_nothing_and_brings_new_seeds() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut scene = Scene::start(Vec::new(), move || vec![address]);
        scene.signals.send(Signal::Reload).await.unwrap();
        scene.control(&mut control_listener).await;
        assert!(!scene.agent.is_finished());
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn settings_that_changed_without_a_signal_are_found_while_control_is_away() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        tokio::time::pause();
        let start = Instant::now();
        let mut scene = Scene::start(Vec::new(), move || vec![address]);
        scene.control(&mut control_listener).await;
        assert!(start.elapsed() >= Duration::from_secs(2));
    };
    LocalSet::new().run_until(exchange).await;
}
