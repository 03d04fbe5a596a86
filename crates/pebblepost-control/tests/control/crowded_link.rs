//! A large configuration change for a fleet of agents over the network interface of the primary. The feed must leave
//! room for the messages that renew the lease of the primary, and reach all agents in time, also across a failover.
//! Without pacing the primary loses its lease on a slow link; without compression the change arrives too late.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, large_patch};
use crate::support::http_request;
use crate::support::network::InterfaceModel;
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedReply, FeedUpdate};
use rstest::rstest;
use std::time::Duration;

const AGENTS: usize = 300;
const ROUTES: u64 = 1_440;
/// Version of the large change.
const LARGE_GENERATION: u64 = 4;
/// Limit on the time from the acknowledgement of a change until all agents apply it (`config_apply_ms`).
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after which an agent without a link connects to another process.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(10);
/// The control nodes of the operators' large deployment: 120 Mbit/s.
const LARGE_DEPLOYMENT: InterfaceModel =
    InterfaceModel { bytes_per_second: 15_000_000, is_paced: true, is_compressed: true };

/// An agent that applies the feed and reconnects until it finds the primary.
struct Agent {
    client: usize,
    /// Node of its link, or of its last one.
    node: usize,
    /// Version of its configuration.
    generation: u64,
    /// When it connects to the next node; `None` while it has a link.
    reconnect_at: Option<Duration>,
    /// When it applied the large change.
    updated_at: Option<Duration>,
}

impl Agent {
    fn start(cluster: &mut Cluster, node: usize) -> Agent {
        let client = cluster.connect(node);
        let agent = Agent { client, node, generation: 0, reconnect_at: None, updated_at: None };
        agent.subscribe(cluster);
        agent
    }

    fn subscribe(&self, cluster: &mut Cluster) {
        let subscribe = ToControl::Subscribe {
            node: format!("edge-{}", self.client),
            zone: "zone-0".into(),
            role: SubscriberRole::Agent,
            generation: self.generation,
        };
        cluster.send(self.client, subscribe);
    }

    fn act(&mut self, cluster: &mut Cluster) {
        for message in cluster.received(self.client) {
            match message {
                FromControl::Feed(batch) => {
                    batch.updates.iter().for_each(|update| self.apply(cluster.now, update));
                    let generation = self.generation;
                    let reply = FeedReply::Acknowledge { sequence: batch.sequence, generation };
                    cluster.send(self.client, ToControl::Reply(reply));
                }
                FromControl::Redirect { .. } => self.schedule_reconnect(cluster),
                _ => cluster.send(self.client, ToControl::KeepAlive),
            }
        }
        if cluster.clients[self.client].link.is_none() {
            self.schedule_reconnect(cluster);
        }
        if self.reconnect_at.is_some_and(|at| cluster.now >= at) {
            self.reconnect_at = None;
            self.node = (self.node + 1) % cluster.machine_count();
            if cluster.is_up(self.node) {
                cluster.reconnect(self.client, self.node);
                self.subscribe(cluster);
            }
        }
    }

    fn apply(&mut self, now: Duration, update: &FeedUpdate) {
        let FeedUpdate::Configuration(configuration) = update else { return };
        if configuration.generation() <= self.generation {
            return;
        }
        if let ConfigurationUpdate::Patch { base_generation, .. } = configuration {
            assert_eq!(
                *base_generation, self.generation,
                "a patch on a version that the agent does not have"
            );
        }
        self.generation = configuration.generation();
        if self.generation >= LARGE_GENERATION {
            self.updated_at.get_or_insert(now);
        }
    }

    fn schedule_reconnect(&mut self, cluster: &Cluster) {
        self.reconnect_at.get_or_insert(cluster.now + RECONNECT_BACKOFF);
    }
}

/// The result of a run.
#[derive(Debug)]
struct Outcome {
    /// Processes that acted as primary from the change on, in order.
    primaries: Vec<usize>,
    /// Time from the acknowledgement until the last agent applied the change; `None` if some agent never did.
    applied_within: Option<Duration>,
}

