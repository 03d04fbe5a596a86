//! The connection pool: idle connections by transcriber, and the limit on all connections to one transcriber.

use crate::connection::Connection;
use crate::model::Target;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Interval at which expired connections of all transcribers are closed, while the pool is used.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The connections to all transcribers.
pub(crate) struct ConnectionPool {
    targets: RefCell<HashMap<Target, Rc<TargetPool>>>,
    last_sweep: Cell<Instant>,
}

/// The connections to one transcriber.
#[derive(Default)]
struct TargetPool {
    /// Idle connections, the last used at the end.
    idle: RefCell<Vec<IdleConnection>>,
    /// Slots in use: connections that are idle, in use or being established.
    open_connections: Cell<usize>,
    /// Wakes a waiting checkout: a connection is idle again, or a slot is free.
    available: Notify,
    /// The transcriber was removed from the pool: no further request is sent to it.
    is_removed: Cell<bool>,
}

struct IdleConnection {
    connection: PooledConnection,
    expires_at: Instant,
}

/// One of the connections that a transcriber may have from this client; freed on drop.
pub(crate) struct ConnectionSlot {
    target: Rc<TargetPool>,
}

/// A connection in its slot.
pub(crate) struct PooledConnection {
    pub(crate) connection: Box<Connection>,
    slot: ConnectionSlot,
}

/// Outcome of a checkout.
pub(crate) enum Checkout {
    /// An idle connection.
    Reused(PooledConnection),
    /// A slot for a new connection.
    Connect(ConnectionSlot, ConnectReason),
    /// The transcriber was removed while the caller waited.
    TargetRemoved,
}

/// Why a new connection is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectReason {
    /// There is no connection to this transcriber.
    Initial,
    /// All connections are in use.
    Additional,
    /// The idle connections are expired or closed.
    Replacement,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let open_connections = &self.target.open_connections;
        open_connections.set(open_connections.get().saturating_sub(1));
        self.target.available.notify_one();
    }
}

impl ConnectionSlot {
    /// Puts a new connection into this slot.
    pub(crate) fn fill(self, connection: Connection) -> PooledConnection {
        PooledConnection { connection: Box::new(connection), slot: self }
    }
}

impl PooledConnection {
    /// Whether the transcriber was removed since the slot was acquired.
    pub(crate) fn is_target_removed(&self) -> bool {
        self.slot.target.is_removed.get()
    }

    /// Closes the connection and keeps its slot for a new one.
    pub(crate) fn into_slot(self) -> ConnectionSlot {
        self.slot
    }

    /// Returns the connection to the pool, where it stays for at most `idle_limit`; closes it if there is no limit or
    /// it cannot be reused.
    pub(crate) async fn release(mut self, idle_limit: Option<Duration>) {
        let Some(idle_limit) = idle_limit else { return };
        if !self.connection.is_reusable().await {
            return;
        }
        let target = self.slot.target.clone();
        if target.is_removed.get() {
            return;
        }
        let expires_at = Instant::now() + idle_limit;
        target.idle.borrow_mut().push(IdleConnection { connection: self, expires_at });
        target.available.notify_one();
    }
}

impl TargetPool {
    /// The last used idle connection that is still usable, else the reason for a new one.
    async fn take_idle(&self) -> Result<PooledConnection, ConnectReason> {
        let mut reason = match self.open_connections.get() {
            0 => ConnectReason::Initial,
            _ => ConnectReason::Additional,
        };
        loop {
            let Some(mut idle) = self.idle.borrow_mut().pop() else { return Err(reason) };
            if idle.expires_at > Instant::now() && idle.connection.connection.is_reusable().await {
                return Ok(idle.connection);
            }
            reason = ConnectReason::Replacement;
        }
    }

    fn close_expired(&self, now: Instant) {
        // Dropped after the borrow ends: the drop frees slots.
        let expired: Vec<IdleConnection> =
            self.idle.borrow_mut().extract_if(.., |idle| idle.expires_at <= now).collect();
        drop(expired);
    }

    fn close_idle(&self) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        drop(idle);
    }
}

impl ConnectionPool {
    /// An empty pool.
    pub(crate) fn new() -> ConnectionPool {
        ConnectionPool { targets: RefCell::default(), last_sweep: Cell::new(Instant::now()) }
    }

    /// An idle connection, or a slot for a new one. Waits while all slots are in use.
    pub(crate) async fn checkout(&self, target: &Target, max_connections: usize) -> Checkout {
        self.sweep();
        let pool = self.target_pool(target);
        loop {
            let reason = match pool.take_idle().await {
                Ok(connection) => return Checkout::Reused(connection),
                Err(reason) => reason,
            };
            if pool.open_connections.get() < max_connections.max(1) {
                pool.open_connections.set(pool.open_connections.get() + 1);
                return Checkout::Connect(ConnectionSlot { target: pool }, reason);
            }
            pool.available.notified().await;
            if pool.is_removed.get() {
                // Wakes the next waiting checkout.
                pool.available.notify_one();
                return Checkout::TargetRemoved;
            }
        }
    }

    /// Removes a transcriber: closes its idle connections, and those in use after their response. Calls that wait for
    /// a connection to it, or for its establishment, are not sent.
    pub(crate) fn remove(&self, target: &Target) {
        let pool = self.targets.borrow_mut().remove(target);
        if let Some(pool) = pool {
            pool.is_removed.set(true);
            pool.close_idle();
            pool.available.notify_one();
        }
    }

    fn target_pool(&self, target: &Target) -> Rc<TargetPool> {
        if let Some(pool) = self.targets.borrow().get(target) {
            return pool.clone();
        }
        let pool = Rc::new(TargetPool::default());
        self.targets.borrow_mut().insert(target.clone(), pool.clone());
        pool
    }

    /// Closes expired connections and drops the pools of transcribers without connections or callers.
    fn sweep(&self) {
        let now = Instant::now();
        if now < self.last_sweep.get() + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep.set(now);
        let pools: Vec<Rc<TargetPool>> = self.targets.borrow().values().cloned().collect();
        for pool in pools {
            pool.close_expired(now);
        }
        self.targets
            .borrow_mut()
            .retain(|_, pool| Rc::strong_count(pool) > 1 || pool.open_connections.get() > 0);
    }
}

impl Drop for ConnectionPool {
    fn drop(&mut self) {
        for pool in self.targets.get_mut().values() {
            pool.is_removed.set(true);
            pool.close_idle();
        }
    }
}
