//! End-to-end tests with processes of all roles: a configuration, requests, batch jobs and a weight version.

#[expect(dead_code, reason = "each test binary uses a part of the fakes")]
mod common;
mod soak;

use common::client::{ApiRequest, send};
use common::cluster::{Cluster, ClusterSize};
use common::operator::{self, HOST, MODEL, MODEL_SERVICE, MORE_PAGES, PAGE_SERVICE, PAGES};
use common::settings::ZONES;
use common::trainer::{Job, Padding, item_body};
use common::transcriber::Transcriber;
use common::wait_for;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait for a step while all processes run.
const NO_FAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a step while processes are down.
const FAULT_TIMEOUT: Duration = Duration::from_secs(25);
/// `bounds.lease_ms` in the settings of [`common::settings`].
const LEASE: Duration = Duration::from_secs(1);
const MODEL_TRANSCRIBERS: usize = 3;
const PAGE_TRANSCRIBERS: usize = 2;

static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// Lets only one cluster run at a time, because the tests share the machine's processors.
fn lock_cluster() -> MutexGuard<'static, ()> {
    CLUSTER_LOCK.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Prints the duration of each step of a test.
struct StepTimer(Instant);

impl StepTimer {
    fn start() -> StepTimer {
        StepTimer(Instant::now())
    }

    fn finish_step(&mut self, step: &str) {
        println!("{:>7.3} s  {step}", self.0.elapsed().as_secs_f64());
        self.0 = Instant::now();
    }
}

/// The fake transcribers of both services.
struct Transcribers {
    model: Vec<Transcriber>,
    page: Vec<Transcriber>,
}

impl Transcribers {
    async fn start(controls: &[SocketAddr]) -> Transcribers {
        let mut transcribers = Transcribers { model: Vec::new(), page: Vec::new() };
        for number in 0..MODEL_TRANSCRIBERS {
            let (id, zone) = (format!("i-lm-{number}"), ZONES[number % ZONES.len()]);
            let started = Transcriber::start(id, MODEL_SERVICE, zone, &[MODEL], controls.to_vec()).await;
            transcribers.model.push(started);
        }
        for number in 0..PAGE_TRANSCRIBERS {
            let (id, zone) = (format!("i-page-{number}"), ZONES[number % ZONES.len()]);
            let started = Transcriber::start(id, PAGE_SERVICE, zone, &[], controls.to_vec()).await;
            transcribers.page.push(started);
        }
        transcribers
    }

    async fn wait_until_registered(&self, timeout: Duration) {
        let all: Vec<&Transcriber> = self.model.iter().chain(&self.page).collect();
        wait_for("all transcribers are registered", timeout, || {
            all.iter().all(|transcriber| transcriber.state.borrow().acknowledged > 0)
        })
        .await;
    }

    async fn wait_until_loaded(&self, generation: u64, timeout: Duration) {
        let condition = format!("all transcribers have loaded version {generation}");
        wait_for(&condition, timeout, || {
            self.model.iter().all(|transcriber| transcriber.generation() == generation)
        })
        .await;
    }

    fn assert_no_violations(&self) {
        for transcriber in self.model.iter().chain(&self.page) {
            let state = transcriber.state.borrow();
            assert!(state.violations.is_empty(), "{}: {:?}", state.id, state.violations);
        }
    }

    /// Asserts for each transcriber that the fencing tokens of its load orders never decrease, that a token
    /// has only one holder, that the orders of two holders are at least `lease_ms` apart, and that no
    /// version is loaded twice.
    fn assert_orders_are_fenced(&self) {
        for transcriber in &self.model {
            let state = transcriber.state.borrow();
            for pair in state.orders.windows(2) {
                assert!(pair[0].fence_token <= pair[1].fence_token, "{}: {pair:?}", state.id);
                let same_holder = pair[0].holder == pair[1].holder;
                let interval = pair[1].received_at - pair[0].received_at;
                let is_valid_handover = pair[0].fence_token < pair[1].fence_token && interval >= LEASE;
                assert!(same_holder || is_valid_handover, "{}: {pair:?}", state.id);
            }
            let mut loads: Vec<u64> = state
                .orders
                .iter()
                .filter(|order| order.status == 202)
                .map(|order| order.generation)
                .collect();
            let accepted = loads.len();
            loads.dedup();
            assert_eq!(loads.len(), accepted, "{}: a version was loaded twice: {:?}", state.id, state.orders);
        }
    }
}

