//! Tests of the batch store in a simulated deployment, and of the encoding of its stored records.

mod admission;
mod approval;
mod exchanges;
mod expiry;
mod schedules;
mod simulation;
mod stored_form;
