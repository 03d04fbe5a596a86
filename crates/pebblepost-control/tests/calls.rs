//! Approved transcripts of calls over HTTP.

mod support;

use pebblepost_control::api::HttpRequest;
use rstest::rstest;
use std::time::Duration;
use support::cluster::Cluster;
use support::documents::{announcement, configuration, patch};
use support::shown;

/// A call and its answer, as lines.
struct Transcript {
    cluster: Cluster,
    lines: Vec<String>,
}

impl Transcript {
    fn new(cluster: Cluster) -> Transcript {
        Transcript { cluster, lines: Vec::new() }
    }

    fn call(&mut self, method: &str, path: &str, if_match: Option<&str>, body: &[u8]) {
        let primary = self.cluster.primary();
        self.call_at(primary, method, path, if_match, body);
    }

    fn call_at(&mut self, node: usize, method: &str, path: &str, if_match: Option<&str>, body: &[u8]) {
        let call = HttpRequest {
            method: method.into(),
            path: path.into(),
            if_match: if_match.map(String::from),
            body: body.to_vec(),
        };
        let answer = self.cluster.call(node, call);
        let shown = answer.map_or_else(|| "no answer".into(), |answer| shown(&answer));
        let on = if_match.map(|version| format!(" If-Match: {version}")).unwrap_or_default();
        self.lines.push(format!("{method} {path}{on} -> {shown}"));
    }

    fn check(&self, approved: &str) {
        let lines = self.lines.join("\n");
        assert_eq!(lines.trim(), approved.trim(), "\n--- got ---\n{lines}\n-----------");
    }
}

#[rstest]
fn configuration_calls() {
    let mut transcript = Transcript::new(Cluster::acting());
    transcript.call("GET", "/config", None, b"");
    transcript.call("PATCH", "/config", Some("0"), &patch(3, 900));
    transcript.call("PUT", "/config", None, &configuration(3, 1500));
    transcript.call("PUT", "/config", Some("0"), &configuration(3, 1500));
    transcript.call("PUT", "/config", Some("0"), &configuration(3, 1500));
    transcript.call("PUT", "/config", Some("0"), &configuration(4, 1500));
    transcript.call("PUT", "/config", Some("3"), &configuration(3, 1600));
    transcript.call("PUT", "/config", Some("3"), &configuration(2, 1600));
    transcript.call("PUT", "/config", Some("3"), b"{\"generation\":9,");
    transcript.call("PUT", "/config", Some("3"), &configuration(9, 0));
    transcript.call("PATCH", "/config", Some("3"), &patch(9, 900));
    transcript.call("PUT", "/config", Some("0"), &configuration(3, 1500));
    transcript.call("PATCH", "/config", Some("3"), &patch(9, 900));
    transcript.call("PATCH", "/config", Some("3"), &patch(9, 901));
    transcript.call("PATCH", "/config", Some("x"), &patch(10, 901));
    transcript.call("DELETE", "/config", None, b"");
    transcript.call("GET", "/nothing", None, b"");
    transcript.check(include_str!("transcripts/configuration_calls.txt"));
    let document = transcript.cluster.core(transcript.cluster.primary()).state().configuration().cloned();
    assert_eq!(document.expect("a configuration").generation(), 9);
}

#[rstest]
fn registrations_and_versions() {
    let mut transcript = Transcript::new(Cluster::acting());
    let ready = announcement("10.9.0.1:8080", "ready", 1, 1);
    let draining = announcement("10.9.0.1:8080", "draining", 1, 2);
    transcript.call("PUT", "/instances/i-1", None, &ready);
    transcript.call("PUT", "/instances/i-1", None, b"{}");
    transcript.call("PUT", "/instances/i-1", None, &draining);
    transcript.call("DELETE", "/instances/i-1", None, b"");
    transcript.call("DELETE", "/instances/i-1", None, b"");
    transcript.call("PUT", "/instances/i-1", None, &announcement("10.9.0.1:8080", "ready", 1, 9));
    transcript.call("POST", "/version-put", None, b"{\"model\":\"m\",\"generation\":2}");
    transcript.call("POST", "/version-put", None, b"{\"model\":\"m\",\"generation\":2}");
    transcript.call("POST", "/version-put", None, b"{\"model\":\"m\"}");
    transcript.call("POST", "/retire/storage-1", None, b"{\"duration_s\":10}");
    transcript.call("GET", "/retire/storage-1", None, b"");
    transcript.check(include_str!("transcripts/registrations_and_versions.txt"));
    let core = transcript.cluster.core(transcript.cluster.primary());
    assert_eq!(core.registry().live().count(), 0);
    assert_eq!(core.state().named_versions().get("m"), Some(&2));
}

#[rstest]
fn standbys_send_callers_to_the_primary() {
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_millis(500));
    let primary = cluster.primary();
    let mut transcript = Transcript::new(cluster);
    let standby = (0..3).find(|node| *node != primary).expect("a standby");
    transcript.call_at(standby, "PUT", "/instances/i-1", None, &announcement("10.9.0.1:8080", "ready", 1, 1));
    let expected = format!("http://10.0.0.{}:8262/instances/i-1", primary + 1);
    assert!(transcript.lines[0].contains(&format!("-> 307 Location: {expected}")), "{:?}", transcript.lines);
    transcript.cluster.kill(primary);
    transcript.cluster.run(Duration::from_millis(1050));
    if transcript.cluster.acting_nodes().is_empty() {
        transcript.call_at(standby, "GET", "/config", None, b"");
        assert!(transcript.lines[1].contains("-> 503"), "{:?}", transcript.lines);
    }
}
