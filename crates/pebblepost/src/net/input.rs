//! Reads from connections, with limits on buffered input.

use super::connection::{Connection, MAX_INPUT_BYTES};
use super::sockets::Sockets;
use crate::connection_key::ConnectionKey;
use std::io::{ErrorKind, Read};

/// Maximum input buffered for a client whose response is pending.
///
/// Such a client is read beyond the usual limit, because its close would go unnoticed behind unread input.
const MAX_PIPELINED_BYTES: usize = 512 * 1024;
/// Maximum pipelined input of all clients together. Once it is reached, each client has only its usual input limit and
/// further bytes are dropped.
const MAX_PIPELINED_BYTES_TOTAL: usize = 4 * 1024 * 1024;
/// A client's connection is closed after this many of its bytes were dropped.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;

impl Sockets {
    /// Reads received bytes into the connection's input.
    ///
    /// Returns `false` if the connection has ended: the peer closed or reset it, or too many of its bytes were dropped.
    pub fn read(&mut self, key: ConnectionKey) -> bool {
        let awaits_response =
            self.connections.get(key.slot()).is_some_and(|slot| slot.connection.role.awaits_response());
        let pipelining = awaits_response && self.pipelined_bytes() < MAX_PIPELINED_BYTES_TOTAL;
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        let is_open = match self.get(key) {
            Some(connection) => {
                let max_bytes = if pipelining { MAX_PIPELINED_BYTES } else { connection.max_input_bytes() };
                connection.read(&mut read_buffer, max_bytes, awaits_response)
            }
            None => true,
        };
        self.read_buffer = read_buffer;
        is_open
    }

    /// Returns the number of buffered bytes above the usual input limit, summed over all connections.
    fn pipelined_bytes(&self) -> usize {
        let above_limit = |connection: &Connection| connection.input.len().saturating_sub(MAX_INPUT_BYTES);
        self.connections.iter().map(|(_, slot)| above_limit(&slot.connection)).sum()
    }
}

impl Connection {
    /// Reads until `max_bytes` of input are buffered. If `awaits_response`, reads on beyond that and drops the bytes.
    ///
    /// Returns `false` if the connection has ended or too many bytes were dropped.
    fn read(&mut self, read_buffer: &mut [u8], max_bytes: usize, awaits_response: bool) -> bool {
        // With a full input buffer the poller is not asked for readability, so an event can only mean that the connection
        // has ended. Level-triggered polling would report it on every iteration.
        if !self.interest.readable {
            return false;
        }
        while self.input.len() < max_bytes || awaits_response {
            match self.stream.read(read_buffer) {
                Ok(0) => return false,
                Ok(count) => {
                    let within_limit = self.buffer_or_drop(&read_buffer[..count], max_bytes);
                    // A closing connection may send without limit and its bytes are only dropped, so it gets one read per
                    // event and does not starve other connections.
                    let may_have_more = count == read_buffer.len() && !self.role.is_closing();
                    if !(within_limit && may_have_more) {
                        return within_limit;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }

    /// Buffers received bytes, or drops them once the limit is reached; returns `false` if too many were dropped.
    fn buffer_or_drop(&mut self, bytes: &[u8], max_bytes: usize) -> bool {
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
