//! Processes of the binary on loopback addresses, and fakes of the trainer, the operator and the
//! transcribers.

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

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Runs a test's future on a current-thread runtime with a `LocalSet`.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Waits until a condition holds, and fails the test after `timeout`.
pub async fn wait_for(condition: &str, timeout: Duration, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds() {
        assert!(Instant::now() < deadline, "{condition}: not within {timeout:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
