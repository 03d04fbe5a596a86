//! Time and identifiers.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Point on the caller's monotonic clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// Id of a worker, as assigned by discovery. The number carries no information.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// Id of a client request. A dispatcher never reuses one between two starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Number of an attempt of a request, counted from 0 in the order of
/// [`Action::Send`](crate::api::Action::Send).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u8);

/// Index into [`Settings::classes`](crate::api::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Index into [`Settings::tenants`](crate::api::Settings::tenants).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// Index of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Index of a machine kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);

/// A small set of workers that share which deduplication keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u16);

/// Token of a timer, which the caller passes back in [`Event::TimerDue`](crate::api::Event::TimerDue).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimerToken(pub u64);
