//! Bounded reading and writing of datagrams. Integers are little-endian.

use crate::member::{MAX_NAME_BYTES, MAX_PAYLOAD_BYTES, Member, MemberState, Update};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Bytes of an update without name and payload: state, incarnation, address, two lengths.
const UPDATE_HEADER_BYTES: usize = 1 + 8 + 6 + 2;

/// Reads from the start of some bytes; `None` once they don't suffice.
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

    /// Bytes with a length of one byte in front.
    fn short(&mut self, max_bytes: usize) -> Option<&'a [u8]> {
        let length = usize::from(self.byte()?);
        if length <= max_bytes { self.take(length) } else { None }
    }

    pub(crate) fn name(&mut self) -> Option<String> {
        String::from_utf8(self.short(MAX_NAME_BYTES)?.to_vec()).ok()
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
        let payload = self.short(MAX_PAYLOAD_BYTES)?.to_vec();
        Some(Update { member: Member { name, address, payload, incarnation }, state })
    }
}

/// Appends bytes, at most 255, with their length in front.
fn write_short(buffer: &mut Vec<u8>, bytes: &[u8]) {
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
    write_short(buffer, name.as_bytes());
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
    write_short(buffer, &update.member.payload);
}

/// Bytes of an encoded update.
pub(crate) fn update_bytes(update: &Update) -> usize {
    UPDATE_HEADER_BYTES + update.member.name.len() + update.member.payload.len()
}
