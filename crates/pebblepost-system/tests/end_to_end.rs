//! End-to-end tests with real processes: a configuration, a request, a batch job and a version.

mod common;

use common::client::{ApiRequest, send};
use common::cluster::{Cluster, ClusterSize};
use common::operator::{self, HOST, MODEL, MODEL_SERVICE, MORE_PAGES, PAGE_SERVICE, PAGES};
use common::settings::ZONES;
use common::trainer::{Job, item_body};
use common::transcriber::Transcriber;
use common::wait_for;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait for anything without faults.
const CALM_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for anything while processes are down.
const FAULT_TIMEOUT: Duration = Duration::from_secs(25);
/// `bounds.lease_ms` of the settings.
const LEASE: Duration = Duration::from_secs(1);
const MODEL_TRANSCRIBERS: usize = 3;
const PAGE_TRANSCRIBERS: usize = 2;

static EXCLUSIVE: Mutex<()> = Mutex::new(());

/// The tests share the machine's processors: one cluster at a time.
fn exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Prints how long the timer of a test took.
struct StepTimer(Instant);

impl StepTimer {
    fn start() -> StepTimer {
        StepTimer(Instant::now())
    }

    fn done(&mut self, what: &str) {
        println!("{:>7.3} s  {what}", self.0.elapsed().as_secs_f64());
        self.0 = Instant::now();
    }
}

struct Fleet {
    model: Vec<Transcriber>,
    page: Vec<Transcriber>,
}

impl Fleet {
    async fn start(controls: &[SocketAddr]) -> Fleet {
        let mut fleet = Fleet { model: Vec::new(), page: Vec::new() };
        for number in 0..MODEL_TRANSCRIBERS {
            let (id, zone) = (format!("i-lm-{number}"), ZONES[number % ZONES.len()]);
            let started = Transcriber::start(id, MODEL_SERVICE, zone, &[MODEL], controls.to_vec()).await;
            fleet.model.push(started);
        }
        for number in 0..PAGE_TRANSCRIBERS {
            let (id, zone) = (format!("i-page-{number}"), ZONES[number % ZONES.len()]);
            let started = Transcriber::start(id, PAGE_SERVICE, zone, &[], controls.to_vec()).await;
            fleet.page.push(started);
        }
        fleet
    }

    async fn wait_until_known(&self, timeout: Duration) {
        let all: Vec<&Transcriber> = self.model.iter().chain(&self.page).collect();
        wait_for("transcribers become known", timeout, || {
            all.iter().all(|transcriber| transcriber.state.borrow().acknowledged > 0)
        })
        .await;
    }

    async fn wait_until_version(&self, generation: u64, timeout: Duration) {
        let what = format!("all transcribers hold version {generation}");
        wait_for(&what, timeout, || self.model.iter().all(|held| held.generation() == generation)).await;
    }

    fn assert_no_violations(&self) {
        for transcriber in self.model.iter().chain(&self.page) {
            let state = transcriber.state.borrow();
            assert!(state.violations.is_empty(), "{}: {:?}", state.id, state.violations);
        }
    }

    /// Fencing tokens never fall, one token has one holder, holders are `lease_ms` apart, and no version
    /// is loaded twice.
    fn assert_orders_are_fenced(&self) {
        for transcriber in &self.model {
            let state = transcriber.state.borrow();
            for pair in state.orders.windows(2) {
                assert!(pair[0].fence_token <= pair[1].fence_token, "{}: {pair:?}", state.id);
                let same_holder = pair[0].holder == pair[1].holder;
                let apart = pair[1].at - pair[0].at;
                let may_follow = pair[0].fence_token < pair[1].fence_token && apart >= LEASE;
                assert!(same_holder || may_follow, "{}: {pair:?}", state.id);
            }
            let mut loads: Vec<u64> = state
                .orders
                .iter()
                .filter(|order| order.answer == 202)
                .map(|order| order.generation)
                .collect();
            let taken = loads.len();
            loads.dedup();
            assert_eq!(loads.len(), taken, "{}: a version loaded twice: {:?}", state.id, state.orders);
        }
    }
}

impl Drop for Fleet {
    /// Prints what the transcribers received if the test failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            for transcriber in self.model.iter().chain(&self.page) {
                println!("{}", transcriber.state.borrow().summary());
            }
        }
    }
}

