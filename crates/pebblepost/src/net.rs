//! The sockets under the loop: connections with their buffers, what each waits for, the descriptor
//! budget, and the clock.

use crate::buffer::Buffer;
use crate::clock::Clock;
use crate::discovery::{Call, Registry};
use crate::engine::{self, Input};
use crate::front::{faktory, platform};
use crate::health;
use crate::timer_queue::{TimerHandle, TimerQueue};
use crate::workers::Link;
use pebblepost_dispatch::api::{RequestId, Time, WorkerId};
use polling::{Event, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Descriptors kept free for the poller, signals, listeners, logs and files.
pub const RESERVE: usize = 32;
/// Above so many bytes a connection's input is not read on; one read adds 64 KiB at most. All clients that the
/// budget lets in, each holding that much and a body, stay under 192 MB.
const MAX_INPUT: usize = 80 * 1024;
/// A client whose answer is pending is read on all the same, as its end would lie unseen behind what is not read: so much
/// that it sends ahead is kept, as long as that of all together is under the second figure, and the rest is dropped.
const MAX_AHEAD: usize = 512 * 1024;
const MAX_AHEAD_OF_ALL: usize = 4 * 1024 * 1024;
/// A client of which so much was dropped is none to wait for.
const MAX_SPILLED: usize = 1024 * 1024;
/// Input of workers and discovery may be larger: a result is escaped inside a line of JSON.
const MAX_TRUSTED_INPUT: usize = 1024 * 1024;
/// A peer that does not take its answer for so long is gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait for the peer's end after ours, so that our last bytes are not reset away.
const LINGER: Duration = Duration::from_secs(1);
/// Connections taken from a listener in one turn.
const ACCEPTS: usize = 64;

/// Names a connection; never names a later one in the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnKey(usize);

/// A deadline of the program.
#[derive(Clone, Copy, Debug)]
pub enum Due {
    /// Of the core.
    Core(engine::EngineTimer),
    /// Of a connection.
    Conn(ConnKey),
    /// A connection's unwritten output.
    Write(ConnKey),
    /// After SIGTERM: from here on idle connections are closed.
    LastCalls,
    /// Listeners that ran out of descriptors try again.
    Accept,
    /// Discovery that pushes its lists is watched again.
    Watch,
    /// What the agreed store is told of this program is looked at again.
    Doing,
    /// The Faktory front looks for silent workers and old answers.
    Faktory,
}

/// What a connection is for, with the state of its protocol.
#[derive(Debug)]
pub enum Role {
    /// A client of the platform's front.
    Client(platform::ClientState),
    /// A link to a worker.
    Worker(Link),
    /// A call to discovery.
    Discovery(Call),
    /// A producer or worker of the Faktory front.
    Faktory(faktory::Peer),
    /// A balancer's question after health, by HTTP.
    Health(health::Asker),
    /// Only its last output still goes out.
    Closing,
}

/// A connection.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    /// Received and not yet consumed.
    pub input: Buffer,
    /// Bytes of a client that came after these and were dropped.
    pub spilled: usize,
    output: Buffer,
    /// The protocol.
    pub role: Role,
    /// It is up.
    pub connected: bool,
    /// Since when it is idle, if it may be closed for want of descriptors.
    pub idle_since: Option<Time>,
    interest: (bool, bool),
    deadline: Option<TimerHandle>,
    write_deadline: Option<TimerHandle>,
}

impl Conn {
    /// Whether all output has been written.
    pub fn written(&self) -> bool {
        self.output.is_empty()
    }

    fn max_input(&self) -> usize {
        match self.role {
            Role::Worker(_) | Role::Discovery(_) => MAX_TRUSTED_INPUT,
            _ => MAX_INPUT,
        }
    }

    /// A client whose answer is pending.
    fn waits(&self) -> bool {
        matches!(self.role, Role::Client(platform::ClientState::Waiting(_)))
    }

