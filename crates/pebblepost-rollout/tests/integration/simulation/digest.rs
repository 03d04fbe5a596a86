//! A digest of the outputs of the planner over a run: times, orders, requests for reports and loaded versions.

use pebblepost_rollout::{LoadMode, LoadOrder, PlanOutput};
use pebblepost_stable_hash::Fnv1a;
use std::path::Path;
use std::time::Duration;

/// Digest of the outputs so far.
#[derive(Debug, Default)]
pub struct Digest(Fnv1a);

impl Digest {
    pub fn add_output(&mut self, now: Duration, output: &PlanOutput) {
        self.add_number(u64::try_from(now.as_millis()).expect("a short run"));
        match output {
            PlanOutput::SendOrder(order) => self.add_order(order),
            PlanOutput::FetchLoadReport { instance, address } => {
                self.add_number(1);
                self.add_text(instance);
                self.add_text(address);
            }
            PlanOutput::VersionLoaded { instance, model, generation } => {
                self.add_number(2);
                self.add_text(instance);
                self.add_text(model);
                self.add_number(*generation);
            }
        }
    }

    pub fn add_number(&mut self, number: u64) {
        self.0.number(number);
    }

    pub fn to_hex(&self) -> String {
        format!("{:016x}", self.0.finish())
    }

    fn add_order(&mut self, order: &LoadOrder) {
        self.add_number(0);
        self.add_text(&order.instance);
        self.add_text(&order.address);
        self.add_text(&order.model);
        self.add_number(order.generation);
        self.add_number(match order.mode {
            LoadMode::Wait => 0,
            LoadMode::Truncate => 1,
            LoadMode::Retain => 2,
        });
    }

    fn add_text(&mut self, text: &str) {
        self.0.bytes(text.as_bytes());
    }
}

/// Compares lines with an approved file in `tests/approved`. With `APPROVE=1` the file is rewritten
/// first.
pub fn approve(name: &str, lines: &[String]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
    let text = lines.join("\n") + "\n";
    if std::env::var_os("APPROVE").is_some() {
        std::fs::write(&path, &text).expect("the approved file is written");
    }
    let approved = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(approved == text, "{} differs; received:\n{text}", path.display());
}
