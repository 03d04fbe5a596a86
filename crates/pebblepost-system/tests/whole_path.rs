//! The whole path with real processes: a configuration, a request, a batch job and a version.

mod common;

use common::client::{Call, send};
use common::cluster::{Cluster, Shape};
use common::operator::{self, DESK_SERVICE, HOST, MODEL, MODEL_SERVICE, MORE_PAGES, PAGES};
use common::settings::ZONES;
use common::trainer::{Job, item_body};
use common::transcriber::Transcriber;
use common::wait_for;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait for anything in calm times.
const CALM: Duration = Duration::from_secs(15);
/// Longest wait for anything while processes are down.
const TROUBLED: Duration = Duration::from_secs(25);
/// `bounds.lease_ms` of the settings.
const LEASE: Duration = Duration::from_secs(1);
const MODEL_TRANSCRIBERS: usize = 3;
const DESK_TRANSCRIBERS: usize = 2;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The tests share the machine's processors: one cluster at a time.
fn one_at_a_time() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Prints how long the steps of a test took.
struct Steps(Instant);

impl Steps {
    fn begin() -> Steps {
        Steps(Instant::now())
    }

    fn done(&mut self, what: &str) {
        println!("{:>7.3} s  {what}", self.0.elapsed().as_secs_f64());
        self.0 = Instant::now();
    }
}

struct Fleet {
    model: Vec<Transcriber>,
    desk: Vec<Transcriber>,
}

impl Fleet {
    async fn start(controls: &[SocketAddr]) -> Fleet {
        let mut fleet = Fleet { model: Vec::new(), desk: Vec::new() };
        for number in 0..MODEL_TRANSCRIBERS {
            let (id, zone) = (format!("i-lm-{number}"), ZONES[number % ZONES.len()]);
            let started = Transcriber::start(id, MODEL_SERVICE, zone, &[MODEL], controls.to_vec()).await;
            fleet.model.push(started);
        }
        for number in 0..DESK_TRANSCRIBERS {
            let (id, zone) = (format!("i-desk-{number}"), ZONES[number % ZONES.len()]);
            let started = Transcriber::start(id, DESK_SERVICE, zone, &[], controls.to_vec()).await;
            fleet.desk.push(started);
        }
        fleet
    }

    async fn wait_until_known(&self, most: Duration) {
        let all: Vec<&Transcriber> = self.model.iter().chain(&self.desk).collect();
        wait_for("transcribers become known", most, || {
            all.iter().all(|transcriber| transcriber.state.borrow().acknowledged > 0)
        })
        .await;
    }

    async fn wait_until_version(&self, generation: u64, most: Duration) {
        let what = format!("all transcribers hold version {generation}");
        wait_for(&what, most, || self.model.iter().all(|held| held.generation() == generation)).await;
    }

    fn assert_no_complaints(&self) {
        for transcriber in self.model.iter().chain(&self.desk) {
            let state = transcriber.state.borrow();
            assert!(state.complaints.is_empty(), "{}: {:?}", state.id, state.complaints);
        }
    }

    /// Fence tokens never fall, one token has one holder, holders are `lease_ms` apart, and no version is
    /// loaded twice.
    fn assert_orders_in_order(&self) {
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
    /// Prints what the transcribers saw if the test failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            for transcriber in self.model.iter().chain(&self.desk) {
                println!("{}", transcriber.state.borrow().summary());
            }
        }
    }
}

