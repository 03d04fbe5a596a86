//! The daemon's sockets, timers and descriptor budget.

use super::connection::Connection;
use super::poll::{ReadyEvent, Signal, listener_key};
use crate::buffer::Buffer;
use crate::clock::Clock;
use crate::connection_key::{ConnectionKey, Generation};
use crate::connection_role::ConnectionRole;
use crate::timer::Timer;
use crate::timer_queue::TimerQueue;
use pebblepost_dispatch::api::Time;
use polling::{Event, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// File descriptors kept free for the poller, signals, listeners, logs and files.
pub const RESERVED_DESCRIPTORS: usize = 32;
/// Lower bound of the connection limit, which holds however small the descriptor limit is.
const MIN_CONNECTION_LIMIT: usize = 8;
/// How long to wait for the peer to close after our side was shut down. Closing earlier could send a reset that discards our
/// last bytes.
const CLOSE_LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of connections that the kernel queues at a listener.
const LISTEN_BACKLOG: i32 = 1024;
/// Size of the buffer that each read uses.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The protocol that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// HTTP requests of the platform's clients.
    Platform,
    /// The Faktory protocol of producers and workers.
    Faktory,
    /// Agent checks of load balancers.
    AgentCheck,
    /// HTTP health checks.
    Health,
}

/// A listener. `socket` is `None` once it is closed; the slot stays, so that the indices of other listeners stay valid.
#[derive(Debug)]
pub(super) struct ListenerSlot {
    pub(super) kind: ListenerKind,
    pub(super) socket: Option<TcpListener>,
}

#[derive(Debug)]
pub(super) struct ConnectionSlot {
    pub(super) generation: Generation,
    pub(super) connection: Connection,
}

/// The daemon's listeners, connections, timers and poller.
pub struct Sockets {
    pub(super) poller: Poller,
    pub(super) connections: Slab<ConnectionSlot>,
    last_generation: Generation,
    pub(super) listeners: Vec<ListenerSlot>,
    /// Every timer of the daemon.
    pub timers: TimerQueue<Timer>,
    /// Connections whose write or poller registration failed. The event loop has to close them.
    pub broken: Vec<ConnectionKey>,
    pub(super) max_connections: usize,
    events: Vec<Event>,
    pub(super) read_buffer: Vec<u8>,
    /// The time at the start of this iteration of the event loop.
    pub now: Time,
}