/// Makes a large change in a fleet. With `kill_after`, the primary is killed this long after the acknowledgement.
fn run(model: InterfaceModel, kill_after: Option<Duration>) -> Outcome {
    let mut cluster = Cluster::with_primary();
    let primary = cluster.primary();
    cluster.request(primary, http_request("PUT", "/config", Some(0), configuration(3, 10)));
    let mut agents: Vec<Agent> = (0..AGENTS).map(|_| Agent::start(&mut cluster, primary)).collect();
    step(&mut cluster, &mut agents, Duration::from_secs(2));
    cluster.model_interfaces(model);
    let change = http_request("PATCH", "/config", Some(3), large_patch(LARGE_GENERATION, ROUTES));
    assert_eq!(cluster.request(primary, change).map(|response| response.status), Some(200));
    let acknowledged_at = cluster.now;
    let mut primaries = vec![primary];
    while cluster.now < acknowledged_at + MAX_APPLY_TIME * 3 {
        if kill_after.is_some_and(|after| cluster.now >= acknowledged_at + after) && cluster.is_up(primary) {
            cluster.kill(primary);
        }
        step(&mut cluster, &mut agents, STEP);
        primaries.extend(cluster.acting_nodes());
        primaries.dedup();
    }
    let updated: Option<Vec<Duration>> = agents.iter().map(|agent| agent.updated_at).collect();
    let last = updated.and_then(|updated| updated.into_iter().max());
    Outcome { primaries, applied_within: last.map(|at| at - acknowledged_at) }
}

fn step(cluster: &mut Cluster, agents: &mut [Agent], time: Duration) {
    let until = cluster.now + time;
    while cluster.now < until {
        cluster.run(STEP);
        agents.iter_mut().for_each(|agent| agent.act(cluster));
    }
}

#[rstest]
fn large_change_reaches_all_agents_in_time_and_the_primary_keeps_its_lease() {
    let outcome = run(LARGE_DEPLOYMENT, None);
    assert_eq!(outcome.primaries.len(), 1, "{outcome:?}");
    assert!(outcome.applied_within.is_some_and(|time| time <= MAX_APPLY_TIME), "{outcome:?}");
}

#[rstest]
#[case::at_the_acknowledgement(0)]
#[case::while_the_feed_is_sent(400)]
#[case::after_most_agents_applied_it(900)]
fn acknowledged_change_reaches_all_agents_in_time_across_a_failover(#[case] kill_after_ms: u64) {
    let outcome = run(LARGE_DEPLOYMENT, Some(Duration::from_millis(kill_after_ms)));
    assert_eq!(outcome.primaries.len(), 2, "{outcome:?}");
    assert!(outcome.applied_within.is_some_and(|time| time <= MAX_APPLY_TIME), "{outcome:?}");
}

#[rstest]
#[case::with_pacing(true, true)]
#[case::without_pacing(false, false)]
fn primary_keeps_its_lease_on_a_slow_link_only_with_pacing(
    #[case] is_paced: bool, #[case] keeps_lease: bool,
) {
    let slow = InterfaceModel {
        bytes_per_second: LARGE_DEPLOYMENT.bytes_per_second / 4,
        is_paced,
        ..LARGE_DEPLOYMENT
    };
    let outcome = run(slow, None);
    assert_eq!(outcome.primaries.len() == 1, keeps_lease, "{outcome:?}");
}

#[rstest]
fn uncompressed_large_change_reaches_the_agents_too_late() {
    let outcome = run(InterfaceModel { is_compressed: false, ..LARGE_DEPLOYMENT }, None);
    assert_eq!(outcome.primaries.len(), 1, "with pacing the primary keeps its lease: {outcome:?}");
    assert!(outcome.applied_within.is_none_or(|time| time > MAX_APPLY_TIME), "{outcome:?}");
}
