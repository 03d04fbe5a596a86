//! Load orders, their outcomes, the reports of transcribers, and the outputs of the planner.

/// How a transcriber treats the requests that are running when a load starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// The load waits until the running requests have finished.
    Wait,
    /// The streams of the running requests are reset.
    Truncate,
    /// The running requests continue under the new version.
    Retain,
}

/// An order to a transcriber to load a weight version. The caller sends it as the body of `POST /order`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Instance id of the transcriber.
    pub instance: String,
    /// Address of the transcriber.
    pub address: String,
    /// Model whose weights are to be loaded.
    pub model: String,
    /// Weight version to load.
    pub generation: u64,
    /// How the requests that are running are treated.
    pub mode: LoadMode,
}

/// The outcome of sending a load order, by the status code of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// 202: the load has started.
    Accepted,
    /// 200: the version was loaded already.
    AlreadyLoaded,
    /// 409: another load is in progress.
    Conflict,
    /// 412: the transcriber has seen a higher fencing token.
    Fenced,
    /// 400, 421 or any other status: the order was rejected.
    Rejected,
    /// No answer was received. The transcriber may have accepted the order all the same.
    Unknown,
}

/// The load state that a transcriber reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TranscriberReport {
    /// Whether a load is in progress.
    pub is_loading: bool,
    /// Loaded models with their weight versions.
    pub models: Vec<(String, u64)>,
    /// Number of running requests.
    pub running: u32,
}

/// An action that the caller of the planner must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanOutput {
    /// Send a load order, then pass its outcome to
    /// [`Planner::handle_order_outcome`](crate::Planner::handle_order_outcome).
    SendOrder(LoadOrder),
    /// Fetch a report, then pass it to [`Planner::handle_report`](crate::Planner::handle_report).
    FetchLoadReport {
        /// Instance id of the transcriber.
        instance: String,
        /// Address of the transcriber.
        address: String,
    },
    /// Register that a transcriber has loaded a weight version.
    VersionLoaded {
        /// Instance id of the transcriber.
        instance: String,
        /// The loaded model.
        model: String,
        /// The loaded weight version.
        generation: u64,
    },
}
