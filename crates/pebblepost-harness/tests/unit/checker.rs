//! Tests of the rules on event logs.

use pebblepost_harness::checker::availability::longest_drain_delay_s;
use pebblepost_harness::checker::exits::{DispatcherExit, remove_excused_events};
use pebblepost_harness::checker::limits::Limits;
use pebblepost_harness::checker::rules::{Rule, check, result_body};
use pebblepost_harness::checker::slow_start::cold_load_multiples;
use pebblepost_harness::event_log::{AttemptEnd, Availability, Entry, Event};
use pebblepost_harness::worker::model::{ColdLoad, SentWork};

fn requested(txn: &str, key: &str) -> Event {
    Event::Requested { txn: txn.into(), key: key.into(), dispatcher: 0, timeout_s: 6.0 }
}

fn arrived(txn: &str, key: &str, worker: usize) -> Event {
    Event::AttemptArrived { txn: txn.into(), key: key.into(), dispatcher: 0, worker }
}

fn attempt_ended(txn: &str, end: AttemptEnd) -> Event {
    Event::AttemptEnded { txn: txn.into(), worker: 1, end }
}

fn responded(txn: &str, status: u16, body: &str) -> Event {
    Event::Responded { txn: txn.into(), status, body: body.into() }
}

fn rules(log: &[Entry]) -> Vec<Rule> {
    check(log, &Limits::default()).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_correct_run_has_no_violations() {
    let body = result_body("t1");
    let log = [
        (0.0, requested("t1", "k")),
        (0.1, arrived("t1", "k", 1)),
        (0.2, attempt_ended("t1", AttemptEnd::NotRun)),
        (0.3, arrived("t1", "k", 1)),
        (0.9, attempt_ended("t1", AttemptEnd::Done)),
        (0.9, responded("t1", 200, &body)),
    ];
    assert_eq!(rules(&log), []);
}

#[test]
fn each_broken_rule_is_reported() {
    let start = (0.0, requested("t", "k"));
    let body = result_body("t");
    let notified = |at, availability| (at, Event::Notified { dispatcher: 0, worker: 1, availability });
    let cold = Availability::Ready { cold: true };
    let overloaded = |since| Event::Overloaded { worker: 1, since, sent: vec![(0, 2.0), (1, 1.0)] };
    let cases: Vec<(Rule, Vec<Entry>)> = vec![
        (Rule::OneAnswer, vec![(7.0, responded("t", 503, ""))]),
        (Rule::OneAnswer, vec![(1.0, responded("t", 503, "")), (2.0, responded("t", 503, ""))]),
        (Rule::OneAnswer, vec![(1.0, Event::ConnectionClosed { txn: "t".into() })]),
        (Rule::OneAnswer, vec![(6.1, Event::TimedOut { txn: "t".into() })]),
        (Rule::Genuine, vec![(1.0, responded("t", 200, &body))]),
        (
            Rule::Genuine,
            vec![
                (0.1, arrived("t", "k", 1)),
                (0.2, attempt_ended("t", AttemptEnd::Done)),
                (0.3, responded("t", 200, "x")),
            ],
        ),
        (Rule::Genuine, vec![(1.0, Event::UnknownRequest { txn: "u".into() })]),
        (Rule::Attempts, (1..=4).map(|n| (f64::from(n), arrived("t", "k", 1))).collect()),
        (Rule::RunsOnce, vec![(0.1, arrived("t", "k", 1)), (10.2, arrived("t", "k", 2))]),
        (
            Rule::Drains,
            vec![
                notified(0.0, Availability::Draining),
                notified(0.4, Availability::Gone),
                (0.56, arrived("t", "k", 1)),
            ],
        ),
        (
            Rule::Drains,
            vec![
                (0.0, Event::Published { worker: 1, availability: Availability::Draining }),
                (6.6, arrived("t", "k", 1)),
            ],
        ),
        (Rule::Cold, vec![notified(0.2, cold), (1.0, overloaded(0.1))]),
        (Rule::Cold, vec![(6.2, overloaded(0.1))]),
        (Rule::Departed, vec![(1.0, responded("t", 503, "")), (1.1, arrived("t", "k", 1))]),
        (
            Rule::Departed,
            vec![(1.0, Event::ClientCancelled { txn: "t".into() }), (1.1, arrived("t", "k", 1))],
        ),
    ];
    for (rule, rest) in cases {
        let log: Vec<Entry> = std::iter::once(start.clone()).chain(rest).collect();
        assert_eq!(rules(&log), [rule], "{log:?}");
    }
}

#[test]
fn attempts_are_allowed_to_a_worker_that_is_ready_again() {
    let notified = |availability| Event::Notified { dispatcher: 0, worker: 1, availability };
    let ready = Availability::Ready { cold: false };
    let log = [(0.0, notified(Availability::Draining)), (5.0, notified(ready)), (6.0, arrived("t", "k", 1))];
    assert_eq!(rules(&log), []);
}

#[test]
fn attempts_to_a_drained_worker_are_timed_from_the_first_notification() {
    let notified = |availability| Event::Notified { dispatcher: 0, worker: 1, availability };
    let log = [
        (0.0, notified(Availability::Draining)),
        (0.2, notified(Availability::Gone)),
        (0.3, arrived("t", "k", 1)),
        (0.4, arrived("u", "l", 2)),
        (0.5, notified(Availability::Ready { cold: true })),
        (5.0, arrived("v", "m", 1)),
    ];
    assert_eq!(longest_drain_delay_s(&log, &Limits::default()), 0.3);
}

#[test]
fn only_requests_that_a_killed_dispatcher_had_accepted_are_excused() {
    let log = vec![
        (0.0, requested("before", "k")),
        (7.0, requested("early", "n")),
        (7.1, Event::ConnectionClosed { txn: "early".into() }),
        (7.5, requested("lost", "l")),
        (8.0, Event::ConnectionClosed { txn: "lost".into() }),
        (8.5, requested("unreachable", "o")),
        (8.5, Event::ConnectionClosed { txn: "unreachable".into() }),
        (9.5, requested("after", "m")),
        (9.6, Event::ConnectionClosed { txn: "after".into() }),
        (9.7, Event::ConnectionClosed { txn: "before".into() }),
    ];
    let killed = DispatcherExit { dispatcher: 0, ended_at_s: 8.0, serving_again_at_s: 9.0, abrupt: true };
    let violations_with = |exit| {
        let violations = check(&remove_excused_events(log.clone(), &[exit]), &Limits::default());
        violations
            .iter()
            .filter_map(|violation| Some(violation.what.split(':').next()?.to_owned()))
            .collect::<Vec<_>>()
    };
    assert_eq!(violations_with(killed), ["early", "after", "before"]);
    // A dispatcher that exits on its own has to answer the requests that it had accepted.
    assert_eq!(
        violations_with(DispatcherExit { abrupt: false, ..killed }),
        ["early", "lost", "after", "before"]
    );
}

#[test]
fn only_load_sent_after_the_notification_of_a_start_counts_against_dispatchers() {
    let notified = |at| {
        (at, Event::Notified { dispatcher: 0, worker: 1, availability: Availability::Ready { cold: true } })
    };
    let load = |since, sent: &[(f64, f64, usize)]| {
        let sent = sent.iter().map(|&(at, work, dispatcher)| SentWork { at, work, dispatcher }).collect();
        ColdLoad { since, capacity_in_window: 1.0, sent }
    };
    let cold_load_peak = |at, load| (at, Event::ColdLoadPeak { worker: 1, load });
    // Work sent before the notification, after it, and by a dispatcher that was not notified.
    let log = [
        notified(1.0),
        (1.1, Event::Notified { dispatcher: 1, worker: 2, availability: Availability::Ready { cold: true } }),
        cold_load_peak(2.0, load(0.5, &[(0.9, 4.0, 0), (1.5, 2.0, 0), (1.5, 1.0, 1)])),
    ];
    assert_eq!(cold_load_multiples(&log, &Limits::default()), (2.0, 7.0));
    // A notification of an earlier start does not count. After `assumed_notified_after_s` every dispatcher counts as notified.
    let log = [notified(1.0), cold_load_peak(9.0, load(2.0, &[(7.0, 4.0, 0), (8.5, 0.5, 1)]))];
    assert_eq!(cold_load_multiples(&log, &Limits::default()), (0.5, 4.5));
}

#[test]
fn no_dispatcher_is_at_fault_for_a_start_that_it_was_not_notified_of() {
    let notified =
        Event::Notified { dispatcher: 0, worker: 1, availability: Availability::Ready { cold: true } };
    let overloaded = Event::Overloaded { worker: 1, since: 0.1, sent: vec![(0, 1.0), (1, 1.0)] };
    assert_eq!(
        rules(&[(0.2, notified), (1.0, overloaded)]),
        [],
        "only half of the work came from a notified dispatcher"
    );
}
