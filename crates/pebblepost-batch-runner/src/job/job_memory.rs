//! Memory that is reserved while a job's JSON text is turned into encoded items.
//!
//! At each moment the reservation covers the text that has not been read, the text of the item that is being read, the
//! fields read so far, the ids for the check of duplicates, and the encoded items.

use pebblepost_memory::{MemoryReservation, OutOfMemory};
use std::cell::Cell;
use std::rc::Rc;

/// Memory of an id in the table for the check of duplicates.
const ID_BYTES: usize = 64;

/// Reserved memory of one submission.
#[derive(Debug)]
pub(super) struct JobMemory {
    reservation: MemoryReservation,
    unread_bytes: Rc<Cell<usize>>,
    /// Unread bytes at the last end of an item.
    unread_at_last_item: usize,
    /// Fields of the current item, as far as they take more than their text.
    field_bytes: usize,
    /// Longest name so far: the reader keeps a buffer of its size.
    longest_name_bytes: usize,
    id_bytes: usize,
    encoded_bytes: usize,
}

impl JobMemory {
    /// Starts with the reservation of the unread text.
    pub(super) fn new(reservation: MemoryReservation, unread_bytes: Rc<Cell<usize>>) -> JobMemory {
        let unread_at_last_item = unread_bytes.get();
        JobMemory {
            reservation,
            unread_bytes,
            unread_at_last_item,
            field_bytes: 0,
            longest_name_bytes: 0,
            id_bytes: 0,
            encoded_bytes: 0,
        }
    }

    /// Returns the length of the text that has not been read.
    pub(super) fn unread_bytes(&self) -> usize {
        self.unread_bytes.get()
    }

    /// Reserves memory of the current item beyond its text.
    ///
    /// # Errors
    /// The budget does not allow it.
    pub(super) fn add_field_bytes(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.field_bytes += bytes;
        self.update()
    }

    /// Reserves the buffer of a name.
    ///
    /// # Errors
    /// The budget does not allow it.
    pub(super) fn add_name(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes <= self.longest_name_bytes {
            return Ok(());
        }
        self.longest_name_bytes = bytes;
        self.update()
    }

    /// Reserves the entry of an id.
    ///
    /// # Errors
    /// The budget does not allow it.
    pub(super) fn add_id(&mut self) -> Result<(), OutOfMemory> {
        self.id_bytes += ID_BYTES;
        self.update()
    }

    /// Releases the current item, whose encoding is part of `encoded_bytes` now.
    ///
    /// # Errors
    /// The budget does not allow the encoded items.
    pub(super) fn finish_item(&mut self, encoded_bytes: usize) -> Result<(), OutOfMemory> {
        self.unread_at_last_item = self.unread_bytes.get();
        self.field_bytes = 0;
        self.encoded_bytes = encoded_bytes;
        self.update()
    }

    /// Forgets all items, because the list of items occurs again.
    pub(super) fn discard_items(&mut self) {
        self.id_bytes = 0;
        self.encoded_bytes = 0;
    }

    /// Returns the reservation, reduced to the encoded items.
    ///
    /// # Errors
    /// The budget does not allow the encoded items.
    pub(super) fn finish(mut self, encoded_bytes: usize) -> Result<MemoryReservation, OutOfMemory> {
        self.reservation.resize_to(encoded_bytes)?;
        Ok(self.reservation)
    }

    fn update(&mut self) -> Result<(), OutOfMemory> {
        let bytes = self.unread_at_last_item
            + self.field_bytes
            + self.longest_name_bytes
            + self.id_bytes
            + self.encoded_bytes;
        self.reservation.resize_to(bytes)
    }
}
