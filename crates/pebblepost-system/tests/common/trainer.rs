//! The trainer, which submits batch jobs, reads and checks their results, and ends them.

use super::client::{ApiRequest, ApiResponse, RequestError, send};
use super::operator::{HOST, JOBS, MODEL, SCORES};
use super::transcriber::{EVENTS_PER_STREAM, Transcriber, complete_text};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use simd_json::prelude::{ValueAsArray, ValueAsScalar, ValueObjectAccess, Writable};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after the acceptance of a job during which other edge machines may not know it yet.
const JOB_PROPAGATION_MAX: Duration = Duration::from_secs(1);

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    pub id: String,
    pub state: String,
    pub message: String,
    pub versions: Vec<u64>,
    pub score: String,
    /// The whole result as JSON.
    pub json: String,
}

/// Bytes that are added to the bodies of a job's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Padding {
    /// To the body of each item.
    pub item_bytes: usize,
    /// To the body of each request to a scorer.
    pub score_bytes: usize,
}

/// A batch job.
#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    pub min_version: u64,
    /// Results read so far, by position.
    pub results: Vec<JobResult>,
    body: String,
    accepted_at: Instant,
}

impl Job {
    /// Creates a job with `groups` groups of `samples` items each.
    pub fn new(id: &str, step: u64, min_version: u64, groups: usize, samples: usize) -> Job {
        Job::with_padding(id, step, min_version, groups, samples, Padding::default())
    }

    /// Creates a job whose requests have longer bodies.
    pub fn with_padding(
        id: &str, step: u64, min_version: u64, groups: usize, samples: usize, padding: Padding,
    ) -> Job {
        let mut items = Vec::new();
        let mut requests = Vec::new();
        for group in 0..groups {
            for sample in 0..samples {
                let item = format!("{id}{group:02x}{sample:02x}");
                requests.push(item_json(&item, &format!("g-{id}-{group}"), padding));
                items.push(item);
            }
        }
        let body = format!(
            r#"{{"step":{step},"model":"{MODEL}","min_version":{min_version},"desired":{groups},"requests":[{}]}}"#,
            requests.join(",")
        );
        let results = Vec::new();
        Job { id: id.to_owned(), items, min_version, results, body, accepted_at: Instant::now() }
    }

    /// Submits the job to one edge machine after the other until one accepts it.
    pub async fn submit(&mut self, fronts: &[SocketAddr], timeout: Duration) {
        let call = ApiRequest::new("POST", format!("{JOBS}{}", self.id))
            .header("Host", HOST)
            .header("Request-Id", self.id.clone())
            .header("Content-Type", "application/json")
            .body(self.body.clone());
        self.send_until_status(fronts, &call, 202, timeout).await;
        self.accepted_at = Instant::now();
    }

