//! Tests of the client against scripted transcribers over loopback.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod exchanges;
mod streams;
mod support;
