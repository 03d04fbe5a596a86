//! Bytes of snapshots and of compressed configurations after seeded sequences of updates, as approved.

use nanoserde::SerBin;
use pebblepost_feed::FeedState;
use pebblepost_feed::compression::compress_configuration;
use pebblepost_messages::feed::{
    ConfigurationUpdate, FeedUpdate, Instance, InstanceState, ModelVersion, StoreGroup,
};
use pebblepost_stable_hash::Fnv1a;
use rstest::rstest;

/// Steps of each sequence.
const UPDATES: u64 = 400;

/// A linear congruential generator: the sequences must not change with a library.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn instance(draws: &mut Draws) -> Instance {
    let state = [InstanceState::Ready, InstanceState::Draining, InstanceState::Terminated];
    Instance {
        id: format!("i-{}", draws.below(30)),
        backend: "s".into(),
        address: format!("10.0.0.{}:80", draws.below(200)),
        zone: "a".into(),
        slots: 4,
        state: state[[0, 0, 0, 0, 1, 2][draws.below(6) as usize]],
        warm_up_remaining_ms: draws.below(3) as u32,
        models: vec![ModelVersion { model: "m".into(), generation: draws.below(20) }],
        sequence: draws.below(12),
    }
}

fn configuration(draws: &mut Draws, step: u64) -> FeedUpdate {
    let generation = 1 + step / 4 + draws.below(3);
    let document = format!(r#"{{"generation":{generation},"routes":[],"services":[{{"name":"s"}}]}}"#);
    FeedUpdate::Configuration(match draws.below(3) {
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

fn update(draws: &mut Draws, step: u64) -> FeedUpdate {
    match draws.below(8) {
        0 | 1 => configuration(draws, step),
        2..=4 => {
            let complete = draws.below(9) == 0;
            let count = 1 + draws.below(5);
            FeedUpdate::Instances { complete, instances: (0..count).map(|_| instance(draws)).collect() }
        }
        5 => {
            let group = draws.below(4) as u32;
            FeedUpdate::StoreGroups(vec![StoreGroup {
                group,
                epoch: draws.below(9),
                ..StoreGroup::default()
            }])
        }
        6 => FeedUpdate::NamedVersions(vec![ModelVersion { model: "m".into(), generation: draws.below(50) }]),
        _ => FeedUpdate::ProxyCount(draws.below(5) as u32),
    }
}

#[rstest]
#[case(1, 0x62df_9e28_6b91_4141)]
#[case(2, 0xf09b_18e1_d2e0_bdc9)]
#[case(3, 0xcdd3_91c8_ff55_8669)]
fn snapshots_of_a_seeded_sequence_are_as_approved(#[case] seed: u64, #[case] approved: u64) {
    let mut draws = Draws(seed);
    let mut state = FeedState::default();
    let mut digest = Fnv1a::default();
    for step in 0..UPDATES {
        let changes = state.apply(&update(&mut draws, step));
        let flags = [changes.configuration, changes.named_versions, changes.resync_needed, changes.any()];
        digest.update(&flags.map(u8::from));
        digest.update(changes.instances.join(",").as_bytes());
        digest.update(&changes.store_groups.serialize_bin());
        digest.update(&state.snapshot().serialize_bin());
        digest.update(&state.proxy_count().to_le_bytes());
    }
    assert_eq!(digest.finish(), approved, "{:#x}", digest.finish());
}

#[test]
fn a_compressed_configuration_has_the_approved_bytes() {
    let document: String = (0..200).map(|number| format!("{{\"number\":{}}}", number * 37)).collect();
    let mut digest = Fnv1a::default();
    digest.update(&compress_configuration(6, document.as_bytes()).serialize_bin());
    assert_eq!(digest.finish(), 0xcac5_66a9_4423_4230, "{:#x}", digest.finish());
}
