//! The interface of the decision module: the configuration of a node ([`Settings`]), what happens to it
//! ([`Event`]) and what it asks for ([`Action`]).
//!
//! Owns no state and decides nothing.
//!
//! Classes, tenants, zones and kinds are indices: names never reach the decisions.

mod action;
mod class;
mod event;
mod ids;
mod settings;

pub use action::Action;
pub use class::{Class, DeduplicationScope, Idempotency, Tenant};
pub use event::{Entry, Event, ListKind, Report, Status, WorkerState};
pub use ids::{AttemptNo, CellId, ClassId, KindId, RequestId, TenantId, Time, TimerToken, WorkerId, ZoneId};
pub use settings::{
    Discovery, InvalidSetting, Prices, ReportField, ReportSource, ReservationSettings, Settings,
};
