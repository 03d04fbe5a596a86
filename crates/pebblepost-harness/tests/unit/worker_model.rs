//! Tests of the simulated worker's queue, slots, cache and slow start.

use pebblepost_harness::worker::model::{Admission, JobEvent, JobId, WorkerModel};
use pebblepost_harness::workload::spec::QueueOrder;
use pebblepost_harness::workload::workers::WorkerSpec;

fn model(order: QueueOrder) -> WorkerModel {
    let spec = WorkerSpec {
        host: "w".to_owned(),
        zone: 0,
        kind: "test",
        cores: 2,
        slots: 2,
        speed: 1.0,
        queue: 3,
        order,
        cold_capacity: 0.2,
        slow_start_s: 10.0,
        keys: 1,
        refresh_s: 0.01,
        delay_s: 0.01,
        noise: 0.0,
    };
    WorkerModel::new(spec, 0.5)
}

fn started(events: &[JobEvent]) -> Vec<JobId> {
    events
        .iter()
        .filter_map(|event| if let JobEvent::Started(job_id) = event { Some(*job_id) } else { None })
        .collect()
}

#[test]
fn a_wide_job_blocks_a_fifo_queue_and_is_overtaken_by_backfill() {
    for (order, expected) in [(QueueOrder::Fifo, vec![1, 2, 3]), (QueueOrder::Backfill, vec![1, 3, 2])] {
        let (mut worker, mut events) = (model(order), Vec::new());
        worker.submit(0, 1, 1, 1.0, 0);
        worker.submit(0, 2, 2, 1.0, 0);
        worker.submit(0, 3, 1, 1.0, 0);
        worker.advance(5.0, 1.0, &mut events);
        assert_eq!(started(&events), expected);
    }
}

#[test]
fn rejects_jobs_when_the_queue_is_full_or_the_job_needs_too_many_slots() {
    let mut worker = model(QueueOrder::Fifo);
    assert_eq!(
        worker.submit(0, 1, 3, 1.0, 0),
        Admission::Rejected,
        "the job needs more slots than the worker has"
    );
    let mut events = Vec::new();
    for job_id in 0..2 {
        assert_eq!(worker.submit(0, job_id, 1, 1.0, 0), Admission::Accepted);
    }
    worker.advance(0.1, 1.0, &mut events);
    for job_id in 2..5 {
        assert_eq!(worker.submit(0, job_id, 1, 1.0, 0), Admission::Accepted);
    }
    assert_eq!(worker.submit(0, 5, 1, 1.0, 0), Admission::Rejected);
}

#[test]
fn a_cached_key_is_fetched_once_at_the_speed_of_the_shared_store() {
    let (mut worker, mut events) = (model(QueueOrder::Fifo), Vec::new());
    worker.submit(0, 1, 1, 1.0, 7);
    worker.advance(1.9, 0.5, &mut events);
    assert!(
        !events.contains(&JobEvent::Done(1)),
        "a fetch of 0.5 s takes 1 s at half speed, then 1 s of work follows"
    );
    worker.advance(2.1, 0.5, &mut events);
    assert!(events.contains(&JobEvent::Done(1)));
    worker.submit(0, 2, 1, 1.0, 7);
    worker.advance(3.2, 0.5, &mut events);
    assert!(events.contains(&JobEvent::Done(2)), "the key is cached, so there is no fetch");
}

#[test]
fn a_cold_worker_is_slow_and_is_overloaded_beyond_three_times_its_capacity() {
    let (mut worker, mut events) = (model(QueueOrder::Fifo), Vec::new());
    worker.restart(0.0);
    assert!((worker.capacity() - 0.4).abs() < 1e-9);
    worker.submit(0, 1, 1, 1.0, 0);
    worker.advance(1.0, 1.0, &mut events);
    assert!(!events.contains(&JobEvent::Done(1)));
    worker.submit(0, 2, 1, 2.0, 0);
    assert!(worker.overload().is_none());
    worker.submit(0, 3, 1, 3.0, 0);
    assert_eq!(worker.overload(), Some((0.0, vec![(0, 1.0), (0, 2.0), (0, 3.0)])));
    assert_eq!(worker.restart(2.0), [1, 2, 3]);
    assert!(worker.overload().is_none());
}