    /// Whether its peer has sent nothing that was not looked at, nor ended: a close would reset away what is on its
    /// way to the peer, and a request put on it would meet what lies there.
    pub fn is_quiet(&self) -> bool {
        let nothing = |e: &io::Error| e.kind() == ErrorKind::WouldBlock;
        self.input.is_empty() && self.written() && self.stream.peek(&mut [0]).is_err_and(|e| nothing(&e))
    }
}

/// A listening socket's purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Clients of the platform.
    Platform,
    /// Faktory clients and workers.
    Faktory,
    /// Agent-checks of balancers.
    Agent,
    /// Health questions by HTTP.
    Health,
}

/// A signal that the program listens to, each through a pipe of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: finish what was taken, then end.
    Stop,
    /// SIGHUP: read the configuration anew.
    Reload,
    /// The agent knows something new.
    Fleet,
}

/// What became ready.
#[derive(Clone, Copy, Debug)]
pub enum Ready {
    /// A listener.
    Listener(usize),
    /// A signal came.
    Signal(Signal),
    /// A connection.
    Conn(ConnKey, bool, bool),
}

const STOP: usize = usize::MAX - 1;
const RELOAD: usize = usize::MAX - 2;
const FLEET: usize = usize::MAX - 3;
const LISTENERS: usize = usize::MAX - 64;

/// All sockets.
pub struct Net {
    poller: Poller,
    conns: Slab<(u32, Conn)>,
    generation: u32,
    listeners: Vec<(Listener, Option<TcpListener>)>,
    /// Every deadline of the program.
    pub timers: TimerQueue<Due>,
    /// Connections that broke while something was carried out.
    pub broken: Vec<ConnKey>,
    budget: usize,
    events: Vec<Event>,
    scratch: Vec<u8>,
    /// The time of this turn.
    pub now: Time,
}

