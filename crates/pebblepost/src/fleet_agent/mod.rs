//! The fleet agent: a thread beside the event loop that follows the fleet store. It exists only if the operator's file has
//! a part `fleet`; without one there is no thread and no descriptor.
//!
//! The event loop never waits for it. What is agreed is handed over as one value, the newest [`FleetView`], with a byte in a
//! pipe that wakes the loop; the replica of the agreed state behind it ([`Follower`]) lives in the agent. While no replica of
//! the store is reached, the last view stays in force, and [`FleetAgent::status_line`] says how old it is.
//!
//! An operator of this machine reaches the agent at `fleet.control` (see the module `control`).

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

/// Why the fleet agent could not start.
#[derive(Debug, Error)]
pub enum FleetAgentError {
    /// The name of this node cannot be that of a member.
    #[error("fleet: name {name:?}: {error}")]
    MemberName {
        /// The name.
        name: String,
        /// What is wrong with it.
        error: InvalidName,
    },
    /// The address for operators cannot be bound, or the system gives no thread or descriptor.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The fleet agent, from the event loop's side. Its thread ends when this is dropped.
pub struct FleetAgent {
    shared: Arc<Shared>,
    /// Becomes readable when there is a new view.
    pub wake: UnixStream,
    /// Where it listens to operators.
    pub control: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FleetAgent {
    /// Starts the agent with the snapshot of the agreed state that was saved, if any. `address` is where this dispatcher takes
    /// clients.
    ///
    /// # Errors
    ///
    /// If the name cannot be that of a member, the address for operators cannot be bound, or the system gives no thread or
    /// descriptor.
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
        Ok(Self { shared, wake, control: control_address, stop: Some(stop), thread: Some(thread) })
    }

    /// The newest view.
    pub fn view(&self) -> Arc<FleetView> {
        lock(&self.shared.view).clone()
    }

    /// Reports whether the event loop takes new clients.
    pub fn set_ready(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Relaxed);
        self.shared.report_due.notify_one();
    }

    /// Reports the responses that the event loop has given.
    pub fn set_request_counts(&self, counts: RequestCounts) {
        lock(&self.shared.report).requests = counts;
    }

    /// Reports that all that is agreed up to this revision is in force in the event loop, which has attempts in flight at
    /// these drained workers.
    pub fn confirm(&self, revision: u64, busy_workers: BTreeSet<Name>) {
        let mut report = lock(&self.shared.report);
        let is_new = report.busy_workers != busy_workers
            || lock(&self.shared.view).newest_drain_revision > report.applied_revision;
        report.applied_revision = report.applied_revision.max(revision);
        report.busy_workers = busy_workers;
        if is_new {
            self.shared.report_due.notify_one();
        }
    }

    /// Reports the state of the workers as the event loop sees it.
    pub fn set_observations(&self, observations: BTreeMap<Name, WorkerObservation>) {
        *lock(&self.shared.observations) = Some(observations);
    }

    /// The revision that is in force, its age and the drain marks, in one line.
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

/// What the agent's thread runs.
struct Tasks {
    shared: Arc<Shared>,
    config: FleetConfig,
    info: MemberInfo,
    control: Option<TcpListener>,
}

impl Tasks {
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

/// The snapshot that was saved, or an empty one. One that cannot be read does not keep the program from serving; until a replica
/// is reached its drains are unknown.
fn load_snapshot(config: &FleetConfig, log: fn(&str)) -> Follower {
    let Some(path) = config.copy.as_deref() else { return Follower::default() };
    match snapshot_file::load(path) {
        Ok(snapshot) => snapshot.unwrap_or_default(),
        Err(error) => {
            log(&format!("fleet.copy: {}: {error}; goes on without it", path.display()));
            Follower::default()
        }
    }
}
