//! Whole exchanges between proxies and stores, compared with approved texts; `APPROVE=1` in the
//! environment writes them anew.

use crate::approval::approve;
use crate::simulation::client::{Request, job};
use crate::simulation::world::{Plan, World};
use rstest::rstest;

/// A deployment that has come up, with recording on from now.
fn deployment(seed: u64, proxies: usize, max_bytes: u64) -> World {
    let mut world = World::new(Plan { seed, machines: 3, proxies, tolerate: 1, max_bytes });
    world.run(2_000);
    world.clients.is_recorded = true;
    world
}

fn read(job: &str, start: u64, wait_ms: u64) -> Request {
    Request::Read { job: job.to_owned(), start, wait_ms }
}

#[rstest]
fn job_is_submitted_run_read_and_ended() {
    let mut world = deployment(1, 2, u64::MAX);
    world.call(0, Request::Submit(Box::new(job("permits-1", 2, 2))));
    world.run(100);
    world.call(1, read("permits-1", 0, 1_000));
    world.call(0, Request::Body { job: "permits-1".to_owned(), item: "permits-1-3".to_owned() });
    world.run(700);
    world.call(0, read("permits-1", 1, 0));
    world.call(1, Request::End { job: "permits-1".to_owned() });
    world.run(30);
    world.call(0, Request::End { job: "permits-1".to_owned() });
    world.call(0, read("permits-1", 0, 1_000));
    world.run(30);
    approve("transcripts/job.txt", &world.transcript);
}

#[rstest]
fn submit_is_idempotent_and_unknown_jobs_are_not_found() {
    let mut world = deployment(2, 1, 200_000);
    world.call(0, Request::Submit(Box::new(job("minutes", 1, 1))));
    world.call(0, Request::Submit(Box::new(job("minutes", 1, 1))));
    world.call(0, Request::Submit(Box::new(job("too-large", 50, 2))));
    world.call(0, read("unknown", 0, 1_000));
    world.call(0, Request::End { job: "unknown".to_owned() });
    world.call(0, Request::Body { job: "minutes".to_owned(), item: "unknown".to_owned() });
    world.run(50);
    approve("transcripts/custody.txt", &world.transcript);
}

#[rstest]
fn new_primary_restores_the_leases_of_proxies() {
    let mut world = deployment(3, 1, u64::MAX);
    let id = "letters-7";
    world.call(0, Request::Submit(Box::new(job(id, 4, 2))));
    world.run(60);
    let primary = world.primary(pebblepost_messages::batch::store_group_of(id)).expect("a primary");
    world.kill(primary, 20_000);
    world.run(2_400);
    world.call(0, read(id, 0, 500));
    world.run(100);
    approve("transcripts/takeover.txt", &world.transcript);
}
