//! Responses of the proxy itself, byte for byte, and the texts of its start errors.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use pebblepost_proxy::{ApplyOutcome, Proxy};
use std::fmt::Write;
use support::client::Client;
use support::{ProxyFixture, ROUTES, approve, configuration, get, post, run, settings};

const ROLLOUT: &str = r#"{"name":"r","hostname":"h.example","path_prefix":"/lot/","kind":"rollout",
    "timeout_ms":1500,"target_latency_ms":100,"backend":"pages","max_attempts":2}"#;

async fn exchange(fixture: &ProxyFixture, transcript: &mut String, name: &str, request: &str) {
    let received = fixture.exchange(request).await;
    writeln!(transcript, "== {name}\n{}\n", received.trim_end()).expect("written");
}

async fn readiness(fixture: &ProxyFixture, transcript: &mut String, name: &str, request: &str) {
    let mut client = Client::connect(fixture.proxy.ready_address()).await;
    client.write(request).await;
    let received = client.response().await;
    writeln!(transcript, "== {name}\n{}\n", received.trim_end()).expect("written");
}

#[test]
fn own_responses_match_the_approved_bytes() {
    run(async {
        let mut transcript = String::new();
        let all = &mut transcript;
        let fixture = ProxyFixture::bare(8.0);
        readiness(&fixture, all, "not ready", "GET /readyz HTTP/1.1\nHost: edge\n\n").await;
        readiness(&fixture, all, "no such path", "GET /ready HTTP/1.1\nHost: edge\n\n").await;
        readiness(
            &fixture,
            all,
            "no such method",
            "POST /readyz HTTP/1.1\nHost: edge\nContent-Length: 0\n\n",
        )
        .await;
        exchange(&fixture, all, "no configuration", &get("/pages/1", "r1")).await;
        fixture.proxy.apply(&[configuration(1, ROUTES)]);
        readiness(&fixture, all, "ready", "GET /readyz HTTP/1.1\nHost: edge\n\n").await;
        exchange(&fixture, all, "no route", &get("/none/1", "r1")).await;
        exchange(&fixture, all, "no id", "GET /pages/1 HTTP/1.1\nHost: h.example\n\n").await;
        exchange(&fixture, all, "empty id", "GET /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: \n\n").await;
        exchange(&fixture, all, "negative deadline", &get("/pages/1", "r1").replace("2000", "-1")).await;
        exchange(&fixture, all, "no path", "OPTIONS * HTTP/1.1\nHost: h.example\nRequest-Id: r1\n\n").await;
        exchange(&fixture, all, "body too large", &post("/pages/1", "r1", &"x".repeat(65))).await;
        let head = format!("GET /pages/1 HTTP/1.1\nHost: h.example\nX: {}\n\n", "x".repeat(3000));
        exchange(&fixture, all, "head too large", &head).await;
        exchange(&fixture, all, "no transcriber", &get("/pages/1", "r1")).await;
        exchange(&fixture, all, "deadline over on arrival", &get("/pages/1", "r1").replace("2000", "10"))
            .await;
        exchange(&fixture, all, "a job's call", &get("/lots/none", "r1")).await;
        exchange(&fixture, all, "a job's call with a method of its own", &post("/items/1", "r1", "x")).await;
        fixture.proxy.apply(&[configuration(2, ROLLOUT)]);
        exchange(&fixture, all, "no job", &post("/lot/1", "r1", "no job")).await;
        exchange(&fixture, all, "jobs are not read here", &get("/lot/1", "r1")).await;
        let approved = std::fs::read_to_string(
            std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved/own-responses.txt"),
        );
        approve(&transcript, &approved.unwrap_or_default());
    });
}

#[test]
fn updates_are_in_force_or_need_a_resync() {
    run(async {
        let fixture = ProxyFixture::bare(8.0);
        assert_eq!(fixture.proxy.apply(&[configuration(1, ROUTES)]), ApplyOutcome::InForce);
        let patch = br#"{"generation":9}"#.to_vec();
        let patch = pebblepost_messages::feed::ConfigurationUpdate::Patch {
            base_generation: 8,
            generation: 9,
            patch,
        };
        let patch = pebblepost_messages::feed::FeedUpdate::Configuration(patch);
        assert_eq!(fixture.proxy.apply(&[patch]), ApplyOutcome::ResyncNeeded);
    });
}

fn start_error(settings: pebblepost_settings::Settings) -> String {
    // Formatted as the program prints it: the error followed by its causes.
    format!("{:#}", eyre::Report::from(Proxy::start(settings).expect_err("no start")))
}

#[test]
fn start_errors_name_the_setting_and_the_address() {
    run(async {
        let mut without_front = settings(8.0);
        without_front.client_address = None;
        assert_eq!(start_error(without_front), "setting listen.front is missing");
        let mut without_ready = settings(8.0);
        without_ready.readiness_address = None;
        assert_eq!(start_error(without_ready), "setting listen.ready is missing");

        let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = taken.local_addr().unwrap();
        let mut in_use = settings(8.0);
        in_use.client_address = Some(address);
        assert_eq!(
            start_error(in_use),
            format!(
                "cannot listen on {address} (setting listen.front): Address already in use (os error 98)"
            )
        );
    });
}
