//! Writing to connections.

use super::sockets::Sockets;
use crate::connection_key::ConnectionKey;
use crate::timer::Timer;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;
use std::time::Duration;

/// A peer that reads none of its output for this long counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

impl Sockets {
    /// Sends bytes. What cannot be written at once is written as the peer reads.
    pub fn send(&mut self, key: ConnectionKey, bytes: &[u8]) {
        if let Some(connection) = self.get(key) {
            connection.output.extend(bytes);
            connection.idle_since = None;
            self.flush(key);
        }
    }

    /// Writes as much output as the socket takes.
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

    /// Starts the write time-out when output is stuck, and cancels it once all is written.
    fn update_write_deadline(&mut self, key: ConnectionKey) {
        let Some(connection) = self.get(key) else { return };
        let stuck = connection.connected && !connection.output.is_empty();
        match (stuck, connection.write_deadline) {
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
