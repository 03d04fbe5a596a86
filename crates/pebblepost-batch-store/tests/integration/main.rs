//! Tests of the store in a simulated deployment, and of its stored and approved forms.

mod approval;
mod exchanges;
mod schedules;
mod simulation;
mod stored_form;
