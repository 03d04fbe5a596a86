//! Datagrams, each of which contains one message, followed by piggybacked updates.

use crate::{
    codec::{Reader, encoded_update_bytes, write_address, write_name, write_u32, write_u64, write_update},
    member::Update,
};
use std::net::SocketAddrV4;

/// Largest size of a datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;

/// First byte of every datagram.
const MAGIC: u8 = 0xb7;
const PING: u8 = 1;
const ACK: u8 = 2;
const PING_REQUEST: u8 = 3;
const PAGE_REQUEST: u8 = 4;
const PAGE: u8 = 5;
const GOSSIP: u8 = 6;

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    /// Asks for a [`Message::Ack`]. With an empty `name`, any member that receives it answers.
    Ping { sequence: u64, name: String },
    /// Acknowledges a ping. `members` is the number of members that are present to the knowledge of its sender.
    Ack { sequence: u64, members: u32 },
    /// Asks the receiver to ping another member and to forward its acknowledgement.
    PingRequest { sequence: u64, name: String, address: SocketAddrV4 },
    /// Asks for a page of the member list that starts with the first name after `after`.
    PageRequest { after: String },
    /// A page of the member list, which follows as updates. `is_last` says that no page follows.
    Page { is_last: bool },
    /// Only carries updates.
    Gossip,
}

impl Message {
    /// Encodes a datagram with as many of the updates as fit. Returns the datagram and the number of these updates.
    pub(crate) fn encode<'a>(&self, updates: impl IntoIterator<Item = &'a Update>) -> (Vec<u8>, usize) {
        let mut buffer = vec![MAGIC];
        self.write(&mut buffer);
        let mut count = 0;
        for update in updates {
            if buffer.len() + encoded_update_bytes(update) > MAX_DATAGRAM_BYTES {
                break;
            }
            write_update(&mut buffer, update);
            count += 1;
        }
        (buffer, count)
    }

    /// Decodes a datagram, or returns `None` if it is malformed or too large.
    pub(crate) fn decode(datagram: &[u8]) -> Option<(Message, Vec<Update>)> {
        let mut reader = Reader(datagram);
        if datagram.len() > MAX_DATAGRAM_BYTES || reader.byte()? != MAGIC {
            return None;
        }
        let message = Message::read(&mut reader)?;
        let mut updates = Vec::new();
        while !reader.0.is_empty() {
            updates.push(reader.update()?);
        }
        Some((message, updates))
    }

    fn write(&self, buffer: &mut Vec<u8>) {
        match self {
            Message::Ping { sequence, name } => {
                buffer.push(PING);
                write_u64(buffer, *sequence);
                write_name(buffer, name);
            }
            Message::Ack { sequence, members } => {
                buffer.push(ACK);
                write_u64(buffer, *sequence);
                write_u32(buffer, *members);
            }
            Message::PingRequest { sequence, name, address } => {
                buffer.push(PING_REQUEST);
                write_u64(buffer, *sequence);
                write_name(buffer, name);
                write_address(buffer, *address);
            }
            Message::PageRequest { after } => {
                buffer.push(PAGE_REQUEST);
                write_name(buffer, after);
            }
            Message::Page { is_last } => buffer.extend_from_slice(&[PAGE, u8::from(*is_last)]),
            Message::Gossip => buffer.push(GOSSIP),
        }
    }

    fn read(reader: &mut Reader<'_>) -> Option<Message> {
        match reader.byte()? {
            PING => Some(Message::Ping { sequence: reader.u64()?, name: reader.name()? }),
            ACK => Some(Message::Ack { sequence: reader.u64()?, members: reader.u32()? }),
            PING_REQUEST => Some(Message::PingRequest {
                sequence: reader.u64()?,
                name: reader.name()?,
                address: reader.address()?,
            }),
            PAGE_REQUEST => Some(Message::PageRequest { after: reader.name()? }),
            PAGE => Some(Message::Page { is_last: reader.byte()? != 0 }),
            GOSSIP => Some(Message::Gossip),
            _ => None,
        }
    }
}
