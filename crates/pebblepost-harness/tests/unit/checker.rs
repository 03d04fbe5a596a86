//! The rules and what of a record breaks them.

use pebblepost_harness::checker::{
    Figures, Killed, Rule, check, cold_multiples, result_for, slowest_drain, without_killed,
};
use pebblepost_harness::machine::Press;
use pebblepost_harness::record::{End, Entry, Seen, Told};

fn asked(txn: &str, key: &str) -> Seen {
    Seen::Asked { txn: txn.into(), key: key.into(), dispatcher: 0, waits: 6.0 }
}

fn arrived(txn: &str, key: &str, worker: usize) -> Seen {
    Seen::Arrived { txn: txn.into(), key: key.into(), dispatcher: 0, worker }
}

fn ended(txn: &str, end: End) -> Seen {
    Seen::Ended { txn: txn.into(), worker: 1, end }
}

fn answered(txn: &str, status: u16, body: &str) -> Seen {
    Seen::Answered { txn: txn.into(), status, body: body.into() }
}

fn rules(record: &[Entry]) -> Vec<Rule> {
    check(record, &Figures::default()).into_iter().map(|b| b.rule).collect()
}

#[test]
fn a_sound_run_breaks_nothing() {
    let draft = result_for("t1");
    let record = [
        (0.0, asked("t1", "k")),
        (0.1, arrived("t1", "k", 1)),
        (0.2, ended("t1", End::Unseen)),
        (0.3, arrived("t1", "k", 1)),
        (0.9, ended("t1", End::Done)),
        (0.9, answered("t1", 200, &draft)),
    ];
    assert_eq!(rules(&record), []);
}

#[test]
fn each_rule_is_seen_to_be_broken() {
    let start = (0.0, asked("t", "k"));
    let draft = result_for("t");
    let told = |at, what| (at, Seen::Told { dispatcher: 0, worker: 1, what });
    let cold = Told::Ready { cold: true };
    let fell = |since| Seen::Fell { worker: 1, since, sent: vec![(0, 2.0), (1, 1.0)] };
    let cases: Vec<(Rule, Vec<Entry>)> = vec![
        (Rule::OneAnswer, vec![(7.0, answered("t", 503, ""))]),
        (Rule::OneAnswer, vec![(1.0, answered("t", 503, "")), (2.0, answered("t", 503, ""))]),
        (Rule::OneAnswer, vec![(1.0, Seen::Cut { txn: "t".into() })]),
        (Rule::OneAnswer, vec![(6.1, Seen::TimeUp { txn: "t".into() })]),
        (Rule::Genuine, vec![(1.0, answered("t", 200, &draft))]),
        (
            Rule::Genuine,
            vec![(0.1, arrived("t", "k", 1)), (0.2, ended("t", End::Done)), (0.3, answered("t", 200, "x"))],
        ),
        (Rule::Genuine, vec![(1.0, Seen::Stranger { txn: "u".into() })]),
        (Rule::Attempts, (1..=4).map(|n| (f64::from(n), arrived("t", "k", 1))).collect()),
        (Rule::RunsOnce, vec![(0.1, arrived("t", "k", 1)), (10.2, arrived("t", "k", 2))]),
        (Rule::Drains, vec![told(0.0, Told::Draining), told(0.4, Told::Gone), (0.56, arrived("t", "k", 1))]),
        (
            Rule::Drains,
            vec![(0.0, Seen::Published { worker: 1, what: Told::Draining }), (6.6, arrived("t", "k", 1))],
        ),
        (Rule::Cold, vec![told(0.2, cold), (1.0, fell(0.1))]),
        (Rule::Cold, vec![(6.2, fell(0.1))]),
        (Rule::Departed, vec![(1.0, answered("t", 503, "")), (1.1, arrived("t", "k", 1))]),
        (Rule::Departed, vec![(1.0, Seen::Left { txn: "t".into() }), (1.1, arrived("t", "k", 1))]),
    ];
    for (rule, rest) in cases {
        let record: Vec<Entry> = std::iter::once(start.clone()).chain(rest).collect();
        assert_eq!(rules(&record), [rule], "{record:?}");
    }
}

