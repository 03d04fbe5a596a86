//! Encoding and decoding of the fields of datagrams, with bounded lengths. Integers are little-endian.

use crate::member::{MAX_NAME_BYTES, MAX_PAYLOAD_BYTES, Member, MemberState, Update};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Encoded size of an update without name and payload: state, incarnation, address, and two lengths.
const UPDATE_HEADER_BYTES: usize = 1 + 8 + 6 + 2;

/// Reads fields from the start of a byte slice. Each method returns `None` if the remaining bytes are too few or
/// invalid.
pub(crate) struct Reader<'a>(pub(crate) &'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    pub(crate) fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    pub(crate) fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_le_bytes)
    }

    pub(crate) fn u64(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_le_bytes)
    }

    /// Reads bytes that are preceded by their length, which takes one byte and is at most `max_bytes`.
    fn length_prefixed(&mut self, max_bytes: usize) -> Option<&'a [u8]> {
        let length = usize::from(self.byte()?);
        if length <= max_bytes { self.take(length) } else { None }
    }

    pub(crate) fn name(&mut self) -> Option<String> {
        String::from_utf8(self.length_prefixed(MAX_NAME_BYTES)?.to_vec()).ok()
    }

    pub(crate) fn address(&mut self) -> Option<SocketAddrV4> {
        let ip: [u8; 4] = self.take(4)?.try_into().ok()?;
        let port: [u8; 2] = self.take(2)?.try_into().ok()?;
        Some(SocketAddrV4::new(Ipv4Addr::from(ip), u16::from_le_bytes(port)))
    }

    pub(crate) fn update(&mut self) -> Option<Update> {
        let state = MemberState::from_code(self.byte()?)?;
        let incarnation = self.u64()?;
        let address = self.address()?;
        let name = self.name()?;
        let payload = self.length_prefixed(MAX_PAYLOAD_BYTES)?.to_vec();
        Some(Update { member: Member { name, address, payload, incarnation }, state })
    }
}

/// Appends bytes, preceded by their length in one byte. Bytes beyond 255 are omitted.
fn write_length_prefixed(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let length = u8::try_from(bytes.len()).unwrap_or(u8::MAX);
    buffer.push(length);
    buffer.extend_from_slice(&bytes[..usize::from(length)]);
}

pub(crate) fn write_u64(buffer: &mut Vec<u8>, value: u64) {
    buffer.extend_from_slice(&value.to_le_bytes());
}

pub(crate) fn write_u32(buffer: &mut Vec<u8>, value: u32) {
    buffer.extend_from_slice(&value.to_le_bytes());
}

pub(crate) fn write_name(buffer: &mut Vec<u8>, name: &str) {
    write_length_prefixed(buffer, name.as_bytes());
}

pub(crate) fn write_address(buffer: &mut Vec<u8>, address: SocketAddrV4) {
    buffer.extend_from_slice(&address.ip().octets());
    buffer.extend_from_slice(&address.port().to_le_bytes());
}

pub(crate) fn write_update(buffer: &mut Vec<u8>, update: &Update) {
    buffer.push(update.state.code());
    write_u64(buffer, update.member.incarnation);
    write_address(buffer, update.member.address);
    write_name(buffer, &update.member.name);
    write_length_prefixed(buffer, &update.member.payload);
}

/// Returns the encoded size of an update, in bytes.
pub(crate) fn encoded_update_bytes(update: &Update) -> usize {
    UPDATE_HEADER_BYTES + update.member.name.len() + update.member.payload.len()
}
