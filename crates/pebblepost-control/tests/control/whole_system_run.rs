//! Runs of the whole control plane with agents, storage nodes, transcribers, operators and a crash of the primary. The
//! responses, the status for operators and the digest of all outputs match the approved transcripts, as do the error
//! messages of registrations.

use crate::support::cluster::{Cluster, SentOrder};
use crate::support::documents::{configuration, patch, registration};
use crate::support::random::Random;
use crate::support::store::Store;
use crate::support::{format_response, http_request};
use pebblepost_control::api::{HttpRequest, HttpResponse, Operation};
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::feed::FeedReply;
use pebblepost_rollout::{OrderOutcome, TranscriberReport};
use rstest::rstest;
use std::fmt::Write;
use std::time::Duration;

struct Run {
    cluster: Cluster,
    random: Random,
    stores: Vec<Store>,
    agents: Vec<usize>,
    sequence: u64,
    /// Numbers of load orders and of requests for load reports that were answered.
    answered_orders: usize,
    answered_reports: usize,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut cluster = Cluster::with_primary();
        let stores = (1..=4).map(|number| Store::start_for_bootstrap(&mut cluster, number)).collect();
        let primary = cluster.primary();
        let agents = (0..2).map(|_| cluster.connect(primary)).collect();
        let random = Random(seed);
        Run { cluster, random, stores, agents, sequence: 0, answered_orders: 0, answered_reports: 0 }
    }

    fn subscribe_agents(&mut self) {
        let primary = self.cluster.primary();
        for agent in self.agents.clone() {
            self.cluster.reconnect(agent, primary);
            let message = ToControl::Subscribe {
                node: format!("edge-{agent}"),
                zone: "zone-0".into(),
                role: SubscriberRole::Agent,
                generation: 0,
            };
            self.cluster.send(agent, message);
        }
    }

    fn run_steps(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    fn step(&mut self) {
        for store in &mut self.stores {
            store.act(&mut self.cluster);
        }
        for agent in self.agents.clone() {
            for message in self.cluster.received(agent) {
                if let FromControl::Feed(batch) = message {
                    let reply = FeedReply::Acknowledge { sequence: batch.sequence, generation: 0 };
                    self.cluster.send(agent, ToControl::Reply(reply));
                }
            }
            self.cluster.send(agent, ToControl::KeepAlive);
        }
        self.send_heartbeats();
        self.answer_orders_and_report_requests();
        let pause = 100 + self.random.below(200);
        self.cluster.run(Duration::from_millis(pause));
    }

    /// Sends the heartbeats of five transcribers.
    fn send_heartbeats(&mut self) {
        self.sequence += 1;
        let Some(primary) = self.cluster.acting_nodes().first().copied() else { return };
        for number in 1..=5 {
            let body = registration(&format!("10.9.0.{number}:8080"), "ready", self.sequence);
            self.cluster
                .send_request(primary, http_request("PUT", &format!("/instances/i-{number}"), None, body));
        }
    }

    /// Answers new load orders with random outcomes, and new requests for load reports.
    fn answer_orders_and_report_requests(&mut self) {
        let orders = self.cluster.orders[self.answered_orders..].to_vec();
        self.answered_orders = self.cluster.orders.len();
        for SentOrder { node, order, .. } in orders {
            let answer = match self.random.below(5) {
                0 => OrderOutcome::Accepted,
                1 => OrderOutcome::Conflict,
                2 => OrderOutcome::Unknown,
                3 => OrderOutcome::Rejected,
                _ => OrderOutcome::AlreadyLoaded,
            };
            self.cluster.answer_order(node, order, answer);
        }
        let report_requests = self.cluster.report_requests[self.answered_reports..].to_vec();
        self.answered_reports = self.cluster.report_requests.len();
        let Some(primary) = self.cluster.acting_nodes().first().copied() else { return };
        for (_, instance) in report_requests {
            let report = TranscriberReport { is_loading: false, models: vec![("m".into(), 1)], running: 1 };
            self.cluster.deliver_load_report(primary, &instance, report);
        }
    }

    fn send_to_primary(&mut self, request: HttpRequest) -> String {
        let primary = self.cluster.primary();
        self.cluster
            .request(primary, request)
            .map_or_else(|| "no answer".into(), |answer| format_response(&answer))
    }

    /// Requests the status over the link of an agent.
    fn status(&mut self) -> String {
        let agent = self.agents[0];
        self.cluster.received(agent);
        self.cluster.send(agent, ToControl::Status);
        self.cluster.run(Duration::from_millis(5));
        let status = |message| match message {
            FromControl::Status(body) => String::from_utf8(body).ok(),
            _ => None,
        };
        self.cluster.received(agent).into_iter().find_map(status).expect("a status")
    }
}

