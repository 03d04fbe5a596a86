//! Message exchanges between proxies and stores, compared with approved transcripts. `APPROVE=1` in the environment
//! rewrites the transcripts.

use crate::approval::approve;
use crate::simulation::client::{Request, job};
use crate::simulation::deployment::{Deployment, DeploymentPlan};
use rstest::rstest;

/// Starts a deployment, waits until it serves requests and begins to record its messages.
fn start_deployment(seed: u64, proxies: usize, max_bytes: u64) -> Deployment {
    let mut deployment =
        Deployment::new(DeploymentPlan { seed, machines: 3, proxies, tolerated_losses: 1, max_bytes });
    deployment.run(2_000);
    deployment.clients.is_recorded = true;
    deployment
}

fn read(job: &str, start: u64, wait_ms: u64) -> Request {
    Request::Read { job: job.to_owned(), start, wait_ms }
}

#[rstest]
fn a_job_is_submitted_run_read_and_ended() {
    let mut deployment = start_deployment(1, 2, u64::MAX);
    deployment.call(0, Request::Submit(Box::new(job("permits-1", 2, 2))));
    deployment.run(100);
    deployment.call(1, read("permits-1", 0, 1_000));
    deployment.call(0, Request::Body { job: "permits-1".to_owned(), item: "permits-1-3".to_owned() });
    deployment.run(700);
    deployment.call(0, read("permits-1", 1, 0));
    deployment.call(1, Request::End { job: "permits-1".to_owned() });
    deployment.run(30);
    deployment.call(0, Request::End { job: "permits-1".to_owned() });
    deployment.call(0, read("permits-1", 0, 1_000));
    deployment.run(30);
    approve("transcripts/job.txt", &deployment.transcript);
}

#[rstest]
fn submit_is_idempotent_and_unknown_jobs_are_not_found() {
    let mut deployment = start_deployment(2, 1, 200_000);
    deployment.call(0, Request::Submit(Box::new(job("minutes", 1, 1))));
    deployment.call(0, Request::Submit(Box::new(job("minutes", 1, 1))));
    deployment.call(0, Request::Submit(Box::new(job("too-large", 50, 2))));
    deployment.call(0, read("unknown", 0, 1_000));
    deployment.call(0, Request::End { job: "unknown".to_owned() });
    deployment.call(0, Request::Body { job: "minutes".to_owned(), item: "unknown".to_owned() });
    deployment.run(50);
    approve("transcripts/custody.txt", &deployment.transcript);
}

#[rstest]
fn a_new_primary_restores_work_leases_reported_by_proxies() {
    let mut deployment = start_deployment(40, 1, u64::MAX);
    let id = "letters-7";
    deployment.call(0, Request::Submit(Box::new(job(id, 4, 2))));
    deployment.run(60);
    let primary = deployment.primary(pebblepost_messages::batch::store_group_of(id)).expect("a primary");
    deployment.kill(primary, 20_000);
    deployment.run(2_400);
    deployment.call(0, read(id, 0, 500));
    deployment.run(100);
    approve("transcripts/takeover.txt", &deployment.transcript);
}