impl Drop for Transcribers {
    /// Prints what the transcribers have received if the test failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            for transcriber in self.model.iter().chain(&self.page) {
                println!("{}", transcriber.state.borrow().summary());
            }
        }
    }
}

/// Retries a page request at one proxy after the other until it succeeds, and checks the response.
async fn fetch_page(
    fronts: &[SocketAddr], transcribers: &Transcribers, prefix: &str, name: &str, timeout: Duration,
) {
    let deadline = Instant::now() + timeout;
    let mut last_failure = String::new();
    for attempt in 0.. {
        assert!(Instant::now() < deadline, "{prefix}{name}: not served within {timeout:?}; {last_failure}");
        let request_id = format!("{name}{attempt:04x}");
        let call = ApiRequest::new("POST", format!("{prefix}{name}"))
            .header("Host", HOST)
            .header("Request-Id", request_id.clone())
            .header("Deadline-Ms", "2000")
            .body(format!("body of {name}"));
        match send(fronts[attempt % fronts.len()], &call).await {
            Ok(response) if response.status == 200 => {
                assert_eq!(response.header("request-id"), Some(request_id.as_str()));
                assert_eq!(response.text(), format!("response to {prefix}{name}"));
                return assert_executed(transcribers, &request_id, &call, response.header("response-seal"));
            }
            Ok(response) => last_failure = format!("{} {}", response.status, response.text()),
            Err(error) => last_failure = error.to_string(),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that a transcriber of the page service executed the request with its path and body, and sent this
/// seal.
fn assert_executed(transcribers: &Transcribers, request_id: &str, call: &ApiRequest, seal: Option<&str>) {
    let is_executed = transcribers.page.iter().any(|transcriber| {
        let state = transcriber.state.borrow();
        state.executions.iter().any(|execution| {
            let is_unchanged = execution.path == call.path && execution.body == call.body;
            execution.request_id == request_id && is_unchanged && Some(execution.seal.as_str()) == seal
        })
    });
    assert!(is_executed, "no transcriber executed {request_id} and sent the seal {seal:?}");
}

/// Runs an operator's command and returns the JSON that it prints.
fn run_operator_command(cluster: &Cluster, command: &str) -> String {
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_pebblepost-system"));
    program.args([command, "--json"]);
    for link in cluster.links() {
        program.args(["--link", &link.to_string()]);
    }
    let output = program.output().expect("the program starts");
    assert!(output.status.success(), "{command}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text").trim().to_owned()
}

/// Starts a system with its first configuration and known transcribers.
async fn start(number: u8) -> (Cluster, Transcribers) {
    let mut cluster = Cluster::start(number, ClusterSize { controls: 3, stores: 3, edges: 2 }).await;
    let controls = cluster.controls();
    let transcribers = Transcribers::start(&controls).await;
    let first = operator::configuration(1, false);
    let response = operator::put_configuration(&controls, 0, &first, NO_FAULT_TIMEOUT).await;
    assert_eq!(response.status, 200, "the first configuration: {}", response.text());
    transcribers.wait_until_registered(NO_FAULT_TIMEOUT).await;
    cluster.wait_until_ready().await;
    (cluster, transcribers)
}

#[test]
fn serves_requests_batch_jobs_and_version_changes_end_to_end() {
    let _lock = lock_cluster();
    common::run(async {
        let mut timer = StepTimer::start();
        let (mut cluster, transcribers) = start(0).await;
        timer.finish_step("started, with a first configuration and registered transcribers");
        let (controls, fronts) = (cluster.controls(), cluster.fronts());
        let read = operator::read_configuration(&controls, NO_FAULT_TIMEOUT).await;
        let sent =
            simd_json::to_owned_value(&mut operator::configuration(1, false).into_bytes()).expect("JSON");
        assert_eq!(read.json(), sent);
        for (number, front) in fronts.iter().enumerate() {
            fetch_page(&[*front], &transcribers, PAGES, &format!("a{number}"), NO_FAULT_TIMEOUT).await;
        }
        timer.finish_step("configuration read back, a page served by each edge machine");

        let mut job = Job::new("0a0b0c0d", 0, 1, 4, 4);
        job.submit(&fronts, NO_FAULT_TIMEOUT).await;
        job.submit(&fronts, NO_FAULT_TIMEOUT).await;
        let all = job.items.len();
        job.read_until(&fronts, all, NO_FAULT_TIMEOUT).await;
        job.assert_correct(&transcribers.model, &transcribers.page);
        job.assert_unchanged(&fronts, NO_FAULT_TIMEOUT).await;
        job.end(&fronts, NO_FAULT_TIMEOUT).await;
        job.end(&fronts, NO_FAULT_TIMEOUT).await;
        timer.finish_step("a batch job of 16 items completed and ended");

        operator::name_version(&controls, 2, NO_FAULT_TIMEOUT).await;
        timer.finish_step("version 2 named");
        transcribers.wait_until_loaded(2, NO_FAULT_TIMEOUT).await;
        timer.finish_step("version 2 loaded by all transcribers");
        assert_eq!(
            run_operator_command(&cluster, "versions"),
            format!(r#"[{{"model":"{MODEL}","generation":2}}]"#)
        );
        assert!(run_operator_command(&cluster, "status").contains(r#""role":"primary""#));
        let mut next = Job::new("1a1b1c1d", 1, 2, 2, 4);
        next.submit(&fronts, NO_FAULT_TIMEOUT).await;
        let all = next.items.len();
        next.read_until(&fronts, all, NO_FAULT_TIMEOUT).await;
        next.assert_correct(&transcribers.model, &transcribers.page);
        next.end(&fronts, NO_FAULT_TIMEOUT).await;
        timer.finish_step("a batch job of 8 items under version 2 completed and ended");

        transcribers.assert_orders_are_fenced();
        transcribers.assert_no_violations();
        cluster.assert_running();
        cluster.shut_down().await;
        timer.finish_step("all processes ended");
    });
}

/// Guards against: a job that stands still because the response to a request for work is too large for its link
/// (`docs/incidents/a-job-that-its-store-could-not-send.md`). Proxies that have just started request most.
#[test]
fn a_large_job_is_completed_although_all_proxies_are_killed() {
    /// The items that one proxy requests have 18 million bytes; its link may queue 16 MiB.
    const PADDING: Padding = Padding { item_bytes: 0, score_bytes: 1_150_000 };
    const LARGE_PADDING: Padding = Padding { item_bytes: 0, score_bytes: 18_000_000 };
    let _lock = lock_cluster();
    common::run(async {
        let mut timer = StepTimer::start();
        let (mut cluster, transcribers) = start(2).await;
        let fronts = cluster.fronts();
        let mut job = Job::with_padding("4a4b4c4d", 0, 1, 5, 4, PADDING);
        job.submit(&fronts, NO_FAULT_TIMEOUT).await;
        let proxies = cluster.kill_proxies();
        timer.finish_step("large job accepted, all proxies killed");
        proxies.into_iter().for_each(|proxy| cluster.restart(proxy));
        let all = job.items.len();
        job.read_until(&fronts, all, FAULT_TIMEOUT).await;
        job.assert_correct(&transcribers.model, &transcribers.page);
        timer.finish_step("proxies restarted, all results read");

        // One item has more bytes than the link of a proxy may queue.
        let mut single = Job::with_padding("5a5b5c5d", 1, 1, 1, 1, LARGE_PADDING);
        single.submit(&fronts, NO_FAULT_TIMEOUT).await;
        single.read_until(&fronts, 1, FAULT_TIMEOUT).await;
        single.assert_correct(&transcribers.model, &transcribers.page);
        timer.finish_step("an item of 18 million bytes completed");
        transcribers.assert_no_violations();
        cluster.assert_running();
        cluster.shut_down().await;
    });
}

/// Guards against: a link between a store and a proxy that is closed by many reads of large bodies at once
/// (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[test]
fn concurrent_reads_of_large_bodies_are_all_answered() {
    const ITEM_BYTES: usize = 4_000_000;
    const READS: usize = 12;
    let _lock = lock_cluster();
    common::run(async {
        let (mut cluster, _transcribers) = start(3).await;
        let fronts = cluster.fronts();
        // No transcriber holds the version, so that all items stay pending.
        let padding = Padding { item_bytes: ITEM_BYTES, score_bytes: 0 };
        let mut job = Job::with_padding("6a6b6c6d", 0, 9, 1, 4, padding);
        job.submit(&fronts, NO_FAULT_TIMEOUT).await;
        let job = std::rc::Rc::new(job);
        let reads: Vec<_> = (0..READS)
            .map(|number| {
                let (job, front) = (job.clone(), fronts[0]);
                let item = job.items[number % job.items.len()].clone();
                tokio::task::spawn_local(async move { job.fetch_item_body(front, &item).await })
            })
            .collect();
        let mut complete = 0;
        for read in reads {
            let response = read.await.expect("the task ends").expect("a response");
            complete += usize::from(response.status == 200 && response.body.len() > ITEM_BYTES);
        }
        assert_eq!(complete, READS, "reads that were answered with the whole body");
        job.end(&fronts, NO_FAULT_TIMEOUT).await;
        cluster.assert_running();
        cluster.shut_down().await;
    });
}

#[test]
fn serves_end_to_end_after_the_control_primary_and_a_store_are_killed() {
    let _lock = lock_cluster();
    common::run(async {
        let mut timer = StepTimer::start();
        let (mut cluster, transcribers) = start(1).await;
        timer.finish_step("started, with a first configuration and registered transcribers");
        let (controls, fronts) = (cluster.controls(), cluster.fronts());
        let mut job = Job::new("2a2b2c2d", 0, 1, 24, 4);
        job.submit(&fronts, NO_FAULT_TIMEOUT).await;
        job.read_until(&fronts, 8, NO_FAULT_TIMEOUT).await;
        timer.finish_step("8 of 96 results read");

        let primary = operator::find_primary(&controls, NO_FAULT_TIMEOUT).await;
        let control = cluster.kill_control_at(primary);
        let store = cluster.kill_store(0);
        let all = job.items.len();
        job.read_until(&fronts, all, FAULT_TIMEOUT).await;
        timer.finish_step("all results read, after the control primary and a store were killed");
        job.assert_correct(&transcribers.model, &transcribers.page);
        job.assert_unchanged(&fronts, FAULT_TIMEOUT).await;
        fetch_page(&fronts, &transcribers, PAGES, "b0", NO_FAULT_TIMEOUT).await;
        timer.finish_step("results read again, a page served");

        let second = operator::configuration(2, true);
        let response = operator::put_configuration(&controls, 1, &second, FAULT_TIMEOUT).await;
        assert_eq!(response.status, 200, "a configuration after the failover: {}", response.text());
        timer.finish_step("configuration 2 accepted");
        for (number, front) in fronts.iter().enumerate() {
            fetch_page(&[*front], &transcribers, MORE_PAGES, &format!("c{number}"), NO_FAULT_TIMEOUT).await;
        }
        timer.finish_step("the new route of configuration 2 served by each edge machine");
        operator::name_version(&controls, 2, FAULT_TIMEOUT).await;
        timer.finish_step("version 2 named");
        transcribers.wait_until_loaded(2, FAULT_TIMEOUT).await;
        timer.finish_step("version 2 loaded by all transcribers");

        cluster.restart(control);
        cluster.restart(store);
        let mut next = Job::new("3a3b3c3d", 1, 2, 2, 4);
        next.submit(&fronts, FAULT_TIMEOUT).await;
        let item = next.items[0].clone();
        if let Ok(body) =
            next.fetch_item_body(fronts[0], &item).await.map(|response| (response.status, response.body))
        {
            // 404: the item already has a result. 503: the proxy can't tell at the moment.
            let is_completed_or_unavailable = [404, 503].contains(&body.0);
            assert!(
                is_completed_or_unavailable || body == (200, item_body(&item).into()),
                "body of {item}: {body:?}"
            );
        }
        let all = next.items.len();
        next.read_until(&fronts, all, FAULT_TIMEOUT).await;
        next.assert_correct(&transcribers.model, &transcribers.page);
        timer.finish_step("killed processes restarted, a batch job of 8 items completed");
        job.assert_unchanged(&fronts, FAULT_TIMEOUT).await;

        let read = operator::read_configuration(&controls, FAULT_TIMEOUT).await;
        let sent = simd_json::to_owned_value(&mut second.into_bytes()).expect("JSON");
        assert_eq!(read.json(), sent);
        transcribers.assert_orders_are_fenced();
        transcribers.assert_no_violations();
        cluster.assert_running();
        cluster.shut_down().await;
        timer.finish_step("results and configuration read again, all processes ended");
    });
}
