//! Whole exchanges between proxies and stores, compared with approved texts; `APPROVE=1` in the
//! environment writes them anew.

mod simulation;

use rstest::rstest;
use simulation::client::{What, job};
use simulation::transcript::approve;
use simulation::world::{Plan, World};

/// A deployment that has come up, with recording on from now.
fn deployment(seed: u64, proxies: usize, most_bytes: u64) -> World {
    let mut world = World::new(Plan { seed, machines: 3, proxies, tolerate: 1, most_bytes });
    world.run(2_000);
    world.clients.is_recorded = true;
    world
}

fn read(job: &str, start: u64, wait_ms: u64) -> What {
    What::Read { job: job.to_owned(), start, wait_ms }
}

#[rstest]
fn a_job_is_taken_run_read_and_ended() {
    let mut world = deployment(1, 2, u64::MAX);
    world.call(0, What::Submit(Box::new(job("permits-1", 2, 2))));
    world.run(100);
    world.call(1, read("permits-1", 0, 1_000));
    world.call(0, What::Body { job: "permits-1".to_owned(), item: "permits-1-3".to_owned() });
    world.run(700);
    world.call(0, read("permits-1", 1, 0));
    world.call(1, What::End { job: "permits-1".to_owned() });
    world.run(30);
    world.call(0, What::End { job: "permits-1".to_owned() });
    world.call(0, read("permits-1", 0, 1_000));
    world.run(30);
    approve("job.txt", &world.transcript);
}

#[rstest]
fn a_job_is_taken_once_and_no_other_is_known() {
    let mut world = deployment(2, 1, 200_000);
    world.call(0, What::Submit(Box::new(job("minutes", 1, 1))));
    world.call(0, What::Submit(Box::new(job("minutes", 1, 1))));
    world.call(0, What::Submit(Box::new(job("too-large", 50, 2))));
    world.call(0, read("unknown", 0, 1_000));
    world.call(0, What::End { job: "unknown".to_owned() });
    world.call(0, What::Body { job: "minutes".to_owned(), item: "unknown".to_owned() });
    world.run(50);
    approve("custody.txt", &world.transcript);
}

#[rstest]
fn a_new_primary_goes_on_with_what_proxies_hold() {
    let mut world = deployment(3, 1, u64::MAX);
    let id = "letters-7";
    world.call(0, What::Submit(Box::new(job(id, 4, 2))));
    world.run(60);
    let primary = world.primary(pebblepost_messages::batch::store_group_of(id)).expect("a primary");
    world.kill(primary, 20_000);
    world.run(2_400);
    world.call(0, read(id, 0, 500));
    world.run(100);
    approve("takeover.txt", &world.transcript);
}
