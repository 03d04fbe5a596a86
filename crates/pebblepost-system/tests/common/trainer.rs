//! The trainer: submits a batch job, reads its results and ends it.

use super::client::{Answer, Call, send};
use super::operator::{HOST, LOTS, MODEL, SCORES};
use super::transcriber::{EVENTS, Transcriber, text_of};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use simd_json::prelude::{ValueAsArray, ValueAsScalar, ValueObjectAccess, Writable};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(100);
/// A job that was just accepted may be unknown elsewhere for so long.
const SETTLE: Duration = Duration::from_secs(1);

/// A result as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultRead {
    pub id: String,
    pub state: String,
    pub message: String,
    pub versions: Vec<u64>,
    pub score: String,
    /// The result as it came.
    pub whole: String,
}

/// A batch job.
#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    pub min_version: u64,
    /// Results read so far, by position.
    pub read: Vec<ResultRead>,
    body: String,
    accepted_at: Instant,
}

impl Job {
    /// A job of `groups` groups with `samples` items each.
    pub fn new(id: &str, step: u64, min_version: u64, groups: usize, samples: usize) -> Job {
        let mut items = Vec::new();
        let mut requests = Vec::new();
        for group in 0..groups {
            for sample in 0..samples {
                let item = format!("{id}{group:02x}{sample:02x}");
                requests.push(item_json(&item, &format!("g-{id}-{group}")));
                items.push(item);
            }
        }
        let body = format!(
            r#"{{"step":{step},"model":"{MODEL}","min_version":{min_version},"desired":{groups},"requests":[{}]}}"#,
            requests.join(",")
        );
        let read = Vec::new();
        Job { id: id.to_owned(), items, min_version, read, body, accepted_at: Instant::now() }
    }

    /// Sends the job to one edge machine after the other until it is accepted.
    pub async fn submit(&mut self, fronts: &[SocketAddr], most: Duration) {
        let call = Call::new("POST", format!("{LOTS}{}", self.id))
            .header("Host", HOST)
            .header("Request-Id", self.id.clone())
            .header("Content-Type", "application/json")
            .body(self.body.clone());
        self.call_until(fronts, &call, 202, most).await;
        self.accepted_at = Instant::now();
    }

