//! Tests of the HTTP calls of batch jobs, with fake stores.

use crate::support::{FakeStore, RunnerUnderTest, StoreEnd, body_bytes, request, run};
use pebblepost_batch_runner::JobBody;
use pebblepost_messages::batch::{
    FromStore, ItemResult, Job, JobResponse, JobTerms, ResultPage, ResultState, SubmitOutcome, ToStore,
    estimated_job_bytes, store_group_of,
};
use rstest::rstest;

const JOB: &str = r#"{"step":7,"model":"daka","min_version":6,"desired":1,"more":[],"requests":[
 {"id":"e5","path":"/lot/3","headers":{"Model":"daka"},"body":"aGk=","tokens":9,"group":"g",
  "scorer":{"id":"s5","hostname":"h.example","path":"/score/1","body":""}}]}"#;

async fn submit(under_test: &RunnerUnderTest) -> (u16, Option<String>, String) {
    submit_text(under_test, JOB).await
}

async fn submit_text(under_test: &RunnerUnderTest, job: &str) -> (u16, Option<String>, String) {
    let configuration = under_test.feed.borrow().configuration().cloned().unwrap();
    let route = configuration.route("h.example", "/lot/1");
    let call = request("POST", "/lot/1", &[("request-id", "job")], job);
    summary(under_test.runner.answer(route, call).await)
}

/// Returns a job that has to be announced, with all kinds of texts.
fn large_job() -> String {
    let item = |number| {
        format!(
            r#"{{"id":"i{number}","path":"/lot/3","headers":{{"Model":"daka","notes":"{}"}},"body":"aGk=","group":"g",
            "scorer":{{"id":"s{number}","hostname":"h.example","path":"/score/1","body":"aGk="}}}}"#,
            "n".repeat(60_000)
        )
    };
    let items: Vec<String> = (0..6).map(item).collect();
    format!(r#"{{"step":7,"model":"daka","min_version":6,"requests":[{}]}}"#, items.join(","))
}

/// Answers the next announcement of a job and returns its estimated memory.
async fn answer_announcement(end: &mut StoreEnd, outcome: SubmitOutcome) -> u64 {
    match next_call(end).await {
        ToStore::AnnounceJob { call, store_group, job, bytes } => {
            assert_eq!((store_group, job.as_str()), (store_group_of("job"), "job"));
            end.sender.send(&FromStore::Submitted { call, outcome });
            bytes
        }
        other => panic!("not an announcement: {other:?}"),
    }
}

/// Guards against: large jobs of many proxies that arrive at a store at the same time, before it can refuse them
/// (`docs/incidents/a-job-larger-in-memory-than-its-text.md`).
#[test]
fn a_large_job_is_sent_once_memory_is_reserved_for_it() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let large = large_job();
        let (answer, ()) = tokio::join!(submit_text(&under_test, &large), async {
            let (mut end, _) = store.accept().await;
            answer_announcement(&mut end, SubmitOutcome::NotPrimary).await;
            let announced_bytes = answer_announcement(&mut end, SubmitOutcome::Reserved).await;
            let job = answer_submit(&mut end, SubmitOutcome::Accepted).await;
            assert_eq!(announced_bytes, estimated_job_bytes(&job));
        });
        assert_eq!(answer.0, 202);
    });
}

#[rstest]
#[case::rejected(SubmitOutcome::Rejected { retry_after_ms: 250 }, 429)]
#[case::stored_before(SubmitOutcome::Accepted, 202)]
fn a_large_job_without_a_reservation_is_not_sent(#[case] outcome: SubmitOutcome, #[case] status: u16) {
    run(async move {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let large = large_job();
        let (answer, mut end) = tokio::join!(submit_text(&under_test, &large), async {
            let (mut end, _) = store.accept().await;
            answer_announcement(&mut end, outcome).await;
            end
        });
        assert_eq!(answer.0, status);
        let (_, next) = tokio::join!(call(&under_test, "GET", "/lots/job"), async {
            let message = next_call(&mut end).await;
            end.sender
                .send(&FromStore::Results { call: call_number(&message), answer: JobResponse::NotFound });
            message
        });
        assert!(matches!(next, ToStore::Read { .. }), "{next:?}");
    });
}

/// Guards against: a promise that a job never runs after it was sent over a link that was lost.
#[test]
fn a_rejected_announcement_after_an_uncertain_submission_is_a_gateway_timeout() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let large = large_job();
        let (answer, ()) = tokio::join!(submit_text(&under_test, &large), async {
            let (mut end, _) = store.accept().await;
            answer_announcement(&mut end, SubmitOutcome::Reserved).await;
            next_call(&mut end).await;
            end.sender.close();
            let (mut end, _) = store.accept().await;
            answer_announcement(&mut end, SubmitOutcome::Rejected { retry_after_ms: 250 }).await;
        });
        assert_eq!(answer.0, 504);
    });
}

