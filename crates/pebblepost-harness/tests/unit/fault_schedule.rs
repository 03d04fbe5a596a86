//! Fault schedules: drawing, printing, shrinking.

use pebblepost_harness::fault::schedule::{Schedule, ScheduleParameters};

#[test]
fn a_schedule_is_reproducible_serializable_and_shrinks() {
    let draw = ScheduleParameters {
        processes: 3,
        duration_s: 600.0,
        mean_interval_s: 0.85,
        max_fault_duration_s: 2.0,
    };
    let one = Schedule::draw(draw, 7);
    assert!(one == Schedule::draw(draw, 7) && one != Schedule::draw(draw, 8));
    let text = serde_json::to_string(&one).expect("plain data");
    assert!(serde_json::from_str::<Schedule>(&text).expect("the same") == one);
    assert!(
        one.counts_by_name().len() >= 10 && one.counts_by_name()["kill"] >= 300,
        "{:?}",
        one.counts_by_name()
    );
    assert!(one.0.iter().all(|f| f.begins_at_s + f.duration_s <= 600.0));
    let less = one.clone().without(&[0, 2]);
    assert_eq!(less.0.len(), one.0.len() - 2);
    assert_eq!(less.0[0], one.0[1]);
}
