//! The connection pool: keeps idle connections for reuse and limits the number of connections to each transcriber.

use crate::connection::Connection;
use crate::model::Target;
use http::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Minimum interval between sweeps of expired connections. Only a checkout starts a sweep.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Connections beyond the limit that a load report may use.
pub(crate) const REPORT_CONNECTIONS: usize = 1;

/// The connections of one client to all transcribers.
pub(crate) struct ConnectionPool {
    targets: RefCell<HashMap<Target, Rc<TargetPool>>>,
    last_sweep_at: Cell<Instant>,
    /// Maximum number of connections to each transcriber.
    max_connections: Rc<Cell<usize>>,
}

/// The connections to one transcriber.
#[derive(Default)]
struct TargetPool {
    /// Idle connections, the most recently used last.
    idle: RefCell<Vec<IdleConnection>>,
    /// Number of connections that are idle, in use or being established.
    occupied_slots: Cell<usize>,
    /// Notifies one waiting checkout that a connection is idle again or a slot is free.
    available: Notify,
    /// Whether the transcriber was removed from the pool. No further request is sent to it then.
    is_removed: Cell<bool>,
    /// Maximum number of connections, shared with the pool.
    max_connections: Rc<Cell<usize>>,
}

struct IdleConnection {
    connection: PooledConnection,
    expires_at: Instant,
}

/// Permission to hold one connection to a transcriber, counted against the limit until it is dropped.
pub(crate) struct ConnectionSlot {
    target: Rc<TargetPool>,
}

/// A connection together with the slot that it occupies. Dropping it closes the connection and frees the slot.
pub(crate) struct PooledConnection {
    pub(crate) connection: Box<Connection>,
    /// `Request-Id` of the last request on this connection if its response was not a success; empty otherwise.
    failed_request_id: String,
    slot: ConnectionSlot,
}

/// Outcome of a checkout.
pub(crate) enum Checkout {
    /// An idle connection that can be reused.
    Reused(PooledConnection),
    /// A slot for a new connection.
    Connect(ConnectionSlot, ConnectReason),
    /// The transcriber was removed while the checkout waited.
    TargetRemoved,
}

/// Why a new connection is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectReason {
    /// There was no connection to this transcriber.
    Initial,
    /// There are connections, but none was idle.
    Additional,
    /// The idle connections had expired or were closed by the transcriber.
    Replacement,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let occupied_slots = &self.target.occupied_slots;
        occupied_slots.set(occupied_slots.get().saturating_sub(1));
        self.target.available.notify_one();
    }
}

impl ConnectionSlot {
    /// Assigns a new connection to this slot.
    pub(crate) fn fill(self, connection: Connection) -> PooledConnection {
        PooledConnection { connection: Box::new(connection), failed_request_id: String::new(), slot: self }
    }
}

impl PooledConnection {
    /// Returns whether the transcriber was removed since the slot was acquired.
    pub(crate) fn is_target_removed(&self) -> bool {
        self.slot.target.is_removed.get()
    }

    /// Records the response to a request on this connection.
    pub(crate) fn record_response(&mut self, request_id: &str, status: StatusCode) {
        self.failed_request_id.clear();
        if !status.is_success() {
            self.failed_request_id.push_str(request_id);
        }
    }

    /// Returns whether the request is a retry of the last one on this connection. A second response to that could be
    /// taken for the response to the retry.
    fn carried_failed_attempt(&self, request_id: &str) -> bool {
        !request_id.is_empty() && self.failed_request_id == request_id
    }

    /// Closes the connection and keeps its slot for a new one.
    pub(crate) fn into_slot(self) -> ConnectionSlot {
        self.slot
    }

    /// Returns the connection to the pool, to stay idle for at most `idle_limit`.
    ///
    /// Closes it instead if `idle_limit` is `None`, the connection cannot be reused, the transcriber was removed, or there
    /// are more connections than allowed.
    pub(crate) async fn release(mut self, idle_limit: Option<Duration>) {
        let Some(idle_limit) = idle_limit else { return };
        if !self.connection.is_reusable().await {
            return;
        }
        let target = self.slot.target.clone();
        if target.is_removed.get() || target.has_surplus() {
            return;
        }
        let expires_at = Instant::now() + idle_limit;
        target.idle.borrow_mut().push(IdleConnection { connection: self, expires_at });
        target.available.notify_one();
    }
}

impl TargetPool {
    /// Takes the most recently used idle connection that can be reused for a request, or returns why a new one is
    /// needed.
    ///
    /// A retry is not sent on the connection of the failed attempt before it: a transcriber may answer that one a second
    /// time, and the `Request-Id` would not show it. If no other connection is idle, one is closed in favour of a new
    /// one.
    async fn take_idle(&self, request_id: &str) -> Result<PooledConnection, ConnectReason> {
        let mut reason = match self.occupied_slots.get() {
            0 => ConnectReason::Initial,
            _ => ConnectReason::Additional,
        };
        loop {
            let Some(mut idle) = self.pop_idle(request_id) else {
                let unusable = self.idle.borrow_mut().pop();
                return Err(unusable.map_or(reason, |_| ConnectReason::Replacement));
            };
            if idle.expires_at > Instant::now() && idle.connection.connection.is_reusable().await {
                return Ok(idle.connection);
            }
            reason = ConnectReason::Replacement;
        }
    }

