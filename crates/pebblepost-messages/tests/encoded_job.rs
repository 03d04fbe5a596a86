//! Tests of encoded jobs, whose memory is estimated before they are decoded.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::batch::{
    EncodedJob, Item, Job, Scorer, ToStore, encode_submission_head, estimated_item_bytes, estimated_job_bytes,
};
use rstest::rstest;

fn item(number: usize) -> Item {
    Item {
        id: format!("item-{number}"),
        path: "/a".repeat(number),
        headers: (0..number).map(|header| (format!("h{header}"), "v".repeat(header * 100))).collect(),
        body: vec![7; number * 1000],
        tokens: number as u64,
        group: "g".to_owned(),
        scorer: (number % 2 == 1).then(|| Scorer {
            id: "s".to_owned(),
            hostname: "h".to_owned(),
            path: "/s".to_owned(),
            body: vec![8; number * 10],
        }),
    }
}

fn job() -> Job {
    Job { id: "job".to_owned(), model: "m".to_owned(), items: (0..40).map(item).collect(), ..Job::default() }
}

fn submission(job: &Job) -> ToStore {
    ToStore::Submit { call: 3, store_group: 2, job: EncodedJob::new(job) }
}

/// Guards against: a store that decodes a job for which it has no room, because it can only measure a decoded one.
#[test]
fn the_estimate_before_decoding_is_that_of_the_decoded_job() {
    let received = ToStore::deserialize_bin(&submission(&job()).serialize_bin()).unwrap();
    let ToStore::Submit { job: encoded, .. } = received else { panic!("not a submission") };
    assert_eq!((encoded.id(), encoded.item_count()), ("job", 40));
    assert_eq!(encoded.estimated_bytes(), estimated_job_bytes(&job()));
    assert_eq!(encoded.decode().unwrap(), job());
    assert_eq!(encoded, EncodedJob::new(&job()));
}

#[test]
fn a_message_cut_anywhere_is_an_error() {
    let whole = submission(&Job { items: vec![item(3)], ..job() }).serialize_bin();
    for length in 0..whole.len() {
        assert!(ToStore::deserialize_bin(&whole[..length]).is_err(), "cut after {length} bytes");
    }
}

#[test]
fn a_submission_can_be_encoded_item_by_item() {
    let mut message = encode_submission_head(3, 2, &job(), 40);
    job().items.iter().for_each(|item| item.ser_bin(&mut message));
    assert!(message == submission(&job()).serialize_bin());
}

/// Guards against: a job that is accepted although its texts outside of bodies exceed the store's memory.
#[rstest]
#[case::id(Item { id: "x".repeat(1_000_000), ..Item::default() })]
#[case::path(Item { path: "x".repeat(1_000_000), ..Item::default() })]
#[case::group(Item { group: "x".repeat(1_000_000), ..Item::default() })]
#[case::header_name(Item { headers: vec![("x".repeat(1_000_000), String::new())], ..Item::default() })]
#[case::header_value(Item { headers: vec![(String::new(), "x".repeat(1_000_000))], ..Item::default() })]
#[case::many_headers(Item { headers: vec![Default::default(); 20_000], ..Item::default() })]
#[case::body(Item { body: vec![0; 1_000_000], ..Item::default() })]
#[case::scorer_path(Item {
    scorer: Some(Scorer { path: "x".repeat(1_000_000), ..Scorer::default() }),
    ..Item::default()
})]
#[case::scorer_body(Item {
    scorer: Some(Scorer { body: vec![0; 1_000_000], ..Scorer::default() }),
    ..Item::default()
})]
fn each_text_of_an_item_counts_with_all_of_its_copies(#[case] item: Item) {
    assert!(estimated_item_bytes(&item) >= 3_000_000, "{}", estimated_item_bytes(&item));
}

#[test]
fn an_ordinary_item_has_the_minimum_estimate() {
    let headers = vec![("Model".to_owned(), "m".to_owned()), ("Token-Counts".to_owned(), "1,2".to_owned())];
    let item = Item { id: "a".repeat(16), path: "/b/3/91c4".to_owned(), headers, ..Item::default() };
    assert_eq!(estimated_item_bytes(&item), 4096);
}
