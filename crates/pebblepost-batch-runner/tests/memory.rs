//! Tests that submissions and pages of results take no more memory than is reserved for them, measured at the allocator.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use bytes::Bytes;
use peak_alloc::PeakAlloc;
use pebblepost_batch_runner::JobBody;
use pebblepost_batch_runner::encoded_items::EncodedItems;
use pebblepost_batch_runner::job::request::{JobError, SubmittedJob, parse};
use pebblepost_batch_runner::job::result_page;
use pebblepost_link::MessageTail;
use pebblepost_memory::{BlockBuffer, MemoryBudget};
use pebblepost_messages::batch::{
    ItemResult, JobTerms, MAX_ENCODED_JOB_BYTES, ResultPage, ToStore, encode_submission_head,
};
use rstest::rstest;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Memory beyond the reservation: buffers of fixed size and what the runtime allocates.
const UNRESERVED_BYTES: usize = 512 * 1024;
/// Memory budget of a proxy with 260 MB.
const BUDGET_BYTES: usize = 65_000_000;
/// Size of the texts, near `max_body_bytes` of the examples.
const TEXT_BYTES: usize = 32_400_000;

/// Lets one test at a time measure.
fn lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Highest memory above that at its creation.
struct Meter(usize);

impl Meter {
    fn start() -> Meter {
        ALLOCATOR.reset_peak_usage();
        Meter(ALLOCATOR.current_usage())
    }

    fn peak_bytes(&self) -> usize {
        ALLOCATOR.peak_usage().saturating_sub(self.0)
    }
}

fn buffer(text: &str, budget: &MemoryBudget) -> BlockBuffer {
    let mut buffer = BlockBuffer::new(budget.empty_reservation());
    for part in text.as_bytes().chunks(60_000) {
        buffer.push(Bytes::copy_from_slice(part)).unwrap();
    }
    buffer
}

fn parse_job(text: BlockBuffer) -> Result<SubmittedJob, JobError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(parse("j", JobTerms::default(), text))
}

/// Returns a job whose items are made by a function, as many as fit.
fn job_of(item: impl Fn(usize) -> String) -> String {
    let mut text = r#"{"step":1,"model":"m","requests":["#.to_owned();
    for number in 0.. {
        let item = item(number);
        if text.len() + item.len() > TEXT_BYTES {
            break;
        }
        if number > 0 {
            text.push(',');
        }
        text.push_str(&item);
    }
    text + "]}"
}

fn ordinary_items() -> String {
    job_of(|number| {
        format!(
            r#"{{"id":"0-{number:06x}","path":"/lot/0/{number:04x}","headers":{{"Model":"m","Token-Counts":"16,20","Prompt-Prefix":"9c2e41:255,{number:x}:16"}},"body":"cGVybWl0","tokens":300,"group":"g{}"}}"#,
            number / 4
        )
    })
}

fn large_bodies() -> String {
    let body = "cGVybWl0".repeat(800);
    job_of(|number| format!(r#"{{"id":"{number}","path":"/a","body":"{body}"}}"#))
}

fn smallest_items() -> String {
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"/"}}"#))
}

fn one_body() -> String {
    let body = "cGVybWl0".repeat(TEXT_BYTES / 8 - 10);
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"/","body":"{body}"}}"#))
}

fn one_header() -> String {
    let value = "h".repeat(TEXT_BYTES - 200);
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"/","headers":{{"a":"{value}"}}}}"#))
}

fn many_headers() -> String {
    let headers: Vec<String> = (0..TEXT_BYTES / 13).map(|number| format!(r#""{number:x}":"""#)).collect();
    let headers = headers.join(",");
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"/","headers":{{{headers}}}}}"#))
}

fn unknown_field() -> String {
    format!(r#"{{"requests":[{{"id":"a","path":"/"}}],"more":[{}0]}}"#, "0,".repeat(TEXT_BYTES / 2 - 30))
}

fn long_path() -> String {
    let path = "p".repeat(TEXT_BYTES - 200);
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"/{path}"}}"#))
}

/// Guards against: a job that takes several times the memory of its text while it is parsed and encoded, so that each
/// proxy that gets it is ended.
#[rstest]
#[case::ordinary_items(ordinary_items, true)]
#[case::large_bodies(large_bodies, true)]
#[case::one_body(one_body, true)]
#[case::one_header(one_header, true)]
#[case::unknown_field(unknown_field, true)]
#[case::smallest_items(smallest_items, false)]
#[case::many_headers(many_headers, false)]
#[case::long_path(long_path, false)]
fn a_job_takes_no_more_memory_than_is_reserved(#[case] text: fn() -> String, #[case] has_room: bool) {
    let _lock = lock();
    let text = text();
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let meter = Meter::start();
    let outcome = parse_job(buffer(&text, &budget));
    let peak_bytes = meter.peak_bytes();
    assert!(peak_bytes <= BUDGET_BYTES + UNRESERVED_BYTES, "{peak_bytes} bytes of {BUDGET_BYTES}");
    match outcome {
        Ok(submitted) => {
            let held_bytes: usize = submitted.items.blocks().iter().map(Vec::capacity).sum();
            assert!(held_bytes <= submitted.items.reserved_bytes(), "{held_bytes} bytes are held");
            assert_eq!(budget.reserved_bytes(), submitted.items.reserved_bytes());
            assert_eq!(decoded_items(&submitted.job, &submitted.items), submitted.items.count());
            assert!(has_room, "a case without room was accepted");
        }
        Err(JobError::OutOfMemory(_)) => {
            assert!(!has_room, "no room, although {BUDGET_BYTES} bytes were free")
        }
        Err(error) => panic!("{error}"),
    }
    assert_eq!(budget.reserved_bytes(), 0, "everything is released");
}

