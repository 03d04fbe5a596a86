//! Writes to connections.

use super::sockets::Sockets;
use crate::connection_key::ConnectionKey;
use crate::timer::Timer;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;
use std::time::Duration;

/// A connection whose output cannot be written completely within this time is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

impl Sockets {
    /// Appends bytes to the connection's output and writes as much as the socket accepts.
    ///
    /// The rest is written when the socket becomes writable. Does nothing if the connection is closed.
    pub fn send(&mut self, key: ConnectionKey, bytes: &[u8]) {
        if let Some(connection) = self.get(key) {
            connection.output.extend(bytes);
            connection.idle_since = None;
            self.flush(key);
        }
    }

    /// Writes as much buffered output as the socket accepts.
    ///
    /// A connection whose write fails is added to [`Sockets::broken`].
    pub fn flush(&mut self, key: ConnectionKey) {
        let Some(connection) = self.get(key) else { return };
        while connection.connected && !connection.output.is_empty() {
            match connection.stream.write(connection.output.data()) {
                Ok(count) if count > 0 => connection.output.consume(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                _ => {
                    self.broken.push(key);
                    return;
                }
            }
        }
        self.update_write_deadline(key);
        self.update_interest(key);
        self.shut_down_if_closing(key);
    }

    /// Starts the write time-out while output is blocked, and cancels it once all output is written.
    fn update_write_deadline(&mut self, key: ConnectionKey) {
        let Some(connection) = self.get(key) else { return };
        let is_blocked = connection.connected && !connection.output.is_empty();
        match (is_blocked, connection.write_deadline) {
            (true, None) => {
                let handle = self.timers.schedule(self.now + WRITE_TIMEOUT, Timer::WriteTimeout(key));
                if let Some(connection) = self.get(key) {
                    connection.write_deadline = Some(handle);
                }
            }
            (false, Some(handle)) => {
                connection.write_deadline = None;
                self.timers.cancel(handle);
            }
            _ => {}
        }
    }

    fn shut_down_if_closing(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.get(key)
            && connection.role.is_closing()
            && connection.output.is_empty()
        {
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }
}
