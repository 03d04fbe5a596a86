//! Tests of the load table.

use pebblepost_batch_runner::load_table::{
    LoadTable, REPORT_LAG, REPORT_MAX_AGE, SERVICE_WITHOUT_REPORTS_TTL, VERSIONS_MAX_AGE,
};
use pebblepost_transcriber::Load;
use std::time::Duration;
use tokio::time::Instant;

fn load(running: u32) -> Load {
    Load { running, models: vec![("m".to_owned(), 4)], ..Load::default() }
}

#[test]
fn adds_own_requests_that_a_lagging_report_does_not_show() {
    let start = Instant::now();
    let mut loads = LoadTable::default();
    loads.start_request("i", start);
    loads.start_request("i", start + REPORT_LAG);
    let now = start + REPORT_LAG + Duration::from_millis(10);
    loads.record_report("i", &load(5), now);
    // The report shows the state at a time when one own request was in flight.
    assert_eq!(loads.outstanding_requests("i"), 4 + 2);
    loads.end_request("i", start, now);
    assert_eq!(loads.outstanding_requests("i"), 4 + 1);
    loads.record_answer("i", &load(3), now);
    assert_eq!(loads.outstanding_requests("i"), 2 + 1);
    assert_eq!(loads.version("i", "m"), Some(4));
}

#[test]
fn reuses_a_report_until_it_is_stale() {
    let now = Instant::now();
    let mut loads = LoadTable::default();
    assert!(!loads.is_fresh("i", false, now));
    loads.record_report("i", &load(5), now);
    assert!(loads.is_fresh("i", true, now));
    assert!(!loads.is_fresh("i", true, now + REPORT_MAX_AGE));
    let later = now + VERSIONS_MAX_AGE;
    loads.record_answer("i", &load(5), later);
    assert!(loads.is_fresh("i", false, later));
    assert!(!loads.is_fresh("i", true, later), "its version may have changed");
    loads.invalidate_report("i");
    assert!(!loads.is_fresh("i", false, later));
}

#[test]
fn probes_a_service_without_reports_again_after_the_ttl() {
    let now = Instant::now();
    let mut loads = LoadTable::default();
    assert!(!loads.is_service_without_reports("scorers", now));
    loads.record_service_without_reports("scorers", now);
    assert!(loads.is_service_without_reports("scorers", now));
    assert!(!loads.is_service_without_reports("models", now));
    assert!(!loads.is_service_without_reports("scorers", now + SERVICE_WITHOUT_REPORTS_TTL));
}
