//! Outgoing actions: the reply to a batch.

use crate::api::Action;
use std::time::Duration;

// Codes of the actions, with the names of the simulator's protocol.
const ACTION_SEND: u8 = 10;
const ACTION_REFUSE: u8 = 20;
const ACTION_FAIL: u8 = 30;
const ACTION_CANCEL: u8 = 40;
const ACTION_SET_TIMER: u8 = 50;
const ACTION_PROBE: u8 = 60;
const ACTION_CLOSE_IDLE: u8 = 70;
const ACTION_WATCH: u8 = 110;
const ACTION_FETCH: u8 = 120;

/// Reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let (code, fields) = encode(action);
        self.body.push(code);
        self.body.extend((4 + fields.len() as u32).to_le_bytes());
        self.body.extend(instance.to_le_bytes());
        self.body.extend(fields);
        self.count += 1;
    }

    /// Returns the reply's bytes, header first, and leaves an empty reply.
    pub fn take(&mut self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(8 + self.body.len());
        bytes.extend(self.count.to_le_bytes());
        bytes.extend((self.body.len() as u32).to_le_bytes());
        bytes.append(&mut self.body);
        self.count = 0;
        bytes
    }
}

fn encode_nanos(duration: Option<Duration>) -> [u8; 8] {
    // Zero means absent, so an immediate time-out is sent as 1 ns.
    let nanos =
        duration.map_or(0, |duration| u64::try_from(duration.as_nanos()).unwrap_or(i64::MAX as u64).max(1));
    nanos.to_le_bytes()
}

fn encode(action: &Action) -> (u8, Vec<u8>) {
    match *action {
        Action::Send { id, worker, timeout } => {
            let parts: [&[u8]; 3] = [&id.0.to_le_bytes(), &encode_nanos(timeout), &worker.0.to_le_bytes()];
            (ACTION_SEND, parts.concat())
        }
        Action::Refuse { id, retry_after } => {
            let parts: [&[u8]; 2] = [&id.0.to_le_bytes(), &encode_nanos(retry_after)];
            (ACTION_REFUSE, parts.concat())
        }
        Action::Fail { id } => (ACTION_FAIL, id.0.to_le_bytes().to_vec()),
        Action::Cancel { id, attempt } => {
            let parts: [&[u8]; 2] = [&id.0.to_le_bytes(), &[attempt.0]];
            (ACTION_CANCEL, parts.concat())
        }
        Action::SetTimer { at, token } => {
            let parts: [&[u8]; 2] = [&at.0.to_le_bytes(), &token.0.to_le_bytes()];
            (ACTION_SET_TIMER, parts.concat())
        }
        Action::Probe { worker } => (ACTION_PROBE, worker.0.to_le_bytes().to_vec()),
        Action::CloseIdle { worker } => (ACTION_CLOSE_IDLE, worker.0.to_le_bytes().to_vec()),
        Action::Watch => (ACTION_WATCH, vec![1]),
        Action::Fetch => (ACTION_FETCH, Vec::new()),
    }
}
