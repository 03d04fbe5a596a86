//! Updates of the feed state: it is monotonic, whatever the order of the updates.

use pebblepost_feed::{FeedChanges, FeedState};
use pebblepost_messages::feed::{
    ConfigurationUpdate, FeedUpdate, Instance, InstanceState, ModelVersion, StoreGroup,
};
use rstest::rstest;

fn document(generation: u64, routes: &str) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"routes":[{routes}],"services":[{{"name":"s"}}]}}"#).into_bytes()
}

fn full(generation: u64) -> FeedUpdate {
    let document = document(generation, "");
    FeedUpdate::Configuration(ConfigurationUpdate::Full { generation, document })
}

fn patch(base: u64, generation: u64) -> FeedUpdate {
    let route = r#"{"name":"r","hostname":"h","path_prefix":"/p/","kind":"idempotent","backend":"s"}"#;
    let patch = format!(r#"{{"generation":{generation},"upsert":{{"routes":[{route}]}}}}"#).into_bytes();
    FeedUpdate::Configuration(ConfigurationUpdate::Patch { base_generation: base, generation, patch })
}

fn instance(id: &str, sequence: u64, state: InstanceState) -> Instance {
    Instance { id: id.to_owned(), backend: "s".to_owned(), sequence, state, ..Instance::default() }
}

fn announcement(instance: Instance) -> FeedUpdate {
    FeedUpdate::Instances { complete: false, instances: vec![instance] }
}

fn instance_with_version(id: &str, sequence: u64, generation: u64) -> Instance {
    let models = vec![ModelVersion { model: "m".to_owned(), generation }];
    Instance { models, ..instance(id, sequence, InstanceState::Ready) }
}

fn version(model: &str, generation: u64) -> ModelVersion {
    ModelVersion { model: model.to_owned(), generation }
}

fn ids(state: &FeedState) -> Vec<&str> {
    state.instances().map(|instance| instance.id.as_str()).collect()
}

fn state_after_updates(updates: &[FeedUpdate]) -> FeedState {
    let mut state = FeedState::default();
    state.apply_all(updates);
    state
}

#[test]
fn only_a_newer_configuration_replaces_the_current_one() {
    let mut state = FeedState::default();
    assert_eq!(state.generation(), 0);
    assert!(state.apply(&full(5)).configuration_changed);
    assert!(!state.apply(&full(4)).has_changes());
    assert!(!state.apply(&full(5)).has_changes());
    assert_eq!(state.generation(), 5);
    assert!(state.apply(&full(9)).configuration_changed);
    assert_eq!(state.configuration().unwrap().generation(), 9);
}

#[test]
fn patch_applies_only_to_its_base_generation() {
    let mut state = FeedState::default();
    let resync = FeedChanges { resync_needed: true, ..FeedChanges::default() };
    assert_eq!(state.apply(&patch(5, 7)), resync);
    state.apply(&full(5));
    assert_eq!(state.apply(&patch(4, 7)), resync);
    assert_eq!(state.generation(), 5);
    assert!(state.apply(&patch(5, 7)).configuration_changed);
    assert_eq!(state.configuration().unwrap().route("h", "/p/x").unwrap().name, "r");
    // A patch that was applied already needs no resync, although its base is not the current generation.
    assert!(!state.apply(&patch(5, 7)).has_changes());
}

#[test]
fn invalid_configuration_is_ignored() {
    let mut state = state_after_updates(&[full(5)]);
    let document = b"{".to_vec();
    let update = FeedUpdate::Configuration(ConfigurationUpdate::Full { generation: 6, document });
    assert!(!state.apply(&update).has_changes());
    assert_eq!(state.generation(), 5);
}

#[rstest]
#[case::higher_sequence_replaces(InstanceState::Ready, 2, InstanceState::Ready, 3, InstanceState::Ready, 3)]
#[case::lower_is_ignored(InstanceState::Ready, 3, InstanceState::Ready, 2, InstanceState::Ready, 3)]
#[case::drains(InstanceState::Ready, 2, InstanceState::Draining, 3, InstanceState::Draining, 3)]
#[case::drains_by_an_older_announcement(
    InstanceState::Ready,
    3,
    InstanceState::Draining,
    2,
    InstanceState::Draining,
    3
)]
#[case::stays_draining(InstanceState::Draining, 2, InstanceState::Ready, 9, InstanceState::Draining, 9)]
#[case::terminates_at_any_sequence(
    InstanceState::Ready,
    9,
    InstanceState::Terminated,
    0,
    InstanceState::Terminated,
    9
)]
#[case::stays_terminated(InstanceState::Terminated, 2, InstanceState::Ready, 9, InstanceState::Terminated, 2)]
#[case::stays_terminated_after_drain(
    InstanceState::Terminated,
    2,
    InstanceState::Draining,
    9,
    InstanceState::Terminated,
    2
)]
fn instance_state_is_monotonic(
    #[case] first: InstanceState, #[case] first_sequence: u64, #[case] second: InstanceState,
    #[case] second_sequence: u64, #[case] state: InstanceState, #[case] sequence: u64,
) {
    let feed_state = state_after_updates(&[
        announcement(instance("i", first_sequence, first)),
        announcement(instance("i", second_sequence, second)),
    ]);
    let current = feed_state.instance("i").unwrap();
    assert_eq!((current.state, current.sequence), (state, sequence));
    assert_eq!(ids(&feed_state).is_empty(), state == InstanceState::Terminated);
}

#[test]
fn changes_list_the_changed_instances() {
    let mut state = FeedState::default();
    let first = announcement(instance("i", 1, InstanceState::Ready));
    assert_eq!(state.apply(&first).changed_instances, ["i"]);
    assert!(!state.apply(&first).has_changes());
    assert_eq!(state.apply(&announcement(instance("i", 2, InstanceState::Ready))).changed_instances, ["i"]);
}

