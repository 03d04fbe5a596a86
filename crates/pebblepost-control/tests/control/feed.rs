//! The feed to subscribers: snapshots, updates and acknowledgements, and drains that wait for the acknowledgements.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, patch, registration};
use crate::support::http_request;
use pebblepost_control::api::MAX_BODY_BYTES;
use pebblepost_feed::FeedState;
use pebblepost_link::control_client::CONTROL_LINK_LIMITS;
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedReply, FeedUpdate, InstanceState};
use rstest::rstest;
use std::time::Duration;

/// An agent that applies the feed and acknowledges it when the test says so. It counts what it received.
struct Agent {
    client: usize,
    state: FeedState,
    last_sequence: u64,
    patches: usize,
    compressed: usize,
    redirects: usize,
    /// Number of complete lists of instances.
    complete_lists: usize,
}

impl Agent {
    fn subscribe(cluster: &mut Cluster, node: usize) -> Agent {
        let client = cluster.connect(node);
        let agent = Agent {
            client,
            state: FeedState::default(),
            last_sequence: 0,
            patches: 0,
            compressed: 0,
            redirects: 0,
            complete_lists: 0,
        };
        agent.send_subscribe(cluster);
        agent
    }

    fn send_subscribe(&self, cluster: &mut Cluster) {
        let subscribe = ToControl::Subscribe {
            node: format!("edge-{}", self.client),
            zone: "zone-0".into(),
            role: SubscriberRole::Agent,
            generation: self.state.generation(),
        };
        cluster.send(self.client, subscribe);
    }

    fn apply(&mut self, cluster: &mut Cluster) {
        for message in cluster.received(self.client) {
            match message {
                FromControl::Feed(batch) => {
                    self.last_sequence = batch.sequence;
                    for update in &batch.updates {
                        self.count(update);
                        assert!(
                            !self.state.apply(update).resync_needed,
                            "a patch on a version that the agent does not have"
                        );
                    }
                }
                FromControl::Redirect { .. } => self.redirects += 1,
                _ => {}
            }
        }
    }

    fn count(&mut self, update: &FeedUpdate) {
        match update {
            FeedUpdate::Configuration(ConfigurationUpdate::Patch { .. }) => self.patches += 1,
            FeedUpdate::Configuration(ConfigurationUpdate::Compressed { .. }) => self.compressed += 1,
            FeedUpdate::Instances { complete: true, .. } => self.complete_lists += 1,
            _ => {}
        }
    }

    fn acknowledge(&self, cluster: &mut Cluster) {
        let generation = self.state.generation();
        let reply = FeedReply::Acknowledge { sequence: self.last_sequence, generation };
        cluster.send(self.client, ToControl::Reply(reply));
    }

    /// Runs the cluster for some time, while the agent applies and acknowledges the feed.
    fn run(&mut self, cluster: &mut Cluster, time: Duration) {
        let until = cluster.now + time;
        while cluster.now < until {
            cluster.run(Duration::from_millis(5));
            self.apply(cluster);
            self.acknowledge(cluster);
        }
    }
}

#[rstest]
fn new_subscriber_gets_a_snapshot_and_then_updates() {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    cluster.request(primary, http_request("PUT", "/config", Some(0), configuration(3, 1000)));
    cluster.request(
        primary,
        http_request("PUT", "/instances/i-1", None, registration("10.9.0.1:8080", "ready", 1)),
    );
    cluster.request(
        primary,
        http_request("POST", "/version-put", None, b"{\"model\":\"m\",\"generation\":2}".to_vec()),
    );
    let mut agent = Agent::subscribe(&mut cluster, primary);
    agent.run(&mut cluster, Duration::from_millis(50));
    assert_eq!(agent.compressed, 1, "a complete configuration is compressed");
    assert_eq!(agent.state.generation(), 3);
    assert_eq!(agent.state.named_version("m"), 2);
    assert!(agent.state.instance("i-1").is_some());
    cluster.request(primary, http_request("PATCH", "/config", Some(3), patch(5, 700)));
    cluster.request(
        primary,
        http_request("PUT", "/instances/i-2", None, registration("10.9.0.2:8080", "ready", 1)),
    );
    agent.run(&mut cluster, Duration::from_millis(50));
    assert_eq!(agent.state.generation(), 5);
    assert_eq!(agent.patches, 1, "the change was sent as a patch");
    assert!(agent.state.instance("i-2").is_some());
    assert_eq!(agent.state.proxy_count(), 1);
}

#[rstest]
fn subscriber_without_the_base_version_of_a_patch_gets_the_complete_configuration() {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    cluster.request(primary, http_request("PUT", "/config", Some(0), configuration(3, 1000)));
    let mut agent = Agent::subscribe(&mut cluster, primary);
    agent.run(&mut cluster, Duration::from_millis(50));
    cluster.disconnect_client(agent.client);
    cluster.request(primary, http_request("PATCH", "/config", Some(3), patch(5, 700)));
    cluster.request(primary, http_request("PATCH", "/config", Some(5), patch(6, 800)));
    cluster.reconnect(agent.client, primary);
    agent.send_subscribe(&mut cluster);
    agent.run(&mut cluster, Duration::from_millis(50));
    assert_eq!(agent.state.generation(), 6);
    assert_eq!(agent.patches, 0);
}

