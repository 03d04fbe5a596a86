//! Random cuts of valid messages and random garbage, from a fixed seed.

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

/// The pieces of `bytes` between the cuts.
fn pieces<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> =
        cuts.iter().map(|cut| cut.index(bytes.len() + 1)).chain([0, bytes.len()]).collect();
    at.sort_unstable();
    at.windows(2).map(|bounds| &bytes[bounds[0]..bounds[1]]).collect()
}

/// Target and body of a request, and what follows it.
type Parts = (String, Vec<u8>, Vec<u8>);

/// Reads one request that comes in such pieces.
fn read(pieces: &[&[u8]]) -> Result<Option<Parts>, Malformed> {
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

fn request(body: &[u8], chunks: &[usize], next: &[u8]) -> Vec<u8> {
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
    fn cuts_change_nothing(
        body in prop::collection::vec(any::<u8>(), 0..300),
        chunks in prop::collection::vec(1_usize..90, 0..5),
        next in prop::collection::vec(any::<u8>(), 0..20),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let bytes = request(&body, &chunks, &next);
        let read = read(&pieces(&bytes, &cuts)).expect("a valid request");
        prop_assert_eq!(read, Some(("/api".to_owned(), body, next)));
    }

    #[test]
    fn garbage_is_refused_or_waits_and_never_panics(
        start in prop::sample::select(vec!["", "POST /api HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"]),
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..5),
    ) {
        let bytes = [start.as_bytes(), &bytes].concat();
        let _ = read(&pieces(&bytes, &cuts));
        let (mut input, mut out) = (Buffer::default(), Buffer::default());
        input.extend(&bytes);
        if let Ok(Some(head)) = take_response_head(&mut input) {
            let _ = Body::new(head.framing).decode(&mut input, &mut out);
            while http::take_trimmed_line(&mut out).is_some() {}
        }
    }

    #[test]
    fn a_buffer_is_what_was_appended_less_what_was_consumed(
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
    fn discovery_garbage_is_no_list(
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
fn settings_are_flattened_as_a_start_message_words_them() {
    let json = json!({"a": {"b": 1, "c": [1, 2], "d": "x, y"}, "l": [{"n": 6e9}, {"n": true}], "e": []});
    assert_eq!(flatten(&json), "a.b=1\na.c=1,2\na.d=x__y\nl.count=2\nl.0.n=6000000000\nl.1.n=true\ne=\n");
}
