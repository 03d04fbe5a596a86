//! Interface of the decision module: the configuration of a dispatcher ([`Settings`]), what happens to it
//! ([`Event`]) and what it asks its caller to do ([`Action`]).
//!
//! Owns no state and makes no decisions.
//!
//! Classes, tenants, zones and kinds are indices; the decisions never see names.

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
