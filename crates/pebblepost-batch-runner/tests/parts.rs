//! The parts that need no connections: texts, placement, load, leases, JSON.

use pebblepost_batch_runner::execution::priority::priority;
use pebblepost_batch_runner::item_progress::ItemProgress;
use pebblepost_batch_runner::job::request::parse;
use pebblepost_batch_runner::job::result_page::{MAX_PAGE_BYTES, to_json};
use pebblepost_batch_runner::lease_table::{ABANDON_AFTER, LEASE_DURATION, LeaseStatus, LeaseTable};
use pebblepost_batch_runner::load_table::{
    LoadTable, REPORT_LAG, REPORT_REUSE, UNREPORTED_SERVICE_REUSE, VERSIONS_REUSE,
};
use pebblepost_batch_runner::placement::choice::{Choice, ProbedLoad, QueueLimit, choose};
use pebblepost_batch_runner::placement::subset::{self, SubsetSize, rendezvous_hash};
use pebblepost_batch_runner::random::Random;
use pebblepost_batch_runner::text::{Text, TextError, VersionRequirement};
use pebblepost_messages::batch::{
    ActiveLease, Item, ItemResult, JobTerms, LeasedItem, PartialText, ResultPage, ResultState, WorkLease,
};
use pebblepost_transcriber::{Load, StreamEvent};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const ANY: VersionRequirement = VersionRequirement { min_version: 3, single_version: false };
const SINGLE: VersionRequirement = VersionRequirement { min_version: 3, single_version: true };

fn event(id: u64, data: &str, weight_version: Option<u64>) -> StreamEvent {
    StreamEvent { id, data: data.as_bytes().to_vec(), weight_version, ..StreamEvent::default() }
}

fn partial(last_event: u64, message: &str, versions: &[u64]) -> PartialText {
    PartialText { last_event, message: message.as_bytes().to_vec(), versions: versions.to_vec() }
}

#[test]
fn a_text_joins_events_and_names_versions_once() {
    let mut text = Text::default();
    text.start_attempt(Some(3));
    text.append(&event(1, "", None), ANY).unwrap();
    text.append(&event(2, "b", Some(4)), ANY).unwrap();
    text.append(&event(3, "c", None), ANY).unwrap();
    assert_eq!(text.partial(), partial(3, "\nb\nc", &[3, 4]));
    assert_eq!(text.partial_before_last_event(), partial(2, "\nb", &[3, 4]));
    text.start_attempt(Some(4));
    text.append(&event(4, "d", None), ANY).unwrap();
    assert_eq!(text.partial(), partial(4, "\nb\nc\nd", &[3, 4]));
}

#[test]
fn a_version_is_named_only_if_it_made_an_event() {
    let mut text = Text::default();
    text.start_attempt(Some(3));
    text.append(&event(1, "a", Some(5)), SINGLE).unwrap();
    assert_eq!(text.partial().versions, [5]);
}

#[rstest]
#[case::gap(event(3, "x", None), TextError::UnexpectedEventId)]
#[case::repeat(event(1, "x", None), TextError::UnexpectedEventId)]
#[case::too_old(event(2, "x", Some(2)), TextError::VersionTooOld)]
#[case::mixed(event(2, "x", Some(4)), TextError::MixedVersions)]
fn an_event_that_does_not_fit_changes_nothing(#[case] wrong: StreamEvent, #[case] error: TextError) {
    let mut text = Text::default();
    text.start_attempt(Some(3));
    text.append(&event(1, "a", None), SINGLE).unwrap();
    let before = text.clone();
    assert_eq!(text.append(&wrong, SINGLE), Err(error));
    assert_eq!(text, before);
}

#[rstest]
#[case::fits(partial(2, "a\nb", &[3]), SINGLE, 2)]
#[case::too_old(partial(2, "a\nb", &[2, 3]), ANY, 0)]
#[case::mixed(partial(2, "a\nb", &[3, 4]), SINGLE, 0)]
#[case::two_allowed(partial(2, "a\nb", &[3, 4]), ANY, 2)]
fn a_kept_text_is_used_if_its_versions_fit(
    #[case] kept: PartialText, #[case] terms: VersionRequirement, #[case] last: u64,
) {
    assert_eq!(Text::from_partial(kept, terms).last_event(), last);
}

