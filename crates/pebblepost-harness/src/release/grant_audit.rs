//! Audits permit grants. Follows all changes of the replicated state and, at each grant, computes independently of
//! the store how many members are unavailable.

use crate::dispatcher::ZONES;
use crate::store::connection::Connection;
use crate::sync::lock;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Silence after which the next replica is followed; a watch sends a message every half second.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Copy of the replicated state, with the audit results of the grants in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantAudit {
    /// Permits granted to dispatchers and to workers, in this order.
    pub grants: [usize; 2],
    /// Descriptions of the grants after which more members were unavailable than the budget allows.
    pub over_budget: Vec<String>,
    revision: u64,
    entries: BTreeMap<String, Value>,
}

/// Kinds of members as they appear in keys of the state.
const MEMBER_KINDS: [&str; 2] = ["dispatcher", "worker"];

impl GrantAudit {
    /// Names of the unavailable members of a kind, with their zones. A member is unavailable if it is absent, not
    /// ready, drained or holds a granted permit.
    fn unavailable_members(&self, kind: usize) -> BTreeMap<&str, &str> {
        let mut unavailable = BTreeSet::new();
        let mut zones = BTreeMap::new();
        for (key, value) in &self.entries {
            let (category, name) = key.split_once('/').unwrap_or_default();
            match (kind, category) {
                (0, "member") if value["member"]["card"]["role"] == "dispatcher" => {
                    let member = &value["member"];
                    zones.insert(name, member["card"]["zone"].as_str().unwrap_or_default());
                    if member["presence"] != "here" || member["card"]["ready"] != true {
                        unavailable.insert(name);
                    }
                }
                (1, "worker") => {
                    let worker = &value["worker"];
                    zones.insert(name, worker["zone"].as_str().unwrap_or_default());
                    if worker["sight"].as_str().is_some_and(|sight| sight != "ready") {
                        unavailable.insert(name);
                    }
                }
                (1, "drain") => drop(unavailable.insert(name)),
                (_, "permit") if value["permit"]["granted"].is_u64() => {
                    unavailable
                        .extend(name.strip_prefix(MEMBER_KINDS[kind]).and_then(|n| n.strip_prefix('/')));
                }
                _ => {}
            }
        }
        unavailable.into_iter().map(|name| (name, zones.get(name).copied().unwrap_or_default())).collect()
    }

    /// Applies a change of the state. Ignores a change whose revision was already applied.
    pub fn apply_change(&mut self, change: &Value) {
        let revision = change["revision"].as_u64().unwrap_or(0);
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let mut granted = [0; 2];
        for item in change["items"].as_array().into_iter().flatten() {
            let key = item[0].as_str().unwrap_or_default().to_owned();
            let is_granted =
                |value: Option<&Value>| value.is_some_and(|value| value["permit"]["granted"].is_u64());
            let before = is_granted(self.entries.get(&key));
            match &item[1] {
                Value::Null => drop(self.entries.remove(&key)),
                value => drop(self.entries.insert(key.clone(), value.clone())),
            }
            let kind = MEMBER_KINDS.iter().position(|kind| key.starts_with(&format!("permit/{kind}/")));
            if let Some(kind) = kind.filter(|_| !before && is_granted(self.entries.get(&key))) {
                granted[kind] += 1;
            }
        }
        for kind in (0..MEMBER_KINDS.len()).filter(|kind| granted[*kind] > 0) {
            self.grants[kind] += granted[kind];
            self.check_budget(kind);
        }
    }

    /// Records a violation if more members of a kind are unavailable than its budget allows, in total or in a zone.
    /// Without a budget there is no limit.
    fn check_budget(&mut self, kind: usize) {
        let name = MEMBER_KINDS[kind];
        let entry = self.entries.get(&format!("budget/{name}")).cloned().unwrap_or_default();
        let limit_of = |limit: &str| entry["budget"][limit]["count"].as_u64().unwrap_or(u64::MAX) as usize;
        let unavailable = self.unavailable_members(kind);
        let out_in_zone = |zone: &&str| unavailable.values().filter(|other| *other == zone).count();
        let max_out_in_zone = ZONES.iter().map(out_in_zone).max().unwrap_or(0);
        if unavailable.len() > limit_of("most") || max_out_in_zone > limit_of("most_in_zone") {
            let members: Vec<&str> = unavailable.into_keys().collect();
            let what = format!(
                "grant at revision {} exceeds the {name} budget; unavailable: {members:?}",
                self.revision
            );
            self.over_budget.push(what);
        }
    }

    /// Replaces the state by a snapshot.
    pub fn apply_snapshot(&mut self, snapshot: &Value) {
        let entries = snapshot["entries"].as_object().into_iter().flatten();
        self.entries = entries.map(|(key, entry)| (key.clone(), entry["value"].clone())).collect();
        self.revision = snapshot["revision"].as_u64().unwrap_or(0);
    }
}

/// Follows the changes at one replica after another, for as long as the future is polled.
pub async fn follow_changes(replicas: &[SocketAddr], audit: &Mutex<GrantAudit>) {
    for at in (0..replicas.len()).cycle() {
        if let Ok(Ok(mut connection)) = timeout(WATCH_IDLE_TIMEOUT, Connection::open(replicas[at])).await {
            let from = lock(audit).revision;
            if connection.send(&json!({"watch": from})).await.is_ok() {
                while let Ok(Ok(reply)) = timeout(WATCH_IDLE_TIMEOUT, connection.receive()).await {
                    let mut audit = lock(audit);
                    if let Some(changes) = reply["changes"].as_array() {
                        changes.iter().for_each(|change| audit.apply_change(change));
                    } else if reply["snapshot"]["revision"].as_u64() > Some(audit.revision) {
                        audit.apply_snapshot(&reply["snapshot"]);
                    }
                }
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}
