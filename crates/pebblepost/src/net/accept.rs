//! Accepting connections within the descriptor budget.

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

/// Most connections accepted from a listener in one iteration of the event loop.
const MAX_ACCEPTS: usize = 64;
/// How long a listener rests after it ran out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Share of the budget that accepted connections may use, in eighths; the rest stays free for connections to workers.
const ACCEPT_BUDGET_EIGHTHS: usize = 5;

impl Sockets {
    /// Accepts connections that wait at a listener.
    ///
    /// Beyond the budget the longest idle connections are closed first; then the listener pauses and newcomers stay in its
    /// backlog.
    pub fn accept(
        &mut self, index: usize, role: impl Fn(ListenerKind) -> ConnectionRole,
    ) -> Vec<ConnectionKey> {
        let mut accepted = Vec::new();
        let Some(kind) = self.listener_kind(index) else { return accepted };
        for _ in 0..MAX_ACCEPTS {
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

    /// Accepts again at every listener after a pause.
    pub fn resume_accepting(&mut self) {
        for (index, listener) in self.listeners.iter().enumerate() {
            if let Some(socket) = &listener.socket {
                let readable = Event::readable(listener_key(index));
                let _ = self.poller.modify_with_mode(socket, readable, PollMode::Level);
            }
        }
    }

    /// Closes the connection that has been idle longest, among those without anything in transit; `false` if there is none.
    pub(super) fn close_longest_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter_map(|(index, slot)| {
            Some((slot.connection.idle_since?, ConnectionKey::new(slot.generation, index)))
        });
        let mut idle: Vec<(Time, ConnectionKey)> = idle.collect();
        idle.sort_unstable();
        let is_quiet = |key: &ConnectionKey| self.get(*key).is_some_and(|connection| connection.is_quiet());
        let Some(key) = idle.into_iter().map(|(_, key)| key).find(is_quiet) else { return false };
        self.close(key);
        true
    }
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)
}
