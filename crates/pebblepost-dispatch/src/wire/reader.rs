//! Reader of the fields of a record.

use super::{Result, WireError};
use crate::api::{AttemptNo, Report, RequestId, Status, WorkerId};
use std::time::Duration;

/// Unread bytes of a record.
pub(super) struct Reader<'a> {
    pub(super) bytes: &'a [u8],
    /// Name of the record, or of the part of a batch, for error messages.
    pub(super) record_name: &'static str,
}

macro_rules! read_number {
    ($($name:ident: $kind:ty),*) => {$(
        pub(super) fn $name(&mut self) -> Result<$kind> {
            let (head, rest) = self.bytes.split_first_chunk().ok_or(WireError::Truncated(self.record_name))?;
            self.bytes = rest;
            Ok(<$kind>::from_le_bytes(*head))
        }
    )*};
}

impl<'a> Reader<'a> {
    read_number!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32);

    pub(super) fn take(&mut self, size: usize) -> Result<&'a [u8]> {
        let (head, rest) = self.bytes.split_at_checked(size).ok_or(WireError::Truncated(self.record_name))?;
        self.bytes = rest;
        Ok(head)
    }

    pub(super) fn request(&mut self) -> Result<RequestId> {
        self.u32().map(RequestId)
    }

    pub(super) fn worker(&mut self) -> Result<WorkerId> {
        self.u32().map(WorkerId)
    }

    pub(super) fn duration(&mut self) -> Result<Duration> {
        self.u64().map(Duration::from_nanos)
    }

    pub(super) fn attempt(&mut self) -> Result<AttemptNo> {
        self.u8().map(AttemptNo)
    }

    pub(super) fn report(&mut self) -> Result<Report> {
        let values = self.u8()?;
        (0..values).map(|_| self.f32()).collect()
    }

    pub(super) fn status(&mut self) -> Result<Status> {
        Ok(match self.u8()? {
            0 => Status::Error,
            1 => Status::Ok,
            2 => Status::Full,
            3 => Status::Timeout,
            4 => Status::ConnectFailed,
            5 => Status::Reset,
            6 => Status::Cancelled,
            7 => Status::Moot,
            other => return Err(WireError::BadValue(self.record_name, other.into())),
        })
    }

    pub(super) fn finish(&self) -> Result<()> {
        if self.bytes.is_empty() { Ok(()) } else { Err(WireError::WrongLength(self.record_name)) }
    }
}
