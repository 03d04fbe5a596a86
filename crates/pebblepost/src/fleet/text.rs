//! Values in words.

use pebblepost_fleet::Budget;
use pebblepost_fleet::value::{Presence, Value, WorkerStatus};

pub(super) fn told(value: &Value) -> String {
    match value {
        Value::Drain { set_by: by, set_at_ms: at_ms, reason: why } if why.as_str().is_empty() => {
            format!("by {by} at {at_ms}")
        }
        Value::Drain { set_by: by, set_at_ms: at_ms, reason: why } => format!("by {by} at {at_ms}: {why}"),
        Value::Worker(w) => {
            let at = w.address.map_or_else(|| "-".to_owned(), |at| at.to_string());
            let seen = match w.status {
                Some(WorkerStatus::Ready) => ", ready",
                Some(WorkerStatus::WarmingUp) => ", cold",
                Some(WorkerStatus::Unavailable) => ", drains or does not answer",
                None => "",
            };
            format!("{at} zone {} kind {} slots {}{seen}", w.zone, w.machine_type, w.slots)
        }
        Value::Setting(value) => value.to_string(),
        Value::Member(m) => {
            let presence = match m.presence {
                Presence::Present => "here",
                Presence::Left => "left",
                Presence::Lost => "lost",
            };
            let address = m.info.address.map_or_else(|| "-".to_owned(), |a| a.to_string());
            let ready = if m.info.ready { "ready" } else { "not ready" };
            format!(
                "{presence} life {} session {} version {} zone {} at {address}, {ready}",
                m.incarnation, m.session, m.info.version, m.info.zone
            )
        }
        Value::Budget(b) => told_budget(b),
        Value::Halt { set_by: by, set_at_ms: at_ms, reason: why } => format!("by {by} at {at_ms}: {why}"),
        Value::Release(r) => {
            let waves: Vec<String> = r.waves.iter().map(ToString::to_string).collect();
            format!(
                "{} in waves of {}, now wave {}, begun by {}",
                r.version,
                waves.join(", "),
                r.current_wave + 1,
                r.begun_by
            )
        }
        Value::Lease(l) => {
            let holder = l.holder.as_ref().map_or_else(
                || "free".to_owned(),
                |h| format!("held by {} (session {}), fence {}", h.member, h.session, h.fencing_token),
            );
            let ends = if l.revoked { ", asked back" } else { "" };
            format!("{holder}{ends}, {} wait", l.queue.len())
        }
        Value::Permit(p) => {
            let stage =
                p.granted_at_revision.map_or_else(|| "waits".to_owned(), |at| format!("granted at {at}"));
            let urgent = if p.urgent { ", urgent" } else { "" };
            let want = if p.version.as_str().is_empty() { "" } else { ", back as " };
            format!(
                "{stage}{urgent}{want}{}, asked by {} at {}: {}",
                p.version, p.requested_by, p.requested_at_revision, p.reason
            )
        }
    }
}

pub(super) fn told_budget(b: &Budget) -> String {
    let zone = b.max_unavailable_per_zone.map_or_else(String::new, |z| format!(", {z} in a zone"));
    let machines = b
        .max_unavailable_per_machine_type
        .map_or_else(String::new, |k| format!(", {k} of a kind of machine"));
    format!(
        "at most {} out{zone}{machines}, at least {} stay in a zone",
        b.max_unavailable, b.min_available_per_zone
    )
}