#[rstest]
#[case::equal_sequence_rises(3, 1, 3, 2, 2)]
#[case::equal_sequence_does_not_go_back(3, 2, 3, 1, 2)]
#[case::older_sequence_does_not_go_back(3, 2, 2, 1, 2)]
#[case::older_sequence_does_not_rise(3, 2, 2, 9, 2)]
#[case::a_newer_announcement_replaces(3, 2, 4, 1, 1)]
fn loaded_versions_follow_the_sequence_number(
    #[case] first_sequence: u64, #[case] first: u64, #[case] second_sequence: u64, #[case] second: u64,
    #[case] expected: u64,
) {
    let state = state_after_updates(&[
        announcement(instance_with_version("i", first_sequence, first)),
        announcement(instance_with_version("i", second_sequence, second)),
    ]);
    assert_eq!(state.instance("i").unwrap().models, [version("m", expected)]);
}

#[test]
fn complete_list_terminates_all_other_instances() {
    let mut state = state_after_updates(&[
        announcement(instance("a", 1, InstanceState::Ready)),
        announcement(instance("b", 1, InstanceState::Draining)),
        announcement(instance("c", 1, InstanceState::Ready)),
    ]);
    assert!(!state.instances_are_complete());
    let instances = vec![instance("c", 1, InstanceState::Ready), instance("d", 1, InstanceState::Ready)];
    let changes = state.apply(&FeedUpdate::Instances { complete: true, instances });
    assert_eq!(changes.changed_instances, ["d", "a", "b"]);
    assert!(state.instances_are_complete());
    assert_eq!(ids(&state), ["c", "d"]);
    assert!(!state.apply(&announcement(instance("a", 9, InstanceState::Ready))).has_changes());
}

#[test]
fn number_of_tombstones_is_limited() {
    let mut state = FeedState::default();
    for number in 0..5000 {
        let id = format!("i{number}");
        state.apply(&announcement(instance(&id, 1, InstanceState::Ready)));
        state.apply(&announcement(instance(&id, 1, InstanceState::Terminated)));
    }
    assert!(state.instance("i0").is_none());
    assert!(state.instance("i903").is_none());
    assert!(state.instance("i904").is_some());
    assert_eq!(state.instances().count(), 0);
}

#[test]
fn store_group_with_an_older_epoch_is_ignored() {
    let group = |epoch, targets: usize| StoreGroup {
        group: 3,
        epoch,
        targets: vec![Default::default(); targets],
        ..StoreGroup::default()
    };
    let update = |group: &StoreGroup| FeedUpdate::StoreGroups(vec![group.clone()]);
    let mut state = FeedState::default();
    assert_eq!(state.apply(&update(&group(2, 1))).changed_store_groups, [3]);
    assert!(!state.apply(&update(&group(1, 2))).has_changes());
    assert!(!state.apply(&update(&group(2, 1))).has_changes());
    assert_eq!(state.apply(&update(&group(2, 2))).changed_store_groups, [3]);
    assert_eq!(state.apply(&update(&group(5, 0))).changed_store_groups, [3]);
    assert_eq!(state.store_group(3), Some(&group(5, 0)));
    assert_eq!(state.store_groups().count(), 1);
}

#[test]
fn named_versions_never_decrease() {
    let mut state = FeedState::default();
    assert_eq!(state.named_version("m"), 1);
    assert!(state.apply(&FeedUpdate::NamedVersions(vec![version("m", 3)])).named_versions_changed);
    assert!(!state.apply(&FeedUpdate::NamedVersions(vec![version("m", 2)])).has_changes());
    assert_eq!(state.named_version("m"), 3);
}

#[test]
fn proxy_count_is_at_least_one() {
    let mut state = FeedState::default();
    assert_eq!(state.proxy_count(), 1);
    state.apply(&FeedUpdate::ProxyCount(7));
    assert_eq!(state.proxy_count(), 7);
}

#[rstest]
#[case::complete(true)]
#[case::incomplete(false)]
fn snapshot_brings_a_new_subscriber_to_the_same_state(#[case] complete: bool) {
    let mut state = state_after_updates(&[
        full(5),
        patch(5, 7),
        announcement(instance_with_version("a", 4, 2)),
        announcement(instance("b", 1, InstanceState::Terminated)),
        FeedUpdate::StoreGroups(vec![StoreGroup { group: 1, epoch: 4, ..StoreGroup::default() }]),
        FeedUpdate::NamedVersions(vec![version("m", 3)]),
        FeedUpdate::ProxyCount(2),
    ]);
    if complete {
        state.set_instances_complete();
    }
    let mut subscriber = state_after_updates(&[
        announcement(instance("b", 1, InstanceState::Ready)),
        announcement(instance("x", 1, InstanceState::Ready)),
    ]);
    subscriber.apply_all(&state.snapshot());
    assert_eq!(subscriber.generation(), 7);
    assert!(subscriber.configuration().unwrap().route("h", "/p/x").is_some());
    assert_eq!(subscriber.instance("a"), state.instance("a"));
    assert_eq!(subscriber.instance("b").unwrap().state, InstanceState::Terminated);
    // An incomplete list leaves the other instances of the subscriber as they are.
    let expected = if complete { vec!["a"] } else { vec!["a", "x"] };
    assert_eq!(ids(&subscriber), expected);
    assert_eq!(subscriber.store_group(1).unwrap().epoch, 4);
    assert_eq!((subscriber.named_version("m"), subscriber.proxy_count()), (3, 2));
}