async fn call(under_test: &RunnerUnderTest, method: &str, path: &str) -> (u16, Option<String>, String) {
    let call = request(method, path, &[("wait-ms", "0")], "");
    summary(under_test.runner.answer(None, call).await)
}

fn summary(answer: http::Response<JobBody>) -> (u16, Option<String>, String) {
    let retry = answer.headers().get("retry-after").map(|value| value.to_str().unwrap().to_owned());
    let status = answer.status().as_u16();
    (status, retry, String::from_utf8(body_bytes(answer.into_body())).unwrap())
}

/// Returns the next call. Requests for work and announcements of leases are ignored.
async fn next_call(end: &mut StoreEnd) -> ToStore {
    loop {
        let message = end.next().await;
        if !matches!(message, ToStore::RequestWork { .. } | ToStore::ActiveLeases(_)) {
            return message;
        }
    }
}

fn call_number(message: &ToStore) -> u64 {
    match message {
        ToStore::Submit { call, .. }
        | ToStore::Read { call, .. }
        | ToStore::ItemBody { call, .. }
        | ToStore::End { call, .. } => *call,
        other => panic!("not a call: {other:?}"),
    }
}

/// Answers the next submission and returns its job.
async fn answer_submit(end: &mut StoreEnd, outcome: SubmitOutcome) -> Job {
    let message = next_call(end).await;
    let call = call_number(&message);
    end.sender.send(&FromStore::Submitted { call, outcome });
    match message {
        ToStore::Submit { job, store_group, .. } => {
            assert_eq!(store_group, store_group_of("job"));
            job.decode().unwrap()
        }
        other => panic!("not a submission: {other:?}"),
    }
}

#[test]
fn submits_a_job_to_the_primary_with_the_terms_of_its_route() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (answer, job) = tokio::join!(submit(&under_test), async {
            let (mut end, announced) = store.accept().await;
            assert_eq!(announced, ToStore::ActiveLeases(Vec::new()));
            answer_submit(&mut end, SubmitOutcome::Accepted).await
        });
        assert_eq!(answer, (202, None, "{}".to_owned()));
        let terms = JobTerms {
            route: "r-lots".to_owned(),
            hostname: "h.example".to_owned(),
            run_deadline_ms: 4500,
            queue_ttl_ms: 40_000,
            max_attempts: 2,
            priority: 1,
            single_version: true,
        };
        assert_eq!((job.id.as_str(), &job.terms), ("job", &terms));
        assert_eq!((job.step, job.model.as_str(), job.min_version, job.desired_groups), (7, "daka", 6, 1));
        assert_eq!(job.items[0].body, b"hi");
        assert_eq!(job.items[0].scorer.as_ref().unwrap().id, "s5");
    });
}

#[rstest]
#[case::not_primary(Some(SubmitOutcome::NotPrimary))]
#[case::unknown(Some(SubmitOutcome::Unknown))]
#[case::lost(None)]
fn resubmits_a_job_to_the_new_primary(#[case] first: Option<SubmitOutcome>) {
    run(async move {
        let (under_test, mut old, mut new) =
            (RunnerUnderTest::start(true), FakeStore::start(), FakeStore::start());
        under_test.set_primary(old.address, 1);
        let (answer, ()) = tokio::join!(submit(&under_test), async {
            let (mut end, _) = old.accept().await;
            match first {
                Some(outcome) => drop(answer_submit(&mut end, outcome).await),
                None => {
                    next_call(&mut end).await;
                    end.sender.close();
                }
            }
            under_test.set_primary(new.address, 2);
            let (mut end, _) = new.accept().await;
            answer_submit(&mut end, SubmitOutcome::Accepted).await;
        });
        assert_eq!(answer.0, 202);
    });
}

#[test]
fn a_rejected_job_gets_retry_after() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (answer, _) = tokio::join!(submit(&under_test), async {
            let (mut end, _) = store.accept().await;
            answer_submit(&mut end, SubmitOutcome::Rejected { retry_after_ms: 250 }).await
        });
        assert_eq!(answer, (429, Some("0.250".to_owned()), String::new()));
    });
}

#[test]
fn a_rejection_after_an_uncertain_submission_is_a_gateway_timeout() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (answer, ()) = tokio::join!(submit(&under_test), async {
            let (mut end, _) = store.accept().await;
            answer_submit(&mut end, SubmitOutcome::Unknown).await;
            answer_submit(&mut end, SubmitOutcome::Rejected { retry_after_ms: 250 }).await;
        });
        assert_eq!(answer.0, 504);
    });
}

#[test]
fn a_job_submitted_to_no_store_is_unavailable() {
    run(async {
        let under_test = RunnerUnderTest::start(true);
        tokio::time::pause();
        let answer = submit(&under_test).await;
        assert_eq!((answer.0, answer.1.is_some()), (503, true));
    });
}

