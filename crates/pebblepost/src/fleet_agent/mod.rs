//! The fleet agent, which follows the fleet store on a thread of its own.
//!
//! The agent exists only if the operator's file has the section `fleet`. Otherwise there is no thread and no descriptor for it.
//!
//! The event loop never blocks on the agent. The agent keeps a local replica of the agreed state ([`Follower`]) and publishes
//! the newest [`FleetView`] of it. A byte in a pipe wakes the event loop for each new view. While no replica of the store is
//! reachable, the last view stays in effect, and [`FleetAgent::status_line`] reports its age.
//!
//! Operators of this machine reach the agent at `fleet.control` (see the module `control`).

mod control;
mod follow;
mod retry;
mod session;
mod shared;
mod snapshot_file;

pub use shared::FleetView;

use crate::config::FleetConfig;
use pebblepost_fleet::Name;
use pebblepost_fleet::follower::Follower;
use pebblepost_fleet::heartbeat::RequestCounts;
use pebblepost_fleet::name::InvalidName;
use pebblepost_fleet::value::{MemberInfo, Role, WorkerObservation};
use pebblepost_fleet_store::client::new_incarnation_id;
use shared::{Member, Shared, lock};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use thiserror::Error;
use tokio::sync::oneshot;

/// The reason why the fleet agent could not start.
#[derive(Debug, Error)]
pub enum FleetAgentError {
    /// The name of this node is not valid as the name of a member.
    #[error("fleet: name {name:?} is not a valid member name: {error}")]
    MemberName {
        /// The name of this node.
        name: String,
        /// What is wrong with it.
        error: InvalidName,
    },
    /// The address for operators could not be bound, or the operating system did not provide a thread or a descriptor.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The event loop's handle to the fleet agent. Dropping it stops the agent's thread and waits for its end.
pub struct FleetAgent {
    shared: Arc<Shared>,
    /// Becomes readable when there is a new view. The reader has to drain it.
    pub wake: UnixStream,
    /// Where the agent accepts operators of this machine; `None` if it does not.
    pub control_address: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FleetAgent {
    /// Starts the agent with the saved snapshot of the agreed state, if there is one. `address` is where this dispatcher accepts
    /// clients.
    ///
    /// # Errors
    ///
    /// If the name is not valid as the name of a member, the address for operators cannot be bound, or the operating system does
    /// not provide a thread or a descriptor.
    pub fn start(
        config: &FleetConfig, name: &str, address: Option<SocketAddr>, log: fn(&str),
    ) -> Result<Self, FleetAgentError> {
        let invalid = |error| FleetAgentError::MemberName { name: name.to_owned(), error };
        let member: Name = name.parse().map_err(invalid)?;
        let control = config.control.map(TcpListener::bind).transpose()?;
        if let Some(listener) = &control {
            listener.set_nonblocking(true)?;
        }
        let control_address = control.as_ref().map(TcpListener::local_addr).transpose()?;
        let follower = load_snapshot(config, log);
        let (wake, notify) = UnixStream::pair()?;
        notify.set_nonblocking(true)?;
        let member = Member { name: member, incarnation: new_incarnation_id() };
        let shared = Arc::new(Shared::new(member, follower, config.copy.is_some(), notify, log));
        let info = MemberInfo {
            role: Role::Dispatcher,
            version: config.version.parse().unwrap_or_default(),
            address,
            zone: config.zone.parse().unwrap_or_default(),
            ready: false,
        };
        let (stop, stopped) = oneshot::channel();
        let tasks = Tasks { shared: shared.clone(), config: config.clone(), info, control };
        let thread = tasks.spawn(stopped)?;
        Ok(Self { shared, wake, control_address, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the newest view.
    pub fn view(&self) -> Arc<FleetView> {
        lock(&self.shared.view).clone()
    }

    /// Reports whether the event loop accepts new clients.
    pub fn set_ready(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Relaxed);
        self.shared.report_due.notify_one();
    }

    /// Reports the counts of the final responses given by the event loop.
    pub fn set_request_counts(&self, counts: RequestCounts) {
        lock(&self.shared.report).requests = counts;
    }

    /// Reports that the event loop has applied the agreed state up to `revision`, and that it has attempts in flight at
    /// `busy_workers`, which are drained workers.
    ///
    /// A heartbeat is sent immediately if the busy workers have changed or a new drain mark has been applied.
    pub fn report_applied(&self, revision: u64, busy_workers: BTreeSet<Name>) {
        let mut report = lock(&self.shared.report);
        let is_new = report.busy_workers != busy_workers
            || lock(&self.shared.view).newest_drain_revision > report.applied_revision;
        report.applied_revision = report.applied_revision.max(revision);
        report.busy_workers = busy_workers;
        if is_new {
            self.shared.report_due.notify_one();
        }
    }

    /// Reports the state of the workers as observed by the event loop.
    pub fn set_observations(&self, observations: BTreeMap<Name, WorkerObservation>) {
        *lock(&self.shared.observations) = Some(observations);
    }

    /// Returns the revision of the newest view, the time since it was confirmed and the number of drain marks, as one line.
    pub fn status_line(&self) -> String {
        let view = self.view();
        let confirmed = match self.shared.time_since_confirmed() {
            None => "not confirmed since the start".to_owned(),
            Some(age) => format!("confirmed {:.1} s ago", age.as_secs_f64()),
        };
        let (revision, drained, local) = (view.revision, view.drained.len(), view.local_drains);
        format!("fleet: revision {revision}, {confirmed}, {drained} drained, {local} of them local\n")
    }
}

impl Drop for FleetAgent {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The tasks that the agent's thread runs.
struct Tasks {
    shared: Arc<Shared>,
    config: FleetConfig,
    info: MemberInfo,
    control: Option<TcpListener>,
}

impl Tasks {
    /// Starts the thread. It ends when the sender of `stopped` is dropped.
    fn spawn(self, stopped: oneshot::Receiver<()>) -> io::Result<JoinHandle<()>> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let Self { shared, config, info, control } = self;
        let run = move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = stopped => {}
                    () = follow::run(&shared, &config) => {}
                    () = session::run(&shared, &config, info) => {}
                    () = snapshot_file::run(&shared, config.copy.as_deref()) => {}
                    () = control::run(shared.clone(), control) => {}
                }
            });
        };
        std::thread::Builder::new().name("fleet".to_owned()).spawn(run)
    }
}

/// Returns the saved snapshot, or an empty one if none was saved or it cannot be read. An unreadable snapshot does not prevent the
/// program from serving, but its drain marks are unknown until a replica is reached.
fn load_snapshot(config: &FleetConfig, log: fn(&str)) -> Follower {
    let Some(path) = config.copy.as_deref() else { return Follower::default() };
    match snapshot_file::load(path) {
        Ok(snapshot) => snapshot.unwrap_or_default(),
        Err(error) => {
            log(&format!(
                "fleet.copy: cannot read the snapshot {}; starting with an empty state: {error}",
                path.display()
            ));
            Follower::default()
        }
    }
}
