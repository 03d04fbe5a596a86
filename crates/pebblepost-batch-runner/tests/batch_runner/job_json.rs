//! Tests of the JSON of submitted jobs and of results.

use crate::support::body_buffer;
use pebblepost_batch_runner::job::request::{JobError, SubmittedJob, parse};
use pebblepost_batch_runner::job::result_page::{MAX_PAGE_BYTES, to_json};
use pebblepost_messages::batch::{ItemResult, JobTerms, ResultPage, ResultState};
use rstest::rstest;

fn parse_text(body: &str) -> Result<SubmittedJob, JobError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(parse("j", JobTerms::default(), body_buffer(body.as_bytes())))
}

fn result(id: &str, message: &[u8]) -> ItemResult {
    ItemResult { id: id.to_owned(), message: message.to_vec(), ..ItemResult::default() }
}

#[test]
fn writes_results_as_json() {
    let mut dead_letter = result("b\"", b"");
    dead_letter.state = ResultState::DeadLetter;
    let results =
        vec![result("a", "\u{1}\\ \t\r\u{e9}\u{1f600}".as_bytes()), dead_letter, result("c", b"\xff")];
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
fn limits_the_size_of_a_page_but_includes_at_least_one_result() {
    let large = vec![b'x'; MAX_PAGE_BYTES / 2];
    let results = (0..3).map(|index| result(&index.to_string(), &large)).collect();
    let json = to_json(&ResultPage { total: 9, start: 4, results });
    assert!(json.starts_with(br#"{"total":9,"next_token":5,"#));
    let too_large = vec![result("a", &vec![b'x'; 2 * MAX_PAGE_BYTES])];
    let json = to_json(&ResultPage { total: 9, start: 4, results: too_large });
    assert!(json.starts_with(br#"{"total":9,"next_token":5,"#), "a page has at least one result");
}

#[rstest]
#[case::not_json("{", "request body is not valid JSON")]
#[case::not_an_object("[]", "request body is not a JSON object")]
#[case::no_requests("{}", "`requests` is missing or not an array")]
#[case::no_id(r#"{"requests":[{"path":"/a"}]}"#, "item 0: `id` is missing or empty")]
#[case::no_path(
    r#"{"requests":[{"id":"a","path":"a"}]}"#,
    "item 0: `path` is not a URI path starting with `/`"
)]
#[case::bad_body(r#"{"requests":[{"id":"a","path":"/a","body":"*"}]}"#, "item 0: `body` is not valid base64")]
#[case::bad_header(
    r#"{"requests":[{"id":"a","path":"/a","headers":{"x":1}}]}"#,
    "item 0: header `x` is not a string"
)]
#[case::bad_scorer(
    r#"{"requests":[{"id":"a","path":"/a","scorer":{"id":"s"}}]}"#,
    "item 0: scorer: `hostname` is missing or empty"
)]
#[case::bad_step(r#"{"step":"x","requests":[]}"#, "`step` is not an unsigned integer")]
#[case::duplicate_id(
    r#"{"requests":[{"id":"a","path":"/a"},{"id":"a","path":"/a"}]}"#,
    "item 1: `id` is already used by another item of the job"
)]
fn a_parse_error_states_why_the_body_is_not_a_job(#[case] body: &str, #[case] reason: &str) {
    let error = parse_text(body).unwrap_err();
    assert!(error.to_string().starts_with(reason), "{error}");
}

/// Guards against: a job that ends the proxy, because the parser recurses once for each level of nesting.
#[test]
fn a_deeply_nested_body_is_an_error() {
    const LEVELS: usize = 1_000_000;
    let body = format!(r#"{{"requests":{}{}}}"#, "[".repeat(LEVELS), "]".repeat(LEVELS));
    let error = parse_text(&body).unwrap_err();
    assert_eq!(error.to_string(), "request body has more than 100 levels of nesting");
}
