//! Plans which transcriber loads which weight version when, without I/O or clock.
//!
//! Interface agreed with the control program; times are the caller's steady clock.

mod choice;
mod planner;
mod slack;
mod transcriber;

pub use planner::Planner;

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
