//! Tests of budgets and of buffers in blocks.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use bytes::Bytes;
use pebblepost_memory::{BLOCK_BYTES, BlockBuffer, MemoryBudget, OutOfMemory};
use std::io::Read;

#[test]
fn a_budget_refuses_more_than_its_limit_and_gets_back_what_is_dropped() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.reserve(60).unwrap();
    assert_eq!(budget.reserve(41).unwrap_err(), OutOfMemory { wanted_bytes: 41 });
    assert_eq!(first.resize_to(101), Err(OutOfMemory { wanted_bytes: 101 }));
    assert_eq!((first.bytes(), budget.reserved_bytes()), (60, 60));
    first.resize_to(10).unwrap();
    let second = budget.reserve(90).unwrap();
    assert!(first.grow_to(11).is_err());
    budget.set_limit(10);
    assert_eq!(budget.reserved_bytes(), 100, "existing reservations are kept");
    assert!(first.resize_to(5).is_ok(), "shrinking never fails");
    drop((first, second));
    assert_eq!(budget.reserved_bytes(), 0);
}

fn pushed(parts: &[Vec<u8>]) -> BlockBuffer {
    let mut buffer = BlockBuffer::new(MemoryBudget::new(usize::MAX).empty_reservation());
    for part in parts {
        buffer.push(Bytes::copy_from_slice(part)).unwrap();
    }
    buffer
}

#[test]
fn a_buffer_returns_its_bytes_in_order_whatever_the_parts() {
    for part_bytes in [1, 7, BLOCK_BYTES - 1, BLOCK_BYTES, BLOCK_BYTES + 1, 3 * BLOCK_BYTES] {
        let bytes: Vec<u8> = (0..2 * BLOCK_BYTES + 17).map(|index| (index % 251) as u8).collect();
        let parts: Vec<Vec<u8>> = bytes.chunks(part_bytes).map(<[u8]>::to_vec).collect();
        let (whole, reservation) = pushed(&parts).into_bytes();
        assert_eq!((&whole[..], reservation.bytes()), (&bytes[..], bytes.len()), "parts of {part_bytes}");
        let (mut reader, _reservation) = pushed(&parts).into_reader();
        let unread_bytes = reader.unread_bytes();
        assert_eq!(unread_bytes.get(), bytes.len());
        let mut read = Vec::new();
        reader.read_to_end(&mut read).unwrap();
        assert_eq!((read, unread_bytes.get()), (bytes, 0), "parts of {part_bytes}");
    }
}

#[test]
fn a_buffer_takes_no_more_than_its_budget() {
    let mut buffer = BlockBuffer::new(MemoryBudget::new(10).empty_reservation());
    assert!(buffer.reserve(11).is_err());
    buffer.push(Bytes::from_static(b"1234567890")).unwrap();
    assert_eq!(buffer.push(Bytes::from_static(b"x")), Err(OutOfMemory { wanted_bytes: 11 }));
    assert_eq!(buffer.into_bytes().0, "1234567890");
}
