//! Encoding and decoding of messages.
//!
//! Decoding never panics, and allocates in proportion to the bytes received. The `Vec` decoding of
//! `nanoserde` is not used, because it reserves memory for any length that a message claims.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::{DiskId, Member};
use std::ops::Deref;
use std::sync::Arc;

/// A byte string with a length prefix, copied as a whole when encoded and decoded. Clones share the bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(Arc<Vec<u8>>);

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Blob {
        Blob(Arc::new(bytes))
    }
}

impl Deref for Blob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl SerBin for Blob {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.len().ser_bin(output);
        output.extend_from_slice(self);
    }
}

impl DeBin for Blob {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = decode_length(offset, bytes)?;
        let start = *offset;
        *offset += length;
        Ok(Self::from(bytes[start..*offset].to_vec()))
    }
}

/// A list that is decoded without reserving memory for the length that the message claims.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sequence<T>(pub Vec<T>);

impl<T: SerBin> SerBin for Sequence<T> {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.0.ser_bin(output);
    }
}

impl<T: DeBin> DeBin for Sequence<T> {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        decode_list(offset, bytes, T::de_bin).map(Self)
    }
}

/// Decodes a complete message. Returns `None` if it is malformed.
pub(crate) fn decode<M: DeBin>(bytes: &[u8]) -> Option<M> {
    M::deserialize_bin(bytes).ok()
}

pub(crate) fn decode_members(offset: &mut usize, bytes: &[u8]) -> Result<Vec<Member>, DeBinErr> {
    decode_list(offset, bytes, decode_member)
}

fn decode_member(offset: &mut usize, bytes: &[u8]) -> Result<Member, DeBinErr> {
    Ok(Member {
        disk: DiskId::de_bin(offset, bytes)?,
        node: decode_string(offset, bytes)?,
        address: decode_string(offset, bytes)?,
        zone: decode_string(offset, bytes)?,
        region: decode_string(offset, bytes)?,
    })
}

fn decode_string(offset: &mut usize, bytes: &[u8]) -> Result<String, DeBinErr> {
    let mut text_start = *offset;
    decode_length(&mut text_start, bytes)?;
    String::de_bin(offset, bytes)
}

fn decode_list<T>(
    offset: &mut usize, bytes: &[u8], decode_item: impl Fn(&mut usize, &[u8]) -> Result<T, DeBinErr>,
) -> Result<Vec<T>, DeBinErr> {
    let length = decode_length(offset, bytes)?;
    let mut items = Vec::new();
    for _ in 0..length {
        items.push(decode_item(offset, bytes)?);
    }
    Ok(items)
}

/// Decodes a length and checks it against the remaining bytes; every item takes at least one byte.
fn decode_length(offset: &mut usize, bytes: &[u8]) -> Result<usize, DeBinErr> {
    let length = usize::de_bin(offset, bytes)?;
    let remaining = bytes.len().saturating_sub(*offset);
    if length > remaining {
        return Err(DeBinErr::new(*offset, length, remaining));
    }
    Ok(length)
}
