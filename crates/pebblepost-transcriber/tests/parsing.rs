//! Parsing of events, load and headers, without connections.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use pebblepost_transcriber::{EventParser, InvalidEvent, Load, StreamEvent};
use pebblepost_transcriber::{parse_instance_load, parse_load_report, remove_connection_headers};
use rstest::rstest;

const STREAM: &str =
    ": hello\n\nweight-versions: 3\nid: 4\ndata: a\r\ndata:b\r\n\r\nretry: 9\n\nid:5\nx\ndata:  c\n\n";

fn events(parser: &mut EventParser) -> Vec<StreamEvent> {
    let mut events = Vec::new();
    while let Some(event) = parser.next_event().unwrap() {
        events.push(event);
    }
    events
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    let mut parser = EventParser::default();
    parser.feed(Bytes::from_static(STREAM.as_bytes()));
    let expected = events(&mut parser);
    assert!(!parser.has_incomplete_event());
    let summary: Vec<_> =
        expected.iter().map(|event| (event.id, event.data.clone(), event.weight_version)).collect();
    assert_eq!(summary, [(4, b"a\nb".to_vec(), Some(3)), (5, b" c".to_vec(), None)]);
    let raw: Vec<u8> = expected.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert_eq!(raw, STREAM.as_bytes());
    for size in 1..STREAM.len() {
        let mut parser = EventParser::default();
        let mut found = Vec::new();
        for chunk in STREAM.as_bytes().chunks(size) {
            parser.feed(Bytes::copy_from_slice(chunk));
            found.extend(events(&mut parser));
        }
        assert_eq!(found, expected, "in chunks of {size}");
        assert!(!parser.has_incomplete_event());
    }
}

#[rstest]
#[case::id_line("id: 1\n")]
#[case::incomplete_line("id: 1\ndata: x\n\nda")]
#[case::data("data: x\n")]
fn detects_an_incomplete_event(#[case] bytes: &'static str) {
    let mut parser = EventParser::default();
    parser.feed(Bytes::from_static(bytes.as_bytes()));
    events(&mut parser);
    assert!(parser.has_incomplete_event());
}

#[rstest]
#[case::no_id("data: x\n\n")]
#[case::id_not_a_number("id: one\n\n")]
#[case::version_not_a_number("weight-versions: x\nid: 1\n\n")]
fn rejects_an_invalid_event(#[case] bytes: &'static str) {
    let mut parser = EventParser::default();
    parser.feed(Bytes::from_static(bytes.as_bytes()));
    assert_eq!(parser.next_event(), Err(InvalidEvent));
}

#[test]
fn rejects_an_event_over_the_size_limit() {
    let mut parser = EventParser::default();
    let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
    let mut fed = 0;
    loop {
        parser.feed(chunk.clone());
        fed += chunk.len();
        match parser.next_event() {
            Ok(None) => assert!(fed <= 1024 * 1024),
            other => break assert_eq!(other, Err(InvalidEvent)),
        }
    }
}

#[rstest]
#[case("3,1,12", Some((3, 1, Some(12))))]
#[case(" 3 , 1 ", Some((3, 1, None)))]
#[case("3", None)]
#[case("x,1,2", None)]
fn parses_instance_load(#[case] value: &str, #[case] expected: Option<(u32, u32, Option<u32>)>) {
    let load = parse_instance_load(value).map(|load| (load.running, load.waiting, load.slots));
    assert_eq!(load, expected);
}

#[test]
fn parses_a_load_report_with_and_without_its_fields() {
    let report =
        br#"{"stage":"both","models":[{"name":"daka","generation":2,"lora_adapters":[]},{"name":"x"}],
        "busy":true,"sequence":2,"waiting":1,"running":12,"kv_used":41000,"kv_total":90000,"handles":0}"#;
    let expected = Load {
        running: 12,
        waiting: 1,
        slots: None,
        load_order_in_progress: true,
        accepted_load_orders: 2,
        models: vec![("daka".to_owned(), 2)],
    };
    assert_eq!(parse_load_report(report), Some(expected));
    assert_eq!(parse_load_report(b"{}"), Some(Load::default()));
    assert_eq!(parse_load_report(b"[]"), None);
    assert_eq!(parse_load_report(b"{\"running\":"), None);
    assert_eq!(parse_load_report(b""), None);
}

/// Guards against: a report that ends the process, because its values take many times their text, or because the parser
/// recurses once for each level.
#[test]
fn a_report_too_large_or_too_deeply_nested_is_not_parsed() {
    let nested = format!(r#"{{"running":1,"models":{}{}}}"#, "[".repeat(100_000), "]".repeat(100_000));
    assert_eq!(parse_load_report(nested.as_bytes()), None);
    let large = format!(r#"{{"running":1,"models":[{}0]}}"#, "0,".repeat(10_000_000));
    assert_eq!(parse_load_report(large.as_bytes()), None);
}

#[test]
fn removes_hop_by_hop_headers() {
    let mut headers = HeaderMap::new();
    for name in
        ["te", "trailer", "transfer-encoding", "upgrade", "proxy-authorization", "keep-alive", "x", "y"]
    {
        headers.insert(name, HeaderValue::from_static("1"));
    }
    headers.append("connection", HeaderValue::from_static("close, X"));
    remove_connection_headers(&mut headers);
    let names: Vec<&str> = headers.keys().map(|name| name.as_str()).collect();
    assert_eq!(names, ["y"]);
}
