//! State of a fake transcriber, and what it has received.

use std::collections::BTreeMap;
use std::time::Instant;

/// A run of a request, as the transcriber saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub path: String,
    pub body: Vec<u8>,
    /// `Last-Event-ID`: the stream resumes after this event.
    pub last_event_id: u64,
    pub at: Instant,
    /// When its last event was sent.
    pub finished_at: Option<Instant>,
    pub seal: String,
}

/// An order that was accepted or rejected.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    pub holder: String,
    pub fence_token: u64,
    pub generation: u64,
    pub answer: u16,
    pub at: Instant,
}

/// State of one fake transcriber.
#[derive(Debug)]
pub struct State {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// Versions of the models; empty for services without models.
    pub models: BTreeMap<String, u64>,
    /// An order is under way.
    pub loading: bool,
    pub orders_taken: u64,
    pub orders: Vec<ReceivedOrder>,
    pub running: u32,
    pub runs: Vec<Run>,
    pub announcements: u64,
    pub acknowledged: u64,
    pub seals: u64,
    /// Violations of the rules, as far as a transcriber can see them.
    pub violations: Vec<String>,
}

impl State {
    pub fn new(id: String, service: &'static str, zone: &'static str, models: &[&str]) -> State {
        State {
            id,
            service,
            zone,
            slots: 8,
            models: models.iter().map(|model| ((*model).to_owned(), 1)).collect(),
            loading: false,
            orders_taken: 0,
            orders: Vec::new(),
            running: 0,
            runs: Vec::new(),
            announcements: 0,
            acknowledged: 0,
            seals: 0,
            violations: Vec::new(),
        }
    }

    /// Summary that a failed test prints.
    pub fn summary(&self) -> String {
        let complete = self.runs.iter().filter(|run| run.finished_at.is_some()).count();
        let orders: Vec<_> = self
            .orders
            .iter()
            .map(|order| (order.generation, order.answer, order.holder.as_str(), order.fence_token))
            .collect();
        format!(
            "{}: models {:?}, {} runs ({complete} complete), {} running, {} of {} announcements acknowledged, \
             orders {orders:?}, violations {:?}",
            self.id,
            self.models,
            self.runs.len(),
            self.running,
            self.acknowledged,
            self.announcements,
            self.violations
        )
    }

    /// A seal that no other response carries.
    pub fn seal(&mut self) -> String {
        self.seals += 1;
        format!("{}.{}", self.id, self.seals)
    }

    fn models_json(&self) -> String {
        let models = self.models.iter().map(|(name, generation)| {
            format!(r#"{{"name":"{name}","generation":{generation},"lora_adapters":[]}}"#)
        });
        models.collect::<Vec<_>>().join(",")
    }

    /// Body of `GET /report`.
    pub fn report(&self) -> String {
        format!(
            r#"{{"stage":"both","models":[{}],"busy":{},"sequence":{},"waiting":0,"running":{},"kv_used":0,"kv_total":58545,"handles":0}}"#,
            self.models_json(),
            self.loading,
            self.orders_taken,
            self.running
        )
    }

    /// Body of the next announcement.
    pub fn announcement(&mut self, address: &str) -> String {
        self.announcements += 1;
        format!(
            r#"{{"backend":"{}","address":"{address}","zone":"{}","generation":"v1","slots":{},"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{}],"sequence":{}}}"#,
            self.service,
            self.zone,
            self.slots,
            self.models_json(),
            self.announcements
        )
    }
}