/// Decodes the message to the store and returns its number of items.
fn decoded_items(job: &pebblepost_messages::batch::Job, items: &EncodedItems) -> u64 {
    let mut message = encode_submission_head(1, 2, job, items.count());
    items.blocks().iter().for_each(|block| message.extend_from_slice(block));
    match nanoserde::DeBin::deserialize_bin(&message).unwrap() {
        ToStore::Submit { job, .. } => job.decode().unwrap().items.len() as u64,
        other => panic!("not a submission: {other:?}"),
    }
}

/// Guards against: jobs sent at the same time that each have room, but not together.
#[test]
fn jobs_parsed_at_the_same_time_share_the_budget() {
    const JOBS: usize = 3;
    let _lock = lock();
    let text = ordinary_items();
    let text = &text[..];
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let meter = Meter::start();
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let mut accepted = Vec::new();
    runtime.block_on(async {
        let mut buffers = Vec::new();
        for _ in 0..JOBS {
            let mut buffer = BlockBuffer::new(budget.empty_reservation());
            if buffer.reserve(text.len()).is_ok() {
                text.as_bytes().chunks(60_000).for_each(|part| {
                    buffer.push(Bytes::copy_from_slice(part)).unwrap();
                });
                buffers.push(buffer);
            }
        }
        assert_eq!(buffers.len(), 2, "two texts have room");
        let second = buffers.pop().unwrap();
        let first = buffers.pop().unwrap();
        let (first, second) =
            tokio::join!(parse("a", JobTerms::default(), first), parse("b", JobTerms::default(), second));
        accepted.extend(first);
        accepted.extend(second);
    });
    assert!(!accepted.is_empty(), "at least one has room");
    let peak_bytes = meter.peak_bytes();
    assert!(peak_bytes <= BUDGET_BYTES + UNRESERVED_BYTES, "{peak_bytes} bytes of {BUDGET_BYTES}");
}

/// Guards against: a job within `max_body_bytes` that is refused with a 4xx because its encoding is larger than a message.
#[test]
fn a_job_too_large_for_a_message_is_not_an_invalid_one() {
    let _lock = lock();
    let budget = MemoryBudget::new(usize::MAX);
    let error = parse_job(buffer(&smallest_items(), &budget)).unwrap_err();
    assert!(matches!(error, JobError::TooLarge), "{error}");
    assert_eq!(error.to_string(), format!("job has more than {MAX_ENCODED_JOB_BYTES} bytes when encoded"));
}

fn page(message: Vec<u8>) -> ResultPage {
    let result = ItemResult { id: "a".to_owned(), message, versions: vec![1, 2], ..ItemResult::default() };
    ResultPage { total: 3, start: 1, results: vec![result] }
}

fn read(mut body: JobBody) -> Vec<u8> {
    let announced = body.remaining_bytes();
    let bytes: Vec<u8> = std::iter::from_fn(|| body.next_chunk()).flatten().collect();
    assert_eq!((bytes.len() as u64, body.remaining_bytes()), (announced, 0));
    bytes
}

/// Guards against: a long text that takes six times its memory when it is read, because it is escaped as a whole.
#[test]
fn a_page_takes_no_more_memory_than_is_reserved() {
    const TEXT_BYTES: usize = 16 * 1024 * 1024;
    let _lock = lock();
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let page = page(vec![1; TEXT_BYTES]);
    let meter = Meter::start();
    let mut body = result_page::to_body(page, &budget).unwrap();
    let reserved_bytes = budget.reserved_bytes();
    assert!(reserved_bytes >= TEXT_BYTES);
    let mut bytes = 0;
    while let Some(chunk) = body.next_chunk() {
        bytes += chunk.len();
    }
    assert!(bytes > 6 * TEXT_BYTES);
    // The text itself was there before.
    assert!(meter.peak_bytes() <= UNRESERVED_BYTES, "{} bytes more", meter.peak_bytes());
    drop(body);
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn a_page_without_room_is_refused() {
    let _lock = lock();
    let budget = MemoryBudget::new(1_000_000);
    assert!(result_page::to_body(page(vec![b'x'; 1_000_000]), &budget).is_err());
    assert!(result_page::to_body(page(vec![b'x'; 900_000]), &budget).is_ok());
    assert!(result_page::to_body(page(vec![b'x'; 100]), &MemoryBudget::new(10)).is_err());
}

/// A text that is written in chunks is the same as one that is written as a whole.
#[rstest]
#[case::ascii("plain \"text\"\n\\".as_bytes())]
#[case::characters_across_chunks("\u{e9}\u{1f600}x\u{20ac}".as_bytes())]
#[case::control("\u{1}\u{1f}".as_bytes())]
#[case::invalid(b"\xff\xf0\x9f\x98x\xe2\x82")]
#[case::broken_characters(b"ab\xf0\x9f\x98")]
fn a_long_text_is_the_same_in_chunks(#[case] pattern: &[u8]) {
    let _lock = lock();
    let budget = MemoryBudget::new(usize::MAX);
    for extra in 0..8 {
        let mut message = vec![b'x'; extra];
        while message.len() < 400_000 {
            message.extend_from_slice(pattern);
        }
        let page = page(message);
        let whole = result_page::to_json(&page);
        let chunks = read(result_page::to_body(page, &budget).unwrap());
        assert!(chunks == whole, "texts differ, {extra} bytes in front");
    }
}