    /// Reads on until all results are there, or as many as `wanted`.
    pub async fn read_until(&mut self, fronts: &[SocketAddr], wanted: usize, most: Duration) {
        let deadline = Instant::now() + most;
        let mut turn = 0;
        while self.read.len() < wanted {
            let got = self.read.len();
            assert!(Instant::now() < deadline, "job {}: {got} of {wanted} results within {most:?}", self.id);
            let front = fronts[turn % fronts.len()];
            turn += 1;
            let start = self.read.len();
            match self.read_page(front, start).await {
                Some(page) => self.read.extend(page),
                None => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    /// Reads everything again from the start at every edge machine; nothing may have changed.
    pub async fn assert_unchanged(&self, fronts: &[SocketAddr], most: Duration) {
        for front in fronts {
            let deadline = Instant::now() + most;
            let mut again = Vec::new();
            while again.len() < self.read.len() {
                assert!(Instant::now() < deadline, "job {} can't be read again at {front}", self.id);
                match self.read_page(*front, again.len()).await {
                    Some(page) => again.extend(page),
                    None => tokio::time::sleep(PAUSE).await,
                }
            }
            assert_eq!(again, self.read, "job {} reads differently at {front}", self.id);
        }
    }

    /// One page of results from a position on; `None` if this edge machine can't be sure now.
    async fn read_page(&self, front: SocketAddr, start: usize) -> Option<Vec<ResultRead>> {
        let call = Call::new("GET", format!("/lots/{}?start_after={start}", self.id))
            .header("Host", HOST)
            .header("Wait-Ms", "500");
        let answer = send(front, &call).await.ok()?;
        let is_settled = self.accepted_at.elapsed() > SETTLE;
        assert!(answer.status != 404 || !is_settled, "{front} says that job {} does not exist", self.id);
        if answer.status != 200 {
            return None;
        }
        let value = answer.json();
        let results: Vec<ResultRead> =
            value.get("results").and_then(|results| results.as_array())?.iter().map(read_result).collect();
        let total = value.get("total").and_then(|total| total.as_u64());
        assert_eq!(total, Some(self.items.len() as u64), "total of job {}", self.id);
        let next = value.get("next_token").and_then(|next| next.as_u64());
        assert_eq!(next, Some((start + results.len()) as u64), "next_token of job {}", self.id);
        Some(results)
    }

    /// Checks all results against what the transcribers ran.
    pub fn assert_correct(&self, model: &[Transcriber], desk: &[Transcriber]) {
        let mut listed: Vec<&str> = self.read.iter().map(|result| result.id.as_str()).collect();
        listed.sort_unstable();
        let mut expected: Vec<&str> = self.items.iter().map(String::as_str).collect();
        expected.sort_unstable();
        assert_eq!(listed, expected, "the items of job {}", self.id);
        for result in &self.read {
            assert_eq!(result.state, "completed", "{result:?}");
            assert_eq!(result.message, text_of(&result.id), "{result:?}");
            assert_eq!(result.versions.len(), 1, "one version a text: {result:?}");
            assert!(result.versions[0] >= self.min_version, "{result:?}");
            assert_run_as_sent(result, model);
            assert_scored(result, model, desk);
        }
    }

    /// Ends the job.
    pub async fn end(&self, fronts: &[SocketAddr], most: Duration) {
        let call = Call::new("DELETE", format!("/lots/{}", self.id)).header("Host", HOST);
        self.call_until(fronts, &call, 200, most).await;
    }

    /// The body of an item, as long as it is not listed.
    pub async fn item_body(&self, front: SocketAddr, item: &str) -> Result<Answer, String> {
        send(front, &Call::new("GET", format!("/items/{}?id={item}", self.id)).header("Host", HOST)).await
    }

    async fn call_until(&self, fronts: &[SocketAddr], call: &Call, wanted: u16, most: Duration) {
        let deadline = Instant::now() + most;
        let mut last = String::new();
        let mut turn = 0;
        loop {
            let (method, path) = (call.method, &call.path);
            assert!(Instant::now() < deadline, "{method} {path}: not within {most:?}; {last}");
            match send(fronts[turn % fronts.len()], call).await {
                Ok(answer) if answer.status == wanted => return,
                Ok(answer) => last = format!("{} {}", answer.status, answer.text()),
                Err(error) => last = error,
            }
            turn += 1;
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Body of an item's request.
pub fn item_body(item: &str) -> Vec<u8> {
    format!("prompt of {item}").into_bytes()
}

fn item_json(item: &str, group: &str) -> String {
    let body = STANDARD.encode(item_body(item));
    let score_body = STANDARD.encode(format!("score {item}"));
    format!(
        r#"{{"id":"{item}","path":"{LOTS}run/{item}","headers":{{"Model":"{MODEL}","Token-Counts":"271,50","Prompt-Prefix":"9c2e41:255,{:x}:16"}},"body":"{body}","tokens":321,"group":"{group}","scorer":{{"id":"s{item}","hostname":"{HOST}","path":"{SCORES}{item}","body":"{score_body}"}}}}"#,
        item.bytes().fold(7u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)))
    )
}

fn read_result(value: &simd_json::OwnedValue) -> ResultRead {
    let text = |name: &str| value.get(name).and_then(|text| text.as_str()).unwrap_or_default().to_owned();
    let versions = value.get("versions").and_then(|versions| versions.as_array());
    ResultRead {
        id: text("id"),
        state: text("state"),
        message: text("message"),
        versions: versions.into_iter().flatten().filter_map(|version| version.as_u64()).collect(),
        score: text("score"),
        whole: value.encode(),
    }
}

/// Every run of an item had the path and body that were sent, and went on after an event that exists.
fn assert_run_as_sent(result: &ResultRead, model: &[Transcriber]) {
    for transcriber in model {
        let state = transcriber.state.borrow();
        for run in state.runs.iter().filter(|run| run.request_id == result.id) {
            assert_eq!(run.path, format!("{LOTS}run/{}", result.id));
            assert_eq!(run.body, item_body(&result.id));
            assert!(run.last_event_id < EVENTS, "{run:?}");
        }
    }
}

/// The score is the seal of a call that reached its transcriber after the text's last event.
fn assert_scored(result: &ResultRead, model: &[Transcriber], desk: &[Transcriber]) {
    let scorer = format!("s{}", result.id);
    let scored_at = desk.iter().find_map(|transcriber| {
        let state = transcriber.state.borrow();
        state.runs.iter().find(|run| run.request_id == scorer && run.seal == result.score).map(|run| run.at)
    });
    let scored_at = scored_at.unwrap_or_else(|| panic!("no call gave this score: {result:?}"));
    let first_whole = model.iter().filter_map(|transcriber| {
        let state = transcriber.state.borrow();
        state.runs.iter().filter(|run| run.request_id == result.id).filter_map(|run| run.finished_at).min()
    });
    let first_whole = first_whole.min().unwrap_or_else(|| panic!("no text was whole: {result:?}"));
    assert!(scored_at >= first_whole, "scored before the text was whole: {result:?}");
}