#[test]
fn a_job_that_a_store_may_have_accepted_is_a_gateway_timeout() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (mut end, _) = store.accept().await;
        let uncertain_store = async {
            loop {
                answer_submit(&mut end, SubmitOutcome::Unknown).await;
            }
        };
        tokio::time::pause();
        let answer = tokio::select! {
            answer = submit(&under_test) => answer,
            () = uncertain_store => unreachable!("the store answers forever"),
        };
        assert_eq!((answer.0, answer.1), (504, None));
    });
}

#[rstest]
#[case::no_json("{", 400)]
#[case::no_requests("{}", 400)]
#[case::bad_body(r#"{"requests":[{"id":"a","path":"/lot/1","body":"*"}]}"#, 400)]
fn rejects_an_invalid_job_at_once(#[case] body: &'static str, #[case] status: u16) {
    run(async move {
        let under_test = RunnerUnderTest::start(true);
        let configuration = under_test.feed.borrow().configuration().cloned().unwrap();
        let route = configuration.route("h.example", "/lot/1");
        let call = request("POST", "/lot/1", &[("request-id", "job")], body);
        assert_eq!(under_test.runner.answer(route, call).await.status().as_u16(), status);
    });
}

#[test]
fn reads_results_and_retries_after_an_indefinite_answer() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (answer, ()) = tokio::join!(call(&under_test, "GET", "/lots/job?start_after=12"), async {
            let (mut end, _) = store.accept().await;
            let first = next_call(&mut end).await;
            let approved = ToStore::Read {
                call: call_number(&first),
                store_group: store_group_of("job"),
                job: "job".to_owned(),
                start: 12,
                wait_ms: 0,
            };
            assert_eq!(first, approved);
            let indefinite =
                FromStore::Results { call: call_number(&first), answer: JobResponse::Unavailable };
            end.sender.send(&indefinite);
            let second = next_call(&mut end).await;
            let result = ItemResult {
                id: "e5".to_owned(),
                state: ResultState::Completed,
                message: b"a\nb".to_vec(),
                versions: vec![6, 7],
                score: "seal".to_owned(),
            };
            let page = ResultPage { total: 40, start: 12, results: vec![result] };
            let found = FromStore::Results { call: call_number(&second), answer: JobResponse::Found(page) };
            end.sender.send(&found);
        });
        let approved = r#"{"total":40,"next_token":13,"results":[{"id":"e5","state":"completed","message":"a\nb","versions":[6,7],"score":"seal"}]}"#;
        assert_eq!(answer, (200, None, approved.to_owned()));
    });
}

#[rstest]
#[case::read("GET", "/lots/job")]
#[case::end("DELETE", "/lots/job")]
#[case::body("GET", "/items/job?id=e5")]
fn a_job_that_no_store_knows_is_not_found(#[case] method: &'static str, #[case] path: &'static str) {
    run(async move {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (answer, ()) = tokio::join!(call(&under_test, method, path), async {
            let (mut end, _) = store.accept().await;
            let message = next_call(&mut end).await;
            let call = call_number(&message);
            end.sender.send(&match message {
                ToStore::Read { .. } => FromStore::Results { call, answer: JobResponse::NotFound },
                ToStore::End { .. } => FromStore::Ended { call, answer: JobResponse::NotFound },
                _ => FromStore::Body { call, answer: JobResponse::NotFound },
            });
        });
        assert_eq!(answer.0, 404);
    });
}

#[rstest]
#[case::read("GET", "/lots/job")]
#[case::end("DELETE", "/lots/job")]
#[case::body("GET", "/items/job?id=e5")]
fn calls_without_a_store_are_unavailable(#[case] method: &'static str, #[case] path: &'static str) {
    run(async move {
        let under_test = RunnerUnderTest::start(true);
        tokio::time::pause();
        assert_eq!(call(&under_test, method, path).await.0, 503);
    });
}

#[test]
fn ends_a_job_and_reads_the_body_of_an_item() {
    run(async {
        let (under_test, mut store) = (RunnerUnderTest::start(true), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (mut end, _) = store.accept().await;
        let (answer, ()) = tokio::join!(call(&under_test, "DELETE", "/lots/job"), async {
            let call = call_number(&next_call(&mut end).await);
            end.sender.send(&FromStore::Ended { call, answer: JobResponse::Found(true) });
        });
        assert_eq!(answer.0, 200);
        let (answer, ()) = tokio::join!(call(&under_test, "GET", "/items/job?id=e5"), async {
            let message = next_call(&mut end).await;
            assert!(matches!(&message, ToStore::ItemBody { item, .. } if item == "e5"));
            let answer = JobResponse::Found(b"hi".to_vec());
            end.sender.send(&FromStore::Body { call: call_number(&message), answer });
        });
        assert_eq!((answer.0, answer.2.as_str()), (200, "hi"));
    });
}