/// Sends a page request until it is served, as a client that retries does; checks the answer.
async fn fetch_page(fronts: &[SocketAddr], fleet: &Fleet, prefix: &str, name: &str, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    let mut last = String::new();
    for attempt in 0.. {
        assert!(Instant::now() < deadline, "{prefix}{name}: not served within {timeout:?}; {last}");
        let request_id = format!("{name}{attempt:04x}");
        let call = ApiRequest::new("POST", format!("{prefix}{name}"))
            .header("Host", HOST)
            .header("Request-Id", request_id.clone())
            .header("Deadline-Ms", "2000")
            .body(format!("body of {name}"));
        match send(fronts[attempt % fronts.len()], &call).await {
            Ok(answer) if answer.status == 200 => {
                assert_eq!(answer.header("request-id"), Some(request_id.as_str()));
                assert_eq!(answer.text(), format!("answer to {prefix}{name}"));
                return assert_ran(fleet, &request_id, &call, answer.header("response-seal"));
            }
            Ok(answer) => last = format!("{} {}", answer.status, answer.text()),
            Err(error) => last = error.to_string(),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A transcriber of the page service ran the request, with its path and body, and gave this seal.
fn assert_ran(fleet: &Fleet, request_id: &str, call: &ApiRequest, seal: Option<&str>) {
    let ran = fleet.page.iter().any(|transcriber| {
        let state = transcriber.state.borrow();
        state.runs.iter().any(|run| {
            let is_unchanged = run.path == call.path && run.body == call.body;
            run.request_id == request_id && is_unchanged && Some(run.seal.as_str()) == seal
        })
    });
    assert!(ran, "no transcriber ran {request_id} and gave the seal {seal:?}");
}

/// JSON that an operator's command prints.
fn operator_output(cluster: &Cluster, command: &str) -> String {
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_pebblepost-system"));
    program.args([command, "--json"]);
    for link in cluster.links() {
        program.args(["--link", &link.to_string()]);
    }
    let output = program.output().expect("run");
    assert!(output.status.success(), "{command}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text").trim().to_owned()
}

/// Starts a system with its first configuration and known transcribers.
async fn start(number: u8) -> (Cluster, Fleet) {
    let mut cluster = Cluster::start(number, ClusterSize { controls: 3, stores: 3, edges: 2 }).await;
    let controls = cluster.controls();
    let fleet = Fleet::start(&controls).await;
    let first = operator::configuration(1, false);
    let answer = operator::put(&controls, 0, &first, CALM_TIMEOUT).await;
    assert_eq!(answer.status, 200, "the first configuration: {}", answer.text());
    fleet.wait_until_known(CALM_TIMEOUT).await;
    cluster.wait_until_ready().await;
    (cluster, fleet)
}

#[test]
fn configuration_request_batch_job_and_version_end_to_end() {
    let _exclusive = exclusive();
    common::run(async {
        let mut timer = StepTimer::start();
        let (mut cluster, fleet) = start(0).await;
        timer.done("started, with a first configuration and known transcribers");
        let (controls, fronts) = (cluster.controls(), cluster.fronts());
        let read = operator::read(&controls, CALM_TIMEOUT).await;
        let sent =
            simd_json::to_owned_value(&mut operator::configuration(1, false).into_bytes()).expect("JSON");
        assert_eq!(read.json(), sent);
        for (number, front) in fronts.iter().enumerate() {
            fetch_page(&[*front], &fleet, PAGES, &format!("a{number}"), CALM_TIMEOUT).await;
        }
        timer.done("configuration read back, a page served by each edge machine");

        let mut job = Job::new("0a0b0c0d", 0, 1, 4, 4);
        job.submit(&fronts, CALM_TIMEOUT).await;
        job.submit(&fronts, CALM_TIMEOUT).await;
        let all = job.items.len();
        job.read_until(&fronts, all, CALM_TIMEOUT).await;
        job.assert_correct(&fleet.model, &fleet.page);
        job.assert_unchanged(&fronts, CALM_TIMEOUT).await;
        job.end(&fronts, CALM_TIMEOUT).await;
        job.end(&fronts, CALM_TIMEOUT).await;
        timer.done("a batch job of 16 items done and ended");

        operator::name_version(&controls, 2, CALM_TIMEOUT).await;
        timer.done("version 2 noted");
        fleet.wait_until_version(2, CALM_TIMEOUT).await;
        timer.done("version 2 held by all");
        assert_eq!(
            operator_output(&cluster, "versions"),
            format!(r#"[{{"model":"{MODEL}","generation":2}}]"#)
        );
        assert!(operator_output(&cluster, "status").contains(r#""role":"primary""#));
        let mut next = Job::new("1a1b1c1d", 1, 2, 2, 4);
        next.submit(&fronts, CALM_TIMEOUT).await;
        let all = next.items.len();
        next.read_until(&fronts, all, CALM_TIMEOUT).await;
        next.assert_correct(&fleet.model, &fleet.page);
        next.end(&fronts, CALM_TIMEOUT).await;
        timer.done("a batch job of 8 items under version 2 done and ended");

        fleet.assert_orders_are_fenced();
        fleet.assert_no_violations();
        cluster.assert_running();
        cluster.end().await;
        timer.done("all processes ended");
    });
}

#[test]
fn end_to_end_with_the_control_primary_and_a_store_killed() {
    let _exclusive = exclusive();
    common::run(async {
        let mut timer = StepTimer::start();
        let (mut cluster, fleet) = start(1).await;
        timer.done("started, with a first configuration and known transcribers");
        let (controls, fronts) = (cluster.controls(), cluster.fronts());
        let mut job = Job::new("2a2b2c2d", 0, 1, 24, 4);
        job.submit(&fronts, CALM_TIMEOUT).await;
        job.read_until(&fronts, 8, CALM_TIMEOUT).await;
        timer.done("8 of 96 results read");

        let primary = operator::primary(&controls, CALM_TIMEOUT).await;
        let control = cluster.kill_control_at(primary);
        let store = cluster.kill_store(0);
        let all = job.items.len();
        job.read_until(&fronts, all, FAULT_TIMEOUT).await;
        timer.done("all results read, after the control primary and a store were killed");
        job.assert_correct(&fleet.model, &fleet.page);
        job.assert_unchanged(&fronts, FAULT_TIMEOUT).await;
        fetch_page(&fronts, &fleet, PAGES, "b0", CALM_TIMEOUT).await;
        timer.done("results read again, a page served");

        let second = operator::configuration(2, true);
        let answer = operator::put(&controls, 1, &second, FAULT_TIMEOUT).await;
        assert_eq!(answer.status, 200, "a configuration after the failover: {}", answer.text());
        timer.done("configuration 2 taken");
        for (number, front) in fronts.iter().enumerate() {
            fetch_page(&[*front], &fleet, MORE_PAGES, &format!("c{number}"), CALM_TIMEOUT).await;
        }
        timer.done("its new route served by each edge machine");
        operator::name_version(&controls, 2, FAULT_TIMEOUT).await;
        timer.done("version 2 noted");
        fleet.wait_until_version(2, FAULT_TIMEOUT).await;
        timer.done("version 2 held by all");

        cluster.restart(control);
        cluster.restart(store);
        let mut next = Job::new("3a3b3c3d", 1, 2, 2, 4);
        next.submit(&fronts, FAULT_TIMEOUT).await;
        let item = next.items[0].clone();
        if let Ok(body) = next.item_body(fronts[0], &item).await.map(|answer| (answer.status, answer.body)) {
            let listed_or_unsure = [404, 503].contains(&body.0);
            assert!(listed_or_unsure || body == (200, item_body(&item).into()), "body of {item}: {body:?}");
        }
        let all = next.items.len();
        next.read_until(&fronts, all, FAULT_TIMEOUT).await;
        next.assert_correct(&fleet.model, &fleet.page);
        timer.done("killed processes started again, a batch job of 8 items done");
        job.assert_unchanged(&fronts, FAULT_TIMEOUT).await;

        let read = operator::read(&controls, FAULT_TIMEOUT).await;
        let sent = simd_json::to_owned_value(&mut second.into_bytes()).expect("JSON");
        assert_eq!(read.json(), sent);
        fleet.assert_orders_are_fenced();
        fleet.assert_no_violations();
        cluster.assert_running();
        cluster.end().await;
        timer.done("everything read again, all processes ended");
    });
}
