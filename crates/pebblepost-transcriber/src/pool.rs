//! Idle connections, by transcriber, and the bound on all connections to one transcriber.

use crate::connection::Connection;
use crate::{ClientLimits, Target};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Expired connections of all transcribers are looked for this often, when the pool is used.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// All connections to one transcriber.
#[derive(Default)]
pub(crate) struct Host {
    idle: RefCell<Vec<IdleConnection>>,
    open: Cell<usize>,
    freed: Notify,
    forgotten: Cell<bool>,
}

struct IdleConnection {
    pooled: PooledConnection,
    expires: Instant,
}

/// A connection, counted among those of its transcriber until it is dropped.
pub(crate) struct PooledConnection {
    pub(crate) connection: Box<Connection>,
    place: Place,
}

/// A place among the connections that a transcriber may have from us.
pub(crate) struct Place {
    host: Rc<Host>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.host.open.set(self.host.open.get().saturating_sub(1));
        self.host.freed.notify_one();
    }
}

/// What the pool gives to someone who wants a connection.
pub(crate) enum Lot {
    /// A connection that was used before.
    Reused(PooledConnection),
    /// A place for a new one.
    Free(Place, NewConnection),
    /// The transcriber was forgotten while the caller waited.
    Forgotten,
}

/// Why a new connection is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NewConnection {
    /// There is none to this transcriber.
    First,
    /// All that there are carry a request.
    Further,
    /// Those that rested can't be used any more.
    Renewed,
}

impl Place {
    /// Puts a connection into this place.
    pub(crate) fn hold(self, connection: Connection) -> PooledConnection {
        PooledConnection { connection: Box::new(connection), place: self }
    }
}

impl PooledConnection {
    /// Whether the transcriber was forgotten since the place was taken: nothing more goes there.
    pub(crate) fn is_forgotten(&self) -> bool {
        self.place.host.forgotten.get()
    }

    /// Gives the connection up, for a new one in its place.
    pub(crate) fn into_place(self) -> Place {
        self.place
    }

    /// Keeps the connection for the next request, unless it can't be used again.
    pub(crate) async fn keep(mut self, allowance: Option<Duration>) {
        let Some(allowance) = allowance else { return };
        if !self.connection.is_reusable().await {
            return;
        }
        let host = self.place.host.clone();
        if host.forgotten.get() {
            return;
        }
        let expires = Instant::now() + allowance;
        host.idle.borrow_mut().push(IdleConnection { pooled: self, expires });
        host.freed.notify_one();
    }
}

impl Host {
    /// The connection used last, if it still may be used.
    async fn take_idle(&self) -> Result<PooledConnection, NewConnection> {
        let mut reason = if self.open.get() == 0 { NewConnection::First } else { NewConnection::Further };
        loop {
            let Some(mut idle) = self.idle.borrow_mut().pop() else { return Err(reason) };
            if idle.expires > Instant::now() && idle.pooled.connection.is_reusable().await {
                return Ok(idle.pooled);
            }
            reason = NewConnection::Renewed;
        }
    }

    /// Drops the connections that have rested too long.
    fn expire(&self, now: Instant) {
        let expired: Vec<IdleConnection> =
            self.idle.borrow_mut().extract_if(.., |idle| idle.expires <= now).collect();
        drop(expired);
    }

    /// Drops all idle connections.
    fn clear(&self) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        drop(idle);
    }
}

/// The connections to all transcribers.
pub(crate) struct Pool {
    hosts: RefCell<HashMap<Target, Rc<Host>>>,
    swept: Cell<Instant>,
}

impl Pool {
    pub(crate) fn new() -> Pool {
        Pool { hosts: RefCell::default(), swept: Cell::new(Instant::now()) }
    }

    /// An idle connection, or a place for a new one; waits while all places are taken.
    pub(crate) async fn checkout(&self, target: &Target, limits: ClientLimits) -> Lot {
        self.sweep();
        let host = self.host(target);
        loop {
            let reason = match host.take_idle().await {
                Ok(pooled) => return Lot::Reused(pooled),
                Err(reason) => reason,
            };
            if host.open.get() < limits.max_connections_per_transcriber.max(1) {
                host.open.set(host.open.get() + 1);
                return Lot::Free(Place { host }, reason);
            }
            host.freed.notified().await;
            if host.forgotten.get() {
                // The next in line is told as well.
                host.freed.notify_one();
                return Lot::Forgotten;
            }
        }
    }

    /// Closes the idle connections to a transcriber; those in use are closed after their answer.
    /// Calls that wait for a connection, or for it to come up, are not sent any more.
    pub(crate) fn forget(&self, target: &Target) {
        let host = self.hosts.borrow_mut().remove(target);
        if let Some(host) = host {
            host.forgotten.set(true);
            host.clear();
            host.freed.notify_one();
        }
    }

    fn host(&self, target: &Target) -> Rc<Host> {
        if let Some(host) = self.hosts.borrow().get(target) {
            return host.clone();
        }
        let host = Rc::new(Host::default());
        self.hosts.borrow_mut().insert(target.clone(), host.clone());
        host
    }

    fn sweep(&self) {
        let now = Instant::now();
        if now < self.swept.get() + SWEEP_EVERY {
            return;
        }
        self.swept.set(now);
        let hosts: Vec<Rc<Host>> = self.hosts.borrow().values().cloned().collect();
        for host in hosts {
            host.expire(now);
        }
        self.hosts.borrow_mut().retain(|_, host| Rc::strong_count(host) > 1 || host.open.get() > 0);
    }
}

impl Drop for Pool {
    fn drop(&mut self) {
        for host in self.hosts.get_mut().values() {
            host.forgotten.set(true);
            host.clear();
        }
    }
}
