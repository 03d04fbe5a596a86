//! The bytes of snapshots after seeded sequences of updates, and of compressed configurations, match approved digests.

use nanoserde::SerBin;
use pebblepost_feed::FeedState;
use pebblepost_feed::compression::compress_configuration;
use pebblepost_messages::feed::{
    ConfigurationUpdate, FeedUpdate, Instance, InstanceState, ModelVersion, StoreGroup,
};
use pebblepost_stable_hash::Fnv1a;
use rstest::rstest;

/// Number of updates in each sequence.
const UPDATES_PER_SEQUENCE: u64 = 400;

/// A linear congruential generator. It is written out here so that a new version of a library cannot change the
/// sequences.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn instance(random: &mut Random) -> Instance {
    let state = [InstanceState::Ready, InstanceState::Draining, InstanceState::Terminated];
    Instance {
        id: format!("i-{}", random.below(30)),
        backend: "s".into(),
        address: format!("10.0.0.{}:80", random.below(200)),
        zone: "a".into(),
        slots: 4,
        state: state[[0, 0, 0, 0, 1, 2][random.below(6) as usize]],
        slow_start_remaining_ms: random.below(3) as u32,
        models: vec![ModelVersion { model: "m".into(), generation: random.below(20) }],
        sequence: random.below(12),
    }
}

fn configuration(random: &mut Random, step: u64) -> FeedUpdate {
    let generation = 1 + step / 4 + random.below(3);
    let document = format!(r#"{{"generation":{generation},"routes":[],"services":[{{"name":"s"}}]}}"#);
    FeedUpdate::Configuration(match random.below(3) {
        0 => ConfigurationUpdate::Full { generation, document: document.into_bytes() },
        1 => compress_configuration(generation, document.as_bytes()),
        _ => ConfigurationUpdate::Patch {
            base_generation: generation - 1,
            generation,
            patch: format!(r#"{{"generation":{generation},"upsert":{{"services":[{{"name":"t"}}]}}}}"#)
                .into_bytes(),
        },
    })
}

fn update(random: &mut Random, step: u64) -> FeedUpdate {
    match random.below(8) {
        0 | 1 => configuration(random, step),
        2..=4 => {
            let complete = random.below(9) == 0;
            let count = 1 + random.below(5);
            FeedUpdate::Instances { complete, instances: (0..count).map(|_| instance(random)).collect() }
        }
        5 => {
            let group = random.below(4) as u32;
            FeedUpdate::StoreGroups(vec![StoreGroup {
                group,
                epoch: random.below(9),
                ..StoreGroup::default()
            }])
        }
        6 => {
            FeedUpdate::NamedVersions(vec![ModelVersion { model: "m".into(), generation: random.below(50) }])
        }
        _ => FeedUpdate::ProxyCount(random.below(5) as u32),
    }
}

#[rstest]
#[case(1, 0x62df_9e28_6b91_4141)]
#[case(2, 0xf09b_18e1_d2e0_bdc9)]
#[case(3, 0xcdd3_91c8_ff55_8669)]
fn snapshots_of_seeded_sequences_match_the_approved_digests(#[case] seed: u64, #[case] approved: u64) {
    let mut random = Random(seed);
    let mut state = FeedState::default();
    let mut digest = Fnv1a::default();
    for step in 0..UPDATES_PER_SEQUENCE {
        let changes = state.apply(&update(&mut random, step));
        let flags = [
            changes.configuration_changed,
            changes.named_versions_changed,
            changes.resync_needed,
            changes.has_changes(),
        ];
        digest.update(&flags.map(u8::from));
        digest.update(changes.changed_instances.join(",").as_bytes());
        digest.update(&changes.changed_store_groups.serialize_bin());
        digest.update(&state.snapshot().serialize_bin());
        digest.update(&state.proxy_count().to_le_bytes());
    }
    assert_eq!(digest.finish(), approved, "{:#x}", digest.finish());
}

#[test]
fn compressed_configuration_matches_the_approved_digest() {
    let document: String = (0..200).map(|number| format!("{{\"number\":{}}}", number * 37)).collect();
    let mut digest = Fnv1a::default();
    digest.update(&compress_configuration(6, document.as_bytes()).serialize_bin());
    assert_eq!(digest.finish(), 0xcac5_66a9_4423_4230, "{:#x}", digest.finish());
}