impl Net {
    /// No sockets yet; at most `descriptors` may be held.
    pub fn new(descriptors: usize, now: Time) -> io::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            conns: Slab::new(),
            generation: 0,
            listeners: Vec::new(),
            timers: TimerQueue::default(),
            broken: Vec::new(),
            budget: descriptors.saturating_sub(RESERVE).max(8),
            events: Vec::new(),
            scratch: vec![0; 64 * 1024],
            now,
        })
    }

    /// Listens.
    pub fn listen(&mut self, which: Listener, address: SocketAddr) -> io::Result<()> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket);
        let key = LISTENERS + self.listeners.len();
        self.poller.add_with_mode(&listener, Event::readable(key), PollMode::Level)?;
        self.listeners.push((which, Some(listener)));
        Ok(())
    }

    /// Watches the pipe that a signal writes to.
    pub fn watch_signal(&self, signal: Signal, pipe: &impl AsRawFd) -> io::Result<()> {
        let key = match signal {
            Signal::Stop => STOP,
            Signal::Reload => RELOAD,
            Signal::Fleet => FLEET,
        };
        self.poller.add_with_mode(pipe.as_raw_fd(), Event::readable(key), PollMode::Level)
    }

    /// Closes a listener.
    pub fn shut(&mut self, which: Listener) {
        // The socket itself has to go, or new connections would still come up in its backlog.
        for (_, listener) in self.listeners.iter_mut().filter(|(d, _)| *d == which) {
            if let Some(listener) = listener.take() {
                let _ = self.poller.delete(&listener);
            }
        }
    }

    /// The purpose of a listener.
    pub fn listener(&self, index: usize) -> Option<Listener> {
        self.listeners.get(index).map(|d| d.0)
    }

    /// Where a listener stands among them.
    pub fn index(&self, which: Listener) -> Option<usize> {
        self.listeners.iter().position(|(l, _)| *l == which)
    }

    /// Where a listener listens.
    pub fn address(&self, which: Listener) -> Option<SocketAddr> {
        let listener = self.listeners.iter().find(|(d, _)| *d == which)?.1.as_ref()?;
        listener.local_addr().ok()
    }

    /// Waits for the sockets or the next deadline, and returns what is ready.
    pub fn wait(&mut self, clock: &Clock, at_once: bool) -> io::Result<Vec<Ready>> {
        let timeout = if at_once { Some(Duration::ZERO) } else { self.time_to_next(clock) };
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.now = self.now.max(clock.now());
        let ready = |e: &Event| match e.key {
            STOP => Ready::Signal(Signal::Stop),
            RELOAD => Ready::Signal(Signal::Reload),
            FLEET => Ready::Signal(Signal::Fleet),
            key if key >= LISTENERS => Ready::Listener(key - LISTENERS),
            key => Ready::Conn(ConnKey(key), e.readable, e.writable),
        };
        Ok(self.events.iter().map(ready).collect())
    }

    fn time_to_next(&self, clock: &Clock) -> Option<Duration> {
        self.timers.next().map(|at| at.since(clock.now()))
    }

    /// Open connections, and the most there may be.
    pub fn load(&self) -> (usize, usize) {
        (self.conns.len(), self.budget)
    }

    /// The connection, if it is still there.
    pub fn get(&mut self, key: ConnKey) -> Option<&mut Conn> {
        let (generation, conn) = self.conns.get_mut(key.0 & 0xffff_ffff)?;
        (*generation as usize == key.0 >> 32).then_some(conn)
    }

    /// All connections.
    pub fn keys(&self) -> Vec<ConnKey> {
        self.conns.iter().map(|(i, (generation, _))| ConnKey((*generation as usize) << 32 | i)).collect()
    }

    fn adopt(&mut self, stream: TcpStream, role: Role, connected: bool) -> io::Result<ConnKey> {
        // Bits 24 and up of the generation would run into the keys of listeners.
        self.generation = (self.generation + 1) & 0xff_ffff;
        let entry = self.conns.vacant_entry();
        let key = ConnKey((self.generation as usize) << 32 | entry.key());
        let event = if connected { Event::readable(key.0) } else { Event::all(key.0) };
        self.poller.add_with_mode(&stream, event, PollMode::Level)?;
        entry.insert((
            self.generation,
            Conn {
                stream,
                input: Buffer::default(),
                spilled: 0,
                output: Buffer::default(),
                role,
                connected,
                idle_since: connected.then_some(self.now),
                interest: (true, !connected),
                deadline: None,
                write_deadline: None,
            },
        ));
        Ok(key)
    }

    /// Takes what waits at a listener. Beyond the budget it closes idle connections first, then leaves
    /// newcomers in the backlog for a moment. A part of the budget stays free for links to workers.
    pub fn accept(&mut self, index: usize, role: impl Fn(Listener) -> Role) -> Vec<ConnKey> {
        let mut taken = Vec::new();
        let Some(which) = self.listener(index) else { return taken };
        for _ in 0..ACCEPTS {
            if self.conns.len() >= self.budget * 5 / 8 && !self.close_an_idle_one() {
                self.pause_accepting(index);
                break;
            }
            let Some(listener) = &self.listeners[index].1 else { break };
            match listener.accept() {
                Ok((stream, _)) => {
                    let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    if ready.is_ok()
                        && let Ok(key) = self.adopt(stream, role(which), true)
                    {
                        taken.push(key);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(_) => {
                    self.pause_accepting(index);
                    break;
                }
            }
        }
        taken
    }

    fn pause_accepting(&mut self, index: usize) {
        let Some(listener) = &self.listeners[index].1 else { return };
        if self.poller.modify_with_mode(listener, Event::none(LISTENERS + index), PollMode::Level).is_ok() {
            self.timers.schedule(self.now + Duration::from_millis(50), Due::Accept);
        }
    }

    /// Listens again after a pause.
    pub fn resume_accepting(&mut self) {
        for (i, (_, listener)) in self.listeners.iter().enumerate() {
            if let Some(listener) = listener {
                let _ =
                    self.poller.modify_with_mode(listener, Event::readable(LISTENERS + i), PollMode::Level);
            }
        }
    }

    /// Closes the connection that has been idle longest, of those on which nothing is on its way.
    fn close_an_idle_one(&mut self) -> bool {
        let idle = self
            .conns
            .iter()
            .filter_map(|(i, (g, c))| Some((c.idle_since?, ConnKey((*g as usize) << 32 | i))));
        let mut idle: Vec<(Time, ConnKey)> = idle.collect();
        idle.sort_unstable();
        let quiet = |key: &ConnKey| self.get(*key).is_some_and(|c| c.is_quiet());
        let Some(key) = idle.into_iter().map(|(_, key)| key).find(quiet) else { return false };
        self.close(key);
        true
    }

    /// Opens a connection; what is sent meanwhile goes out once it is up. A call to discovery may take a descriptor of
    /// the reserve: whoever fills the others must not keep the program from its list.
    pub fn connect(&mut self, address: SocketAddr, role: Role) -> io::Result<ConnKey> {
        let needed = !matches!(role, Role::Discovery(_));
        if self.conns.len() >= self.budget && !self.close_an_idle_one() && needed {
            return Err(io::Error::other("no descriptor left"));
        }
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        // `EINPROGRESS` has no `ErrorKind` of its own everywhere; what matters comes with writability.
        match socket.connect(&address.into()) {
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable) => {
                return Err(e);
            }
            _ => {}
        }
        self.adopt(socket.into(), role, false)
    }

    /// Sends; whatever does not go out at once goes out as the peer takes it.
    pub fn send(&mut self, key: ConnKey, bytes: &[u8]) {
        if let Some(conn) = self.get(key) {
            conn.output.extend(bytes);
            conn.idle_since = None;
            self.flush(key);
        }
    }

    /// Writes what can be written.
    pub fn flush(&mut self, key: ConnKey) {
        let Some(conn) = self.get(key) else { return };
        while conn.connected && !conn.output.is_empty() {
            match conn.stream.write(conn.output.data()) {
                Ok(n) if n > 0 => conn.output.consume(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                _ => {
                    self.broken.push(key);
                    return;
                }
            }
        }
        let (stuck, since) = (conn.connected && !conn.output.is_empty(), conn.write_deadline);
        if stuck && since.is_none() {
            let handle = self.timers.schedule(self.now + WRITE_TIMEOUT, Due::Write(key));
            if let Some(conn) = self.get(key) {
                conn.write_deadline = Some(handle);
            }
        } else if let (false, Some(handle)) = (stuck, since) {
            conn.write_deadline = None;
            self.timers.cancel(handle);
        }
        self.sync(key);
        self.end_output_if_closing(key);
    }

    fn end_output_if_closing(&mut self, key: ConnKey) {
        if let Some(conn) = self.get(key)
            && matches!(conn.role, Role::Closing)
            && conn.output.is_empty()
        {
            let _ = conn.stream.shutdown(Shutdown::Write);
        }
    }

    /// Asks the poller for what the connection now waits for.
    pub fn sync(&mut self, key: ConnKey) {
        let Some(conn) = self.get(key) else { return };
        let reads = conn.waits() || conn.input.len() < conn.max_input();
        let wanted = (reads, !conn.connected || !conn.output.is_empty());
        if conn.interest != wanted {
            conn.interest = wanted;
            let event = Event { key: key.0, readable: wanted.0, writable: wanted.1 };
            let Some((_, conn)) = self.conns.get(key.0 & 0xffff_ffff) else { return };
            if self.poller.modify_with_mode(&conn.stream, event, PollMode::Level).is_err() {
                self.broken.push(key);
            }
        }
    }

    /// Takes note that a connection came up or failed to; `false`: it failed.
    pub fn came_up(&mut self, key: ConnKey) -> bool {
        let Some(conn) = self.get(key) else { return true };
        if !conn.connected {
            if !matches!(conn.stream.take_error(), Ok(None)) || conn.stream.peer_addr().is_err() {
                return false;
            }
            conn.connected = true;
        }
        true
    }

    /// Reads what has come; `false`: the peer has ended or reset the connection.
    pub fn read(&mut self, key: ConnKey) -> bool {
        let mut scratch = std::mem::take(&mut self.scratch);
        let mut alive = true;
        let ahead = |(_, (_, c)): (usize, &(u32, Conn))| c.input.len().saturating_sub(MAX_INPUT);
        let may_keep = || self.conns.iter().map(ahead).sum::<usize>() < MAX_AHEAD_OF_ALL;
        let waits = self.conns.get(key.0 & 0xffff_ffff).is_some_and(|(_, c)| c.waits());
        let ahead = (waits && may_keep()).then_some(MAX_AHEAD);
        if let Some(conn) = self.get(key) {
            // Input is full and not asked for, so what the poller reports can only be the connection's end: it
            // would go on reporting that without a pause.
            alive = conn.interest.0;
            let most = ahead.unwrap_or(conn.max_input());
            while alive && (conn.input.len() < most || waits) {
                match conn.stream.read(&mut scratch) {
                    Ok(0) => alive = false,
                    Ok(n) => {
                        if conn.spilled > 0 || conn.input.len() >= most {
                            conn.spilled += n;
                            alive = conn.spilled < MAX_SPILLED;
                        } else if !matches!(conn.role, Role::Closing) {
                            conn.input.extend(&scratch[..n]);
                        }
                        // What is only dropped may come without end: the others have their turn first.
                        if n == scratch.len() && !matches!(conn.role, Role::Closing) {
                            continue;
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => alive = false,
                }
                break;
            }
        }
        self.scratch = scratch;
        alive
    }

    /// Sets or withdraws the connection's own deadline.
    pub fn set_deadline(&mut self, key: ConnKey, after: Option<Duration>) {
        let Some(old) = self.get(key).map(|conn| conn.deadline.take()) else { return };
        if let Some(handle) = old {
            self.timers.cancel(handle);
        }
        let new = after.map(|after| self.timers.schedule(self.now + after, Due::Conn(key)));
        if let Some(conn) = self.get(key) {
            conn.deadline = new;
        }
    }

    /// Whether the connection's own deadline is set.
    pub fn has_deadline(&mut self, key: ConnKey) -> bool {
        self.get(key).is_some_and(|conn| conn.deadline.is_some())
    }

    /// Closes at once.
    pub fn close(&mut self, key: ConnKey) -> Option<Role> {
        self.get(key)?;
        let (_, conn) = self.conns.remove(key.0 & 0xffff_ffff);
        let _ = self.poller.delete(&conn.stream);
        conn.deadline.into_iter().chain(conn.write_deadline).for_each(|h| self.timers.cancel(h));
        Some(conn.role)
    }

    /// Closes once all output is out and the peer has seen it.
    pub fn close_gently(&mut self, key: ConnKey) {
        let now = self.now;
        let Some(conn) = self.get(key) else { return };
        conn.role = Role::Closing;
        conn.input = Buffer::default();
        conn.spilled = 0;
        conn.idle_since = Some(now);
        self.set_deadline(key, Some(LINGER));
        self.flush(key);
    }

    /// Closes with a reset, as a peer that lost its framing deserves no orderly end.
    pub fn abort(&mut self, key: ConnKey) -> Option<Role> {
        if let Some(conn) = self.get(key) {
            let _ = SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(key)
    }
}

/// What fronts, workers and discovery share in a turn.
pub struct Shared {
    /// The sockets.
    pub net: Net,
    /// What has happened and the core has not heard yet.
    pub inputs: Vec<Input>,
    /// Discovery's list.
    pub registry: Registry,
    /// The clock.
    pub clock: Clock,
    /// SIGTERM came.
    pub stopping: bool,
    /// Connections are to be closed after their answer.
    pub last_calls: bool,
    /// Answers to `/ready`.
    pub ready: bool,
    /// Log lines go here.
    pub log: fn(&str),
    last_id: u32,
}

impl Shared {
    /// Nothing has happened yet.
    pub fn new(net: Net, registry: Registry, clock: Clock, log: fn(&str)) -> Self {
        Self {
            net,
            inputs: Vec::new(),
            registry,
            clock,
            stopping: false,
            last_calls: false,
            ready: false,
            log,
            last_id: 0,
        }
    }

    /// A fresh request id.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id = self.last_id.wrapping_add(1);
        RequestId(self.last_id)
    }

    /// The address of a worker that is reached by HTTP.
    pub fn dial(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.registry.get(worker)?.dial
    }
}