#[test]
fn a_single_version_text_goes_on_under_its_version_only() {
    let text = Text::from_partial(partial(1, "a", &[3]), SINGLE);
    assert!(text.can_resume_under(Some(3), SINGLE));
    assert!(!text.can_resume_under(Some(4), SINGLE));
    assert!(text.can_resume_under(Some(4), ANY));
}

#[rstest]
#[case::below_threshold(6, 2, true)]
#[case::at_threshold(7, 1, false)]
#[case::no_room_for_all(6, 3, false)]
fn one_probe_is_enough_below_the_threshold(#[case] busy: u32, #[case] items: u32, #[case] accepts: bool) {
    assert_eq!(ProbedLoad { slots: 8, busy }.accepts(items), accepts);
}

#[rstest]
#[case::fewest_busy(&[7, 5], 2, QueueLimit::FreeSlotsOnly, Some((1, 2)))]
#[case::split(&[7, 6], 4, QueueLimit::FreeSlotsOnly, Some((1, 2)))]
#[case::full(&[8, 9], 1, QueueLimit::FreeSlotsOnly, None)]
#[case::queue(&[9, 8], 4, QueueLimit::PercentOfSlots(25), Some((1, 2)))]
#[case::queue_full(&[10, 12], 1, QueueLimit::PercentOfSlots(25), None)]
#[case::none_probed(&[], 1, QueueLimit::FreeSlotsOnly, None)]
fn the_fewest_busy_takes_what_it_has_room_for(
    #[case] busy: &[u32], #[case] items: u32, #[case] queueing: QueueLimit,
    #[case] expected: Option<(usize, u32)>,
) {
    let probed: Vec<ProbedLoad> = busy.iter().map(|busy| ProbedLoad { slots: 8, busy: *busy }).collect();
    let choice = choose(&probed, items, queueing, &Random::seeded(7));
    assert_eq!(choice, expected.map(|(index, items)| Choice { index, items }));
}

#[test]
fn ties_are_broken_at_random() {
    let probed = [ProbedLoad { slots: 8, busy: 7 }; 2];
    let random = Random::seeded(7);
    let mut chosen = [0; 2];
    for _ in 0..100 {
        let choice = choose(&probed, 1, QueueLimit::FreeSlotsOnly, &random).unwrap();
        chosen[choice.index] += 1;
    }
    assert!(chosen.iter().all(|count| *count > 25), "{chosen:?}");
}

fn load(running: u32) -> Load {
    Load { running, models: vec![("m".to_owned(), 4)], ..Load::default() }
}

#[test]
fn own_requests_are_added_to_a_report_that_can_not_tell_them_yet() {
    let start = Instant::now();
    let mut book = LoadTable::default();
    book.start_request("i", start);
    book.start_request("i", start + REPORT_LAG);
    let now = start + REPORT_LAG + Duration::from_millis(10);
    book.record_report("i", &load(5), now);
    // The report is of a moment at which one of ours ran.
    assert_eq!(book.busy("i"), 4 + 2);
    book.end_request("i", start, now);
    assert_eq!(book.busy("i"), 4 + 1);
    book.record_answer("i", &load(3), now);
    assert_eq!(book.busy("i"), 2 + 1);
    assert_eq!(book.version("i", "m"), Some(4));
}

#[test]
fn a_report_is_used_for_a_while() {
    let now = Instant::now();
    let mut book = LoadTable::default();
    assert!(!book.is_fresh("i", false, now));
    book.record_report("i", &load(5), now);
    assert!(book.is_fresh("i", true, now));
    assert!(!book.is_fresh("i", true, now + REPORT_REUSE));
    let later = now + VERSIONS_REUSE;
    book.record_answer("i", &load(5), later);
    assert!(book.is_fresh("i", false, later));
    assert!(!book.is_fresh("i", true, later), "its version may have moved");
    book.invalidate_report("i");
    assert!(!book.is_fresh("i", false, later));
}

#[test]
fn a_service_without_reports_is_asked_again_after_a_while() {
    let now = Instant::now();
    let mut book = LoadTable::default();
    assert!(!book.is_unreported_service("desk", now));
    book.record_unreported_service("desk", now);
    assert!(book.is_unreported_service("desk", now));
    assert!(!book.is_unreported_service("models", now));
    assert!(!book.is_unreported_service("desk", now + UNREPORTED_SERVICE_REUSE));
}

fn work(job: &str, items: &[&str], epoch: u64) -> WorkLease {
    let leased = |id: &&str| LeasedItem {
        item: Item { id: (*id).to_owned(), ..Item::default() },
        ..LeasedItem::default()
    };
    WorkLease {
        lease: 1,
        store_group: 2,
        epoch,
        job: job.to_owned(),
        items: items.iter().map(leased).collect(),
        ..WorkLease::default()
    }
}

