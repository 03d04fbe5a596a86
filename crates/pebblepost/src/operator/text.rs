//! Text format of values of the replicated state.

use pebblepost_fleet::value::{Presence, Value, WorkerStatus};
use pebblepost_fleet::{Budget, Permit};
use std::net::SocketAddr;

/// Formats a value on one line.
pub(super) fn format_value(value: &Value) -> String {
    match value {
        Value::Drain { set_by, set_at_ms, reason } if reason.as_str().is_empty() => {
            format!("by {set_by} at {set_at_ms}")
        }
        Value::Drain { set_by, set_at_ms, reason } | Value::Halt { set_by, set_at_ms, reason } => {
            format!("by {set_by} at {set_at_ms}: {reason}")
        }
        Value::Worker(worker) => {
            let status = match worker.status {
                Some(WorkerStatus::Ready) => ", ready",
                Some(WorkerStatus::WarmingUp) => ", cold",
                Some(WorkerStatus::Unavailable) => ", drains or does not answer",
                None => "",
            };
            let (address, zone) = (format_address(worker.address), &worker.zone);
            format!("{address} zone {zone} kind {} slots {}{status}", worker.machine_type, worker.slots)
        }
        Value::Setting(value) => value.to_string(),
        Value::Member(member) => {
            let presence = match member.presence {
                Presence::Present => "here",
                Presence::Left => "left",
                Presence::Lost => "lost",
            };
            let (info, address) = (&member.info, format_address(member.info.address));
            let ready = if info.ready { "ready" } else { "not ready" };
            format!(
                "{presence} life {} session {} version {} zone {} at {address}, {ready}",
                member.incarnation, member.session, info.version, info.zone
            )
        }
        Value::Budget(budget) => format_budget(budget),
        Value::Release(release) => {
            let waves: Vec<String> = release.waves.iter().map(ToString::to_string).collect();
            let (waves, current) = (waves.join(", "), release.current_wave + 1);
            format!(
                "{} in waves of {waves}, now wave {current}, begun by {}",
                release.version, release.begun_by
            )
        }
        Value::Lease(lease) => {
            let holder = lease.holder.as_ref().map_or_else(
                || "free".to_owned(),
                |holder| {
                    let (member, session, token) = (&holder.member, holder.session, holder.fencing_token);
                    format!("held by {member} (session {session}), fence {token}")
                },
            );
            let revoked = if lease.revoked { ", asked back" } else { "" };
            format!("{holder}{revoked}, {} wait", lease.queue.len())
        }
        Value::Permit(permit) => format_permit(permit),
    }
}

fn format_address(address: Option<SocketAddr>) -> String {
    address.map_or_else(|| "-".to_owned(), |address| address.to_string())
}

fn format_permit(permit: &Permit) -> String {
    let revision = permit.granted_at_revision;
    let stage = revision.map_or_else(|| "waits".to_owned(), |revision| format!("granted at {revision}"));
    let urgent = if permit.urgent { ", urgent" } else { "" };
    let before_version = if permit.version.as_str().is_empty() { "" } else { ", back as " };
    format!(
        "{stage}{urgent}{before_version}{}, asked by {} at {}: {}",
        permit.version, permit.requested_by, permit.requested_at_revision, permit.reason
    )
}

/// Formats a budget on one line.
pub(super) fn format_budget(budget: &Budget) -> String {
    let zone = budget.max_unavailable_per_zone;
    let zone = zone.map_or_else(String::new, |limit| format!(", {limit} in a zone"));
    let machine_type = budget.max_unavailable_per_machine_type;
    let machine_type =
        machine_type.map_or_else(String::new, |limit| format!(", {limit} of a kind of machine"));
    format!(
        "at most {} out{zone}{machine_type}, at least {} stay in a zone",
        budget.max_unavailable, budget.min_available_per_zone
    )
}