#[rstest]
fn drain_is_acknowledged_after_all_subscribers_acknowledged_it() {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    cluster.request(
        primary,
        http_request("PUT", "/instances/i-1", None, registration("10.9.0.1:8080", "ready", 1)),
    );
    cluster.run(Duration::from_secs(1));
    let mut agent = Agent::subscribe(&mut cluster, primary);
    agent.run(&mut cluster, Duration::from_millis(50));
    let drain = http_request("PUT", "/instances/i-1", None, registration("10.9.0.1:8080", "draining", 2));
    let id = cluster.send_request(primary, drain);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.response(id), None, "the drain waits for the acknowledgement of the agent");
    agent.apply(&mut cluster);
    let state = agent.state.instance("i-1").map(|instance| instance.state);
    assert_eq!(state, Some(InstanceState::Draining));
    agent.acknowledge(&mut cluster);
    cluster.run(Duration::from_millis(10));
    assert_eq!(cluster.response(id).map(|response| response.status), Some(200));
}

#[rstest]
fn drain_waits_for_an_unresponsive_subscriber_up_to_the_timeout() {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    let _agent = Agent::subscribe(&mut cluster, primary);
    cluster.run(Duration::from_millis(100));
    let drain = http_request("PUT", "/instances/i-1", None, registration("10.9.0.1:8080", "draining", 2));
    let before = cluster.now;
    assert_eq!(cluster.request(primary, drain).map(|response| response.status), Some(200));
    let waited = cluster.now - before;
    assert!(waited >= Duration::from_millis(300) && waited <= Duration::from_millis(400), "{waited:?}");
}

#[rstest]
fn unresponsive_subscriber_is_redirected_and_disconnected() {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    let mut agent = Agent::subscribe(&mut cluster, primary);
    cluster.run(Duration::from_millis(2300));
    agent.apply(&mut cluster);
    assert_eq!(agent.redirects, 1);
    assert_eq!(cluster.clients[agent.client].link, None);
}

#[rstest]
fn isolated_primary_redirects_its_subscribers() {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    let mut agent = Agent::subscribe(&mut cluster, primary);
    agent.run(&mut cluster, Duration::from_millis(500));
    assert_eq!(agent.redirects, 0);
    cluster.isolate(primary);
    agent.run(&mut cluster, Duration::from_millis(1500));
    assert_eq!(
        agent.redirects, 1,
        "an isolated primary does not receive the changes that the next primary accepts"
    );
    assert_eq!(cluster.clients[agent.client].link, None);
}

#[rstest]
fn standby_redirects_subscribers() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_millis(500));
    let standby = (0..3).find(|node| *node != cluster.primary()).expect("a standby");
    let mut agent = Agent::subscribe(&mut cluster, standby);
    cluster.run(Duration::from_millis(20));
    agent.apply(&mut cluster);
    assert_eq!((agent.redirects, agent.last_sequence), (1, 0));
}

#[rstest]
fn instances_survive_a_restart_of_all_control_processes_while_their_heartbeats_continue() {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    cluster.request(
        primary,
        http_request("PUT", "/instances/i-1", None, registration("10.9.0.1:8080", "ready", 1)),
    );
    cluster.request(
        primary,
        http_request("PUT", "/instances/i-2", None, registration("10.9.0.2:8080", "ready", 1)),
    );
    let mut agent = Agent::subscribe(&mut cluster, primary);
    agent.run(&mut cluster, Duration::from_millis(100));
    for node in 0..3 {
        cluster.kill(node);
    }
    for node in 0..3 {
        cluster.start(node);
    }
    cluster.run_until_primary_acts();
    let primary = cluster.primary();
    cluster.reconnect(agent.client, primary);
    agent.send_subscribe(&mut cluster);
    agent.run(&mut cluster, Duration::from_secs(1));
    assert_eq!(agent.state.instances().count(), 2);
    // Only one of the two sends heartbeats; the other one expires.
    for sequence in 2..22 {
        let heartbeat =
            http_request("PUT", "/instances/i-1", None, registration("10.9.0.1:8080", "ready", sequence));
        assert_eq!(cluster.request(primary, heartbeat).map(|response| response.status), Some(200));
        agent.run(&mut cluster, Duration::from_secs(1));
    }
    let live: Vec<&str> = agent.state.instances().map(|instance| instance.id.as_str()).collect();
    assert_eq!(live, ["i-1"]);
    assert_eq!(agent.complete_lists, 1);
}

#[rstest]
fn subscribers_receive_the_addresses_of_new_control_processes() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    let primary = cluster.primary();
    let mut agent = Agent::subscribe(&mut cluster, primary);
    agent.run(&mut cluster, Duration::from_millis(100));
    cluster.add_machine(&[0, 1, 2]);
    let mut advertised = Vec::new();
    for _ in 0..20 {
        cluster.run(Duration::from_millis(100));
        for message in cluster.received(agent.client) {
            if let FromControl::Members(members) = message {
                advertised = members;
            }
        }
        cluster.send(agent.client, ToControl::KeepAlive);
    }
    assert!(advertised.contains(&"10.0.0.4:7300".to_string()), "{advertised:?}");
}

#[rstest]
fn snapshot_with_the_largest_configuration_fits_a_frame() {
    let max_other_updates_bytes = 8 * 1024 * 1024;
    assert!(MAX_BODY_BYTES + max_other_updates_bytes <= CONTROL_LINK_LIMITS.max_frame_bytes);
}
