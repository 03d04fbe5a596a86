//! Tests of the replicated state and the scheduler of batch jobs.

mod decisions;
mod grant_size;
mod scheduler;
mod state;
mod stored_form;
mod support;
