//! Measured runs of real `pebblepost` processes on loopback, with simulated workers, discovery and clients. This is a test tool
//! and is not deployed.
//!
//! * [`workload`]: the parameters of a run, and the plan that a seed draws from them
//! * [`worker`], [`discovery`]: simulated workers, and the service that lists them
//! * [`clients`], [`dispatcher`]: open-loop clients, and the processes under test
//! * [`event_log`], [`checker`], [`report`]: the observed events, the rules that they must obey, and the summary
//! * [`fault`]: faults of processes and links; [`store`]: replicas of the replicated store under faults
//! * [`supervisor`]: restarts dispatchers; [`release`]: releases under faults
//! * [`run`]: one complete run; [`reservations`], [`cpu_cost`], [`fleet`]: measurements that consist of runs
//!
//! The harness does not look into the processes. It observes only what clients, workers, discovery and operators see.

#![forbid(unsafe_code)]

pub mod attempt_id;
pub mod checker;
pub mod clients;
pub mod cpu_cost;
pub mod discovery;
pub mod dispatcher;
pub mod event_log;
pub mod fault;
pub mod fleet;
pub mod quantile;
pub mod release;
pub mod report;
pub mod reservations;
pub mod run;
pub mod store;
pub mod supervisor;
pub mod sync;
pub mod worker;
pub mod workload;
