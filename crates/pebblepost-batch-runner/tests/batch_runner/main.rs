//! Tests of the batch runner, by concern.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod approved;
mod blocked_items;
mod congestion;
mod execution;
mod faulty_transcribers;
mod job_api;
mod job_json;
mod lease_table;
mod load_table;
mod placement;
mod scheduling_store;
mod support;
mod text;
