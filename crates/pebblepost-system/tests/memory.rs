//! End-to-end tests that no process exceeds its memory, whatever jobs it gets.

#[expect(dead_code, reason = "each test binary uses a part of the fakes")]
mod common;

use bytes::Bytes;
use common::client::{ApiRequest, send_within};
use common::cluster::{Cluster, ClusterSize};
use common::operator::{self, HOST, JOBS};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::spawn_local;

/// Longest wait for a step.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for the answer to a job.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a restarted store is given to catch up with the others.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);
/// Size of a job, just below `max_body_bytes`.
const JOB_BYTES: usize = 32_400_000;

/// Lets only one cluster run at a time, because the tests share the machine's processors.
fn lock_cluster() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Size of a job of which a store has room for two, in bytes.
const SMALLER_JOB_BYTES: usize = 25_000_000;

/// Returns a job with as many items as fit.
fn job_of(item: impl Fn(usize) -> String) -> String {
    job_of_size(JOB_BYTES, item)
}

/// Returns a job of this size at most, with as many items as fit.
fn job_of_size(job_bytes: usize, item: impl Fn(usize) -> String) -> String {
    let mut text = r#"{"step":0,"model":"model-a","min_version":1,"requests":["#.to_owned();
    for number in 0.. {
        let item = item(number);
        if text.len() + item.len() + 3 > job_bytes {
            break;
        }
        if number > 0 {
            text.push(',');
        }
        text.push_str(&item);
    }
    text + "]}"
}

fn many_small_items() -> String {
    job_of(|number| {
        format!(
            r#"{{"id": "0-{number:06x}", "path": "{JOBS}0/{number:04x}", "headers": {{"Model": "model-a", "Token-Counts": "16,20", "Prompt-Prefix": "9c2e41:255,{number:x}:16"}}, "body": "cGVybWl0", "tokens": 300, "group": "g{}"}}"#,
            number / 4
        )
    })
}

fn smallest_items() -> String {
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"/"}}"#))
}

fn long_headers() -> String {
    job_of(item_with_long_header)
}