#[test]
fn a_worker_that_is_ready_again_may_be_sent_to() {
    let told = |what| Seen::Told { dispatcher: 0, worker: 1, what };
    let ready = Told::Ready { cold: false };
    let record = [(0.0, told(Told::Draining)), (5.0, told(ready)), (6.0, arrived("t", "k", 1))];
    assert_eq!(rules(&record), []);
}

#[test]
fn what_went_on_to_a_drained_worker_is_timed_from_the_first_word_of_it() {
    let told = |what| Seen::Told { dispatcher: 0, worker: 1, what };
    let record = [
        (0.0, told(Told::Draining)),
        (0.2, told(Told::Gone)),
        (0.3, arrived("t", "k", 1)),
        (0.4, arrived("u", "l", 2)),
        (0.5, told(Told::Ready { cold: true })),
        (5.0, arrived("v", "m", 1)),
    ];
    assert_eq!(slowest_drain(&record, &Figures::default()), 0.3);
}

#[test]
fn only_what_a_killed_dispatcher_took_with_it_is_excused() {
    let record = vec![
        (0.0, asked("before", "k")),
        (7.0, asked("early", "n")),
        (7.1, Seen::Cut { txn: "early".into() }),
        (7.5, asked("lost", "l")),
        (8.0, Seen::Cut { txn: "lost".into() }),
        (8.5, asked("no door", "o")),
        (8.5, Seen::Cut { txn: "no door".into() }),
        (9.5, asked("after", "m")),
        (9.6, Seen::Cut { txn: "after".into() }),
        (9.7, Seen::Cut { txn: "before".into() }),
    ];
    let killed = Killed { dispatcher: 0, from: 8.0, back: 9.0, abrupt: true };
    let left = |killed| {
        let left = check(&without_killed(record.clone(), &[killed]), &Figures::default());
        left.iter().filter_map(|b| Some(b.what.split(':').next()?.to_owned())).collect::<Vec<_>>()
    };
    assert_eq!(left(killed), ["early", "after", "before"]);
    // One that ended itself has to answer what it had taken.
    assert_eq!(left(Killed { abrupt: false, ..killed }), ["early", "lost", "after", "before"]);
}

#[test]
fn only_what_was_sent_in_knowledge_of_the_start_counts_against_the_dispatchers() {
    let told = |at| (at, Seen::Told { dispatcher: 0, worker: 1, what: Told::Ready { cold: true } });
    let press = |since, sent: &[(f64, f64, usize)]| Press { since, bears: 1.0, sent: sent.to_vec() };
    let pressed = |at, press| (at, Seen::Pressed { worker: 1, press });
    // Sent before the word, after it, and by one that never got it.
    let record = [
        told(1.0),
        (1.1, Seen::Told { dispatcher: 1, worker: 2, what: Told::Ready { cold: true } }),
        pressed(2.0, press(0.5, &[(0.9, 4.0, 0), (1.5, 2.0, 0), (1.5, 1.0, 1)])),
    ];
    assert_eq!(cold_multiples(&record, &Figures::default()), (2.0, 7.0));
    // A word of an earlier start is none of this one; after so long everybody counts as told.
    let record = [told(1.0), pressed(9.0, press(2.0, &[(7.0, 4.0, 0), (8.5, 0.5, 1)]))];
    assert_eq!(cold_multiples(&record, &Figures::default()), (0.5, 4.5));
}

#[test]
fn nobody_is_blamed_for_a_start_that_was_not_told() {
    let told = Seen::Told { dispatcher: 0, worker: 1, what: Told::Ready { cold: true } };
    let fell = Seen::Fell { worker: 1, since: 0.1, sent: vec![(0, 1.0), (1, 1.0)] };
    assert_eq!(rules(&[(0.2, told), (1.0, fell)]), [], "half of it came from one that knew");
}
