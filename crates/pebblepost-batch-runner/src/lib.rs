//! Executes batch items at transcribers, and answers the calls of batch jobs.
//!
//! * Calls: [`job_request`] reads a submitted job, [`job_answer`] writes answers; a call goes to the
//!   primary of the job's group, and again when the primary changes.
//! * Execution: leases of items are taken from the primaries while there is room, placed at
//!   transcribers by random probes ([`placement`], [`load`]), and their texts put together
//!   ([`text`]); [`lease_table`] says what may still be sent.
//!
//! Everything runs on a current-thread `tokio` runtime (`spawn_local`).

pub mod attempt;
mod calls;
mod change_signal;
mod execution;
mod feed_view;
pub mod item_progress;
mod item_run;
pub mod job;
pub mod lease_table;
mod lease_terms;
pub mod load_table;
mod metrics;
mod outbox;
pub mod placement;
pub mod random;
mod scorer;
mod shared;
mod shutdown;
mod store_link;
mod store_links;
pub mod text;

pub use metrics::{Metric, Metrics};

use bytes::Bytes;
use pebblepost_configuration::Route;
use pebblepost_feed::FeedState;
use pebblepost_settings::Settings;
use pebblepost_transcriber::Client;
use random::Random;
use shared::Shared;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// The runner of one proxy; cheap to clone.
#[derive(Clone)]
pub struct BatchRunner {
    shared: Rc<Shared>,
}

impl fmt::Debug for BatchRunner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BatchRunner").finish_non_exhaustive()
    }
}

impl BatchRunner {
    /// Starts the runner's tasks (`spawn_local`): links to the stores named in the feed's groups,
    /// work leases. `feed` is folded by the proxy; [`BatchRunner::feed_changed`] tells of changes.
    pub fn start(settings: &Settings, client: Client, feed: Rc<RefCell<FeedState>>) -> BatchRunner {
        BatchRunner::start_with_random(settings, client, feed, Random::default())
    }

    /// As [`BatchRunner::start`], with a generator of the caller's: runs that can be repeated.
    pub fn start_with_random(
        settings: &Settings, client: Client, feed: Rc<RefCell<FeedState>>, random: Random,
    ) -> BatchRunner {
        let shared = Shared::new(settings, client, feed, random);
        outbox::start(shared.clone());
        execution::start(shared.clone());
        shared.feed_changed();
        BatchRunner { shared }
    }

    /// The feed's state has changed.
    pub fn feed_changed(&self) {
        self.shared.feed_changed();
    }

    /// Whether a path is one of a batch job's calls (`/lots/ID`, `/items/ID`).
    pub fn is_job_call(path: &str) -> bool {
        path.starts_with("/lots/") || path.starts_with("/items/")
    }

    /// Answers a call: a `POST` under the prefix of a `rollout` route (`route` given), or a job
    /// call, whatever its host. The request's body is whole.
    pub async fn answer(
        &self, route: Option<&Route>, request: http::Request<Bytes>,
    ) -> http::Response<Bytes> {
        calls::answer(&self.shared, route, request).await
    }

    /// What it has done so far.
    pub fn counts(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// SIGTERM: takes no new work, hands unfinished leases back with the text so far; returns
    /// when done or after `most`.
    pub async fn stop(&self, most: Duration) {
        execution::stop(&self.shared, most).await;
    }
}
