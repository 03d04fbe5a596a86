//! Estimates of queue waits and of tenants' use of their quota usage.

use pebblepost_dispatch::api::Time;
use pebblepost_dispatch::estimators::{QueueWait, TenantUsage};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: f64) -> Time {
    Time(0) + SECOND.mul_f64(seconds)
}

#[test]
fn decays_an_observed_wait_but_not_below_the_wait_of_a_queued_job() {
    let mut waits = QueueWait::default();
    assert_eq!(waits.expected(at(1.0), Duration::ZERO), 0.0);
    waits.record_start(at(1.0), SECOND / 2);
    assert!((waits.expected(at(1.0), Duration::ZERO) - 0.5).abs() < 1e-9);
    assert!((0.1..0.3).contains(&waits.expected(at(2.0), Duration::ZERO)));
    assert_eq!(waits.expected(at(9.0), SECOND), 1.0);
}

#[test]
fn reports_tenant_usage_as_a_multiple_of_the_quota_share() {
    let mut usage = TenantUsage::new([0.25, 0.75].into_iter());
    assert_eq!((usage.relative_usage(0), usage.relative_usage(1)), (1.0, 1.0));
    (0..4000).for_each(|i| usage.record(i % 2));
    assert!((1.8..2.2).contains(&usage.relative_usage(0)) && (0.6..0.75).contains(&usage.relative_usage(1)));
    assert_eq!(
        (usage.relative_usage(7), TenantUsage::new(std::iter::empty()).relative_usage(0)),
        (1.0, 1.0),
        "usage without a quota share counts as 1"
    );
}
