//! How this dispatcher sees the workers, for the agreed list: by what discovery says of them and by how their probes end. No
//! I/O and no clock. Nothing of it decides where a request goes.

use pebblepost_dispatch::api::{Status, Time, WorkerId};
use std::collections::HashMap;
use std::time::Duration;

/// Whose probes have failed for so long, and none was answered, does not answer.
const MUTE: Duration = Duration::from_secs(2);

/// Workers whose probes fail, since when.
#[derive(Debug, Default)]
pub struct Mute(HashMap<WorkerId, Time>);

impl Mute {
    /// A probe ended.
    pub fn probed(&mut self, now: Time, worker: WorkerId, status: Status) {
        match status {
            Status::Ok => drop(self.0.remove(&worker)),
            _ => drop(self.0.entry(worker).or_insert(now)),
        }
    }

    /// Whether a worker has not answered for long enough to say so.
    pub fn is_mute(&self, now: Time, worker: WorkerId) -> bool {
        self.0.get(&worker).is_some_and(|since| now >= *since + MUTE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_worker_is_mute_after_failures_for_a_while_and_until_one_probe_is_answered() {
        let (mut mute, worker, at) = (Mute::default(), WorkerId(1), |s: u64| Time(s * 1_000_000_000));
        mute.probed(at(1), worker, Status::ConnectFailed);
        assert!(!mute.is_mute(at(2), worker), "once is nothing yet");
        mute.probed(at(3), worker, Status::Timeout);
        assert!(mute.is_mute(at(3), worker) && !mute.is_mute(at(3), WorkerId(2)));
        mute.probed(at(4), worker, Status::Ok);
        assert!(!mute.is_mute(at(9), worker));
    }
}
