//! Reading from connections.

use super::connection::{Connection, MAX_INPUT_BYTES};
use super::sockets::Sockets;
use crate::connection_key::ConnectionKey;
use std::io::{ErrorKind, Read};

/// A client whose response is pending is read on all the same, as its end would go unnoticed behind unread input. This much
/// of what it sends ahead is kept, ...
const MAX_PIPELINED_BYTES: usize = 512 * 1024;
/// ... as long as all clients together have sent less than this ahead; the rest is dropped.
const MAX_PIPELINED_BYTES_TOTAL: usize = 4 * 1024 * 1024;
/// A client of which this much was dropped is closed.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;

impl Sockets {
    /// Reads what has arrived; `false` if the peer has closed or reset the connection.
    pub fn read(&mut self, key: ConnectionKey) -> bool {
        let awaits_response =
            self.connections.get(key.slot()).is_some_and(|slot| slot.connection.role.awaits_response());
        let pipelining = awaits_response && self.pipelined_bytes() < MAX_PIPELINED_BYTES_TOTAL;
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        let alive = match self.get(key) {
            Some(connection) => {
                let max_bytes = if pipelining { MAX_PIPELINED_BYTES } else { connection.max_input_bytes() };
                connection.read(&mut read_buffer, max_bytes, awaits_response)
            }
            None => true,
        };
        self.read_buffer = read_buffer;
        alive
    }

    /// Bytes that clients have sent beyond the usual limit of a connection.
    fn pipelined_bytes(&self) -> usize {
        let beyond = |connection: &Connection| connection.input.len().saturating_sub(MAX_INPUT_BYTES);
        self.connections.iter().map(|(_, slot)| beyond(&slot.connection)).sum()
    }
}

impl Connection {
    /// Reads up to `max_bytes` of input; beyond that only if `awaits_response`, and drops it. `false` at the connection's end.
    fn read(&mut self, read_buffer: &mut [u8], max_bytes: usize, awaits_response: bool) -> bool {
        // If input is full and not polled for, what the poller reports can only be the connection's end, which it would
        // report again and again.
        if !self.interest.readable {
            return false;
        }
        while self.input.len() < max_bytes || awaits_response {
            match self.stream.read(read_buffer) {
                Ok(0) => return false,
                Ok(count) => {
                    let alive = self.take_in(&read_buffer[..count], max_bytes);
                    // Bytes that are only dropped may come without end: other connections have their turn first.
                    let may_have_more = count == read_buffer.len() && !self.role.is_closing();
                    if !(alive && may_have_more) {
                        return alive;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }

    /// Keeps or drops received bytes; `false` if too many were dropped.
    fn take_in(&mut self, bytes: &[u8], max_bytes: usize) -> bool {
        if self.dropped_bytes > 0 || self.input.len() >= max_bytes {
            self.dropped_bytes += bytes.len();
            return self.dropped_bytes < MAX_DROPPED_BYTES;
        }
        if !self.role.is_closing() {
            self.input.extend(bytes);
        }
        true
    }
}
