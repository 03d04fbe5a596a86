//! Status report of a control node for operators, JSON. Its keys and values are part of the operators' interface.

use super::control_node::ControlNode;
use crate::state::{GroupAssignment, RetirementState};
use pebblepost_messages::control::SubscriberRole;
use pebblepost_messages::{DiskId, Member};
use simd_json::OwnedValue;
use std::time::Duration;

impl ControlNode {
    /// Returns the status of this node as JSON.
    pub fn status(&self, now: Duration) -> String {
        let record = self.group.record();
        let status = simd_json::json!({
            "node": self.settings.me.node.as_str(),
            "disk": disk(self.settings.me.disk),
            "role": if self.is_acting(now) { "primary" } else { "standby" },
            "epoch": record.epoch,
            "primary": disk(record.primary),
            "in_sync": members(&record.in_sync),
            "witnesses": members(&record.witnesses),
            "losses_left": losses_left(record.in_sync.len()),
            "waits_for": self.waits_for(),
            "generation": self.state().generation(),
            "instances": self.registry.live().count(),
            "subscribers": self.subscriber_status(),
            "store_groups": self.group_status(),
            "named_versions": self.version_status(),
            "retirements": self.retirement_status(),
        });
        simd_json::to_string(&status).unwrap_or_default()
    }

    fn subscriber_status(&self) -> OwnedValue {
        let Some(primary) = &self.primary else { return list(std::iter::empty()) };
        let subscribers = primary.feed.subscribers().into_iter().map(|subscriber| {
            simd_json::json!({
                "node": subscriber.node,
                "role": role_name(subscriber.role),
                "generation": subscriber.generation,
                "behind": subscriber.unacknowledged_flushes,
            })
        });
        list(subscribers)
    }

    fn group_status(&self) -> OwnedValue {
        let groups = self.state().groups().iter().map(|(group, assignment)| {
            let targets = list(assignment.targets.iter().map(|target| disk(*target).into()));
            simd_json::json!({
                "group": *group,
                "epoch": assignment.epoch.epoch,
                "primary": disk(assignment.epoch.primary),
                "in_sync": list(assignment.epoch.in_sync.iter().map(|member| disk(*member).into())),
                "targets": targets,
                "losses_left": losses_left(assignment.epoch.in_sync.len()),
                "waits_for": group_waits_for(assignment),
            })
        });
        list(groups)
    }

    /// Returns what is missing for the full redundancy of the control group, or `nothing`.
    fn waits_for(&self) -> &'static str {
        let record = self.group.record();
        if !self.settings.tolerance.is_met_by(&record.in_sync) {
            "replicas"
        } else if record.witnesses.len() < self.settings.witness_set_size() {
            "witnesses"
        } else if self.group.is_changing() {
            "an epoch change"
        } else {
            "nothing"
        }
    }

    fn version_status(&self) -> OwnedValue {
        let versions = self.state().named_versions().iter().map(
            |(model, generation)| simd_json::json!({ "model": model.as_str(), "generation": *generation }),
        );
        list(versions)
    }

    fn retirement_status(&self) -> OwnedValue {
        let retirements = self.state().retirements().iter().map(|(node, state)| {
            let state = match state {
                RetirementState::Running => "running",
                RetirementState::Completed => "completed",
            };
            simd_json::json!({ "node": node.as_str(), "state": state })
        });
        list(retirements)
    }
}

/// Returns how many disks may fail without the loss of acknowledged data.
fn losses_left(in_sync: usize) -> usize {
    in_sync.saturating_sub(1)
}

/// Returns what is missing for the full redundancy of a store group, or `nothing`.
fn group_waits_for(assignment: &GroupAssignment) -> String {
    let in_sync = &assignment.epoch.in_sync;
    let joining = assignment.targets.iter().filter(|target| !in_sync.contains(target)).count();
    if joining == 0 { "nothing".into() } else { format!("{joining} to catch up") }
}

fn role_name(role: SubscriberRole) -> &'static str {
    match role {
        SubscriberRole::Agent => "Agent",
        SubscriberRole::Store => "Store",
        SubscriberRole::Standby => "Standby",
    }
}

fn disk(disk: DiskId) -> String {
    format!("{:016x}", disk.0)
}

fn members(members: &[Member]) -> OwnedValue {
    let member = |member: &Member| {
        simd_json::json!({
            "disk": disk(member.disk),
            "node": member.node.as_str(),
            "address": member.address.as_str(),
        })
    };
    list(members.iter().map(member))
}

fn list(values: impl Iterator<Item = OwnedValue>) -> OwnedValue {
    OwnedValue::from(values.collect::<Vec<OwnedValue>>())
}
