//! Audits grants: follows all changes of the agreed state, and at each grant computes, by a rule of its own, how many are out
//! by then.

use crate::dispatcher::ZONES;
use crate::store::connection::Connection;
use crate::sync::lock;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A watch says something every half second; silent for so long, the next replica is asked.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The state as followed, and what the grants in it come to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantAudit {
    /// Permits granted, to dispatchers and to workers.
    pub grants: [usize; 2],
    /// Grants after which more were out than the budget allows, in words.
    pub over: Vec<String>,
    revision: u64,
    entries: BTreeMap<String, Value>,
}

/// Kinds of members, as the keys name them.
const KINDS: [&str; 2] = ["dispatcher", "worker"];

impl GrantAudit {
    /// Those of a kind that are out, and the zone of each.
    fn out(&self, kind: usize) -> BTreeMap<&str, &str> {
        let mut out = BTreeSet::new();
        let mut zones = BTreeMap::new();
        for (key, value) in &self.entries {
            let (of, name) = key.split_once('/').unwrap_or_default();
            match (kind, of) {
                (0, "member") if value["member"]["card"]["role"] == "dispatcher" => {
                    let member = &value["member"];
                    zones.insert(name, member["card"]["zone"].as_str().unwrap_or_default());
                    if member["presence"] != "here" || member["card"]["ready"] != true {
                        out.insert(name);
                    }
                }
                (1, "worker") => {
                    let worker = &value["worker"];
                    zones.insert(name, worker["zone"].as_str().unwrap_or_default());
                    if worker["sight"].as_str().is_some_and(|sight| sight != "ready") {
                        out.insert(name);
                    }
                }
                (1, "drain") => drop(out.insert(name)),
                (_, "permit") if value["permit"]["granted"].is_u64() => {
                    out.extend(name.strip_prefix(KINDS[kind]).and_then(|n| n.strip_prefix('/')));
                }
                _ => {}
            }
        }
        out.into_iter().map(|name| (name, zones.get(name).copied().unwrap_or_default())).collect()
    }

    /// Applies a change of the state, unless it is known already.
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
            let kind = KINDS.iter().position(|kind| key.starts_with(&format!("permit/{kind}/")));
            if let Some(kind) = kind.filter(|_| !before && is_granted(self.entries.get(&key))) {
                granted[kind] += 1;
            }
        }
        for kind in (0..KINDS.len()).filter(|kind| granted[*kind] > 0) {
            self.grants[kind] += granted[kind];
            self.check_budget(kind);
        }
    }

    /// Notes a grant after which more are out than the budget allows. Without a budget any number may be.
    fn check_budget(&mut self, kind: usize) {
        let name = KINDS[kind];
        let entry = self.entries.get(&format!("budget/{name}")).cloned().unwrap_or_default();
        let most = |limit: &str| entry["budget"][limit]["count"].as_u64().unwrap_or(u64::MAX) as usize;
        let out = self.out(kind);
        let in_zone = |zone: &&str| out.values().filter(|other| *other == zone).count();
        let worst = ZONES.iter().map(in_zone).max().unwrap_or(0);
        if out.len() > most("most") || worst > most("most_in_zone") {
            let members: Vec<&str> = out.into_keys().collect();
            let what = format!("granted at revision {}, with {name} out: {members:?}", self.revision);
            self.over.push(what);
        }
    }

    /// Replaces the state by a snapshot.
    pub fn apply_snapshot(&mut self, snapshot: &Value) {
        let entries = snapshot["entries"].as_object().into_iter().flatten();
        self.entries = entries.map(|(key, entry)| (key.clone(), entry["value"].clone())).collect();
        self.revision = snapshot["revision"].as_u64().unwrap_or(0);
    }
}

/// Follows one replica after another, for as long as it is polled.
pub async fn follow(replicas: &[SocketAddr], audit: &Mutex<GrantAudit>) {
    for at in (0..replicas.len()).cycle() {
        if let Ok(Ok(mut connection)) = timeout(WATCH_TIMEOUT, Connection::open(replicas[at])).await {
            let from = lock(audit).revision;
            if connection.send(&json!({"watch": from})).await.is_ok() {
                while let Ok(Ok(reply)) = timeout(WATCH_TIMEOUT, connection.receive()).await {
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