    fn pop_idle(&self, request_id: &str) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().rposition(|idle| !idle.connection.carried_failed_attempt(request_id))?;
        Some(idle.remove(index))
    }

    fn close_expired(&self, now: Instant) {
        // Collected first, so that the borrow of `idle` ends before the connections are dropped and free their slots.
        let expired: Vec<IdleConnection> =
            self.idle.borrow_mut().extract_if(.., |idle| idle.expires_at <= now).collect();
        drop(expired);
    }

    /// Returns whether one more connection may be open besides the present ones. At least one is allowed.
    fn has_room(&self, extra_connections: usize) -> bool {
        self.occupied_slots.get() < (self.max_connections.get() + extra_connections).max(1)
    }

    /// Returns whether there are more connections than allowed, because the limit was lowered.
    fn has_surplus(&self) -> bool {
        self.occupied_slots.get() > self.max_connections.get().max(1) + REPORT_CONNECTIONS
    }

    /// Closes idle connections beyond the limit, those first that have been idle for longest.
    fn close_surplus(&self) {
        while self.has_surplus() {
            let mut idle = self.idle.borrow_mut();
            if idle.is_empty() {
                return;
            }
            let closed = idle.remove(0);
            // The slot is freed when the borrow has ended.
            drop(idle);
            drop(closed);
        }
    }

    fn close_idle(&self) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        drop(idle);
    }
}

impl ConnectionPool {
    /// Creates an empty pool. `max_connections` is the limit for each transcriber.
    pub(crate) fn new(max_connections: usize) -> ConnectionPool {
        ConnectionPool {
            targets: RefCell::default(),
            last_sweep_at: Cell::new(Instant::now()),
            max_connections: Rc::new(Cell::new(max_connections)),
        }
    }

    /// Changes the limit. Waiting checkouts follow a higher one at once; under a lower one, idle connections beyond it are
    /// closed now and those in use after their response.
    pub(crate) fn set_max_connections(&self, max_connections: usize) {
        let before = self.max_connections.replace(max_connections);
        if before == max_connections {
            return;
        }
        let pools: Vec<Rc<TargetPool>> = self.targets.borrow().values().cloned().collect();
        for pool in pools {
            pool.close_surplus();
            pool.available.notify_waiters();
        }
    }

    /// Returns an idle connection for a request, or a slot for a new one. Waits while all slots are occupied and no
    /// connection is idle.
    ///
    /// At least one connection is allowed, even if the limit is 0. `extra_connections` may exceed the limit.
    pub(crate) async fn checkout(
        &self, target: &Target, extra_connections: usize, request_id: &str,
    ) -> Checkout {
        self.sweep();
        let pool = self.get_or_create_target_pool(target);
        loop {
            let reason = match pool.take_idle(request_id).await {
                Ok(connection) => return Checkout::Reused(connection),
                Err(reason) => reason,
            };
            if pool.has_room(extra_connections) {
                pool.occupied_slots.set(pool.occupied_slots.get() + 1);
                return Checkout::Connect(ConnectionSlot { target: pool }, reason);
            }
            pool.available.notified().await;
            if pool.is_removed.get() {
                // `remove` notifies one waiting checkout only; each notifies the next.
                pool.available.notify_one();
                return Checkout::TargetRemoved;
            }
        }
    }

    /// Removes a transcriber and closes its connections: idle ones now, those in use after their response. Requests
    /// that wait for a connection to it or for its establishment are not sent.
    pub(crate) fn remove(&self, target: &Target) {
        let pool = self.targets.borrow_mut().remove(target);
        if let Some(pool) = pool {
            pool.is_removed.set(true);
            pool.close_idle();
            pool.available.notify_one();
        }
    }

    fn get_or_create_target_pool(&self, target: &Target) -> Rc<TargetPool> {
        if let Some(pool) = self.targets.borrow().get(target) {
            return pool.clone();
        }
        let max_connections = self.max_connections.clone();
        let pool = Rc::new(TargetPool { max_connections, ..TargetPool::default() });
        self.targets.borrow_mut().insert(target.clone(), pool.clone());
        pool
    }

    /// Closes expired connections and drops the pools of transcribers without connections or pending checkouts, unless
    /// the last sweep was less than [`SWEEP_INTERVAL`] ago.
    fn sweep(&self) {
        let now = Instant::now();
        if now < self.last_sweep_at.get() + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep_at.set(now);
        let pools: Vec<Rc<TargetPool>> = self.targets.borrow().values().cloned().collect();
        for pool in pools {
            pool.close_expired(now);
        }
        self.targets
            .borrow_mut()
            .retain(|_, pool| Rc::strong_count(pool) > 1 || pool.occupied_slots.get() > 0);
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
