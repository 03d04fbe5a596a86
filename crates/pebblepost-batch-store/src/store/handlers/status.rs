//! The status of the store as JSON for operators. The keys are part of the operators' interface.

use crate::store::Store;
use crate::store::state::group::Group;
use crate::store::state::outbox::LinkId;
use pebblepost_messages::batch::FromStore;
use std::time::Duration;

impl Store {
    pub(crate) fn reply_status(&mut self, now: Duration, link: LinkId) {
        let status = self.status(now).into_bytes();
        self.outbox.reply(link, FromStore::Status(status));
    }

    /// Returns the status of the store as a JSON object.
    pub fn status(&self, now: Duration) -> String {
        let groups: Vec<String> =
            self.groups.iter().map(|(group_id, group)| group_status(now, *group_id, group)).collect();
        format!(
            "{{\"node\":{},\"disk\":\"{:016x}\",\"proxies\":{},\"peers\":{},\"held_bytes\":{},\
             \"most_bytes\":{},\"scheduled_jobs\":{},\"leased_items\":{},\"groups\":[{}]}}",
            json_string(&self.settings.member.node),
            self.settings.member.disk.0,
            self.connections.proxy_links().len(),
            self.connections.peer_count(),
            self.memory_use().total_bytes(),
            self.settings.budget.max_bytes(),
            self.scheduler.job_count(),
            self.scheduler.leased_item_count(),
            groups.join(",")
        )
    }
}

fn group_status(now: Duration, group_id: u32, group: &Group) -> String {
    let record = group.replica.record();
    let in_sync: Vec<String> = record.in_sync.iter().map(|member| json_string(&member.node)).collect();
    let progress = group.replica.progress();
    let progress: Vec<String> =
        progress.iter().map(|(disk, index)| format!("\"{:016x}\":{index}", disk.0)).collect();
    let results: usize = group.state().jobs().map(|job| job.results().len()).sum();
    format!(
        "{{\"group\":{group_id},\"epoch\":{},\"primary\":\"{:016x}\",\"in_sync\":[{}],\"acting\":{},\
         \"committed\":{},\"progress\":{{{}}},\"jobs\":{},\"results\":{results}}}",
        record.epoch,
        record.primary.0,
        in_sync.join(","),
        group.is_acting(now),
        group.replica.commit_index(),
        progress.join(","),
        group.state().jobs().count(),
    )
}

/// Encodes text as a JSON string.
fn json_string(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            character if character.is_control() => {
                quoted.push_str(&format!("\\u{:04x}", u32::from(character)))
            }
            character => quoted.push(character),
        }
    }
    quoted.push('"');
    quoted
}
