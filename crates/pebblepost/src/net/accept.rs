//! Accepts connections within the descriptor budget.

use super::poll::listener_key;
use super::sockets::{ListenerKind, Sockets};
use crate::connection_key::ConnectionKey;
use crate::connection_role::ConnectionRole;
use crate::timer::Timer;
use pebblepost_dispatch::api::Time;
use polling::{Event, PollMode};
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::time::Duration;

/// Maximum number of connections accepted from one listener per iteration of the event loop.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// How long a listener stops accepting after an `accept` error or when the connection budget is used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Share of the connection budget, in eighths, up to which connections are accepted. The rest stays available for
/// connections to workers.
const ACCEPT_BUDGET_EIGHTHS: usize = 5;

impl Sockets {
    /// Accepts pending connections of the listener with this index and returns their keys.
    ///
    /// When the accept budget is used up, the connection that has been idle longest is closed to make room. If none is
    /// idle, the listener pauses and new connections stay in the kernel's backlog.
    pub fn accept(
        &mut self, index: usize, role: impl Fn(ListenerKind) -> ConnectionRole,
    ) -> Vec<ConnectionKey> {
        let mut accepted = Vec::new();
        let Some(kind) = self.listener_kind(index) else { return accepted };
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if self.connections.len() >= self.max_connections * ACCEPT_BUDGET_EIGHTHS / 8
                && !self.close_longest_idle()
            {
                self.pause_accepting(index);
                break;
            }
            let Some(socket) = &self.listeners[index].socket else { break };
            match socket.accept() {
                Ok((stream, _)) => {
                    if configure(&stream).is_ok()
                        && let Ok(key) = self.insert(stream, role(kind), true)
                    {
                        accepted.push(key);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(_) => {
                    self.pause_accepting(index);
                    break;
                }
            }
        }
        accepted
    }

    fn pause_accepting(&mut self, index: usize) {
        let Some(socket) = &self.listeners[index].socket else { return };
        let none = Event::none(listener_key(index));
        if self.poller.modify_with_mode(socket, none, PollMode::Level).is_ok() {
            self.timers.schedule(self.now + ACCEPT_PAUSE, Timer::ResumeAccepting);
        }
    }

    /// Resumes accepting on all open listeners after a pause.
    pub fn resume_accepting(&mut self) {
        for (index, listener) in self.listeners.iter().enumerate() {
            if let Some(socket) = &listener.socket {
                let readable = Event::readable(listener_key(index));
                let _ = self.poller.modify_with_mode(socket, readable, PollMode::Level);
            }
        }
    }

    /// Closes the connection that has been idle longest and has no input or output pending.
    ///
    /// Returns `false` if there is none.
    pub(super) fn close_longest_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter_map(|(index, slot)| {
            Some((slot.connection.idle_since?, ConnectionKey::new(slot.generation, index)))
        });
        let mut idle: Vec<(Time, ConnectionKey)> = idle.collect();
        idle.sort_unstable();
        let is_quiescent =
            |key: &ConnectionKey| self.get(*key).is_some_and(|connection| connection.is_quiescent());
        let Some(key) = idle.into_iter().map(|(_, key)| key).find(is_quiescent) else { return false };
        self.close(key);
        true
    }
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)
}