/// Sends a page request until it is served, as a client that retries does; checks the answer.
async fn fetch_page(fronts: &[SocketAddr], fleet: &Fleet, prefix: &str, name: &str, most: Duration) {
    let deadline = Instant::now() + most;
    let mut last = String::new();
    for attempt in 0.. {
        assert!(Instant::now() < deadline, "{prefix}{name}: not served within {most:?}; {last}");
        let request_id = format!("{name}{attempt:04x}");
        let call = Call::new("POST", format!("{prefix}{name}"))
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
            Err(error) => last = error,
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A transcriber of the desk ran the request, with its path and body, and gave this seal.
fn assert_ran(fleet: &Fleet, request_id: &str, call: &Call, seal: Option<&str>) {
    let ran = fleet.desk.iter().any(|transcriber| {
        let state = transcriber.state.borrow();
        state.runs.iter().any(|run| {
            let is_unchanged = run.path == call.path && run.body == call.body;
            run.request_id == request_id && is_unchanged && Some(run.seal.as_str()) == seal
        })
    });
    assert!(ran, "no transcriber ran {request_id} and gave the seal {seal:?}");
}

/// What an operator's command prints as JSON.
fn ask(cluster: &Cluster, command: &str) -> String {
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
    let mut cluster = Cluster::start(number, Shape { controls: 3, stores: 3, edges: 2 }).await;
    let controls = cluster.controls();
    let fleet = Fleet::start(&controls).await;
    let first = operator::configuration(1, false);
    let answer = operator::put(&controls, 0, &first, CALM).await;
    assert_eq!(answer.status, 200, "the first configuration: {}", answer.text());
    fleet.wait_until_known(CALM).await;
    cluster.wait_until_ready().await;
    (cluster, fleet)
}

#[test]
fn a_configuration_a_request_a_batch_job_and_a_version_go_all_the_way() {
    let _alone = one_at_a_time();
    common::run(async {
        let mut steps = Steps::begin();
        let (mut cluster, fleet) = start(0).await;
        steps.done("started, with a first configuration and known transcribers");
        let (controls, fronts) = (cluster.controls(), cluster.fronts());
        let read = operator::read(&controls, CALM).await;
        let sent =
            simd_json::to_owned_value(&mut operator::configuration(1, false).into_bytes()).expect("JSON");
        assert_eq!(read.json(), sent);
        for (number, front) in fronts.iter().enumerate() {
            fetch_page(&[*front], &fleet, PAGES, &format!("a{number}"), CALM).await;
        }
        steps.done("configuration read back, a page served by each edge machine");

        let mut job = Job::new("0a0b0c0d", 0, 1, 4, 4);
        job.submit(&fronts, CALM).await;
        job.submit(&fronts, CALM).await;
        let all = job.items.len();
        job.read_until(&fronts, all, CALM).await;
        job.assert_correct(&fleet.model, &fleet.desk);
        job.assert_unchanged(&fronts, CALM).await;
        job.end(&fronts, CALM).await;
        job.end(&fronts, CALM).await;
        steps.done("a batch job of 16 items done and ended");

        operator::name_version(&controls, 2, CALM).await;
        steps.done("version 2 noted");
        fleet.wait_until_version(2, CALM).await;
        steps.done("version 2 held by all");
        assert_eq!(ask(&cluster, "versions"), format!(r#"[{{"model":"{MODEL}","generation":2}}]"#));
        assert!(ask(&cluster, "status").contains(r#""role":"primary""#));
        let mut next = Job::new("1a1b1c1d", 1, 2, 2, 4);
        next.submit(&fronts, CALM).await;
        let all = next.items.len();
        next.read_until(&fronts, all, CALM).await;
        next.assert_correct(&fleet.model, &fleet.desk);
        next.end(&fronts, CALM).await;
        steps.done("a batch job of 8 items under version 2 done and ended");

        fleet.assert_orders_in_order();
        fleet.assert_no_complaints();
        cluster.assert_running();
        cluster.end().await;
        steps.done("all processes ended");
    });
}

#[test]
fn the_path_holds_when_the_control_primary_and_a_store_are_killed() {
    let _alone = one_at_a_time();
    common::run(async {
        let mut steps = Steps::begin();
        let (mut cluster, fleet) = start(1).await;
        steps.done("started, with a first configuration and known transcribers");
        let (controls, fronts) = (cluster.controls(), cluster.fronts());
        let mut job = Job::new("2a2b2c2d", 0, 1, 24, 4);
        job.submit(&fronts, CALM).await;
        job.read_until(&fronts, 8, CALM).await;
        steps.done("8 of 96 results read");

        let primary = operator::primary(&controls, CALM).await;
        let control = cluster.kill_control_at(primary);
        let store = cluster.kill_store(0);
        let all = job.items.len();
        job.read_until(&fronts, all, TROUBLED).await;
        steps.done("all results read, after the control primary and a store were killed");
        job.assert_correct(&fleet.model, &fleet.desk);
        job.assert_unchanged(&fronts, TROUBLED).await;
        fetch_page(&fronts, &fleet, PAGES, "b0", CALM).await;
        steps.done("results read again, a page served");

        let second = operator::configuration(2, true);
        let answer = operator::put(&controls, 1, &second, TROUBLED).await;
        assert_eq!(answer.status, 200, "a configuration after the failover: {}", answer.text());
        steps.done("configuration 2 taken");
        for (number, front) in fronts.iter().enumerate() {
            fetch_page(&[*front], &fleet, MORE_PAGES, &format!("c{number}"), CALM).await;
        }
        steps.done("its new route served by each edge machine");
        operator::name_version(&controls, 2, TROUBLED).await;
        steps.done("version 2 noted");
        fleet.wait_until_version(2, TROUBLED).await;
        steps.done("version 2 held by all");

        cluster.restart(control);
        cluster.restart(store);
        let mut next = Job::new("3a3b3c3d", 1, 2, 2, 4);
        next.submit(&fronts, TROUBLED).await;
        let item = next.items[0].clone();
        if let Ok(body) = next.item_body(fronts[0], &item).await.map(|answer| (answer.status, answer.body)) {
            let listed_or_unsure = [404, 503].contains(&body.0);
            assert!(listed_or_unsure || body == (200, item_body(&item).into()), "body of {item}: {body:?}");
        }
        let all = next.items.len();
        next.read_until(&fronts, all, TROUBLED).await;
        next.assert_correct(&fleet.model, &fleet.desk);
        steps.done("killed processes started again, a batch job of 8 items done");
        job.assert_unchanged(&fronts, TROUBLED).await;

        let read = operator::read(&controls, TROUBLED).await;
        let sent = simd_json::to_owned_value(&mut second.into_bytes()).expect("JSON");
        assert_eq!(read.json(), sent);
        fleet.assert_orders_in_order();
        fleet.assert_no_complaints();
        cluster.assert_running();
        cluster.end().await;
        steps.done("everything read again, all processes ended");
    });
}
