//! Tests of fault schedules: drawing, serialization and removal of faults.

use pebblepost_harness::fault::schedule::{Schedule, ScheduleParameters};

#[test]
fn a_schedule_is_reproducible_and_serializable_and_faults_can_be_removed() {
    let parameters = ScheduleParameters {
        processes: 3,
        duration_s: 600.0,
        mean_interval_s: 0.85,
        max_fault_duration_s: 2.0,
    };
    let schedule = Schedule::draw(parameters, 7);
    assert!(schedule == Schedule::draw(parameters, 7) && schedule != Schedule::draw(parameters, 8));
    let text = serde_json::to_string(&schedule).expect("serializable data");
    assert!(serde_json::from_str::<Schedule>(&text).expect("a schedule") == schedule);
    assert!(
        schedule.counts_by_name().len() >= 10 && schedule.counts_by_name()["kill"] >= 300,
        "{:?}",
        schedule.counts_by_name()
    );
    assert!(schedule.0.iter().all(|fault| fault.begins_at_s + fault.duration_s <= 600.0));
    let reduced = schedule.clone().without(&[0, 2]);
    assert_eq!(reduced.0.len(), schedule.0.len() - 2);
    assert_eq!(reduced.0[0], schedule.0[1]);
}
