//! State of a fake transcriber, and a record of what it has received.

use std::collections::BTreeMap;
use std::time::Instant;

/// A request that the transcriber executed.
#[derive(Clone, Debug)]
pub struct Execution {
    pub request_id: String,
    pub path: String,
    pub body: Vec<u8>,
    /// Value of `Last-Event-ID`. The stream resumes after this event.
    pub last_event_id: u64,
    pub received_at: Instant,
    /// Time at which its last event was sent.
    pub finished_at: Option<Instant>,
    pub seal: String,
}

/// A load order that was accepted or rejected.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    pub holder: String,
    pub fence_token: u64,
    pub generation: u64,
    /// HTTP status of the response.
    pub status: u16,
    pub received_at: Instant,
}

/// State of one fake transcriber.
#[derive(Debug)]
pub struct TranscriberState {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// Loaded version of each model. Empty for services without models.
    pub models: BTreeMap<String, u64>,
    /// Whether a load order is being executed.
    pub is_loading: bool,
    pub orders_accepted: u64,
    pub orders: Vec<ReceivedOrder>,
    pub running: u32,
    pub executions: Vec<Execution>,
    pub registrations_sent: u64,
    pub acknowledged: u64,
    pub seals_issued: u64,
    /// Violations of the protocol that a transcriber can detect.
    pub violations: Vec<String>,
}

impl TranscriberState {
    pub fn new(id: String, service: &'static str, zone: &'static str, models: &[&str]) -> TranscriberState {
        TranscriberState {
            id,
            service,
            zone,
            slots: 8,
            models: models.iter().map(|model| ((*model).to_owned(), 1)).collect(),
            is_loading: false,
            orders_accepted: 0,
            orders: Vec::new(),
            running: 0,
            executions: Vec::new(),
            registrations_sent: 0,
            acknowledged: 0,
            seals_issued: 0,
            violations: Vec::new(),
        }
    }

    /// Formats a summary for the output of a failed test.
    pub fn summary(&self) -> String {
        let complete = self.executions.iter().filter(|execution| execution.finished_at.is_some()).count();
        let orders: Vec<_> = self
            .orders
            .iter()
            .map(|order| (order.generation, order.status, order.holder.as_str(), order.fence_token))
            .collect();
        format!(
            "{}: models {:?}, {} requests executed ({complete} completely), {} running, \
             {} of {} registrations acknowledged, orders {orders:?}, violations {:?}",
            self.id,
            self.models,
            self.executions.len(),
            self.running,
            self.acknowledged,
            self.registrations_sent,
            self.violations
        )
    }

    /// Returns a seal that no other response has.
    pub fn next_seal(&mut self) -> String {
        self.seals_issued += 1;
        format!("{}.{}", self.id, self.seals_issued)
    }

    fn models_json(&self) -> String {
        let models = self.models.iter().map(|(name, generation)| {
            format!(r#"{{"name":"{name}","generation":{generation},"lora_adapters":[]}}"#)
        });
        models.collect::<Vec<_>>().join(",")
    }

    /// Formats the body of the response to `GET /report`.
    pub fn report(&self) -> String {
        format!(
            r#"{{"stage":"both","models":[{}],"busy":{},"sequence":{},"waiting":0,"running":{},"kv_used":0,"kv_total":58545,"handles":0}}"#,
            self.models_json(),
            self.is_loading,
            self.orders_accepted,
            self.running
        )
    }

    /// Formats the body of the next registration.
    pub fn next_registration(&mut self, address: &str) -> String {
        self.registrations_sent += 1;
        format!(
            r#"{{"backend":"{}","address":"{address}","zone":"{}","generation":"v1","slots":{},"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{}],"sequence":{}}}"#,
            self.service,
            self.zone,
            self.slots,
            self.models_json(),
            self.registrations_sent
        )
    }
}