impl Sockets {
    /// Creates the poller, without any sockets. `descriptors` limits the file descriptors in use, including
    /// [`RESERVED_DESCRIPTORS`].
    ///
    /// # Errors
    ///
    /// Fails if the system cannot create a poller.
    pub fn new(descriptors: usize, now: Time) -> io::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            connections: Slab::new(),
            last_generation: Generation::default(),
            listeners: Vec::new(),
            timers: TimerQueue::default(),
            broken: Vec::new(),
            max_connections: descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTION_LIMIT),
            events: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            now,
        })
    }

    /// Opens a listener on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the socket cannot be registered with the poller.
    pub fn listen(&mut self, kind: ListenerKind, address: SocketAddr) -> io::Result<()> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let socket = TcpListener::from(socket);
        let key = listener_key(self.listeners.len());
        self.poller.add_with_mode(&socket, Event::readable(key), PollMode::Level)?;
        self.listeners.push(ListenerSlot { kind, socket: Some(socket) });
        Ok(())
    }

    /// Registers the read end of the pipe that announces `signal`.
    ///
    /// # Errors
    ///
    /// Fails if the pipe cannot be registered with the poller.
    pub fn watch_signal(&self, signal: Signal, pipe: &impl AsRawFd) -> io::Result<()> {
        self.poller.add_with_mode(pipe.as_raw_fd(), Event::readable(signal.poll_key()), PollMode::Level)
    }

    /// Closes all listeners of a kind.
    pub fn close_listeners(&mut self, kind: ListenerKind) {
        // The socket must be closed, not only removed from the poller: the kernel would go on establishing connections in
        // its backlog.
        for listener in self.listeners.iter_mut().filter(|listener| listener.kind == kind) {
            if let Some(socket) = listener.socket.take() {
                let _ = self.poller.delete(&socket);
            }
        }
    }

    /// Returns the kind of the listener with this index.
    pub fn listener_kind(&self, index: usize) -> Option<ListenerKind> {
        self.listeners.get(index).map(|listener| listener.kind)
    }

    /// Returns the index of the first listener of a kind.
    pub fn listener_index(&self, kind: ListenerKind) -> Option<usize> {
        self.listeners.iter().position(|listener| listener.kind == kind)
    }

    /// Returns the local address of the first listener of a kind, if it is open.
    pub fn listener_address(&self, kind: ListenerKind) -> Option<SocketAddr> {
        let listener = self.listeners.iter().find(|listener| listener.kind == kind)?;
        listener.socket.as_ref()?.local_addr().ok()
    }

    /// Waits until a socket is ready or the next timer is due, and returns the ready events. Does not block if `immediately`.
    ///
    /// # Errors
    ///
    /// Fails if the poller does.
    pub fn wait(&mut self, clock: &Clock, immediately: bool) -> io::Result<Vec<ReadyEvent>> {
        let timeout = if immediately { Some(Duration::ZERO) } else { self.time_to_next_timer(clock) };
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        self.now = self.now.max(clock.now());
        Ok(self.events.iter().map(ReadyEvent::from_poll).collect())
    }

    fn time_to_next_timer(&self, clock: &Clock) -> Option<Duration> {
        self.timers.next().map(|at| at.since(clock.now()))
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the maximum number of connections that the descriptor budget allows.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns the connection, if it is still open.
    pub fn get(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        let slot = self.connections.get_mut(key.slot())?;
        key.is_of(slot.generation).then_some(&mut slot.connection)
    }

    /// Returns the role of the connection, if it is still open.
    pub fn role(&mut self, key: ConnectionKey) -> Option<&mut ConnectionRole> {
        self.get(key).map(|connection| &mut connection.role)
    }

    /// Returns the keys of all connections.
    pub fn keys(&self) -> Vec<ConnectionKey> {
        self.connections.iter().map(|(index, slot)| ConnectionKey::new(slot.generation, index)).collect()
    }

    /// Adds a socket as a connection and registers it with the poller.
    pub(super) fn insert(
        &mut self, stream: TcpStream, role: ConnectionRole, connected: bool,
    ) -> io::Result<ConnectionKey> {
        self.last_generation = self.last_generation.next();
        let generation = self.last_generation;
        let entry = self.connections.vacant_entry();
        let key = ConnectionKey::new(generation, entry.key());
        let connection = Connection::new(stream, role, connected, self.now);
        self.poller.add_with_mode(&connection.stream, connection.interest.event(key), PollMode::Level)?;
        entry.insert(ConnectionSlot { generation, connection });
        Ok(key)
    }

    /// Starts to establish a connection without blocking. Output is buffered and sent once the connection is established.
    ///
    /// If the budget is used up, the connection that has been idle longest is closed first.
    ///
    /// # Errors
    ///
    /// Fails if the descriptor budget is used up, a socket cannot be created or registered, or the connection is refused
    /// immediately.
    pub fn connect(&mut self, address: SocketAddr, role: ConnectionRole) -> io::Result<ConnectionKey> {
        if self.connections.len() >= self.max_connections
            && !self.close_longest_idle()
            && !role.may_use_reserved_descriptors()
        {
            return Err(io::Error::other("descriptor budget exhausted and no idle connection to close"));
        }
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        // `EINPROGRESS` has no stable `ErrorKind` on all platforms, so other errors are ignored here: the result is known once
        // the socket is writable.
        match socket.connect(&address.into()) {
            Err(error)
                if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable) =>
            {
                return Err(error);
            }
            _ => {}
        }
        self.insert(socket.into(), role, false)
    }

    /// Marks a connection as established once its socket is writable; returns `false` if establishing it failed.
    pub fn finish_connect(&mut self, key: ConnectionKey) -> bool {
        let Some(connection) = self.get(key) else { return true };
        if !connection.connected {
            let stream = &connection.stream;
            if !matches!(stream.take_error(), Ok(None)) || stream.peer_addr().is_err() {
                return false;
            }
            connection.connected = true;
        }
        true
    }

    /// Updates the poller registration to the interest that the connection's state requires.
    pub fn update_interest(&mut self, key: ConnectionKey) {
        let Some(connection) = self.get(key) else { return };
        let required = connection.required_interest();
        if connection.interest == required {
            return;
        }
        connection.interest = required;
        let Some(slot) = self.connections.get(key.slot()) else { return };
        let stream = &slot.connection.stream;
        if self.poller.modify_with_mode(stream, required.event(key), PollMode::Level).is_err() {
            self.broken.push(key);
        }
    }

    /// Sets or replaces the connection's deadline, relative to [`now`](Self::now); `None` cancels it.
    ///
    /// The write time-out is independent of it.
    pub fn set_deadline(&mut self, key: ConnectionKey, after: Option<Duration>) {
        let Some(old) = self.get(key).map(|connection| connection.deadline.take()) else { return };
        if let Some(handle) = old {
            self.timers.cancel(handle);
        }
        let new = after.map(|after| self.timers.schedule(self.now + after, Timer::Connection(key)));
        if let Some(connection) = self.get(key) {
            connection.deadline = new;
        }
    }

    /// Returns whether the connection has a deadline.
    pub fn has_deadline(&mut self, key: ConnectionKey) -> bool {
        self.get(key).is_some_and(|connection| connection.deadline.is_some())
    }

    /// Closes the connection immediately and returns its role. Unsent output is discarded.
    pub fn close(&mut self, key: ConnectionKey) -> Option<ConnectionRole> {
        self.get(key)?;
        let connection = self.connections.remove(key.slot()).connection;
        let _ = self.poller.delete(&connection.stream);
        let handles = connection.deadline.into_iter().chain(connection.write_deadline);
        handles.for_each(|handle| self.timers.cancel(handle));
        Some(connection.role)
    }

    /// Closes the connection after all output is sent and the peer has closed its side or had time to do so.
    pub fn close_gracefully(&mut self, key: ConnectionKey) {
        let now = self.now;
        let Some(connection) = self.get(key) else { return };
        connection.role = ConnectionRole::Closing;
        connection.input = Buffer::default();
        connection.dropped_bytes = 0;
        connection.idle_since = Some(now);
        self.set_deadline(key, Some(CLOSE_LINGER_TIMEOUT));
        self.flush(key);
    }

    /// Closes the connection with a reset and returns its role.
    ///
    /// Used when the message framing is lost, so that the peer does not take the close for the regular end of a message.
    pub fn abort(&mut self, key: ConnectionKey) -> Option<ConnectionRole> {
        if let Some(connection) = self.get(key) {
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(key)
    }
}
