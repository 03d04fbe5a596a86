//! The proxy's own answers, byte for byte, and the texts of the errors that end its start.

mod support;

use pebblepost_proxy::{Applied, Proxy};
use std::fmt::Write;
use support::client::Client;
use support::{ROUTES, Rig, approve, configuration, get, post, run, settings};

const ROLLOUT: &str = r#"{"name":"r","hostname":"h.example","path_prefix":"/lot/","kind":"rollout",
    "timeout_ms":1500,"target_latency_ms":100,"backend":"pages","max_attempts":2}"#;

async fn exchange(rig: &Rig, transcript: &mut String, name: &str, request: &str) {
    let received = rig.exchange(request).await;
    writeln!(transcript, "== {name}\n{}\n", received.trim_end()).unwrap();
}

async fn readiness(rig: &Rig, transcript: &mut String, name: &str, request: &str) {
    let mut client = Client::connect(rig.proxy.ready_address()).await;
    client.write(request).await;
    let received = client.answer().await;
    writeln!(transcript, "== {name}\n{}\n", received.trim_end()).unwrap();
}

#[test]
fn own_answers_are_these_bytes() {
    run(async {
        let mut transcript = String::new();
        let all = &mut transcript;
        let rig = Rig::bare(8.0);
        readiness(&rig, all, "not ready", "GET /readyz HTTP/1.1\nHost: edge\n\n").await;
        readiness(&rig, all, "no such path", "GET /ready HTTP/1.1\nHost: edge\n\n").await;
        readiness(&rig, all, "no such method", "POST /readyz HTTP/1.1\nHost: edge\nContent-Length: 0\n\n")
            .await;
        exchange(&rig, all, "no configuration", &get("/pages/1", "r1")).await;
        rig.proxy.apply(&[configuration(1, ROUTES)]);
        readiness(&rig, all, "ready", "GET /readyz HTTP/1.1\nHost: edge\n\n").await;
        exchange(&rig, all, "no route", &get("/none/1", "r1")).await;
        exchange(&rig, all, "no id", "GET /pages/1 HTTP/1.1\nHost: h.example\n\n").await;
        exchange(&rig, all, "empty id", "GET /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: \n\n").await;
        exchange(&rig, all, "negative deadline", &get("/pages/1", "r1").replace("2000", "-1")).await;
        exchange(&rig, all, "no path", "OPTIONS * HTTP/1.1\nHost: h.example\nRequest-Id: r1\n\n").await;
        exchange(&rig, all, "body too large", &post("/pages/1", "r1", &"x".repeat(65))).await;
        let head = format!("GET /pages/1 HTTP/1.1\nHost: h.example\nX: {}\n\n", "x".repeat(3000));
        exchange(&rig, all, "head too large", &head).await;
        exchange(&rig, all, "no transcriber", &get("/pages/1", "r1")).await;
        exchange(&rig, all, "deadline over on arrival", &get("/pages/1", "r1").replace("2000", "10")).await;
        exchange(&rig, all, "a job's call", &get("/lots/none", "r1")).await;
        exchange(&rig, all, "a job's call with a method of its own", &post("/items/1", "r1", "x")).await;
        rig.proxy.apply(&[configuration(2, ROLLOUT)]);
        exchange(&rig, all, "no job", &post("/lot/1", "r1", "no job")).await;
        exchange(&rig, all, "jobs are not read here", &get("/lot/1", "r1")).await;
        let approved = std::fs::read_to_string(
            std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved/own-answers.txt"),
        );
        approve(&transcript, &approved.unwrap_or_default());
    });
}

#[test]
fn updates_are_in_force_or_leave_a_gap() {
    run(async {
        let rig = Rig::bare(8.0);
        assert_eq!(rig.proxy.apply(&[configuration(1, ROUTES)]), Applied::InForce);
        let patch = br#"{"generation":9}"#.to_vec();
        let patch = pebblepost_messages::feed::ConfigurationUpdate::Patch { base: 8, generation: 9, patch };
        let patch = pebblepost_messages::feed::FeedUpdate::Configuration(patch);
        assert_eq!(rig.proxy.apply(&[patch]), Applied::Gap);
    });
}

fn start_error(settings: pebblepost_settings::Settings) -> String {
    // As the program prints it: the error with its causes.
    format!("{:#}", eyre::Report::from(Proxy::start(settings).unwrap_err()))
}

#[test]
fn a_start_that_fails_names_the_key_and_the_address() {
    run(async {
        let mut without_front = settings(8.0);
        without_front.listen_front = None;
        assert_eq!(start_error(without_front), "the settings have no listen.front");
        let mut without_ready = settings(8.0);
        without_ready.listen_ready = None;
        assert_eq!(start_error(without_ready), "the settings have no listen.ready");

        let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = taken.local_addr().unwrap();
        let mut in_use = settings(8.0);
        in_use.listen_front = Some(address);
        assert_eq!(
            start_error(in_use),
            format!("listening at {address} (listen.front): Address already in use (os error 98)")
        );
    });
}