    /// Reads further results until there are `wanted`.
    pub async fn read_until(&mut self, fronts: &[SocketAddr], wanted: usize, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut attempt = 0;
        while self.results.len() < wanted {
            let got = self.results.len();
            assert!(
                Instant::now() < deadline,
                "job {}: {got} of {wanted} results within {timeout:?}",
                self.id
            );
            let front = fronts[attempt % fronts.len()];
            attempt += 1;
            let start = self.results.len();
            match self.read_page(front, start).await {
                Some(page) => self.results.extend(page),
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads all results again from every edge machine and asserts that they are the same.
    pub async fn assert_unchanged(&self, fronts: &[SocketAddr], timeout: Duration) {
        for front in fronts {
            let deadline = Instant::now() + timeout;
            let mut again = Vec::new();
            while again.len() < self.results.len() {
                assert!(Instant::now() < deadline, "job {} can't be read again at {front}", self.id);
                match self.read_page(*front, again.len()).await {
                    Some(page) => again.extend(page),
                    None => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
            assert_eq!(again, self.results, "job {} has other results at {front}", self.id);
        }
    }

    /// Reads the results from a position on. Returns `None` if the edge machine does not respond or responds
    /// with an error. Fails the test if the job is unknown after [`JOB_PROPAGATION_MAX`].
    async fn read_page(&self, front: SocketAddr, start: usize) -> Option<Vec<JobResult>> {
        let call = ApiRequest::new("GET", format!("/lots/{}?start_after={start}", self.id))
            .header("Host", HOST)
            .header("Wait-Ms", "500");
        let response = send(front, &call).await.ok()?;
        let has_propagated = self.accepted_at.elapsed() > JOB_PROPAGATION_MAX;
        assert!(
            response.status != 404 || !has_propagated,
            "{front} responds that job {} does not exist",
            self.id
        );
        if response.status != 200 {
            return None;
        }
        let value = response.json();
        let results: Vec<JobResult> =
            value.get("results").and_then(|results| results.as_array())?.iter().map(parse_result).collect();
        let total = value.get("total").and_then(|total| total.as_u64());
        assert_eq!(total, Some(self.items.len() as u64), "total of job {}", self.id);
        let next = value.get("next_token").and_then(|next| next.as_u64());
        assert_eq!(next, Some((start + results.len()) as u64), "next_token of job {}", self.id);
        Some(results)
    }

    /// Checks all results against the requests that the transcribers executed.
    pub fn assert_correct(&self, model: &[Transcriber], page: &[Transcriber]) {
        let mut listed: Vec<&str> = self.results.iter().map(|result| result.id.as_str()).collect();
        listed.sort_unstable();
        let mut expected: Vec<&str> = self.items.iter().map(String::as_str).collect();
        expected.sort_unstable();
        assert_eq!(listed, expected, "the items of job {}", self.id);
        for result in &self.results {
            assert_eq!(result.state, "completed", "{result:?}");
            assert_eq!(result.message, complete_text(&result.id), "{result:?}");
            assert_eq!(result.versions.len(), 1, "a result has one weight version: {result:?}");
            assert!(result.versions[0] >= self.min_version, "{result:?}");
            assert_executed_as_sent(result, model);
            assert_scored(result, model, page);
        }
    }

    /// Ends the job. Ending a job that has ended succeeds as well.
    pub async fn end(&self, fronts: &[SocketAddr], timeout: Duration) {
        let call = ApiRequest::new("DELETE", format!("/lots/{}", self.id)).header("Host", HOST);
        self.send_until_status(fronts, &call, 200, timeout).await;
    }

    /// Reads the body of an item, which is available until the item has a result.
    pub async fn fetch_item_body(&self, front: SocketAddr, item: &str) -> Result<ApiResponse, RequestError> {
        send(front, &ApiRequest::new("GET", format!("/items/{}?id={item}", self.id)).header("Host", HOST))
            .await
    }

    /// Sends a request to one edge machine after the other until a response has the wanted status.
    async fn send_until_status(
        &self, fronts: &[SocketAddr], call: &ApiRequest, wanted: u16, timeout: Duration,
    ) {
        let deadline = Instant::now() + timeout;
        let mut last_failure = String::new();
        let mut attempt = 0;
        loop {
            let (method, path) = (call.method, &call.path);
            assert!(
                Instant::now() < deadline,
                "{method} {path}: no status {wanted} within {timeout:?}; {last_failure}"
            );
            match send(fronts[attempt % fronts.len()], call).await {
                Ok(response) if response.status == wanted => return,
                Ok(response) => last_failure = format!("{} {}", response.status, response.text()),
                Err(error) => last_failure = error.to_string(),
            }
            attempt += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns the body of an item's request.
pub fn item_body(item: &str) -> Vec<u8> {
    format!("prompt of {item}").into_bytes()
}

fn item_json(item: &str, group: &str, padding: Padding) -> String {
    let body = STANDARD.encode([item_body(item), vec![b'b'; padding.item_bytes]].concat());
    let score_body = STANDARD.encode(format!("score {item}{}", "s".repeat(padding.score_bytes)));
    format!(
        r#"{{"id":"{item}","path":"{JOBS}run/{item}","headers":{{"Model":"{MODEL}","Token-Counts":"271,50","Prompt-Prefix":"9c2e41:255,{:x}:16"}},"body":"{body}","tokens":321,"group":"{group}","scorer":{{"id":"s{item}","hostname":"{HOST}","path":"{SCORES}{item}","body":"{score_body}"}}}}"#,
        item.bytes().fold(7u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)))
    )
}

fn parse_result(value: &simd_json::OwnedValue) -> JobResult {
    let text = |name: &str| value.get(name).and_then(|text| text.as_str()).unwrap_or_default().to_owned();
    let versions = value.get("versions").and_then(|versions| versions.as_array());
    JobResult {
        id: text("id"),
        state: text("state"),
        message: text("message"),
        versions: versions.into_iter().flatten().filter_map(|version| version.as_u64()).collect(),
        score: text("score"),
        json: value.encode(),
    }
}

/// Asserts that every execution of an item had the path and body that were sent, and resumed after an event
/// that exists.
fn assert_executed_as_sent(result: &JobResult, model: &[Transcriber]) {
    for transcriber in model {
        let state = transcriber.state.borrow();
        for execution in state.executions.iter().filter(|execution| execution.request_id == result.id) {
            assert_eq!(execution.path, format!("{JOBS}run/{}", result.id));
            assert_eq!(execution.body, item_body(&result.id));
            assert!(execution.last_event_id < EVENTS_PER_STREAM, "{execution:?}");
        }
    }
}

/// Asserts that the score is the seal of a request that reached its transcriber after the last event of the
/// item's stream.
fn assert_scored(result: &JobResult, model: &[Transcriber], page: &[Transcriber]) {
    let scorer = format!("s{}", result.id);
    let scored_at = page.iter().find_map(|transcriber| {
        let state = transcriber.state.borrow();
        state
            .executions
            .iter()
            .find(|execution| execution.request_id == scorer && execution.seal == result.score)
            .map(|execution| execution.received_at)
    });
    let scored_at = scored_at.unwrap_or_else(|| panic!("no request to a scorer has this score: {result:?}"));
    let first_complete = model.iter().filter_map(|transcriber| {
        let state = transcriber.state.borrow();
        state
            .executions
            .iter()
            .filter(|execution| execution.request_id == result.id)
            .filter_map(|execution| execution.finished_at)
            .min()
    });
    let first_complete =
        first_complete.min().unwrap_or_else(|| panic!("no stream of the item was complete: {result:?}"));
    assert!(scored_at >= first_complete, "scored before the stream was complete: {result:?}");
}
