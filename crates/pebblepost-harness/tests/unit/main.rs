//! Tests of the parts of the harness that start no process, one test module for each module of the crate.

mod checker;
mod fault_schedule;
mod fault_tcp_relay;
mod fleet;
mod release_grant_audit;
mod release_maintenance;
mod release_outages;
mod report;
mod store_consistency;
mod worker_model;
mod workload;
