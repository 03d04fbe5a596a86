//! Orders to transcribers, their answers and reports, and the outputs of the planner.

/// What happens to the requests that run when a load starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// They finish before the load.
    Wait,
    /// Their streams are reset.
    Truncate,
    /// They continue under the new version.
    Retain,
}

/// An order to load a version: the body of `POST /order`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Instance id of the transcriber.
    pub instance: String,
    /// Its address.
    pub address: String,
    /// The model.
    pub model: String,
    /// The version to load.
    pub generation: u64,
    /// What happens to the requests that run.
    pub mode: LoadMode,
}

/// The answer to an order, by its status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// 202: the load has started.
    Accepted,
    /// 200: the version is loaded already.
    AlreadyLoaded,
    /// 409: another load is in progress.
    Conflict,
    /// 412: the transcriber has seen a higher fencing token.
    Fenced,
    /// 400, 421 or any other status: the order was rejected.
    Rejected,
    /// No answer: the order may have been accepted.
    Unknown,
}

/// A report of a transcriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TranscriberReport {
    /// Whether a load is in progress.
    pub is_loading: bool,
    /// Loaded models and their versions.
    pub models: Vec<(String, u64)>,
    /// Number of running requests.
    pub running: u32,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanOutput {
    /// Send an order, then call [`Planner::handle_order_outcome`](crate::Planner::handle_order_outcome).
    SendOrder(LoadOrder),
    /// Fetch a report, then call [`Planner::handle_report`](crate::Planner::handle_report).
    FetchLoadReport {
        /// Instance id of the transcriber.
        instance: String,
        /// Its address.
        address: String,
    },
    /// Register that a transcriber has loaded a version.
    VersionLoaded {
        /// Instance id of the transcriber.
        instance: String,
        /// The model.
        model: String,
        /// The version.
        generation: u64,
    },
}
