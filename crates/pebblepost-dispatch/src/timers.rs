//! Timers of a dispatcher and their tokens.
//!
//! Defines the layout of a [`TimerToken`]: the kind in the highest 8 bits, a number of 24 bits (the step of a
//! request or the number of an attempt), and the request in the lowest 32.

use crate::api::{AttemptNo, RequestId, TimerToken};

const KIND_SHIFT: u32 = 56;
const NUMBER_SHIFT: u32 = 32;
const NUMBER_MASK: u32 = 0xff_ffff;

const REQUEST_DEADLINE: u64 = 0;
const STEP_TIMEOUT: u64 = 1;
const DISCOVERY_POLL: u64 = 2;
const REPORT_AGE_CHECK: u64 = 3;
const START_CHECK: u64 = 4;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The deadline of a request's client is close.
    RequestDeadline(RequestId),
    /// The time for the probes or the backoff of a request is over.
    StepTimeout {
        /// The request.
        request: RequestId,
        /// The step in which the timer was set; see [`Timer::is_step`].
        step: u32,
    },
    /// The membership must be polled.
    DiscoveryPoll,
    /// Checks whether load reports show an attempt.
    ReportAgeCheck {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Checks why an attempt has not started.
    StartCheck {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
}

impl Timer {
    /// Returns the token that the event of the timer carries.
    pub(crate) fn token(self) -> TimerToken {
        let (kind, number, request) = match self {
            Self::RequestDeadline(request) => (REQUEST_DEADLINE, 0, request.0),
            Self::StepTimeout { request, step } => (STEP_TIMEOUT, step, request.0),
            Self::DiscoveryPoll => (DISCOVERY_POLL, 0, 0),
            Self::ReportAgeCheck { request, attempt } => (REPORT_AGE_CHECK, attempt.0.into(), request.0),
            Self::StartCheck { request, attempt } => (START_CHECK, attempt.0.into(), request.0),
        };
        let number = u64::from(number & NUMBER_MASK);
        TimerToken(kind << KIND_SHIFT | number << NUMBER_SHIFT | u64::from(request))
    }

    /// Returns the timer of a token, or `None` if the token has no known kind.
    pub(crate) fn from_token(token: TimerToken) -> Option<Self> {
        let request = RequestId(token.0 as u32);
        let number = (token.0 >> NUMBER_SHIFT) as u32 & NUMBER_MASK;
        let attempt = AttemptNo(number as u8);
        match token.0 >> KIND_SHIFT {
            REQUEST_DEADLINE => Some(Self::RequestDeadline(request)),
            STEP_TIMEOUT => Some(Self::StepTimeout { request, step: number }),
            DISCOVERY_POLL => Some(Self::DiscoveryPoll),
            REPORT_AGE_CHECK => Some(Self::ReportAgeCheck { request, attempt }),
            START_CHECK => Some(Self::StartCheck { request, attempt }),
            _ => None,
        }
    }

    /// Returns whether a step read from a token is `step`. Tokens hold the lowest 24 bits only.
    pub(crate) fn is_step(from_token: u32, step: u32) -> bool {
        step & NUMBER_MASK == from_token
    }
}
