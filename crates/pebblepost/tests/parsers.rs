//! Parses valid messages split at random points, and random bytes, from a fixed seed.

use pebblepost::buffer::Buffer;
use pebblepost::clock::Clock;
use pebblepost::config::flatten;
use pebblepost::discovery::registry::Registry;
use pebblepost::http::{self, Body, Malformed, take_request_head, take_response_head};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use serde_json::{Value, json};

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::with_cases(300)
    }
}

/// Splits `bytes` at these points.
fn split<'a>(bytes: &'a [u8], split_points: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut bounds: Vec<usize> =
        split_points.iter().map(|point| point.index(bytes.len() + 1)).chain([0, bytes.len()]).collect();
    bounds.sort_unstable();
    bounds.windows(2).map(|bounds| &bytes[bounds[0]..bounds[1]]).collect()
}

/// Target and body of a request, and the bytes that follow it.
type ParsedRequest = (String, Vec<u8>, Vec<u8>);

/// Parses one request that arrives in these pieces. Returns `None` if it is incomplete.
fn parse_request(pieces: &[&[u8]]) -> Result<Option<ParsedRequest>, Malformed> {
    let (mut input, mut out, mut head) = (Buffer::default(), Buffer::default(), None);
    let mut done = false;
    for piece in pieces {
        input.extend(piece);
        if head.is_none() {
            head = take_request_head(&mut input)?.map(|head| (Body::new(head.framing), head));
        }
        if let Some((body, _)) = &mut head {
            body.decode(&mut input, &mut out)?;
            done = body.is_complete();
        }
    }
    Ok(head.filter(|_| done).map(|(_, head)| (head.target, out.data().to_vec(), input.data().to_vec())))
}

/// Encodes a request with this body, in chunks of these sizes if there are any, followed by the bytes `next`.
fn encode_request(body: &[u8], chunks: &[usize], next: &[u8]) -> Vec<u8> {
    let mut bytes = b"POST /api HTTP/1.1\r\nX-Txn: 1\r\n".to_vec();
    if chunks.is_empty() {
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
        bytes.extend(body);
    } else {
        bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
        let mut rest = body;
        for size in chunks.iter().copied().chain([body.len()]) {
            let (chunk, left) = rest.split_at(size.min(rest.len()));
            if !chunk.is_empty() {
                bytes.extend(format!("{:X};ext=1\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            rest = left;
        }
        bytes.extend(b"0\r\nTrailer: x\r\n\r\n");
    }
    bytes.extend(next);
    bytes
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn request_parsing_does_not_depend_on_read_boundaries(
        body in prop::collection::vec(any::<u8>(), 0..300),
        chunks in prop::collection::vec(1_usize..90, 0..5),
        next in prop::collection::vec(any::<u8>(), 0..20),
        split_points in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let bytes = encode_request(&body, &chunks, &next);
        let parsed = parse_request(&split(&bytes, &split_points)).expect("a valid request");
        prop_assert_eq!(parsed, Some(("/api".to_owned(), body, next)));
    }

    #[test]
    fn arbitrary_bytes_never_cause_a_panic(
        start in prop::sample::select(vec!["", "POST /api HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"]),
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        split_points in prop::collection::vec(any::<prop::sample::Index>(), 0..5),
    ) {
        let bytes = [start.as_bytes(), &bytes].concat();
        let _ = parse_request(&split(&bytes, &split_points));
        let (mut input, mut out) = (Buffer::default(), Buffer::default());
        input.extend(&bytes);
        if let Ok(Some(head)) = take_response_head(&mut input) {
            let _ = Body::new(head.framing).decode(&mut input, &mut out);
            while http::take_trimmed_line(&mut out).is_some() {}
        }
    }

    #[test]
    fn a_buffer_holds_appended_bytes_minus_consumed_ones(
        steps in prop::collection::vec((prop::collection::vec(any::<u8>(), 0..200), 0_usize..250), 0..30),
    ) {
        let (mut buffer, mut model) = (Buffer::default(), Vec::new());
        for (bytes, n) in steps {
            buffer.extend(&bytes);
            model.extend(bytes);
            buffer.consume(n);
            model.drain(..n.min(model.len()));
            prop_assert_eq!(buffer.data(), &model[..]);
        }
    }

    #[test]
    fn malformed_endpoint_lists_are_rejected(
        line in prop_oneof![
            "\\PC{0,80}",
            "[{}\\[\\]\":,a-z0-9]{0,80}",
            Just(r#"{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"nowhere","health":"ready"}]}"#.to_owned()),
            Just(r#"{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"odd"}]}"#.to_owned()),
        ],
    ) {
        let clock = Clock::default();
        if let Ok(json) = serde_json::from_str::<Value>(&line) {
            prop_assert!(Registry::default().apply(&json, None, &clock).is_none());
        }
    }
}

#[test]
fn settings_are_flattened_into_start_message_form() {
    let json = json!({"a": {"b": 1, "c": [1, 2], "d": "x, y"}, "l": [{"n": 6e9}, {"n": true}], "e": []});
    assert_eq!(flatten(&json), "a.b=1\na.c=1,2\na.d=x__y\nl.count=2\nl.0.n=6000000000\nl.1.n=true\ne=\n");
}
