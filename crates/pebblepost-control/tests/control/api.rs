//! HTTP requests to the control plane: the responses match approved transcripts, and standbys redirect.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, patch, registration};
use crate::support::format_response;
use pebblepost_control::api::HttpRequest;
use rstest::rstest;
use std::time::Duration;

/// Sends requests to a cluster and records a line with each request and its response.
struct Transcript {
    cluster: Cluster,
    lines: Vec<String>,
}

impl Transcript {
    fn new(cluster: Cluster) -> Transcript {
        Transcript { cluster, lines: Vec::new() }
    }

    /// Sends a request to the primary.
    fn request(&mut self, method: &str, path: &str, if_match: Option<&str>, body: &[u8]) {
        let primary = self.cluster.primary();
        self.request_at(primary, method, path, if_match, body);
    }

    fn request_at(&mut self, node: usize, method: &str, path: &str, if_match: Option<&str>, body: &[u8]) {
        let request = HttpRequest {
            method: method.into(),
            path: path.into(),
            if_match: if_match.map(String::from),
            body: body.to_vec(),
        };
        let response = self.cluster.request(node, request);
        let line = response.map_or_else(|| "no response".into(), |response| format_response(&response));
        let precondition = if_match.map(|version| format!(" If-Match: {version}")).unwrap_or_default();
        self.lines.push(format!("{method} {path}{precondition} -> {line}"));
    }

    /// Panics unless the recorded lines equal the approved ones.
    fn assert_matches(&self, approved: &str) {
        let lines = self.lines.join("\n");
        assert_eq!(lines.trim(), approved.trim(), "\n--- got ---\n{lines}\n-----------");
    }
}

#[rstest]
fn configuration_requests_match_the_approved_transcript() {
    let mut transcript = Transcript::new(Cluster::with_primary());
    transcript.request("GET", "/config", None, b"");
    transcript.request("PATCH", "/config", Some("0"), &patch(3, 900));
    transcript.request("PUT", "/config", None, &configuration(3, 1500));
    transcript.request("PUT", "/config", Some("0"), &configuration(3, 1500));
    transcript.request("PUT", "/config", Some("0"), &configuration(3, 1500));
    transcript.request("PUT", "/config", Some("0"), &configuration(4, 1500));
    transcript.request("PUT", "/config", Some("3"), &configuration(3, 1600));
    transcript.request("PUT", "/config", Some("3"), &configuration(2, 1600));
    transcript.request("PUT", "/config", Some("3"), b"{\"generation\":9,");
    transcript.request("PUT", "/config", Some("3"), &configuration(9, 0));
    transcript.request("PATCH", "/config", Some("3"), &patch(9, 900));
    transcript.request("PUT", "/config", Some("0"), &configuration(3, 1500));
    transcript.request("PATCH", "/config", Some("3"), &patch(9, 900));
    transcript.request("PATCH", "/config", Some("3"), &patch(9, 901));
    transcript.request("PATCH", "/config", Some("x"), &patch(10, 901));
    transcript.request("DELETE", "/config", None, b"");
    transcript.request("GET", "/nothing", None, b"");
    transcript.assert_matches(include_str!("transcripts/configuration_calls.txt"));
    let document = transcript.cluster.node(transcript.cluster.primary()).state().configuration().cloned();
    assert_eq!(document.expect("a configuration").generation(), 9);
}

#[rstest]
fn registration_and_version_requests_match_the_approved_transcript() {
    let mut transcript = Transcript::new(Cluster::with_primary());
    let ready = registration("10.9.0.1:8080", "ready", 1);
    let draining = registration("10.9.0.1:8080", "draining", 2);
    transcript.request("PUT", "/instances/i-1", None, &ready);
    transcript.request("PUT", "/instances/i-1", None, b"{}");
    transcript.request("PUT", "/instances/i-1", None, &draining);
    transcript.request("DELETE", "/instances/i-1", None, b"");
    transcript.request("DELETE", "/instances/i-1", None, b"");
    transcript.request("PUT", "/instances/i-1", None, &registration("10.9.0.1:8080", "ready", 9));
    transcript.request("POST", "/version-put", None, b"{\"model\":\"m\",\"generation\":2}");
    transcript.request("POST", "/version-put", None, b"{\"model\":\"m\",\"generation\":2}");
    transcript.request("POST", "/version-put", None, b"{\"model\":\"m\"}");
    transcript.request("POST", "/retire/storage-1", None, b"{\"duration_s\":10}");
    transcript.request("GET", "/retire/storage-1", None, b"");
    transcript.assert_matches(include_str!("transcripts/registrations_and_versions.txt"));
    let core = transcript.cluster.node(transcript.cluster.primary());
    assert_eq!(core.registry().live().count(), 0);
    assert_eq!(core.state().named_versions().get("m"), Some(&2));
}

#[rstest]
fn standbys_redirect_to_the_primary() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_millis(500));
    let primary = cluster.primary();
    let mut transcript = Transcript::new(cluster);
    let standby = (0..3).find(|node| *node != primary).expect("a standby");
    transcript.request_at(standby, "PUT", "/instances/i-1", None, &registration("10.9.0.1:8080", "ready", 1));
    let expected = format!("http://10.0.0.{}:8262/instances/i-1", primary + 1);
    assert!(transcript.lines[0].contains(&format!("-> 307 Location: {expected}")), "{:?}", transcript.lines);
    transcript.cluster.kill(primary);
    transcript.cluster.run(Duration::from_millis(1050));
    if transcript.cluster.acting_nodes().is_empty() {
        transcript.request_at(standby, "GET", "/config", None, b"");
        assert!(transcript.lines[1].contains("-> 503"), "{:?}", transcript.lines);
    }
}

/// Guards against: a request that ends the primary, because the parser recurses once for each level of nesting.
#[rstest]
#[case::version("POST", "/version-put")]
#[case::registration("PUT", "/instances/i-1")]
#[case::configuration("PUT", "/config")]
fn a_deeply_nested_body_is_rejected(#[case] method: &str, #[case] path: &str) {
    const LEVELS: usize = 100_000;
    let body = format!(r#"{{"model":{}{}}}"#, "[".repeat(LEVELS), "]".repeat(LEVELS));
    let mut cluster = Cluster::with_primary();
    let request = HttpRequest {
        method: method.into(),
        path: path.into(),
        if_match: Some("0".to_owned()),
        body: body.into_bytes(),
    };
    let primary = cluster.primary();
    let response = cluster.request(primary, request).expect("a response");
    assert_eq!(response.status, 400, "{}", format_response(&response));
}
