//! Executes batch items at transcribers, and answers the calls of batch jobs.
//!
//! Interface agreed with the proxy. Everything runs on a current-thread `tokio` runtime.

use bytes::Bytes;
use pebblepost_configuration::Route;
use pebblepost_feed::FeedState;
use pebblepost_settings::Settings;
use pebblepost_transcriber::Client;
use std::cell::RefCell;
use std::rc::Rc;

/// The runner of one proxy; cheap to clone.
#[derive(Clone, Debug)]
pub struct BatchRunner;

#[allow(unused_variables)]
impl BatchRunner {
    /// Starts the runner's tasks (`spawn_local`): links to the stores named in the feed's groups,
    /// work leases. `feed` is folded by the proxy; [`BatchRunner::feed_changed`] tells of changes.
    pub fn start(settings: &Settings, client: Client, feed: Rc<RefCell<FeedState>>) -> BatchRunner {
        todo!()
    }
    /// The feed's state has changed.
    pub fn feed_changed(&self) {
        todo!()
    }
    /// Whether a path is one of a batch job's calls (`/lots/ID`, `/items/ID`).
    pub fn is_job_call(path: &str) -> bool {
        path.starts_with("/lots/") || path.starts_with("/items/")
    }
    /// Answers a call: a `POST` under the prefix of a `rollout` route (`route` given), or a job
    /// call, whose host has any route. The request's body is whole.
    pub async fn answer(&self, route: Option<&Route>, request: http::Request<Bytes>) -> http::Response<Bytes> {
        todo!()
    }
    /// SIGTERM: takes no new work, hands unfinished leases back with the text so far; returns
    /// when done or after `most`.
    pub async fn stop(&self, most: std::time::Duration) {
        todo!()
    }
}
