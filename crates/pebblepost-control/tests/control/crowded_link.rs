//! A fleet of subscribers behind one network interface: a large change neither costs the primary its lease nor reaches
//! anybody late, also through a failover. With the feed unpaced or uncompressed, one or the other happens.

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
const LARGE: u64 = 4;
/// Longest time from the acknowledgement of a change until it is in force everywhere (`config_apply_ms`).
const MAX_APPLY: Duration = Duration::from_secs(3);
/// Pause of an agent before it looks for another process.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(10);
/// The core machines of the operators' large deployment: 120 Mbit/s.
const MODEL: InterfaceModel =
    InterfaceModel { bytes_per_second: 15_000_000, is_paced: true, is_compressed: true };

/// An agent that follows the feed, wherever the primary is.
struct Agent {
    program: usize,
    node: usize,
    /// Version of its configuration.
    generation: u64,
    /// When it connects again.
    reconnect_at: Option<Duration>,
    /// When it had the large change.
    updated_at: Option<Duration>,
}

impl Agent {
    fn start(cluster: &mut Cluster, node: usize) -> Agent {
        let program = cluster.connect(node);
        let agent = Agent { program, node, generation: 0, reconnect_at: None, updated_at: None };
        agent.subscribe(cluster);
        agent
    }

    fn subscribe(&self, cluster: &mut Cluster) {
        let subscribe = ToControl::Subscribe {
            node: format!("edge-{}", self.program),
            zone: "zone-0".into(),
            role: SubscriberRole::Agent,
            generation: self.generation,
        };
        cluster.send(self.program, subscribe);
    }

    fn act(&mut self, cluster: &mut Cluster) {
        for message in cluster.received(self.program) {
            match message {
                FromControl::Feed(batch) => {
                    batch.updates.iter().for_each(|update| self.apply(cluster.now, update));
                    let generation = self.generation;
                    let reply = FeedReply::Acknowledge { sequence: batch.sequence, generation };
                    cluster.send(self.program, ToControl::Reply(reply));
                }
                FromControl::Redirect { .. } => self.look_elsewhere(cluster),
                _ => cluster.send(self.program, ToControl::KeepAlive),
            }
        }
        if cluster.programs[self.program].link.is_none() {
            self.look_elsewhere(cluster);
        }
        if self.reconnect_at.is_some_and(|at| cluster.now >= at) {
            self.reconnect_at = None;
            self.node = (self.node + 1) % cluster.machines();
            if cluster.is_up(self.node) {
                cluster.reconnect(self.program, self.node);
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
            assert_eq!(*base_generation, self.generation, "a patch of what the agent does not have");
        }
        self.generation = configuration.generation();
        if self.generation >= LARGE {
            self.updated_at.get_or_insert(now);
        }
    }

    fn look_elsewhere(&mut self, cluster: &Cluster) {
        self.reconnect_at.get_or_insert(cluster.now + RECONNECT_PAUSE);
    }
}

/// What a run showed.
#[derive(Debug)]
struct Outcome {
    /// Processes that acted as primary after the change, in their order.
    primaries: Vec<usize>,
    /// Time from the acknowledgement until the last agent had the change; `None` if some never had it.
    applied_within: Option<Duration>,
}

/// A large change in a fleet; the primary is killed this long after its acknowledgement.
fn run(model: InterfaceModel, kill_after: Option<Duration>) -> Outcome {
    let mut cluster = Cluster::acting();
    let primary = cluster.primary();
    cluster.request(primary, http_request("PUT", "/config", Some(0), configuration(3, 10)));
    let mut agents: Vec<Agent> = (0..AGENTS).map(|_| Agent::start(&mut cluster, primary)).collect();
    step(&mut cluster, &mut agents, Duration::from_secs(2));
    cluster.model_interfaces(model);
    let change = http_request("PATCH", "/config", Some(3), large_patch(LARGE, ROUTES));
    assert_eq!(cluster.request(primary, change).map(|response| response.status), Some(200));
    let acknowledged_at = cluster.now;
    let mut primaries = vec![primary];
    while cluster.now < acknowledged_at + MAX_APPLY * 3 {
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
fn a_large_change_costs_no_lease_and_is_in_force_everywhere_in_time() {
    let outcome = run(MODEL, None);
    assert_eq!(outcome.primaries.len(), 1, "{outcome:?}");
    assert!(outcome.applied_within.is_some_and(|time| time <= MAX_APPLY), "{outcome:?}");
}

#[rstest]
#[case::at_once(0)]
#[case::while_it_is_sent(400)]
#[case::when_most_have_it(900)]
fn an_acknowledged_change_is_in_force_in_time_through_a_failover(#[case] kill_after_ms: u64) {
    let outcome = run(MODEL, Some(Duration::from_millis(kill_after_ms)));
    assert_eq!(outcome.primaries.len(), 2, "{outcome:?}");
    assert!(outcome.applied_within.is_some_and(|time| time <= MAX_APPLY), "{outcome:?}");
}

#[rstest]
#[case::with_pacing(true, true)]
#[case::without(false, false)]
fn on_a_slow_link_only_pacing_keeps_the_lease(#[case] is_paced: bool, #[case] keeps_lease: bool) {
    let slow = InterfaceModel { bytes_per_second: MODEL.bytes_per_second / 4, is_paced, ..MODEL };
    let outcome = run(slow, None);
    assert_eq!(outcome.primaries.len() == 1, keeps_lease, "{outcome:?}");
}

#[rstest]
fn without_compression_the_change_comes_too_late() {
    let outcome = run(InterfaceModel { is_compressed: false, ..MODEL }, None);
    assert_eq!(outcome.primaries.len(), 1, "paced, the feed costs no lease: {outcome:?}");
    assert!(outcome.applied_within.is_none_or(|time| time > MAX_APPLY), "{outcome:?}");
}