/// Returns a job that fits the memory of a proxy, but not that of a store.
fn many_small_items_of_little_text() -> String {
    job_of(|number| {
        format!(r#"{{"id":"{number:x}","path":"{JOBS}a","headers":{{"notes":"{}"}}}}"#, "n".repeat(600))
    })
}

fn smaller_with_long_headers() -> String {
    job_of_size(SMALLER_JOB_BYTES, item_with_long_header)
}

fn item_with_long_header(number: usize) -> String {
    let notes = "n".repeat(100_000);
    format!(r#"{{"id":"{number:x}","path":"{JOBS}a","headers":{{"notes":"{notes}"}}}}"#)
}

fn many_headers() -> String {
    let headers: Vec<String> = (0..1000).map(|number| format!(r#""h{number:x}":"""#)).collect();
    let headers = headers.join(",");
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"{JOBS}a","headers":{{{headers}}}}}"#))
}

fn large_bodies() -> String {
    let body = "cGVybWl0".repeat(800);
    job_of(|number| format!(r#"{{"id":"{number:x}","path":"{JOBS}a","body":"{body}"}}"#))
}

/// Submits a job and returns the status of the last answer. After a 504, which promises nothing, the same job is sent
/// again at the other proxy, as trainers do.
async fn submit(mut fronts: Vec<SocketAddr>, id: String, body: Bytes) -> u16 {
    const MAX_SENDS: usize = 4;
    let mut status = 0;
    for _ in 0..MAX_SENDS {
        status = submit_once(fronts[0], &id, body.clone()).await;
        if status != 504 {
            break;
        }
        fronts.rotate_left(1);
    }
    status
}

async fn submit_once(front: SocketAddr, id: &str, body: Bytes) -> u16 {
    let call = ApiRequest::new("POST", format!("{JOBS}0"))
        .header("Host", HOST)
        .header("Request-Id", id.to_owned())
        .body(body);
    let response = send_within(front, &call, JOB_TIMEOUT).await;
    let status = response.unwrap_or_else(|error| panic!("{id}: {error}")).status;
    println!("{id} at {front}: {status}");
    status
}

/// How the jobs of a case are sent.
#[derive(Clone, Copy)]
struct Submissions {
    job: fn() -> String,
    /// Whether the stores have room for at least one.
    has_room: bool,
    jobs_at_once: usize,
    proxies: u8,
}

/// Submits jobs, restarts all stores, and asserts that no process exceeded its memory.
fn check_memory(cluster_number: u8, submissions: Submissions) {
    const JOBS: usize = 4;
    const STORES: u8 = 3;
    let _lock = lock_cluster();
    let Submissions { job, has_room, jobs_at_once, proxies } = submissions;
    let body = Bytes::from(job());
    common::run(async {
        let size = ClusterSize { controls: 3, stores: STORES, edges: proxies };
        let mut cluster = Cluster::start(cluster_number, size).await;
        let configuration = operator::configuration(1, false);
        operator::put_configuration(&cluster.controls(), 0, &configuration, TIMEOUT).await;
        cluster.wait_until_ready().await;
        let mut accepted = 0;
        for round in 0..JOBS.div_ceil(jobs_at_once) {
            accepted += submit_at_once(&cluster, round, jobs_at_once, &body).await;
            cluster.assert_running();
            cluster.assert_memory_within_limits();
        }
        assert_eq!(accepted > 0, has_room, "{accepted} jobs were accepted");
        for number in 0..usize::from(STORES) {
            let store = cluster.kill_store(number);
            cluster.restart_store(store, TIMEOUT).await;
            tokio::time::sleep(CATCH_UP_TIME).await;
        }
        cluster.assert_running();
        cluster.assert_memory_within_limits();
        cluster.shut_down().await;
    });
}

/// Submits jobs at the same time, at one proxy after the other, and returns how many were accepted.
async fn submit_at_once(cluster: &Cluster, round: usize, count: usize, body: &Bytes) -> usize {
    let submissions: Vec<_> = (0..count)
        .map(|number| {
            let mut fronts = cluster.fronts();
            let first = number % fronts.len();
            fronts.rotate_left(first);
            spawn_local(submit(fronts, format!("job-{round}-{number}"), body.clone()))
        })
        .collect();
    let mut accepted = 0;
    for submission in submissions {
        let status = submission.await.expect("an answer");
        assert!([202, 429, 503, 504].contains(&status), "status {status}");
        accepted += usize::from(status == 202);
    }
    accepted
}

/// Guards against: a job within `max_body_bytes` that makes a proxy or a store exceed its memory, at once or when the
/// store starts again; and a refusal by another status than 429, 503 or 504.
#[rstest]
#[case::many_small_items(1, many_small_items, false)]
#[case::smallest_items(2, smallest_items, false)]
#[case::long_headers(3, long_headers, true)]
#[case::many_headers(4, many_headers, false)]
#[case::large_bodies(5, large_bodies, true)]
fn a_job_within_the_limits_leaves_all_processes_within_their_memory(
    #[case] cluster_number: u8, #[case] job: fn() -> String, #[case] has_room: bool,
) {
    check_memory(cluster_number, Submissions { job, has_room, jobs_at_once: 1, proxies: 2 });
}

/// Guards against: several such jobs at the same time.
#[rstest]
#[case::many_small_items(11, many_small_items, false)]
#[case::smallest_items(12, smallest_items, false)]
#[case::many_headers(13, many_headers, false)]
#[case::large_bodies(14, large_bodies, true)]
fn jobs_at_once_leave_all_processes_within_their_memory(
    #[case] cluster_number: u8, #[case] job: fn() -> String, #[case] has_room: bool,
) {
    check_memory(cluster_number, Submissions { job, has_room, jobs_at_once: 4, proxies: 2 });
}

/// Guards against: stores that each accept a job, so that their replicas together exceed the memory of a third one.
#[test]
fn jobs_with_long_headers_at_once_leave_all_stores_within_their_memory() {
    check_memory(15, Submissions { job: long_headers, has_room: true, jobs_at_once: 4, proxies: 2 });
}

/// Guards against: proxies that each send a job to the same store, which receives all of them at once.
#[rstest]
#[case::that_fit_once(17, long_headers, true)]
#[case::that_do_not_fit(18, many_small_items_of_little_text, false)]
fn jobs_of_many_proxies_at_once_leave_all_stores_within_their_memory(
    #[case] cluster_number: u8, #[case] job: fn() -> String, #[case] has_room: bool,
) {
    check_memory(cluster_number, Submissions { job, has_room, jobs_at_once: 6, proxies: 6 });
}

/// Guards against: jobs for which a store has room once they are stored, but not while it accepts them together.
#[test]
fn jobs_that_are_accepted_together_leave_all_stores_within_their_memory() {
    check_memory(
        16,
        Submissions { job: smaller_with_long_headers, has_room: true, jobs_at_once: 4, proxies: 2 },
    );
}