/// Runs a system with this seed and returns the lines of its transcript.
fn run(seed: u64) -> String {
    let mut run = Run::new(seed);
    run.subscribe_agents();
    run.run_steps(12);
    let mut lines = vec![format!("seed {seed}")];
    let requests = [
        http_request("PUT", "/config", Some(0), configuration(3, 20)),
        http_request("PATCH", "/config", Some(3), patch(4, 30)),
        http_request("POST", "/version-put", None, b"{\"model\":\"m\",\"generation\":2}".to_vec()),
    ];
    lines.extend(requests.map(|request| run.send_to_primary(request)));
    run.run_steps(40);
    lines.push(run.status());
    lines.push(run.send_to_primary(http_request("POST", "/retire/storage-2", None, Vec::new())));
    run.run_steps(40);
    lines.push(run.send_to_primary(http_request("GET", "/retire/storage-2", None, Vec::new())));
    lines.push(run.send_to_primary(http_request("DELETE", "/instances/i-5", None, Vec::new())));
    let killed = run.cluster.primary();
    run.cluster.kill(killed);
    run.cluster.run_until_primary_acts();
    run.subscribe_agents();
    for store in &run.stores {
        store.reconnect(&mut run.cluster);
    }
    run.run_steps(60);
    run.cluster.start(killed);
    run.run_steps(60);
    lines.push(run.status());
    let standby = (0..3).find(|node| *node != run.cluster.primary()).expect("a standby");
    let redirected = run.cluster.request(standby, http_request("GET", "/config", None, Vec::new()));
    lines.push(redirected.map_or_else(|| "no answer".into(), |answer| format_response(&answer)));
    lines.push(run.cluster.trace.summary());
    lines.join("\n")
}

#[rstest]
fn whole_system_runs_match_the_approved_transcript() {
    let transcript = [1, 2, 3].map(run).join("\n");
    let approved = include_str!("transcripts/whole_system_run.txt");
    assert_eq!(transcript.trim(), approved.trim(), "\n--- got ---\n{transcript}\n-----------");
}

#[rstest]
fn registration_errors_match_the_approved_transcript() {
    let long = "x".repeat(257);
    let many = vec!["{\"name\":\"m\"}"; 257].join(",");
    let bodies = [
        ("no JSON", "{".to_string()),
        ("no address", "{\"backend\":\"b\"}".into()),
        ("address of another type", "{\"backend\":\"b\",\"address\":7}".into()),
        ("address without port", "{\"backend\":\"b\",\"address\":\"10.0.0.1\"}".into()),
        ("long address", format!("{{\"backend\":\"b\",\"address\":\"{long}\"}}")),
        ("no backend", "{\"address\":\"10.0.0.1:1\"}".into()),
        ("long backend", format!("{{\"backend\":\"{long}\",\"address\":\"10.0.0.1:1\"}}")),
        ("state", "{\"backend\":\"b\",\"address\":\"10.0.0.1:1\",\"state\":\"gone\"}".into()),
        ("models", format!("{{\"backend\":\"b\",\"address\":\"10.0.0.1:1\",\"models\":[{many}]}}")),
        ("model", "{\"backend\":\"b\",\"address\":\"10.0.0.1:1\",\"models\":[{}]}".into()),
    ];
    let mut transcript = String::new();
    for (what, body) in bodies {
        let parsed = Operation::parse(&http_request("PUT", "/instances/i-1", None, body.into_bytes()));
        let answer = parsed.map_or_else(|answer| answer, |_| HttpResponse::ok());
        writeln!(transcript, "{what}: {}", format_response(&answer)).expect("writing to a string");
    }
    let approved = include_str!("transcripts/announcement_errors.txt");
    assert_eq!(transcript.trim(), approved.trim(), "\n--- got ---\n{transcript}\n-----------");
}
