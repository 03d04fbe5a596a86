//! Tests of generated texts: events, versions, resumption.

use pebblepost_batch_runner::text::{AppendError, GeneratedText, MAX_TEXT_BYTES, VersionRequirement};
use pebblepost_messages::batch::PartialText;
use pebblepost_transcriber::StreamEvent;
use rstest::rstest;

pub const ANY: VersionRequirement = VersionRequirement { min_version: 3, single_version: false };
const SINGLE: VersionRequirement = VersionRequirement { min_version: 3, single_version: true };

fn event(id: u64, data: &str, weight_version: Option<u64>) -> StreamEvent {
    StreamEvent { id, data: data.as_bytes().to_vec(), weight_version, ..StreamEvent::default() }
}

pub fn partial(last_event: u64, message: &str, versions: &[u64]) -> PartialText {
    PartialText { last_event, message: message.as_bytes().to_vec(), versions: versions.to_vec() }
}

#[test]
fn joins_events_and_lists_each_version_once() {
    let mut text = GeneratedText::default();
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
fn lists_a_version_only_if_it_made_an_event() {
    let mut text = GeneratedText::default();
    text.start_attempt(Some(3));
    text.append(&event(1, "a", Some(5)), SINGLE).unwrap();
    assert_eq!(text.partial().versions, [5]);
}

#[rstest]
#[case::gap(event(3, "x", None), AppendError::UnexpectedEventId)]
#[case::repeat(event(1, "x", None), AppendError::UnexpectedEventId)]
#[case::too_old(event(2, "x", Some(2)), AppendError::VersionTooOld)]
#[case::mixed(event(2, "x", Some(4)), AppendError::MixedVersions)]
fn rejects_an_unexpected_event_and_stays_unchanged(#[case] wrong: StreamEvent, #[case] error: AppendError) {
    let mut text = GeneratedText::default();
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
fn resumes_a_stored_text_only_if_its_versions_are_allowed(
    #[case] stored: PartialText, #[case] requirement: VersionRequirement, #[case] last: u64,
) {
    assert_eq!(GeneratedText::from_partial(stored, requirement).last_event(), last);
}

#[test]
fn resumes_a_single_version_text_only_under_its_version() {
    let text = GeneratedText::from_partial(partial(1, "a", &[3]), SINGLE);
    assert!(text.can_resume_under(Some(3), SINGLE));
    assert!(!text.can_resume_under(Some(4), SINGLE));
    assert!(text.can_resume_under(Some(4), ANY));
}

/// Guards against: a text that no message can carry (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[test]
fn rejects_an_event_that_makes_the_text_too_long() {
    let mut text = GeneratedText::default();
    text.start_attempt(Some(3));
    let half = "x".repeat(MAX_TEXT_BYTES / 2);
    text.append(&event(1, &half, None), ANY).unwrap();
    assert_eq!(text.append(&event(2, &half, None), ANY), Err(AppendError::TooLong));
    assert_eq!(text.last_event(), 1);
    text.append(&event(2, &half[..half.len() - 1], None), ANY).unwrap();
    assert_eq!(text.partial().message.len(), MAX_TEXT_BYTES);
}
