//! Values in words.

use pebblepost_fleet::Budget;
use pebblepost_fleet::sight::Sight;
use pebblepost_fleet::state::{Presence, Value};

pub(super) fn told(value: &Value) -> String {
    match value {
        Value::Drain { by, at_ms, why } if why.as_str().is_empty() => format!("by {by} at {at_ms}"),
        Value::Drain { by, at_ms, why } => format!("by {by} at {at_ms}: {why}"),
        Value::Worker(w) => {
            let at = w.dial.map_or_else(|| "-".to_owned(), |at| at.to_string());
            let seen = match w.sight {
                Some(Sight::Ready) => ", ready",
                Some(Sight::Cold) => ", cold",
                Some(Sight::Out) => ", drains or does not answer",
                None => "",
            };
            format!("{at} zone {} kind {} slots {}{seen}", w.zone, w.kind, w.slots)
        }
        Value::Setting(value) => value.to_string(),
        Value::Member(m) => {
            let presence = match m.presence {
                Presence::Here => "here",
                Presence::Left => "left",
                Presence::Lost => "lost",
            };
            let address = m.card.address.map_or_else(|| "-".to_owned(), |a| a.to_string());
            let ready = if m.card.ready { "ready" } else { "not ready" };
            format!(
                "{presence} life {} session {} version {} zone {} at {address}, {ready}",
                m.incarnation, m.session, m.card.version, m.card.zone
            )
        }
        Value::Budget(b) => told_budget(b),
        Value::Halt { by, at_ms, why } => format!("by {by} at {at_ms}: {why}"),
        Value::Release(r) => {
            let waves: Vec<String> = r.waves.iter().map(ToString::to_string).collect();
            format!("{} in waves of {}, now wave {}, begun by {}", r.want, waves.join(", "), r.wave + 1, r.by)
        }
        Value::Lease(l) => {
            let holder = l.holder.as_ref().map_or_else(
                || "free".to_owned(),
                |h| format!("held by {} (session {}), fence {}", h.member, h.session, h.fence),
            );
            let ends = if l.ends { ", asked back" } else { "" };
            format!("{holder}{ends}, {} wait", l.queue.len())
        }
        Value::Permit(p) => {
            let stage = p.granted.map_or_else(|| "waits".to_owned(), |at| format!("granted at {at}"));
            let urgent = if p.urgent { ", urgent" } else { "" };
            let want = if p.want.as_str().is_empty() { "" } else { ", back as " };
            format!("{stage}{urgent}{want}{}, asked by {} at {}: {}", p.want, p.by, p.asked, p.why)
        }
    }
}

pub(super) fn told_budget(b: &Budget) -> String {
    let zone = b.most_in_zone.map_or_else(String::new, |z| format!(", {z} in a zone"));
    let machines = b.most_in_kind.map_or_else(String::new, |k| format!(", {k} of a kind of machine"));
    format!("at most {} out{zone}{machines}, at least {} stay in a zone", b.most, b.least_in_zone)
}
