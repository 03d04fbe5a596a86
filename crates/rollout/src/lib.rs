//! Plans which transcriber loads which weight version when, without I/O or clock.
//!
//! Interface agreed with the control program; times are the caller's steady clock.

use pebblepost_messages::feed::Instance;
use std::time::Duration;

/// How an order treats what runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// Runs finish first.
    Wait,
    /// Their streams are reset.
    Truncate,
    /// They go on under the new version.
    Retain,
}

/// An order to be sent, `POST /order`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identity of the transcriber.
    pub instance: String,
    /// Its address.
    pub address: String,
    /// The model.
    pub model: String,
    /// The version to load.
    pub generation: u64,
    /// How.
    pub mode: LoadMode,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// 202.
    UnderWay,
    /// 200.
    AlreadyHolds,
    /// 409.
    Conflict,
    /// 412: a higher fence was seen.
    Fenced,
    /// 400 or 421 or any other answer: it was not taken.
    Refused,
    /// No answer: it may have been taken.
    Unknown,
}

/// What a transcriber's report said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reported {
    /// An order is under way.
    pub busy: bool,
    /// Models and versions.
    pub models: Vec<(String, u64)>,
    /// Requests that run.
    pub running: u32,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanOutput {
    /// Send an order; answer with [`Planner::order_answered`].
    Send(Order),
    /// Ask for a report; answer with [`Planner::reported`].
    Ask {
        /// Identity of the transcriber.
        instance: String,
        /// Its address.
        address: String,
    },
    /// A transcriber surely holds a version now (for the registry).
    Holds {
        /// Identity of the transcriber.
        instance: String,
        /// The model.
        model: String,
        /// The version.
        generation: u64,
    },
}

/// The planner of one lease holder.
#[derive(Debug, Default)]
pub struct Planner;

#[allow(unused_variables)]
impl Planner {
    /// A planner that may send its first order at `not_before` (a former holder's orders must be
    /// `lease_ms` old by then).
    pub fn new(not_before: Duration) -> Planner {
        todo!()
    }
    /// A model's newest named version, and whether its texts must be made under one version.
    pub fn name_version(&mut self, now: Duration, model: &str, generation: u64, single_version: bool) {
        todo!()
    }
    /// A transcriber was announced, changed or ended.
    pub fn instance(&mut self, now: Duration, instance: &Instance) {
        todo!()
    }
    /// An order was answered.
    pub fn order_answered(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
        todo!()
    }
    /// A report came; `None`: it failed.
    pub fn reported(&mut self, now: Duration, instance: &str, report: Option<Reported>) {
        todo!()
    }
    /// Time passed; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Duration) {
        todo!()
    }
    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<PlanOutput> {
        todo!()
    }
}