fn add(
    table: &mut LeaseTable, lease: &WorkLease, now: Instant,
) -> Option<pebblepost_batch_runner::lease_table::LeaseKey> {
    table.add(lease, vec![ItemProgress::default(); lease.items.len()], now)
}

#[test]
fn a_lease_holds_until_it_is_not_renewed() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work("j", &["a"], 4), now).unwrap();
    assert_eq!(table.status(key, now + LEASE_DURATION - Duration::from_millis(1)), LeaseStatus::Valid);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Expired);
    table.renew(2, 5, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Expired, "another epoch");
    table.renew(3, 4, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Expired, "another group");
    table.renew(2, 4, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Valid);
    assert_eq!(table.status(key, now + 2 * LEASE_DURATION + ABANDON_AFTER), LeaseStatus::Ended);
}

#[test]
fn a_new_primary_renews_what_was_announced_to_it() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work("j", &["a", "b"], 4), now).unwrap();
    table.release(key, "a").unwrap();
    assert!(!table.is_renewal_overdue(2, now));
    assert!(table.is_renewal_overdue(2, now + LEASE_DURATION));
    let held = ActiveLease { store_group: 2, job: "j".to_owned(), items: vec!["b".to_owned()] };
    assert_eq!(table.announce(2, 5), [held]);
    assert!(table.announce(3, 5).is_empty());
    table.renew(2, 5, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Valid);
}

#[test]
fn a_cancelled_job_is_over_and_not_begun_again() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work("j", &["a"], 4), now).unwrap();
    let other = add(&mut table, &work("k", &["a"], 4), now).unwrap();
    table.cancel(&["j".to_owned()], now);
    assert_eq!(table.status(key, now), LeaseStatus::Ended);
    assert_eq!(table.status(other, now), LeaseStatus::Valid);
    assert!(table.release(key, "a").is_none());
    assert!(add(&mut table, &work("j", &["a"], 5), now).is_none());
}

#[test]
fn an_item_leased_again_goes_on_with_its_longer_text() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let first = add(&mut table, &work("j", &["a"], 4), now).unwrap();
    let text = Text::from_partial(partial(2, "x\ny", &[3]), ANY);
    table.progress(first, "a").unwrap().borrow_mut().text = text;
    let second = add(&mut table, &work("j", &["a"], 4), now).unwrap();
    assert_eq!(table.status(first, now), LeaseStatus::Ended);
    assert_eq!(table.progress(second, "a").unwrap().borrow().text.last_event(), 2);
}

#[test]
fn a_stop_takes_all_that_is_unfinished() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work("j", &["a", "b"], 4), now).unwrap();
    table.release(key, "a").unwrap();
    let items: Vec<String> = table.release_all().into_iter().map(|taken| taken.item).collect();
    assert_eq!(items, ["b"]);
    assert!(table.is_empty());
}

fn result(id: &str, message: &[u8]) -> ItemResult {
    ItemResult { id: id.to_owned(), message: message.to_vec(), ..ItemResult::default() }
}

#[test]
fn results_are_written_as_json() {
    let mut dead = result("b\"", b"");
    dead.state = ResultState::DeadLetter;
    let results = vec![result("a", "\u{1}\\ \t\r\u{e9}\u{1f600}".as_bytes()), dead, result("c", b"\xff")];
    let json = to_json(&ResultPage { total: 3, start: 0, results });
    let approved = concat!(
        r#"{"total":3,"next_token":3,"results":["#,
        r#"{"id":"a","state":"completed","message":"\u0001\\ \t\ré😀","versions":[]},"#,
        r#"{"id":"b\"","state":"dead_letter","message":"","versions":[]},"#,
        "{\"id\":\"c\",\"state\":\"completed\",\"message\":\"\u{fffd}\",\"versions\":[]}]}",
    );
    assert_eq!(std::str::from_utf8(&json).unwrap(), approved);
}

