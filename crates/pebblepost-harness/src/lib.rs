//! Measured runs of real `pebblepost` processes on loopback, with everything around them stood in for.
//!
//! * [`scenario`]: what a run consists of, and what a seed makes of it
//! * [`machine`], [`standin`], [`discovery`]: the workers and the list of them
//! * [`clients`], [`dispatcher`]: open-loop clients, and the processes under test
//! * [`record`], [`checker`], [`report`]: what was seen, the rules, the figures
//! * [`fault`]: faults between processes; [`store`]: keepers of the agreed store under them
//! * [`supervisor`]: who starts dispatchers again; [`release`]: releases under faults
//! * [`run`]: one run of all of it; [`room`], [`cpu`]: measurements made of runs

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod checker;
pub mod clients;
pub mod cpu;
pub mod discovery;
pub mod dispatcher;
pub mod fault;
pub mod fleet;
pub mod machine;
pub mod record;
pub mod release;
pub mod report;
pub mod room;
pub mod run;
pub mod scenario;
pub mod standin;
pub mod store;
pub mod supervisor;
