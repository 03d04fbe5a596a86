//! Tests of the counts of concurrent outages and of outages that begin during halts.

use pebblepost_harness::release::outages::{
    Halt, last_outage_delays_s, max_concurrent_outages, voluntary_outages,
};
use pebblepost_harness::supervisor::{Outage, OutageCause};

fn outage(dispatcher: usize, from: f64, to: f64, cause: OutageCause) -> Outage {
    Outage { dispatcher, from, to, cause }
}

#[test]
fn counts_concurrent_outages_and_not_consecutive_ones() {
    let all = [
        outage(0, 1.0, 2.0, OutageCause::Voluntary),
        outage(1, 2.0, 4.0, OutageCause::Voluntary),
        outage(2, 3.0, 3.5, OutageCause::Voluntary),
        outage(3, 3.0, 9.0, OutageCause::Injected),
    ];
    let permitted = voluntary_outages(&all);
    assert_eq!(max_concurrent_outages(&permitted, 1), (2, 0.5));
    assert_eq!(max_concurrent_outages(&permitted, 2), (2, 0.0));
    assert_eq!(max_concurrent_outages(&all.iter().collect::<Vec<_>>(), 2).0, 3);
}

#[test]
fn only_outages_that_begin_during_a_halt_are_late() {
    let all = [
        outage(0, 1.0, 2.0, OutageCause::Voluntary),
        outage(1, 2.25, 4.0, OutageCause::Voluntary),
        outage(2, 6.0, 7.0, OutageCause::Voluntary),
    ];
    let halt = |acknowledged_at, resumed_at| Halt { acknowledged_at, resumed_at };
    assert_eq!(
        last_outage_delays_s(&voluntary_outages(&all), &[halt(2.0, 5.0), halt(7.0, 8.0)]),
        [0.25, 0.0]
    );
}
