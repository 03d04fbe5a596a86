//! Real processes of the binary on loopback addresses, and stand-ins for everyone around them.

pub mod client;
pub mod cluster;
pub mod operator;
pub mod relay;
pub mod settings;
pub mod trainer;
pub mod transcriber;
pub mod transcriber_state;

use std::future::Future;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// Pause between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Runs a test's future on a current-thread runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Waits until a condition holds; fails the test after `most`.
pub async fn wait_for(what: &str, most: Duration, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + most;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}: not within {most:?}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
