//! Measured runs of real `pebblepost` processes on loopback, with everything around them simulated. It is a test tool and is
//! not deployed.
//!
//! * [`workload`]: what a run consists of, and what a seed makes of it
//! * [`worker`], [`discovery`]: simulated workers, and the service that lists them
//! * [`clients`], [`dispatcher`]: open-loop clients, and the processes under test
//! * [`event_log`], [`checker`], [`report`]: what was seen, the rules, the figures
//! * [`fault`]: faults of processes and links; [`store`]: replicas of the agreed store under them
//! * [`supervisor`]: restarts dispatchers; [`release`]: releases under faults
//! * [`run`]: one run of all of it; [`reservations`], [`cpu_cost`], [`fleet`]: measurements made of runs
//!
//! It never looks into a process: what it knows is what clients, workers, discovery and operators see.

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
