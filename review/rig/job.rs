//! Batch jobs as a trainer sends and reads them.

use crate::http::{Message, call};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const HOST: &str = "desk.example";

/// An item of a job.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: String,
    pub group: String,
    pub path: String,
    pub body: Vec<u8>,
    /// Path of the reward call, whose id is `s` and the item's.
    pub scorer_path: String,
    pub scorer_body: Vec<u8>,
}

/// A listed result.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub read_ms: u64,
}

pub struct Job {
    pub id: String,
    pub prefix: String,
    pub items: Vec<Item>,
    pub desired: usize,
    pub sent_ms: u64,
    pub accepted_ms: Option<u64>,
    pub results: Vec<Listed>,
}

impl Job {
    pub fn new(id: &str, prefix: &str, items: Vec<Item>, desired: usize) -> Job {
        Job {
            id: id.to_owned(),
            prefix: prefix.to_owned(),
            items,
            desired,
            sent_ms: 0,
            accepted_ms: None,
            results: Vec::new(),
        }
    }

    fn document(&self) -> String {
        let item = |item: &Item| {
            format!(
                r#"{{"id":"{0}","path":"{1}","headers":{{"Model":"steno-to-text","Token-Counts":"271,20","Prompt-Prefix":"9c2e41:255,5d07b8:16"}},"body":"{2}","tokens":291,"group":"{3}","scorer":{{"id":"s{0}","hostname":"{HOST}","path":"{4}","body":"{5}"}}}}"#,
                item.id, item.path, base64(&item.body), item.group, item.scorer_path, base64(&item.scorer_body)
            )
        };
        let items: Vec<String> = self.items.iter().map(item).collect();
        format!(
            r#"{{"step":0,"model":"steno-to-text","min_version":1,"desired":{},"requests":[{}]}}"#,
            self.desired, items.join(",")
        )
    }

    /// Sends the job until it is accepted.
    pub fn submit(&mut self, front: SocketAddr, record: &Arc<Record>, for_time: Duration) -> bool {
        let document = self.document();
        let path = format!("{}{}", self.prefix, self.id);
        let headers =
            [("Host", HOST), ("Request-Id", self.id.as_str()), ("Content-Type", "application/json")];
        self.sent_ms = record.now();
        record.add(format!("job {} is sent, {} bytes, {} items", self.id, document.len(), self.items.len()));
        let until = Instant::now() + for_time;
        while Instant::now() < until {
            let sent = call(front, "POST", &path, &headers, document.as_bytes(), Duration::from_secs(5));
            let status = sent.as_ref().map(Message::status).unwrap_or(0);
            record.add(format!("job {} -> {status}", self.id));
            if status == 202 {
                self.accepted_ms = Some(record.now());
                return true;
            }
            sleep(Duration::from_millis(300));
        }
        false
    }

    /// Reads the results that are new.
    pub fn read(&mut self, front: SocketAddr, record: &Arc<Record>) {
        let path = format!("/lots/{}?start_after={}", self.id, self.results.len());
        let Ok(page) = call(front, "GET", &path, &[("Host", HOST)], b"", Duration::from_secs(3)) else {
            record.add(format!("read of {} without an answer", self.id));
            return;
        };
        if page.status() != 200 {
            record.add(format!("read of {} -> {}", self.id, page.status()));
            return;
        }
        let text = page.text();
        for entry in text.split("{\"id\":\"").skip(1) {
            let field = |name: &str| {
                let start = entry.find(&format!("\"{name}\":\""))? + name.len() + 4;
                entry[start..].split('"').next().map(str::to_owned)
            };
            let id = entry.split('"').next().unwrap_or_default().to_owned();
            let listed = Listed {
                id,
                state: field("state").unwrap_or_default(),
                read_ms: record.now(),
            };
            record.add(format!("job {} lists {} {}", self.id, listed.id, listed.state));
            self.results.push(listed);
        }
    }

    /// Ends the job.
    pub fn end(&self, front: SocketAddr, record: &Arc<Record>) {
        let path = format!("/lots/{}", self.id);
        let ended = call(front, "DELETE", &path, &[("Host", HOST)], b"", Duration::from_secs(4));
        let status = ended.as_ref().map(Message::status).unwrap_or(0);
        record.add(format!("job {} is ended -> {status}", self.id));
    }
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0u32, |word, (index, byte)| word | u32::from(*byte) << (16 - 8 * index));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