#[test]
fn a_page_ends_before_it_is_too_large() {
    let large = vec![b'x'; MAX_PAGE_BYTES / 2];
    let results = (0..3).map(|index| result(&index.to_string(), &large)).collect();
    let json = to_json(&ResultPage { total: 9, start: 4, results });
    assert!(json.starts_with(br#"{"total":9,"next_token":5,"#));
    let too_large = vec![result("a", &vec![b'x'; 2 * MAX_PAGE_BYTES])];
    let json = to_json(&ResultPage { total: 9, start: 4, results: too_large });
    assert!(json.starts_with(br#"{"total":9,"next_token":5,"#), "one at least");
}

#[rstest]
#[case::not_json("{", "the body is not JSON")]
#[case::no_object("[]", "the body is no object")]
#[case::no_requests("{}", "`requests` is missing or no list")]
#[case::no_id(r#"{"requests":[{"path":"/a"}]}"#, "item 0: `id` is missing")]
#[case::no_path(r#"{"requests":[{"id":"a","path":"a"}]}"#, "item 0: `path` is no path")]
#[case::bad_body(r#"{"requests":[{"id":"a","path":"/a","body":"*"}]}"#, "item 0: `body` is no base64")]
#[case::bad_header(
    r#"{"requests":[{"id":"a","path":"/a","headers":{"x":1}}]}"#,
    "item 0: header `x` is no text"
)]
#[case::bad_scorer(
    r#"{"requests":[{"id":"a","path":"/a","scorer":{"id":"s"}}]}"#,
    "item 0: scorer: `hostname` is missing"
)]
#[case::bad_step(r#"{"step":"x","requests":[]}"#, "`step` is no whole number")]
#[case::twice(
    r#"{"requests":[{"id":"a","path":"/a"},{"id":"a","path":"/a"}]}"#,
    "item 1: its id was used before"
)]
fn a_body_that_is_no_job_says_why(#[case] body: &str, #[case] reason: &str) {
    let error = parse("j", JobTerms::default(), body.as_bytes().to_vec()).unwrap_err();
    assert!(error.to_string().starts_with(reason), "{error}");
}

#[rstest]
#[case::idle(0, true)]
#[case::not_idle(1, false)]
fn a_group_larger_than_a_transcriber_is_accepted_by_an_idle_one(#[case] busy: u32, #[case] accepts: bool) {
    assert_eq!(ProbedLoad { slots: 6, busy }.accepts(16), accepts);
    let choice =
        choose(&[ProbedLoad { slots: 6, busy: 0 }], 16, QueueLimit::PercentOfSlots(34), &Random::seeded(7));
    assert_eq!(choice, Some(Choice { index: 0, items: 9 }), "six run, three are at hand");
}

#[rstest]
#[case::highest_rank(0, [5, 4, 3])]
#[case::other_rank(2, [8, 7, 6])]
fn items_that_are_due_sooner_go_first_and_lower_ranks_behind_others(
    #[case] rank: u32, #[case] expected: [u16; 3],
) {
    let due_in = [Duration::from_secs(12), Duration::from_secs(5), Duration::from_secs(1)];
    assert_eq!(due_in.map(|due_in| priority(rank, due_in)), expected);
}

/// Fleets of proxies and transcribers, spread over zones in turn.
#[rstest]
#[case::many_zones(60, 48, 4)]
#[case::few_zones(57, 45, 3)]
#[case::few_machines(7, 9, 3)]
#[case::few_proxies(4, 40, 2)]
#[case::few_transcribers(40, 4, 2)]
fn every_transcriber_is_in_some_subset_and_none_in_too_many(
    #[case] proxies: usize, #[case] transcribers: usize, #[case] zones: usize,
) {
    // What a request that waits looks at after a few tries.
    let size = SubsetSize::new(transcribers, proxies).widened_after(3);
    let mut shared_by = vec![0; transcribers];
    for proxy in 0..proxies {
        let node = format!("edge-{proxy}");
        let is_far = |transcriber: usize| transcriber % zones != proxy % zones;
        let mut order: Vec<usize> = (0..transcribers).collect();
        order.sort_by_key(|transcriber| {
            (is_far(*transcriber), rendezvous_hash(&node, &format!("i-{transcriber}")))
        });
        subset::retain_subset(&mut order, size, |transcriber| !is_far(*transcriber));
        assert!(order.len() <= size.total);
        order.iter().for_each(|transcriber| shared_by[*transcriber] += 1);
    }
    let mean = shared_by.iter().sum::<usize>() as f64 / transcribers as f64;
    let worst = shared_by.iter().max().map_or(0.0, |worst| *worst as f64);
    assert!(shared_by.iter().all(|count| *count > 0), "{shared_by:?}");
    assert!(worst <= 3.0 * mean, "{worst} against {mean}");
}
